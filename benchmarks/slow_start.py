"""Slow start over the fleet: what servers that start counted, against the budget that the settings give.

`python -m benchmarks.slow_start [MEMBERS ...] [--only PLAY ...] [--seeds N]`: real processes, real sockets, a
line for each play. `all` is the worst span of a server in slow start against its budget (N + 2 sqrt(N) + 2
calls, N under 30: N + 3 sqrt(N) + 3), `told` the worst of which over two thirds came from sidecars that were
notified of the start; over 1 is a fall, in `told` a broken rule. Behind them: the calls of that span, the
sidecars that sent them, calls that were their sidecar's first to the server, further attempts, and the most
of one sidecar. `short` is the same over half a second and against once of what the server can do: no rule.
"""

from __future__ import annotations

import argparse
import sys
from typing import Any

import uvloop

from dykefold.lab.fleet.judge import SlowStartLoad
from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.run import play
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

MEMBERS = (1, 2, 5, 20, 30, 60)
RATE = 450.0  # requests a second to all members together, of the 750 that six warm servers can do ...
RATE_EACH = 60.0  # ... and no more than that to each
SPAN_S = 10.0
DOWN_S, BACK_S = 2.0, 3.0
ZONE = FaultTable("servers", at_s=DOWN_S, for_s=BACK_S - DOWN_S, of="zone:a")  # two of six
TOGETHER = FaultTable("servers", at_s=DOWN_S, for_s=BACK_S - DOWN_S, share=0.5)  # three, one in each zone
BURST = FaultTable("burst", at_s=BACK_S, for_s=3.0, load=1.5)
RESETS = FaultTable("resets", at_s=BACK_S, for_s=5.0, of="zone:b", share=0.4)
# Of what six warm servers can do, each can do 1 / 25 at its start, or less in step with the traffic: with the
# whole rate 30 requests are allowed over the usual 2 s then, 10 over the tight second.
COLD_SHARE, WARM_S = 0.04, 30.0
TIGHT: dict[str, Any] = {"fall_multiple": 2.0, "fall_s": 1.0}
# Faults, and options of the fleet's table.
PLAYS: dict[str, tuple[list[FaultTable], dict[str, Any]]] = {
    "one zone's servers": ([ZONE], {}),
    "burst": ([ZONE, BURST], {}),
    "several together": ([TOGETHER, BURST], {}),
    "retries": ([ZONE, RESETS], {"again": 2}),
    "hedges": ([ZONE, BURST], {"hedges": True}),
    "clocks a second apart": ([ZONE, BURST], {"clock_s": 1.0}),
    "tight": ([ZONE], TIGHT),
    "slow when cold": ([ZONE, BURST], {"cold_quick": False}),
    "all of it": ([TOGETHER, BURST, RESETS], {"again": 2, "hedges": True, "clock_s": 1.0}),
}


def scenario(name: str, members: int, seed: int = 1) -> FleetScenario:
    """The scenario of a play with so many sidecars."""
    faults, options = PLAYS[name]
    options = {"cold_quick": True, **options}  # what answers slowly is shunned in any case
    rate = min(RATE / members, RATE_EACH)
    cold_share = COLD_SHARE * rate * members / RATE
    fleet = FleetTable(
        members=members, rate=rate, servers=2, cores=1, cold_share=cold_share, warm_s=WARM_S, **options
    )
    return FleetScenario(fleet, ListTable(), faults=faults, seed=seed, span_s=SPAN_S)


def described(found: SlowStartLoad) -> str:
    """The worst span of a kind: load, age of the server, calls of those allowed, and who sent them."""
    return (
        f"{found.load:5.2f} at {found.age_s:4.2f} s {found.calls:4}/{found.allowed:5.1f}"
        f" of {found.sidecars:3} first {found.first_calls:3} again {found.retries:3}"
        f" most {found.max_calls_per_sidecar:3}"
    )


def row(name: str, members: int, seed: int, seen: FleetRunResult) -> str:
    """A line of the table."""
    spans = {
        "all": seen.slow_start.worst,
        "told": seen.slow_start.worst_notified,
        "short": seen.slow_start.worst_short,
    }
    described_spans = "  ".join(f"{kind} {described(found)}" for kind, found in spans.items())
    served = sum(seen.load.served_by_second) / max(sum(seen.load.requests_by_second), 1)
    violations = seen.verdict.broken
    broken = f"  broken {len(violations)}: {violations[0]}" if violations else ""
    state = "" if seen.valid else f"  VOID: the rig was {seen.lag.load_s:.2f} s late"
    return f"{name:22} {members:4} {seed:3}  {described_spans}  served {served:.2f}{broken}{state}"


def main() -> int:
    """Read the command line and print a line for each play; 1 if any broke the rule."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("members", nargs="*", type=int, default=list(MEMBERS))
    parser.add_argument("--only", nargs="+", default=list(PLAYS), choices=list(PLAYS))
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    broken = False
    for members in options.members or MEMBERS:
        for name in options.only:
            for seed in range(1, options.seeds + 1):
                seen = uvloop.run(play(scenario(name, members, seed)))
                broken |= seen.slow_start.worst_notified.falls
                print(row(name, members, seed, seen), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
