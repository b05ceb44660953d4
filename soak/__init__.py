"""Soak test: injects faults into processes of relaying instances."""
