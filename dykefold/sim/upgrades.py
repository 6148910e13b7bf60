"""The hand-over with all its orders: some processes of a sidecar, looks, deaths, stops, ends. To be explored.

Time passes in units of `UNIT_NS`, in each of which every process that runs looks once, in any order. Between
any two looks a process may die, stand still, go on, be told to end, or the next one may start. What the
decision file is told comes from the model; what it decides is its own code.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import IntEnum

from ..control.hot_restart_state import (
    LEADING,
    ROOM_WAIT_NS,
    SERVING,
    STALE_NS,
    HotRestartMachine,
    HotRestartState,
    ProcessHeartbeat,
)

UNIT_NS = 750_000_000
STALE = -(-STALE_NS // UNIT_NS)  # units until a sign is stale
ROOM_WAIT = -(-ROOM_WAIT_NS // UNIT_NS)
CALM = STALE + 4  # units after the last event in which all settles: signs go stale, claims show and are taken
NOW_NS = 100 * UNIT_NS
WHOLE = 100  # descriptors


class Life(IntEnum):
    UNBORN = 0
    RUNS = 1
    STOPPED = 2
    GONE = 3


@dataclass(frozen=True, slots=True)
class Shown:
    """A sign, with its age in units, `STALE` at most."""

    state: HotRestartState
    sees: tuple[str, ...]
    most: int
    age: int


@dataclass(frozen=True, slots=True)
class One:
    """A process. `age` in units, `ROOM_WAIT` at most; the rest as in `HotRestartMachine`."""

    life: Life = Life.UNBORN
    state: HotRestartState = HotRestartState.STARTING
    sees: tuple[str, ...] = ()
    most: int = 0
    claim: int = 0
    age: int = 0
    looked: bool = False
    told: bool = False  # that it is to end
    shown: Shown | None = None


@dataclass(frozen=True, slots=True)
class Sidecar:
    """All of them, by age; `calm` units have passed since the last event."""

    ones: tuple[One, ...]
    faults: int
    calm: int = 0


class Model:
    """What may happen, and what must hold."""

    def __init__(
        self,
        processes: int,
        faults: int,
        held: int,
        locks: bool = True,
        stops: bool = True,
        kind: type[HotRestartMachine] = HotRestartMachine,
    ) -> None:
        """Make a model.

        Args:
            processes: the first one and those that may start later.
            faults: deaths and stops, at most.
            held: descriptors that a process can't do without.
            locks: the system tells who lives.
            stops: whether processes may stand still.
            kind: the decisions that are judged.
        """
        self.processes = processes
        self.faults = faults
        self.held = held
        self.locks = locks
        self.stops = stops
        self.kind = kind

    def first(self) -> Sidecar:
        """One process that has served for long, and has had nobody to show itself to."""
        name = self._name(0)
        shown = Shown(HotRestartState.TAKING, (name,), WHOLE, STALE)
        one = One(Life.RUNS, HotRestartState.TAKING, (name,), WHOLE, WHOLE, ROOM_WAIT, shown=shown)
        return Sidecar((one, *[One()] * (self.processes - 1)), 0, CALM)

    @staticmethod
    def _name(number: int) -> str:
        return f"p{number}"

    def moves(self, at: Sidecar) -> Iterator[tuple[str, Sidecar]]:
        """Everything that may happen next."""
        running = [number for number, one in enumerate(at.ones) if one.life is Life.RUNS]
        if all(at.ones[number].looked for number in running):
            yield "a unit passes", self._pass(at)
        for number, one in enumerate(at.ones):
            name = self._name(number)
            if one.life is Life.UNBORN:
                shown = Shown(HotRestartState.STARTING, (name,), 0, 0)
                born = One(Life.RUNS, HotRestartState.STARTING, (name,), shown=shown)
                yield f"{name} starts", self._event(at, number, born)
                return  # the next one starts only after it
            if one.life is Life.RUNS and not one.looked:
                yield f"{name} looks", self._look(at, number)
            if one.life is Life.RUNS and not one.told:
                handover = self._handover(at, number)
                handover.on_end()
                ending = replace(
                    one,
                    state=handover.state,
                    most=handover.max_descriptors,
                    claim=handover.claimed_descriptors,
                    told=True,
                )
                yield f"{name} is to end", self._event(at, number, self._show(ending))
            if one.life is Life.RUNS and one.told:
                yield f"{name} exits", self._event(at, number, replace(one, life=Life.GONE))
            if one.life in (Life.RUNS, Life.STOPPED) and at.faults < self.faults:
                gone = self._event(at, number, replace(one, life=Life.GONE))
                yield f"{name} dies", replace(gone, faults=at.faults + 1)
            if one.life is Life.RUNS and self.stops and at.faults < self.faults:
                stopped = self._event(at, number, replace(one, life=Life.STOPPED))
                yield f"{name} stops", replace(stopped, faults=at.faults + 1)
            if one.life is Life.STOPPED:
                yield f"{name} goes on", self._event(at, number, replace(one, life=Life.RUNS, looked=False))

    def _handover(self, at: Sidecar, number: int) -> HotRestartMachine:
        one = at.ones[number]
        handover = self.kind(self._name(number), NOW_NS - one.age * UNIT_NS + number)
        handover.state, handover.acknowledged = one.state, one.sees
        handover.max_descriptors, handover.claimed_descriptors = one.most, one.claim
        return handover

    def _event(self, at: Sidecar, number: int, one: One) -> Sidecar:
        return replace(at, ones=(*at.ones[:number], one, *at.ones[number + 1 :]), calm=0)

    @staticmethod
    def _show(one: One) -> One:
        return replace(one, shown=Shown(one.state, one.sees, one.claim, 0))

    def _pass(self, at: Sidecar) -> Sidecar:
        ones = []
        for one in at.ones:
            if one.shown is not None:
                one = replace(one, shown=replace(one.shown, age=min(one.shown.age + 1, STALE)))
            ones.append(replace(one, age=min(one.age + 1, ROOM_WAIT), looked=False))
        return replace(at, ones=tuple(ones), calm=min(at.calm + 1, CALM))

    def _look(self, at: Sidecar, number: int) -> Sidecar:
        """A look, as the edge does it: `control/hot_restart.py`."""
        one = at.ones[number]
        signs, living = [], []
        for other, seen in enumerate(at.ones):
            if seen.shown is None or (self.locks and seen.life is Life.GONE):
                continue
            name, shown = self._name(other), seen.shown
            beat_ns = NOW_NS - shown.age * UNIT_NS
            born_ns = NOW_NS - seen.age * UNIT_NS + other  # the order is that of the numbers
            signs.append(ProcessHeartbeat(name, born_ns, beat_ns, shown.state, shown.sees, shown.most))
            if self.locks:
                living.append(name)
        handover = self._handover(at, number)
        view = handover.look(NOW_NS, signs, WHOLE, self.held, living)
        starting = handover.state is HotRestartState.STARTING
        if starting and view.may_serve:
            handover.on_serving()
        changed = handover.claimed_descriptors != one.claim
        one = replace(
            one,
            state=handover.state,
            sees=handover.acknowledged,
            most=handover.max_descriptors,
            claim=handover.claimed_descriptors,
            looked=True,
        )
        if starting or changed or view.process_count > 1:
            one = self._show(one)
        return replace(at, ones=(*at.ones[:number], one, *at.ones[number + 1 :]))

    # What must hold

    def wrong(self, at: Sidecar) -> str | None:
        """What is wrong with a state; None if nothing is."""
        serving = [one for one in at.ones if one.life in (Life.RUNS, Life.STOPPED)]
        serving = [one for one in serving if one.state is not HotRestartState.STARTING]
        if sum(one.most for one in serving) > WHOLE:
            return f"descriptors: {[one.most for one in serving]} of {WHOLE}"
        if any(one.told and one.state is not HotRestartState.ENDING for one in at.ones):
            return "one that was told to end serves"
        running = [one for one in at.ones if one.life is Life.RUNS]
        able = [one for one in running if one.state in SERVING]
        leading = [one for one in able if one.state in LEADING]
        waiting = [one for one in running if one.state is HotRestartState.STARTING]
        if waiting and at.calm > ROOM_WAIT + 1:
            return "one that starts waits for ever"
        if at.calm >= CALM and able and not leading:
            return "nobody takes what is new"
        if at.calm >= CALM and len(leading) > 1:
            return "two take themselves for the newest"
        if at.calm >= CALM and leading and leading[0] is not able[-1]:
            return "an older one leads"
        living = [one for one in at.ones if one.life in (Life.RUNS, Life.STOPPED)]
        if at.calm >= CALM and leading and living[-1] is leading[0] and len(living) == len(running):
            most, others = leading[0].most, sum(one.most for one in serving[:-1])
            if most != WHOLE - others:
                return f"the newest has {most} of {WHOLE}, others {others}"
        return None
