"""The response reader on its own, fed with bytes: buffered and streamed responses."""

import pytest
from net_helpers import FakeConsumer

from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.upstream.classify import HttpProfile
from dykefold.net.upstream.response_reader import MAX_HEADERS_BYTES, ResponseReader

HEAD = b"HTTP/1.1 200 OK\r\n"


def make_reader(consumer=None):
    reader = ResponseReader(MemoryBudget(64 * MB))
    reader.begin(consumer or FakeConsumer())
    return reader


@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
def test_response_is_the_same_in_pieces_of_any_size(piece_bytes):
    reader = make_reader()
    data = HEAD + b"X-Load: 3 \r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello"
    for start in range(0, len(data), piece_bytes):
        assert reader.response is None
        assert reader.feed(data[start : start + piece_bytes])
    response = reader.response
    assert (response.code, response.headers, response.body) == (200, [(b"X-A", b"b")], b"hello")
    assert (response.load, response.not_run) == (b"3", False)
    assert reader.keep_alive
    assert not reader.surplus
    assert reader.size == len(data)


def test_memory_is_reserved_for_a_buffered_body_and_released_once():
    reader = make_reader()
    assert reader.feed(HEAD + b"Content-Length: 5\r\n\r\nhell")
    assert reader.memory.reserved_bytes == 4
    reader.release()
    reader.release()
    assert reader.memory.reserved_bytes == 0


def test_bytes_behind_a_response_are_surplus():
    reader = make_reader()
    response = HEAD + b"Content-Length: 2\r\n\r\nab"
    assert reader.feed(response + response.replace(b"ab", b"cd"))
    assert reader.response.body == b"ab"
    assert reader.surplus


def test_interim_response_is_not_the_response():
    reader = make_reader()
    assert reader.feed(b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n")
    assert reader.response is None
    assert reader.feed(HEAD + b"Content-Length: 0\r\n\r\n")
    assert (reader.response.code, reader.response.headers) == (200, [])


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01 noise",
        HEAD + b"Content-Length: 65\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        HEAD + b"\r\n",
        HEAD + b"X-Pad: y\r\n" * (MAX_HEADERS_BYTES // 10 + 1),
    ],
    ids=["not HTTP", "body too long", "unknown coding", "neither length nor close", "headers too long"],
)
def test_response_that_can_never_be_whole_is_reported(data):
    reader = make_reader()
    assert not reader.feed(data)
    assert reader.response is None


def test_end_of_stream_completes_only_a_response_that_announces_its_close():
    reader = make_reader()
    assert reader.feed(HEAD + b"Connection: close\r\n\r\nhello")
    assert reader.response is None
    assert reader.finish()
    assert reader.response.body == b"hello"
    reader = make_reader()
    assert reader.feed(HEAD + b"Content-Length: 9\r\n\r\nhello")
    assert not reader.finish()
    assert reader.response is None


def test_long_response_is_streamed_in_order_without_memory():
    consumer = FakeConsumer(HttpProfile.GENERIC, max_streamed_bytes=1000)
    reader = make_reader(consumer)
    assert reader.feed(HEAD + b"Content-Length: 100\r\n\r\n" + b"a" * 40)
    assert reader.expects_only_body(60)
    assert not reader.expects_only_body(61)
    assert reader.feed(b"b" * 60)
    assert consumer.begin_calls == [(200, [], 100, b"")]
    assert b"".join(consumer.pieces) == b"a" * 40 + b"b" * 60
    assert reader.memory.reserved_bytes == 0
    assert (reader.streamed, reader.response.body) == (100, b"")


def test_chunked_response_is_streamed_from_its_first_byte_once_it_is_too_long():
    consumer = FakeConsumer(HttpProfile.GENERIC, max_streamed_bytes=1000)
    reader = make_reader(consumer)
    assert reader.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"28\r\n" + b"a" * 40 + b"\r\n")
    assert (consumer.begin_calls, reader.memory.reserved_bytes) == ([], 40)
    assert reader.feed(b"28\r\n" + b"b" * 40 + b"\r\n0\r\n\r\n")
    assert consumer.begin_calls == [(200, [], None, b"")]
    assert b"".join(consumer.pieces) == b"a" * 40 + b"b" * 40
    assert reader.memory.reserved_bytes == 0


def test_consumer_that_gives_up_during_a_piece_gets_no_more():
    class DetachingConsumer(FakeConsumer):
        def send_response_chunk(self, data):
            super().send_response_chunk(data)
            reader.consumer = None

    consumer = DetachingConsumer(HttpProfile.GENERIC, max_streamed_bytes=1000)
    reader = make_reader(consumer)
    assert reader.feed(HEAD + b"Content-Length: 100\r\n\r\n" + b"a" * 40)
    reader.feed(b"b" * 60)
    assert consumer.pieces == [b"a" * 40]


def test_response_of_unknown_length_can_be_streamed_before_it_is_long():
    """Guards against answers that flow, and are given up at the deadline since their length is unknown."""
    consumer = FakeConsumer(max_streamed_bytes=1000)
    reader = make_reader(consumer)
    assert not reader.stream_now()
    assert reader.feed(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
    assert reader.flows
    assert reader.stream_now()
    assert not reader.flows
    assert reader.memory.reserved_bytes == 0
    assert reader.feed(b"2\r\nde\r\n0\r\n\r\n")
    assert consumer.begin_calls == [(200, [], None, b"")]
    assert b"".join(consumer.pieces) == b"abcde"


@pytest.mark.parametrize(
    "head",
    [
        HEAD + b"Content-Length: 5\r\n\r\nabc",
        b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n",
    ],
    ids=["short", "failed", "incomplete head"],
)
def test_other_responses_do_not_flow(head):
    reader = make_reader(FakeConsumer(max_streamed_bytes=1000))
    assert reader.feed(head)
    assert not reader.flows
    assert not reader.stream_now()


@pytest.mark.parametrize(
    ("framing", "length"), [(b"Content-Length: 5\r\n\r\n", 5), (b"Connection: close\r\n\r\n", None)]
)
def test_response_that_finds_no_memory_is_streamed(framing, length):
    """Guards against sound answers that are cut off since other clients have taken the memory."""
    consumer = FakeConsumer(max_streamed_bytes=1000)
    reader = make_reader(consumer)
    reader.memory.capacity_bytes = 2
    assert reader.feed(HEAD + framing + b"ab")
    assert not consumer.pieces
    assert reader.feed(b"cde")
    assert consumer.begin_calls == [(200, [], length, b"")]
    assert b"".join(consumer.pieces) == b"abcde"
    assert reader.memory.reserved_bytes == 0
