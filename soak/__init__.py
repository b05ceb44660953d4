"""A soak of relaying instances: real processes, faults from outside."""
