"""Draws the scenario of a run, its faults and requests, from the seed. No I/O.

A scenario is an immutable value: without one of its faults or requests the rest stays the same, which the
minimiser relies on. Times are drawn near edges: one fault in three falls on the very millisecond of the
beginning or end of another, or right before or after the longest deadline from it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from .kernel import NS_PER_MS, NS_PER_S, stream


class Kind(StrEnum):
    """Kinds of faults."""

    CRASH = "crash"  # A server dies, and restarts with a warm-up.
    SILENT = "silent"  # A server accepts and reads, but never answers.
    VANISH = "vanish"  # A server is cut off from all sidecars; at the end its connections are reset.
    SLOW = "slow"  # A server takes longer to answer.
    GARBAGE = "garbage"  # Some answers of a server are invalid or duplicated.
    MUTE = "mute"  # A server runs the requests, but half of its answers are lost.
    FULL = "full"  # A server rejects all requests without running them.
    BREAK = "break"  # A server resets connections in the middle of answers.
    DRAIN = "drain"  # A server drains, ends, and is replaced at its address.
    IDLE = "idle"  # A server closes idle connections early.
    CUT = "cut"  # A sidecar and a server cannot reach each other.
    LAG = "lag"  # All of the network is slow.
    DISCOVERY = "discovery"  # Discovery is down.
    STALE = "stale"  # Discovery's list is stale.
    MOVE = "move"  # Discovery moves to another address, and sidecars reload.
    PAUSE = "pause"  # A sidecar's process is paused.
    KILL = "kill"  # A sidecar dies, and restarts with its latest list.
    TERM = "term"  # A sidecar shuts down gracefully, and restarts.
    SQUEEZE = "squeeze"  # A sidecar may open fewer descriptors than its settings state.
    FLOOD = "flood"  # A client opens many connections and sends nothing.
    # Faults of a fleet.
    HERD = "herd"  # Seven in ten sidecars are killed at once.
    ZONE = "zone"  # All servers of a zone die, and restart together with a warm-up.
    REPLACE = "replace"  # Six in ten servers drain, end and are replaced, one after another.
    OVERBOOK = "overbook"  # Discovery is overloaded: it rejects calls, truncates answers, sends invalid JSON.
    PART = "part"  # Network partition of datagrams: halves or thirds of the sidecars, or one way.
    # Faults of sidecars during a hot restart.
    UPGRADE = "upgrade"  # A newer process starts; when it accepts clients the older one gets SIGTERM.
    BAN = "ban"  # Operators take a server out at one of the processes, and put it back.
    DISK = "disk"  # The state directory cannot be written.
    # Wall clock steps, undone at the end: of a sidecar's machine, a server's, discovery's.
    CLOCK_HERE = "clock_here"
    CLOCK_THERE = "clock_there"
    CLOCK_LIST = "clock_list"
    # System calls of a sidecar that fail during the fault (`syscalls.py`).
    ACCEPTS = "accepts"
    SOCKETS = "sockets"
    CONNECTS = "connects"  # For a reason of the sidecar's own machine.
    ROUTES = "routes"  # For a reason of the server's machine or the route to it.
    SENDS = "sends"
    RECEIVES = "receives"
    SHORTS = "shorts"  # Reads and writes are short.
    DATAGRAMS = "datagrams"
    OPTIONS = "options"  # A connection is reset right before a query of its options.


FLEET_FAULTS = frozenset((Kind.HERD, Kind.ZONE, Kind.REPLACE, Kind.OVERBOOK, Kind.PART))
HOT_RESTART_FAULTS = frozenset((Kind.UPGRADE, Kind.BAN, Kind.DISK))
CLOCK_FAULTS = (Kind.CLOCK_HERE, Kind.CLOCK_THERE, Kind.CLOCK_LIST)
SYSTEM_CALL_FAULTS = (
    Kind.ACCEPTS,
    Kind.SOCKETS,
    Kind.CONNECTS,
    Kind.ROUTES,
    Kind.SENDS,
    Kind.RECEIVES,
    Kind.SHORTS,
    Kind.DATAGRAMS,
    Kind.OPTIONS,
)
DURATIONS_MS = {
    Kind.CRASH: (300, 4000),
    Kind.PAUSE: (20, 250),
    Kind.KILL: (200, 2000),
    Kind.TERM: (200, 2000),
    Kind.MOVE: (0, 0),
    Kind.HERD: (300, 1500),
    Kind.REPLACE: (3000, 7000),
}
TYPICAL_DURATION_MS = (300, 6000)  # Duration of faults of all other kinds.
LOAD_START_NS = 200 * NS_PER_MS
EDGE_SHARE = 0.35  # Fraction of the faults that begin near the beginning or end of a recent one.
MAX_RECENT_EDGES = 6  # Number of beginnings and ends of faults that count as recent.
BURST_SHARE = 0.15  # Fraction of the gaps between two requests that belong to a burst.
BURST_RATE = 4.0  # Request rate within a burst, relative to the world's.
RATE_OUTSIDE_BURSTS = 0.8  # Relative to the world's rate.
# Fraction of the clients that wait for the longest deadline; others wait for a third of it or more.
FULL_DEADLINE_SHARE = 0.6
PIECE_COUNTS = (1, 1, 1, 1, 2, 5)  # Numbers of writes of a request; each entry has the same probability.
ARRIVAL_NUMBER_BITS = 24  # Bits of a request's number below those of its sidecar's number.
CLOCK_STEPS_NS = tuple(seconds * NS_PER_S for seconds in (3600, -3600, 3, -3))


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a scenario.

    Attributes:
        server: Number of the affected server, if the fault affects one.
        sidecar: Number of the affected sidecar, if the fault affects one.
        span_ns: Duration in nanoseconds.
    """

    at_ns: int
    kind: Kind
    server: int
    sidecar: int
    span_ns: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a client to a sidecar, at the time of its arrival.

    Attributes:
        class_number: Number of the class in the settings.
        deadline_ms: Milliseconds for which the client waits.
        leaves_ms: Milliseconds after which the client closes the connection; 0 if it does not.
        pipelined: Whether it is pipelined behind an open request, if there is one.
        pieces: Number of writes in which it is sent.
        large: Whether its body, or without a body its answer, is too long to be buffered.
    """

    number: int
    at_ns: int
    sidecar: int
    class_number: int
    deadline_ms: int
    leaves_ms: int
    pipelined: bool
    pieces: int
    large: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Everything that happens in a run.

    Attributes:
        world: Name of its world in `WORLDS`.
        span_ns: Duration of load and faults in nanoseconds.
    """

    world: str
    seed: int
    span_ns: int
    servers: int
    sidecars: int
    faults: tuple[Fault, ...]
    arrivals: tuple[Arrival, ...]

    @property
    def spec(self) -> WorldSpec:
        """The parameters from which it was drawn."""
        return WORLDS[self.world]


