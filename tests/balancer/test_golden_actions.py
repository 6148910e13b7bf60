"""Regression tests of all decisions: actions and snapshots are compared with those of an earlier version.

The actions are compared by their hashes. `python -m benchmarks.replay --golden` plays the complete set; this
file plays the part that is fast enough for a test run.
"""

import json
from collections import Counter
from pathlib import Path

import pytest

from dykefold.balancer.actions import Action
from dykefold.balancer.events import Endpoint, EndpointListUpdate, Event, ListKind, State, Status
from dykefold.control.balancer_snapshot import restore, snapshot
from dykefold.net.discovery.codec import NameTable
from standins.decision_world import PROFILES, ZONES, DecisionWorld, play

FOLDER = Path(__file__).parent
GOLDEN = json.loads((FOLDER / "golden_actions.json").read_text())
SEEDS = 2
SNAPSHOT_PATH = FOLDER / "golden_snapshot.json"
SNAPSHOT_EVENTS = 1_500
SNAPSHOT_WORLDS = [("tenants", 3), ("probing", 1), ("view", 5)]
STATUS_NAMES = {status.name for status in Status}
UNUSED_ACTIONS = {"CloseIdle", "Fetch"}


@pytest.fixture(scope="module")
def results():
    return {
        f"{profile} {seed}": play(profile, seed, GOLDEN["events"])
        for profile in PROFILES
        for seed in range(SEEDS)
    }


def test_actions_and_random_draws_match_golden_hashes(results):
    assert {name: digest for name, (digest, _, _) in results.items()} == {
        name: GOLDEN["worlds"][name] for name in results
    }


def test_golden_worlds_cover_all_events_statuses_and_actions(results):
    events = sum((counts for _, counts, _ in results.values()), Counter())
    actions = sum((counts for _, _, counts in results.values()), Counter())
    kinds = {name.split()[0] for name in events}
    assert kinds == {kind.__name__ for kind in Event.__args__}
    assert {name.split()[1] for name in events if name.startswith("Outcome")} == STATUS_NAMES
    assert {name.split()[1] for name in events if name.startswith("EndpointListUpdate ")} == {
        kind.name for kind in ListKind
    }
    assert set(actions) == {kind.__name__ for kind in Action.__args__} - UNUSED_ACTIONS
    assert events["Request retry"]
    assert events["Request first"]


def world_with_names(profile, seed):
    """Return a world after its events have been played, and names for all of its numbers."""
    world = DecisionWorld(profile, seed)
    world.play(SNAPSHOT_EVENTS)
    names = NameTable(list(ZONES), ["small", "large"])
    names.endpoints = {f"s{number}": number for number in world.speed}
    return world, names


def golden_snapshot(profile, seed):
    return json.loads(SNAPSHOT_PATH.read_text())[f"{profile} {seed}"]


ADDED_KEYS = {"servers": ("cold_room", "ramp_from")}  # earlier versions neither write nor read them


def as_text(values):
    """Return a snapshot as text, without the keys that have been added since the earlier version."""
    servers = {
        name: {key: value for key, value in stored.items() if key not in ADDED_KEYS["servers"]}
        for name, stored in values["servers"].items()
    }
    return json.dumps({**values, "servers": servers}, indent=1)


@pytest.mark.parametrize(("profile", "seed"), SNAPSHOT_WORLDS)
def test_snapshot_matches_snapshot_of_earlier_version(profile, seed):
    world, names = world_with_names(profile, seed)
    assert as_text(snapshot(world.balancer, names)) == as_text(golden_snapshot(profile, seed))


@pytest.mark.parametrize(("profile", "seed"), SNAPSHOT_WORLDS)
def test_snapshot_of_earlier_version_is_restored_completely(profile, seed):
    world, names = world_with_names(profile, seed)
    restored = DecisionWorld(profile, seed).balancer
    entries = [
        Endpoint(
            endpoint.id, endpoint.zone, endpoint.kind, endpoint.cell, State.READY, 1.0, endpoint.started_ns
        )
        for endpoint in world.balancer.endpoints.all.values()
    ]
    restored.handle(world.now, EndpointListUpdate(ListKind.FULL, 1, entries))
    assert restore(restored, names, golden_snapshot(profile, seed))
    assert as_text(snapshot(restored, names)) == as_text(golden_snapshot(profile, seed))
