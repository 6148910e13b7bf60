"""Keeps maintenance orders in records that outlast this process and the machine."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..net.sidecar import SidecarServer
from .maintenance import MaintenanceOrder
from .process_records import Record, RecordKind, maintenance_record, parse_maintenance_orders
from .state_directory import StateDirectory


class MaintenanceRecords:
    """The record of this process, and what those of others say."""

    def __init__(self, engine: SidecarServer, directory: StateDirectory, name: str) -> None:
        """Prepare; `name` is that of this process."""
        self.engine = engine
        self.directory = directory
        self.record_name = RecordKind.MAINTENANCE.of_process(name)
        self.recorded: dict[str, MaintenanceOrder] = {}  # the orders that stand in a record that lasts

    def orders(self) -> dict[str, MaintenanceOrder]:
        """Return the orders that this process knows, by endpoint name."""
        orders: dict[str, MaintenanceOrder] = {}
        for pool in self.engine.pools:
            orders |= pool.maintenance.orders
        return orders

    def write(self) -> bool:
        """Write all orders to a record that lasts, if it lacks any; False if it may still lack some."""
        orders = self.orders()
        if orders != self.recorded and self.directory.write(
            self.record_name, maintenance_record(orders), durable=True
        ):
            self.recorded = orders
        return orders == self.recorded

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
        orders = parse_maintenance_orders(record)
        for pool in self.engine.pools:
            pool.merge_maintenance(orders)

    def stand_with_others(self, processes: Iterable[str]) -> bool:
        """Whether all orders that this process knows stand in records of these other processes."""
        records = self.directory.read_all(RecordKind.MAINTENANCE.prefix)
        latest: dict[str, MaintenanceOrder] = {}
        for process in processes:
            record = records.get(RecordKind.MAINTENANCE.of_process(process), {})
            for name, order in parse_maintenance_orders(record).items():
                if name not in latest or latest[name].ordered_ns < order.ordered_ns:
                    latest[name] = order
        return all(
            name in latest and latest[name].ordered_ns >= order.ordered_ns
            for name, order in self.orders().items()
        )