@dataclass(frozen=True, slots=True)
class WorldSpec:
    """Parameters from which the scenarios of a world are drawn.

    Attributes:
        rate: Requests per second to each sidecar.
        faults_per_s: Mean number of faults per second.
        fault_kinds: Kinds of faults; each entry has the same probability.
        deadlines_ms: Deadlines in milliseconds by class.
        class_shares: Fraction of the requests by class.
        pipelined_share: Fraction of the requests that are pipelined.
        leaving_share: Fraction of the clients that close the connection before their answer.
        large_every: One in this number of requests has a streamed body or answer; 0 for none.
        zones: Names of the zones, one letter each; servers are assigned to them in turn.
        spread_zones: Whether sidecars are assigned to the zones in turn; otherwise all are in the first.
        membership: Whether sidecars keep a membership; the run then lasts until it must have settled.
        coordinated_polls: Whether sidecars coordinate their calls to discovery.
        failover: Whether sidecars may send requests to other zones.
        wrong_clocks: Whether wall clocks are wrong from the start, by one of `CLOCK_STEPS_NS`.
        start_capacity: Fraction of its capacity that a server has at its start.
        warm_ns: Nanoseconds until a server has its full capacity.
    """

    servers: int
    sidecars: int
    rate: float
    faults_per_s: float
    fault_kinds: tuple[Kind, ...]
    deadlines_ms: tuple[int, ...]
    class_shares: tuple[float, ...]
    pipelined_share: float = 0.08
    leaving_share: float = 0.04
    large_every: int = 0
    zones: str = "ab"
    spread_zones: bool = False
    membership: bool = False
    coordinated_polls: bool = False
    failover: bool = False
    wrong_clocks: bool = False
    start_capacity: float = 0.25
    warm_ns: int = 4 * NS_PER_S


