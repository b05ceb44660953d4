"""Benchmarks that run the core in virtual time."""
