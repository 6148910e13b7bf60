"""Carries a hand-over out on a node: signs, limits, what the newer process is to know."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Iterable, Mapping
from typing import Any

from ..net.sidecar import SidecarServer
from ..system import SYSTEM, System
from .balancer_snapshot import restore, snapshot
from .hot_restart_state import (
    LOOK_NS,
    ROOM_WAIT_NS,
    HotRestartMachine,
    HotRestartState,
    ProcessHeartbeat,
    RestartView,
)
from .maintenance import MAX_OUT_OF_SERVICE, MaintenanceOrder
from .reuseport_group import ReuseportGroup
from .state_directory import StateDirectory

log = logging.getLogger("dykefold.control")

LOOK_S = LOOK_NS / 1e9
FORGET_NS = 5_000_000_000  # after its start a process takes away what older ones left that have not been seen
KINDS = (
    "state",
    "list",
    "maintenance",
    "sign",
)  # of records; the sign goes last: the others hang on it
PLACES_MOST = 65_536  # listeners of one group: more than there are descriptors for
TIME_MOST_NS = 2**63  # of a time that a record may name


class HotRestart:
    """The signs of this process and of the others, and what follows from them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: SidecarServer,
        board: StateDirectory,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.board = board
        self.now_ns = system.monotonic_ns
        born_ns = self.now_ns()
        self.handover = HotRestartMachine(f"{born_ns:020d}-{os.getpid()}", born_ns)
        self.parts = 1
        self.others: dict[str, ProcessHeartbeat] = {}  # of the processes that live
        self.sock: socket.socket | None = None  # that clients come to
        self.places = ReuseportGroup()
        self.steers = True  # no filter was refused, or it has been said
        self.stands = True  # what it has written was there at the last look
        self.told: dict[str, int] = {}  # versions of the lists that others can read
        self.recorded: dict[
            str, MaintenanceOrder
        ] = {}  # the calls on servers that stand in a record that lasts
        self.owes_state = False  # a newer process waits for the estimates, which could not be written
        self.timer: asyncio.TimerHandle | None = None

    # The start

    async def make_room(self) -> None:
        """Wait until older processes leave this one its part of the limits, or are seen to be gone."""
        self.keep()
        while not (self._look().may_serve and self._estimates_wait()) and not self.engine.draining:
            self.keep()  # what it is about to take, before it does
            await asyncio.sleep(LOOK_S / 4)
        older = self._latest_older()
        if older is not None:
            self._begin_with(older)

    def _latest_older(self) -> ProcessHeartbeat | None:
        older = [sign for sign in self.others.values() if sign.born_ns < self.handover.born_ns]
        return max(older, key=lambda sign: sign.born_ns, default=None)

    def _estimates_wait(self) -> bool:
        """Whether there is nothing more to wait for; the older process tries until it has written them."""
        older = self._latest_older()
        return (
            older is None
            or self.now_ns() - self.handover.born_ns >= ROOM_WAIT_NS
            or self.board.read(f"state-{older.name}") is not None
        )

    def _begin_with(self, older: ProcessHeartbeat) -> None:
        """Believe what the latest older process believed, so as not to begin blind."""
        word = self.board.read(f"state-{older.name}")
        known = _table(word, "pools")
        shift_ns = read_shift(word, self._clock_word())
        for pool in self.engine.pools:
            if pool.label not in known:
                continue
            if shift_ns is None or not restore(pool.balancer, pool.names, known[pool.label], shift_ns):
                log.warning("what %s knew of its servers is of no use here", older.name)

    def _clock_word(self) -> dict[str, Any]:
        """The clock that the times of estimates are on, by the one clock that all processes here share."""
        return {
            "boot": self.board.boot_id(),
            "monotonic_ns": self.now_ns(),
            "offset_ns": self.engine.clock.offset,
        }

    def _leave_estimates(self) -> None:
        """Leave what this process believes; until it stands, as long as a newer one waits for it."""
        pools = {pool.label: snapshot(pool.balancer, pool.names) for pool in self.engine.pools}
        word = {"pools": pools, "clock": self._clock_word()}
        written = self.board.write(f"state-{self.handover.name}", word)
        waits = any(
            sign.state is HotRestartState.STARTING and sign.born_ns > self.handover.born_ns
            for sign in self.others.values()
        )
        self.owes_state = waits and not written

    def takes(self, sock: socket.socket) -> None:
        """This process takes clients on a listening socket: new ones come to it from now on."""
        self.handover.serves()
        self.sock = sock
        self.places.joins(self._listening())
        if self.others:
            log.info("takes over from %s", ", ".join(self.others))
        self._steer(leads=True)
        self.keep()
        self._tick()

    def _listening(self) -> dict[str, int]:
        """The places of the other processes' listeners."""
        return {name: sign.place for name, sign in self.others.items() if sign.place is not None}

    def _steer(self, leads: bool) -> None:
        """Have new connections come here, while they could come to another process as well.

        It is done at each look: whoever came to lead meanwhile has turned them to itself.
        """
        others = self._listening()
        place = self.places.look(others)
        if self.sock is None or self.engine.listener is None or not leads or not others:
            return
        from .reuseport_filter import let_chance, steer  # not needed where there is nobody to take over from

        try:
            if place is None:
                let_chance(self.sock)
            else:
                steer(self.sock, place)
        except OSError as error:
            if self.steers:
                log.warning("new connections are shared with other processes: %s", error.strerror)
            self.steers = False
        else:
            self.steers = True

    # While it runs

    def _tick(self) -> None:
        # A process that is alone looks at one time of one folder, ten times a second.
        if self.others or self.board.changed() or not self.handover.shown:
            claim = self.handover.claim
            self._look()
            if self.others or claim != self.handover.claim or not self.handover.shown or not self.stands:
                self.keep()
        self.timer = self.loop.call_later(LOOK_S, self._tick)

    def _look(self) -> RestartView:
        now_ns = self.now_ns()
        words = self.board.read_all("sign-", "maintenance-")
        self._check_own(words)
        signs = {name: sign for name, word in words.items() if (sign := parse_heartbeat(word)) is not None}
        signs = {name: sign for name, sign in signs.items() if name == f"sign-{sign.name}"}
        for name, word in words.items():
            if name not in (self._file, self._record):
                self._merge(parse_maintenance_orders(word))
        engine = self.engine
        lives = {sign.name: self.board.held(name) for name, sign in signs.items() if name != self._file}
        view = self.handover.look(
            now_ns,
            [sign for sign in signs.values() if lives.get(sign.name) is not False],
            engine.sockets,
            engine.needed(),
            [name for name, held in lives.items() if held],
        )
        self.others = {sign.name: sign for sign in signs.values() if sign.name in view_names(self.handover)}
        if view.parts != self.parts:
            log.info("one of %d processes of this sidecar", view.parts)
            self.parts = view.parts
        engine.share(view.parts, view.most)
        self.engine.handing = view.newer_takes
        self._steer(view.leads)
        if view.arrived or self.owes_state:
            self._leave_estimates()
        for name in self.others:
            self._hear_lists(name, words[f"sign-{name}"])
        if now_ns - self.handover.born_ns > FORGET_NS:
            self._forget(signs.values())
        return view

    def _forget(self, signs: Iterable[ProcessHeartbeat]) -> None:
        """Take away what older processes left, once what they were told stands in a record of this one."""
        gone = [
            sign
            for sign in signs
            if sign.name not in self.handover.sees and sign.beat_ns < self.handover.born_ns
        ]
        if gone and self._record_said():
            for sign in gone:
                self._remove(sign.name)

    def _remove(self, name: str) -> None:
        for kind in KINDS:
            self.board.remove(f"{kind}-{name}")

    def _check_own(self, words: Mapping[str, Mapping[str, Any]]) -> None:
        """Notice that records of this process were taken away or spoilt, so that they are written again."""
        if self.recorded and parse_maintenance_orders(words.get(self._record, {})) != self.recorded:
            self.recorded = {}
        self.stands = self._file in words and self.recorded == self._said()

    def _hear_lists(self, name: str, word: dict[str, Any]) -> None:
        """Take the lists of another process that are newer: what it was told, this sidecar was told."""
        told = _table(word, "lists")
        newer = [pool for pool in self.engine.pools if _whole(told.get(pool.label)) > pool.version]
        if not newer:
            return
        lists = _table(self.board.read(f"list-{name}"), "pools")
        for pool in newer:
            try:
                pool.adopt_list(_table(lists, pool.label))
            except ValueError as error:
                log.warning("the list of %s is of no use here: %s", name, error)

    def _tell_lists(self) -> dict[str, int]:
        """Leave the lists where others may need them; their versions."""
        versions = {pool.label: pool.version for pool in self.engine.pools}
        if self.others and versions != self.told:
            lists = {pool.label: pool.list_word() for pool in self.engine.pools}
            if self.board.write(f"list-{self.handover.name}", {"pools": lists}):
                self.told = versions
        return self.told

    def _merge(self, said: dict[str, MaintenanceOrder]) -> None:
        for pool in self.engine.pools:
            pool.merge_maintenance(said)

    def _said(self) -> dict[str, MaintenanceOrder]:
        said: dict[str, MaintenanceOrder] = {}
        for pool in self.engine.pools:
            said |= pool.maintenance.said
        return said

    @property
    def _file(self) -> str:
        return f"sign-{self.handover.name}"

    @property
    def _record(self) -> str:
        return f"maintenance-{self.handover.name}"

    def keep(self) -> bool:
        """Show the sign of this process, and record which servers are out.

        The sign is written ten times a second while others live, so it is not synced; the record is, and only
        when it differs. What fails is tried again at each look.

        Returns:
            False if either can't be written, or the record may not outlast the machine.
        """
        self.board.hold(self._file)
        place = self.places.mine if self.engine.listener is not None else None
        word = heartbeat_record(self.handover.sign(self.now_ns(), place), self._said())
        written = self.board.write(self._file, {**word, "lists": self._tell_lists()})
        self.handover.showed(self.now_ns(), written)
        return self._record_said() and written

    def _record_said(self) -> bool:
        """Have all calls on servers in a record that lasts; False if they may not be."""
        said = self._said()
        if said != self.recorded and self.board.write(self._record, {"said": said_word(said)}, durable=True):
            self.recorded = said
        return said == self.recorded

    # The end

    def end(self) -> None:
        """A planned end begins."""
        self._look()
        self.handover.ends()
        self.keep()

    def close(self) -> None:
        """The process ends. What it knew stays for who comes next, unless a newer one has it already."""
        if self.timer is not None:
            self.timer.cancel()
        if self.engine.handing and self._handed():
            self._remove(self.handover.name)

    def _handed(self) -> bool:
        """Whether all calls on servers that this process knows stand in records of others that live."""
        words = self.board.read_all("maintenance-")
        theirs: dict[str, MaintenanceOrder] = {}
        for name in self.others:
            for server, one in parse_maintenance_orders(words.get(f"maintenance-{name}", {})).items():
                if server not in theirs or theirs[server].at_ns < one.at_ns:
                    theirs[server] = one
        return all(name in theirs and theirs[name].at_ns >= one.at_ns for name, one in self._said().items())


