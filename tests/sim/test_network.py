"""The virtual network and loop: they keep the guarantees of TCP and asyncio, and only those."""

import asyncio
import errno
import socket
import struct

import pytest

from dykefold.sim.kernel import NS_PER_MS, NS_PER_S, Kernel, stream
from dykefold.sim.loop import SimLoop
from dykefold.sim.network import BACKLOG, Network
from dykefold.sim.sockets import WINDOW_BYTES
from dykefold.sim.transport import SimTransport

ADDRESS = ("10.0.0.2", 80)


class HostPair:
    """A client process and a listening server process on two hosts."""

    def __init__(self, seed=1):
        self.kernel = Kernel(seed)
        self.network = Network(self.kernel)
        for name, address in (("client", "10.0.0.1"), ("server", "10.0.0.2")):
            self.network.add_host(name, address)
        self.client = SimLoop(self.kernel, "client", self.network)
        self.server = SimLoop(self.kernel, "server", self.network)
        self.listener = self.network.listen(self.server, 80)

    def connected(self):
        sock = self.network.socket(self.client)
        results = []
        sock.connect(ADDRESS, results.append)
        self.run(5)
        assert results == [None]
        return sock, self.listener.accept()[0]

    def run(self, ms):
        self.kernel.run(self.kernel.now_ns + ms * NS_PER_MS)


def test_bytes_sent_in_pieces_arrive_in_order():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    data = bytes(range(256)) * 100
    unsent, received = data, b""
    while unsent or len(received) < len(data):
        if unsent:
            unsent = unsent[client_sock.send(unsent[:777]) :]
        pair.run(1)
        if server_sock.readable():
            received += server_sock.recv(300)
    assert received == data


def test_full_send_window_rejects_writes_until_peer_reads():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    sent = 0
    while sent < WINDOW_BYTES:
        sent += client_sock.send(bytes(WINDOW_BYTES))
    with pytest.raises(BlockingIOError):
        client_sock.send(bytes(WINDOW_BYTES))
    assert sent == WINDOW_BYTES
    pair.run(10)
    with pytest.raises(BlockingIOError):
        client_sock.send(b"x")
    assert len(server_sock.recv(1000)) == 1000
    assert client_sock.send(bytes(5000)) <= 1000


def test_end_of_stream_arrives_after_bytes_sent_before_it():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    client_sock.send(b"last words")
    client_sock.shutdown(socket.SHUT_WR)
    with pytest.raises(BrokenPipeError):
        client_sock.send(b"more")
    pair.run(10)
    assert server_sock.recv(100) == b"last words"
    assert server_sock.recv(100) == b""
    server_sock.send(b"heard")
    pair.run(10)
    assert client_sock.recv(100) == b"heard"


@pytest.mark.parametrize("reset_by", ["unread_bytes", "linger", "kill"])
def test_received_bytes_can_be_read_after_reset(reset_by):
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    client_sock.send(b"arrived")
    server_sock.send(b"never read")
    pair.run(10)
    if reset_by == "linger":
        client_sock.recv(100)
        client_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if reset_by == "kill":
        pair.network.kill(pair.client)
    else:
        client_sock.close()
    pair.run(10)
    assert server_sock.recv(100) == b"arrived"
    with pytest.raises(OSError, match="connection") as error:
        server_sock.recv(100)
    assert error.value.errno == errno.ECONNRESET


def test_connect_is_refused_without_listener_and_waits_while_backlog_is_full():
    pair = HostPair()
    refused = pair.network.socket(pair.client)
    results = []
    refused.connect(("10.0.0.2", 81), results.append)
    pair.run(5)
    assert isinstance(results[0], ConnectionRefusedError)
    result_lists = [[] for _ in range(BACKLOG + 1)]
    for results in result_lists:
        pair.network.socket(pair.client).connect(ADDRESS, results.append)
    pair.run(50)
    assert sorted(map(len, result_lists)) == [0] + [1] * BACKLOG
    pair.listener.accept()
    pair.run(1100)
    assert all(result_lists)


def test_partition_is_silent_and_sent_bytes_arrive_after_it():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    pair.network.cut_link("client", "server")
    client_sock.send(b"waits")
    pair.run(5000)
    assert not server_sock.readable()
    assert not client_sock.readable()
    pair.network.restore_link("client", "server")
    assert server_sock.recv(100) == b"waits"


