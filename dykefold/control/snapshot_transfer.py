"""Transfers the estimates of the balancers from an older process to the newer one."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable

from ..net.service.pool import Pool
from .balancer_snapshot import restore, snapshot
from .hot_restart_state import MAX_CAPACITY_WAIT_NS, HotRestartState, ProcessHeartbeat
from .process_records import ClockReading, RecordKind, nested_table, shift_between_clocks
from .protocols import StateDirectory

log = logging.getLogger("dykefold.control")


class SnapshotTransfer:
    """Writes the snapshot of this process, and restores that of the latest older process.

    Args:
        pools: Pools whose balancers are written and restored; the collection changes with them.
        directory: State directory that the processes of the sidecar share.
        name: Name of this process.
        started_ns: Start of this process on the monotonic clock.
        read_clock: Reads the clock of this process; times in its snapshot are on this clock.
    """

    def __init__(
        self,
        pools: Collection[Pool],
        directory: StateDirectory,
        name: str,
        started_ns: int,
        read_clock: Callable[[], ClockReading],
    ) -> None:
        self.pools = pools
        self.directory = directory
        self.name = name
        self.started_ns = started_ns
        self.read_clock = read_clock
        self.retry_needed = False  # a newer process waits for a snapshot that could not be written

    def write(self, others: Iterable[ProcessHeartbeat]) -> None:
        """Write the snapshot; `retry_needed` is set if the write fails while a newer process waits for it."""
        pools = {pool.label: snapshot(pool.balancer, pool.names) for pool in self.pools}
        record = {"pools": pools, "clock": self.read_clock().to_record()}
        written = self.directory.write(RecordKind.SNAPSHOT.of_process(self.name), record)
        awaited = any(
            other.state is HotRestartState.STARTING and other.started_ns > self.started_ns for other in others
        )
        self.retry_needed = awaited and not written

    def is_ready(self, others: Iterable[ProcessHeartbeat]) -> bool:
        """Whether a starting process need not wait for a snapshot any longer."""
        older = self._latest_older(others)
        return (
            older is None
            or self.read_clock().monotonic_ns - self.started_ns >= MAX_CAPACITY_WAIT_NS
            or self.directory.read(RecordKind.SNAPSHOT.of_process(older.name)) is not None
        )

    def restore(self, others: Iterable[ProcessHeartbeat]) -> None:
        """Restore the snapshot of the latest older process, if there is one."""
        older = self._latest_older(others)
        if older is None:
            return
        record = self.directory.read(RecordKind.SNAPSHOT.of_process(older.name))
        snapshots = nested_table(record, "pools")
        shift_ns = shift_between_clocks(record, self.read_clock())
        for pool in self.pools:
            if pool.label not in snapshots:
                continue
            if shift_ns is None or not restore(pool.balancer, pool.names, snapshots[pool.label], shift_ns):
                log.warning("process ignores balancer snapshot: process %s", older.name)

    def _latest_older(self, others: Iterable[ProcessHeartbeat]) -> ProcessHeartbeat | None:
        older = [other for other in others if other.started_ns < self.started_ns]
        return max(older, key=lambda other: other.started_ns, default=None)
