"""What happens in a world, drawn from its seed before it begins. No I/O.

A scenario is a value: leave out a fault or a request and the rest stays as it was, which is what the
minimiser does. Times lean towards edges: one fault in three falls on the very millisecond of another one
or right before or after the longest deadline from it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from .kernel import MS, SECOND, stream


class Kind(StrEnum):
    """Kinds of faults; `target` is a server, a sidecar or none, `span_ns` how long it lasts."""

    CRASH = "crash"  # a server dies and comes back cold
    SILENT = "silent"  # a server accepts and reads, and never answers
    VANISH = "vanish"  # a server is cut off from all sidecars; connections are reset when it is back
    SLOW = "slow"  # a server takes longer
    GARBAGE = "garbage"  # a server's answers are spoilt
    MUTE = "mute"  # a server does the work, half of its answers are lost
    FULL = "full"  # a server turns all away, unseen
    BREAK = "break"  # a server resets connections in the middle of answers
    DRAIN = "drain"  # a server drains, goes, and is replaced at its address
    IDLE = "idle"  # a server closes idle connections early
    CUT = "cut"  # one sidecar and one server can't reach each other
    LAG = "lag"  # the network is slow everywhere
    DISCOVERY = "discovery"  # it is down
    STALE = "stale"  # it tells old news
    MOVE = "move"  # it moves: a reload
    PAUSE = "pause"  # a sidecar's process stands still
    KILL = "kill"  # a sidecar dies and begins anew with its last list
    TERM = "term"  # a planned end
    SQUEEZE = "squeeze"  # a sidecar may hold fewer descriptors than it was told
    FLOOD = "flood"  # silent connections of one client
    # Of a whole fleet.
    HERD = "herd"  # seven in ten sidecars are killed at once
    ZONE = "zone"  # all servers of a zone die and come back cold together
    REPLACE = "replace"  # six in ten servers drain, go, and are replaced by others, one after another
    OVERBOOK = "overbook"  # discovery turns calls away, breaks answers off, sends what can't be read
    PART = "part"  # datagrams pass only within parts of the sidecars: halves, thirds, or one way
    # Of two processes that are one sidecar.
    UPGRADE = "upgrade"  # a newer process begins; the older one is told to end when that one takes clients
    BAN = "ban"  # a server is taken out at one of the processes, and put back
    DISK = "disk"  # nothing can be written where the processes leave each other word
    # Wall clocks that step, and back at the end: of a sidecar's machine, a server's, discovery's.
    CLOCK_HERE = "clock_here"
    CLOCK_THERE = "clock_there"
    CLOCK_LIST = "clock_list"
    # System calls of a sidecar that fail while it lasts (`syscalls.py`).
    ACCEPTS = "accepts"
    SOCKETS = "sockets"
    CONNECTS = "connects"  # for a reason of the sidecar's own machine
    ROUTES = "routes"  # ... of the server's, or of the way to it
    SENDS = "sends"
    RECEIVES = "receives"
    SHORTS = "shorts"  # reads and writes are short
    DATAGRAMS = "datagrams"
    OPTIONS = "options"  # a connection is reset right before a question about it


OF_SERVERS = frozenset(
    (
        Kind.CRASH,
        Kind.SILENT,
        Kind.VANISH,
        Kind.SLOW,
        Kind.GARBAGE,
        Kind.MUTE,
        Kind.FULL,
        Kind.BREAK,
        Kind.DRAIN,
        Kind.IDLE,
        Kind.CUT,
    )
)
OF_FLEETS = frozenset((Kind.HERD, Kind.ZONE, Kind.REPLACE, Kind.OVERBOOK, Kind.PART))
OF_UPGRADES = frozenset((Kind.UPGRADE, Kind.BAN, Kind.DISK))
OF_CLOCKS = (Kind.CLOCK_HERE, Kind.CLOCK_THERE, Kind.CLOCK_LIST)
OF_CALLS = (
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
OF_SIDECARS = frozenset((Kind.PAUSE, Kind.KILL, Kind.TERM, Kind.SQUEEZE, Kind.FLOOD, Kind.CUT))
SPANS_MS = {
    Kind.CRASH: (300, 4000),
    Kind.PAUSE: (20, 250),
    Kind.KILL: (200, 2000),
    Kind.TERM: (200, 2000),
    Kind.MOVE: (0, 0),
    Kind.HERD: (300, 1500),
    Kind.REPLACE: (3000, 7000),
}
SPAN_MS = (300, 6000)  # of the others
LOAD_BEGINS_NS = 200 * MS
CLOCK_STEPS_NS = tuple(seconds * SECOND for seconds in (3600, -3600, 3, -3))


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at a time."""

    at_ns: int
    kind: Kind
    server: int
    sidecar: int
    span_ns: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a client of a sidecar makes.

    Attributes:
        cls: the class, by its number.
        deadline_ms: how long the client waits.
        leaves_ms: after which the client goes away; 0: it does not.
        behind: it is sent behind an open one on the same connection, if there is one.
        pieces: in how many writes it is sent.
        large: its body, or its answer where it has none, is too long to be held.
    """

    number: int
    at_ns: int
    sidecar: int
    cls: int
    deadline_ms: int
    leaves_ms: int
    behind: bool
    pieces: int
    large: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole run, as a value."""

    world: str
    seed: int
    span_ns: int
    servers: int
    sidecars: int
    faults: tuple[Fault, ...]
    arrivals: tuple[Arrival, ...]


