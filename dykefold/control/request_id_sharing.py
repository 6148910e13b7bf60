"""Shares the ids of open and recently finished requests between the processes of one sidecar.

While several processes live, each of them publishes an id before it looks for it at the others. So of two
processes that get the same id at once, at least one sees it at the other and rejects its request.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..net.request_ids import RECENT_ID_S, RequestIds, id_digest
from .append_log import Logs, LogWriter
from .request_id_log import OPEN, REPLACED, RequestIdFollower, id_record

RECENT_ID_NS = int(RECENT_ID_S * 1e9)
MAX_LOG_BYTES = 1024 * 1024  # A longer log is replaced by one with the ids that are still of use.
LOG_PREFIX = "ids-"


def log_name(process: str) -> str:
    """Return the name of the log of a process."""
    return LOG_PREFIX + process


class RequestIdSharing:
    """Publishes the ids of this process, and follows those of the others.

    Args:
        request_ids: Ids of this process; they are shared while other processes live.
        logs: Logs of the state directory.
        process: Name of this process.
        now_ns: Monotonic clock of the machine, in nanoseconds.
    """

    def __init__(self, request_ids: RequestIds, logs: Logs, process: str, now_ns: Callable[[], int]) -> None:
        self._request_ids = request_ids
        self._logs = logs
        self._process = process
        self._now_ns = now_ns
        self._writer: LogWriter | None = None
        self._written_bytes = 0
        self._publishing = False  # whether the log has all ids of this process
        self._followers: dict[str, RequestIdFollower] = {}
        self._of_ended: dict[int, int] = {}  # ids of ended processes, with the time until which they count

    def create_log(self) -> None:
        """Create the log of this process with all ids that it has; if that fails, an earlier one stays."""
        writer = self._logs.create(log_name(self._process))
        if writer is None:
            return
        former, self._writer = self._writer, writer
        self._written_bytes = 0
        self._publishing = True
        open_ids, finished_ids = self._request_ids.open_and_finished()
        until_ns = self._now_ns() + RECENT_ID_NS
        records = [id_record(id_digest(request_id), until_ns) for request_id in finished_ids]
        records += [id_record(id_digest(request_id), OPEN) for request_id in open_ids]
        self._append(b"".join(records))
        if former is not None:
            former.append(REPLACED)
            former.close()

    def _append(self, data: bytes) -> None:
        if self._writer is None:
            return
        self._written_bytes += len(data)
        if not self._writer.append(data):
            self._publishing = False  # The next update creates another log.

    def update(self, others: Collection[str]) -> None:
        """Follow the logs of other processes; called before this process acknowledges a new one.

        Args:
            others: Names of the other live processes.
        """
        if not others:
            self._publishing = False
        elif not self._publishing or self._written_bytes > MAX_LOG_BYTES:
            self.create_log()
        now_ns = self._now_ns()
        for process in [process for process in self._followers if process not in others]:
            self._end_follower(self._followers.pop(process), now_ns)
        for process in others:
            follower = self._followers.setdefault(process, RequestIdFollower(self._logs, log_name(process)))
            follower.refresh(now_ns)
        self._of_ended = {digest: until for digest, until in self._of_ended.items() if until > now_ns}
        self._request_ids.shared = self if self._followers or self._of_ended else None

    def _end_follower(self, follower: RequestIdFollower, now_ns: int) -> None:
        """Keep the ids of a process that has ended: requests that were open may have run."""
        follower.read()
        for digest, until_ns in follower.until_ns.items():
            self._of_ended[digest] = until_ns if until_ns != OPEN else now_ns + RECENT_ID_NS
        follower.close()

    def claim(self, request_id: bytes) -> bool:
        """Publish an id as open; return False, and withdraw it, if another process has it."""
        digest, now_ns = id_digest(request_id), self._now_ns()
        if self._publishing:
            self._append(id_record(digest, OPEN))
        taken = self._of_ended.get(digest, 0) > now_ns or any(
            follower.has(digest, now_ns) for follower in self._followers.values()
        )
        if taken and self._publishing:
            self._append(id_record(digest, now_ns))
        return not taken

    def finish(self, request_id: bytes) -> None:
        """Publish that the request with an id has ended."""
        if self._publishing:
            self._append(id_record(id_digest(request_id), self._now_ns() + RECENT_ID_NS))

    def close(self) -> None:
        """Stop sharing; the log stays until the records of this process are removed."""
        self._request_ids.shared = None
        for follower in self._followers.values():
            follower.close()
        if self._writer is not None:
            self._writer.close()
