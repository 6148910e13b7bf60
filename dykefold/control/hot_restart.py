"""Carries a hot restart out on a sidecar: heartbeats, limits, and what the newer process is to know."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Mapping

from ..net.service.maintenance import MaintenanceOrder
from ..net.sidecar import SidecarServer
from ..system import System
from .background_writer import OnWritten, Submit
from .endpoint_list_sharing import EndpointListSharing
from .hot_restart_state import LOOK_NS, ROOM_WAIT_NS, HotRestartMachine, ProcessHeartbeat, RestartView
from .listener_selection import ListenerSelection
from .maintenance_records import MaintenanceRecords
from .process_records import (
    ClockReading,
    Record,
    RecordKind,
    heartbeat_record,
    parse_heartbeat,
)
from .record_cleanup import gone_processes, remove_records
from .snapshot_transfer import SnapshotTransfer
from .state_directory import StateDirectory

log = logging.getLogger("dykefold.control")

LOOK_S = LOOK_NS / 1e9
CLEANUP_DELAY_NS = 5_000_000_000  # from its start until a process removes what processes before it left


class HotRestart:
    """The heartbeats of this process and of the others, and what follows from them.

    Args:
        loop: that runs the looks.
        sidecar: what serves clients in this process.
        directory: that the processes share.
        system: clocks; None: those of the sidecar.
        born_ns: when this process started, monotonic; None: now.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar: SidecarServer,
        directory: StateDirectory,
        system: System | None = None,
        born_ns: int | None = None,
    ) -> None:
        """Prepare; nothing is written yet."""
        self.loop = loop
        self.sidecar = sidecar
        self.directory = directory
        self.now_ns = (system or sidecar.clock).monotonic_ns
        self.boot_id = directory.boot_id()
        born_ns = self.now_ns() if born_ns is None else born_ns
        self.machine = HotRestartMachine(f"{born_ns:020d}-{os.getpid()}", born_ns)
        name = self.machine.name
        self.heartbeat_name = RecordKind.HEARTBEAT.of_process(name)
        self.steering = ListenerSelection(sidecar)
        self.lists = EndpointListSharing(sidecar, directory, name)
        self.snapshots = SnapshotTransfer(sidecar, directory, name, born_ns, self.read_clock)
        self.maintenance = MaintenanceRecords(sidecar, directory, name, self.read_clock)
        self.process_count = 1
        self.others: dict[str, ProcessHeartbeat] = {}  # of the processes that live, by name
        self.records_stand = True  # what this process has written was there at the last look
        self.joining_since_ns: int | None = None  # it serves, and has not taken its part of the limits yet
        self.timer: asyncio.TimerHandle | None = None

    def write_in_background(self, submit: Submit) -> None:
        """Have writes that wait for the disk run by `submit` from now on."""
        self.maintenance.submit = submit

    def read_clock(self) -> ClockReading:
        """Read the clock of this process, on which its records have their times."""
        return ClockReading(self.boot_id, self.now_ns(), self.sidecar.clock.offset)

    # The start

    async def wait_for_capacity(self) -> None:
        """Wait until older processes leave this one its part of the limits, or are seen to be gone."""
        self.write_records()
        while not self._may_start() and not self.sidecar.draining:
            self.write_records()  # what it is about to take, before it does
            await asyncio.sleep(LOOK_S / 4)
        self.snapshots.restore(self.others.values())

    def _may_start(self) -> bool:
        return self._look().may_serve and self.snapshots.is_ready(self.others.values())

    def take_clients(self, sock: socket.socket) -> None:
        """Take clients on a listening socket: new ones come to it from now on."""
        self.machine.on_serving()
        self.steering.join(sock, self.others.values())
        if self.others:
            log.info("process takes over clients: from %s", ", ".join(self.others))
        self.steering.update(True, self.others.values())
        self.write_records()
        self._tick()

    # The start where the state directory could not be used for a while

    def join(self) -> None:
        """Take part from now on, as a process that has served clients for some time.

        Until the others have made way for it, it keeps the limits that it had without them. Which index its
        listener has in the reuseport group can't be known, so the kernel selects by hash.
        """
        self.machine.hold(self.sidecar.needed_descriptors())
        self.joining_since_ns = self.now_ns()
        self._try_to_join()

    def _try_to_join(self) -> None:
        self.write_records()
        self._look()
        if self._may_join():
            self._finish_joining()
            self._tick()
        else:
            self.timer = self.loop.call_later(LOOK_S, self._try_to_join)

    def _may_join(self) -> bool:
        since_ns = self.joining_since_ns
        waited = since_ns is not None and self.now_ns() - since_ns >= ROOM_WAIT_NS
        return waited or self.machine.max_descriptors >= max(self.machine.claimed_descriptors, 1)

    def _finish_joining(self) -> None:
        self.joining_since_ns = None
        self.machine.on_serving()
        self._look()
        self.write_records()

    # While it runs

    def _tick(self) -> None:
        # A process that is alone looks at one time of one folder, ten times a second.
        if self.others or self.directory.changed() or not self.machine.heartbeat_written:
            claim = self.machine.claimed_descriptors
            self._look()
            claim_changed = claim != self.machine.claimed_descriptors
            if self.others or claim_changed or not self.machine.heartbeat_written or not self.records_stand:
                self.write_records()
        self.timer = self.loop.call_later(LOOK_S, self._tick)

    def _look(self) -> RestartView:
        """Read what the others show, and follow it."""
        now_ns = self.now_ns()
        records = self.directory.read_all(RecordKind.HEARTBEAT.prefix, RecordKind.MAINTENANCE.prefix)
        orders_stand = self.maintenance.check(records)
        self.records_stand = self.heartbeat_name in records and orders_stand
        heartbeats = _heartbeats(records)
        for name, record in records.items():
            if name not in (self.heartbeat_name, self.maintenance.record_name):
                self.maintenance.merge(record)
        view = self._look_at_processes(now_ns, heartbeats)
        self._apply(view)
        for name in self.others:
            self.lists.adopt(name, records[RecordKind.HEARTBEAT.of_process(name)])
        if now_ns - self.machine.born_ns > CLEANUP_DELAY_NS:
            self._clean_up(heartbeats)
        return view

    def _look_at_processes(self, now_ns: int, heartbeats: Mapping[str, ProcessHeartbeat]) -> RestartView:
        """Tell the decisions who lives and what each process shows."""
        alive = {
            beat.name: self.directory.is_alive(name)
            for name, beat in heartbeats.items()
            if name != self.heartbeat_name
        }
        view = self.machine.look(
            now_ns,
            [beat for beat in heartbeats.values() if alive.get(beat.name) is not False],
            self.sidecar.sockets,
            self.sidecar.needed_descriptors(),
            [name for name, held in alive.items() if held],
        )
        seen = set(self.machine.acknowledged) - {self.machine.name}
        self.others = {beat.name: beat for beat in heartbeats.values() if beat.name in seen}
        return view

    def _apply(self, view: RestartView) -> None:
        """Follow what a look has shown: limits, new connections, and the snapshot for a newer process."""
        if self.joining_since_ns is not None:
            return
        if view.process_count != self.process_count:
            log.info("sidecar has %d processes", view.process_count)
            self.process_count = view.process_count
        self.sidecar.share_capacity(view.process_count, view.max_descriptors)
        self.sidecar.handing_over = view.newer_takes
        self.steering.update(view.leads, self.others.values())
        if view.arrived or self.snapshots.retry_needed:
            self.snapshots.write(self.others.values())

    def _clean_up(self, heartbeats: Mapping[str, ProcessHeartbeat]) -> None:
        """Remove what older processes left, once their orders stand in the record of this one."""
        gone = gone_processes(heartbeats.values(), self.machine.acknowledged, self.machine.born_ns)
        if gone and self.maintenance.write():
            for process in gone:
                remove_records(self.directory, process)

    def write_records(self) -> bool:
        """Write the heartbeat of this process, and record which endpoints are out.

        The heartbeat is written ten times a second while others live, so it is not synced; the record of
        maintenance orders is, and only when it differs. What fails is retried at each look.

        Returns:
            False if either can't be written, or the record may not outlast the machine yet.
        """
        written = self._write_heartbeat()
        return self.maintenance.write() and written

    def keep(self, orders: Mapping[str, MaintenanceOrder], on_kept: OnWritten) -> None:
        """Write the heartbeat and all maintenance orders.

        Args:
            orders: by endpoint name, in place of those that the pools know.
            on_kept: is told whether a newer process will know of all orders.
        """
        written = self._write_heartbeat()
        self.maintenance.keep(orders, lambda kept: on_kept(kept and written))

    def _write_heartbeat(self) -> bool:
        self.directory.lock(self.heartbeat_name)
        heartbeat = self.machine.heartbeat(self.now_ns(), self.steering.listener_index)
        record = heartbeat_record(heartbeat, self.maintenance.orders())
        versions = self.lists.write(needed=bool(self.others))
        clock = self.read_clock().to_record()
        written = self.directory.write(self.heartbeat_name, {**record, "lists": versions, "clock": clock})
        self.machine.wrote_heartbeat(self.now_ns(), written)
        return written

    # The end

    def begin_shutdown(self) -> None:
        """Begin the graceful shutdown."""
        if self.joining_since_ns is not None:
            self._finish_joining()
        self._look()
        self.machine.on_end()
        self.write_records()

    def close(self) -> None:
        """End with the process. Its records stay for the next one, unless a newer one has them already."""
        if self.timer is not None:
            self.timer.cancel()
        if self.sidecar.handing_over and self.maintenance.stand_with_others(self.others):
            remove_records(self.directory, self.machine.name)


def _heartbeats(records: Mapping[str, Record]) -> dict[str, ProcessHeartbeat]:
    """Return the heartbeats among records, by the record's name, which must be that of their process."""
    found = {}
    for name, record in records.items():
        heartbeat = parse_heartbeat(record)
        if heartbeat is not None and name == RecordKind.HEARTBEAT.of_process(heartbeat.name):
            found[name] = heartbeat
    return found