@dataclass(frozen=True, slots=True)
class World:
    """From which scenarios are drawn.

    Attributes:
        rate: requests a second to each sidecar.
        faults_per_s: on average.
        kinds: of faults, drawn alike.
        deadlines_ms: by class.
        shares: of the classes in the requests.
        large_every: one in so many requests has a body or an answer that is passed on as it comes; 0: none.
        zones: their names, a letter each; servers stand in them in turn.
        spread: sidecars stand in them in turn too, not all in the first.
        view: sidecars keep a view of their fleet, and the run goes on until it must have settled.
        calls: they spread their calls of the list service.
        failover: they may work away from their zone.
        clocks: wall clocks are wrong from the start, by `CLOCK_STEPS_NS`.
        cold_share: of its capacity that a server has at its start.
        warm_ns: until it has all of it.
        ahead: of the requests are sent ahead of an answer, on a connection that waits for one.
        leaves: of the clients go away before their answer.
    """

    servers: int
    sidecars: int
    rate: float
    faults_per_s: float
    kinds: tuple[Kind, ...]
    deadlines_ms: tuple[int, ...]
    shares: tuple[float, ...]
    ahead: float = 0.08
    leaves: float = 0.04
    large_every: int = 0
    zones: str = "ab"
    spread: bool = False
    view: bool = False
    calls: bool = False
    failover: bool = False
    clocks: bool = False
    cold_share: float = 0.25
    warm_ns: int = 4 * SECOND


PLATFORM = tuple(
    kind for kind in Kind if kind not in OF_FLEETS | OF_UPGRADES | frozenset((*OF_CLOCKS, *OF_CALLS))
)
WORLDS = {
    "parts": World(5, 2, 40.0, 0.8, PLATFORM, (1000, 800, 1200), (0.5, 0.28, 0.22)),
    "restarts": World(
        4, 3, 25.0, 1.2, (Kind.KILL, Kind.TERM, Kind.CRASH, Kind.SILENT, Kind.STALE, Kind.DRAIN, Kind.MOVE),
        (1000, 800, 1200), (0.4, 0.3, 0.3),
    ),
    "ahead": World(3, 1, 90.0, 0.6, (Kind.TERM, Kind.SLOW, Kind.MOVE), (400, 300, 500), (0.4, 0.3, 0.3), 0.7),
    "silence": World(
        4, 1, 80.0, 1.5, (Kind.SILENT, Kind.MUTE, Kind.CUT, Kind.PAUSE, Kind.VANISH),
        (1000, 800, 1200), (0.8, 0.1, 0.1),
    ),
    "storm": World(3, 1, 90.0, 2.5, PLATFORM, (400, 300, 500), (0.4, 0.3, 0.3)),
    "leaving": World(
        4, 1, 90.0, 2.0, (Kind.PAUSE, Kind.CRASH, Kind.SILENT, Kind.SLOW, Kind.TERM),
        (1000, 800, 1200), (0.5, 0.28, 0.22), 0.3, 0.5,
    ),
    "services": World(
        6, 1, 60.0, 0.8, PLATFORM, (1000, 800, 1200), (0.4, 0.3, 0.3), 0.08, large_every=8
    ),
    "upgrade": World(
        5, 2, 40.0, 1.2,
        (*[Kind.UPGRADE] * 4, Kind.KILL, Kind.PAUSE, Kind.BAN, Kind.DISK, Kind.DRAIN, Kind.MOVE, Kind.CRASH),
        (1000, 800, 1200), (0.4, 0.3, 0.3),
    ),
    "fleet": World(
        60, 40, 6.0, 1.0, (*sorted(OF_FLEETS - {Kind.PART}), Kind.STALE, Kind.SILENT, Kind.TERM),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abcde", spread=True,
    ),
    "view": World(
        24, 15, 5.0, 0.8,
        (*[Kind.PART] * 2, Kind.HERD, Kind.KILL, Kind.TERM, Kind.PAUSE, Kind.ZONE, Kind.SILENT),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread=True, view=True,
    ),
    "coldstart": World(
        30, 25, 4.0, 0.8,
        (*[Kind.HERD] * 2, Kind.OVERBOOK, Kind.DISCOVERY, Kind.MOVE, Kind.TERM, Kind.ZONE, Kind.REPLACE,
         Kind.PART, Kind.STALE),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread=True, view=True, calls=True,
    ),
    "zones": World(
        12, 15, 10.0, 0.7,
        (*[Kind.ZONE] * 4, Kind.PART, Kind.HERD, Kind.KILL, Kind.SILENT, Kind.CRASH, Kind.STALE, Kind.CUT),
        (1000, 800, 1200), (0.5, 0.28, 0.22), zones="abc", spread=True, view=True, failover=True,
    ),
    "clocks": World(
        4, 30, 6.0, 1.5,
        (*OF_CLOCKS, *[Kind.CRASH] * 3, Kind.DRAIN, Kind.KILL, Kind.TERM, Kind.MOVE),
        (1000, 800, 1200), (0.6, 0.25, 0.15), clocks=True, cold_share=0.14, warm_ns=22 * SECOND,
    ),
    "syscalls": World(
        4, 2, 40.0, 2.5, (*OF_CALLS, Kind.TERM, Kind.CRASH, Kind.DRAIN, Kind.MOVE),
        (1000, 800, 1200), (0.5, 0.28, 0.22),
    ),
}  # fmt: skip


