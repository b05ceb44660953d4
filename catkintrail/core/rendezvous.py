"""Rendezvous hashing: agreement on owners without messages.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", 1998.
"""

from typing import Iterable

import xxhash

__all__ = ["choose_owner", "rank_owners", "score"]


def score(key: str, name: str) -> int:
    """Returns the 64-bit weight of one candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def choose_owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the candidate with the highest weight; None if none exist."""
    return max(names, key=lambda name: (score(key, name), name), default=None)


def rank_owners(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates with the highest weights, in order."""
    ranked = sorted(names, key=lambda name: (score(key, name), name))
    return ranked[::-1][:count]
