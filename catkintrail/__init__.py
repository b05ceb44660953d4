"""A serving layer for prompts whose lengths differ greatly."""

__all__ = ["__version__"]

__version__ = "0.1.0"
