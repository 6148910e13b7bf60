"""Stores maintenance orders in records that outlive this process and a crash of the machine."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from ..net.service.maintenance import MaintenanceOrder
from ..net.service.pool import Pool
from .background_writer import OnWritten, Submit, write_at_once
from .process_records import (
    ClockReading,
    Record,
    RecordKind,
    maintenance_record,
    orders_on_clock,
    parse_maintenance_orders,
)
from .protocols import StateDirectory


@dataclass(frozen=True, slots=True)
class PendingOrders:
    """Orders that are to be recorded.

    Attributes:
        orders: Orders that are not yet known to the pools, by endpoint name.
        on_recorded: Callback that gets whether all orders, including these, are in a durable record.
    """

    orders: Mapping[str, MaintenanceOrder]
    on_recorded: OnWritten


class MaintenanceRecords:
    """Maintenance orders in the record of this process and in those of other processes.

    Args:
        pools: Live collection of the pools whose maintenance orders are recorded.
        directory: State directory that the processes of the sidecar share.
        name: Name of this process.
        read_clock: Clock of this process, which the times of its orders refer to.
    """

    def __init__(
        self,
        pools: Collection[Pool],
        directory: StateDirectory,
        name: str,
        read_clock: Callable[[], ClockReading],
    ) -> None:
        self.pools = pools
        self.directory = directory
        self.read_clock = read_clock
        self.record_name = RecordKind.MAINTENANCE.of_process(name)
        self.recorded: dict[str, MaintenanceOrder] = {}  # orders in the last durable record
        self.submit: Submit = write_at_once
        self.orders_in_progress: list[PendingOrders] | None = None  # None while no write is in progress
        self.pending: list[PendingOrders] = []  # orders for the next write

    def orders(self) -> dict[str, MaintenanceOrder]:
        """Return the orders that this process knows, by endpoint name."""
        orders: dict[str, MaintenanceOrder] = {}
        for pool in self.pools:
            orders |= pool.maintenance.orders
        return orders

    def write(self) -> bool:
        """Write a durable record unless it has all orders; return whether it has all of them now."""
        if self.orders_in_progress is None and self._required_orders() != self.recorded:
            self._start_writing()
        return self._required_orders() == self.recorded

    def record(self, orders: Mapping[str, MaintenanceOrder], on_recorded: OnWritten) -> None:
        """Write all orders to a durable record.

        Args:
            orders: New orders by endpoint name, which override those of the pools.
            on_recorded: Callback that gets whether all orders are recorded; called at once if they are
                already.
        """
        self.pending.append(PendingOrders(orders, on_recorded))
        if self.orders_in_progress is None:
            self._start_writing()

    def _required_orders(self) -> dict[str, MaintenanceOrder]:
        """Return the orders that the record should have: those of the pools and the pending ones."""
        required = self.orders()
        for pending in (*(self.orders_in_progress or ()), *self.pending):
            required |= pending.orders
        return required

    def _start_writing(self) -> None:
        # One write at a time, so that the last write to finish has the latest orders.
        self.orders_in_progress, self.pending = self.pending, []
        orders = self._required_orders()
        if orders == self.recorded:
            self._finish_writing(orders, written=True)
            return
        record = {**maintenance_record(orders), "clock": self.read_clock().to_record()}
        self.submit(
            lambda: self.directory.write(self.record_name, record, durable=True),
            lambda written: self._finish_writing(orders, written),
        )

    def _finish_writing(self, orders: dict[str, MaintenanceOrder], written: bool) -> None:
        finished, self.orders_in_progress = self.orders_in_progress or [], None
        if written:
            self.recorded = orders
        for pending in finished:
            pending.on_recorded(written)
        # A callback may have started the next write.
        if self.pending and self.orders_in_progress is None:
            self._start_writing()

    def check(self, records: Mapping[str, Record]) -> bool:
        """Check whether the record of this process was removed or damaged; if so, it is written again.

        Args:
            records: All records that were just read, by name.

        Returns:
            Whether the record has all orders.
        """
        if self.recorded and parse_maintenance_orders(records.get(self.record_name, {})) != self.recorded:
            self.recorded = {}
        return self.recorded == self.orders()

    def merge(self, record: Record) -> None:
        """Apply the orders in the record of another process."""
        orders = orders_on_clock(record, self.read_clock())
        for pool in self.pools:
            pool.merge_maintenance(orders)

    def are_recorded_by_others(self, processes: Iterable[str]) -> bool:
        """Whether the records of these other processes have all orders that this process knows."""
        records = self.directory.read_all(RecordKind.MAINTENANCE.prefix)
        clock = self.read_clock()
        latest: dict[str, MaintenanceOrder] = {}
        for process in processes:
            record = records.get(RecordKind.MAINTENANCE.of_process(process), {})
            for name, order in orders_on_clock(record, clock).items():
                if name not in latest or latest[name].ordered_ns < order.ordered_ns:
                    latest[name] = order
        return all(
            name in latest and latest[name].ordered_ns >= order.ordered_ns
            for name, order in self.orders().items()
        )
