"""The records in the state directory: their types and stored keys. No I/O.

The name of a record has a prefix for its kind, and the name of the process that wrote it:

    sign-          `ProcessHeartbeat`, with maintenance orders, their clock, and versions of endpoint lists
    maintenance-   maintenance orders, synced to the disk, and the clock of their times
    list-          endpoint lists by pool
    state-         balancer snapshots by pool, and the clock (`ClockReading`) of their times

Stored keys are an interface to older and newer versions of the program. They are written out here, apart from
the names of attributes. A parser never raises: unusable data, as of another program, of another version or
from a full disk, count as missing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from ..net.service.maintenance import MAX_OUT_OF_SERVICE, MaintenanceOrder
from .hot_restart_state import HotRestartState, ProcessHeartbeat

# More listeners of one reuseport group than there are descriptors.
MAX_GROUP_LISTENERS = 65_536
# Exclusive limit of times in records.
MAX_TIME_NS = 2**63
# A stored maintenance order has its time, and whether the endpoint is out of service.
ORDER_FIELD_COUNT = 2

# A record in the form in which the state directory reads and writes it.
Record = Mapping[str, Any]


class RecordKind(Enum):
    """Kinds of records, in the order of removal.

    The heartbeat is removed last: without it others would not find the remaining records of that process.
    """

    SNAPSHOT = "state"
    ENDPOINT_LISTS = "list"
    MAINTENANCE = "maintenance"
    HEARTBEAT = "sign"

    @property
    def prefix(self) -> str:
        """Prefix of the names of records of this kind."""
        return f"{self.value}-"

    def of_process(self, process: str) -> str:
        """Return the name of the record of this kind of a process."""
        return self.prefix + process


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the clock of stored times, related to the monotonic clock that all processes share.

    Attributes:
        boot_id: Identifier of the boot of the machine; empty if the system has none.
        monotonic_ns: Time of the reading on the monotonic clock.
        offset_ns: Difference between the clock of the process and the monotonic clock, in nanoseconds.
    """

    boot_id: str
    monotonic_ns: int
    offset_ns: int

    def to_record(self) -> dict[str, Any]:
        """Return the stored form; `_parse_clock` reads it."""
        return {"boot": self.boot_id, "monotonic_ns": self.monotonic_ns, "offset_ns": self.offset_ns}


def nested_table(record: object, key: str) -> dict[str, Any]:
    """Return the table under a key of a record; empty if there is none."""
    table = record.get(key) if isinstance(record, dict) else None
    return table if isinstance(table, dict) else {}


def list_version(value: object) -> int | None:
    """Return the version of an endpoint list in a heartbeat; None if it is unusable."""
    return value if isinstance(value, int) else None


def heartbeat_record(heartbeat: ProcessHeartbeat, orders: Mapping[str, MaintenanceOrder]) -> dict[str, Any]:
    """Return the stored form of a heartbeat; `parse_heartbeat` and `parse_maintenance_orders` read it."""
    return {
        "name": heartbeat.name,
        "born_ns": heartbeat.started_ns,
        "beat_ns": heartbeat.written_ns,
        "state": heartbeat.state.value,
        "sees": list(heartbeat.acknowledged),
        "most": heartbeat.max_descriptors,
        "place": heartbeat.listener_index,
        **maintenance_record(orders),
    }


def maintenance_record(orders: Mapping[str, MaintenanceOrder]) -> dict[str, Any]:
    """Return the stored form of maintenance orders; `parse_maintenance_orders` reads it."""
    return {"said": {name: [order.ordered_ns, order.out_of_service] for name, order in orders.items()}}


def parse_heartbeat(record: Record) -> ProcessHeartbeat | None:
    """Return the heartbeat of a record; None if the record has none."""
    try:
        return ProcessHeartbeat(
            name=str(record["name"]),
            started_ns=int(record["born_ns"]),
            written_ns=int(record["beat_ns"]),
            state=HotRestartState(record["state"]),
            acknowledged=tuple(str(name) for name in record["sees"]),
            max_descriptors=max(int(record["most"]), 0),
            listener_index=_listener_index(record),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def _listener_index(record: Record) -> int | None:
    """Return the index of the listener in the reuseport group; None if it is missing or impossible."""
    value = record.get("place")
    return None if value is None or not 0 <= int(value) < MAX_GROUP_LISTENERS else int(value)


def parse_maintenance_orders(record: Record) -> dict[str, MaintenanceOrder]:
    """Return the orders of a record by endpoint name, without unusable ones."""
    stored = record.get("said")
    if not isinstance(stored, dict):
        return {}
    orders = {}
    for name, order in list(stored.items())[: 2 * MAX_OUT_OF_SERVICE]:
        if not isinstance(order, list) or len(order) != ORDER_FIELD_COUNT:
            continue
        ordered_ns, out_of_service = order
        if isinstance(ordered_ns, int) and 0 <= ordered_ns < MAX_TIME_NS and isinstance(out_of_service, bool):
            orders[name] = MaintenanceOrder(ordered_ns, out_of_service)
    return orders


def orders_on_clock(record: Record, own: ClockReading) -> dict[str, MaintenanceOrder]:
    """Return the orders in the record of another process, with times on the clock of this one.

    Orders of another boot of the machine count as given before this boot, whatever their times are.

    Args:
        record: Record of the other process with its clock; without a clock (older versions) times stay.
        own: Present reading of the clock of this process.
    """
    shift_ns = shift_between_clocks(record, own)
    orders = {}
    for name, order in parse_maintenance_orders(record).items():
        before_boot_ns = min(order.ordered_ns, own.offset_ns)
        ordered_ns = before_boot_ns if shift_ns is None else order.ordered_ns + shift_ns
        orders[name] = replace(order, ordered_ns=min(max(ordered_ns, 0), MAX_TIME_NS - 1))
    return orders


def shift_between_clocks(record: object, own: ClockReading) -> int | None:
    """Return the shift in nanoseconds from the clock of another process to the clock of this one.

    Each process sets its clock by the wall clock at its start, and the wall clock may be stepped between two
    starts.

    Args:
        record: Record of the other process with its clock; without a clock (older versions) the shift is 0.
        own: Present reading of the clock of this process.

    Returns:
        The shift; None if the times are of another boot of the machine, and so have no meaning in this one.
    """
    if not isinstance(record, dict) or "clock" not in record:
        return 0
    clock = _parse_clock(nested_table(record, "clock"))
    if clock is None or clock.boot_id != own.boot_id or not 0 <= clock.monotonic_ns <= own.monotonic_ns:
        return None
    return own.offset_ns - clock.offset_ns


def _parse_clock(stored: Record) -> ClockReading | None:
    """Return the stored reading of a clock; None if it is unusable."""
    boot_id, monotonic_ns, offset_ns = stored.get("boot"), stored.get("monotonic_ns"), stored.get("offset_ns")
    if not isinstance(boot_id, str) or not isinstance(monotonic_ns, int) or not isinstance(offset_ns, int):
        return None
    return ClockReading(boot_id, monotonic_ns, offset_ns)
