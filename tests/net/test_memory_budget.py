"""The memory budget: what connections and requests take of a process's limit."""

from types import SimpleNamespace

import pytest

from dykefold.net.memory_budget import CONNECTION_BYTES, MB, REQUEST_BYTES, MemoryBudget
from dykefold.net.streaming import Upload
from dykefold.net.upstream.connection import UpstreamConnection


@pytest.mark.parametrize("limit_mb", [32, 48, 96, 192])
def test_program_connections_and_messages_fit_into_the_limit(limit_mb):
    """Guards against crowds that take a process with little memory over its limit."""
    budget = MemoryBudget(limit_mb * MB)
    budget.set_program_bytes(28 * MB)
    used_bytes = 28 * MB + budget.capacity_bytes + budget.max_connections * CONNECTION_BYTES
    assert used_bytes <= limit_mb * MB
    assert budget.max_connections >= 32


def test_requests_take_memory_until_the_budget_is_used_up():
    budget = MemoryBudget(32 * MB)
    budget.set_program_bytes(28 * MB)
    count = 0
    while budget.reserve_request():
        count += 1
    assert count == budget.capacity_bytes // REQUEST_BYTES
    budget.release_request()
    assert budget.reserve_request()


def test_some_requests_are_accepted_whatever_else_is_reserved():
    budget = MemoryBudget(32 * MB)
    budget.charge(budget.capacity_bytes)
    assert not budget.reserve(1)
    assert [budget.reserve_request() for _ in range(budget.MIN_REQUESTS + 1)] == [True] * 8 + [False]


def test_large_bodies_leave_memory_to_other_requests():
    """Guards against clients that stop within large bodies and have everybody else refused."""
    budget = MemoryBudget(32 * MB)
    while budget.reserve_large_body(1024):
        pass
    assert budget.reserve(8 * 1024)
    assert budget.reserve_request()


def test_upload_of_small_chunks_is_held_in_one_piece():
    """Guards against bodies in tiny chunks, each of which was an object of its own."""
    upload = Upload(None, b"", lambda: None)
    for _ in range(1000):
        upload.feed(b"0123456789abcdef")
    assert upload.buffered == b"0123456789abcdef" * 1000


def test_input_of_an_endpoint_that_is_read_and_not_parsed_is_charged():
    """Guards against answers whose unparsed bytes nobody has paid for."""
    budget = MemoryBudget(32 * MB)
    connection = UpstreamConnection.__new__(UpstreamConnection)
    connection.resources, connection.unparsed = SimpleNamespace(memory=budget), None
    connection._set_unparsed(memoryview(b"x" * 100))
    assert budget.reserved_bytes == 100
    connection._set_unparsed(connection.unparsed[60:])
    assert budget.reserved_bytes == 40
    connection._set_unparsed(None)
    assert budget.reserved_bytes == 0
