"""Serving layer for language model requests of widely varying length."""

__all__ = ["__version__"]

__version__ = "0.1.0"
