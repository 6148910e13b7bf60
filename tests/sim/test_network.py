"""The virtual network and loop, against what TCP and asyncio promise and what they don't."""

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
    """Two processes on two hosts, the second one listening."""

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
        told = []
        sock.connect(ADDRESS, told.append)
        self.run(5)
        assert told == [None]
        return sock, self.listener.accept()[0]

    def run(self, ms):
        self.kernel.run(self.kernel.now_ns + ms * NS_PER_MS)


def test_bytes_arrive_in_order_whatever_the_pieces():
    pair = HostPair()
    one, other = pair.connected()
    data = bytes(range(256)) * 100
    left, got = data, b""
    while left or len(got) < len(data):
        if left:
            left = left[one.send(left[:777]) :]
        pair.run(1)
        if other.readable():
            got += other.recv(300)
    assert got == data


def test_a_full_window_takes_no_more_until_it_is_read():
    pair = HostPair()
    one, other = pair.connected()
    sent = 0
    while sent < WINDOW_BYTES:
        sent += one.send(bytes(WINDOW_BYTES))
    with pytest.raises(BlockingIOError):
        one.send(bytes(WINDOW_BYTES))
    assert sent == WINDOW_BYTES
    pair.run(10)
    with pytest.raises(BlockingIOError):
        one.send(b"x")
    assert len(other.recv(1000)) == 1000
    assert one.send(bytes(5000)) <= 1000


def test_an_end_of_stream_arrives_after_the_bytes_before_it():
    pair = HostPair()
    one, other = pair.connected()
    one.send(b"last words")
    one.shutdown(socket.SHUT_WR)
    with pytest.raises(BrokenPipeError):
        one.send(b"more")
    pair.run(10)
    assert other.recv(100) == b"last words"
    assert other.recv(100) == b""
    other.send(b"heard")
    pair.run(10)
    assert one.recv(100) == b"heard"


@pytest.mark.parametrize("how", ["unread", "linger", "killed"])
def test_after_a_reset_bytes_that_have_arrived_can_still_be_read(how):
    pair = HostPair()
    one, other = pair.connected()
    one.send(b"arrived")
    other.send(b"never read")
    pair.run(10)
    if how == "linger":
        one.recv(100)
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if how == "killed":
        pair.network.kill(pair.client)
    else:
        one.close()
    pair.run(10)
    assert other.recv(100) == b"arrived"
    with pytest.raises(OSError, match="connection") as error:
        other.recv(100)
    assert error.value.errno == errno.ECONNRESET


def test_connects_are_refused_or_wait_for_room_in_the_backlog():
    pair = HostPair()
    refused = pair.network.socket(pair.client)
    told = []
    refused.connect(("10.0.0.2", 81), told.append)
    pair.run(5)
    assert isinstance(told[0], ConnectionRefusedError)
    ends = [[] for _ in range(BACKLOG + 1)]
    for end in ends:
        pair.network.socket(pair.client).connect(ADDRESS, end.append)
    pair.run(50)
    assert sorted(map(len, ends)) == [0] + [1] * BACKLOG
    pair.listener.accept()
    pair.run(1100)
    assert all(ends)


def test_a_cut_is_silent_and_what_was_sent_arrives_when_it_is_over():
    pair = HostPair()
    one, other = pair.connected()
    pair.network.part("client", "server")
    one.send(b"waits")
    pair.run(5000)
    assert not other.readable()
    assert not one.readable()
    pair.network.heal("client", "server")
    assert other.recv(100) == b"waits"


def test_descriptors_are_counted_by_process():
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


def test_an_abort_leaves_the_descriptor_open_for_two_turns_as_uvloop_does():
    pair = HostPair()
    one, other = pair.connected()
    transport = SimTransport(pair.client, one, Recorder())
    pair.client.wake(transport.begin)
    pair.run(1)
    transport.abort()
    assert transport.is_closing()
    assert not one.closed
    pair.run(1)
    assert one.closed
    pair.run(5)
    assert other.recv(1) == b""


def test_writer_is_paused_while_its_bytes_wait_and_resumed_when_they_are_sent():
    pair = HostPair()
    one, other = pair.connected()
    protocol = Recorder()
    transport = SimTransport(pair.client, one, protocol)
    transport.set_write_buffer_limits(high=0)
    pair.client.wake(transport.begin)
    pair.run(1)
    transport.write(bytes(2 * WINDOW_BYTES))
    assert protocol.calls == ["pause"]
    assert transport.get_write_buffer_size() >= WINDOW_BYTES
    got = 0
    while got < 2 * WINDOW_BYTES:
        pair.run(2)
        if other.readable():
            got += len(other.recv(10_000))
    assert protocol.calls == ["pause", "resume"]


def test_call_soon_is_first_in_first_out_and_timers_of_one_time_are_not():
    def order(seed):
        pair = HostPair(seed)
        soon, rung = [], []
        pair.client.wake(lambda: [pair.client.call_soon(soon.append, number) for number in range(20)])
        pair.client.wake(lambda: [pair.client.call_later(0.01, rung.append, number) for number in range(20)])
        pair.run(50)
        assert soon == list(range(20))
        assert sorted(rung) == soon
        return rung

    assert order(1) == order(1) != order(2)


def test_a_paused_process_takes_no_turn_and_a_dead_one_none_at_all():
    pair = HostPair()
    ran = []
    pair.client.pause(100 * NS_PER_MS)
    pair.client.wake(ran.append, "woken")
    pair.run(99)
    assert not ran
    pair.run(2)
    assert ran == ["woken"]
    pair.client.wake(ran.append, "late")
    pair.client.die()
    pair.run(1000)
    assert ran == ["woken"]


def test_the_programs_own_time_outs_work_on_the_virtual_loop():
    pair = HostPair()
    ends = []

    async def waits():
        try:
            async with asyncio.timeout(0.25):
                await pair.client.sock_connect(pair.network.socket(pair.client), ("10.0.0.9", 1))
        except TimeoutError:
            ends.append(pair.kernel.now_ns)

    pair.network.add_host("gone", "10.0.0.9")
    pair.network.part("client", "gone")
    pair.client.wake(lambda: pair.client.create_task(waits()))
    pair.run(1000)
    assert len(ends) == 1
    assert 0.24 * NS_PER_S <= ends[0] <= 0.27 * NS_PER_S


def test_random_generators_of_components_are_independent():
    assert stream(7, "faults").random() == stream(7, "faults").random()
    values = {stream(7, "faults").random(), stream(7, "arrivals", 0).random(), stream(8, "faults").random()}
    assert len(values) == 3
