"""Implementations of the ports with third-party libraries and sockets."""
