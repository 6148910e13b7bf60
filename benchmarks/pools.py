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
from pathlib import Path

from standins.sidecar import Running, parts_nodes, services, sidecar

from .relay import CONNECTIONS, MEASURED_S, NODES, load, ratio_of

POOLS = (1, 2, 100)
CORES = (0, 1, 2)  # of parts nodes, proxy and load


def file_of(pools: int, ports: list[int]) -> str:
    """An operator's file: the first pool has the parts nodes, the others servers that nobody asks."""
    lines = ["[node]", 'listen = "127.0.0.1:0"']
    for number in range(pools):
        servers = ports if number == 0 else [9]
        lines += [f"[pools.p{number}]", f"servers = {json.dumps([f'127.0.0.1:{port}' for port in servers])}"]
        prefix = "/lookup" if number == 0 else f"/p{number}"
        lines += ["[[routes]]", f'name = "r{number}"', f'pool = "p{number}"', f'prefix = "{prefix}"']
    return "\n".join(lines)


@contextlib.contextmanager
def played(pools: int, ports: list[int]) -> Iterator[Running]:
    """A sidecar with so many pools; the platform's for none."""
    with contextlib.ExitStack() as stack:
        if not pools:
            yield stack.enter_context(sidecar(ports, core=CORES[1]))
            return
        path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "service.toml"
        path.write_text(file_of(pools, ports))
        yield stack.enter_context(services(path, core=CORES[1]))


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=6)
    rounds = parser.parse_args().rounds
    rates: dict[int, list[float]] = {pools: [] for pools in (0, *POOLS)}
    sizes = dict.fromkeys(rates, 0)
    with parts_nodes(NODES, CORES[0]) as ports:
        for number in range(rounds):
            for pools in rates if number % 2 else reversed(rates):
                with played(pools, ports) as running:
                    rate, refused = load(running.port, CORES[2])
                    sizes[pools] = running.rss_bytes()
                rates[pools].append(rate)
                if refused:
                    print(f"  {pools} pools: {refused} refused in round {number + 1}")
    print(f"{CONNECTIONS} connections, medians of {rounds} rounds of {MEASURED_S:.0f} s")
    for pools, values in rates.items():
        name = f"{pools} pools" if pools else "platform"
        ratio, size_mb = ratio_of(values, rates[1]), sizes[pools] / 1e6
        rate = statistics.median(values)
        print(f"  {name:9} {rate:6.0f} requests/s  {ratio:.3f} of one pool  {size_mb:.0f} MB")


if __name__ == "__main__":
    main()
