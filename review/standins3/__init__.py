"""Stand-ins and clients of the cases 11 and later. Standard library only."""
