"""What the core asks of the world."""
