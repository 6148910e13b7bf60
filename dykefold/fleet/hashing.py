"""A deterministic hash of two integers, equal in all processes. No I/O."""

from __future__ import annotations

MASK_64 = (1 << 64) - 1


def hash_pair(first: int, second: int) -> int:
    """Hash two non-negative integers to 64 bits (finaliser of splitmix64); return 0 if `second` is 0."""
    if not second:
        return 0
    mixed = (second * 0x9E3779B97F4A7C15 ^ (first + 1) * 0xD1B54A32D192ED03) & MASK_64
    mixed = ((mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9) & MASK_64
    mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & MASK_64
    return mixed ^ mixed >> 31
