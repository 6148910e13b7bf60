"""Whether the balancer decides as another one did.

`python -m benchmarks.replay TREE`: both balancers get every event of simulated worlds, at the same times
and with the same seeds, and the actions of each event are compared. The worlds go on by the actions of this
tree's balancer. Settings and the types of events are this tree's: a change of what goes in shows as an error
of the other balancer.

`python -m benchmarks.replay --golden`: 10^5 events and more of the worlds of `standins.decision_world`, whose
hashes of all actions and of the random state at the end stand in `tests/balancer/golden_actions.json`.
`--write` takes new ones, after a change of what is decided that was meant.

`python -m benchmarks.replay TREE --cost`: processor time of `handle` for events of these worlds, in turns.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from dykefold import Balancer
from dykefold.balancer.actions import Action
from dykefold.balancer.events import Event
from dykefold.balancer.settings import Settings
from dykefold.net.service import pool
from dykefold.sim.run import play_seed
from dykefold.sim.schedule import WORLDS
from standins import decision_world

from . import ROOT, BalancerFactory, balancer_of

WORLD_S = 8.0
SHOWN = 8  # differences
SHOWN_OF_A_WORLD = 3
GOLDEN = ROOT / "tests" / "balancer" / "golden_actions.json"
GOLDEN_SEEDS = 10
GOLDEN_EVENTS = 1_500  # of each world
COST_SEEDS = 2
COST_ROUNDS = 15
# A snapshot that a newer process begins with reaches this tree's balancer alone, so the two differ after it.
COMPARED_WORLDS = [world for world in WORLDS if world != "upgrade"]


def compared(other_type: BalancerFactory, counts: Counter[str], differences: list[str]) -> type[Balancer]:
    """A class that decides as this tree's balancer and compares each decision with the other's.

    Args:
        other_type: Balancer class of the other tree.
        counts: Counter of the events, by name of their type; it is filled.
        differences: List of the first differences, one line each; it is filled.
    """

    class Compared(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.other = other_type(settings, seed)

        def handle(self, now_ns: int, event: Event) -> list[Action]:
            actions = super().handle(now_ns, event)
            theirs = self.other.handle(now_ns, event)
            counts[type(event).__name__] += 1
            if actions != theirs and len(differences) < SHOWN_OF_A_WORLD:
                differences.append(f"{event} at {now_ns}: {actions} here, {theirs} there")
            return actions

    return Compared


def play(tree: Path, world: str, seed: int) -> tuple[Counter[str], list[str]]:
    """Play one world with both balancers: events by kind, and the first differences."""
    counts: Counter[str] = Counter()
    differences: list[str] = []
    balancer_type = compared(balancer_of(tree, "other"), counts, differences)
    with mock.patch.object(pool, "Balancer", balancer_type):
        play_seed(world, seed, WORLD_S)
    return counts, differences


def golden(write: bool) -> int:
    """Hold the hash of each world against the one on record, or write new ones; 1 if any differs."""
    events: Counter[str] = Counter()
    found: dict[str, str] = {}
    jobs = decision_world.scenarios(range(GOLDEN_SEEDS))
    with ProcessPoolExecutor(2) as executor:
        results = executor.map(decision_world.play, *zip(*jobs, strict=True), [GOLDEN_EVENTS] * len(jobs))
        for (profile, seed), (digest, counts, _) in zip(jobs, results, strict=True):
            found[f"{profile} {seed}"] = digest
            events += counts
    print(f"{events.total():,} events of {len(jobs)} worlds: {dict(events)}")
    if write:
        GOLDEN.write_text(json.dumps({"events": GOLDEN_EVENTS, "worlds": found}, indent=1) + "\n")
        return 0
    known = json.loads(GOLDEN.read_text())["worlds"]
    differ = [name for name in known if found.get(name) != known[name]]
    print(f"differ: {differ}" if differ else "the same actions and random states")
    return 1 if differ else 0


@dataclass(frozen=True, slots=True)
class Recording:
    """What a world fed its balancer: the settings and seed, and each event with its time in ns."""

    settings: Settings
    seed: int
    events: list[tuple[int, Event]]

    def replay_s(self, balancer_type: BalancerFactory) -> float:
        """The processor seconds that a new balancer takes for all events."""
        handle = balancer_type(self.settings, self.seed).handle
        began_s = time.process_time()
        for now_ns, event in self.events:
            handle(now_ns, event)
        return time.process_time() - began_s


def recorded(profile: str, seed: int) -> Recording:
    """Play a world of `standins.decision_world` and record its events."""
    events: list[tuple[int, Event]] = []

    class Recorder(Balancer):
        def handle(self, now_ns: int, event: Event) -> list[Action]:
            events.append((now_ns, event))
            return super().handle(now_ns, event)

    world = decision_world.DecisionWorld(profile, seed, Recorder)
    settings = world.config
    world.play(GOLDEN_EVENTS)
    return Recording(settings, seed, events)


def cost(tree: Path) -> None:
    """Print the processor time of `handle` here against the other tree's, over all worlds in each round."""
    worlds = [recorded(profile, seed) for profile, seed in decision_world.scenarios(range(COST_SEEDS))]
    count = sum(len(world.events) for world in worlds)
    types: dict[str, BalancerFactory] = {"here": Balancer, "there": balancer_of(tree, "other")}
    ratios = []
    for number in range(COST_ROUNDS):
        took_s = dict.fromkeys(types, 0.0)
        for index, world in enumerate(worlds):
            # Which goes first changes with each world and round, lest warm caches favour one.
            for name in sorted(types, reverse=bool((index + number) % 2)):
                took_s[name] += world.replay_s(types[name])
        ratios.append(took_s["here"] / took_s["there"])
        each = {name: f"{seconds / count * 1e6:.2f} us" for name, seconds in took_s.items()}
        print(f"round {number}: {each} an event, ratio {ratios[-1]:.3f}", flush=True)
    print(f"{count:,} events a round, median ratio {statistics.median(ratios):.3f}")


def main() -> int:
    """Read the command line and play; 1 if anything differs."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("tree", type=Path, nargs="?", help="the root of the other source tree")
    parser.add_argument("--golden", action="store_true", help="against the hashes on record")
    parser.add_argument("--write", action="store_true", help="put new hashes on record")
    parser.add_argument("--cost", action="store_true", help="processor time in turns")
    parser.add_argument("--seeds", type=int, default=8, help="of each world")
    parser.add_argument("--worlds", nargs="+", choices=COMPARED_WORLDS, default=COMPARED_WORLDS)
    options = parser.parse_args()
    if options.golden:
        return golden(options.write)
    if options.tree is None:
        parser.error("TREE or --golden is needed")
    if options.cost:
        cost(options.tree)
        return 0
    return compare(options.tree, options.worlds, options.seeds)


def compare(tree: Path, worlds: list[str], seeds: int) -> int:
    """Play simulated worlds with both balancers; 1 if any action differs."""
    jobs = [(tree, world, seed) for world in worlds for seed in range(seeds)]
    counts: Counter[str] = Counter()
    differences: list[str] = []
    with ProcessPoolExecutor() as executor:
        results = executor.map(play, *zip(*jobs, strict=True))
        for (_, world, seed), (played, found) in zip(jobs, results, strict=True):
            counts += played
            differences += [f"{world} {seed}: {line}" for line in found]
    print(f"{counts.total():,} events of {len(jobs)} worlds: {dict(counts)}")
    for line in differences[:SHOWN]:
        print(line)
    print("the same actions" if not differences else f"{len(differences)} differences and more")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
