"""Connections over loopback make exactly the state transitions of the table."""

import asyncio

import pytest
from net_helpers import HOST, async_test, request_message, respond_ok, sidecar_with_endpoint, wait_until

from dykefold.admission.client_state import TRANSITIONS, ClientState
from dykefold.admission.controller import AdmissionController

REQUEST = request_message("order", "IDENT")
READINESS_CHECK = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
GARBAGE = b"this is no http\r\n\r\n"

# Pieces that one client sends, and the states that its connection enters.
CONNECTIONS = {
    "complete requests, the third in two pieces, then garbage": (
        [REQUEST, REQUEST, REQUEST[:20], REQUEST[20:], GARBAGE],
        "NEW BUSY IDLE_ONCE BUSY IDLE_REUSED READING BUSY IDLE_REUSED CLOSING",
    ),
    "requests in two pieces": (
        [REQUEST[:20], REQUEST[20:], REQUEST[:20], REQUEST[20:]],
        "NEW READING BUSY IDLE_ONCE READING BUSY IDLE_REUSED",
    ),
    "three requests": ([REQUEST] * 3, "NEW BUSY IDLE_ONCE BUSY IDLE_REUSED BUSY IDLE_REUSED"),
    "one and a half requests at once": ([REQUEST + REQUEST[:20]], "NEW BUSY READING"),
    "a request and garbage at once": ([REQUEST + GARBAGE], "NEW BUSY CLOSING"),
    "readiness checks": ([READINESS_CHECK, READINESS_CHECK], "NEW IDLE_ONCE IDLE_REUSED"),
    "readiness checks in two pieces": (
        [READINESS_CHECK[:20], READINESS_CHECK[20:], READINESS_CHECK[:20], READINESS_CHECK[20:]],
        "NEW READING IDLE_ONCE READING IDLE_REUSED",
    ),
    "two readiness checks at once": ([READINESS_CHECK * 2], "NEW IDLE_REUSED"),
    "garbage": ([GARBAGE], "NEW CLOSING"),
    "a readiness check, then garbage": ([READINESS_CHECK, GARBAGE], "NEW IDLE_ONCE CLOSING"),
    "garbage after the start of a request": ([b"GET ", b"\x00 no http\r\n\r\n"], "NEW READING CLOSING"),
}


def states_of(name):
    return [ClientState[state] for state in CONNECTIONS[name][1].split()]


@pytest.fixture
def entered_states(monkeypatch):
    """Return the list of states that connections enter in the controller."""
    states = []

    def recording(method):
        def call(self, client, *arguments):
            before = client.state
            method(self, client, *arguments)
            if client.state is not before:
                states.append(client.state)

        return call

    for name in ("update", "begin_next_request"):
        monkeypatch.setattr(AdmissionController, name, recording(getattr(AdmissionController, name)))
    return states


@pytest.mark.parametrize("name", CONNECTIONS)
def test_connection_enters_expected_states(tmp_path, entered_states, name):
    @async_test
    async def scenario():
        async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number, piece in enumerate(CONNECTIONS[name][0]):
                before = len(entered_states)
                writer.write(piece.replace(b"IDENT", b"id%03d" % number))
                await wait_until(
                    lambda n=before: len(entered_states) > n and entered_states[-1] is not ClientState.BUSY
                )
            writer.close()
            await wait_until(lambda: not sidecar.server.clients.open_connections)

    scenario()
    assert [ClientState.NEW, *entered_states] == states_of(name)


def test_transition_table_matches_observed_transitions():
    transitions = {
        transition
        for name in CONNECTIONS
        for transition in zip(states_of(name), states_of(name)[1:], strict=False)
    }
    assert transitions == {
        (state, next_state) for state, next_states in TRANSITIONS.items() for next_state in next_states
    }
    assert set(TRANSITIONS) == set(ClientState)
