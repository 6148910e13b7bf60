"""Messages made to cost more than they weigh: work by the byte, in turns, with the same result."""

import asyncio
import logging
import re
import sys
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from net_helpers import MS, WAIT_TIMEOUT_S, Sidecar, config, list_update, request_message, run, wait_until

from dykefold.net.downstream.connection import ClientConnection
from dykefold.net.downstream.request_assembler import MAX_HEADERS_BYTES
from dykefold.net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from dykefold.net.read_scheduler import MAX_SLICES_PER_TURN, SLICE_BYTES
from dykefold.net.service.load_reports import LoadReportParser

CALLS_A_BYTE = 1.5  # Python calls: the worst are requests of 18 bytes, with some twenty for each
CALLS_AT_ONCE = 200  # ... and so many whatever comes


class Wire:
    """A transport that keeps what is written."""

    def __init__(self):
        self.written = b""
        self.reading = True
        self.closing = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closing

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def close(self):
        self.closing = True

    def set_write_buffer_limits(self, high):
        assert high == 0

    write_eof = abort = close


class Meter:
    """The most Python calls in one turn, over what its bytes allow."""

    def __init__(self):
        self.calls = 0
        self.worst = 0.0

    def _count(self, frame, event, _):
        self.calls += event == "call"

    def run(self, size, work, *args):
        self.calls = 0
        before = sys.getprofile()
        sys.setprofile(self._count)
        try:
            return work(*args)
        finally:
            sys.setprofile(before)
            self.worst = max(self.worst, self.calls / (CALLS_AT_ONCE + CALLS_A_BYTE * size))


async def feed(sidecar, pieces):
    """Give pieces to a client's connection as a transport would; its wire and the meter."""
    sidecar_server = sidecar.server
    client, _, _ = sidecar_server.clients.admit("127.9.9.9")
    connection, wire, meter = ClientConnection(sidecar_server, client), Wire(), Meter()
    sidecar_server.clients.add(connection)
    connection.connection_made(wire)
    turn = sidecar_server.read_scheduler._turn
    sidecar_server.read_scheduler._turn = lambda: meter.run(MAX_SLICES_PER_TURN * SLICE_BYTES, turn)
    for piece in pieces:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not wire.reading and not wire.closing:
                await asyncio.sleep(0)
        meter.run(min(len(piece), SLICE_BYTES), connection.data_received, piece)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while connection.reader.unparsed is not None or connection.current is not None:
            await asyncio.sleep(0)
    connection.connection_lost(None)
    sidecar_server.read_scheduler._turn = turn
    assert not sidecar_server.memory.reserved_bytes
    return wire, meter


def chunked(size, cls="order"):
    head = request_message(cls, f"{size:x}", "1m").split(b"\r\n\r\n")[0].rsplit(b"\r\n", 1)[0]
    return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * size + b"0\r\n\r\n"


LINES = b"GET /lookup/part HTTP/1.1\r\n" + b"a:\r\n" * ((MAX_HEADERS_BYTES - 100) // 4) + b"\r\n"
HOSTILE = {
    "chunks of one byte": (chunked(MAX_BUFFERED_BODY_BYTES), 1 << 18, b" 503 "),
    "header lines of four bytes": (LINES, 1 << 18, b" 431 "),
    "requests of eighteen bytes": (b"GET / HTTP/1.1\r\n\r\n" * 5000, 1 << 18, b" 404 "),
    "one long number": (
        request_message("order", deadline="1m")[:-6] + b"0" * 30000 + b"\r\n\r\n",
        1 << 18,
        b" ",
    ),
    "a head byte by byte": (b"GET /" + b"x" * 20000 + b" HTTP/1.1\r\n\r\n", 1, b" 404 "),
    "a good order byte by byte": (request_message("order", deadline="1m", body=b"x" * 500), 1, b" 503 "),
}


def many(path, play):
    async def inside():
        async with Sidecar(path / "config.json", config(list_update(1))) as sidecar:
            await play(sidecar)

    run(inside())


@pytest.mark.parametrize("kind", HOSTILE)
def test_the_calls_of_one_turn_are_bounded_by_its_bytes(tmp_path, kind):
    data, piece, answer = HOSTILE[kind]

    async def play(sidecar):
        pieces = (data[at : at + piece] for at in range(0, len(data), piece))
        wire, meter = await feed(sidecar, pieces)
        assert meter.worst <= 1.0
        assert answer in wire.written.split(b"\r\n")[0]

    many(tmp_path, play)


def test_a_body_of_one_byte_chunks_is_gathered_in_linear_time(tmp_path):
    """Adding up all pieces at each piece once cost ten seconds for this body."""

    async def play(sidecar):
        began = time.monotonic()
        for number in range(3):
            await feed(sidecar, [chunked(MAX_BUFFERED_BODY_BYTES - number)])
        assert time.monotonic() - began < 10.0  # one to two seconds here; over twenty before

    many(tmp_path, play)


@settings(max_examples=30, derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(["lookup", "order", "hold", "nothing"]), min_size=1, max_size=6),
    st.lists(st.integers(1, 4000), min_size=1, max_size=40),
    st.integers(0, 3000),
)
def test_however_it_is_cut_the_answers_are_the_same(tmp_path_factory, classes, sizes, body):
    data = b"".join(
        request_message(cls, f"{number:x}", "1m", b"b" * body if cls != "lookup" else b"")
        for number, cls in enumerate(classes)
    )

    async def play(sidecar):
        seen = []
        for cut in (False, True):
            sidecar.server.ids.clear()
            pieces, at = [], 0
            for size in sizes if cut else []:
                pieces.append(data[at : at + size])
                at += size
            pieces.append(data[at:])
            wire, meter = await feed(sidecar, [piece for piece in pieces if piece])
            assert meter.worst <= 1.0
            seen.append(re.findall(rb"HTTP/1\.1 (\d+)", wire.written))
        assert seen[0] == seen[1]
        assert len(seen[0]) == len(classes)

    many(tmp_path_factory.mktemp("cut"), play)


def test_a_report_of_many_pairs_is_not_read():
    assert LoadReportParser(("rps",)).read(b"rps=1," + b"x=1," * 10000) == ()


def test_a_late_loop_is_logged_once_with_what_ran(tmp_path, caplog):
    async def play(sidecar):
        lag = sidecar.server.lag_monitor
        with caplog.at_level(logging.WARNING):
            for _ in range(2):
                began = time.monotonic()
                time.sleep(0.15)
                lag.record_duration(began, "a test that sleeps")
                at = lag.due_s
                await wait_until(lambda: lag.due_s != at)  # noqa: B023
        lines = [record.message for record in caplog.records if "late" in record.message]
        assert len(lines) == 1
        assert "a test that sleeps" in lines[0]
        assert lag.worst_s >= 100 * MS / 1e9

    many(tmp_path, play)
