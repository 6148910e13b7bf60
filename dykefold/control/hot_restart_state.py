"""Decides the hot restart of a sidecar: an older process hands over to a newer one. No I/O.

Each process writes a `ProcessHeartbeat` that the others can read, and reads theirs every
`OBSERVATION_INTERVAL_NS`. A process is *alive* while it holds its lock, which the kernel releases when the
process ends for any reason; without locks, it is alive while its heartbeat is fresh. A live process counts
against the limits even while it is stopped, since it keeps its descriptors. A process is *responsive* while
its heartbeat is younger than `MAX_HEARTBEAT_AGE_NS`. An unresponsive process (stopped, starved, unable to
write) gets no clients: they move to the newest responsive one, and return once the other responds again.

Rules:
1. The descriptors of live processes never exceed those of the sidecar. A process that needs more first
   writes its claim, and at its next observation uses what the claims of the others leave of it. So of two
   processes that grow at once, each sees the claim of the other before it uses its own. A process that can't
   write a claim (a full disk) uses at most half of all descriptors; the other half is left to a second such
   process. A process that starts accepts clients as soon as every older process has acknowledged it or is
   dead, or the wait for it is over, however few descriptors are left. Memory of messages is shared equally.
   An older process keeps the descriptors in use, since closing a client's connection would lose its request
   in flight. It never claims more, and the newest process gets all that remain.
2. The heartbeat of a process says that it accepts clients while it does, and never after its shutdown began.
3. An older process moves its clients only in a graceful shutdown, and only while a newer one accepts clients.
4. The number of remembered processes is bounded: the `MAX_OTHER_HEARTBEATS` newest.

States and transitions:

    state        | event                 | next
    STARTING     | may serve             | LEADING    every older process acknowledged it, or the wait is over
    LEADING      | newer starts          | SHARING
    SHARING      | newer serves          | HANDING_OVER
    SHARING      | newer is unresponsive | LEADING    the newer one is dead, unresponsive, or in its shutdown
    HANDING_OVER | newer starts          | SHARING    the newer one is dead, and another one starts
    HANDING_OVER | newer is unresponsive | LEADING    the newer one is unresponsive, so clients return here
    any          | shutdown              | SHUTTING_DOWN
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

NS_PER_MS = 1_000_000
OBSERVATION_INTERVAL_NS = 100 * NS_PER_MS
# Far longer than any delay of the event loop, and shorter than the shortest graceful shutdown.
MAX_HEARTBEAT_AGE_NS = 1_500 * NS_PER_MS
# The wait for older processes to release capacity. The platform allows 6 s until a process must serve.
MAX_CAPACITY_WAIT_NS = 800 * NS_PER_MS
# After a failed write others may not know this process yet, and it may not know others that failed to write.
UNSEEN_AFTER_FAILURE_NS = 3 * OBSERVATION_INTERVAL_NS
MAX_OTHER_HEARTBEATS = 8
# An older process never keeps more than this fraction of all descriptors, whatever it uses.
MAX_OLDER_DESCRIPTORS_FRACTION = 0.75


class HotRestartState(Enum):
    """Progress of a process in its hot restart; the values are stored in heartbeats."""

    STARTING = "starting"
    LEADING = "taking"
    SHARING = "sharing"
    HANDING_OVER = "handing"
    SHUTTING_DOWN = "ending"


class HotRestartEvent(Enum):
    """Events that change the state of a process; `NEWER` is a process that started later."""

    MAY_SERVE = "may serve"
    NEWER_STARTS = "newer starts"
    NEWER_SERVES = "newer serves"
    NEWER_UNRESPONSIVE = "newer is unresponsive"
    SHUTDOWN = "shutdown"


TRANSITIONS: dict[tuple[HotRestartState, HotRestartEvent], HotRestartState] = {
    (HotRestartState.STARTING, HotRestartEvent.MAY_SERVE): HotRestartState.LEADING,
    (HotRestartState.LEADING, HotRestartEvent.NEWER_STARTS): HotRestartState.SHARING,
    (HotRestartState.LEADING, HotRestartEvent.NEWER_SERVES): HotRestartState.HANDING_OVER,
    (HotRestartState.SHARING, HotRestartEvent.NEWER_SERVES): HotRestartState.HANDING_OVER,
    (HotRestartState.SHARING, HotRestartEvent.NEWER_UNRESPONSIVE): HotRestartState.LEADING,
    (HotRestartState.HANDING_OVER, HotRestartEvent.NEWER_STARTS): HotRestartState.SHARING,
    (HotRestartState.HANDING_OVER, HotRestartEvent.NEWER_UNRESPONSIVE): HotRestartState.LEADING,
    **{(state, HotRestartEvent.SHUTDOWN): HotRestartState.SHUTTING_DOWN for state in HotRestartState},
}
# States in which a process should get new clients.
LEADING_STATES = frozenset((HotRestartState.LEADING, HotRestartState.SHARING))
# States in which a process accepts clients, and shows it in its heartbeat.
SERVING_STATES = frozenset((HotRestartState.LEADING, HotRestartState.SHARING, HotRestartState.HANDING_OVER))


@dataclass(frozen=True, slots=True)
class ProcessHeartbeat:
    """State of a process as the other processes of its sidecar read it.

    Attributes:
        name: Unique name of the process.
        started_ns: Start of the process on the machine's monotonic clock, by which the newest is found.
        written_ns: Time of writing on the monotonic clock.
        state: State of the process in its hot restart.
        acknowledged: Names of the live processes that the process has released capacity to, and its own name.
        max_descriptors: Number of descriptors that the process uses at most, now or soon.
        listener_index: Index of the listener in the reuseport group; None without a listener there.
    """

    name: str
    started_ns: int
    written_ns: int
    state: HotRestartState
    acknowledged: tuple[str, ...]
    max_descriptors: int
    listener_index: int | None = None

    @property
    def age_order(self) -> tuple[int, str]:
        """Sort key from the oldest process to the newest."""
        return self.started_ns, self.name


@dataclass(frozen=True, slots=True)
class RestartObservation:
    """Consequences for a process of the heartbeats that it has read.

    Attributes:
        process_count: Number of live processes with this one, which share the memory of messages equally.
        max_descriptors: Number of descriptors that this process may use.
        newer_serves: Whether clients should move to a newer process.
        leads: Whether new clients should come to this process.
        arrived: Whether another process has appeared since the last observation.
        may_serve: Whether this process may begin to accept clients.
    """

    process_count: int
    max_descriptors: int
    newer_serves: bool
    leads: bool
    arrived: bool
    may_serve: bool


def is_responsive(heartbeat: ProcessHeartbeat, now_ns: int) -> bool:
    """Whether a heartbeat is fresh; one from the future was written before the machine's last boot."""
    return 0 <= now_ns - heartbeat.written_ns < MAX_HEARTBEAT_AGE_NS


