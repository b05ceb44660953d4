"""The ports over real libraries."""
