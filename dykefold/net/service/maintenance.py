"""Maintenance orders: endpoints that are out of service, and how the balancer sees them. No I/O.

Rules that this module enforces:
1. An endpoint that is out of service counts as draining, whatever discovery lists, until an order returns it
   to service. Orders do not accumulate: one return order cancels any number of earlier orders.
2. An endpoint that is returned to service has the state that discovery lists, and is in slow start from then
   on: operators restart endpoints that are out of service, and the endpoint list may not show that yet.
3. Only a known endpoint can be taken out of service: one that some pool of the process lists, or that is
   already out. The order applies to every pool of the process, also to one that is created later.
4. The later of two orders on one endpoint takes effect, whichever process received it (`merge`).
5. The number of remembered orders is limited: `MAX_OUT_OF_SERVICE` endpoints that are out of service, and
   `MAX_REMEMBERED_RETURNS` return orders, which another process may not know of yet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Generic, Protocol, TypeVar

from ...balancer.events import Endpoint, State

MAX_OUT_OF_SERVICE = 1024  # endpoints that are out of service at the same time
MAX_REMEMBERED_RETURNS = 1024  # latest orders that returned an endpoint to service


class Entry(Protocol):
    """An endpoint as discovery lists it."""

    name: str
    endpoint: Endpoint
    since_ms: int


EntryT = TypeVar("EntryT", bound=Entry)


@dataclass(frozen=True, slots=True)
class MaintenanceOrder:
    """The latest order on one endpoint.

    Attributes:
        ordered_ns: Time of the order, nanoseconds on the clock of this process (`net.clock.Clock`). The time
            of another process's order is converted to this clock before the order is merged.
        out_of_service: Whether the endpoint was taken out of service; otherwise it was returned to service.
    """

    ordered_ns: int
    out_of_service: bool


class Maintenance(Generic[EntryT]):
    """The endpoints as discovery lists them, with operators' orders applied.

    Args:
        copy: Function that returns a copy of an entry with its endpoint replaced.

    Attributes:
        listed: Entries as discovery lists them now, by endpoint name.
        orders: Latest order on each endpoint, by endpoint name, the earliest order first.
    """

    def __init__(self, copy: Callable[[EntryT, Endpoint], EntryT]) -> None:
        self.copy = copy
        self.listed: dict[str, EntryT] = {}
        self.orders: dict[str, MaintenanceOrder] = {}

    def names_out_of_service(self) -> list[str]:
        """Return the names of the endpoints that are out of service."""
        return [name for name, order in self.orders.items() if order.out_of_service]

    def is_out_of_service(self, name: str) -> bool:
        """Return whether an endpoint is out of service."""
        order = self.orders.get(name)
        return order is not None and order.out_of_service

    def is_known(self, name: str) -> bool:
        """Return whether an endpoint is listed or out of service, so that an order may apply to it."""
        return name in self.listed or self.is_out_of_service(name)

    def apply_update(self, entries: Iterable[EntryT], complete: bool) -> list[EntryT]:
        """Apply an update of the endpoint list.

        Args:
            entries: Entries of the update.
            complete: Whether the update is the complete list; otherwise it contains changes only.

        Returns:
            Entries of the update with the orders applied, as the balancer must be notified of them.
        """
        if complete:
            self.listed = {}
        effective = []
        for entry in entries:
            if entry.endpoint.state is State.GONE:
                self.listed.pop(entry.name, None)
            else:
                self.listed[entry.name] = entry
            effective.append(self._with_order(entry))
        return effective

    def _with_order(self, entry: EntryT) -> EntryT:
        """Return an entry with the order on its endpoint applied."""
        order = self.orders.get(entry.name)
        if order is None or entry.endpoint.state is State.GONE:
            return entry
        if order.out_of_service:
            if entry.endpoint.state is not State.READY:
                return entry
            return self.copy(entry, replace(entry.endpoint, state=State.DRAINING))
        if entry.endpoint.started_ns >= order.ordered_ns:
            return entry  # discovery lists a restart after the order
        return self.copy(entry, replace(entry.endpoint, started_ns=order.ordered_ns))

    def would_exceed_limit(self, name: str) -> bool:
        """Return whether this endpoint can't be taken out of service because too many are out already."""
        return not self.is_out_of_service(name) and len(self.names_out_of_service()) >= MAX_OUT_OF_SERVICE

    def apply_order(self, name: str, take_out: bool, ordered_ns: int) -> list[EntryT]:
        """Apply an operator's order on an endpoint, which this pool may list only later.

        Args:
            name: Name of the endpoint.
            take_out: Whether the order takes the endpoint out of service; otherwise it returns it to service.
            ordered_ns: Current time, nanoseconds on the clock of this process.

        Returns:
            Entries that the balancer must be notified of.
        """
        if take_out is self.is_out_of_service(name):
            return []
        return self._set_order(name, MaintenanceOrder(self.order_time(name, ordered_ns), take_out))

    def order_time(self, name: str, now_ns: int) -> int:
        """Return the time of an order that is received now, always later than the previous order's time.

        The previous order may have an arbitrary time if another version of the program stored it.
        """
        previous = self.orders.get(name)
        return now_ns if previous is None else max(now_ns, previous.ordered_ns + 1)

    def merge(self, orders: Mapping[str, MaintenanceOrder]) -> list[EntryT]:
        """Apply another process's orders, by endpoint name, with times converted to this process's clock.

        Returns:
            Entries that the balancer must be notified of.
        """
        changed = []
        for name, order in orders.items():
            current = self.orders.get(name)
            if current is None or order.ordered_ns > current.ordered_ns:
                if order.out_of_service and self.would_exceed_limit(name):
                    continue
                changed += self._set_order(name, order)
        return changed

    def _set_order(self, name: str, order: MaintenanceOrder) -> list[EntryT]:
        self.orders.pop(name, None)
        self.orders[name] = order
        if not order.out_of_service:
            self._drop_earliest_returns()
        entry = self.listed.get(name)
        return [] if entry is None else [self._with_order(entry)]

    def _drop_earliest_returns(self) -> None:
        returns = [name for name, order in self.orders.items() if not order.out_of_service]
        for name in returns[: max(len(returns) - MAX_REMEMBERED_RETURNS, 0)]:
            del self.orders[name]
