"""Overlap of attempts that emulated servers read late and in another order than they were sent.

After a pause of the event loop, a cancelled first attempt may be read after its retry. Judged by the order of
reading alone, the two would count as overlapping.
"""

import asyncio
import socket
import time

import pytest
from net_helpers import run

from dykefold.lab.emulator.server import AttemptLog, Server
from dykefold.lab.scenario import ClassTable, LoadTable, Scenario, ServerTable, ServiceTable

LOOPBACK = "127.0.0.1"
PAUSE_S = 0.02  # Exceeds the resolution of the kernel's receive times.
READ_DELAY_S = 0.2  # Enough for the servers to read all received bytes.
CLASSES = {"order": ClassTable(effect="unsafe", service=ServiceTable(kind="constant", mean_ms=1000.0))}


def send(client: socket.socket, ident: str) -> None:
    head = f"POST /order HTTP/1.1\r\nHost: x\r\nX-Request-Id: {ident}\r\nContent-Length: 0\r\n\r\n"
    client.sendall(head.encode())
    time.sleep(PAUSE_S)


def close(client: socket.socket) -> None:
    client.close()
    time.sleep(PAUSE_S)


def cancel_first_then_retry(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    close(first)
    send(second, "r")


def retry_without_cancel(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    send(second, "r")


def cancel_retry(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    send(second, "r")
    close(second)


async def measure_overlaps(attempts, read_second_first: bool) -> list[bool]:
    """Send attempts while the event loop is blocked; return, by server, whether its attempt overlaps.

    The kernel reports the connection whose bytes were just read before the others, so the server that is to
    be read first blocks the loop.
    """
    scenario = Scenario(
        [ServerTable("std", count=2, cores=4)], CLASSES, LoadTable(rate=1.0), seed=1, span_s=60.0
    )
    truth = AttemptLog()
    servers = [Server(scenario, name, truth) for name in scenario.server_names()]
    for server in servers:
        await server.listen()
    clients = [socket.create_connection((LOOPBACK, server.port)) for server in servers]
    await asyncio.sleep(READ_DELAY_S)
    blocking = servers[1 if read_second_first else 0]
    on_request = blocking.on_request

    def on_request_blocked(connection, target, headers):
        on_request(connection, target, headers)
        if headers[b"x-request-id"] == b"block":
            attempts(*clients)

    blocking.on_request = on_request_blocked
    send(clients[servers.index(blocking)], "block")
    await asyncio.sleep(READ_DELAY_S)
    overlaps = [
        [arrival.overlaps for arrival in server.arrivals if arrival.ident == "r"] for server in servers
    ]
    for client in clients:
        client.close()
    for server in servers:
        server.crash()
    assert [len(server_overlaps) for server_overlaps in overlaps] == [1, 1]
    return [server_overlaps[0] for server_overlaps in overlaps]


@pytest.mark.parametrize(
    ("attempts", "read_second_first", "expected"),
    [
        (cancel_first_then_retry, False, [False, False]),
        (cancel_first_then_retry, True, [False, False]),
        (retry_without_cancel, False, [False, True]),
        (retry_without_cancel, True, [True, False]),
        (cancel_retry, False, [False, True]),
    ],
)
def test_attempts_read_late_overlap_by_send_order(attempts, read_second_first, expected):
    assert run(measure_overlaps(attempts, read_second_first)) == expected
