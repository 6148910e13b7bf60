"""What others read or write stays as it was before the modules were renamed: see `forms.py`."""

import json
from pathlib import Path

import pytest

from dykefold.control.balancer_snapshot import restore, snapshot
from dykefold.control.hot_restart_state import HotRestartState
from dykefold.control.process_records import parse_heartbeat, parse_maintenance_orders
from golden import forms

GOLDEN = json.loads((Path(__file__).parent / "forms.json").read_text())
ADDITIONS_ALLOWED = {"state directory"}  # older processes ignore keys that they do not know


def kept(now, golden):
    """What of a form stands in the golden one too: keys that were added are left out."""
    if isinstance(now, dict) and isinstance(golden, dict):
        return {key: kept(value, golden[key]) for key, value in now.items() if key in golden}
    return now


def test_every_family_of_forms_is_looked_at():
    assert sorted(GOLDEN) == sorted(forms.FAMILIES)


@pytest.mark.parametrize("family", sorted(GOLDEN))
def test_a_form_is_as_it_was(family):
    now = json.loads(json.dumps(forms.FAMILIES[family]()))
    if family in ADDITIONS_ALLOWED:
        now = kept(now, GOLDEN[family])
    assert now == GOLDEN[family]


def test_what_the_older_version_left_is_read():
    """Signs, calls on servers, lists and estimates that stand in a folder from before."""
    left = {name.split("/")[1].split("-")[0]: word for name, word in GOLDEN["state directory"].items()
            if name.endswith(".json")}  # fmt: skip
    sign = parse_heartbeat(left["sign"])
    assert (sign.name, sign.state, sign.acknowledged, sign.listener_index) == (
        forms.SIGN["name"],
        HotRestartState.SHARING,
        ("a", "b"),
        1,
    )
    assert {name: one.out_of_service for name, one in parse_maintenance_orders(left["sign"]).items()} == {
        "s-1": True,
        "s-2": False,
    }
    names = forms.NameTable(["a", "b"], ["std"])
    entries = forms.parse_endpoint_update(left["list"]["pools"][""], names).entries
    assert [entry.name for entry in entries] == ["s0", "s1", "s2"]
    balancer, _ = forms.helpers.make_balancer(endpoints=[listed.endpoint for listed in entries])
    assert restore(balancer, names, left["state"]["pools"][""])
    again = snapshot(balancer, names)
    assert (
        kept(again["servers"], left["state"]["pools"][""]["servers"]) == left["state"]["pools"][""]["servers"]
    )
