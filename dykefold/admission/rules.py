"""Which client connection is let in, kept and let go. No I/O: times come in, connections to close go out.

The rules that this file keeps:
1. A connection with a request open, or with an answer on its way out, is never let go.
2. The clients' share is never exceeded: whoever is let in beyond it, another one is named to leave first.
3. Strangers never hold the reserve; known desks take it, and the room of strangers after it.
4. Among those that may leave the order is: those that are leaving anyway, never asked, stopped within a
   message, idle after one request, idle after several, and last the youngest with a message begun of the
   address that has most of these. Within each, the address that has most gives first, its oldest one.
   One whose next bytes are there unread has come back: it is passed over, a bounded number of times.
5. Nothing costs more when more connections are open.

Idle connections also go before anything is full. What clients may hold for requests is counted on their
side as well, and there a connection that asked once and is kept for good takes a place from the next
request. How many idle ones are of use shows in what was open at once of late; how long to wait for
their next request, in the gaps that clients leave between requests (as TCP's retransmission time-out,
RFC 6298 section 2: smoothed mean and four mean deviations).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from itertools import takewhile

from .addresses import Address, Addresses, Caps, Key
from .queues import Queue

HEAD_MOST_S = 2.6  # from connecting, or from a message's first byte, until its head has come: 2 s are honest
BODY_GAP_S = 1.5  # without a byte of a body that is longer on its way than that
BODY_LEAST_BYTES_S = 24 * 1024  # ... and what it must bring on the average: 64 kB a second are honest
BODY_FIRST_S = 1.0  # that it has before that counts
IDLE_MOST_S = 2.0  # that a connection is kept with no request open
STOPPED_AFTER_S = 0.5  # without a byte of a message that has begun: it may leave when all is full
YOUNG_S = 0.02  # in which a new connection's first request may well be on its way
FEW_SILENT = 0.25  # of the share: when more than that are silent, it is no burst of usual ones
PEAK_SPAN_S = 2.0  # over which the most requests open at once are remembered, and at most twice that
WORKING_SET = 2.0  # times that peak: connections that clients can make use of
WORKING_LEAST = 8  # ... and so many, for clients that hardly ask
USABLE_PART = 0.75  # of what clients may hold for requests; the rest is room for those that come at once
GAP_GAIN = 1 / 8  # RFC 6298
DEVIATION_GAIN = 1 / 4
GAP_DEVIATIONS = 4.0
GAP_FIRST_S = 0.1
GAP_LEAST_S = 0.02
PASSED_OVER_MOST = 16  # of those that could make room, as they have come back: each costs a system call
SURPLUS_AT_ONCE = 4  # to let go at each event: more come back than arrive, and the cost stays bounded


class State(IntEnum):
    """What a connection does, in the order in which connections may be let go; BUSY ones never are."""

    LEAVING = 0  # answered with an error, only its end is waited for
    SILENT = 1  # never asked
    ONCE = 2  # idle after its first request
    KEPT = 3  # idle after more
    READING = 4  # a message has begun
    BUSY = 5  # a request waits or is open, or an answer is on its way out


IDLE = (State.ONCE, State.KEPT)
RENEWED = (*IDLE, State.READING)  # states that count from the latest that was heard


class Reason(Enum):
    """Which cap stands against a connection or a request; the edge puts it into words."""

    CONNECTIONS = auto()
    NEW_CONNECTIONS = auto()
    FULL = auto()
    OPEN_REQUESTS = auto()
    UNFINISHED_BYTES = auto()
    REQUESTS = auto()


class Client:
    """One connection as the rules see it."""

    __slots__ = (
        "address",
        "body_at_s",
        "body_bytes",
        "heard_at_s",
        "host",
        "idle_since_s",
        "known",
        "owner",
        "requests",
        "state",
    )

    def __init__(self, address: Address, host: str) -> None:
        self.address = address
        self.host = host
        self.owner: Key = address.key
        self.known = address.known  # as it was let in: a queue must find it again
        self.state: State | None = None  # once it has left
        self.requests = 0
        self.idle_since_s = 0.0
        self.body_at_s = 0.0  # when bytes of an unfinished body first came; 0: none have
        self.body_bytes = 0  # of it since then, and when the latest came
        self.heard_at_s = 0.0


@dataclass(frozen=True, slots=True)
class Share:
    """What clients may hold in all.

    Attributes:
        connections: open at once.
        usable: of these, what the clients' side can hold for requests.
    """

    connections: int
    usable: int


class Side:
    """Connections of known desks, or of strangers, by state."""

    def __init__(self) -> None:
        self.count = 0
        self.queues: list[Queue[Client]] = [Queue() for _ in State]


Asks = Callable[[Client], bool]  # whether something of a client is there that was not read yet


def _silent(_: Client) -> bool:
    return False


class Admission:
    """Decides on each connection; the edge names every one by its `Client`."""

    def __init__(self, share: Share, caps: Caps) -> None:
        self.share = share
        self.addresses = Addresses(caps)
        self.sides = {False: Side(), True: Side()}
        self.unfinished: OrderedDict[Client, float] = OrderedDict()  # a message is owed since
        self.bodies: dict[Client, None] = {}  # those whose messages may take longer: a body keeps coming
        self.asked = 0  # connections with one request at least: what clients hold for requests
        self.busy = 0
        self.peak = self.earlier_peak = 0  # of `busy`, in this span and in the one before
        self.peak_at_s = 0.0
        self.working = 0.0  # connections that clients can make use of, by these peaks
        self._count_working()
        self.gap_s = GAP_FIRST_S
        self.gap_deviation_s = GAP_FIRST_S / 2

    @property
    def caps(self) -> Caps:
        return self.addresses.caps

    @property
    def count(self) -> int:
        return self.sides[False].count + self.sides[True].count

    # Letting in

    def connect(
        self, host: str, now_s: float, asks: Asks = _silent
    ) -> tuple[Client | None, Reason | None, Client | None]:
        """Judge a new connection.

        Args:
            asks: whether something of a client is there that was not read yet: it has come back.

        Returns the client, or the reason against it, and the one that must be closed to make room.
        """
        address = self.addresses.find(host, now_s)
        most = self.caps.known_connections if address.known else self.caps.connections
        if most is not None and address.connections >= most:
            self.offence(address, now_s)
            return None, Reason.CONNECTIONS, None
        if not self.addresses.take_token(address, now_s):
            self.offence(address, now_s)
            self.addresses.released(address)  # or its use of the cap would be forgotten
            return None, Reason.NEW_CONNECTIONS, None
        victim = None
        strangers = self.share.connections - self._reserve()
        if self.count >= self.share.connections or (
            not address.known and self.sides[False].count >= strangers
        ):
            victim = self._to_leave(address.known, now_s, asks)
            over = self.count > self.share.connections  # the share has become smaller: one is not enough
            if victim is not None:
                self.leave(victim)
            if victim is None or over:
                self.addresses.released(address)
                return None, Reason.FULL, victim
        client = Client(address, host)
        self.addresses.entered(address)
        self.sides[client.known].count += 1
        self._enter(client, State.SILENT, now_s)
        self.unfinished[client] = now_s
        return client, None, victim

    def _reserve(self) -> int:
        """The reserve, but never so much that a stranger could not be let in when nobody else is there."""
        return min(self.caps.reserve, self.share.connections - 1)

    def leave(self, client: Client) -> None:
        """A connection has closed or is about to be; again it does nothing."""
        if client.state is None:
            return
        self._exit(client)
        client.state = None
        self._finished(client)
        if client.requests:
            self.asked -= 1
        self.sides[client.known].count -= 1
        client.address.connections -= 1
        self.addresses.released(client.address)

    # What connections do

    def place(self, client: Client, state: State, begun: bool, requests: int, now_s: float) -> None:
        """Note a connection's state, whether a message has begun, and how many whole ones have come."""
        if client.state is None:
            return
        if requests > client.requests:
            if not client.requests:
                self.asked += 1
            elif client.state in IDLE:
                self._learn_gap(now_s - client.idle_since_s)
            client.requests = requests
            self._finished(client)
        if begun:
            if client not in self.bodies:
                self.unfinished.setdefault(client, now_s)
        elif requests or state is State.LEAVING:
            self._finished(client)
        if state is State.ONCE and client.requests > 1:
            state = State.KEPT
        if state is client.state and state not in RENEWED:
            return
        self._exit(client)
        self._enter(client, state, now_s)

    def _finished(self, client: Client) -> None:
        """Nothing is owed of the message that was on its way."""
        self.unfinished.pop(client, None)
        self.bodies.pop(client, None)
        client.body_at_s = 0.0

    def progress(self, client: Client, size: int, now_s: float) -> None:
        """Count bytes of a body that has not come to its end."""
        if not client.body_at_s:
            client.body_at_s, client.body_bytes = now_s, 0
        client.body_bytes += size
        client.heard_at_s = now_s

    def _keeps_up(self, client: Client, now_s: float) -> bool:
        if not client.body_at_s or now_s - client.heard_at_s > BODY_GAP_S:
            return False
        due_s = now_s - client.body_at_s - BODY_FIRST_S
        return client.body_bytes >= BODY_LEAST_BYTES_S * due_s

    def ask_again(self, client: Client, requests: int, now_s: float) -> None:
        """What `place` does for the usual case: a kept idle connection whose next request has come whole."""
        if requests > client.requests:
            self._learn_gap(now_s - client.idle_since_s)
            client.requests = requests
        self.sides[client.known].queues[State.KEPT].discard(client)
        client.state = State.BUSY
        self.busy += 1
        self._count_peak(now_s)

    def _enter(self, client: Client, state: State, now_s: float) -> None:
        client.state = state
        if state is State.BUSY:
            self.busy += 1
            self._count_peak(now_s)
            return
        client.idle_since_s = now_s
        self.sides[client.known].queues[state].add(client, now_s)

    def _exit(self, client: Client) -> None:
        if client.state is State.BUSY:
            self.busy -= 1
        elif client.state is not None:
            self.sides[client.known].queues[client.state].discard(client)

    def _count_peak(self, now_s: float) -> None:
        if now_s - self.peak_at_s >= PEAK_SPAN_S:
            stale = now_s - self.peak_at_s >= 2 * PEAK_SPAN_S
            self.earlier_peak = 0 if stale else self.peak
            self.peak = self.busy
            self.peak_at_s = now_s
            self._count_working()
        elif self.busy > self.peak:
            self.peak = self.busy
            self._count_working()

    def _count_working(self) -> None:
        usable = USABLE_PART * self.share.usable
        self.working = min(WORKING_SET * max(self.peak, self.earlier_peak) + WORKING_LEAST, usable)

    def _learn_gap(self, gap_s: float) -> None:
        self.gap_deviation_s += DEVIATION_GAIN * (abs(gap_s - self.gap_s) - self.gap_deviation_s)
        self.gap_s += GAP_GAIN * (gap_s - self.gap_s)

    # Letting go

    def _to_leave(self, for_known: bool, now_s: float, asks: Asks) -> Client | None:
        """Who makes room; strangers first, and for a stranger nobody else."""
        passed_over: set[Client] = set()
        for known in (False, True) if for_known else (False,):
            side = self.sides[known]
            while side.count and (client := self._least_needed(side, now_s)) is not None:
                if client in passed_over:
                    break
                if not asks(client):
                    return client
                if len(passed_over) >= PASSED_OVER_MOST:
                    return None
                passed_over.add(client)
                self._come_back(client, now_s)
        return None

    def _come_back(self, client: Client, now_s: float) -> None:
        """Something of it is there unread: it counts as heard now, and stands behind the others."""
        idle_since_s, state = client.idle_since_s, client.state
        if state is not None:
            self._exit(client)
            self._enter(client, state, now_s)
            client.idle_since_s = idle_since_s  # the gap before its request is still learned

    def _least_needed(self, side: Side, now_s: float) -> Client | None:
        leaving, silent, once, kept, reading, _ = side.queues
        if leaving:
            return leaving.oldest()
        if silent:
            client = silent.greediest_oldest()
            assert client is not None
            flood = len(silent) > FEW_SILENT * self.share.connections
            if flood or now_s - silent.since[client] >= YOUNG_S or not (once or kept):
                return client
        stopped = reading.oldest()
        if stopped is not None and reading.since[stopped] <= now_s - STOPPED_AFTER_S:
            return stopped
        for queue in (once, kept):
            if queue:
                return queue.greediest_oldest()
        if reading:
            return reading.greediest_youngest()
        return silent.greediest_oldest()

    def surplus(self, now_s: float, asks: Asks = _silent) -> list[Client]:
        """Idle connections that nobody seems to come back for, while more are held than are of use.

        Args:
            asks: whether something of a client is there that was not read yet: it has come back.
        """
        found: list[Client] = []
        for _ in range(SURPLUS_AT_ONCE):
            client = self._unused(now_s) if self.asked > self.working else None
            if client is None:
                break
            if asks(client):
                self._come_back(client, now_s)
                continue
            self.leave(client)
            found.append(client)
        return found

    def _unused(self, now_s: float) -> Client | None:
        gap_s = max(self.gap_s + GAP_DEVIATIONS * self.gap_deviation_s, GAP_LEAST_S)
        for state in IDLE:
            for side in self.sides.values():
                queue = side.queues[state]
                client = queue.oldest()
                if client is not None and now_s - queue.since[client] >= gap_s:
                    return client
        return None

    def release(self, now_s: float, asks: Asks = _silent) -> Client | None:
        """Whom to let go when the system has no descriptor left, known or not."""
        client = self._to_leave(True, now_s, asks)
        if client is not None:
            self.leave(client)
        return client

    def resize(self, share: Share, caps: Caps, now_s: float, asks: Asks = _silent) -> list[Client]:
        """Take other limits; returns whom the smaller ones have no room for, of those that may leave."""
        self.share = share
        self._count_working()
        self.addresses.apply(caps)
        found: list[Client] = []
        while self.count > share.connections and (client := self.release(now_s, asks)) is not None:
            found.append(client)
        return found

    # Time

    def late(self, now_s: float) -> list[Client]:
        """Connections whose message has not come in time; each is told once.

        A head has a time in all. A body has one for as long as it keeps coming: however large and slow, it
        is honest at the rate that it is owed, and one that has stopped is told within a few seconds.
        """
        before = now_s - HEAD_MOST_S
        due = [c for c, _ in takewhile(lambda entry: entry[1] <= before, self.unfinished.items())]
        for client in due:
            del self.unfinished[client]
            self.bodies[client] = None
        found = [client for client in self.bodies if not self._keeps_up(client, now_s)]
        for client in found:
            del self.bodies[client]
        return found

    def wait_again(self, client: Client, now_s: float) -> None:
        """Give a late connection its time anew: it was not being read."""
        if client.state is not None:
            self._finished(client)
            self.unfinished[client] = now_s

    def unused(self, now_s: float) -> list[Client]:
        """Connections that have been idle for too long."""
        return list(self._idle_since(now_s - IDLE_MOST_S))

    def _idle_since(self, time_s: float) -> Iterator[Client]:
        for side in self.sides.values():
            for state in IDLE:
                yield from side.queues[state].until(time_s)

    # Requests

    def open_request(self, client: Client, now_s: float) -> Reason | None:
        """Count a request as open, or say which cap stands against it."""
        address = client.address
        most = self.caps.open_requests
        if most is not None and address.open_requests >= most:
            self.offence(address, now_s)
            return Reason.OPEN_REQUESTS
        address.open_requests += 1
        return None

    def close_request(self, client: Client, served: bool, now_s: float) -> None:
        address = client.address
        address.open_requests -= 1
        if served:
            self.addresses.conduct(address, True, now_s)
        self.addresses.released(address)

    def hold(self, client: Client, size: int, now_s: float) -> bool:
        """Count bytes of an unfinished message; False if the address has too many."""
        address = client.address
        most = self.caps.unfinished_bytes
        if most is not None and address.unfinished_bytes + size > most:
            self.offence(address, now_s)
            return False
        address.unfinished_bytes += size
        return True

    def free(self, client: Client, size: int) -> None:
        client.address.unfinished_bytes -= size

    def offence(self, address: Address, now_s: float) -> None:
        """A cap was met, or a message could not be read: what was earned by good conduct is gone."""
        self.addresses.conduct(address, False, now_s)
