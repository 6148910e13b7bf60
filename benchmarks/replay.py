"""Comparison of the balancer's decisions with those of another version.

`python -m benchmarks.replay TREE`: both balancers get every event of simulated worlds, at the same times
and with the same seeds, and their actions for each event are compared. The worlds execute the actions of this
tree's balancer. Settings and event types are this tree's, so a change of the inputs shows as an error of the
other balancer.

`python -m benchmarks.replay --golden`: over 10^5 events of the worlds of `standins.decision_world`, whose
hashes of all actions and of the final random state are stored in `tests/balancer/golden_actions.json`.
`--write` stores new hashes, after an intended change of decisions.

`python -m benchmarks.replay TREE --cost`: CPU time of `handle` for the events of these worlds, in turns.
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

from . import ROOT, BalancerFactory, import_balancer

WORLD_S = 8.0
MAX_SHOWN_DIFFERENCES = 8
MAX_DIFFERENCES_PER_WORLD = 3
GOLDEN = ROOT / "tests" / "balancer" / "golden_actions.json"
GOLDEN_SEEDS = 10
GOLDEN_EVENTS = 1_500  # per world
COST_SEEDS = 2
COST_ROUNDS = 15
# A snapshot for a newer process is restored by this tree's balancer alone, so the two differ after it.
COMPARED_WORLDS = [world for world in WORLDS if world != "upgrade"]


def comparing_balancer(
    other_type: BalancerFactory, counts: Counter[str], differences: list[str]
) -> type[Balancer]:
    """Return a class that acts as this tree's balancer and compares its actions with the other's.

    Args:
        other_type: Balancer class of the other tree.
        counts: Counts of events by the name of their type, which are updated.
        differences: First differences, one line each, to which new ones are appended.
    """

    class ComparingBalancer(Balancer):
        def __init__(self, settings: Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.other = other_type(settings, seed)

        def handle(self, now_ns: int, event: Event) -> list[Action]:
            actions = super().handle(now_ns, event)
            other_actions = self.other.handle(now_ns, event)
            counts[type(event).__name__] += 1
            if actions != other_actions and len(differences) < MAX_DIFFERENCES_PER_WORLD:
                differences.append(f"{event} at {now_ns}: {actions} here, {other_actions} there")
            return actions

    return ComparingBalancer


def play(tree: Path, world: str, seed: int) -> tuple[Counter[str], list[str]]:
    """Play one world with both balancers; return the event counts by type and the first differences."""
    counts: Counter[str] = Counter()
    differences: list[str] = []
    balancer_type = comparing_balancer(import_balancer(tree, "other"), counts, differences)
    with mock.patch.object(pool, "Balancer", balancer_type):
        play_seed(world, seed, WORLD_S)
    return counts, differences


def check_golden(write: bool) -> int:
    """Compare the hash of each world with the stored one, or store new ones; return 1 if any differs."""
    events: Counter[str] = Counter()
    digests: dict[str, str] = {}
    jobs = decision_world.scenarios(range(GOLDEN_SEEDS))
    with ProcessPoolExecutor(2) as executor:
        results = executor.map(decision_world.play, *zip(*jobs, strict=True), [GOLDEN_EVENTS] * len(jobs))
        for (profile, seed), (digest, counts, _) in zip(jobs, results, strict=True):
            digests[f"{profile} {seed}"] = digest
            events += counts
    print(f"{events.total():,} events of {len(jobs)} worlds: {dict(events)}")
    if write:
        GOLDEN.write_text(json.dumps({"events": GOLDEN_EVENTS, "worlds": digests}, indent=1) + "\n")
        return 0
    stored = json.loads(GOLDEN.read_text())["worlds"]
    differ = [name for name in stored if digests.get(name) != stored[name]]
    print(f"differ: {differ}" if differ else "the same actions and random states")
    return 1 if differ else 0


@dataclass(frozen=True, slots=True)
class Recording:
    """Inputs of the balancer of a world: settings, seed, and each event with its time in ns."""

    settings: Settings
    seed: int
    events: list[tuple[int, Event]]

    def replay_s(self, balancer_type: BalancerFactory) -> float:
        """Return the CPU seconds that a new balancer needs for all events."""
        handle = balancer_type(self.settings, self.seed).handle
        began_s = time.process_time()
        for now_ns, event in self.events:
            handle(now_ns, event)
        return time.process_time() - began_s


def record(profile: str, seed: int) -> Recording:
    """Play a world of `standins.decision_world`, and return the recording of its events."""
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
    """Print the CPU time of `handle` in this tree relative to the other one, over all worlds per round."""
    worlds = [record(profile, seed) for profile, seed in decision_world.scenarios(range(COST_SEEDS))]
    count = sum(len(world.events) for world in worlds)
    types: dict[str, BalancerFactory] = {"here": Balancer, "there": import_balancer(tree, "other")}
    ratios = []
    for number in range(COST_ROUNDS):
        cpu_s = dict.fromkeys(types, 0.0)
        for index, world in enumerate(worlds):
            # The order alternates by world and round, so that warm caches favour neither.
            for name in sorted(types, reverse=bool((index + number) % 2)):
                cpu_s[name] += world.replay_s(types[name])
        ratios.append(cpu_s["here"] / cpu_s["there"])
        per_event = {name: f"{seconds / count * 1e6:.2f} us" for name, seconds in cpu_s.items()}
        print(f"round {number}: {per_event} an event, ratio {ratios[-1]:.3f}", flush=True)
    print(f"{count:,} events a round, median ratio {statistics.median(ratios):.3f}")


def main() -> int:
    """Parse the command line and run the comparison; return 1 if anything differs."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("tree", type=Path, nargs="?", help="root of the other source tree")
    parser.add_argument("--golden", action="store_true", help="compare with the stored hashes")
    parser.add_argument("--write", action="store_true", help="store new hashes")
    parser.add_argument("--cost", action="store_true", help="measure CPU time in turns")
    parser.add_argument("--seeds", type=int, default=8, help="seeds per world")
    parser.add_argument("--worlds", nargs="+", choices=COMPARED_WORLDS, default=COMPARED_WORLDS)
    options = parser.parse_args()
    if options.golden:
        return check_golden(options.write)
    if options.tree is None:
        parser.error("TREE or --golden is needed")
    if options.cost:
        cost(options.tree)
        return 0
    return compare(options.tree, options.worlds, options.seeds)


def compare(tree: Path, worlds: list[str], seeds: int) -> int:
    """Play simulated worlds with both balancers; return 1 if any action differs."""
    jobs = [(tree, world, seed) for world in worlds for seed in range(seeds)]
    counts: Counter[str] = Counter()
    differences: list[str] = []
    with ProcessPoolExecutor() as executor:
        results = executor.map(play, *zip(*jobs, strict=True))
        for (_, world, seed), (world_counts, world_differences) in zip(jobs, results, strict=True):
            counts += world_counts
            differences += [f"{world} {seed}: {line}" for line in world_differences]
    print(f"{counts.total():,} events of {len(jobs)} worlds: {dict(counts)}")
    for line in differences[:MAX_SHOWN_DIFFERENCES]:
        print(line)
    print("the same actions" if not differences else f"{len(differences)} differences and more")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
