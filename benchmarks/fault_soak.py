"""Seeded soak of real processes with slow, stuck and greedy peers.

`python -m benchmarks.fault_soak [--seeds FIRST-LAST] [--crowd KIND] [--memory MB] [--tree TREE]`: a line for
each seed and each broken rule.
"""

from __future__ import annotations

import argparse
from collections import Counter
from dataclasses import replace
from pathlib import Path

import uvloop

from standins.soak.clients import CROWDS
from standins.soak.platform import ROOT
from standins.soak.run import SoakResult, SoakRun, draw_scenario


def format_result(result: SoakResult) -> str:
    """Return the line of one seed."""
    scenario = result.scenario
    rules = Counter(violation.rule for violation in result.violations)
    return (
        f"seed {scenario.seed}: crowd {scenario.crowd or '-'}, {scenario.memory_mb} MB, "
        f"{'upgrade' if scenario.upgrade else 'one process'}, reloads {scenario.reloads}: "
        f"{result.served} of {result.requests} served, peak {result.peak_mb:.1f} MB, "
        f"rig late {result.lag_s:.2f} s{'' if result.valid else ' (not valid)'}, broken {dict(rules)}"
    )


def main() -> None:
    """Parse the command line, and play the seeds one after another."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed")
    parser.add_argument("--crowd", choices=[*CROWDS, "none"])
    parser.add_argument("--memory", type=int, help="memory limit in MB instead of the seed's")
    parser.add_argument("--upgrade", choices=["yes", "no"])
    parser.add_argument("--no-long", action="store_true", help="no long messages beside the crowd")
    parser.add_argument("--tree", type=Path, default=ROOT, help="checkout whose program is run")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        scenario = draw_scenario(seed)
        if arguments.crowd:
            scenario = replace(scenario, crowd="" if arguments.crowd == "none" else arguments.crowd)
        if arguments.memory:
            scenario = replace(scenario, memory_mb=arguments.memory)
        if arguments.upgrade:
            scenario = replace(scenario, upgrade=arguments.upgrade == "yes")
        if arguments.no_long:
            scenario = replace(scenario, long_messages=False)
        result = uvloop.run(SoakRun(scenario, arguments.tree).play())
        print(format_result(result), flush=True)
        for violation in result.violations:
            print(f"    {violation.text}", flush=True)


if __name__ == "__main__":
    main()
