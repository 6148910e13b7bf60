"""Fault scenarios of a fleet of real sidecar processes, faults of the network between them included.

`python -m benchmarks.rig [--view] [--calls] [MEMBERS [NAME ...]]`: runs the scenarios of `SCENARIOS` with
that many members (30) and prints a line of JSON for each; with a view, each runs until the view has settled
again. 200 members need some 6 GB and several cores. The load is small, since the fleet is measured, not
throughput.
"""

from __future__ import annotations

import argparse
import json
import time

import uvloop

from dykefold.lab.fleet.run import play
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

SCENARIOS: dict[str, list[FaultTable]] = {
    "start": [],
    "half of the servers cold": [],
    "cut in two for 6 s": [FaultTable("cut", at_s=2, for_s=6, of="zone:a")],
    "cut in three for 6 s": [
        FaultTable("cut", at_s=2, for_s=6, of="zone:a"),
        FaultTable("cut", at_s=2, for_s=6, of="zone:b"),
    ],
    "cut one way for 6 s": [FaultTable("cut", at_s=2, for_s=6, of="zone:a", one_way=True)],
    "0.7 killed at once": [FaultTable("kill", at_s=3, for_s=0.5, share=0.7)],
    "restarted a tenth at a time": [FaultTable("term", at_s=2, for_s=0.2, steps=10)],
    "a third stopped for 1 s, four times": [FaultTable("stop", at_s=2, for_s=1, share=0.33, times=4)],
    "a zone's servers down for 4 s": [FaultTable("servers", at_s=2, for_s=4, of="zone:a")],
    "the list service down for 4 s": [FaultTable("list", at_s=2, for_s=4)],
    "the list service moves": [FaultTable("move-list", at_s=2, for_s=1)],
    "0.7 killed, the list service at a quarter": [
        FaultTable("slow-list", at_s=2, for_s=8, share=0.25),
        FaultTable("kill", at_s=3, for_s=1, share=0.7),
    ],
    "the list service down for 20 s": [FaultTable("list", at_s=0, for_s=20)],
    "0.3 of the datagrams lost": [FaultTable("loss", at_s=0, for_s=12, share=0.3)],
}
MIN_SPAN_S = 14.0
AFTER_FAULT_S = 8.0
MEMBERS = 30
MEMBERS_PER_SERVER, MIN_SERVERS = 10, 2  # in each zone
LISTS: dict[str, ListTable] = {
    "start": ListTable(replaced=0.3),
    "half of the servers cold": ListTable(replaced=0.5),
}
RATE = 300.0  # requests per second to all members together


def scenario(name: str, fleet: FleetTable) -> FleetScenario:
    """Return a scenario of `SCENARIOS` for this fleet; it ends some time after its last fault."""
    faults = SCENARIOS[name]
    span_s = max([MIN_SPAN_S, *(fault.at_s + fault.for_s + AFTER_FAULT_S for fault in faults)])
    return FleetScenario(fleet, LISTS.get(name, ListTable()), faults, span_s=span_s)


def main() -> None:
    """Parse the command line, run the scenarios and print a line of JSON for each."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("members", nargs="?", type=int, default=MEMBERS)
    parser.add_argument("names", nargs="*", metavar="NAME", help="scenario to run; default: all")
    parser.add_argument("--view", action="store_true", help="members maintain a view of the fleet")
    parser.add_argument("--calls", action="store_true", help="members spread their calls of the list service")
    options = parser.parse_intermixed_args()
    members = options.members
    fleet = FleetTable(
        members=members,
        zones=list("abc"),
        servers=max(members // MEMBERS_PER_SERVER, MIN_SERVERS),
        rate=RATE / members,
        view=options.view,
        calls=options.calls,
    )
    for name in options.names or SCENARIOS:
        began_s = time.monotonic()
        result = uvloop.run(play(scenario(name, fleet)))
        run = {"scenario": name, "members": members, "took_s": round(time.monotonic() - began_s, 1)}
        print(json.dumps({**run, **result.as_json()}), flush=True)


if __name__ == "__main__":
    main()
