"""Benchmarks of the core in virtual time."""
