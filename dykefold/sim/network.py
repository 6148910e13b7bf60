"""An in-memory network with the behavior of TCP (RFC 9293).

Bytes arrive in arbitrary pieces and late, never out of order. The kernel may accept only a part of a write.
A connect may be refused or never complete. An end of stream (FIN) arrives after the bytes sent before it; a
reset drops bytes in flight. When a process dies, the peer can still read what its own kernel has received.
A network partition between two hosts is silent: sent segments wait until it ends; then they are delivered,
or the connection is reset. Descriptors are counted per process.
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

BACKLOG = 128  # Maximum number of connections of a listener that wait to be accepted.
SYN_RETRY_NS = 1_000 * NS_PER_MS  # Retransmission delay of a connect that found the backlog full (RFC 6298).
MAX_DATAGRAM_BYTES = 1500
MAX_ROUTE_FAILURE_MS = 400.0  # Maximum delay until a connect that no host answers fails.
LOCAL_LATENCY_NS = 20_000  # Minimum latency within a host; the random latency is up to twice this.
LATENCY_NS = 150_000  # Minimum latency between two hosts; the random latency is up to twice this.
SPLIT_SHARE = 0.1  # Fraction of transmissions that arrive in two pieces.
DATAGRAM_LOSS = 0.05
FIRST_PORT = 20_000
SIDECARS_PER_OCTET = 250


def network_of(sidecar: int) -> str:
    """Return the first three octets of the addresses of a sidecar and of its clients."""
    return f"10.{2 * (sidecar // SIDECARS_PER_OCTET)}.{sidecar % SIDECARS_PER_OCTET}"


class Network:
    """All hosts of a world and the links between them.

    Attributes:
        partial_write_share: Fraction of writes of which the kernel accepts only a part.
        observer: Observer of the traffic.
        hosts: Address of each host, by name.
        host_by_address: Name of the host at each address.
        listeners: Reuseport group at each address, in the kernel's order.
        filters: Position in the reuseport group that its filter selects, by address.
        open: Sockets of each process, by descriptor.
        descriptors: Maximum number of descriptors by name of the process; no limit without an entry.
        cut_links: Pairs of hosts that are partitioned; segments sent between them wait in
            `delayed_deliveries`.
        delayed_deliveries: Deliveries delayed by a partition, in order, by pair of hosts.
        extra_latency_ns: Added latency by pair of hosts, in nanoseconds.
        datagram_passes: Returns whether a datagram from one host reaches another.
        clock_steps_ns: Error of the wall clock by host, in nanoseconds.
    """

    def __init__(self, kernel: Kernel, partial_write_share: float = 0.02) -> None:
        """Create a network without hosts."""
        self.kernel = kernel
        self.random: random.Random = stream(kernel.seed, "network")
        self.partial_write_share = partial_write_share
        self.observer: SocketObserver = NullObserver()
        self.hosts: dict[str, str] = {}
        self.host_by_address: dict[str, str] = {}
        self.listeners: dict[Address, list[SimSocket]] = {}
        self.filters: dict[Address, int] = {}
        self.datagrams: dict[Address, SimDatagrams] = {}
        self.open: dict[str, dict[int, SimSocket]] = {}
        self.descriptors: dict[str, int] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.delayed_deliveries: dict[frozenset[str], list[Callable[[], None]]] = {}
        self.extra_latency_ns: dict[frozenset[str], int] = {}
        self.datagram_passes: Callable[[str, str], bool] = lambda _from, _to: True
        self.failing_calls = FailingCalls(kernel.seed)
        self.clock_steps_ns: dict[str, int] = {}
        self.last_descriptor = 0
        self.last_port = FIRST_PORT

    def add_host(self, name: str, address: str) -> None:
        """Add a host, or move a host to a new address."""
        self.hosts[name] = address
        self.host_by_address[address] = name
        self.open.setdefault(name, {})

    def wall_ns(self, host: str) -> int:
        """Return the Unix time of a host's wall clock in nanoseconds, including its steps."""
        return EPOCH_NS + self.kernel.now_ns + self.clock_steps_ns.get(host, 0)

    def next_port(self) -> int:
        """Return a port that no connection has used before."""
        self.last_port += 1
        return self.last_port

    # Descriptors

    def check_descriptors(self, loop: ProcessLoop) -> None:
        """Raise OSError (EMFILE) if a process has reached its descriptor limit."""
        limit = self.descriptors.get(loop.name)
        if limit is not None and len(self.open[loop.name]) >= limit:
            raise OSError(errno.EMFILE, "Too many open files")

    def register(self, sock: SimSocket) -> int:
        """Allocate the descriptor of a socket and return it."""
        self.last_descriptor += 1
        self.open[sock.loop.name][self.last_descriptor] = sock
        return self.last_descriptor

    def release(self, sock: SimSocket) -> None:
        """Free the descriptor of a socket."""
        self.open[sock.loop.name].pop(sock.number, None)

    def socket_by_descriptor(self, loop: ProcessLoop, number: int) -> SimSocket:
        """Return the socket behind a descriptor of a process; KeyError if there is none."""
        return self.open[loop.name][number]

    def socket(self, loop: ProcessLoop) -> SimSocket:
        """Create a socket of a process; OSError if the system call fails or no descriptor is left."""
        code = self.failing_calls.error(loop.host, SystemCall.SOCKET)
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
        """Create the listening socket of a starting process; injected system call failures do not apply."""
        sock = self._make_socket(loop)
        sock.local, sock.listening = (self.hosts[loop.host], port), True
        self.listeners.setdefault(sock.local, []).append(sock)
        return sock

    def remove_listener(self, sock: SimSocket) -> None:
        """Remove a listener; the last of its reuseport group takes its position, as in the Linux kernel."""
        group = self.listeners[sock.local]
        position = group.index(sock)
        group[position] = group[-1]
        group.pop()
        if not group:
            del self.listeners[sock.local]
            self.filters.pop(sock.local, None)

    def _pick_listener(self, address: Address) -> SimSocket | None:
        """Return the listener for a new connection; None if nothing listens at the address."""
        group = self.listeners.get(address)
        if group is None:
            return None
        position = self.filters.get(address, len(group))
        if position >= len(group):
            position = self.random.randrange(len(group)) if len(group) > 1 else 0
        return group[position]

    def kill(self, loop: ProcessLoop) -> None:
        """Kill a process: its connections are reset."""
        loop.die()
        for sock in list(self.open[loop.name].values()):
            sock.reset_by_kernel()
        self.open[loop.name].clear()
        for address in [address for address, endpoint in self.datagrams.items() if endpoint.loop is loop]:
            del self.datagrams[address]

    # Links between hosts

    def _hosts_of(self, sock: SimSocket) -> frozenset[str]:
        return frozenset((sock.loop.host, self.host_by_address.get(sock.remote[0], sock.remote[0])))

    def latency_ns(self, sock: SimSocket) -> int:
        """Draw the latency of a packet to the peer, in nanoseconds."""
        hosts = self._hosts_of(sock)
        base_ns = LOCAL_LATENCY_NS if len(hosts) == 1 else LATENCY_NS
        return int(base_ns * (1.0 + self.random.random())) + self.extra_latency_ns.get(hosts, 0)

    def _deliver(self, sock: SimSocket, at_ns: int, callback: Callable[[], None]) -> None:
        """Schedule a delivery at the peer, after everything that was sent before it has arrived."""
        sock.earliest_arrival_ns = max(sock.earliest_arrival_ns + 1, at_ns)
        self.kernel.at(sock.earliest_arrival_ns, self._deliver_now, self._hosts_of(sock), callback)

    def _deliver_now(self, hosts: frozenset[str], callback: Callable[[], None]) -> None:
        if hosts in self.cut_links or hosts in self.delayed_deliveries:
            self.delayed_deliveries.setdefault(hosts, []).append(callback)
        else:
            callback()

    def cut_link(self, host: str, other_host: str) -> None:
        """Partition two hosts: segments between them wait, without an error at either side."""
        self.cut_links.add(frozenset((host, other_host)))

    def restore_link(self, host: str, other_host: str) -> None:
        """End a partition: segments sent meanwhile arrive now, in order."""
        hosts = frozenset((host, other_host))
        self.cut_links.discard(hosts)
        for callback in self.delayed_deliveries.pop(hosts, []):
            callback()

    # Connections

    def connect(self, sock: SimSocket) -> None:
        """Send a connection request."""
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._syn_arrives, sock))

    def _syn_arrives(self, sock: SimSocket) -> None:
        if sock.on_connected is None:
            return
        code = self.failing_calls.error(sock.loop.host, SystemCall.ROUTE)
        if code:
            delay_ns = int(self.failing_calls.random.random() * MAX_ROUTE_FAILURE_MS * NS_PER_MS)
            self._deliver(sock, self.kernel.now_ns + delay_ns, partial(self._connected, sock, code))
            return
        listener = self._pick_listener(sock.remote)
        if listener is None:
            at_ns = self.kernel.now_ns + self.latency_ns(sock)
            self._deliver(sock, at_ns, partial(self._connected, sock, errno.ECONNREFUSED))
            return
        if len(listener.backlog) >= BACKLOG:
            self.kernel.after(SYN_RETRY_NS, self._syn_arrives, sock)
            return
        self._add_to_backlog(sock, listener)

    def _add_to_backlog(self, sock: SimSocket, listener: SimSocket) -> None:
        other = SimSocket(self, listener.loop, 0)
        other.local, other.remote = sock.remote, sock.local
        sock.peer, other.peer = other, sock
        listener.backlog.append(other)
        listener.notify_readable()
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._connected, sock, 0))

    def _connected(self, sock: SimSocket, code: int) -> None:
        on_done, sock.on_connected = sock.on_connected, None
        if on_done is None:
            return
        if code:
            sock.error = code
            on_done(OSError(code, "refused"))
        else:
            on_done(None)

    def cancel_connect(self, sock: SimSocket) -> None:
        """Abort a connect in progress."""
        on_done, sock.on_connected = sock.on_connected, None
        sock.error = errno.ECONNRESET
        if sock.peer is not None:
            self.reset(sock)
        if on_done is not None:
            on_done(OSError(errno.ECONNABORTED, "connect aborted"))

    def transmit(self, sock: SimSocket, data: bytes) -> None:
        """Send bytes to the peer, sometimes in two pieces."""
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
        """Send an end of file to the peer, after all bytes."""
        self._deliver(sock, self.kernel.now_ns + self.latency_ns(sock), partial(self._fin_arrives, sock))

    def _fin_arrives(self, sock: SimSocket) -> None:
        peer = sock.peer
        if peer is not None and not peer.error:
            peer.eof_received = True
            self.observer.peer_closed(peer)
            peer.notify_readable()

    def reset(self, sock: SimSocket) -> None:
        """Reset a connection: bytes to this side are lost, and the peer receives the reset."""
        sock.error = sock.error or errno.ECONNRESET
        if sock.peer is not None:
            at_ns = self.kernel.now_ns + self.latency_ns(sock)
            self._deliver(sock, at_ns, partial(self.reset_arrives, sock.peer))

    def reset_arrives(self, sock: SimSocket) -> None:
        """Handle a reset that was received from the peer."""
        if sock.error or sock.closed:
            return
        sock.error = errno.ECONNRESET
        self.observer.peer_closed(sock)
        sock.notify_readable()
        if sock.write_blocked:
            sock.notify_writable()

    # Datagrams

    def bind_datagrams(self, loop: ProcessLoop, local: Address, protocol: DatagramReceiver) -> SimDatagrams:
        """Create the datagram endpoint of a process at an address."""
        endpoint = self.datagrams[local] = SimDatagrams(self, loop, local, protocol)
        return endpoint

    def close_datagrams(self, endpoint: SimDatagrams) -> None:
        """Close an endpoint: later datagrams to it are dropped."""
        self.datagrams.pop(endpoint.local, None)

    def send_datagram(self, sender: SimDatagrams, data: bytes, address: Address) -> None:
        """Send a datagram; dropped if it is too long, lost, or its address is unreachable."""
        if len(data) > MAX_DATAGRAM_BYTES or self.random.random() < DATAGRAM_LOSS:
            return
        hosts = frozenset((sender.loop.host, self.host_by_address.get(address[0], address[0])))
        # The range is wide enough to reorder datagrams.
        delay_ns = int(NS_PER_MS * (1 + 20 * self.random.random()))
        if hosts not in self.cut_links and self.datagram_passes(
            sender.loop.host, self.host_by_address.get(address[0], "")
        ):
            self.kernel.after(delay_ns, self._datagram_arrives, data, sender.local, address)

    def _datagram_arrives(self, data: bytes, source: Address, address: Address) -> None:
        endpoint = self.datagrams.get(address)
        if endpoint is not None:
            endpoint.loop.wake(endpoint.protocol.datagram_received, data, source)
