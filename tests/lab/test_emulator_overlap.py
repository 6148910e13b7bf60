"""Attempts that an emulated server reads late, in an order other than that in which they were sent."""

import asyncio
import socket
import time

import pytest
from net_helpers import run

from dykefold.lab.emulator.server import Server, Truth
from dykefold.lab.scenario import ClassTable, LoadTable, Scenario, ServerTable, ServiceTable

LOOPBACK = "127.0.0.1"
PAUSE_S = 0.02  # Longer than the resolution of the kernel's times of received bytes.
READ_S = 0.2  # Within this time the server reads what is there.
CLASSES = {"order": ClassTable(effect="unsafe", service=ServiceTable(kind="constant", mean_ms=1000.0))}


def send(client: socket.socket, ident: str) -> None:
    head = f"POST /order HTTP/1.1\r\nHost: x\r\nX-Request-Id: {ident}\r\nContent-Length: 0\r\n\r\n"
    client.sendall(head.encode())
    time.sleep(PAUSE_S)


def close(client: socket.socket) -> None:
    client.close()
    time.sleep(PAUSE_S)


def cancelled_before_the_retry(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    close(first)
    send(second, "r")


def never_cancelled(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    send(second, "r")


def retry_cancelled(first: socket.socket, second: socket.socket) -> None:
    send(first, "r")
    send(second, "r")
    close(second)


async def overlaps_read(attempts, second_is_read_first: bool) -> list[bool]:
    """Send attempts while the event loop is blocked; return whether one overlaps, at each server.

    The kernel reports a connection whose bytes were just read ahead of the others: the loop is blocked by
    the server that is to be read first.
    """
    scenario = Scenario(
        [ServerTable("std", count=2, cores=4)], CLASSES, LoadTable(rate=1.0), seed=1, span_s=60.0
    )
    truth = Truth()
    servers = [Server(scenario, name, truth) for name in scenario.server_names()]
    for server in servers:
        await server.listen()
    clients = [socket.create_connection((LOOPBACK, server.port)) for server in servers]
    await asyncio.sleep(READ_S)
    blocking = servers[1 if second_is_read_first else 0]
    on_request = blocking.on_request

    def on_request_blocked(connection, target, headers):
        on_request(connection, target, headers)
        if headers[b"x-request-id"] == b"block":
            attempts(*clients)

    blocking.on_request = on_request_blocked
    send(clients[servers.index(blocking)], "block")
    await asyncio.sleep(READ_S)
    found = [[one.overlaps for one in server.arrivals if one.ident == "r"] for server in servers]
    for client in clients:
        client.close()
    for server in servers:
        server.crash()
    assert [len(of_server) for of_server in found] == [1, 1]
    return [of_server[0] for of_server in found]


@pytest.mark.parametrize(
    ("attempts", "second_is_read_first", "expected"),
    [
        (cancelled_before_the_retry, False, [False, False]),
        (cancelled_before_the_retry, True, [False, False]),
        (never_cancelled, False, [False, True]),
        (never_cancelled, True, [True, False]),
        (retry_cancelled, False, [False, True]),
    ],
)
def test_attempts_read_late_overlap_as_they_were_sent(attempts, second_is_read_first, expected):
    assert run(overlaps_read(attempts, second_is_read_first)) == expected