def draw(name: str, seed: int, span_ns: int) -> Scenario:
    """The scenario of a seed. Raises KeyError for a world that there is not."""
    world = WORLDS[name]
    return Scenario(
        name,
        seed,
        span_ns,
        world.servers,
        world.sidecars,
        _faults(world, stream(seed, "faults"), span_ns),
        _arrivals(world, seed, span_ns),
    )


def _faults(world: World, chance: random.Random, span_ns: int) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    edges: list[int] = []
    longest_ms = max(world.deadlines_ms)
    at_ns = LOAD_BEGINS_NS
    while True:
        at_ns += int(chance.expovariate(world.faults_per_s) * SECOND)
        if at_ns >= span_ns:
            return tuple(sorted(faults, key=lambda fault: fault.at_ns))
        when_ns = at_ns
        if edges and chance.random() < 0.35:
            near = chance.choice(edges[-6:])
            when_ns = min(near + chance.choice((0, 0, MS, longest_ms * MS - MS, longest_ms * MS)), span_ns)
        kind = chance.choice(world.kinds)
        least, most = SPANS_MS.get(kind, SPAN_MS)
        fault = Fault(
            when_ns,
            kind,
            chance.randrange(world.servers),
            chance.randrange(world.sidecars),
            int(chance.uniform(least, most) * MS),
        )
        faults.append(fault)
        edges += [when_ns, when_ns + fault.span_ns]


def _arrivals(world: World, seed: int, span_ns: int) -> tuple[Arrival, ...]:
    found: list[Arrival] = []
    for sidecar in range(world.sidecars):
        chance = stream(seed, "arrivals", sidecar)
        at_ns = LOAD_BEGINS_NS
        number = sidecar << 24
        while True:
            # Bursts, since a queue that forms and goes meets more edges than an even flow.
            rate = world.rate * (4.0 if chance.random() < 0.15 else 0.8)
            at_ns += int(chance.expovariate(rate) * SECOND)
            if at_ns >= span_ns:
                break
            number += 1
            cls = chance.choices(range(len(world.shares)), world.shares)[0]
            most = world.deadlines_ms[cls]
            leaves = chance.randrange(1, most) if chance.random() < world.leaves else 0
            found.append(
                Arrival(
                    number,
                    at_ns,
                    sidecar,
                    cls,
                    most if chance.random() < 0.6 else chance.randrange(most // 3, most),
                    leaves,
                    chance.random() < world.ahead,
                    chance.choice((1, 1, 1, 1, 2, 5)),
                    bool(world.large_every) and number % world.large_every == 0,
                )
            )
    return tuple(sorted(found, key=lambda arrival: (arrival.at_ns, arrival.number)))
