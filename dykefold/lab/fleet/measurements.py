"""Measurements of a run of the rig: its lateness, latency objectives, cross-zone traffic, slow start."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence

from ..emulator.server import Arrival
from .client import ClientRequest, RequestEnd
from .judge import SHORT_WINDOW_S, SlowStart, SlowStartCall, SlowStartLoad, peak_warm_up_load, slow_start_load
from .report import LoadStats, SlowStartStats
from .scenario import CLASSES, SERVICE_TIME, FleetScenario, FleetTable

LAG_CHECK_INTERVAL_S = 0.02


class LagMonitor:
    """Monitor of the lateness of the rig's own event loop.

    Attributes:
        lag_s: Largest lateness in seconds since the last reset.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0

    def reset(self) -> None:
        """Reset the largest lateness."""
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.lag_s = max(self.lag_s, loop.time() - due_s)


def load_stats(requests: Iterable[ClientRequest], load_began_s: float, seconds: int) -> LoadStats:
    """Count requests, and those served within their latency objective, by second of the load."""
    sent: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for request in requests:
        second = int(request.sent_s - load_began_s)
        sent[second] += 1
        objective_s = CLASSES[request.cls].aim_ms / 1000
        if request.end is RequestEnd.SERVED and request.ended_s - request.sent_s <= objective_s:
            served[second] += 1
    return LoadStats(
        [sent[second] for second in range(seconds)], [served[second] for second in range(seconds)]
    )


def cross_zone_fractions(
    scenario: FleetScenario,
    requests: Iterable[ClientRequest],
    arrivals_by_zone: Sequence[Iterable[Arrival]],
    load_began_s: float,
) -> list[float]:
    """Return by second of the load the fraction of attempts at servers of another zone than the client's.

    Args:
        scenario: Scenario, which assigns clients to zones.
        requests: All requests of the clients.
        arrivals_by_zone: Attempts that reached the servers of each zone.
        load_began_s: Event loop time at which the load began, in seconds.
    """
    client_zones = {request.ident: scenario.zone_of(request.client) for request in requests}
    attempts: Counter[int] = Counter()
    cross_zone: Counter[int] = Counter()
    for zone, arrivals in enumerate(arrivals_by_zone):
        for arrival in arrivals:
            second = int(arrival.came_s - load_began_s)
            attempts[second] += 1
            cross_zone[second] += client_zones.get(arrival.ident, zone) != zone
    seconds = range(int(scenario.span_s) + 1)
    return [cross_zone[second] / max(attempts[second], 1) for second in seconds]


def slow_start_stats(
    fleet: FleetTable,
    arrivals: Mapping[str, Sequence[Arrival]],
    started_s: Mapping[str, float],
    notified_s: Mapping[str, Mapping[int, float]],
) -> SlowStartStats:
    """Return the highest loads of servers that were warming up.

    Args:
        fleet: Servers and slow-start rules of the scenario.
        arrivals: Attempts that reached each server, by name, in order.
        started_s: Event loop time of each server's start, by name.
        notified_s: Event loop time at which each member was notified of a server's start, by name.
    """
    overload_rule = (fleet.fall_multiple, fleet.fall_s)
    long_windows = list(_worst_windows(fleet, arrivals, started_s, notified_s, *overload_rule))
    short_windows = _worst_windows(fleet, arrivals, started_s, notified_s, 1.0, SHORT_WINDOW_S)
    return SlowStartStats(
        peak_capacity_load=max(_warm_up_loads(fleet, arrivals, started_s, 1.0, SHORT_WINDOW_S), default=0.0),
        peak_rule_load=max(_warm_up_loads(fleet, arrivals, started_s, *overload_rule), default=0.0),
        worst=max((worst for worst, _ in long_windows), key=_load),
        worst_notified=max((notified for _, notified in long_windows), key=_load),
        worst_short=max((worst for worst, _ in short_windows), key=_load),
    )


def _load(window: SlowStartLoad) -> float:
    return window.load


def _capacity_per_s(fleet: FleetTable) -> float:
    """Return the requests a second that a warm server can serve; every class has the same mean work."""
    return fleet.cores / SERVICE_TIME.mean_ms * 1000


def _warm_up_loads(
    fleet: FleetTable,
    arrivals: Mapping[str, Sequence[Arrival]],
    started_s: Mapping[str, float],
    factor: float,
    window_s: float,
) -> Iterator[float]:
    """Yield for each server its highest load while warming up, relative to the load that overloads it."""
    capacity_per_s = _capacity_per_s(fleet)
    for name, start_s in started_s.items():
        came_s = [arrival.came_s for arrival in arrivals.get(name, ())]
        yield peak_warm_up_load(
            came_s, start_s, capacity_per_s, fleet.cold_share, fleet.warm_s, factor, window_s
        )


def _worst_windows(
    fleet: FleetTable,
    arrivals: Mapping[str, Sequence[Arrival]],
    started_s: Mapping[str, float],
    notified_s: Mapping[str, Mapping[int, float]],
    factor: float,
    window_s: float,
) -> Iterator[tuple[SlowStartLoad, SlowStartLoad]]:
    """Yield for each server its window of highest load, and the highest with calls of notified sidecars."""
    rules = SlowStart(_capacity_per_s(fleet), fleet.cold_share, fleet.warm_s, factor, window_s)
    calls = _calls_by_server(arrivals)
    for name, start_s in started_s.items():
        yield slow_start_load(calls.get(name, ()), start_s, rules, notified_s.get(name, {}))


def _calls_by_server(arrivals: Mapping[str, Sequence[Arrival]]) -> dict[str, list[SlowStartCall]]:
    """Return the attempts at each server in order, each with its sidecar and whether it was a first one."""
    attempts = sorted(
        (arrival.came_s, arrival.ident, name)
        for name, server_arrivals in arrivals.items()
        for arrival in server_arrivals
    )
    calls: dict[str, list[SlowStartCall]] = {}
    attempted: set[str] = set()
    for came_s, ident, name in attempts:
        sidecar = int(ident.partition("-")[0], 16)
        calls.setdefault(name, []).append(SlowStartCall(came_s, sidecar, first=ident not in attempted))
        attempted.add(ident)
    return calls
