"""Results of a run of the rig, by subject, and their JSON report."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .judge import SlowStartLoad, Verdict
from .membership_samples import MembershipSample

MAX_LAG_S = 0.25  # A run in which the rig was later than this during the load is invalid.


@dataclass(slots=True)
class LagStats:
    """Lateness of the rig's own event loop.

    Attributes:
        start_s: Largest lateness in seconds from the first listening member to the start of the load; the
            list service was late by as much.
        load_s: Largest lateness in seconds during the load.
    """

    start_s: float = 0.0
    load_s: float = 0.0


@dataclass(slots=True)
class ListServiceStats:
    """Calls to the list service.

    Attributes:
        calls_by_second: Number of calls in each second since the first start.
        rejected_calls: Number of calls that were rejected because the queue was full.
        list_delays_s: For each member that was sent the latest list, the seconds until then, counted from
            when it listened, or from the latest change, move or return of the list service if later.
    """

    calls_by_second: list[int] = field(default_factory=list)
    rejected_calls: int = 0
    list_delays_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class ConnectionStats:
    """Connections opened by members to servers.

    Attributes:
        handshakes: Number of connections.
        max_handshakes_per_server_second: Largest number at one server within one second.
    """

    handshakes: int = 0
    max_handshakes_per_server_second: int = 0


@dataclass(slots=True)
class LoadStats:
    """Requests of the clients, by second of the load.

    Attributes:
        requests_by_second: Number of requests sent in each second.
        served_by_second: Number of these that were served within the latency objective.
    """

    requests_by_second: list[int] = field(default_factory=list)
    served_by_second: list[int] = field(default_factory=list)


@dataclass(slots=True)
class ZoneStats:
    """Cross-zone traffic.

    Attributes:
        cross_zone_fractions: Fraction of the attempts in each second of the load that reached a server of
            another zone than the client's.
        moves: Number of times that a member logged a move to another zone.
    """

    cross_zone_fractions: list[float] = field(default_factory=list)
    moves: int = 0


@dataclass(slots=True)
class SlowStartStats:
    """Load of servers that were warming up.

    Attributes:
        peak_capacity_load: Highest ratio of the requests at a warming-up server to its capacity at the time.
        peak_rule_load: Highest ratio of these requests to the rules' limit; above 1.0 a server is overloaded.
        worst: The window with the highest ratio to the slow-start budget of the settings.
        worst_notified: The same among windows with over two thirds of their calls from notified sidecars; a
            ratio above 1.0 breaks the rule.
        worst_short: The window of half a second with the highest ratio to a budget of factor 1.0.
    """

    peak_capacity_load: float = 0.0
    peak_rule_load: float = 0.0
    worst: SlowStartLoad = field(default_factory=SlowStartLoad)
    worst_notified: SlowStartLoad = field(default_factory=SlowStartLoad)
    worst_short: SlowStartLoad = field(default_factory=SlowStartLoad)


@dataclass(slots=True)
class MembershipStats:
    """Membership of the sidecars.

    Attributes:
        datagrams: Number of datagrams that members sent.
        datagram_bytes: Size in bytes of the datagrams that were delivered.
        samples: Samples of the members' memberships; empty if the membership is off.
        settled_s: Seconds from the end of the last fault until all memberships were correct and remained
            correct; None if they did not.
    """

    datagrams: int = 0
    datagram_bytes: int = 0
    samples: list[MembershipSample] = field(default_factory=list)
    settled_s: float | None = None


@dataclass(slots=True)
class FleetRunResult:
    """Result of a run.

    Attributes:
        verdict: Verdict on the four rules.
        ready_s: Seconds from the first start until each member listened; None if it never did.
        faults: Starts that failed, and tracebacks in the members' logs.
        lag: Lateness of the rig's event loop.
        list_service: Calls to the list service.
        connections: Connections from members to servers.
        load: Requests of the clients.
        zones: Cross-zone traffic.
        slow_start: Load of servers that were warming up.
        membership: Membership of the sidecars.
    """

    verdict: Verdict
    ready_s: list[float | None]
    faults: list[str]
    lag: LagStats
    list_service: ListServiceStats
    connections: ConnectionStats
    load: LoadStats
    zones: ZoneStats
    slow_start: SlowStartStats
    membership: MembershipStats

    @property
    def passed(self) -> bool:
        """Whether the run is valid, all members listened, no rule was broken, and `faults` is empty."""
        return self.valid and None not in self.ready_s and not self.verdict.broken and not self.faults

    @property
    def valid(self) -> bool:
        """Whether the rig was never later than `MAX_LAG_S` during the load."""
        return self.lag.load_s <= MAX_LAG_S

    def as_json(self) -> dict[str, Any]:
        """Return the result in the JSON form of `dykefold lab fleet --json`, whose keys are stable."""
        ready = sorted(delay_s for delay_s in self.ready_s if delay_s is not None)
        listed = sorted(self.list_service.list_delays_s)
        settled_s = self.membership.settled_s
        return {
            "valid": self.valid,
            "rig_lag_s": round(self.lag.load_s, 3),
            "rig_lag_at_start_s": round(self.lag.start_s, 3),
            "requests": self.verdict.counts,
            "lost": len(self.verdict.lost),
            "excused": self.verdict.excused,
            "violations": self.verdict.broken,
            "gap_s": round(self.verdict.gap_s, 3),
            "ready": len(ready),
            "ready_s": _median_and_last(ready),
            "list_calls": sum(self.list_service.calls_by_second),
            "list_calls_most_in_a_second": max(self.list_service.calls_by_second, default=0),
            "list_calls_by_second": self.list_service.calls_by_second,
            "list_calls_turned_away": self.list_service.rejected_calls,
            "handshakes": self.connections.handshakes,
            "handshakes_worst_server_worst_second": self.connections.max_handshakes_per_server_second,
            "listed": len(listed),
            "listed_s": _median_and_last(listed),
            "crossed_by_second": [round(fraction, 2) for fraction in self.zones.cross_zone_fractions],
            "moves": self.zones.moves,
            "cold_load": round(self.slow_start.peak_capacity_load, 3),
            "cold_fall": round(self.slow_start.peak_rule_load, 3),
            "slow_start": _slow_start_json(self.slow_start.worst),
            "slow_start_notified": _slow_start_json(self.slow_start.worst_notified),
            "slow_start_short": _slow_start_json(self.slow_start.worst_short),
            "datagrams": self.membership.datagrams,
            "datagram_bytes": self.membership.datagram_bytes,
            "view_settled_s": None if settled_s is None else round(settled_s, 2),
            "asked_by_second": self.load.requests_by_second,
            "served_by_second": self.load.served_by_second,
            "faults": self.faults,
        }


def _median_and_last(values: list[float]) -> list[float]:
    """Return the upper median and the last of sorted values, rounded; an empty list for no values."""
    return [round(value, 2) for value in (values[len(values) // 2], values[-1])] if values else []


def _slow_start_json(load: SlowStartLoad) -> dict[str, Any]:
    return {
        "load": load.load,
        "age_s": load.age_s,
        "allowed": load.allowed,
        "calls": load.calls,
        "notified": load.notified,
        "sidecars": load.sidecars,
        "openers": load.first_calls,
        "repeats": load.retries,
        "most": load.max_calls_per_sidecar,
    }
