"""The records in the state directory: their types and stored keys. No I/O.

Kinds, as the prefix of a record's name; the name of the process that wrote it follows:

    sign-          `ProcessHeartbeat`; beside it maintenance orders, their clock, versions of endpoint lists
    maintenance-   maintenance orders, synced to the disk, and the clock that their times are on
    list-          endpoint lists by pool
    state-         balancer snapshots by pool, and the clock (`ClockReading`) that their times are on

Stored keys are an interface to older and newer versions of the program: they are written out here and do not
follow the names of attributes. A parser never raises: whatever another program, another version or a full
disk left that can't be used counts as not there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from ..net.service.maintenance import MAX_OUT_OF_SERVICE, MaintenanceOrder
from .hot_restart_state import HotRestartState, ProcessHeartbeat

MAX_GROUP_LISTENERS = 65_536  # listeners of one reuseport group: more than there are descriptors for
MAX_TIME_NS = 2**63  # exclusive bound of a time that a record may name
ORDER_FIELDS = 2  # of a stored maintenance order: its time, and whether the endpoint is out

Record = Mapping[str, Any]  # a record as the state directory reads and writes it


class RecordKind(Enum):
    """Kinds of records, in the order in which they are removed.

    The heartbeat goes last: without it nobody would know that the others are still to be removed.
    """

    SNAPSHOT = "state"
    ENDPOINT_LISTS = "list"
    MAINTENANCE = "maintenance"
    HEARTBEAT = "sign"

    @property
    def prefix(self) -> str:
        """How the names of records of this kind begin."""
        return f"{self.value}-"

    def of_process(self, process: str) -> str:
        """Return the name of a process's record of this kind."""
        return self.prefix + process


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The clock that stored times are on, by the monotonic clock that all processes here share.

    Attributes:
        boot_id: tells this boot of the machine from any other; empty if nothing does.
        monotonic_ns: when the clock was read.
        offset_ns: what the process's clock adds to the monotonic one.
    """

    boot_id: str
    monotonic_ns: int
    offset_ns: int

    def to_record(self) -> dict[str, Any]:
        """Return the stored form; `shift_between_clocks` reads it."""
        return {"boot": self.boot_id, "monotonic_ns": self.monotonic_ns, "offset_ns": self.offset_ns}


def nested_table(record: object, key: str) -> dict[str, Any]:
    """Return a table inside of a record; empty if there is none."""
    inner = record.get(key) if isinstance(record, dict) else None
    return inner if isinstance(inner, dict) else {}


def list_version(value: object) -> int:
    """Return the version of an endpoint list that a heartbeat names; -1 if it is none."""
    return value if isinstance(value, int) else -1


def heartbeat_record(heartbeat: ProcessHeartbeat, orders: Mapping[str, MaintenanceOrder]) -> dict[str, Any]:
    """Return the stored form of a heartbeat; `parse_heartbeat` and `parse_maintenance_orders` read it."""
    return {
        "name": heartbeat.name,
        "born_ns": heartbeat.born_ns,
        "beat_ns": heartbeat.beat_ns,
        "state": heartbeat.state.value,
        "sees": list(heartbeat.acknowledged),
        "most": heartbeat.max_descriptors,
        "place": heartbeat.listener_index,
        **maintenance_record(orders),
    }


def maintenance_record(orders: Mapping[str, MaintenanceOrder]) -> dict[str, Any]:
    """Return the stored form of maintenance orders; `parse_maintenance_orders` reads it."""
    return {"said": {name: [order.ordered_ns, order.out] for name, order in orders.items()}}


def parse_heartbeat(record: Record) -> ProcessHeartbeat | None:
    """Return the heartbeat that a record holds; None if it holds none."""
    try:
        return ProcessHeartbeat(
            name=str(record["name"]),
            born_ns=int(record["born_ns"]),
            beat_ns=int(record["beat_ns"]),
            state=HotRestartState(record["state"]),
            acknowledged=tuple(str(name) for name in record["sees"]),
            max_descriptors=max(int(record["most"]), 0),
            listener_index=_listener_index(record),
        )
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def _listener_index(record: Record) -> int | None:
    """Return the listener's index in the reuseport group; None for none, or for one that can't be."""
    value = record.get("place")
    return None if value is None or not 0 <= int(value) < MAX_GROUP_LISTENERS else int(value)


def parse_maintenance_orders(record: Record) -> dict[str, MaintenanceOrder]:
    """Return the orders that a record holds, by endpoint name; those that can't be read are left out."""
    stored = record.get("said")
    if not isinstance(stored, dict):
        return {}
    orders = {}
    for name, order in list(stored.items())[: 2 * MAX_OUT_OF_SERVICE]:
        if not isinstance(order, list) or len(order) != ORDER_FIELDS:
            continue
        ordered_ns, out = order
        if isinstance(ordered_ns, int) and 0 <= ordered_ns < MAX_TIME_NS and isinstance(out, bool):
            orders[name] = MaintenanceOrder(ordered_ns, out)
    return orders


def orders_on_clock(record: Record, own: ClockReading) -> dict[str, MaintenanceOrder]:
    """Return the orders that a record of another process holds, their times on the clock of this one.

    Those of another boot of the machine were given before this boot, whatever the wall clock said then.

    Args:
        record: with the clock of its writer; where there is none (an older version), no time is moved.
        own: the clock of this process, now.
    """
    shift_ns = shift_between_clocks(record, own)
    orders = {}
    for name, order in parse_maintenance_orders(record).items():
        before_boot_ns = min(order.ordered_ns, own.offset_ns)
        ordered_ns = before_boot_ns if shift_ns is None else order.ordered_ns + shift_ns
        orders[name] = replace(order, ordered_ns=min(max(ordered_ns, 0), MAX_TIME_NS - 1))
    return orders


def shift_between_clocks(record: object, own: ClockReading) -> int | None:
    """Return what moves times of another process to the clock of this one, in nanoseconds.

    Each process anchors its clock to the wall clock as it starts, and that may be stepped between two starts.

    Args:
        record: what the other process left; an older version leaves no clock, and nothing is moved.
        own: the clock of this process, now.

    Returns:
        The shift; None if the times are of another boot of the machine, and mean nothing here.
    """
    if not isinstance(record, dict) or "clock" not in record:
        return 0
    clock = nested_table(record, "clock")
    monotonic_ns, offset_ns = clock.get("monotonic_ns"), clock.get("offset_ns")
    if not isinstance(monotonic_ns, int) or not isinstance(offset_ns, int):
        return None
    if clock.get("boot") != own.boot_id or not 0 <= monotonic_ns <= own.monotonic_ns:
        return None
    return own.offset_ns - offset_ns
