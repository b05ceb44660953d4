"""Stand-ins and helpers of the cases 16 to 20."""
