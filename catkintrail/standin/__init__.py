"""Small stand-ins for the systems outside, for trial and test only."""
