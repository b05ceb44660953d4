"""State machines of the system; none uses a clock, socket or thread."""
