"""What the balancer decides is what it decided: hashes of all actions, and a snapshot, of an earlier version.

`python -m benchmarks.replay --golden` plays the whole set; this file plays the part that fits a test run.
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

HERE = Path(__file__).parent
GOLDEN = json.loads((HERE / "golden_actions.json").read_text())
SEEDS = 2
SNAPSHOT = HERE / "golden_snapshot.json"
SNAPSHOT_EVENTS = 1_500
SNAPSHOT_WORLDS = [("tenants", 3), ("probing", 1), ("view", 5)]
ENDS = {status.name for status in Status}
NEVER_TAKEN = {"CloseIdle", "Fetch"}


@pytest.fixture(scope="module")
def played():
    return {
        f"{profile} {seed}": play(profile, seed, GOLDEN["events"])
        for profile in PROFILES
        for seed in range(SEEDS)
    }


def test_the_same_events_give_the_same_actions_and_random_draws(played):
    assert {name: digest for name, (digest, _, _) in played.items()} == {
        name: GOLDEN["worlds"][name] for name in played
    }


def test_every_kind_of_event_end_and_action_is_in_the_set(played):
    events = sum((counts for _, counts, _ in played.values()), Counter())
    actions = sum((counts for _, _, counts in played.values()), Counter())
    kinds = {name.split()[0] for name in events}
    assert kinds == {kind.__name__ for kind in Event.__args__}
    assert {name.split()[1] for name in events if name.startswith("Outcome")} == ENDS
    assert {name.split()[1] for name in events if name.startswith("EndpointListUpdate ")} == {
        k.name for k in ListKind
    }
    assert set(actions) == {kind.__name__ for kind in Action.__args__} - NEVER_TAKEN
    assert events["Request retry"]
    assert events["Request first"]


def world_with_names(profile, seed):
    """The world of a snapshot played to its end, and names for all its numbers."""
    world = DecisionWorld(profile, seed)
    world.play(SNAPSHOT_EVENTS)
    names = NameTable(list(ZONES), ["small", "large"])
    names.endpoints = {f"s{number}": number for number in world.speed}
    return world, names


def golden_snapshot(profile, seed):
    return json.loads(SNAPSHOT.read_text())[f"{profile} {seed}"]


ADDED_KEYS = {"servers": ("cold_room", "ramp_from")}  # which earlier versions neither write nor ask for


def as_text(values):
    """A snapshot as text, without the keys that have been added since."""
    servers = {
        name: {key: value for key, value in known.items() if key not in ADDED_KEYS["servers"]}
        for name, known in values["servers"].items()
    }
    return json.dumps({**values, "servers": servers}, indent=1)


@pytest.mark.parametrize(("profile", "seed"), SNAPSHOT_WORLDS)
def test_a_snapshot_has_the_keys_and_values_of_the_earlier_version(profile, seed):
    world, names = world_with_names(profile, seed)
    assert as_text(snapshot(world.balancer, names)) == as_text(golden_snapshot(profile, seed))


@pytest.mark.parametrize(("profile", "seed"), SNAPSHOT_WORLDS)
def test_a_snapshot_of_the_earlier_version_is_read_whole(profile, seed):
    world, names = world_with_names(profile, seed)
    fresh = DecisionWorld(profile, seed).balancer
    entries = [
        Endpoint(one.id, one.zone, one.kind, one.cell, State.READY, 1.0, one.started_ns)
        for one in world.balancer.endpoints.all.values()
    ]
    fresh.handle(world.now, EndpointListUpdate(ListKind.FULL, 1, entries))
    assert restore(fresh, names, golden_snapshot(profile, seed))
    assert as_text(snapshot(fresh, names)) == as_text(golden_snapshot(profile, seed))
