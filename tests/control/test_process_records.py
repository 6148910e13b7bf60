"""Stored keys and names of records, and clocks of two processes."""

import pytest

from dykefold.control.balancer_snapshot import (
    BALANCER_FIELDS,
    CLASS_FIELDS,
    ENDPOINT_FIELDS,
    GROUP_FIELDS,
)
from dykefold.control.hot_restart_state import HotRestartState, ProcessHeartbeat
from dykefold.control.process_records import ClockReading, RecordKind, heartbeat_record, shift_between_clocks
from dykefold.net.service.maintenance import MaintenanceOrder

OWN = ClockReading("boot", 100, 7)


def test_record_names_are_stable_and_heartbeat_is_removed_last():
    names = [kind.of_process("1-a") for kind in RecordKind]
    assert names == ["state-1-a", "list-1-a", "maintenance-1-a", "sign-1-a"]


def test_heartbeat_has_stable_stored_keys():
    heartbeat = ProcessHeartbeat("a", 1, 2, HotRestartState.LEADING, ("a", "b"), 96, 0)
    assert heartbeat_record(heartbeat, {"s": MaintenanceOrder(3, True)}) == {
        "name": "a", "born_ns": 1, "beat_ns": 2, "state": "taking", "sees": ["a", "b"], "most": 96,
        "place": 0, "said": {"s": [3, True]},
    }  # fmt: skip


@pytest.mark.parametrize("fields", [BALANCER_FIELDS, CLASS_FIELDS, ENDPOINT_FIELDS, GROUP_FIELDS])
def test_snapshot_keys_are_unique(fields):
    assert len({field.key for field in fields}) == len(fields)


@pytest.mark.parametrize(
    ("clock", "shift_ns"),
    [
        (ClockReading("boot", 90, 5).to_record(), 2),
        (ClockReading("other boot", 90, 5).to_record(), None),
        (ClockReading("boot", 101, 5).to_record(), None),
        ({"boot": "boot", "monotonic_ns": "90", "offset_ns": 5}, None),
        ([], None),
    ],
    ids=["same boot", "other boot", "future reading", "text instead of number", "no table"],
)
def test_clock_shift_is_offset_difference_within_one_boot(clock, shift_ns):
    assert shift_between_clocks({"clock": clock}, OWN) == shift_ns
    assert shift_between_clocks({}, OWN) == 0  # a record of an older version has no clock
