"""Data formats are the same as before the modules were renamed: see `forms.py`."""

import json
from pathlib import Path

import pytest

from dykefold.control.balancer_snapshot import restore, snapshot
from dykefold.control.hot_restart_state import HotRestartState
from dykefold.control.process_records import parse_heartbeat, parse_maintenance_orders
from golden import forms

GOLDEN = json.loads((Path(__file__).parent / "forms.json").read_text())
ADDITIONS_ALLOWED = {"state directory"}  # older processes ignore unknown keys


def without_added_keys(now, golden):
    """Return a form without the keys that the golden form does not have."""
    if isinstance(now, dict) and isinstance(golden, dict):
        return {key: without_added_keys(value, golden[key]) for key, value in now.items() if key in golden}
    return now


def test_every_family_of_forms_is_compared():
    assert sorted(GOLDEN) == sorted(forms.FAMILIES)


@pytest.mark.parametrize("family", sorted(GOLDEN))
def test_form_is_unchanged(family):
    now = json.loads(json.dumps(forms.FAMILIES[family]()))
    if family in ADDITIONS_ALLOWED:
        now = without_added_keys(now, GOLDEN[family])
    assert now == GOLDEN[family]


def test_records_of_an_older_version_are_read():
    """Heartbeats, orders, endpoint lists and snapshots in the folder of an older version are read."""
    records = {name.split("/")[1].split("-")[0]: record for name, record in GOLDEN["state directory"].items()
            if name.endswith(".json")}  # fmt: skip
    heartbeat = parse_heartbeat(records["sign"])
    assert (heartbeat.name, heartbeat.state, heartbeat.acknowledged, heartbeat.listener_index) == (
        forms.HEARTBEAT_FIELDS["name"],
        HotRestartState.SHARING,
        ("a", "b"),
        1,
    )
    assert {
        name: order.out_of_service for name, order in parse_maintenance_orders(records["sign"]).items()
    } == {
        "s-1": True,
        "s-2": False,
    }
    names = forms.NameTable(["a", "b"], ["std"])
    entries = forms.parse_endpoint_update(records["list"]["pools"][""], names).entries
    assert [entry.name for entry in entries] == ["s0", "s1", "s2"]
    balancer, _ = forms.helpers.make_balancer(endpoints=[listed.endpoint for listed in entries])
    assert restore(balancer, names, records["state"]["pools"][""])
    restored = snapshot(balancer, names)
    assert (
        without_added_keys(restored["servers"], records["state"]["pools"][""]["servers"])
        == records["state"]["pools"][""]["servers"]
    )
