"""Injected system call failures of the virtual network: the documented errors and their effects."""

import errno

import pytest
from test_network import ADDRESS, HostPair

from dykefold.sim.kernel import NS_PER_S
from dykefold.sim.network import Network
from dykefold.sim.schedule import SYSTEM_CALL_FAULTS
from dykefold.sim.syscalls import ACCEPT_ERRORS_LOSING_CONNECTION, ERRORS, SystemCall

CALLING_HOSTS = {SystemCall.ACCEPT: "server"}  # The client makes all other calls.


class FailingHostPair(HostPair):
    """A host pair on which every call of a chosen kind fails, at the client; for accept, at the server."""

    def fail(self, *calls):
        for call in calls:
            self.network.failing_calls.shares[CALLING_HOSTS.get(call, "client"), call] = [1.0]

    def stop_failing(self):
        self.network.failing_calls.shares.clear()


def test_each_system_call_has_a_fault_kind():
    assert {kind.value for kind in SYSTEM_CALL_FAULTS} == {call.value for call in SystemCall} == set(ERRORS)


@pytest.mark.parametrize(
    ("call", "invoke", "text"),
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
def test_system_call_fails_with_each_documented_error_during_its_fault(call, invoke, text):
    error_codes = set()
    for seed in range(30):
        pair = FailingHostPair(seed)
        sock, _ = pair.connected()
        pair.fail(call)
        with pytest.raises(OSError, match=f"Errno.*{text}") as error:
            invoke(pair, sock)
        error_codes.add(error.value.errno)
    assert error_codes == set(ERRORS[call])


@pytest.mark.parametrize("seed", range(12))
def test_failed_accept_keeps_or_resets_pending_connection(seed):
    pair = FailingHostPair(seed)
    results = []
    sock = pair.network.socket(pair.client)
    sock.connect(ADDRESS, results.append)
    pair.run(5)
    pair.fail(SystemCall.ACCEPT)
    with pytest.raises(OSError, match="accept") as error:
        pair.listener.accept()
    pair.stop_failing()
    pair.run(5)
    if error.value.errno in ACCEPT_ERRORS_LOSING_CONNECTION:
        assert sock.error == errno.ECONNRESET
        assert not pair.listener.backlog
    else:
        assert pair.listener.accept()[0].peer is sock


def test_connect_failed_by_network_fails_after_delay():
    pair = FailingHostPair()
    pair.fail(SystemCall.ROUTE)
    results = []
    pair.network.socket(pair.client).connect(ADDRESS, results.append)
    assert not results
    pair.run(500)
    assert [error.errno in ERRORS[SystemCall.ROUTE] for error in results] == [True]


def test_short_reads_and_writes_lose_no_bytes():
    pair = FailingHostPair()
    client_sock, server_sock = pair.connected()
    pair.fail(SystemCall.SHORT)
    data, sent_sizes = bytes(range(200)), []
    while sum(sent_sizes) < len(data):
        sent_sizes.append(client_sock.send(data[sum(sent_sizes) :]))
    pair.run(5)
    pair.network.failing_calls.shares["server", SystemCall.SHORT] = [1.0]
    parts = []
    while sum(map(len, parts)) < len(data):
        parts.append(server_sock.recv(1000))
    assert min(len(sent_sizes), len(parts)) > 2
    assert b"".join(parts) == data


def test_failed_read_resets_peer_after_sent_bytes_arrive():
    pair = FailingHostPair()
    client_sock, server_sock = pair.connected()
    client_sock.send(b"sent")
    pair.fail(SystemCall.RECEIVE)
    with pytest.raises(OSError, match="connection"):
        client_sock.recv(10)
    pair.run(5)
    assert server_sock.arrived_bytes == 4
    assert server_sock.error == errno.ECONNRESET
    assert server_sock.failed_by_peer


def test_no_random_number_is_drawn_without_system_call_faults():
    network: Network = HostPair().network
    before = network.failing_calls.random.getstate()
    assert not any(network.failing_calls.error("client", call) for call in SystemCall)
    assert network.failing_calls.random.getstate() == before


def test_clock_step_of_one_host_leaves_other_clocks_unchanged():
    pair = HostPair()
    pair.network.clock_steps_ns["client"] = -3600 * NS_PER_S
    difference_ns = pair.network.wall_ns("server") - pair.network.wall_ns("client")
    assert difference_ns == 3600 * NS_PER_S
