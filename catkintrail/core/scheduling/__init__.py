"""Decides which of competing requests get which share of the engines."""
