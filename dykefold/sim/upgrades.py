"""A model of the hot restart, to be explored: all orders of looks, starts, deaths, stops and ends.

Time passes in units of `UNIT_NS`, in each of which every process that runs looks at the state directory once,
in any order. Between any two looks a process may die, stand still, go on, be told to end, or the next one may
start. What the state machine is told comes from the model; what it decides is its own code.
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

UNIT_NS = 750_000_000
STALE = -(-MAX_HEARTBEAT_AGE_NS // UNIT_NS)  # Units until a heartbeat is stale.
CAPACITY_WAIT = -(-MAX_CAPACITY_WAIT_NS // UNIT_NS)  # Units for which a process waits for capacity.
SETTLE = STALE + 4  # Units after the latest event until heartbeats are stale and claims are handled.
NOW_NS = 100 * UNIT_NS
ALL_DESCRIPTORS = 100


class Status(IntEnum):
    """Whether a process runs."""

    NOT_STARTED = 0
    RUNNING = 1
    STOPPED = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The heartbeat of a process, with its age in units, `STALE` at most."""

    state: HotRestartState
    acknowledged: tuple[str, ...]
    claimed: int
    age: int


@dataclass(frozen=True, slots=True)
class Process:
    """A process; the attributes that are not described are those of `HotRestartMachine`.

    Attributes:
        age: Age in units, at most `CAPACITY_WAIT`.
        looked: Whether it has read the records in the present unit.
        terminated: Whether it has been sent SIGTERM.
        heartbeat: Latest heartbeat that it has written.
    """

    status: Status = Status.NOT_STARTED
    state: HotRestartState = HotRestartState.STARTING
    acknowledged: tuple[str, ...] = ()
    max_descriptors: int = 0
    claimed: int = 0
    age: int = 0
    looked: bool = False
    terminated: bool = False
    heartbeat: Heartbeat | None = None

    def with_heartbeat(self) -> Process:
        """Return the process when it has written a heartbeat."""
        return replace(self, heartbeat=Heartbeat(self.state, self.acknowledged, self.claimed, 0))

    def a_unit_later(self) -> Process:
        """Return the process a unit later."""
        heartbeat = self.heartbeat
        if heartbeat is not None:
            heartbeat = replace(heartbeat, age=min(heartbeat.age + 1, STALE))
        return replace(self, age=min(self.age + 1, CAPACITY_WAIT), looked=False, heartbeat=heartbeat)

    @property
    def is_living(self) -> bool:
        """Whether it runs, or stands still."""
        return self.status in (Status.RUNNING, Status.STOPPED)

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self.status is Status.RUNNING


