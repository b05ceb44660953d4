"""Evidence about requests that crash engines, and its judgement; no I/O."""
