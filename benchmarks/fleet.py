"""Load of a fleet of sidecars on its servers: `python -m benchmarks.fleet [--before TREE] [--seeds N]`.

The real network code runs on the simulation's clock: 60 servers in five zones get the same total rate of
requests from 5, 40 and 200 sidecars, while six in ten servers are replaced. The first table has per server:
connections made per second, open connections at the end, discovery calls per second; and the largest used
fraction of the budget of a server in slow start (the limit of the fourth rule for all sidecars together) in
any run. The second table has the CPU time of a request in the balancer with 15, 60 and 600 servers, measured
in turns. With --before the balancer of another checkout is measured in the same run. Only the second table is
timed; it has ratios.
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
from dykefold.sim.world import SimulatedWorld

from . import BalancerFactory, argument_parser, checkouts, import_balancer

SIDECARS = (5, 40, 200)
SERVERS = (15, 60, 600)
RATE = 300.0  # requests per second from all sidecars together
SPAN_S = 8.0
SPAN_NS = int(SPAN_S * NS_PER_S)
FIRST_SEED = 100
REQUESTS = 4000  # to the balancer, for each turn of the second table
REQUEST_INTERVAL_NS = 50 * NS_PER_MS
ANSWER_DELAY_NS = 40 * NS_PER_MS
TURNS = 5


@dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one run, per server; rates are per second of simulated time.

    Attributes:
        accepted_per_s: Connections accepted per second.
        open: Number of open connections at the end.
        calls: Discovery calls per second.
        cold_budget_fraction: Largest used fraction of the budget of a server in slow start.
        served: Fraction of all requests that were served.
        violations: Violations of the simulation's rules in the run.
    """

    accepted_per_s: float
    open: float
    calls: float
    cold_budget_fraction: float
    served: float
    violations: int


@contextlib.contextmanager
def simulated_fleet(balancer_type: BalancerFactory, sidecars: int) -> Iterator[None]:
    """Patch the simulation's world `fleet` to have this number of sidecars with this balancer."""
    spec = dataclasses.replace(schedule.WORLDS["fleet"], sidecars=sidecars, rate=RATE / sidecars)
    with (
        mock.patch.dict(schedule.WORLDS, {"fleet": spec}),
        mock.patch.object(pool, "Balancer", balancer_type),
    ):
        yield


def play(balancer_type: BalancerFactory, sidecars: int, seed: int) -> RunResult:
    """Simulate one run of the fleet while six in ten servers are replaced."""
    with simulated_fleet(balancer_type, sidecars):
        fault = Fault(2 * NS_PER_S, Kind.REPLACE, seed % 10, 0, 4 * NS_PER_S)
        scenario = dataclasses.replace(draw("fleet", seed, SPAN_NS), faults=(fault,))
        running = SimulatedWorld(scenario)
        nodes: set[Node] = set(running.nodes)
        open_connections: list[int] = []

        def count_open() -> None:
            open_connections.extend(len(node.connections) for node in running.nodes)

        # Two events, as the kernel draws a random number for each: one event would change the recorded runs.
        running.kernel.at(SPAN_NS - NS_PER_MS, lambda: nodes.update(running.nodes))
        running.kernel.at(SPAN_NS - NS_PER_MS, count_open)
        violations = running.play()
    server_seconds = len(running.nodes) * SPAN_S
    counts = running.rules.counts
    return RunResult(
        accepted_per_s=sum(node.handshakes for node in nodes) / server_seconds,
        open=statistics.mean(open_connections),
        calls=running.registry.calls / server_seconds,
        cold_budget_fraction=running.rules.max_warm_up_budget_fraction,
        served=counts["served"] / max(counts["requests"], 1),
        violations=len(violations),
    )


def cpu_s(balancer_type: BalancerFactory, servers: int) -> float:
    """Return the CPU seconds of `REQUESTS` answered requests in one balancer of a fleet of 40."""
    spec = RequestClass("lookup", 500 * NS_PER_MS, 2 * NS_PER_S, 1.0, 0.2, Effect.SAFE)
    settings = Settings(classes=[spec], zones=list("abcde"), max_attempts=3, fleet_size=40)
    balancer = balancer_type(settings, 1)
    now_ns = 1_000 * NS_PER_S
    entries = [Endpoint(number, number % 5, 0, 0, State.READY) for number in range(servers)]
    balancer.handle(now_ns, EndpointListUpdate(ListKind.CACHED, 1, entries))
    began_s = time.process_time()
    for request_id in range(REQUESTS):
        now_ns += REQUEST_INTERVAL_NS
        actions = balancer.handle(now_ns, Request(request_id, 0, 0, now_ns + 2 * NS_PER_S))
        send = next(action for action in actions if isinstance(action, Send))
        outcome = Outcome(request_id, 0, send.endpoint_number, Status.OK, ANSWER_DELAY_NS, True)
        balancer.handle(now_ns + ANSWER_DELAY_NS, outcome)
    return time.process_time() - began_s


def print_load(balancers: Mapping[str, BalancerFactory], seeds: int) -> None:
    """Print a row for each fleet size and checkout: means over the seeds, maximum of the budget."""
    print("tree     sidecars  made/s  open  calls/s  cold p100  served  breaches   (per server; cold of 1.0)")
    for sidecars in SIDECARS:
        for name, balancer_type in balancers.items():
            runs = [play(balancer_type, sidecars, FIRST_SEED + seed) for seed in range(seeds)]
            accepted_per_s = statistics.mean(run.accepted_per_s for run in runs)
            open_count = statistics.mean(run.open for run in runs)
            calls = statistics.mean(run.calls for run in runs)
            served = statistics.mean(run.served for run in runs)
            print(
                f"{name:8} {sidecars:8}  {accepted_per_s:6.2f} {open_count:5.1f}  {calls:7.3f}"
                f"  {max(run.cold_budget_fraction for run in runs):9.2f}  {served:6.3f}"
                f"  {sum(run.violations for run in runs):8.0f}",
                flush=True,
            )


def print_costs(balancers: Mapping[str, BalancerFactory]) -> None:
    """Print the median CPU time of a request by checkout and number of servers, relative to the first."""
    print("cost of a request in the module, against 15 servers of the first tree")
    times_s: dict[tuple[str, int], list[float]] = {}
    for _ in range(TURNS):
        for servers in SERVERS:
            for name, balancer_type in balancers.items():
                times_s.setdefault((name, servers), []).append(cpu_s(balancer_type, servers))
    first = next(iter(balancers))
    for (name, servers), turn_times_s in times_s.items():
        ratios = [
            time_s / base_s for time_s, base_s in zip(turn_times_s, times_s[first, SERVERS[0]], strict=True)
        ]
        print(f"{name:8} {servers:8}  {statistics.median(ratios):.2f}")


def main() -> None:
    """Parse the command line and print both tables."""
    parser = argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    balancers = {name: import_balancer(tree, name) for name, tree in checkouts(options.before).items()}
    print_load(balancers, options.seeds)
    print_costs(balancers)


if __name__ == "__main__":
    main()
