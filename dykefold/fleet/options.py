"""What an operator's file asks of the view."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..failover.options import Options as Failover

CALLS_PER_S = 125.0  # taken of a list service that has shown nothing yet: 8 ms of one core for a call


@dataclass(frozen=True, slots=True)
class Options:
    """`[fleet]` of the operator's file: docs/operators/view.md.

    Attributes:
        view: whether the sidecar takes part in the fleet's view, where the settings allow datagrams.
        listen: where it can be asked for its view; None for nowhere.
        calls: whether calls of the list service are spread over the fleet: docs/operators/coldstart.md.
        failover: what it asks of the failover, which stands on the view.
        calls_per_s: that the list service is taken to work through, until it shows.
    """

    view: bool = False
    listen: tuple[str, int] | None = None
    calls: bool = False
    calls_per_s: float = CALLS_PER_S
    failover: Failover = field(default_factory=Failover)