PLATFORM_FAULTS = tuple(
    kind
    for kind in Kind
    if kind not in FLEET_FAULTS | HOT_RESTART_FAULTS | frozenset((*CLOCK_FAULTS, *SYSTEM_CALL_FAULTS))
)
WORLDS = {
    "parts": WorldSpec(5, 2, 40.0, 0.8, PLATFORM_FAULTS, (1000, 800, 1200), (0.5, 0.28, 0.22)),
    "restarts": WorldSpec(
        4, 3, 25.0, 1.2, (Kind.KILL, Kind.TERM, Kind.CRASH, Kind.SILENT, Kind.STALE, Kind.DRAIN, Kind.MOVE),
        (1000, 800, 1200), (0.4, 0.3, 0.3),
    ),
    "ahead": WorldSpec(
        3, 1, 90.0, 0.6, (Kind.TERM, Kind.SLOW, Kind.MOVE), (400, 300, 500), (0.4, 0.3, 0.3), 0.7,
    ),
    "silence": WorldSpec(
        4, 1, 80.0, 1.5, (Kind.SILENT, Kind.MUTE, Kind.CUT, Kind.PAUSE, Kind.VANISH),
        (1000, 800, 1200), (0.8, 0.1, 0.1),
    ),
    "storm": WorldSpec(3, 1, 90.0, 2.5, PLATFORM_FAULTS, (400, 300, 500), (0.4, 0.3, 0.3)),
    "leaving": WorldSpec(
        4, 1, 90.0, 2.0, (Kind.PAUSE, Kind.CRASH, Kind.SILENT, Kind.SLOW, Kind.TERM),
        (1000, 800, 1200), (0.5, 0.28, 0.22), 0.3, 0.5,
    ),
    "services": WorldSpec(
        6, 1, 60.0, 0.8, PLATFORM_FAULTS, (1000, 800, 1200), (0.4, 0.3, 0.3), 0.08, large_every=8
    ),
    "upgrade": WorldSpec(
        5, 2, 40.0, 1.2,
        (*[Kind.UPGRADE] * 4, Kind.KILL, Kind.PAUSE, Kind.BAN, Kind.DISK, Kind.DRAIN, Kind.MOVE, Kind.CRASH),
        (1000, 800, 1200), (0.4, 0.3, 0.3),
    ),
    "fleet": WorldSpec(
        60, 40, 6.0, 1.0, (*sorted(FLEET_FAULTS - {Kind.PART}), Kind.STALE, Kind.SILENT, Kind.TERM),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abcde", spread_zones=True,
    ),
    "view": WorldSpec(
        24, 15, 5.0, 0.8,
        (*[Kind.PART] * 2, Kind.HERD, Kind.KILL, Kind.TERM, Kind.PAUSE, Kind.ZONE, Kind.SILENT),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread_zones=True, membership=True,
    ),
    "coldstart": WorldSpec(
        30, 25, 4.0, 0.8,
        (*[Kind.HERD] * 2, Kind.OVERBOOK, Kind.DISCOVERY, Kind.MOVE, Kind.TERM, Kind.ZONE, Kind.REPLACE,
         Kind.PART, Kind.STALE),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread_zones=True, membership=True,
        coordinated_polls=True,
    ),
    "zones": WorldSpec(
        12, 15, 10.0, 0.7,
        (*[Kind.ZONE] * 4, Kind.PART, Kind.HERD, Kind.KILL, Kind.SILENT, Kind.CRASH, Kind.STALE, Kind.CUT),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread_zones=True, membership=True, failover=True,
    ),
    "clocks": WorldSpec(
        4, 30, 6.0, 1.5,
        (*CLOCK_FAULTS, *[Kind.CRASH] * 3, Kind.DRAIN, Kind.KILL, Kind.TERM, Kind.MOVE),
        (1000, 800, 1200), (0.6, 0.25, 0.15), wrong_clocks=True, start_capacity=0.14, warm_ns=22 * NS_PER_S,
    ),
    "syscalls": WorldSpec(
        4, 2, 40.0, 2.5, (*SYSTEM_CALL_FAULTS, Kind.TERM, Kind.CRASH, Kind.DRAIN, Kind.MOVE),
        (1000, 800, 1200), (0.5, 0.28, 0.22),
    ),
}  # fmt: skip


