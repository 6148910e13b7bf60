"""Ids of requests that are open or have just ended, which no other request may have.

With the id of an open request, an endpoint would take a request for a hedged attempt; with that of a finished
one, it might run that request again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

# The id of a finished request can't be reused for this time, while it is among the `MAX_RECENT_IDS` latest.
RECENT_ID_S = 4.0
MAX_RECENT_IDS = 8192
# A longer id is remembered by its digest: clients choose the length.
MAX_REMEMBERED_ID_BYTES = 64
DIGEST_BYTES = 8

# A request id, or the digest of a long one.
RememberedId = bytes | int


def id_digest(request_id: RememberedId) -> int:
    """Return the digest of an id, which is never 0; the digest of a long id is given as it is."""
    if isinstance(request_id, int):
        return request_id
    return int.from_bytes(blake2b(request_id, digest_size=DIGEST_BYTES).digest(), "little") or 1


def _remembered(request_id: bytes) -> RememberedId:
    return request_id if len(request_id) <= MAX_REMEMBERED_ID_BYTES else id_digest(request_id)


class SharedRequestIds(Protocol):
    """Ids of all processes of the sidecar, while there are several."""

    def claim(self, request_id: bytes) -> bool:
        """Publish an id as open; return False, and withdraw it, if another process has it."""
        ...

    def finish(self, request_id: bytes) -> None:
        """Publish that the request with an id has ended."""
        ...


class RequestIds:
    """The ids of the requests of one process.

    Args:
        monotonic: Monotonic clock, in seconds.

    Attributes:
        known: Ids of requests that are open or have finished recently.
        finished: Ids of recently finished requests, each with its end in seconds of the monotonic clock.
        shared: Ids of the other processes of the sidecar; None while there are none.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self.known: set[RememberedId] = set()
        self.finished: deque[tuple[float, RememberedId]] = deque()
        self.shared: SharedRequestIds | None = None

    def is_known(self, request_id: bytes) -> bool:
        """Return whether a request of this process with an id is open or has finished recently."""
        finished = self.finished
        if finished:
            oldest_s = self._monotonic() - RECENT_ID_S
            while finished and (finished[0][0] < oldest_s or len(finished) > MAX_RECENT_IDS):
                self.known.discard(finished.popleft()[1])
        return _remembered(request_id) in self.known

    def open(self, request_id: bytes) -> bool:
        """Record an id that is not known here as open; return False if another process has it."""
        if self.shared is not None and not self.shared.claim(request_id):
            return False
        self.known.add(_remembered(request_id))
        return True

    def finish(self, request_id: bytes) -> None:
        """Record that the request with an open id has ended."""
        self.finished.append((self._monotonic(), _remembered(request_id)))
        if self.shared is not None:
            self.shared.finish(request_id)

    def open_and_finished(self) -> tuple[set[RememberedId], list[RememberedId]]:
        """Return the ids of the open requests, and those of the recently finished ones."""
        finished = [request_id for _, request_id in self.finished]
        return self.known.difference(finished), finished
