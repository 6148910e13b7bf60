"""The log of one process's request ids, and its form: digests of ids, each with its state.

A record is two 64-bit integers in little-endian order: the digest of an id, and `OPEN` or the time on the
machine's monotonic clock, in nanoseconds, until which the id of a finished request can't be reused. A later
record on the same id replaces an earlier one. A record of zeros ends a log that was replaced by a new one of
the same name, which begins with all open and recently finished ids.
"""

from __future__ import annotations

import struct

from .append_log import LogReader, Logs

RECORD = struct.Struct("<QQ")
OPEN = 0
REPLACED = bytes(RECORD.size)


def id_record(digest: int, until_ns: int) -> bytes:
    """Return the record of an id; `until_ns` is `OPEN` or the time until which it can't be reused."""
    return RECORD.pack(digest, until_ns)


class RequestIdFollower:
    """Follows the log of another process.

    Args:
        logs: Logs of the state directory.
        name: Name of the log.

    Attributes:
        until_ns: Value of the latest record of each id, by its digest.
    """

    def __init__(self, logs: Logs, name: str) -> None:
        self._logs = logs
        self._name = name
        self._reader: LogReader | None = None
        self._incomplete = b""  # beginning of a record
        self.until_ns: dict[int, int] = {}

    def has(self, digest: int, now_ns: int) -> bool:
        """Return whether the other process has a request with an id that is open or has just finished."""
        self.read()
        until_ns = self.until_ns.get(digest)
        return until_ns is not None and (until_ns == OPEN or until_ns > now_ns)

    def read(self) -> None:
        """Read the new records of the log, and those of the log that replaces it."""
        if self._reader is None:
            self._open()
        while self._reader is not None and (data := self._incomplete + self._reader.read()):
            whole_bytes = len(data) - len(data) % RECORD.size
            self._incomplete = data[whole_bytes:]
            if not whole_bytes:
                return
            # A replaced log is complete, so records after its last one are not expected.
            if data[whole_bytes - RECORD.size : whole_bytes] == REPLACED:
                self._open()
            else:
                self.until_ns.update(RECORD.iter_unpack(data[:whole_bytes]))

    def refresh(self, now_ns: int) -> None:
        """Find a replaced log even if its end can't be read, and drop expired ids."""
        if self._reader is not None and self._reader.is_replaced():
            self._open()
        self.read()
        self.until_ns = {
            digest: until_ns
            for digest, until_ns in self.until_ns.items()
            if until_ns == OPEN or until_ns > now_ns
        }

    def _open(self) -> None:
        """Open the present log, which has all ids that are open; if that fails, keep the former one."""
        reader = self._logs.open(self._name)
        if reader is not None:
            self.close()
            self._reader = reader
            self.until_ns = {digest: until for digest, until in self.until_ns.items() if until != OPEN}

    def close(self) -> None:
        """Stop following the log."""
        if self._reader is not None:
            self._reader.close()
        self._reader = None
        self._incomplete = b""
