"""Options of the membership and of the failover in the operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

DEFAULT_CALLS_PER_S = 125.0  # A poll costs discovery 8 ms of CPU time.


@dataclass(frozen=True, slots=True)
class FailoverOptions:
    """The table `[failover]` of the operator's file (docs/operators/failover.md).

    Attributes:
        on: Whether the sidecar may send requests to other zones.
        regions: Region by zone name; zones of the same region are preferred.
        out: Names of evacuated zones.
    """

    on: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    out: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The table `[fleet]` of the operator's file (docs/operators/view.md).

    Attributes:
        view: Whether the sidecar is a member of the fleet, if the settings allow datagrams.
        listen: Address of the membership's admin API; None if it is off.
        calls: Whether polls of discovery are spread over the fleet (docs/operators/coldstart.md).
        calls_per_s: Assumed number of polls per second that discovery can answer, until its rate is observed.
        failover: Options of the failover, which needs the membership.
    """

    view: bool = False
    listen: tuple[str, int] | None = None
    calls: bool = False
    calls_per_s: float = DEFAULT_CALLS_PER_S
    failover: FailoverOptions = field(default_factory=FailoverOptions)
