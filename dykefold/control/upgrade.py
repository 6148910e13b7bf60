"""Carries a hand-over out on a node: signs, limits, what the newer process is to know."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from typing import Any

from ..net.engine import Engine
from ..system import SYSTEM, System
from .board import Board
from .estimates import restore, snapshot
from .handover import LOOK_NS, Handover, Sign, State, View
from .maintenance import OUT_MOST, Said
from .places import Places

log = logging.getLogger("dykefold.control")

LOOK_S = LOOK_NS / 1e9
FORGET_NS = 5_000_000_000  # after its start a process takes away what older ones left that have not been seen


class Upgrade:
    """The signs of this process and of the others, and what follows from them."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, engine: Engine, board: Board, system: System = SYSTEM
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.board = board
        self.now_ns = system.monotonic_ns
        born_ns = self.now_ns()
        self.handover = Handover(f"{born_ns:020d}-{os.getpid()}", born_ns)
        self.parts = 1
        self.others: dict[str, Sign] = {}  # of the processes that live
        self.sock: socket.socket | None = None  # that clients come to
        self.places = Places()
        self.steers = True  # no filter was refused, or it has been said
        self.locked = False
        self.told: dict[str, int] = {}  # versions of the lists that others can read
        self.timer: asyncio.TimerHandle | None = None

    # The start

    async def make_room(self) -> None:
        """Wait until older processes leave this one its part of the limits, or are seen to be gone."""
        self.keep()
        while not self._look().may_serve and not self.engine.draining:
            self.keep()  # what it is about to take, before it does
            await asyncio.sleep(LOOK_S / 4)
        older = [sign for sign in self.others.values() if sign.born_ns < self.handover.born_ns]
        if older:
            self._begin_with(max(older, key=lambda sign: sign.born_ns))

    def _begin_with(self, older: Sign) -> None:
        """Believe what the latest older process believed, so as not to begin blind."""
        known = _table(self.board.read(f"state-{older.name}"), "pools")
        for pool in self.engine.pools:
            if pool.label in known and not restore(pool.balancer, pool.names, known[pool.label]):
                log.warning("what %s knew of its servers is of no use here", older.name)

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
        from .steering import let_chance, steer  # not needed where there is nobody to take over from

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
            if self.others or claim != self.handover.claim or not self.handover.shown:
                self.keep()
        self.timer = self.loop.call_later(LOOK_S, self._tick)

    def _look(self) -> View:
        now_ns = self.now_ns()
        words = self.board.read_all("sign-")
        signs = {name: sign for name, word in words.items() if (sign := read_sign(word)) is not None}
        signs = {name: sign for name, sign in signs.items() if name == f"sign-{sign.name}"}
        for name, word in words.items():
            if name != self._file:
                self._merge(read_said(word))
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
        if view.arrived:
            pools = {pool.label: snapshot(pool.balancer, pool.names) for pool in self.engine.pools}
            self.board.write(f"state-{self.handover.name}", {"pools": pools})
        for name in self.others:
            self._hear_lists(name, words[f"sign-{name}"])
        if now_ns - self.handover.born_ns > FORGET_NS:
            for sign in signs.values():
                if sign.name not in self.handover.sees and sign.beat_ns < self.handover.born_ns:
                    for kind in ("sign", "list", "state"):
                        self.board.remove(f"{kind}-{sign.name}")
        return view

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

    def _merge(self, said: dict[str, Said]) -> None:
        for pool in self.engine.pools:
            pool.merge_maintenance(said)

    @property
    def _file(self) -> str:
        return f"sign-{self.handover.name}"

    def keep(self) -> bool:
        """Show the sign of this process, with which servers are out; False if it can't be written."""
        if not self.locked:
            self.locked = self.board.hold(self._file)
        said: dict[str, Said] = {}
        for pool in self.engine.pools:
            said |= pool.maintenance.said
        place = self.places.mine if self.engine.listener is not None else None
        word = sign_word(self.handover.sign(self.now_ns(), place), said)
        written = self.board.write(self._file, {**word, "lists": self._tell_lists()})
        self.handover.showed(self.now_ns(), written)
        return written

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
        if self.engine.handing:
            for kind in ("sign", "list", "state"):
                self.board.remove(f"{kind}-{self.handover.name}")


def _table(word: object, key: str) -> dict[str, Any]:
    """A table inside of what another process left; empty if there is none."""
    inner = word.get(key) if isinstance(word, dict) else None
    return inner if isinstance(inner, dict) else {}


def _whole(value: object) -> int:
    return value if isinstance(value, int) else -1


def view_names(handover: Handover) -> set[str]:
    """The other processes that were seen to live."""
    return set(handover.sees) - {handover.name}


def sign_word(sign: Sign, said: dict[str, Said]) -> dict[str, Any]:
    """A sign as it is written down; `read_sign` and `read_said` read it."""
    return {
        "name": sign.name,
        "born_ns": sign.born_ns,
        "beat_ns": sign.beat_ns,
        "state": sign.state.value,
        "sees": list(sign.sees),
        "most": sign.most,
        "place": sign.place,
        "said": {name: [one.at_ns, one.out] for name, one in said.items()},
    }


def read_sign(word: dict[str, Any]) -> Sign | None:
    """A sign; None if it is none."""
    try:
        return Sign(
            str(word["name"]),
            int(word["born_ns"]),
            int(word["beat_ns"]),
            State(word["state"]),
            tuple(str(name) for name in word["sees"]),
            max(int(word["most"]), 0),
            None if word.get("place") is None else int(word["place"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def read_said(word: dict[str, Any]) -> dict[str, Said]:
    """Which servers another process was told to take out or put back; what can't be read is left out."""
    said = word.get("said")
    if not isinstance(said, dict):
        return {}
    found = {}
    for name, one in list(said.items())[: 2 * OUT_MOST]:
        if isinstance(one, list) and len(one) == 2 and isinstance(one[0], int) and isinstance(one[1], bool):
            found[name] = Said(one[0], one[1])
    return found
