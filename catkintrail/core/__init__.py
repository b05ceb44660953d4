"""Decisions: state machines without clocks, sockets or threads."""
