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


def test_names_of_records_stay_and_the_heartbeat_is_removed_last():
    names = [kind.of_process("1-a") for kind in RecordKind]
    assert names == ["state-1-a", "list-1-a", "maintenance-1-a", "sign-1-a"]


def test_a_heartbeat_is_stored_under_its_keys_whatever_its_attributes_are_called():
    heartbeat = ProcessHeartbeat("a", 1, 2, HotRestartState.TAKING, ("a", "b"), 96, 0)
    assert heartbeat_record(heartbeat, {"s": MaintenanceOrder(3, True)}) == {
        "name": "a", "born_ns": 1, "beat_ns": 2, "state": "taking", "sees": ["a", "b"], "most": 96,
        "place": 0, "said": {"s": [3, True]},
    }  # fmt: skip


@pytest.mark.parametrize("fields", [BALANCER_FIELDS, CLASS_FIELDS, ENDPOINT_FIELDS, GROUP_FIELDS])
def test_no_two_values_of_a_snapshot_have_one_key(fields):
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
    ids=["same boot", "other boot", "a time to come", "text", "no table"],
)
def test_the_shift_between_two_clocks(clock, shift_ns):
    assert shift_between_clocks({"clock": clock}, OWN) == shift_ns
    assert shift_between_clocks({}, OWN) == 0  # an older version leaves no clock
