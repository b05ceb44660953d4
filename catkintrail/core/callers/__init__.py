"""Decisions about callers that nobody controls; no I/O."""