def test_descriptor_limit_applies_per_process():
    pair = HostPair()
    pair.connected()
    pair.network.descriptors["client"] = 2
    pair.network.socket(pair.client)
    with pytest.raises(OSError, match="Too many open files") as error:
        pair.network.socket(pair.client)
    assert error.value.errno == errno.EMFILE
    pair.network.descriptors["server"] = len(pair.network.open["server"])
    next(iter(pair.network.open["client"].values())).close()
    pair.network.socket(pair.client).connect(ADDRESS, lambda error: None)
    pair.run(5)
    with pytest.raises(OSError, match="Too many open files") as error:
        pair.listener.accept()
    assert error.value.errno == errno.EMFILE


class Recorder(asyncio.Protocol):
    def __init__(self):
        self.calls = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.calls.append(data)

    def pause_writing(self):
        self.calls.append("pause")

    def resume_writing(self):
        self.calls.append("resume")

    def connection_lost(self, exc):
        self.calls.append("lost")


def test_abort_closes_descriptor_two_turns_later_as_on_uvloop():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    transport = SimTransport(pair.client, client_sock, Recorder())
    pair.client.wake(transport.begin)
    pair.run(1)
    transport.abort()
    assert transport.is_closing()
    assert not client_sock.closed
    pair.run(1)
    assert client_sock.closed
    pair.run(5)
    assert server_sock.recv(1) == b""


def test_writer_is_paused_while_bytes_are_buffered_and_resumed_after():
    pair = HostPair()
    client_sock, server_sock = pair.connected()
    protocol = Recorder()
    transport = SimTransport(pair.client, client_sock, protocol)
    transport.set_write_buffer_limits(high=0)
    pair.client.wake(transport.begin)
    pair.run(1)
    transport.write(bytes(2 * WINDOW_BYTES))
    assert protocol.calls == ["pause"]
    assert transport.get_write_buffer_size() >= WINDOW_BYTES
    received_bytes = 0
    while received_bytes < 2 * WINDOW_BYTES:
        pair.run(2)
        if server_sock.readable():
            received_bytes += len(server_sock.recv(10_000))
    assert protocol.calls == ["pause", "resume"]


def test_call_soon_is_fifo_and_simultaneous_timers_fire_in_random_order():
    def order(seed):
        pair = HostPair(seed)
        called, fired = [], []
        pair.client.wake(lambda: [pair.client.call_soon(called.append, number) for number in range(20)])
        pair.client.wake(lambda: [pair.client.call_later(0.01, fired.append, number) for number in range(20)])
        pair.run(50)
        assert called == list(range(20))
        assert sorted(fired) == called
        return fired

    assert order(1) == order(1) != order(2)


def test_paused_process_runs_no_turn_until_resumed_and_dead_process_none():
    pair = HostPair()
    calls = []
    pair.client.pause(100 * NS_PER_MS)
    pair.client.wake(calls.append, "woken")
    pair.run(99)
    assert not calls
    pair.run(2)
    assert calls == ["woken"]
    pair.client.wake(calls.append, "late")
    pair.client.die()
    pair.run(1000)
    assert calls == ["woken"]


def test_asyncio_timeout_fires_on_virtual_loop():
    pair = HostPair()
    timeout_times_ns = []

    async def connect():
        try:
            async with asyncio.timeout(0.25):
                await pair.client.sock_connect(pair.network.socket(pair.client), ("10.0.0.9", 1))
        except TimeoutError:
            timeout_times_ns.append(pair.kernel.now_ns)

    pair.network.add_host("unreachable", "10.0.0.9")
    pair.network.cut_link("client", "unreachable")
    pair.client.wake(lambda: pair.client.create_task(connect()))
    pair.run(1000)
    assert len(timeout_times_ns) == 1
    assert 0.24 * NS_PER_S <= timeout_times_ns[0] <= 0.27 * NS_PER_S


def test_random_generators_of_components_are_independent():
    assert stream(7, "faults").random() == stream(7, "faults").random()
    values = {stream(7, "faults").random(), stream(7, "arrivals", 0).random(), stream(8, "faults").random()}
    assert len(values) == 3
