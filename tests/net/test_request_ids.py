"""The ids that no other request may have, and the memory that they take."""

import tracemalloc

from dykefold.net.request_ids import MAX_REMEMBERED_ID_BYTES, RequestIds, id_digest

LONG_ID_BYTES = 30_000
REQUESTS = 500
MAX_BYTES_PER_ID = 1024


def test_long_ids_are_known_while_they_are_open_and_just_finished():
    ids = RequestIds(lambda: 0.0)
    long_id = b"x" * (MAX_REMEMBERED_ID_BYTES + 1)
    assert not ids.is_known(long_id)
    assert ids.open(long_id)
    assert ids.is_known(long_id)
    assert not ids.is_known(long_id + b"x")
    ids.finish(long_id)
    assert ids.is_known(long_id)
    assert ids.open_and_finished() == (set(), [id_digest(long_id)])


def test_remembered_ids_take_little_memory_however_long_they_are():
    """Guards against clients that take the process over its memory limit with ever new, long ids."""
    ids = RequestIds(lambda: 0.0)
    tracemalloc.start()
    for number in range(REQUESTS):
        request_id = b"%0*d" % (LONG_ID_BYTES, number)
        assert ids.open(request_id)
        ids.finish(request_id)
    taken_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert taken_bytes <= REQUESTS * MAX_BYTES_PER_ID + LONG_ID_BYTES
