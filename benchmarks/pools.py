"""What pools that nobody asks cost the one that is asked: `python -m benchmarks.pools [--rounds N]`.

One process with 1, 2 and 100 pools and as many routes, load on the first one only; the same desks, parts
nodes and cores as `benchmarks.relay`, proxies in turn in each round, medians of the ratios within a round.
The platform's sidecar, which has no routes at all, is played beside them.
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

from .relay import CONNECTIONS, MEASURED_S, NODES, load, ratio_of

POOLS = (1, 2, 100)
NODES_CORE, PROXY_CORE, LOAD_CORE = 0, 1, 2
UNUSED_PORT = 9
PLATFORM = 0  # stands for the platform's sidecar in the place of a number of pools


def service_file(pools: int, ports: list[int]) -> str:
    """An operator's file: the first pool has the parts nodes, the others servers that nobody asks."""
    lines = ["[node]", 'listen = "127.0.0.1:0"']
    for number in range(pools):
        servers = ports if number == 0 else [UNUSED_PORT]
        lines += [f"[pools.p{number}]", f"servers = {json.dumps([f'127.0.0.1:{port}' for port in servers])}"]
        prefix = "/lookup" if number == 0 else f"/p{number}"
        lines += ["[[routes]]", f'name = "r{number}"', f'pool = "p{number}"', f'prefix = "{prefix}"']
    return "\n".join(lines)


@contextlib.contextmanager
def played(pools: int, ports: list[int]) -> Iterator[RunningSidecar]:
    """A sidecar with so many pools, or the platform's."""
    with contextlib.ExitStack() as stack:
        if pools == PLATFORM:
            yield stack.enter_context(sidecar(ports, core=PROXY_CORE))
            return
        path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "service.toml"
        path.write_text(service_file(pools, ports))
        yield stack.enter_context(sidecar_of_service_file(path, core=PROXY_CORE))


@dataclass(slots=True)
class Figures:
    """What the rounds showed of one proxy.

    Attributes:
        rates: Requests served per second, one figure for each round.
        memory_bytes: Resident bytes at the end of the last round.
    """

    rates: list[float] = field(default_factory=list)
    memory_bytes: int = 0


def measure(rounds: int) -> dict[int, Figures]:
    """Play every proxy once in each round; the figures by the number of pools."""
    found = {pools: Figures() for pools in (PLATFORM, *POOLS)}
    with parts_servers(NODES, NODES_CORE) as ports:
        for number in range(rounds):
            for pools in found if number % 2 else reversed(found):
                with played(pools, ports) as running:
                    rate, refused = load(running.port, LOAD_CORE)
                    found[pools].memory_bytes = running.rss_bytes()
                found[pools].rates.append(rate)
                if refused:
                    print(f"  {pools} pools: {refused} refused in round {number + 1}")
    return found


def main() -> None:
    """Read the command line and print a line for each proxy."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=6)
    rounds = parser.parse_args().rounds
    found = measure(rounds)
    print(f"{CONNECTIONS} connections, medians of {rounds} rounds of {MEASURED_S:.0f} s")
    for pools, figures in found.items():
        name = "platform" if pools == PLATFORM else f"{pools} pools"
        rate = statistics.median(figures.rates)
        ratio = ratio_of(figures.rates, found[1].rates)
        print(
            f"  {name:9} {rate:6.0f} requests/s  {ratio:.3f} of one pool  {figures.memory_bytes / 1e6:.0f} MB"
        )


if __name__ == "__main__":
    main()
