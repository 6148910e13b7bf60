"""Faults of sidecars: pause, kill, graceful shutdown, hot restart, full disk, maintenance orders."""

from __future__ import annotations

from ..control.admin_operations import AdminOperations
from ..control.admin_requests import Action, AdminRequest
from .fault_world import FaultGroup, FaultHandler
from .kernel import NS_PER_MS, NS_PER_S
from .nodes import Node
from .process import Sidecar
from .schedule import Fault, Kind

TAKE_OVER_NS = 6 * NS_PER_S  # Within this time a newer process must accept clients (DAYS).
TAKE_OVER_CHECK_INTERVAL_NS = 50 * NS_PER_MS  # Time between two checks whether it does.
MIN_RESTART_DELAY_NS = 2 * NS_PER_S  # Minimum time from a graceful shutdown to the restart.
KILLED_OF_TEN = 7
HTTP_OK = 200


class SidecarFaults(FaultGroup):
    """Faults of processes of sidecars."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers that begin the faults of sidecars, by kind."""
        return {
            Kind.PAUSE: self._pause,
            Kind.KILL: self._kill,
            Kind.TERM: self._terminate,
            Kind.HERD: self._kill_many,
            Kind.UPGRADE: self._upgrade,
            Kind.BAN: self._take_out,
            Kind.DISK: self._fill_directory,
        }

    def _process_of(self, fault: Fault) -> Sidecar | None:
        """Return a living process of the sidecar that a fault affects; None if it has none."""
        living = self.world.living(fault.sidecar)
        return living[fault.server % len(living)] if living else None

    def _pause(self, fault: Fault) -> None:
        process = self._process_of(fault)
        if process is not None:
            process.pause(fault.span_ns)

    # Kills and shutdowns

    def _kill(self, fault: Fault) -> None:
        process = self._process_of(fault)
        if process is not None:
            self._kill_and_restart(fault, process)

    def _kill_many(self, fault: Fault) -> None:
        for number, process in enumerate(self.world.sidecars):
            if (number + fault.sidecar) % 10 < KILLED_OF_TEN and process.alive:
                self._kill_and_restart(fault, process)

    def _kill_and_restart(self, fault: Fault, process: Sidecar) -> None:
        process.kill()
        self.schedule_end(fault, self._restart, process, process.incarnation)

    def _terminate(self, fault: Fault) -> None:
        process = self.world.sidecars[fault.sidecar]
        if process.alive and not process.ending:
            process.terminate()
            self.kernel.after(
                MIN_RESTART_DELAY_NS + fault.span_ns, self._restart, process, process.incarnation
            )

    def _restart(self, process: Sidecar, incarnation: int) -> None:
        if process.incarnation == incarnation and not process.alive and not self.world.living(process.number):
            process.start()

    # Hot restarts

    def _upgrade(self, fault: Fault) -> None:
        living = self.world.living(fault.sidecar)
        # While the state directory is full, processes cannot write heartbeats: of three processes that do not
        # know of each other, one would be more than a hot restart allows for.
        max_living = 1 if self.world.state_directories[fault.sidecar].full else 2
        if 0 < len(living) <= max_living:
            newer = self.world.add_process(fault.sidecar)
            self._await_take_over(newer, living, self.kernel.now_ns)

    def _await_take_over(self, newer: Sidecar, older: list[Sidecar], since_ns: int) -> None:
        """Send SIGTERM to the older processes once the newer one accepts clients, as the platform does."""
        if not newer.alive or newer.ending:
            return
        now_ns = self.kernel.now_ns
        if newer.server is not None and newer.server.accepts_clients:
            for process in older:
                if process.alive:
                    process.terminate()
        elif now_ns > since_ns + TAKE_OVER_NS + newer.loop.paused_ns:
            self.world.rules.report(now_ns, "upgrades", f"{newer.process} did not accept clients within 6 s")
        else:
            self.kernel.after(TAKE_OVER_CHECK_INTERVAL_NS, self._await_take_over, newer, older, since_ns)

    def _fill_directory(self, fault: Fault) -> None:
        folder = self.world.state_directories[fault.sidecar]
        folder.full += 1
        self.schedule_end(fault, folder.end_write_failure)

    # Maintenance orders

    def _take_out(self, fault: Fault) -> None:
        process = self._process_of(fault)
        if process is not None and process.server is not None:
            node = self.world.nodes[fault.server]
            self._order(process, node, Action.OUT)
            self.schedule_end(fault, self._put_back, fault, node)

    def _put_back(self, fault: Fault, node: Node) -> None:
        process = self._process_of(fault)
        if process is not None and process.server is not None:
            self._order(process, node, Action.BACK)

    def _order(self, process: Sidecar, node: Node, action: Action) -> None:
        process.loop.wake(self._carry_out, process, process.incarnation, node, action)

    def _carry_out(self, process: Sidecar, incarnation: int, node: Node, action: Action) -> None:
        """Call a process's admin API; once confirmed, the order holds across hot restarts too."""
        if process.incarnation != incarnation or process.server is None or process.ending:
            return
        if process.hot_restart is None:
            return
        operations = AdminOperations(process.server, process.hot_restart)
        response = operations.carry_out(AdminRequest(action, node.name))
        if response.code == HTTP_OK:
            taken_out = action is Action.OUT
            self.kernel.note(f"{process.process} {'takes out' if taken_out else 'puts back'} {node.name}")
            self.world.rules.maintenance_changed(self.kernel.now_ns, process.name, node.name, taken_out)
