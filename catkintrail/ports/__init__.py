"""Interfaces between the core and its environment."""
