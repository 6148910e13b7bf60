"""When the client of a streamed body sent its last byte, as far as its arrival shows it."""

import pytest

from dykefold.net.streaming import (
    MAX_CLIENT_SEND_BUFFER_BYTES,
    MAX_OBSERVATION_AGE_NS,
    MIN_FULL_RECEIVE_BUFFER_BYTES,
    SOCKET_READ_NS,
    Upload,
)

KB = 1024
LENGTH = 400 * KB
FULL = MIN_FULL_RECEIVE_BUFFER_BYTES


def upload_paused_at(paused_ns, unread_bytes=0, length=LENGTH, began_ns=10):
    upload = Upload(length, b"", lambda: None, began_ns)
    upload.set_paused(True, paused_ns)
    upload.observe_arrival(paused_ns, 0, unread_bytes)
    return upload


def completed_ns(upload, now_ns):
    upload.finish(now_ns)
    return upload.completed_ns


def test_body_that_is_read_as_it_comes_completes_when_it_is_read():
    upload = Upload(LENGTH, b"", lambda: None, 10)
    upload.observe_arrival(10 + 8 * SOCKET_READ_NS, 0, 0)
    assert completed_ns(upload, 10 + 10 * SOCKET_READ_NS) == 10 + 10 * SOCKET_READ_NS


def test_body_that_waits_for_a_late_event_loop_completes_when_it_was_last_seen_unfinished():
    """Guards against a deadline that starts when a busy sidecar, not the client, is done with the body."""
    upload = Upload(LENGTH, b"", lambda: None, 10)
    upload.observe_arrival(100, 0, FULL)
    assert completed_ns(upload, 10 + MAX_OBSERVATION_AGE_NS + 1) == 10


@pytest.mark.parametrize("length", [LENGTH, None])
def test_body_buffered_while_reading_was_paused_completes_at_pause_time(length):
    """Guards against a late end time: the rest of a body is in the socket buffer while reading is paused."""
    # Still paused: it completed from bytes that were already read.
    assert completed_ns(upload_paused_at(100, length=length), 10 * SOCKET_READ_NS) == 100
    # Within one read interval the rest was in the socket buffer.
    resumed = upload_paused_at(100, length=length)
    resumed.set_paused(False, 800)
    assert completed_ns(resumed, 800 + SOCKET_READ_NS - 1) == 100
    later = upload_paused_at(100, length=length)
    later.set_paused(False, 800)
    later.observe_arrival(800, 0, 0)
    assert completed_ns(later, 800 + SOCKET_READ_NS) == 800 + SOCKET_READ_NS  # The client sent more later.


def test_rest_of_a_body_may_wait_in_the_kernel_of_the_client():
    """Guards against a deadline that starts at the last of several pauses, long after the last byte."""
    upload = upload_paused_at(100)
    upload.observe_arrival(200, 0, FULL)
    assert upload.unfinished_ns == 100
    upload.observe_arrival(300, 0, FULL - 1)
    assert upload.unfinished_ns == 300


@pytest.mark.parametrize("length", [LENGTH, None])
def test_receive_buffer_that_was_just_read_may_be_filled_again_at_once(length):
    """Guards against a deadline that starts anew with each read of a body which was sent long ago."""
    upload = upload_paused_at(100, length=length)
    upload.observe_arrival(200, 0, 0, FULL)
    assert upload.unfinished_ns == 100
    upload.observe_arrival(300, 0, 0, FULL - 1)
    assert upload.unfinished_ns == 300


def test_body_that_has_arrived_is_not_unfinished():
    upload = upload_paused_at(100)
    upload.observe_arrival(200, LENGTH - 5, 5)
    assert upload.unfinished_ns == 100


def test_client_can_not_have_sent_more_than_its_kernel_holds():
    upload = upload_paused_at(100, FULL, length=FULL + MAX_CLIENT_SEND_BUFFER_BYTES + 1)
    assert upload.unfinished_ns == 100
    assert upload_paused_at(100, FULL, length=FULL + MAX_CLIENT_SEND_BUFFER_BYTES).unfinished_ns == 10


@pytest.mark.parametrize("counts", [(1, 0), (0, 1)])
def test_end_of_a_chunked_body_may_be_in_bytes_that_are_not_parsed(counts):
    upload = upload_paused_at(100, length=None)
    upload.observe_arrival(200, *counts)
    assert upload.unfinished_ns == 100
    upload.observe_arrival(300, 0, 0)
    assert upload.unfinished_ns == 300
