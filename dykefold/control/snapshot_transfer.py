"""Hands the balancers' estimates of an older process to the newer one that takes over from it."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..net.sidecar import SidecarServer
from .balancer_snapshot import restore, snapshot
from .hot_restart_state import ROOM_WAIT_NS, HotRestartState, ProcessHeartbeat
from .process_records import ClockReading, RecordKind, nested_table, shift_between_clocks
from .state_directory import StateDirectory

log = logging.getLogger("dykefold.control")


class SnapshotTransfer:
    """One process's side of it: it writes its own snapshot and reads that of the process before it.

    Args:
        sidecar: whose balancers are written and restored.
        directory: that the processes share.
        name: of this process.
        born_ns: when this process started, monotonic.
        read_clock: reads the clock of this process, which times in its snapshot are on.
    """

    def __init__(
        self,
        sidecar: SidecarServer,
        directory: StateDirectory,
        name: str,
        born_ns: int,
        read_clock: Callable[[], ClockReading],
    ) -> None:
        self.sidecar = sidecar
        self.directory = directory
        self.name = name
        self.born_ns = born_ns
        self.read_clock = read_clock
        self.retry_needed = False  # a newer process waits for the snapshot, which could not be written

    def write(self, others: Iterable[ProcessHeartbeat]) -> None:
        """Write what this process believes; if that fails and a newer one waits, it is to be retried."""
        pools = {pool.label: snapshot(pool.balancer, pool.names) for pool in self.sidecar.pools}
        record = {"pools": pools, "clock": self.read_clock().to_record()}
        written = self.directory.write(RecordKind.SNAPSHOT.of_process(self.name), record)
        awaited = any(
            other.state is HotRestartState.STARTING and other.born_ns > self.born_ns for other in others
        )
        self.retry_needed = awaited and not written

    def is_ready(self, others: Iterable[ProcessHeartbeat]) -> bool:
        """Whether there is no snapshot to wait for, or none any longer."""
        older = self._latest_older(others)
        return (
            older is None
            or self.read_clock().monotonic_ns - self.born_ns >= ROOM_WAIT_NS
            or self.directory.read(RecordKind.SNAPSHOT.of_process(older.name)) is not None
        )

    def restore(self, others: Iterable[ProcessHeartbeat]) -> None:
        """Begin with what the latest older process believed, if there is one, so as not to begin blind."""
        older = self._latest_older(others)
        if older is None:
            return
        record = self.directory.read(RecordKind.SNAPSHOT.of_process(older.name))
        known = nested_table(record, "pools")
        shift_ns = shift_between_clocks(record, self.read_clock())
        for pool in self.sidecar.pools:
            if pool.label not in known:
                continue
            if shift_ns is None or not restore(pool.balancer, pool.names, known[pool.label], shift_ns):
                log.warning("process ignores balancer snapshot: process %s", older.name)

    def _latest_older(self, others: Iterable[ProcessHeartbeat]) -> ProcessHeartbeat | None:
        older = [other for other in others if other.born_ns < self.born_ns]
        return max(older, key=lambda other: other.born_ns, default=None)
