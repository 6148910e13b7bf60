"""What an operator's file asks of the membership and of the failover, which stands on it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

CALLS_PER_S = 125.0  # polls that discovery is taken to answer until it shows: 8 ms of one core each


@dataclass(frozen=True, slots=True)
class FailoverOptions:
    """`[failover]` of the operator's file: docs/operators/failover.md.

    Attributes:
        on: whether the sidecar may work away from its zone.
        regions: by name of a zone, its region; zones of the same region are preferred.
        out: names of evacuated zones.
    """

    on: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    out: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """`[fleet]` of the operator's file: docs/operators/view.md.

    Attributes:
        view: whether the sidecar takes part in the membership, where the settings allow datagrams.
        listen: where its membership can be asked for; None for nowhere.
        calls: whether polls of discovery are spread over the fleet: docs/operators/coldstart.md.
        calls_per_s: polls that discovery is taken to answer until it shows.
        failover: what is asked of the failover, which stands on the membership.
    """

    view: bool = False
    listen: tuple[str, int] | None = None
    calls: bool = False
    calls_per_s: float = CALLS_PER_S
    failover: FailoverOptions = field(default_factory=FailoverOptions)
