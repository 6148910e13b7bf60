"""What a fleet asks of its servers: `python -m benchmarks.fleet [--before TREE] [--seeds N]`.

The real network code on the simulation's clock: 60 servers in five zones, the same requests a second in all
from 5, 40 and 200 sidecars, while six in ten servers are replaced. Per server and second: connections made,
connections that stand open at the end, calls of discovery; and the largest part of a cold server's budget
(what the fourth rule lets all sidecars together send it) that any run spent. Then the cost of a request in
the module with 15, 60 and 600 servers, in turns. With --before the decision module of another checkout is
played in the same run. Nothing here is timed but the last table, whose figures are ratios.
"""

from __future__ import annotations

import dataclasses
import statistics
import time
from typing import Any

import dykefold.net.service.pool
from dykefold.balancer.actions import Send
from dykefold.balancer.events import Endpoint, ListKind, Membership, Outcome, Request, State, Status
from dykefold.balancer.settings import Effect, RequestClass, Settings
from dykefold.sim import schedule
from dykefold.sim.kernel import MS, SECOND
from dykefold.sim.schedule import Fault, Kind, draw
from dykefold.sim.world import Running

from . import arguments, balancer_of, trees

SIDECARS = (5, 40, 200)
SERVERS = (15, 60, 600)
RATE = 300.0  # requests a second, of all sidecars together
SPAN_S = 8.0
REQUESTS = 4000  # in the module, for each turn of the last table
TURNS = 5


def play(balancer_type: Any, sidecars: int, seed: int) -> dict[str, float]:
    """One run; its figures."""
    world = dataclasses.replace(schedule.WORLDS["fleet"], sidecars=sidecars, rate=RATE / sidecars)
    was, balancer = schedule.WORLDS["fleet"], dykefold.net.pool.Balancer
    schedule.WORLDS["fleet"] = world
    dykefold.net.pool.Balancer = balancer_type
    try:
        scenario = draw("fleet", seed, int(SPAN_S * SECOND))
        fault = Fault(2 * SECOND, Kind.REPLACE, seed % 10, 0, 4 * SECOND)
        running = Running(dataclasses.replace(scenario, faults=(fault,)))
        seen: set[Any] = set(running.nodes)
        running.kernel.at(int(SPAN_S * SECOND) - MS, lambda: seen.update(running.nodes))
        held: list[int] = []
        running.kernel.at(
            int(SPAN_S * SECOND) - MS, lambda: held.extend(len(node.connections) for node in running.nodes)
        )
        breaches = running.play()
    finally:
        schedule.WORLDS["fleet"], dykefold.net.pool.Balancer = was, balancer
    each = len(running.nodes) * SPAN_S
    return {
        "made": sum(node.handshakes for node in seen) / each,
        "open": statistics.mean(held),
        "calls": running.registry.calls / each,
        "cold": running.rules.cold_most,
        "served": running.rules.counts["served"] / max(running.rules.counts["requests"], 1),
        "breaches": float(len(breaches)),
    }


def cost(balancer_type: Any, servers: int) -> float:
    """Seconds for a number of requests, each answered, in one module of a fleet of 40."""
    spec = RequestClass("lookup", 500 * MS, 2 * SECOND, 1.0, 0.2, Effect.SAFE)
    settings = Settings(classes=[spec], zones=list("abcde"), max_attempts=3, fleet_size=40)
    balancer = balancer_type(settings, 1)
    now = 1_000 * SECOND
    entries = [Endpoint(n, n % 5, 0, 0, State.READY) for n in range(servers)]
    balancer.handle(now, Membership(ListKind.CACHED, 1, entries))
    began = time.process_time()
    for ident in range(REQUESTS):
        now += 50 * MS
        actions = balancer.handle(now, Request(ident, 0, 0, now + 2 * SECOND))
        sent = next(action for action in actions if isinstance(action, Send))
        balancer.handle(now + 40 * MS, Outcome(ident, 0, sent.server, Status.OK, 40 * MS, True))
    return time.process_time() - began


def main() -> None:
    parser = arguments(__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    modules = {name: balancer_of(tree, name) for name, tree in trees(options.before).items()}
    print("tree     sidecars  made/s  open  calls/s  cold p100  served  breaches   (per server; cold of 1.0)")
    for sidecars in SIDECARS:
        for name, module in modules.items():
            runs = [play(module, sidecars, 100 + seed) for seed in range(options.seeds)]
            mean = {key: statistics.mean(run[key] for run in runs) for key in runs[0]}
            print(
                f"{name:8} {sidecars:8}  {mean['made']:6.2f} {mean['open']:5.1f}  {mean['calls']:7.3f}"
                f"  {max(run['cold'] for run in runs):9.2f}  {mean['served']:6.3f}"
                f"  {sum(run['breaches'] for run in runs):8.0f}",
                flush=True,
            )
    print("cost of a request in the module, against 15 servers of the first tree")
    turns: dict[tuple[str, int], list[float]] = {}
    for _ in range(TURNS):
        for servers in SERVERS:
            for name, module in modules.items():
                turns.setdefault((name, servers), []).append(cost(module, servers))
    first = next(iter(modules))
    for (name, servers), times in turns.items():
        ratios = [one / base for one, base in zip(times, turns[first, SERVERS[0]], strict=True)]
        print(f"{name:8} {servers:8}  {statistics.median(ratios):.2f}")


if __name__ == "__main__":
    main()
