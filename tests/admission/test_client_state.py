"""Connections over loopback change their states as the table of transitions says, and in no other way."""

import asyncio

import pytest
from net_helpers import HOST, async_test, request_message, respond_ok, sidecar_with_endpoint, wait_until

from dykefold.admission.client_state import TRANSITIONS, ClientState
from dykefold.admission.controller import AdmissionController

REQUEST = request_message("order", "IDENT")
CHECK = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
GARBAGE = b"this is no http\r\n\r\n"

# What one client sends, piece by piece, and the states that its connection enters.
CONNECTIONS = {
    "whole requests, the third in two pieces, then no request": (
        [REQUEST, REQUEST, REQUEST[:20], REQUEST[20:], GARBAGE],
        "NEW BUSY IDLE_ONCE BUSY IDLE_REUSED READING BUSY IDLE_REUSED CLOSING",
    ),
    "requests in two pieces": (
        [REQUEST[:20], REQUEST[20:], REQUEST[:20], REQUEST[20:]],
        "NEW READING BUSY IDLE_ONCE READING BUSY IDLE_REUSED",
    ),
    "three requests": ([REQUEST] * 3, "NEW BUSY IDLE_ONCE BUSY IDLE_REUSED BUSY IDLE_REUSED"),
    "one and a half requests at once": ([REQUEST + REQUEST[:20]], "NEW BUSY READING"),
    "a request and no request at once": ([REQUEST + GARBAGE], "NEW BUSY CLOSING"),
    "checks": ([CHECK, CHECK], "NEW IDLE_ONCE IDLE_REUSED"),
    "checks in two pieces": (
        [CHECK[:20], CHECK[20:], CHECK[:20], CHECK[20:]],
        "NEW READING IDLE_ONCE READING IDLE_REUSED",
    ),
    "two checks at once": ([CHECK * 2], "NEW IDLE_REUSED"),
    "no request": ([GARBAGE], "NEW CLOSING"),
    "a check and no request": ([CHECK, GARBAGE], "NEW IDLE_ONCE CLOSING"),
    "a request that turns out to be none": ([b"GET ", b"\x00 no http\r\n\r\n"], "NEW READING CLOSING"),
}


def states_of(name):
    return [ClientState[state] for state in CONNECTIONS[name][1].split()]


@pytest.fixture
def entered(monkeypatch):
    """The states that connections have entered, as the controller is told."""
    states = []

    def recorded(method):
        def call(self, client, *arguments):
            before = client.state
            method(self, client, *arguments)
            if client.state is not before:
                states.append(client.state)

        return call

    for name in ("update", "begin_next_request"):
        monkeypatch.setattr(AdmissionController, name, recorded(getattr(AdmissionController, name)))
    return states


@pytest.mark.parametrize("name", CONNECTIONS)
def test_a_connection_changes_its_state_as_expected(tmp_path, entered, name):
    @async_test
    async def play():
        async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number, piece in enumerate(CONNECTIONS[name][0]):
                before = len(entered)
                writer.write(piece.replace(b"IDENT", b"id%03d" % number))
                await wait_until(lambda n=before: len(entered) > n and entered[-1] is not ClientState.BUSY)
            writer.close()
            await wait_until(lambda: not sidecar.server.clients.all)

    play()
    assert [ClientState.NEW, *entered] == states_of(name)


def test_the_table_has_these_changes_and_no_others():
    changes = {
        change for name in CONNECTIONS for change in zip(states_of(name), states_of(name)[1:], strict=False)
    }
    assert changes == {(state, following) for state, after in TRANSITIONS.items() for following in after}
    assert set(TRANSITIONS) == set(ClientState)
