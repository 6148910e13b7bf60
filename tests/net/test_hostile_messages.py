"""Messages built to cost more work than their size: work per loop iteration is bounded by parsed bytes."""

import asyncio
import logging
import re
import sys
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from net_helpers import (
    MS,
    WAIT_TIMEOUT_S,
    FakeTransport,
    Sidecar,
    config,
    list_update,
    request_message,
    run,
    wait_until,
)

from dykefold.net.downstream.connection import ClientConnection
from dykefold.net.downstream.request_assembler import MAX_HEADERS_BYTES
from dykefold.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from dykefold.net.read_scheduler import MAX_SLICES_PER_ITERATION, SLICE_BYTES
from dykefold.net.service.load_reports import LoadReportParser

MAX_CALLS_PER_BYTE = 1.5  # Python calls; requests of 18 bytes, the worst case, take some twenty calls each
MAX_FIXED_CALLS = 200  # allowed in addition, regardless of the size


class CallMeter:
    """Counts Python calls: `worst` is the highest ratio of calls to the calls that the bytes allow."""

    def __init__(self):
        self.calls = 0
        self.worst = 0.0

    def _count(self, frame, event, _):
        self.calls += event == "call"

    def run(self, size_bytes, function, *args):
        self.calls = 0
        previous_profile = sys.getprofile()
        sys.setprofile(self._count)
        try:
            return function(*args)
        finally:
            sys.setprofile(previous_profile)
            self.worst = max(self.worst, self.calls / (MAX_FIXED_CALLS + MAX_CALLS_PER_BYTE * size_bytes))


async def feed(sidecar, pieces):
    """Pass pieces to a client connection as a transport does; return the transport and the call meter."""
    sidecar_server = sidecar.server
    client, _, _ = sidecar_server.clients.admit("127.9.9.9")
    connection, transport, meter = ClientConnection(sidecar_server, client), FakeTransport(), CallMeter()
    sidecar_server.clients.add(connection)
    connection.connection_made(transport)
    parse_slices = sidecar_server.read_scheduler._parse_slices
    sidecar_server.read_scheduler._parse_slices = lambda: meter.run(
        MAX_SLICES_PER_ITERATION * SLICE_BYTES, parse_slices
    )
    for piece in pieces:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not transport.reading and not transport.closing:
                await asyncio.sleep(0)
        meter.run(min(len(piece), SLICE_BYTES), connection.data_received, piece)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while connection.reader.unparsed is not None or connection.current is not None:
            await asyncio.sleep(0)
    connection.connection_lost(None)
    sidecar_server.read_scheduler._parse_slices = parse_slices
    assert not sidecar_server.memory.reserved_bytes
    return transport, meter


def one_byte_chunks(body_bytes, request_class="order"):
    head = request_message(request_class, f"{body_bytes:x}", "1m").split(b"\r\n\r\n")[0].rsplit(b"\r\n", 1)[0]
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * body_bytes + b"0\r\n\r\n"


SHORT_HEADER_LINES = b"GET /lookup/part HTTP/1.1\r\n" + b"a:\r\n" * ((MAX_HEADERS_BYTES - 100) // 4) + b"\r\n"
HOSTILE_MESSAGES = {
    # name: (data, size of the pieces, part of the status line)
    "one-byte chunks": (one_byte_chunks(MAX_BUFFERED_BODY_BYTES), 1 << 18, b" 503 "),
    "four-byte header lines": (SHORT_HEADER_LINES, 1 << 18, b" 431 "),
    "18-byte requests": (b"GET / HTTP/1.1\r\n\r\n" * 5000, 1 << 18, b" 404 "),
    "long number": (
        request_message("order", deadline="1m")[:-6] + b"0" * 30000 + b"\r\n\r\n",
        1 << 18,
        b" ",
    ),
    "headers byte by byte": (b"GET /" + b"x" * 20000 + b" HTTP/1.1\r\n\r\n", 1, b" 404 "),
    "valid request byte by byte": (request_message("order", deadline="1m", body=b"x" * 500), 1, b" 503 "),
}


def run_with_sidecar(path, scenario):
    async def run_scenario():
        async with Sidecar(path / "config.json", config(list_update(1))) as sidecar:
            await scenario(sidecar)

    run(run_scenario())


@pytest.mark.parametrize("kind", HOSTILE_MESSAGES)
def test_calls_of_one_loop_iteration_are_bounded_by_bytes_parsed(tmp_path, kind):
    data, piece_bytes, status = HOSTILE_MESSAGES[kind]

    async def scenario(sidecar):
        pieces = (data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes))
        transport, meter = await feed(sidecar, pieces)
        assert meter.worst <= 1.0
        assert status in transport.written.split(b"\r\n")[0]

    run_with_sidecar(tmp_path, scenario)


def test_body_of_one_byte_chunks_is_buffered_in_linear_time(tmp_path):
    """Adding up all previous pieces at each new piece took ten seconds for this body."""

    async def scenario(sidecar):
        started_s = time.monotonic()
        for number in range(3):
            await feed(sidecar, [one_byte_chunks(MAX_BUFFERED_BODY_BYTES - number)])
        assert time.monotonic() - started_s < 10.0  # linear: one to two seconds; quadratic: over twenty

    run_with_sidecar(tmp_path, scenario)


@settings(max_examples=30, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(["lookup", "order", "hold", "nothing"]), min_size=1, max_size=6),
    st.lists(st.integers(1, 4000), min_size=1, max_size=40),
    st.integers(0, 3000),
)
def test_requests_split_at_any_position_get_same_responses(tmp_path_factory, classes, sizes, body_bytes):
    data = b"".join(
        request_message(name, f"{number:x}", "1m", b"b" * body_bytes if name != "lookup" else b"")
        for number, name in enumerate(classes)
    )

    async def scenario(sidecar):
        status_codes = []
        for in_pieces in (False, True):
            sidecar.server.request_ids.known.clear()
            pieces, start = [], 0
            for size in sizes if in_pieces else []:
                pieces.append(data[start : start + size])
                start += size
            pieces.append(data[start:])
            transport, meter = await feed(sidecar, [piece for piece in pieces if piece])
            assert meter.worst <= 1.0
            status_codes.append(re.findall(rb"HTTP/1\.1 (\d+)", transport.written))
        assert status_codes[0] == status_codes[1]
        assert len(status_codes[0]) == len(classes)

    run_with_sidecar(tmp_path_factory.mktemp("cut"), scenario)


def test_load_report_with_too_many_pairs_is_ignored():
    assert LoadReportParser(("rps",)).parse(b"rps=1," + b"x=1," * 10000) == ()


def test_late_event_loop_is_logged_once_with_longest_callback(tmp_path, caplog):
    async def scenario(sidecar):
        lag_monitor = sidecar.server.lag_monitor
        with caplog.at_level(logging.WARNING):
            for _ in range(2):
                started_s = time.monotonic()
                time.sleep(0.15)
                lag_monitor.record_duration(started_s, "a test that sleeps")
                due_s = lag_monitor.due_s
                await wait_until(lambda: lag_monitor.due_s != due_s)  # noqa: B023
        lines = [record.message for record in caplog.records if "late" in record.message]
        assert len(lines) == 1
        assert "a test that sleeps" in lines[0]
        assert lag_monitor.max_lag_s >= 100 * MS / 1e9

    run_with_sidecar(tmp_path, scenario)
