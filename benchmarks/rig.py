"""The program under the rig's faults: real processes, a network between them that breaks.

`python -m benchmarks.rig [--view] [--calls] [MEMBERS [NAME ...]]`: the scenarios of `SCENARIOS` with so many
members (30), a line of JSON each; with a view, until it has settled again. 200 members want some 6 GB and
several cores. The load is small: the fleet is looked at.
"""

from __future__ import annotations

import json
import sys
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
SPAN_S = 14.0
LISTS: dict[str, ListTable] = {
    "start": ListTable(replaced=0.3),
    "half of the servers cold": ListTable(replaced=0.5),
}
RATE = 300.0  # requests a second to all members together


def main(members: int, names: list[str], view: bool, calls: bool) -> None:
    servers = max(members // 10, 2)
    rate = RATE / members
    fleet = FleetTable(members=members, zones=list("abc"), servers=servers, rate=rate, view=view, calls=calls)
    for name in names or SCENARIOS:
        began = time.monotonic()
        faults = SCENARIOS[name]
        span_s = max([SPAN_S, *(fault.at_s + fault.for_s + 8.0 for fault in faults)])
        lists = LISTS.get(name, ListTable())
        seen = uvloop.run(play(FleetScenario(fleet, lists, faults, span_s=span_s)))
        told = {"scenario": name, "members": members, "took_s": round(time.monotonic() - began, 1)}
        print(json.dumps({**told, **seen.described()}), flush=True)


if __name__ == "__main__":
    words = [word for word in sys.argv[1:] if not word.startswith("--")]
    main(int(words[0]) if words else 30, words[1:], "--view" in sys.argv, "--calls" in sys.argv)
