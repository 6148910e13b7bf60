"""Robust statistics, which tolerate a minority of wrong values. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

Number = TypeVar("Number", int, float)


def lower_median(values: Iterable[Number]) -> Number:
    """Return the median of at least one value; of an even number of values, the lower middle one."""
    ordered = sorted(values)
    return ordered[(len(ordered) - 1) // 2]
