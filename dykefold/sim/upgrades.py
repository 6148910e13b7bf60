"""Model of the hot restart, to be explored in all orders of polls, starts, deaths, pauses and shutdowns.

Time passes in ticks of `TICK_NS`, in each of which every running process polls the state directory once, in
any order. Between two polls a process may die, be paused, resume or get SIGTERM, or the next one may start.
The model supplies the inputs of the state machine; its decisions are the program's own code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

from ..control.hot_restart_state import (
    LEADING_STATES,
    MAX_CAPACITY_WAIT_NS,
    MAX_HEARTBEAT_AGE_NS,
    SERVING_STATES,
    HotRestartMachine,
    HotRestartState,
    ProcessHeartbeat,
)

TICK_NS = 750_000_000
STALE_TICKS = -(-MAX_HEARTBEAT_AGE_NS // TICK_NS)  # Ticks until a heartbeat is stale.
CAPACITY_WAIT_TICKS = -(-MAX_CAPACITY_WAIT_NS // TICK_NS)  # Ticks for which a process waits for capacity.
SETTLE_TICKS = STALE_TICKS + 4  # After the latest event, until heartbeats are stale and claims handled.
NOW_NS = 100 * TICK_NS
ALL_DESCRIPTORS = 100


class Status(IntEnum):
    """Whether a process runs, is paused (`STOPPED`) or has ended (`GONE`)."""

    NOT_STARTED = 0
    RUNNING = 1
    STOPPED = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The heartbeat of a process, with its age in ticks, at most `STALE_TICKS`."""

    state: HotRestartState
    acknowledged: tuple[str, ...]
    claimed: int
    age_ticks: int


@dataclass(frozen=True, slots=True)
class Process:
    """A process; attributes that are not described are those of `HotRestartMachine`.

    Attributes:
        age_ticks: Age in ticks, at most `CAPACITY_WAIT_TICKS`.
        has_polled: Whether it has polled the state directory in the current tick.
        terminated: Whether it has been sent SIGTERM.
        heartbeat: Latest heartbeat that it has written.
    """

    status: Status = Status.NOT_STARTED
    state: HotRestartState = HotRestartState.STARTING
    acknowledged: tuple[str, ...] = ()
    max_descriptors: int = 0
    claimed: int = 0
    age_ticks: int = 0
    has_polled: bool = False
    terminated: bool = False
    heartbeat: Heartbeat | None = None

    def with_heartbeat(self) -> Process:
        """Return the process after it has written a heartbeat."""
        return replace(self, heartbeat=Heartbeat(self.state, self.acknowledged, self.claimed, 0))

    def after_tick(self) -> Process:
        """Return the process a tick later."""
        heartbeat = self.heartbeat
        if heartbeat is not None:
            heartbeat = replace(heartbeat, age_ticks=min(heartbeat.age_ticks + 1, STALE_TICKS))
        return replace(
            self,
            age_ticks=min(self.age_ticks + 1, CAPACITY_WAIT_TICKS),
            has_polled=False,
            heartbeat=heartbeat,
        )

    @property
    def is_living(self) -> bool:
        """Whether it runs or is paused."""
        return self.status in (Status.RUNNING, Status.STOPPED)

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self.status is Status.RUNNING


