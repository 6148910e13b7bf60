"""What a fleet asks of its servers: `python -m benchmarks.fleet [--before TREE] [--seeds N]`.

The real network code on the simulation's clock: 60 servers in five zones, the same requests a second in all
from 5, 40 and 200 sidecars, while six in ten servers are replaced. Per server and second: connections made,
connections that stand open at the end, calls of discovery; and the largest part of a cold server's budget
(what the fourth rule lets all sidecars together send it) that any run spent. Then the cost of a request in
the module with 15, 60 and 600 servers, in turns. With --before the decision module of another checkout is
played in the same run. Nothing here is timed but the last table, whose figures are ratios.
"""

from __future__ import annotations

import contextlib
import dataclasses
import statistics
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from unittest import mock

from dykefold.balancer.actions import Send
from dykefold.balancer.events import Endpoint, EndpointListUpdate, ListKind, Outcome, Request, State, Status
from dykefold.balancer.settings import Effect, RequestClass, Settings
from dykefold.net.service import pool
from dykefold.sim import schedule
from dykefold.sim.kernel import NS_PER_MS, NS_PER_S
from dykefold.sim.nodes import Node
from dykefold.sim.schedule import Fault, Kind, draw
from dykefold.sim.world import Running

from . import BalancerFactory, arguments, balancer_of, trees

SIDECARS = (5, 40, 200)
SERVERS = (15, 60, 600)
RATE = 300.0  # requests a second, of all sidecars together
SPAN_S = 8.0
SPAN_NS = int(SPAN_S * NS_PER_S)
FIRST_SEED = 100
REQUESTS = 4000  # in the module, for each turn of the last table
REQUEST_EVERY_NS = 50 * NS_PER_MS
ANSWER_AFTER_NS = 40 * NS_PER_MS
TURNS = 5


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run showed, per server; rates are per second of simulated time.

    Attributes:
        made: Connections accepted per second.
        open: Number of open connections at the end.
        calls: Calls of discovery per second.
        cold: Largest used fraction of a cold server's budget.
        served: Fraction of all requests that were served.
        breaches: Violations of the simulation's rules in the whole run.
    """

    made: float
    open: float
    calls: float
    cold: float
    served: float
    breaches: int


@contextlib.contextmanager
def simulated_fleet(balancer_type: BalancerFactory, sidecars: int) -> Iterator[None]:
    """Let the simulation's world `fleet` have so many sidecars, which decide by this balancer."""
    spec = dataclasses.replace(schedule.WORLDS["fleet"], sidecars=sidecars, rate=RATE / sidecars)
    with (
        mock.patch.dict(schedule.WORLDS, {"fleet": spec}),
        mock.patch.object(pool, "Balancer", balancer_type),
    ):
        yield


def play(balancer_type: BalancerFactory, sidecars: int, seed: int) -> Figures:
    """Play one run of the fleet while six in ten servers are replaced."""
    with simulated_fleet(balancer_type, sidecars):
        fault = Fault(2 * NS_PER_S, Kind.REPLACE, seed % 10, 0, 4 * NS_PER_S)
        scenario = dataclasses.replace(draw("fleet", seed, SPAN_NS), faults=(fault,))
        running = Running(scenario)
        nodes: set[Node] = set(running.nodes)
        open_connections: list[int] = []

        def count_open() -> None:
            open_connections.extend(len(node.connections) for node in running.nodes)

        # Two events, as the kernel draws once for each: with one the runs are others than those on record.
        running.kernel.at(SPAN_NS - NS_PER_MS, lambda: nodes.update(running.nodes))
        running.kernel.at(SPAN_NS - NS_PER_MS, count_open)
        breaches = running.play()
    server_seconds = len(running.nodes) * SPAN_S
    counts = running.rules.counts
    return Figures(
        made=sum(node.handshakes for node in nodes) / server_seconds,
        open=statistics.mean(open_connections),
        calls=running.registry.calls / server_seconds,
        cold=running.rules.max_cold_budget_fraction,
        served=counts["served"] / max(counts["requests"], 1),
        breaches=len(breaches),
    )


def cost(balancer_type: BalancerFactory, servers: int) -> float:
    """Processor seconds for `REQUESTS` requests, each answered, in one module of a fleet of 40."""
    spec = RequestClass("lookup", 500 * NS_PER_MS, 2 * NS_PER_S, 1.0, 0.2, Effect.SAFE)
    settings = Settings(classes=[spec], zones=list("abcde"), max_attempts=3, fleet_size=40)
    balancer = balancer_type(settings, 1)
    now_ns = 1_000 * NS_PER_S
    entries = [Endpoint(number, number % 5, 0, 0, State.READY) for number in range(servers)]
    balancer.handle(now_ns, EndpointListUpdate(ListKind.CACHED, 1, entries))
    began_s = time.process_time()
    for request_id in range(REQUESTS):
        now_ns += REQUEST_EVERY_NS
        actions = balancer.handle(now_ns, Request(request_id, 0, 0, now_ns + 2 * NS_PER_S))
        sent = next(action for action in actions if isinstance(action, Send))
        outcome = Outcome(request_id, 0, sent.endpoint_number, Status.OK, ANSWER_AFTER_NS, True)
        balancer.handle(now_ns + ANSWER_AFTER_NS, outcome)
    return time.process_time() - began_s


def print_figures(balancers: Mapping[str, BalancerFactory], seeds: int) -> None:
    """Print a row for each size of the fleet and each checkout: means over the seeds, the most of `cold`."""
    print("tree     sidecars  made/s  open  calls/s  cold p100  served  breaches   (per server; cold of 1.0)")
    for sidecars in SIDECARS:
        for name, balancer_type in balancers.items():
            runs = [play(balancer_type, sidecars, FIRST_SEED + seed) for seed in range(seeds)]
            made = statistics.mean(run.made for run in runs)
            opened = statistics.mean(run.open for run in runs)
            calls = statistics.mean(run.calls for run in runs)
            served = statistics.mean(run.served for run in runs)
            print(
                f"{name:8} {sidecars:8}  {made:6.2f} {opened:5.1f}  {calls:7.3f}"
                f"  {max(run.cold for run in runs):9.2f}  {served:6.3f}"
                f"  {sum(run.breaches for run in runs):8.0f}",
                flush=True,
            )


def print_costs(balancers: Mapping[str, BalancerFactory]) -> None:
    """Print the median cost of a request by checkout and number of servers, in turns."""
    print("cost of a request in the module, against 15 servers of the first tree")
    turns: dict[tuple[str, int], list[float]] = {}
    for _ in range(TURNS):
        for servers in SERVERS:
            for name, balancer_type in balancers.items():
                turns.setdefault((name, servers), []).append(cost(balancer_type, servers))
    first = next(iter(balancers))
    for (name, servers), times in turns.items():
        ratios = [one / base for one, base in zip(times, turns[first, SERVERS[0]], strict=True)]
        print(f"{name:8} {servers:8}  {statistics.median(ratios):.2f}")


def main() -> None:
    """Read the command line and print both tables."""
    parser = arguments(__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    balancers = {name: balancer_of(tree, name) for name, tree in trees(options.before).items()}
    print_figures(balancers, options.seeds)
    print_costs(balancers)


if __name__ == "__main__":
    main()
