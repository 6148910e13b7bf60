"""Cost of idle pools for the pool under load: `python -m benchmarks.pools [--rounds N]`.

One process with 1, 2 and 100 pools and as many routes, with load on the first pool only. Clients, servers and
cores are those of `benchmarks.relay`; each round measures every proxy in turn, and ratios are medians of the
ratios within a round. The platform's sidecar, which has no routes, is measured as well.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import statistics
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from standins.sidecar import RunningSidecar, parts_servers, sidecar, sidecar_of_service_file

from .relay import CONNECTIONS, MEASURED_S, SERVERS, median_ratio, run_load

POOLS = (1, 2, 100)
SERVERS_CORE, PROXY_CORE, LOAD_CORE = 0, 1, 2
UNUSED_PORT = 9
PLATFORM = 0  # number of pools that denotes the platform's sidecar


def service_file(pools: int, ports: list[int]) -> str:
    """Return a service file: the first pool has the servers of the benchmark, the others an unused port."""
    lines = ["[node]", 'listen = "127.0.0.1:0"']
    for number in range(pools):
        servers = ports if number == 0 else [UNUSED_PORT]
        lines += [f"[pools.p{number}]", f"servers = {json.dumps([f'127.0.0.1:{port}' for port in servers])}"]
        prefix = "/lookup" if number == 0 else f"/p{number}"
        lines += ["[[routes]]", f'name = "r{number}"', f'pool = "p{number}"', f'prefix = "{prefix}"']
    return "\n".join(lines)


@contextlib.contextmanager
def running_proxy(pools: int, ports: list[int]) -> Iterator[RunningSidecar]:
    """Start a sidecar with that many pools, or the platform's sidecar."""
    with contextlib.ExitStack() as stack:
        if pools == PLATFORM:
            yield stack.enter_context(sidecar(ports, core=PROXY_CORE))
            return
        path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "service.toml"
        path.write_text(service_file(pools, ports))
        yield stack.enter_context(sidecar_of_service_file(path, core=PROXY_CORE))


@dataclass(slots=True)
class ProxyResults:
    """Results of one proxy over all rounds.

    Attributes:
        rates: Requests served per second, one value per round.
        memory_bytes: Resident memory in bytes at the end of the last round.
    """

    rates: list[float] = field(default_factory=list)
    memory_bytes: int = 0


def measure(rounds: int) -> dict[int, ProxyResults]:
    """Measure every proxy once in each round; return the results by number of pools."""
    results_by_pools = {pools: ProxyResults() for pools in (PLATFORM, *POOLS)}
    with parts_servers(SERVERS, SERVERS_CORE) as ports:
        for number in range(rounds):
            for pools in results_by_pools if number % 2 else reversed(results_by_pools):
                with running_proxy(pools, ports) as running:
                    rate, rejected = run_load(running.port, LOAD_CORE)
                    results_by_pools[pools].memory_bytes = running.rss_bytes()
                results_by_pools[pools].rates.append(rate)
                if rejected:
                    print(f"  {pools} pools: {rejected} refused in round {number + 1}")
    return results_by_pools


def main() -> None:
    """Parse the command line, measure and print a line for each proxy."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=6)
    rounds = parser.parse_args().rounds
    results_by_pools = measure(rounds)
    print(f"{CONNECTIONS} connections, medians of {rounds} rounds of {MEASURED_S:.0f} s")
    for pools, results in results_by_pools.items():
        name = "platform" if pools == PLATFORM else f"{pools} pools"
        rate = statistics.median(results.rates)
        ratio = median_ratio(results.rates, results_by_pools[1].rates)
        print(
            f"  {name:9} {rate:6.0f} requests/s  {ratio:.3f} of one pool  {results.memory_bytes / 1e6:.0f} MB"
        )


if __name__ == "__main__":
    main()
