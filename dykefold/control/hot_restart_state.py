"""Two processes, one sidecar: the hand-over from an older one to a newer one. No I/O.

Each process shows a `ProcessHeartbeat` where the others can read it and looks at theirs every `LOOK_NS`. Two
questions are kept apart. Whether a process *lives*: it does while it holds its lock, which the kernel takes
from it however it ends; where there are no locks, while its sign is fresh. What lives counts against the
limits, also if it stands still, since it holds what it held. Whether a process *speaks*: its sign is younger
than `STALE_NS`. One that does not speak (stopped, starved, unable to write) is given no clients: they go to the
newest that does, and come back to it when it speaks again.

The rules that this file keeps:
1. What live processes may take never comes to more than the whole: whoever takes more shows its claim first,
   and at its next look takes of it what the claims of the others leave. So of two that grow at once each one
   sees the other's claim before it takes. One that can't show any (a full disk) takes half of the whole at
   most, which leaves the other half to a second one that can't. One that starts serves when every older one
   has shown that it has made room, is gone, or was waited for, however little is left. Memory of messages
   goes in equal parts. Of the descriptors an older process keeps what it holds, since closing a client's
   connection under a request that is on its way loses it; it never takes more again, and the newest has all
   that is left.
2. A process says that it takes clients when it does, and never again once it has begun to end.
3. An older process gives its clients away only in a planned end, and only while a newer one takes them.
4. What is remembered of others is bounded: `OTHERS_MOST` signs, the latest.

States and what leads from one to the next:

    state      | event          | next
    STARTING   | may serve      | TAKING     every older process has made room, or was waited for long enough
    TAKING     | newer starts   | SHARING
    SHARING    | newer takes    | HANDING
    SHARING    | newer is mute  | TAKING     gone, silent, or it ends
    HANDING    | newer starts   | SHARING    the one that took is gone, and another one begins
    HANDING    | newer is mute  | TAKING     it fell silent after its yes: its clients come back here
    any        | is to end      | ENDING
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

MS = 1_000_000
LOOK_NS = 100 * MS  # between two looks, and between two signs while others live
STALE_NS = 1_500 * MS  # far more than a loop is ever late; less than the shortest planned end
ROOM_WAIT_NS = 800 * MS  # for an older process to make room: the platform gives 6 s until the yes
HIDDEN_NS = 3 * LOOK_NS  # after which whoever could not write either has shown itself
OTHERS_MOST = 8
OLDER_MOST = 0.75  # of the descriptors, whatever it holds


class HotRestartState(Enum):
    STARTING = "starting"
    TAKING = "taking"
    SHARING = "sharing"
    HANDING = "handing"
    ENDING = "ending"


class HotRestartEvent(Enum):
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
LEADING = frozenset((HotRestartState.TAKING, HotRestartState.SHARING))
SERVING = frozenset(
    (HotRestartState.TAKING, HotRestartState.SHARING, HotRestartState.HANDING)
)  # and so it says


@dataclass(frozen=True, slots=True)
class ProcessHeartbeat:
    """What a process shows of itself.

    Attributes:
        name: of the process, unlike any other's.
        born_ns: when it started, monotonic on the machine: the later one is the newer.
        beat_ns: when this was written.
        state: of its hand-over.
        sees: live processes that it has made room for, itself among them; it takes one part in so many.
        most: descriptors that it holds at most, or is about to take.
        place: of its listener in the group at the clients' address; None while it has none there.
    """

    name: str
    born_ns: int
    beat_ns: int
    state: HotRestartState
    sees: tuple[str, ...]
    most: int
    place: int | None = None


@dataclass(frozen=True, slots=True)
class RestartView:
    """What a look has shown.

    Attributes:
        parts: live processes, this one among them: it may take one part in so many of the messages' memory.
        most: descriptors that it may hold.
        newer_takes: whether clients are better off with a newer process.
        leads: whether new clients should come to this one.
        arrived: whether an older or newer process has come into view since the last look.
        may_serve: whether this one may begin to take clients.
    """

    parts: int
    most: int
    newer_takes: bool
    leads: bool
    arrived: bool
    may_serve: bool


def speaks(sign: ProcessHeartbeat, now_ns: int) -> bool:
    """Whether a process has shown itself of late; a time to come is of another boot of the machine."""
    return 0 <= now_ns - sign.beat_ns < STALE_NS


class HotRestartMachine:
    """One process's side of it."""

    def __init__(self, name: str, born_ns: int) -> None:
        self.name = name
        self.born_ns = born_ns
        self.state = HotRestartState.STARTING
        self.sees: tuple[str, ...] = (name,)
        self.most = 0  # descriptors that it may hold
        self.claim = 0  # ... and that its sign says
        self.shown = True  # that sign could be written ...
        self.hidden_ns: int | None = None  # ... and when it last could not

    def sign(self, now_ns: int, place: int | None = None) -> ProcessHeartbeat:
        """What to show now; `place` as in `ProcessHeartbeat`."""
        return ProcessHeartbeat(self.name, self.born_ns, now_ns, self.state, self.sees, self.claim, place)

    def look(
        self,
        now_ns: int,
        signs: Iterable[ProcessHeartbeat],
        whole: int,
        held: int,
        living: Collection[str] = (),
    ) -> RestartView:
        """Take what the others show.

        Args:
            signs: of all but those that are known to be gone.
            whole: descriptors that the sidecar may hold.
            held: of these, what this process can't do without just now.
            living: names of processes that are known to live, whether they speak or not.
        """
        signs = sorted(signs, key=lambda sign: (sign.born_ns, sign.name))[-OTHERS_MOST:]
        mine = (self.born_ns, self.name)
        # One that was alone until now has not had to show that it lives.
        older = [sign for sign in signs if (sign.born_ns, sign.name) < mine]
        others = [
            sign for sign in signs if sign.name != self.name and (sign.name in living or speaks(sign, now_ns))
        ]
        newer = [sign for sign in others if (sign.born_ns, sign.name) > mine]
        before, self.sees = self.sees, (self.name, *(sign.name for sign in others))
        heard = {sign.state for sign in newer if speaks(sign, now_ns)}
        newer_takes = not heard.isdisjoint(SERVING)
        if newer_takes:
            self._go(HotRestartEvent.NEWER_TAKES)
        elif HotRestartState.STARTING in heard:
            self._go(HotRestartEvent.NEWER_STARTS)
        else:  # none that is heard will take clients
            self._go(HotRestartEvent.NEWER_MUTE)
        room = max(whole - sum(sign.most for sign in others), 0)
        if newer:
            self.most = min(self.most, max(held, whole // 2), int(OLDER_MOST * whole))
            if newer_takes:
                self.most = min(self.most, held)
            self.claim = self.most
        elif self.state is not HotRestartState.ENDING:
            hidden = self.hidden_ns is not None and now_ns - self.hidden_ns < HIDDEN_NS
            self.most = min(max(self.most, min(self.claim, whole // 2) if hidden else self.claim), room)
            self.claim = room
        made_room = all(self.name in sign.sees for sign in older)
        return RestartView(
            parts=len(self.sees),
            most=self.most,
            newer_takes=newer_takes,
            leads=self.state in LEADING,
            arrived=any(name not in before for name in self.sees),
            may_serve=(made_room and self.most >= room) or now_ns - self.born_ns >= ROOM_WAIT_NS,
        )

    def showed(self, now_ns: int, written: bool) -> None:
        """Whether its sign could be written just now."""
        self.shown = written
        if not written:
            self.hidden_ns = now_ns

    def serves(self) -> None:
        """It takes clients from now on."""
        self._go(HotRestartEvent.MAY_SERVE)

    def ends(self) -> None:
        """Its planned end has begun. One that has not served yet never will, and claims nothing."""
        if self.state is HotRestartState.STARTING:
            self.most = self.claim = 0
        self._go(HotRestartEvent.TO_END)

    def _go(self, event: HotRestartEvent) -> None:
        self.state = TABLE.get((self.state, event), self.state)