def draw(name: str, seed: int, span_ns: int) -> Scenario:
    """Draw the scenario of a seed.

    Args:
        name: Name of a world in `WORLDS`.
        seed: Seed of the random generator.
        span_ns: Duration of load and faults in nanoseconds.

    Raises:
        KeyError: There is no world of this name.
    """
    spec = WORLDS[name]
    return Scenario(
        name,
        seed,
        span_ns,
        spec.servers,
        spec.sidecars,
        _draw_faults(spec, stream(seed, "faults"), span_ns),
        _draw_arrivals(spec, seed, span_ns),
    )


def _draw_faults(spec: WorldSpec, generator: random.Random, span_ns: int) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    edges_ns: list[int] = []
    at_ns = LOAD_START_NS
    while True:
        at_ns += int(generator.expovariate(spec.faults_per_s) * NS_PER_S)
        if at_ns >= span_ns:
            return tuple(sorted(faults, key=lambda fault: fault.at_ns))
        begin_ns = at_ns
        if edges_ns and generator.random() < EDGE_SHARE:
            begin_ns = min(_draw_time_near_edge(spec, generator, edges_ns), span_ns)
        fault = _draw_fault(spec, generator, begin_ns)
        faults.append(fault)
        edges_ns += [begin_ns, begin_ns + fault.span_ns]


def _draw_time_near_edge(spec: WorldSpec, generator: random.Random, edges_ns: list[int]) -> int:
    """Draw a time at an edge of a recent fault, or about the longest deadline after it."""
    edge_ns = generator.choice(edges_ns[-MAX_RECENT_EDGES:])
    longest_ns = max(spec.deadlines_ms) * NS_PER_MS
    return edge_ns + generator.choice((0, 0, NS_PER_MS, longest_ns - NS_PER_MS, longest_ns))


def _draw_fault(spec: WorldSpec, generator: random.Random, begin_ns: int) -> Fault:
    kind = generator.choice(spec.fault_kinds)
    min_ms, max_ms = DURATIONS_MS.get(kind, TYPICAL_DURATION_MS)
    return Fault(
        begin_ns,
        kind,
        generator.randrange(spec.servers),
        generator.randrange(spec.sidecars),
        int(generator.uniform(min_ms, max_ms) * NS_PER_MS),
    )


def _draw_arrivals(spec: WorldSpec, seed: int, span_ns: int) -> tuple[Arrival, ...]:
    arrivals = [
        arrival
        for sidecar in range(spec.sidecars)
        for arrival in _arrivals_of(spec, sidecar, stream(seed, "arrivals", sidecar), span_ns)
    ]
    return tuple(sorted(arrivals, key=lambda arrival: (arrival.at_ns, arrival.number)))


def _arrivals_of(spec: WorldSpec, sidecar: int, generator: random.Random, span_ns: int) -> Iterator[Arrival]:
    """Draw the requests to one sidecar, in order of their time."""
    at_ns = LOAD_START_NS
    number = sidecar << ARRIVAL_NUMBER_BITS
    while True:
        # Bursts: a queue that builds up and drains covers more edge cases than a steady rate.
        rate = spec.rate * (BURST_RATE if generator.random() < BURST_SHARE else RATE_OUTSIDE_BURSTS)
        at_ns += int(generator.expovariate(rate) * NS_PER_S)
        if at_ns >= span_ns:
            return
        number += 1
        yield _draw_arrival(spec, sidecar, generator, number, at_ns)


def _draw_arrival(
    spec: WorldSpec, sidecar: int, generator: random.Random, number: int, at_ns: int
) -> Arrival:
    class_number = generator.choices(range(len(spec.class_shares)), spec.class_shares)[0]
    longest_ms = spec.deadlines_ms[class_number]
    leaves_ms = generator.randrange(1, longest_ms) if generator.random() < spec.leaving_share else 0
    waits_full_deadline = generator.random() < FULL_DEADLINE_SHARE
    return Arrival(
        number,
        at_ns,
        sidecar,
        class_number,
        longest_ms if waits_full_deadline else generator.randrange(longest_ms // 3, longest_ms),
        leaves_ms,
        generator.random() < spec.pipelined_share,
        generator.choice(PIECE_COUNTS),
        bool(spec.large_every) and number % spec.large_every == 0,
    )