class HotRestartMachine:
    """State machine of one process in a hot restart.

    Args:
        name: Unique name of the process.
        started_ns: Start of the process on the machine's monotonic clock.
    """

    def __init__(self, name: str, started_ns: int) -> None:
        self.name = name
        self.started_ns = started_ns
        self.state = HotRestartState.STARTING
        self.acknowledged: tuple[str, ...] = (name,)
        self.max_descriptors = 0
        self.claimed_descriptors = 0  # as written in the heartbeat
        self.heartbeat_written = True
        self.write_failed_ns: int | None = None  # time of the last failed write of the heartbeat

    def heartbeat(self, now_ns: int, listener_index: int | None = None) -> ProcessHeartbeat:
        """Return the heartbeat to write now; `listener_index` as in `ProcessHeartbeat`."""
        return ProcessHeartbeat(
            self.name,
            self.started_ns,
            now_ns,
            self.state,
            self.acknowledged,
            self.claimed_descriptors,
            listener_index,
        )

    def observe(
        self,
        now_ns: int,
        heartbeats: Iterable[ProcessHeartbeat],
        total_descriptors: int,
        needed_descriptors: int,
        alive: Collection[str] = (),
    ) -> RestartObservation:
        """Update state and limits from the heartbeats of the other processes.

        Args:
            now_ns: Present time on the monotonic clock.
            heartbeats: Heartbeats of all processes that are not known to be dead.
            total_descriptors: Number of descriptors that all processes of the sidecar may use together.
            needed_descriptors: Number of descriptors that this process can't release now.
            alive: Names of processes that are known to be alive, responsive or not.

        Returns:
            The consequences for this process.
        """
        heartbeats = sorted(heartbeats, key=lambda heartbeat: heartbeat.age_order)[-MAX_OTHER_HEARTBEATS:]
        own_order = (self.started_ns, self.name)
        # A lone process writes no periodic heartbeat, so a stale heartbeat of an older process counts here.
        older = [heartbeat for heartbeat in heartbeats if heartbeat.age_order < own_order]
        others = [
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.name != self.name and (heartbeat.name in alive or is_responsive(heartbeat, now_ns))
        ]
        newer = [heartbeat for heartbeat in others if heartbeat.age_order > own_order]
        before = self.acknowledged
        self.acknowledged = (self.name, *(heartbeat.name for heartbeat in others))
        newer_serves = self._update_state(newer, now_ns)
        free = max(total_descriptors - sum(heartbeat.max_descriptors for heartbeat in others), 0)
        if newer:
            self._shrink(total_descriptors, needed_descriptors, newer_serves)
        elif self.state is not HotRestartState.SHUTTING_DOWN:
            self._grow(now_ns, total_descriptors, free)
        acknowledged_by_older = all(self.name in heartbeat.acknowledged for heartbeat in older)
        waited = now_ns - self.started_ns >= MAX_CAPACITY_WAIT_NS
        return RestartObservation(
            process_count=len(self.acknowledged),
            max_descriptors=self.max_descriptors,
            newer_serves=newer_serves,
            leads=self.state in LEADING_STATES,
            arrived=any(name not in before for name in self.acknowledged),
            may_serve=(acknowledged_by_older and self.max_descriptors >= free) or waited,
        )

    def _update_state(self, newer: Iterable[ProcessHeartbeat], now_ns: int) -> bool:
        """Apply the states of newer processes; return whether one of them accepts clients."""
        states = {heartbeat.state for heartbeat in newer if is_responsive(heartbeat, now_ns)}
        newer_serves = not states.isdisjoint(SERVING_STATES)
        if newer_serves:
            self._apply(HotRestartEvent.NEWER_SERVES)
        elif HotRestartState.STARTING in states:
            self._apply(HotRestartEvent.NEWER_STARTS)
        else:
            self._apply(HotRestartEvent.NEWER_UNRESPONSIVE)
        return newer_serves

    def _shrink(self, total_descriptors: int, needed_descriptors: int, newer_serves: bool) -> None:
        """Release descriptors to a newer process."""
        self.max_descriptors = min(
            self.max_descriptors,
            max(needed_descriptors, total_descriptors // 2),
            int(MAX_OLDER_DESCRIPTORS_FRACTION * total_descriptors),
        )
        if newer_serves:
            self.max_descriptors = min(self.max_descriptors, needed_descriptors)
        self.claimed_descriptors = self.max_descriptors

    def _grow(self, now_ns: int, total_descriptors: int, free: int) -> None:
        """Use the claimed descriptors that are still free, and claim all free ones."""
        failed_ns = self.write_failed_ns
        claimed = self.claimed_descriptors
        if failed_ns is not None and now_ns - failed_ns < UNSEEN_AFTER_FAILURE_NS:
            claimed = min(claimed, total_descriptors // 2)
        self.max_descriptors = min(max(self.max_descriptors, claimed), free)
        self.claimed_descriptors = free

    def wrote_heartbeat(self, now_ns: int, written: bool) -> None:
        """Record whether the heartbeat could be written."""
        self.heartbeat_written = written
        if not written:
            self.write_failed_ns = now_ns

    def start_with(self, max_descriptors: int) -> None:
        """Start with descriptors in use, as a process that served before it could write heartbeats."""
        self.max_descriptors = self.claimed_descriptors = max_descriptors

    def on_serving(self) -> None:
        """Record that this process accepts clients."""
        self._apply(HotRestartEvent.MAY_SERVE)

    def on_shutdown(self) -> None:
        """Record the graceful shutdown. A process that has not served yet never will, and claims nothing."""
        if self.state is HotRestartState.STARTING:
            self.max_descriptors = self.claimed_descriptors = 0
        self._apply(HotRestartEvent.SHUTDOWN)

    def _apply(self, event: HotRestartEvent) -> None:
        self.state = TRANSITIONS.get((self.state, event), self.state)
