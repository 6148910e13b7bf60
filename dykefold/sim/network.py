"""An in-memory network with what TCP really does (RFC 9293).

Bytes arrive in arbitrary pieces and late, never out of order. A write may be taken in part. A connect is
refused, or never comes up. An end (FIN) stands behind the bytes before it; a reset drops what is still on its
way. A process that dies leaves what the other side's kernel has got. A cut between two hosts is silent:
what is sent waits, and goes on, or is reset, when the cut is over. Descriptors are counted by process.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from functools import partial

from .kernel import EPOCH_NS, NS_PER_MS, Kernel, stream
from .sockets import (
    Address,
    DatagramReceiver,
    NullObserver,
    ProcessLoop,
    SimDatagrams,
    SimSocket,
    SocketObserver,
)
from .syscalls import FailingCalls, SystemCall

BACKLOG = 128  # Connections that a listener holds until they are accepted.
SYN_RETRY_NS = 1_000 * NS_PER_MS  # After a connect that found the backlog full (RFC 6298).
MAX_DATAGRAM_BYTES = 1500
MAX_ROUTE_FAILURE_MS = 400.0  # Until a connect that no host answers fails.
LOCAL_LATENCY_NS = 20_000  # Minimum latency within a host; the draw is up to twice as much.
LATENCY_NS = 150_000  # Minimum latency between two hosts.
SPLIT_SHARE = 0.1  # Fraction of the transmissions that arrive in two pieces.
DATAGRAM_LOSS = 0.05
FIRST_PORT = 20_000
SIDECARS_PER_OCTET = 250


def network_of(sidecar: int) -> str:
    """Return the first three parts of the addresses of a sidecar and of its clients."""
    return f"10.{2 * (sidecar // SIDECARS_PER_OCTET)}.{sidecar % SIDECARS_PER_OCTET}"


class Network:
    """All hosts and what lies between them.

    Attributes:
        partial_write_share: Fraction of the writes of which the kernel takes only a part.
        observer: Observer of the traffic.
        hosts: Address of each host, by name.
        owners: Name of the host at each address.
        listeners: Reuseport group at each address, in the kernel's order.
        filters: Position in the group that a reuseport filter picks, by address.
        open: Sockets of each process, by descriptor.
        descriptors: Maximum number of descriptors by name of the process; no limit without an entry.
        cut: Pairs of hosts between which nothing passes; sent bytes wait in `stuck`.
        extra_latency_ns: Added latency between two hosts in nanoseconds.
        passes: Returns whether a datagram from one host reaches another.
        clock_steps_ns: Nanoseconds by which the wall clock of a host is wrong.
    """

    def __init__(self, kernel: Kernel, partial_write_share: float = 0.02) -> None:
        """Make a network without hosts."""
        self.kernel = kernel
        self.random: random.Random = stream(kernel.seed, "network")
        self.partial_write_share = partial_write_share
        self.observer: SocketObserver = NullObserver()
        self.hosts: dict[str, str] = {}
        self.owners: dict[str, str] = {}
        self.listeners: dict[Address, list[SimSocket]] = {}
        self.filters: dict[Address, int] = {}
        self.datagrams: dict[Address, SimDatagrams] = {}
        self.open: dict[str, dict[int, SimSocket]] = {}
        self.descriptors: dict[str, int] = {}
        self.cut: set[frozenset[str]] = set()
        self.stuck: dict[frozenset[str], list[Callable[[], None]]] = {}
        self.extra_latency_ns: dict[frozenset[str], int] = {}
        self.passes: Callable[[str, str], bool] = lambda _from, _to: True
        self.failing = FailingCalls(kernel.seed)
        self.clock_steps_ns: dict[str, int] = {}
        self.last_number = 0
        self.last_port = FIRST_PORT

    def add_host(self, name: str, address: str) -> None:
        """Add a host with an address; a host may have had another one before."""
        self.hosts[name] = address
        self.owners[address] = name
        self.open.setdefault(name, {})

    def wall_ns(self, host: str) -> int:
        """Return Unix time as a host's clock shows it, steps included."""
        return EPOCH_NS + self.kernel.now_ns + self.clock_steps_ns.get(host, 0)

    def next_port(self) -> int:
        """Return a port that no connection has used."""
        self.last_port += 1
        return self.last_port

    # Descriptors

    def check_descriptors(self, loop: ProcessLoop) -> None:
        """Raise OSError (EMFILE) if a process may hold no more descriptors."""
        limit = self.descriptors.get(loop.name)
        if limit is not None and len(self.open[loop.name]) >= limit:
            raise OSError(errno.EMFILE, "Too many open files")

    def register(self, sock: SimSocket) -> int:
        """Give a socket a descriptor."""
        self.last_number += 1
        self.open[sock.loop.name][self.last_number] = sock
        return self.last_number

    def release(self, sock: SimSocket) -> None:
        """Take a socket's descriptor back."""
        self.open[sock.loop.name].pop(sock.number, None)

    def by_number(self, loop: ProcessLoop, number: int) -> SimSocket:
        """Return the socket of a process with this descriptor; KeyError if there is none."""
        return self.open[loop.name][number]

    def socket(self, loop: ProcessLoop) -> SimSocket:
        """Return a new socket of a process; OSError if it may hold no more."""
        code = self.failing.error(loop.host, SystemCall.SOCKET)
        if code:
            raise OSError(code, "socket")
        return self._make_socket(loop)

    def _make_socket(self, loop: ProcessLoop) -> SimSocket:
        self.check_descriptors(loop)
        sock = SimSocket(self, loop, 0)
        sock.number = self.register(sock)
        return sock

    # Listeners

    def listen(self, loop: ProcessLoop, port: int) -> SimSocket:
        """Return the listening socket of a process that starts: no failing system call reaches it."""
        sock = self._make_socket(loop)
        sock.local, sock.listening = (self.hosts[loop.host], port), True
        self.listeners.setdefault(sock.local, []).append(sock)
        return sock

    def remove_listener(self, sock: SimSocket) -> None:
        """Let the last of a reuseport group take the position of one that ends, as the kernel does."""
        group = self.listeners[sock.local]
        position = group.index(sock)
        group[position] = group[-1]
        group.pop()
        if not group:
            del self.listeners[sock.local]
            self.filters.pop(sock.local, None)

    def _pick_listener(self, address: Address) -> SimSocket | None:
        """Return the listener that a new connection comes to."""
        group = self.listeners.get(address)
        if group is None:
            return None
        position = self.filters.get(address, len(group))
        if position >= len(group):
            position = self.random.randrange(len(group)) if len(group) > 1 else 0
        return group[position]

    def kill(self, loop: ProcessLoop) -> None:
        """End a process: its connections are reset."""
        loop.die()
        for sock in list(self.open[loop.name].values()):
            sock.abandon()
        self.open[loop.name].clear()
        for address in [address for address, endpoint in self.datagrams.items() if endpoint.loop is loop]:
            del self.datagrams[address]

    # The way between two hosts

    def _hosts_of(self, sock: SimSocket) -> frozenset[str]:
        return frozenset((sock.loop.host, self.owners.get(sock.remote[0], sock.remote[0])))

    def latency_ns(self, sock: SimSocket) -> int:
        """Draw how long a packet takes to the other side."""
        hosts = self._hosts_of(sock)
        base_ns = LOCAL_LATENCY_NS if len(hosts) == 1 else LATENCY_NS
        return int(base_ns * (1.0 + self.random.random())) + self.extra_latency_ns.get(hosts, 0)

    def _deliver(self, sock: SimSocket, at_ns: int, act: Callable[[], None]) -> None:
        """Do something at the other end, when what was sent before it has arrived there."""
        sock.earliest_arrival_ns = max(sock.earliest_arrival_ns + 1, at_ns)
        self.kernel.at(sock.earliest_arrival_ns, self._deliver_now, self._hosts_of(sock), act)

    def _deliver_now(self, hosts: frozenset[str], act: Callable[[], None]) -> None:
        if hosts in self.cut or hosts in self.stuck:
            self.stuck.setdefault(hosts, []).append(act)
        else:
            act()

    def part(self, one: str, other: str) -> None:
        """Cut the way between two hosts, in silence."""
        self.cut.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a cut: what was sent meanwhile arrives now, in order."""
        hosts = frozenset((one, other))
        self.cut.discard(hosts)
        for act in self.stuck.pop(hosts, []):
            act()

    # Connections

    def connect(self, sock: SimSocket) -> None:
        """Send a connection request."""
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._request_arrives, sock))

    def _request_arrives(self, sock: SimSocket) -> None:
        if sock.on_connected is None:
            return
        code = self.failing.error(sock.loop.host, SystemCall.ROUTE)
        if code:
            late_ns = int(self.failing.random.random() * MAX_ROUTE_FAILURE_MS * NS_PER_MS)
            self._deliver(sock, self.kernel.now_ns + late_ns, partial(self._connected, sock, code))
            return
        listener = self._pick_listener(sock.remote)
        if listener is None:
            at_ns = self.kernel.now_ns + self.latency_ns(sock)
            self._deliver(sock, at_ns, partial(self._connected, sock, errno.ECONNREFUSED))
            return
        if len(listener.backlog) >= BACKLOG:
            self.kernel.after(SYN_RETRY_NS, self._request_arrives, sock)
            return
        self._enter_backlog(sock, listener)

    def _enter_backlog(self, sock: SimSocket, listener: SimSocket) -> None:
        other = SimSocket(self, listener.loop, 0)
        other.local, other.remote = sock.remote, sock.local
        sock.peer, other.peer = other, sock
        listener.backlog.append(other)
        listener.notify_readable()
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._connected, sock, 0))

    def _connected(self, sock: SimSocket, code: int) -> None:
        done, sock.on_connected = sock.on_connected, None
        if done is None:
            return
        if code:
            sock.error = code
            done(OSError(code, "refused"))
        else:
            done(None)

    def cancel_connect(self, sock: SimSocket) -> None:
        """End a connect that has not come up."""
        done, sock.on_connected = sock.on_connected, None
        sock.error = errno.ECONNRESET
        if sock.peer is not None:
            self.reset(sock)
        if done is not None:
            done(OSError(errno.ECONNABORTED, "called off"))

    def transmit(self, sock: SimSocket, data: bytes) -> None:
        """Carry bytes to the other side, sometimes in two pieces."""
        sock.in_flight_bytes += len(data)
        at_ns = self.kernel.now_ns + self.latency_ns(sock)
        if len(data) > 1 and self.random.random() < SPLIT_SHARE:
            middle = self.random.randrange(1, len(data))
            self._deliver(sock, at_ns, partial(self._bytes_arrive, sock, data[:middle]))
            later_ns = at_ns + int(self.random.random() * NS_PER_MS)
            self._deliver(sock, later_ns, partial(self._bytes_arrive, sock, data[middle:]))
        else:
            self._deliver(sock, at_ns, partial(self._bytes_arrive, sock, data))

    def _bytes_arrive(self, sock: SimSocket, data: bytes) -> None:
        sock.in_flight_bytes -= len(data)
        peer = sock.peer
        assert peer is not None
        if peer.error:
            return
        if peer.closed or (peer.read_closed and peer.write_closed):
            if not sock.error:
                at_ns = self.kernel.now_ns + self.latency_ns(peer)
                self._deliver(peer, at_ns, partial(self.reset_arrives, sock))
            return
        if peer.read_closed:
            return
        peer.received.append(data)
        peer.unread_bytes += len(data)
        peer.arrived_bytes += len(data)
        self.observer.arrived(peer)
        peer.notify_readable()

    def finish(self, sock: SimSocket) -> None:
        """Carry the end of a side to the other one, behind all bytes."""
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._end_arrives, sock))

    def _end_arrives(self, sock: SimSocket) -> None:
        peer = sock.peer
        if peer is not None and not peer.error:
            peer.eof_received = True
            self.observer.broken(peer)
            peer.notify_readable()

    def reset(self, sock: SimSocket) -> None:
        """Reset a connection: what is on its way is lost, the other end hears of it."""
        sock.error = sock.error or errno.ECONNRESET
        if sock.peer is not None:
            at_ns = self.kernel.now_ns + self.latency_ns(sock)
            self._deliver(sock, at_ns, partial(self.reset_arrives, sock.peer))

    def reset_arrives(self, sock: SimSocket) -> None:
        """End a connection at the side that the other one has reset."""
        if sock.error or sock.closed:
            return
        sock.error = errno.ECONNRESET
        self.observer.broken(sock)
        sock.notify_readable()
        if sock.write_blocked:
            sock.notify_writable()

    # Datagrams

    def bind_datagrams(self, loop: ProcessLoop, local: Address, protocol: DatagramReceiver) -> SimDatagrams:
        """Return the datagram endpoint of a process at an address."""
        endpoint = self.datagrams[local] = SimDatagrams(self, loop, local, protocol)
        return endpoint

    def close_datagrams(self, endpoint: SimDatagrams) -> None:
        """Let no more datagrams come to an endpoint."""
        self.datagrams.pop(endpoint.local, None)

    def send_datagram(self, sender: SimDatagrams, data: bytes, address: Address) -> None:
        """Carry a datagram, unless it is too long, gets lost, or there is no way to its address."""
        if len(data) > MAX_DATAGRAM_BYTES or self.random.random() < DATAGRAM_LOSS:
            return
        hosts = frozenset((sender.loop.host, self.owners.get(address[0], address[0])))
        delay_ns = int(NS_PER_MS * (1 + 20 * self.random.random()))  # so that one may overtake another
        if hosts not in self.cut and self.passes(sender.loop.host, self.owners.get(address[0], "")):
            self.kernel.after(delay_ns, self._datagram_arrives, data, sender.local, address)

    def _datagram_arrives(self, data: bytes, source: Address, address: Address) -> None:
        endpoint = self.datagrams.get(address)
        if endpoint is not None:
            endpoint.loop.wake(endpoint.protocol.datagram_received, data, source)
