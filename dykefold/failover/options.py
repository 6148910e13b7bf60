"""What an operator's file asks of the failover."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Options:
    """`[failover]` of the operator's file: docs/operators/failover.md.

    Attributes:
        on: whether the sidecar may work away from its zone; it wants the view.
        regions: by name of a zone, its region; zones of one are gone to first.
        out: names of zones that are evacuated.
    """

    on: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    out: frozenset[str] = frozenset()
