"""Carries out a hot restart on a sidecar: heartbeats, limits, and the records for the newer process."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Mapping

from ..net.service.maintenance import MaintenanceOrder
from ..system import System
from .background_writer import OnWritten, Submit
from .endpoint_list_sharing import EndpointListSharing
from .hot_restart_state import (
    MAX_CAPACITY_WAIT_NS,
    OBSERVATION_INTERVAL_NS,
    HotRestartMachine,
    ProcessHeartbeat,
    RestartObservation,
)
from .listener_selection import ListenerSelection
from .maintenance_records import MaintenanceRecords
from .process_records import (
    ClockReading,
    Record,
    RecordKind,
    heartbeat_record,
    parse_heartbeat,
)
from .protocols import RestartHost, StateDirectory
from .record_cleanup import dead_processes, remove_records
from .request_id_sharing import RequestIdSharing
from .snapshot_transfer import SnapshotTransfer

log = logging.getLogger("dykefold.control")

OBSERVATION_INTERVAL_S = OBSERVATION_INTERVAL_NS / 1e9
# Time from the start of a process until it removes records of dead processes.
CLEANUP_DELAY_NS = 5_000_000_000


class HotRestart:
    """One process's participation in hot restarts; the constructor writes no record.

    Args:
        loop: Event loop on which the periodic observation is scheduled.
        sidecar: Server that accepts clients in this process.
        directory: State directory that the processes of the sidecar share.
        system: Clocks; None for the clock of the sidecar.
        started_ns: Start of this process on the monotonic clock; None for the present time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar: RestartHost,
        directory: StateDirectory,
        system: System | None = None,
        started_ns: int | None = None,
    ) -> None:
        self.loop = loop
        self.sidecar = sidecar
        self.directory = directory
        self.now_ns = (system or sidecar.clock).monotonic_ns
        self.boot_id = directory.boot_id()
        started_ns = self.now_ns() if started_ns is None else started_ns
        self.machine = HotRestartMachine(f"{started_ns:020d}-{os.getpid()}", started_ns)
        name = self.machine.name
        self.heartbeat_name = RecordKind.HEARTBEAT.of_process(name)
        self.listener_selection = ListenerSelection(lambda: sidecar.listener is not None)
        self.endpoint_lists = EndpointListSharing(sidecar.pools, directory, name)
        self.snapshots = SnapshotTransfer(sidecar.pools, directory, name, started_ns, self.read_clock)
        self.maintenance = MaintenanceRecords(sidecar.pools, directory, name, self.read_clock)
        self.request_ids = RequestIdSharing(sidecar.request_ids, directory.logs, name, self.now_ns)
        self.process_count = 1
        self.others: dict[str, ProcessHeartbeat] = {}  # heartbeats of live processes, by process name
        self.records_current = True  # the last observation found the records of this process as written
        self.joining_since_ns: int | None = None  # None once this process follows the shared limits
        self.timer: asyncio.TimerHandle | None = None

    def write_in_background(self, submit: Submit) -> None:
        """Run writes that wait for the disk by `submit` from now on."""
        self.maintenance.submit = submit

    def read_clock(self) -> ClockReading:
        """Read the clock of this process; times in its records are on this clock."""
        return ClockReading(self.boot_id, self.now_ns(), self.sidecar.clock.offset_ns)

    # Start

    async def wait_for_capacity(self) -> None:
        """Wait until older processes have released the quota of this one, or are dead."""
        self.request_ids.create_log()  # Older processes follow it before they acknowledge this one.
        self.write_records()
        while not self._may_start() and not self.sidecar.draining:
            # Others must see the claim of this process before it uses the claimed descriptors.
            self.write_records()
            await asyncio.sleep(OBSERVATION_INTERVAL_S / 4)
        self.snapshots.restore(self.others.values())

    def _may_start(self) -> bool:
        return self._observe().may_serve and self.snapshots.is_ready(self.others.values())

    def take_clients(self, sock: socket.socket) -> None:
        """Begin to accept clients on a listening socket, so that new connections come to this process."""
        self.machine.on_serving()
        self.listener_selection.join(sock, self.others.values())
        if self.others:
            log.info("process takes over clients: from %s", ", ".join(self.others))
        self.listener_selection.update(True, self.others.values())
        self.write_records()
        self._tick()

    # Start after a time without a usable state directory

    def join(self) -> None:
        """Participate in hot restarts from now on, as a process that already serves clients.

        Until the others have released its quota, this process keeps the limits that it had alone. The index
        of its listener in the reuseport group is unknown, so the kernel selects listeners by hash.
        """
        self.machine.start_with(self.sidecar.needed_descriptors())
        self.joining_since_ns = self.now_ns()
        self.request_ids.create_log()
        self._try_to_join()

    def _try_to_join(self) -> None:
        self.write_records()
        self._observe()
        if self._may_join():
            self._finish_joining()
            self._tick()
        else:
            self.timer = self.loop.call_later(OBSERVATION_INTERVAL_S, self._try_to_join)

    def _may_join(self) -> bool:
        since_ns = self.joining_since_ns
        waited = since_ns is not None and self.now_ns() - since_ns >= MAX_CAPACITY_WAIT_NS
        return waited or self.machine.max_descriptors >= max(self.machine.claimed_descriptors, 1)

    def _finish_joining(self) -> None:
        self.joining_since_ns = None
        self.machine.on_serving()
        self._observe()
        self.write_records()

    # Periodic observation

    def _tick(self) -> None:
        # A lone process reads only the folder's modification times, since this runs ten times a second.
        if self.others or self.directory.changed() or not self.machine.heartbeat_written:
            claim = self.machine.claimed_descriptors
            self._observe()
            claim_changed = claim != self.machine.claimed_descriptors
            if self.others or claim_changed or not self.machine.heartbeat_written or not self.records_current:
                self.write_records()
        self.timer = self.loop.call_later(OBSERVATION_INTERVAL_S, self._tick)

    def _observe(self) -> RestartObservation:
        """Read the records of the other processes, and apply them to this one."""
        now_ns = self.now_ns()
        records = self.directory.read_all(RecordKind.HEARTBEAT.prefix, RecordKind.MAINTENANCE.prefix)
        orders_recorded = self.maintenance.check(records)
        self.records_current = self.heartbeat_name in records and orders_recorded
        heartbeats = _heartbeats(records)
        for name, record in records.items():
            if name not in (self.heartbeat_name, self.maintenance.record_name):
                self.maintenance.merge(record)
        observation = self._observe_processes(now_ns, heartbeats)
        self.request_ids.update(self.others)
        self._apply(observation)
        for name in self.others:
            self.endpoint_lists.adopt(name, records[RecordKind.HEARTBEAT.of_process(name)])
        if now_ns - self.machine.started_ns > CLEANUP_DELAY_NS:
            self._clean_up(heartbeats)
        return observation

    def _observe_processes(
        self, now_ns: int, heartbeats: Mapping[str, ProcessHeartbeat]
    ) -> RestartObservation:
        """Find the live processes, and pass their heartbeats to the state machine."""
        alive = {
            heartbeat.name: self.directory.is_alive(name)
            for name, heartbeat in heartbeats.items()
            if name != self.heartbeat_name
        }
        observation = self.machine.observe(
            now_ns,
            [heartbeat for heartbeat in heartbeats.values() if alive.get(heartbeat.name) is not False],
            self.sidecar.total_descriptors,
            self.sidecar.needed_descriptors(),
            [name for name, is_alive in alive.items() if is_alive],
        )
        acknowledged = set(self.machine.acknowledged) - {self.machine.name}
        self.others = {
            heartbeat.name: heartbeat for heartbeat in heartbeats.values() if heartbeat.name in acknowledged
        }
        return observation

    def _apply(self, observation: RestartObservation) -> None:
        """Apply limits, the selection of listeners, and the snapshot for a newer process."""
        if self.joining_since_ns is not None:
            return
        if observation.process_count != self.process_count:
            log.info("sidecar has %d processes", observation.process_count)
            self.process_count = observation.process_count
        self.sidecar.share_capacity(observation.process_count, observation.max_descriptors)
        self.sidecar.handing_over = observation.newer_serves
        self.listener_selection.update(observation.leads, self.others.values())
        if observation.arrived or self.snapshots.retry_needed:
            self.snapshots.write(self.others.values())

    def _clean_up(self, heartbeats: Mapping[str, ProcessHeartbeat]) -> None:
        """Remove records of dead processes, once this process has recorded all their maintenance orders."""
        dead = dead_processes(heartbeats.values(), self.machine.acknowledged, self.machine.started_ns)
        if dead and self.maintenance.write():
            for process in dead:
                remove_records(self.directory, process)

    def write_records(self) -> bool:
        """Write the heartbeat and the maintenance orders of this process.

        The heartbeat is written ten times a second while others live, so it is not synced. The record of
        maintenance orders is synced, and written only after a change. Each observation retries failed writes.

        Returns:
            Whether both are written, and the record of orders would survive a crash of the machine.
        """
        written = self._write_heartbeat()
        return self.maintenance.write() and written

    def record_orders(self, orders: Mapping[str, MaintenanceOrder], on_recorded: OnWritten) -> None:
        """Write the heartbeat and all maintenance orders.

        Args:
            orders: New orders by endpoint name, which override those of the pools.
            on_recorded: Callback that is notified whether a newer process will know all orders.
        """
        heartbeat_written = self._write_heartbeat()
        self.maintenance.record(orders, lambda recorded: on_recorded(recorded and heartbeat_written))

    def _write_heartbeat(self) -> bool:
        self.directory.lock(self.heartbeat_name)
        heartbeat = self.machine.heartbeat(self.now_ns(), self.listener_selection.listener_index)
        record = heartbeat_record(heartbeat, self.maintenance.orders())
        versions = self.endpoint_lists.write(needed=bool(self.others))
        clock = self.read_clock().to_record()
        written = self.directory.write(self.heartbeat_name, {**record, "lists": versions, "clock": clock})
        self.machine.wrote_heartbeat(self.now_ns(), written)
        return written

    # Shutdown

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown."""
        if self.joining_since_ns is not None:
            self._finish_joining()
        self._observe()
        self.machine.on_shutdown()
        self.write_records()

    def close(self) -> None:
        """Stop the observation; the records stay unless a newer process has recorded the same orders."""
        if self.timer is not None:
            self.timer.cancel()
        self.request_ids.close()
        if self.sidecar.handing_over and self.maintenance.are_recorded_by_others(self.others):
            remove_records(self.directory, self.machine.name)


def _heartbeats(records: Mapping[str, Record]) -> dict[str, ProcessHeartbeat]:
    """Return the heartbeats among records, by record name; a heartbeat under another name is left out."""
    heartbeats = {}
    for name, record in records.items():
        heartbeat = parse_heartbeat(record)
        if heartbeat is not None and name == RecordKind.HEARTBEAT.of_process(heartbeat.name):
            heartbeats[name] = heartbeat
    return heartbeats
