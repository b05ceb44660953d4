"""Stand-ins that simulate external systems, for trials and tests only."""
