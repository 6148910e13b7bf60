"""Slow start in a fleet: calls received by starting servers, relative to the budget from the settings.

`python -m benchmarks.slow_start [MEMBERS ...] [--only PLAY ...] [--seeds N]`: real processes and sockets,
with a line of output for each play. `all` is the largest load of a server in slow start over any span,
relative to its budget (N + 2 sqrt(N) + 2 calls, N under 30: N + 3 sqrt(N) + 3); `told` is the largest one of
which over two thirds came from sidecars that were notified of the start. Over 1 is an overload, in `told` a
violated rule. Then follow the calls of that span, the number of sidecars that sent them, calls that were
their sidecar's first to the server, retries, and the largest number from one sidecar. `short` is the same
over half a second and relative to the capacity of the server, without a rule.
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
RATE = 450.0  # requests per second to all members together; six warm servers can serve 750 ...
MAX_RATE_PER_MEMBER = 60.0  # ... and at most this rate to each member
SPAN_S = 10.0
DOWN_S, RESTORED_S = 2.0, 3.0
ZONE_DOWN = FaultTable("servers", at_s=DOWN_S, for_s=RESTORED_S - DOWN_S, of="zone:a")  # two of six
HALF_DOWN = FaultTable("servers", at_s=DOWN_S, for_s=RESTORED_S - DOWN_S, share=0.5)  # three, one per zone
BURST = FaultTable("burst", at_s=RESTORED_S, for_s=3.0, load=1.5)
RESETS = FaultTable("resets", at_s=RESTORED_S, for_s=5.0, of="zone:b", share=0.4)
# A starting server has 1 / 25 of its warm capacity, or less in proportion to the traffic: at the full rate
# its budget is 30 requests over the usual 2 s, and 10 over the 1 s of the play "tight".
COLD_SHARE, WARM_S = 0.04, 30.0
TIGHT_BUDGET: dict[str, Any] = {"fall_multiple": 2.0, "fall_s": 1.0}
# Faults, and options of the fleet table, by play.
PLAYS: dict[str, tuple[list[FaultTable], dict[str, Any]]] = {
    "one zone's servers": ([ZONE_DOWN], {}),
    "burst": ([ZONE_DOWN, BURST], {}),
    "several together": ([HALF_DOWN, BURST], {}),
    "retries": ([ZONE_DOWN, RESETS], {"again": 2}),
    "hedges": ([ZONE_DOWN, BURST], {"hedges": True}),
    "clocks a second apart": ([ZONE_DOWN, BURST], {"clock_s": 1.0}),
    "tight": ([ZONE_DOWN], TIGHT_BUDGET),
    "slow when cold": ([ZONE_DOWN, BURST], {"cold_quick": False}),
    "all of it": ([HALF_DOWN, BURST, RESETS], {"again": 2, "hedges": True, "clock_s": 1.0}),
}


def scenario(name: str, members: int, seed: int = 1) -> FleetScenario:
    """Return the scenario of a play with this number of sidecars."""
    faults, options = PLAYS[name]
    options = {"cold_quick": True, **options}  # sidecars avoid servers that answer slowly in any case
    rate = min(RATE / members, MAX_RATE_PER_MEMBER)
    cold_share = COLD_SHARE * rate * members / RATE
    fleet = FleetTable(
        members=members, rate=rate, servers=2, cores=1, cold_share=cold_share, warm_s=WARM_S, **options
    )
    return FleetScenario(fleet, ListTable(), faults=faults, seed=seed, span_s=SPAN_S)


def formatted_span(load: SlowStartLoad) -> str:
    """Format the worst span of a kind: load, age of the server, calls, allowed calls, and senders."""
    return (
        f"{load.load:5.2f} at {load.age_s:4.2f} s {load.calls:4}/{load.allowed:5.1f}"
        f" of {load.sidecars:3} first {load.first_calls:3} again {load.retries:3}"
        f" most {load.max_calls_per_sidecar:3}"
    )


def table_row(name: str, members: int, seed: int, result: FleetRunResult) -> str:
    """Format a line of the table."""
    spans = {
        "all": result.slow_start.worst,
        "told": result.slow_start.worst_notified,
        "short": result.slow_start.worst_short,
    }
    formatted_spans = "  ".join(f"{kind} {formatted_span(load)}" for kind, load in spans.items())
    served = sum(result.load.served_by_second) / max(sum(result.load.requests_by_second), 1)
    violations = result.verdict.broken
    broken = f"  broken {len(violations)}: {violations[0]}" if violations else ""
    state = "" if result.valid else f"  VOID: the rig was {result.lag.load_s:.2f} s late"
    return f"{name:22} {members:4} {seed:3}  {formatted_spans}  served {served:.2f}{broken}{state}"


def main() -> int:
    """Parse the command line and print a line for each play; return 1 if any violated the rule."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("members", nargs="*", type=int, default=list(MEMBERS))
    parser.add_argument("--only", nargs="+", default=list(PLAYS), choices=list(PLAYS))
    parser.add_argument("--seeds", type=int, default=1)
    options = parser.parse_args()
    is_violated = False
    for members in options.members or MEMBERS:
        for name in options.only:
            for seed in range(1, options.seeds + 1):
                result = uvloop.run(play(scenario(name, members, seed)))
                is_violated |= result.slow_start.worst_notified.is_overloaded
                print(table_row(name, members, seed, result), flush=True)
    return 1 if is_violated else 0


if __name__ == "__main__":
    sys.exit(main())
