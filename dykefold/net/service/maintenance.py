"""Which endpoints are out for maintenance, and what the balancer is notified of each. No I/O.

The rules that this file keeps:
1. An endpoint that is out counts as draining, whatever discovery lists, until an order puts it back. It is a
   set: two orders out need one order back.
2. An endpoint that is put back is what discovery says of it now, and in slow start from that moment:
   operators restart what they take out, and the endpoint list may not show that yet.
3. Only a known endpoint can be taken out: one that is listed, or that is out already.
4. Of two orders on one endpoint the later holds, whichever process took it (`merge`).
5. What is remembered has a bound: `MAX_OUT_OF_SERVICE` endpoints, and orders back only while another process
   may not know of them yet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from ...balancer.events import Endpoint, State

MAX_OUT_OF_SERVICE = 1024  # endpoints out at once: far more than are restarted together
MAX_REMEMBERED_RETURNS = 1024  # orders back that are remembered, the latest


class Entry(Protocol):
    """An endpoint as discovery lists it."""

    name: str
    endpoint: Endpoint
    since_ms: int


E = TypeVar("E", bound=Entry)


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """The latest order on one endpoint.

    Attributes:
        ordered_ns: when it was given, on the clock of this process (`net.clock.Clock`): what another process
            stored is moved to it before it is merged.
        out: taken out, or else put back.
    """

    ordered_ns: int
    out: bool


class Maintenance(Generic[E]):
    """What discovery says of each endpoint, with operators' orders on top.

    Args:
        copy: the same entry with another endpoint.
    """

    def __init__(self, copy: Callable[[E, Endpoint], E]) -> None:
        self.copy = copy
        self.listed: dict[str, E] = {}  # by name, as discovery has it now
        self.orders: dict[str, MaintenanceOrder] = {}  # by name, the oldest first

    def out_of_service(self) -> list[str]:
        """Return the names of the endpoints that are out."""
        return [name for name, order in self.orders.items() if order.out]

    def is_out(self, name: str) -> bool:
        """Whether an endpoint is out."""
        order = self.orders.get(name)
        return order is not None and order.out

    def knows(self, name: str) -> bool:
        """Whether an order may name this endpoint."""
        return name in self.listed or self.is_out(name)

    def apply_update(self, entries: Iterable[E], complete: bool) -> list[E]:
        """Take an update of the endpoint list.

        Args:
            entries: the endpoints that it names.
            complete: whether it is the whole list, or else changes.

        Returns:
            The entries as the balancer is to be notified of them.
        """
        if complete:
            self.listed = {}
        notified = []
        for entry in entries:
            if entry.endpoint.state is State.GONE:
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            notified.append(self._with_order(entry))
        return notified

    def _with_order(self, entry: E) -> E:
        """Return an entry as the balancer is to be notified of it."""
        order = self.orders.get(entry.name)
        if order is None or entry.endpoint.state is State.GONE:
            return entry
        if order.out:
            if entry.endpoint.state is not State.READY:
                return entry
            return self.copy(entry, replace(entry.endpoint, state=State.DRAINING))
        if entry.endpoint.started_ns >= order.ordered_ns:
            return entry  # it has started again since, and discovery knows
        return self.copy(entry, replace(entry.endpoint, started_ns=order.ordered_ns))

    def is_full(self, name: str) -> bool:
        """Whether this endpoint can't be taken out, since too many are."""
        return not self.is_out(name) and len(self.out_of_service()) >= MAX_OUT_OF_SERVICE

    def apply_order(self, name: str, out: bool, ordered_ns: int) -> list[E]:
        """Take an order on a known endpoint.

        Args:
            name: of the endpoint.
            out: take it out, or else put it back.
            ordered_ns: now, on the clock of this process.

        Returns:
            The entries that the balancer is to be notified of.
        """
        if out is self.is_out(name):
            return []  # so it is already
        return self._set(name, MaintenanceOrder(self.order_time(name, ordered_ns), out))

    def order_time(self, name: str, now_ns: int) -> int:
        """Return the time that an order given now has: later than that of the one before it.

        On one clock that is now. An order of another version of the program may have any time.
        """
        before = self.orders.get(name)
        return now_ns if before is None else max(now_ns, before.ordered_ns + 1)

    def merge(self, orders: Mapping[str, MaintenanceOrder]) -> list[E]:
        """Take the orders of another process, by endpoint name, their times on the clock of this one.

        Returns:
            The entries that the balancer is to be notified of.
        """
        notified = []
        for name, theirs in orders.items():
            own = self.orders.get(name)
            if own is None or theirs.ordered_ns > own.ordered_ns:
                if theirs.out and self.is_full(name):
                    continue
                notified += self._set(name, theirs)
        return notified

    def _set(self, name: str, order: MaintenanceOrder) -> list[E]:
        self.orders.pop(name, None)
        self.orders[name] = order
        if not order.out:
            self._forget_old_returns()
        entry = self.listed.get(name)
        return [] if entry is None else [self._with_order(entry)]

    def _forget_old_returns(self) -> None:
        back = [name for name, order in self.orders.items() if not order.out]
        for name in back[: max(len(back) - MAX_REMEMBERED_RETURNS, 0)]:
            del self.orders[name]
