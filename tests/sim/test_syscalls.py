"""System calls of the virtual network that fail: each with an error that Linux documents, and its effect."""

import errno

import pytest
from test_network import ADDRESS, HostPair

from dykefold.sim.kernel import NS_PER_S
from dykefold.sim.network import Network
from dykefold.sim.schedule import SYSTEM_CALL_FAULTS
from dykefold.sim.syscalls import ERRORS, TAKES_ONE, SystemCall

HOSTS = {SystemCall.ACCEPT: "server"}


class Failing(HostPair):
    """The client's calls fail, all of them; an accept is the server's."""

    def fail(self, *calls):
        for call in calls:
            self.network.failing.shares[HOSTS.get(call, "client"), call] = [1.0]

    def cease(self):
        self.network.failing.shares.clear()


def test_each_call_has_a_fault_of_a_world():
    assert {kind.value for kind in SYSTEM_CALL_FAULTS} == {call.value for call in SystemCall} == set(ERRORS)


@pytest.mark.parametrize(
    ("call", "act", "text"),
    [
        (SystemCall.SOCKET, lambda pair, sock: pair.network.socket(pair.client), "socket"),
        (
            SystemCall.CONNECT,
            lambda pair, sock: pair.network.socket(pair.client).connect(ADDRESS, print),
            "connect",
        ),
        (SystemCall.SEND, lambda pair, sock: sock.send(b"data"), "send"),
        (SystemCall.RECEIVE, lambda pair, sock: sock.recv(10), "connection"),
        (SystemCall.OPTION, lambda pair, sock: sock.setsockopt(1, 13, b""), "reset meanwhile"),
        (SystemCall.OPTION, lambda pair, sock: sock.getpeername(), "reset meanwhile"),
    ],
)
def test_a_system_call_fails_while_its_fault_lasts(call, act, text):
    seen = set()
    for seed in range(30):
        pair = Failing(seed)
        sock, _ = pair.connected()
        pair.fail(call)
        with pytest.raises(OSError, match=f"Errno.*{text}") as error:
            act(pair, sock)
        seen.add(error.value.errno)
    assert seen == set(ERRORS[call])


@pytest.mark.parametrize("seed", range(12))
def test_a_failed_accept_keeps_or_resets_the_waiting_connection(seed):
    pair = Failing(seed)
    ends = []
    sock = pair.network.socket(pair.client)
    sock.connect(ADDRESS, ends.append)
    pair.run(5)
    pair.fail(SystemCall.ACCEPT)
    with pytest.raises(OSError, match="accept") as error:
        pair.listener.accept()
    pair.cease()
    pair.run(5)
    if error.value.errno in TAKES_ONE:
        assert sock.error == errno.ECONNRESET
        assert not pair.listener.backlog
    else:
        assert pair.listener.accept()[0].peer is sock


def test_a_connect_that_the_network_refuses_fails_late():
    pair = Failing()
    pair.fail(SystemCall.ROUTE)
    told = []
    pair.network.socket(pair.client).connect(ADDRESS, told.append)
    assert not told
    pair.run(500)
    assert [one.errno in ERRORS[SystemCall.ROUTE] for one in told] == [True]


def test_short_reads_and_writes_lose_nothing():
    pair = Failing()
    one, other = pair.connected()
    pair.fail(SystemCall.SHORT)
    data, sizes = bytes(range(200)), []
    while sum(sizes) < len(data):
        sizes.append(one.send(data[sum(sizes) :]))
    pair.run(5)
    pair.network.failing.shares["server", SystemCall.SHORT] = [1.0]
    parts = []
    while sum(map(len, parts)) < len(data):
        parts.append(other.recv(1000))
    assert min(len(sizes), len(parts)) > 2
    assert b"".join(parts) == data


def test_an_error_ends_both_sides_behind_what_was_sent():
    pair = Failing()
    one, other = pair.connected()
    one.send(b"sent")
    pair.fail(SystemCall.RECEIVE)
    with pytest.raises(OSError, match="connection"):
        one.recv(10)
    pair.run(5)
    assert other.arrived_bytes == 4
    assert other.error == errno.ECONNRESET
    assert other.failed_by_peer


def test_without_system_call_faults_nothing_is_drawn():
    network: Network = HostPair().network
    before = network.failing.random.getstate()
    assert not any(network.failing.error("client", call) for call in SystemCall)
    assert network.failing.random.getstate() == before


def test_a_clock_that_steps_moves_no_other():
    pair = HostPair()
    pair.network.clock_steps_ns["client"] = -3600 * NS_PER_S
    apart_ns = pair.network.wall_ns("server") - pair.network.wall_ns("client")
    assert apart_ns == 3600 * NS_PER_S
