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
from .handover import LOOK_NS, Handover, Sign, State, View
from .maintenance import OUT_MOST, Said

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
        self.others: dict[str, Sign] = {}
        self.timer: asyncio.TimerHandle | None = None

    # The start

    async def make_room(self) -> None:
        """Wait until older processes leave this one its part of the limits, or are seen to be gone."""
        self.keep()
        while not self._look().may_serve:
            await asyncio.sleep(LOOK_S / 4)

    def takes(self, sock: socket.socket) -> None:
        """This process takes clients on a listening socket: new ones come to it from now on."""
        self.handover.serves()
        older = [sign for sign in self.others.values() if sign.born_ns < self.handover.born_ns]
        if older:
            from .steering import steer  # not needed where there is nobody to take over from

            try:
                steer(sock, len(older))
            except OSError as error:
                log.warning("new connections are shared with the older process: %s", error.strerror)
            log.info("takes over from %s", ", ".join(sign.name for sign in older))
        self.keep()
        self._tick()

    # While it runs

    def _tick(self) -> None:
        # A process that is alone looks at one time of one folder, ten times a second.
        if self.others or self.board.changed():
            self._look()
            if self.others:
                self.keep()
        self.timer = self.loop.call_later(LOOK_S, self._tick)

    def _look(self) -> View:
        now_ns = self.now_ns()
        words = self.board.read_all("sign-")
        signs = {name: sign for name, word in words.items() if (sign := read_sign(word)) is not None}
        for name, word in words.items():
            if name != self._file:
                self._merge(read_said(word))
        view = self.handover.look(now_ns, signs.values())
        self.others = {sign.name: sign for sign in signs.values() if sign.name in view_names(self.handover)}
        if view.parts != self.parts:
            log.info("one of %d processes of this sidecar", view.parts)
            self.parts = view.parts
            self.engine.share(view.parts)
        self.engine.handing = view.newer_takes
        if now_ns - self.handover.born_ns > FORGET_NS:
            for name, sign in signs.items():
                if sign.name != self.handover.name and sign.beat_ns < self.handover.born_ns:
                    self.board.remove(name)
        return view

    def _merge(self, said: dict[str, Said]) -> None:
        for pool in self.engine.pools:
            pool.merge_maintenance(said)

    @property
    def _file(self) -> str:
        return f"sign-{self.handover.name}"

    def keep(self) -> bool:
        """Show the sign of this process, with which servers are out; False if it can't be written."""
        said: dict[str, Said] = {}
        for pool in self.engine.pools:
            said |= pool.maintenance.said
        return self.board.write(self._file, sign_word(self.handover.sign(self.now_ns()), said))

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
            self.board.remove(self._file)


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
