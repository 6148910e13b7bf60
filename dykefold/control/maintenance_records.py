"""Keeps maintenance orders in records that outlast this process and the machine."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ..net.service.maintenance import MaintenanceOrder
from ..net.sidecar import SidecarServer
from .background_writer import OnWritten, Submit, write_at_once
from .process_records import (
    ClockReading,
    Record,
    RecordKind,
    maintenance_record,
    orders_on_clock,
    parse_maintenance_orders,
)
from .state_directory import StateDirectory


@dataclass(frozen=True, slots=True)
class AwaitedOrders:
    """Orders that are to stand in a record that lasts.

    Attributes:
        orders: those that the pools do not know yet, by endpoint name.
        on_kept: is told whether all orders, these among them, stand there.
    """

    orders: Mapping[str, MaintenanceOrder]
    on_kept: OnWritten


class MaintenanceRecords:
    """The record of this process, and what those of others say.

    Args:
        sidecar: whose maintenance orders are kept.
        directory: that the processes share.
        name: of this process.
        read_clock: reads the clock of this process, on which its orders have their times.
    """

    def __init__(
        self,
        sidecar: SidecarServer,
        directory: StateDirectory,
        name: str,
        read_clock: Callable[[], ClockReading],
    ) -> None:
        self.sidecar = sidecar
        self.directory = directory
        self.read_clock = read_clock
        self.record_name = RecordKind.MAINTENANCE.of_process(name)
        self.recorded: dict[str, MaintenanceOrder] = {}  # the orders that stand in a record that lasts
        self.submit: Submit = write_at_once  # how what waits for the disk is run
        self.writing: list[AwaitedOrders] | None = None  # awaited of the write that goes on; None: none does
        self.awaited: list[AwaitedOrders] = []  # ... and of the next one

    def orders(self) -> dict[str, MaintenanceOrder]:
        """Return the orders that this process knows, by endpoint name."""
        orders: dict[str, MaintenanceOrder] = {}
        for pool in self.sidecar.pools:
            orders |= pool.maintenance.orders
        return orders

    def write(self) -> bool:
        """Write all orders to a record that lasts, if it lacks any; False if it may still lack some."""
        if self.writing is None and self._wanted() != self.recorded:
            self._begin_writing()
        return self._wanted() == self.recorded

    def keep(self, orders: Mapping[str, MaintenanceOrder], on_kept: OnWritten) -> None:
        """Write all orders to a record that lasts.

        Args:
            orders: by endpoint name, in place of those that the pools know.
            on_kept: is told whether all stand there; at once, if they do.
        """
        self.awaited.append(AwaitedOrders(orders, on_kept))
        if self.writing is None:
            self._begin_writing()

    def _wanted(self) -> dict[str, MaintenanceOrder]:
        """Return what is to stand in the record: the pools' orders, and those that are awaited."""
        wanted = self.orders()
        for awaited in (*(self.writing or ()), *self.awaited):
            wanted |= awaited.orders
        return wanted

    def _begin_writing(self) -> None:
        # One write at a time: the last one that is begun has the latest orders.
        self.writing, self.awaited = self.awaited, []
        orders = self._wanted()
        if orders == self.recorded:
            self._end_writing(orders, written=True)
            return
        record = {**maintenance_record(orders), "clock": self.read_clock().to_record()}
        self.submit(
            lambda: self.directory.write(self.record_name, record, durable=True),
            lambda written: self._end_writing(orders, written),
        )

    def _end_writing(self, orders: dict[str, MaintenanceOrder], written: bool) -> None:
        kept, self.writing = self.writing or [], None
        if written:
            self.recorded = orders
        for awaited in kept:
            awaited.on_kept(written)
        if self.awaited and self.writing is None:
            self._begin_writing()

    def check(self, records: Mapping[str, Record]) -> bool:
        """Notice that the record was removed or damaged, so that it is written again.

        Args:
            records: all that were just read, by name.

        Returns:
            Whether all orders stand in it.
        """
        if self.recorded and parse_maintenance_orders(records.get(self.record_name, {})) != self.recorded:
            self.recorded = {}
        return self.recorded == self.orders()

    def merge(self, record: Record) -> None:
        """Take the orders that another process wrote."""
        orders = orders_on_clock(record, self.read_clock())
        for pool in self.sidecar.pools:
            pool.merge_maintenance(orders)

    def stand_with_others(self, processes: Iterable[str]) -> bool:
        """Whether all orders that this process knows stand in records of these other processes."""
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