@dataclass(frozen=True, slots=True)
class Sidecar:
    """All processes, by age.

    Attributes:
        faults: Number of faults so far.
        quiet: Units since the latest event, at most `SETTLE`.
    """

    processes: tuple[Process, ...]
    faults: int
    quiet: int = 0

    def with_process(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar with another state of a process."""
        processes = (*self.processes[:number], process, *self.processes[number + 1 :])
        return replace(self, processes=processes)

    def after_event(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar after an event that has changed a process."""
        return replace(self.with_process(number, process), quiet=0)

    def after_fault(self, number: int, process: Process) -> Sidecar:
        """Return the sidecar after a fault that has changed a process."""
        return replace(self.after_event(number, process), faults=self.faults + 1)


Transition = tuple[str, Sidecar]


class Model:
    """What may happen, and what must hold.

    Args:
        processes: Maximum number of processes, the first included.
        faults: Maximum number of deaths and pauses.
        needed_descriptors: Number of descriptors that a process cannot release.
        locks: Whether locks of the system show which processes live.
        stops: Whether processes may be paused.
        kind: Class of the decisions that are checked.
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
        """Return one process that has served for long, and has had nobody to write a heartbeat for."""
        name = _name(0)
        serving = Process(
            Status.RUNNING,
            HotRestartState.LEADING,
            (name,),
            ALL_DESCRIPTORS,
            ALL_DESCRIPTORS,
            CAPACITY_WAIT,
            heartbeat=Heartbeat(HotRestartState.LEADING, (name,), ALL_DESCRIPTORS, STALE),
        )
        return Sidecar((serving, *[Process()] * (self.processes - 1)), 0, SETTLE)

    # What may happen

    def transitions(self, sidecar: Sidecar) -> Iterator[Transition]:
        """Yield everything that may happen next."""
        if all(process.looked for process in sidecar.processes if process.is_running):
            yield "a unit passes", _a_unit_later(sidecar)
        for number, process in enumerate(sidecar.processes):
            if process.status is Status.NOT_STARTED:
                yield f"{_name(number)} starts", _start(sidecar, number)
                return  # the next one starts only after it
            yield from self._transitions_of(sidecar, number, process)

    def _transitions_of(self, sidecar: Sidecar, number: int, process: Process) -> Iterator[Transition]:
        """Yield what a process that has started may do, or what may happen to it."""
        name = _name(number)
        if process.is_running and not process.looked:
            yield f"{name} looks", self._look(sidecar, number)
        if process.is_running and not process.terminated:
            yield f"{name} is to end", self._tell_to_end(sidecar, number)
        if process.is_running and process.terminated:
            yield f"{name} exits", sidecar.after_event(number, replace(process, status=Status.GONE))
        if process.is_living and sidecar.faults < self.faults:
            yield f"{name} dies", sidecar.after_fault(number, replace(process, status=Status.GONE))
        if process.is_running and self.stops and sidecar.faults < self.faults:
            yield f"{name} stops", sidecar.after_fault(number, replace(process, status=Status.STOPPED))
        if process.status is Status.STOPPED:
            awake = replace(process, status=Status.RUNNING, looked=False)
            yield f"{name} goes on", sidecar.after_event(number, awake)

    def _machine(self, number: int, process: Process) -> HotRestartMachine:
        """Return the state machine of a process, in the state of the model."""
        machine = self.kind(_name(number), NOW_NS - process.age * UNIT_NS + number)
        machine.state, machine.acknowledged = process.state, process.acknowledged
        machine.max_descriptors, machine.claimed_descriptors = process.max_descriptors, process.claimed
        return machine

    def _tell_to_end(self, sidecar: Sidecar, number: int) -> Sidecar:
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

    def _look(self, sidecar: Sidecar, number: int) -> Sidecar:
        """Return the sidecar after a look at the state directory, as `control/hot_restart.py` does it."""
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
            looked=True,
        )
        if starting or changed or view.process_count > 1:
            process = process.with_heartbeat()
        return sidecar.with_process(number, process)

    def _heartbeats(self, sidecar: Sidecar) -> Iterator[ProcessHeartbeat]:
        """Yield the heartbeats that a process finds; with locks those of the dead are left out."""
        for number, process in enumerate(sidecar.processes):
            heartbeat = process.heartbeat
            if heartbeat is None or (self.locks and process.status is Status.GONE):
                continue
            written_ns = NOW_NS - heartbeat.age * UNIT_NS
            born_ns = NOW_NS - process.age * UNIT_NS + number  # the order is that of the numbers
            yield ProcessHeartbeat(
                _name(number),
                born_ns,
                written_ns,
                heartbeat.state,
                heartbeat.acknowledged,
                heartbeat.claimed,
            )

    # What must hold

    def violation(self, sidecar: Sidecar) -> str | None:
        """Return what is wrong with a state; None if nothing is."""
        checks: tuple[Callable[[Sidecar], str | None], ...] = (
            _check_descriptors,
            _check_ends,
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


def _a_unit_later(sidecar: Sidecar) -> Sidecar:
    processes = tuple(process.a_unit_later() for process in sidecar.processes)
    return replace(sidecar, processes=processes, quiet=min(sidecar.quiet + 1, SETTLE))


def _serving(sidecar: Sidecar) -> list[Process]:
    """Return those that live and take clients or have taken some."""
    return [
        process
        for process in sidecar.processes
        if process.is_living and process.state is not HotRestartState.STARTING
    ]


def _able_to_serve(sidecar: Sidecar) -> list[Process]:
    return [
        process for process in sidecar.processes if process.is_running and process.state in SERVING_STATES
    ]


def _check_descriptors(sidecar: Sidecar) -> str | None:
    counts = [process.max_descriptors for process in _serving(sidecar)]
    return f"descriptors: {counts} of {ALL_DESCRIPTORS}" if sum(counts) > ALL_DESCRIPTORS else None


def _check_ends(sidecar: Sidecar) -> str | None:
    shutting_down = HotRestartState.SHUTTING_DOWN
    if any(process.terminated and process.state is not shutting_down for process in sidecar.processes):
        return "one that was told to end serves"
    return None


def _check_starts(sidecar: Sidecar) -> str | None:
    starting = HotRestartState.STARTING
    waiting = any(process.is_running and process.state is starting for process in sidecar.processes)
    return "one that starts waits for ever" if waiting and sidecar.quiet > CAPACITY_WAIT + 1 else None


def _check_leader(sidecar: Sidecar) -> str | None:
    """Once all has settled the newest of those that serve leads, and no other."""
    if sidecar.quiet < SETTLE:
        return None
    able = _able_to_serve(sidecar)
    leading = [process for process in able if process.state in LEADING_STATES]
    if able and not leading:
        return "nobody takes what is new"
    if len(leading) > 1:
        return "two take themselves for the newest"
    if leading and leading[0] is not able[-1]:
        return "an older one leads"
    return None


def _check_leader_descriptors(sidecar: Sidecar) -> str | None:
    """Once all has settled the newest has all descriptors that the others do not hold."""
    if sidecar.quiet < SETTLE:
        return None
    living = [process for process in sidecar.processes if process.is_living]
    leading = [process for process in _able_to_serve(sidecar) if process.state in LEADING_STATES]
    if not leading or living[-1] is not leading[0] or not all(process.is_running for process in living):
        return None
    count = leading[0].max_descriptors
    others = sum(process.max_descriptors for process in _serving(sidecar)[:-1])
    if count != ALL_DESCRIPTORS - others:
        return f"the newest has {count} of {ALL_DESCRIPTORS}, others {others}"
    return None
