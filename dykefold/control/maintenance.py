"""Which servers are out for maintenance, and what the module is told of each. No I/O.

The rules that this file keeps:
1. A server that is out counts as draining, whatever discovery lists, until a call puts it back. It is a set:
   two calls out need one call back.
2. A server that is put back is what discovery says of it now, and cold from that moment: operators restart
   what they take out, and the list may not know of that yet.
3. Only a server that somebody knows can be taken out: by a list, or as one that is out already.
4. Of two calls on one server the later holds, whichever process took it (`merge`).
5. What is remembered has a bound: `MAX_OUT_OF_SERVICE` servers, and calls back only while they could still be
   news.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from ..balancer.events import Endpoint, State

MAX_OUT_OF_SERVICE = 1024  # servers out at once: far more than are restarted together
MAX_REMEMBERED_RETURNS = 1024  # calls back that are remembered, the latest


class Entry(Protocol):
    """A server as discovery lists it."""

    name: str
    endpoint: Endpoint
    since_ms: int


E = TypeVar("E", bound=Entry)


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """The latest call on one server.

    Attributes:
        at_ns: when it was made, Unix time.
        out: taken out, or else put back.
    """

    at_ns: int
    out: bool


class Maintenance(Generic[E]):
    """What discovery says of each server, and what operators say on top."""

    def __init__(self, copy: Callable[[E, Endpoint], E]) -> None:
        """Begin with no server.

        Args:
            copy: the same entry with another endpoint.
        """
        self.copy = copy
        self.listed: dict[str, E] = {}  # by name, as discovery has it now
        self.said: dict[str, MaintenanceOrder] = {}

    def out(self) -> list[str]:
        """The names of the servers that are out."""
        return [name for name, said in self.said.items() if said.out]

    def is_out(self, name: str) -> bool:
        said = self.said.get(name)
        return said is not None and said.out

    def knows(self, name: str) -> bool:
        """Whether a call may name this server."""
        return name in self.listed or self.is_out(name)

    def fold(self, entries: Iterable[E], complete: bool) -> list[E]:
        """Take what discovery tells; returns it as the module is to hear it."""
        if complete:
            self.listed = {}
        told = []
        for entry in entries:
            if entry.endpoint.state is State.GONE:
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            told.append(self._as_told(entry))
        return told

    def _as_told(self, entry: E) -> E:
        said = self.said.get(entry.name)
        if said is None or entry.endpoint.state is State.GONE:
            return entry
        if said.out:
            if entry.endpoint.state is not State.READY:
                return entry
            return self.copy(entry, replace(entry.endpoint, state=State.DRAINING))
        if entry.endpoint.started_ns >= said.at_ns:
            return entry  # it has started again since, and discovery knows
        return self.copy(entry, replace(entry.endpoint, started_ns=said.at_ns))

    def full(self, name: str) -> bool:
        """Whether one more server can't be taken out."""
        return not self.is_out(name) and len(self.out()) >= MAX_OUT_OF_SERVICE

    def say(self, name: str, out: bool, at_ns: int) -> list[E]:
        """Take a call on a known server; returns what the module has to hear of it."""
        before = self.said.get(name)
        if not out and (before is None or not before.out):
            return []  # it was not out
        if out and before is not None and before.out:
            return []
        # On one clock a later call never has an earlier time; two processes may differ by some of it.
        return self._set(
            name, MaintenanceOrder(max(at_ns, before.at_ns + 1 if before is not None else 0), out)
        )

    def merge(self, said: Mapping[str, MaintenanceOrder]) -> list[E]:
        """Take what another process was told; returns what the module has to hear."""
        told = []
        for name, theirs in said.items():
            mine = self.said.get(name)
            if mine is None or theirs.at_ns > mine.at_ns:
                if theirs.out and self.full(name):
                    continue
                told += self._set(name, theirs)
        return told

    def _set(self, name: str, said: MaintenanceOrder) -> list[E]:
        self.said.pop(name, None)
        self.said[name] = said
        if not said.out:
            self._forget_old()
        entry = self.listed.get(name)
        return [] if entry is None else [self._as_told(entry)]

    def _forget_old(self) -> None:
        back = [name for name, said in self.said.items() if not said.out]
        for name in back[: max(len(back) - MAX_REMEMBERED_RETURNS, 0)]:
            del self.said[name]