@dataclass(frozen=True, slots=True)
class Sidecar:
    """All processes of a sidecar, the oldest first.

    Attributes:
        faults: Number of faults so far.
        quiet_ticks: Ticks since the latest event, at most `SETTLE_TICKS`.
    """

    processes: tuple[Process, ...]
    faults: int
    quiet_ticks: int = 0

    def with_process(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar with another state of a process."""
        processes = (*self.processes[:number], process, *self.processes[number + 1 :])
        return replace(self, processes=processes)

    def after_event(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar after an event that has changed a process."""
        return replace(self.with_process(number, process), quiet_ticks=0)

    def after_fault(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar after a fault that has changed a process."""
        return replace(self.after_event(number, process), faults=self.faults + 1)


Transition = tuple[str, Sidecar]


class Model:
    """The possible transitions, and the properties that must hold in each state.

    Args:
        processes: Maximum number of processes, including the first.
        faults: Maximum number of deaths and pauses.
        needed_descriptors: Number of descriptors that a process cannot release.
        locks: Whether file locks show which processes live.
        stops: Whether processes may be paused.
        kind: Class of the state machine that is checked.
    """

    def __init__(
        self,
        processes: int,
        faults: int,
        needed_descriptors: int,
        locks: bool = True,
        stops: bool = True,
        kind: type[HotRestartMachine] = HotRestartMachine,
    ) -> None:
        self.processes = processes
        self.faults = faults
        self.needed_descriptors = needed_descriptors
        self.locks = locks
        self.stops = stops
        self.kind = kind

    def initial_state(self) -> Sidecar:
        """Return a sidecar whose only process has served for long; alone, it writes no heartbeats."""
        name = _name(0)
        serving = Process(
            Status.RUNNING,
            HotRestartState.LEADING,
            (name,),
            ALL_DESCRIPTORS,
            ALL_DESCRIPTORS,
            CAPACITY_WAIT_TICKS,
            heartbeat=Heartbeat(HotRestartState.LEADING, (name,), ALL_DESCRIPTORS, STALE_TICKS),
        )
        return Sidecar((serving, *[Process()] * (self.processes - 1)), 0, SETTLE_TICKS)

    # Transitions

    def transitions(self, sidecar: Sidecar) -> Iterator[Transition]:
        """Yield each possible next event with the sidecar after it."""
        if all(process.has_polled for process in sidecar.processes if process.is_running):
            yield "a tick passes", _after_tick(sidecar)
        for number, process in enumerate(sidecar.processes):
            if process.status is Status.NOT_STARTED:
                yield f"{_name(number)} starts", _start(sidecar, number)
                return  # Processes start in the order of their numbers.
            yield from self._transitions_of(sidecar, number, process)

    def _transitions_of(self, sidecar: Sidecar, number: int, process: Process) -> Iterator[Transition]:
        """Yield the possible next events of a process that has started."""
        name = _name(number)
        if process.is_running and not process.has_polled:
            yield f"{name} polls", self._poll(sidecar, number)
        if process.is_running and not process.terminated:
            yield f"{name} gets SIGTERM", self._begin_shutdown(sidecar, number)
        if process.is_running and process.terminated:
            yield f"{name} exits", sidecar.after_event(number, replace(process, status=Status.GONE))
        if process.is_living and sidecar.faults < self.faults:
            yield f"{name} dies", sidecar.after_fault(number, replace(process, status=Status.GONE))
        if process.is_running and self.stops and sidecar.faults < self.faults:
            yield f"{name} is paused", sidecar.after_fault(number, replace(process, status=Status.STOPPED))
        if process.status is Status.STOPPED:
            resumed = replace(process, status=Status.RUNNING, has_polled=False)
            yield f"{name} resumes", sidecar.after_event(number, resumed)

    def _machine(self, number: int, process: Process) -> HotRestartMachine:
        """Return the state machine of a process, in the state that the model has."""
        machine = self.kind(_name(number), NOW_NS - process.age_ticks * TICK_NS + number)
        machine.state, machine.acknowledged = process.state, process.acknowledged
        machine.max_descriptors, machine.claimed_descriptors = process.max_descriptors, process.claimed
        return machine

    def _begin_shutdown(self, sidecar: Sidecar, number: int) -> Sidecar:
        machine = self._machine(number, sidecar.processes[number])
        machine.on_shutdown()
        ending = replace(
            sidecar.processes[number],
            state=machine.state,
            max_descriptors=machine.max_descriptors,
            claimed=machine.claimed_descriptors,
            terminated=True,
        )
        return sidecar.after_event(number, ending.with_heartbeat())

    def _poll(self, sidecar: Sidecar, number: int) -> Sidecar:
        """Return the sidecar after a poll of the state directory, as `control/hot_restart.py` does it."""
        process = sidecar.processes[number]
        heartbeats = list(self._heartbeats(sidecar))
        living = [heartbeat.name for heartbeat in heartbeats] if self.locks else []
        machine = self._machine(number, process)
        view = machine.observe(NOW_NS, heartbeats, ALL_DESCRIPTORS, self.needed_descriptors, living)
        starting = machine.state is HotRestartState.STARTING
        if starting and view.may_serve:
            machine.on_serving()
        changed = machine.claimed_descriptors != process.claimed
        process = replace(
            process,
            state=machine.state,
            acknowledged=machine.acknowledged,
            max_descriptors=machine.max_descriptors,
            claimed=machine.claimed_descriptors,
            has_polled=True,
        )
        if starting or changed or view.process_count > 1:
            process = process.with_heartbeat()
        return sidecar.with_process(number, process)

    def _heartbeats(self, sidecar: Sidecar) -> Iterator[ProcessHeartbeat]:
        """Yield the heartbeats that a process reads; with locks, not those of dead processes."""
        for number, process in enumerate(sidecar.processes):
            heartbeat = process.heartbeat
            if heartbeat is None or (self.locks and process.status is Status.GONE):
                continue
            written_ns = NOW_NS - heartbeat.age_ticks * TICK_NS
            born_ns = NOW_NS - process.age_ticks * TICK_NS + number  # Processes are ordered by their numbers.
            yield ProcessHeartbeat(
                _name(number),
                born_ns,
                written_ns,
                heartbeat.state,
                heartbeat.acknowledged,
                heartbeat.claimed,
            )

    # Properties

    def violation(self, sidecar: Sidecar) -> str | None:
        """Return which property a sidecar violates; None if none."""
        checks: tuple[Callable[[Sidecar], str | None], ...] = (
            _check_descriptors,
            _check_shutdowns,
            _check_starts,
            _check_leader,
            _check_leader_descriptors,
        )
        return next((text for check in checks if (text := check(sidecar)) is not None), None)


def _name(number: int) -> str:
    return f"p{number}"


def _start(sidecar: Sidecar, number: int) -> Sidecar:
    name = _name(number)
    heartbeat = Heartbeat(HotRestartState.STARTING, (name,), 0, 0)
    process = Process(Status.RUNNING, HotRestartState.STARTING, (name,), heartbeat=heartbeat)
    return sidecar.after_event(number, process)


def _after_tick(sidecar: Sidecar) -> Sidecar:
    processes = tuple(process.after_tick() for process in sidecar.processes)
    return replace(sidecar, processes=processes, quiet_ticks=min(sidecar.quiet_ticks + 1, SETTLE_TICKS))


def _serving(sidecar: Sidecar) -> list[Process]:
    """Return the living processes that have accepted clients."""
    return [
        process
        for process in sidecar.processes
        if process.is_living and process.state is not HotRestartState.STARTING
    ]


def _able_to_lead(sidecar: Sidecar) -> list[Process]:
    return [
        process for process in sidecar.processes if process.is_running and process.state in SERVING_STATES
    ]


def _check_descriptors(sidecar: Sidecar) -> str | None:
    counts = [process.max_descriptors for process in _serving(sidecar)]
    return (
        f"descriptors: processes have {counts}, allowed in all {ALL_DESCRIPTORS}"
        if sum(counts) > ALL_DESCRIPTORS
        else None
    )


def _check_shutdowns(sidecar: Sidecar) -> str | None:
    shutting_down = HotRestartState.SHUTTING_DOWN
    if any(process.terminated and process.state is not shutting_down for process in sidecar.processes):
        return "a process that got SIGTERM is not in state SHUTTING_DOWN"
    return None


def _check_starts(sidecar: Sidecar) -> str | None:
    starting = HotRestartState.STARTING
    waiting = any(process.is_running and process.state is starting for process in sidecar.processes)
    return (
        "a process stays in state STARTING for ever"
        if waiting and sidecar.quiet_ticks > CAPACITY_WAIT_TICKS + 1
        else None
    )


def _check_leader(sidecar: Sidecar) -> str | None:
    """Check that, once settled, only the newest serving process leads."""
    if sidecar.quiet_ticks < SETTLE_TICKS:
        return None
    candidates = _able_to_lead(sidecar)
    leading = [process for process in candidates if process.state in LEADING_STATES]
    if candidates and not leading:
        return "no process accepts new connections"
    if len(leading) > 1:
        return "more than one process leads"
    if leading and leading[0] is not candidates[-1]:
        return "a process leads that is not the newest"
    return None


def _check_leader_descriptors(sidecar: Sidecar) -> str | None:
    """Check that, once settled, the newest process has all descriptors that the others do not have."""
    if sidecar.quiet_ticks < SETTLE_TICKS:
        return None
    living = [process for process in sidecar.processes if process.is_living]
    leading = [process for process in _able_to_lead(sidecar) if process.state in LEADING_STATES]
    if not leading or living[-1] is not leading[0] or not all(process.is_running for process in living):
        return None
    count = leading[0].max_descriptors
    others = sum(process.max_descriptors for process in _serving(sidecar)[:-1])
    if count != ALL_DESCRIPTORS - others:
        return f"the newest has {count} of {ALL_DESCRIPTORS} descriptors, expected all but {others}"
    return None