def _table(word: object, key: str) -> dict[str, Any]:
    """A table inside of what another process left; empty if there is none."""
    inner = word.get(key) if isinstance(word, dict) else None
    return inner if isinstance(inner, dict) else {}


def _whole(value: object) -> int:
    return value if isinstance(value, int) else -1


def view_names(handover: HotRestartMachine) -> set[str]:
    """The other processes that were seen to live."""
    return set(handover.sees) - {handover.name}


def heartbeat_record(sign: ProcessHeartbeat, said: dict[str, MaintenanceOrder]) -> dict[str, Any]:
    """A sign as it is written down; `parse_heartbeat` and `parse_maintenance_orders` read it."""
    return {
        "name": sign.name,
        "born_ns": sign.born_ns,
        "beat_ns": sign.beat_ns,
        "state": sign.state.value,
        "sees": list(sign.sees),
        "most": sign.most,
        "place": sign.place,
        "said": said_word(said),
    }


def said_word(said: Mapping[str, MaintenanceOrder]) -> dict[str, list[int | bool]]:
    """Calls on servers as they are written down; `parse_maintenance_orders` reads it."""
    return {name: [one.at_ns, one.out] for name, one in said.items()}


def read_shift(word: object, mine: Mapping[str, Any]) -> int | None:
    """How far times of another process are to be moved to be on the clock of this one, in nanoseconds.

    Each process anchors its clock to the wall clock as it starts, and that may be stepped between two starts.

    Args:
        word: what another process left; without its clock, as an older version leaves it, nothing is moved.
        mine: the clock of this process in the same form, now.

    Returns:
        None if the times are of another boot of the machine, and mean nothing here.
    """
    if not isinstance(word, dict) or "clock" not in word:
        return 0
    clock = _table(word, "clock")
    at_ns, offset_ns = clock.get("monotonic_ns"), clock.get("offset_ns")
    if not isinstance(at_ns, int) or not isinstance(offset_ns, int):
        return None
    if clock.get("boot") != mine["boot"] or not 0 <= at_ns <= mine["monotonic_ns"]:
        return None
    shift_ns: int = mine["offset_ns"] - offset_ns
    return shift_ns


def parse_heartbeat(word: dict[str, Any]) -> ProcessHeartbeat | None:
    """A sign; None if it is none."""
    try:
        return ProcessHeartbeat(
            str(word["name"]),
            int(word["born_ns"]),
            int(word["beat_ns"]),
            HotRestartState(word["state"]),
            tuple(str(name) for name in word["sees"]),
            max(int(word["most"]), 0),
            _place(word.get("place")),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def _place(value: Any) -> int | None:
    """A place in the group; None for none, or one that can't be."""
    return None if value is None or not 0 <= int(value) < PLACES_MOST else int(value)


def parse_maintenance_orders(word: Mapping[str, Any]) -> dict[str, MaintenanceOrder]:
    """Which servers another process was told to take out or put back; what can't be read is left out."""
    said = word.get("said")
    if not isinstance(said, dict):
        return {}
    found = {}
    for name, one in list(said.items())[: 2 * MAX_OUT_OF_SERVICE]:
        if not isinstance(one, list) or len(one) != 2:
            continue
        at_ns, out = one
        if isinstance(at_ns, int) and 0 <= at_ns < TIME_MOST_NS and isinstance(out, bool):
            found[name] = MaintenanceOrder(at_ns, out)
    return found
