"""Decides the hot restart of a sidecar: an older process makes way for a newer one. No I/O.

Each process shows a `ProcessHeartbeat` where the others can read it and looks at theirs every `LOOK_NS`. Two
questions are kept apart. Whether a process is *alive*: it is while it holds its lock, which the kernel
releases however it ends; where there are no locks, while its heartbeat is fresh. What is alive counts against
the limits, also if it stands still, since it keeps its descriptors. Whether a process is *responsive*: its
heartbeat is younger than `STALE_NS`. One that is not (stopped, starved, unable to write) is given no clients:
they go to the newest that is, and come back to it when it responds again.

The rules that this file keeps:
1. The descriptors of live processes never come to more than the sidecar may have: whoever takes more shows
   its claim first, and at its next look takes of it what the claims of the others leave. So of two that grow
   at once each one sees the other's claim before it takes. One that can't show any (a full disk) takes half
   of the whole at most, which leaves the other half to a second one that can't. One that starts serves when
   every older one has shown that it has made way, is gone, or was waited for, however little is left. Memory
   of messages goes in equal parts. Of the descriptors an older process keeps what it uses, since closing a
   client's connection under a request in flight loses it; it never takes more, and the newest has all that is
   left.
2. A process says that it takes clients when it does, and never again once its shutdown has begun.
3. An older process gives its clients away only in a graceful shutdown, and only while a newer one takes them.
4. What is remembered of others is bounded: `MAX_OTHERS` heartbeats, the latest.

States and what leads from one to the next:

    state      | event          | next
    STARTING   | may serve      | TAKING     every older process has made way, or was waited for long enough
    TAKING     | newer starts   | SHARING
    SHARING    | newer takes    | HANDING
    SHARING    | newer is mute  | TAKING     gone, unresponsive, or it ends
    HANDING    | newer starts   | SHARING    the one that took is gone, and another one begins
    HANDING    | newer is mute  | TAKING     it became unresponsive after its yes: its clients come back here
    any        | is to end      | ENDING
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
LOOK_NS = 100 * MS  # between two looks, and between two heartbeats while others live
STALE_NS = 1_500 * MS  # far more than a loop is ever late; less than the shortest graceful shutdown
ROOM_WAIT_NS = 800 * MS  # for an older process to make way: the platform gives 6 s until the yes
UNSEEN_NS = 3 * LOOK_NS  # after which whoever could not write either has shown itself
MAX_OTHERS = 8
MAX_OLDER_FRACTION = 0.75  # of the descriptors, whatever it uses


class HotRestartState(Enum):
    """How far a process is in its hot restart; the values are stored."""

    STARTING = "starting"
    TAKING = "taking"
    SHARING = "sharing"
    HANDING = "handing"
    ENDING = "ending"


class HotRestartEvent(Enum):
    """What leads from one state to the next."""

    MAY_SERVE = "may serve"
    NEWER_STARTS = "newer starts"
    NEWER_TAKES = "newer takes"
    NEWER_MUTE = "newer is mute"
    TO_END = "is to end"


TABLE: dict[tuple[HotRestartState, HotRestartEvent], HotRestartState] = {
    (HotRestartState.STARTING, HotRestartEvent.MAY_SERVE): HotRestartState.TAKING,
    (HotRestartState.TAKING, HotRestartEvent.NEWER_STARTS): HotRestartState.SHARING,
    (HotRestartState.TAKING, HotRestartEvent.NEWER_TAKES): HotRestartState.HANDING,
    (HotRestartState.SHARING, HotRestartEvent.NEWER_TAKES): HotRestartState.HANDING,
    (HotRestartState.SHARING, HotRestartEvent.NEWER_MUTE): HotRestartState.TAKING,
    (HotRestartState.HANDING, HotRestartEvent.NEWER_STARTS): HotRestartState.SHARING,
    (HotRestartState.HANDING, HotRestartEvent.NEWER_MUTE): HotRestartState.TAKING,
    **{(state, HotRestartEvent.TO_END): HotRestartState.ENDING for state in HotRestartState},
}
# States in which new clients should come to a process.
LEADING = frozenset((HotRestartState.TAKING, HotRestartState.SHARING))
# States in which a process takes clients, and says so.
SERVING = frozenset((HotRestartState.TAKING, HotRestartState.SHARING, HotRestartState.HANDING))


@dataclass(frozen=True, slots=True)
class ProcessHeartbeat:
    """What a process shows of itself.

    Attributes:
        name: of the process, unlike any other's.
        born_ns: when it started, monotonic on the machine: the later one is the newer.
        beat_ns: when this was written, monotonic.
        state: of its hot restart.
        acknowledged: live processes that it has made way for, itself among them; it takes one part in so
            many.
        max_descriptors: that it uses at most, or is about to.
        listener_index: of its listener in the group at the clients' address; None while it has none there.
    """

    name: str
    born_ns: int
    beat_ns: int
    state: HotRestartState
    acknowledged: tuple[str, ...]
    max_descriptors: int
    listener_index: int | None = None

    @property
    def age_order(self) -> tuple[int, str]:
        """What sorts processes from the oldest to the newest."""
        return self.born_ns, self.name


@dataclass(frozen=True, slots=True)
class RestartView:
    """What a look has shown.

    Attributes:
        parts: live processes, this one among them: it may take one part in so many of the messages' memory.
        max_descriptors: that it may use.
        newer_takes: whether clients are better off with a newer process.
        leads: whether new clients should come to this one.
        arrived: whether an older or newer process has come into view since the last look.
        may_serve: whether this one may begin to take clients.
    """

    process_count: int
    max_descriptors: int
    newer_takes: bool
    leads: bool
    arrived: bool
    may_serve: bool


def is_responsive(heartbeat: ProcessHeartbeat, now_ns: int) -> bool:
    """Whether a process has shown itself of late; a time to come is of another boot of the machine."""
    return 0 <= now_ns - heartbeat.beat_ns < STALE_NS


class HotRestartMachine:
    """One process's side of a hot restart.

    Args:
        name: of the process, unlike any other's.
        born_ns: when it started, monotonic on the machine.
    """

    def __init__(self, name: str, born_ns: int) -> None:
        """Begin as a process that starts."""
        self.name = name
        self.born_ns = born_ns
        self.state = HotRestartState.STARTING
        self.acknowledged: tuple[str, ...] = (name,)
        self.max_descriptors = 0  # descriptors that it may use
        self.claimed_descriptors = 0  # ... and that its heartbeat shows
        self.heartbeat_written = True
        self.write_failed_ns: int | None = None  # when its heartbeat last could not be written

    def heartbeat(self, now_ns: int, listener_index: int | None = None) -> ProcessHeartbeat:
        """Return what to show now; `listener_index` as in `ProcessHeartbeat`."""
        return ProcessHeartbeat(
            self.name,
            self.born_ns,
            now_ns,
            self.state,
            self.acknowledged,
            self.claimed_descriptors,
            listener_index,
        )

    def look(
        self,
        now_ns: int,
        heartbeats: Iterable[ProcessHeartbeat],
        whole: int,
        held: int,
        living: Collection[str] = (),
    ) -> RestartView:
        """Take what the others show.

        Args:
            now_ns: monotonic.
            heartbeats: of all but those that are known to be gone.
            whole: descriptors that the sidecar may use.
            held: of these, what this process can't do without just now.
            living: names of processes that are known to be alive, responsive or not.

        Returns:
            What follows for this process.
        """
        heartbeats = sorted(heartbeats, key=lambda beat: beat.age_order)[-MAX_OTHERS:]
        own_order = (self.born_ns, self.name)
        # One that was alone until now has not had to show that it is alive.
        older = [beat for beat in heartbeats if beat.age_order < own_order]
        others = [
            beat
            for beat in heartbeats
            if beat.name != self.name and (beat.name in living or is_responsive(beat, now_ns))
        ]
        newer = [beat for beat in others if beat.age_order > own_order]
        before, self.acknowledged = self.acknowledged, (self.name, *(beat.name for beat in others))
        newer_takes = self._follow(newer, now_ns)
        free = max(whole - sum(beat.max_descriptors for beat in others), 0)
        if newer:
            self._shrink(whole, held, newer_takes)
        elif self.state is not HotRestartState.ENDING:
            self._grow(now_ns, whole, free)
        made_way = all(self.name in beat.acknowledged for beat in older)
        return RestartView(
            process_count=len(self.acknowledged),
            max_descriptors=self.max_descriptors,
            newer_takes=newer_takes,
            leads=self.state in LEADING,
            arrived=any(name not in before for name in self.acknowledged),
            may_serve=(made_way and self.max_descriptors >= free) or now_ns - self.born_ns >= ROOM_WAIT_NS,
        )

    def _follow(self, newer: Iterable[ProcessHeartbeat], now_ns: int) -> bool:
        """Change state as newer processes do; returns whether one of them takes clients."""
        states = {beat.state for beat in newer if is_responsive(beat, now_ns)}
        newer_takes = not states.isdisjoint(SERVING)
        if newer_takes:
            self._go(HotRestartEvent.NEWER_TAKES)
        elif HotRestartState.STARTING in states:
            self._go(HotRestartEvent.NEWER_STARTS)
        else:  # none that is responsive will take clients
            self._go(HotRestartEvent.NEWER_MUTE)
        return newer_takes

    def _shrink(self, whole: int, held: int, newer_takes: bool) -> None:
        """Make way for a newer process."""
        self.max_descriptors = min(
            self.max_descriptors, max(held, whole // 2), int(MAX_OLDER_FRACTION * whole)
        )
        if newer_takes:
            self.max_descriptors = min(self.max_descriptors, held)
        self.claimed_descriptors = self.max_descriptors

    def _grow(self, now_ns: int, whole: int, free: int) -> None:
        """Take what was claimed and is still free, and claim all that is free."""
        unseen = self.write_failed_ns is not None and now_ns - self.write_failed_ns < UNSEEN_NS
        claimed = min(self.claimed_descriptors, whole // 2) if unseen else self.claimed_descriptors
        self.max_descriptors = min(max(self.max_descriptors, claimed), free)
        self.claimed_descriptors = free

    def wrote_heartbeat(self, now_ns: int, written: bool) -> None:
        """Take whether its heartbeat could be written just now."""
        self.heartbeat_written = written
        if not written:
            self.write_failed_ns = now_ns

    def hold(self, max_descriptors: int) -> None:
        """Begin with descriptors in use: this process has served before it could show itself."""
        self.max_descriptors = self.claimed_descriptors = max_descriptors

    def on_serving(self) -> None:
        """Take clients from now on."""
        self._go(HotRestartEvent.MAY_SERVE)

    def on_end(self) -> None:
        """Begin the graceful shutdown. One that has not served yet never will, and claims nothing."""
        if self.state is HotRestartState.STARTING:
            self.max_descriptors = self.claimed_descriptors = 0
        self._go(HotRestartEvent.TO_END)

    def _go(self, event: HotRestartEvent) -> None:
        self.state = TABLE.get((self.state, event), self.state)
