"""`python -m dykefold.lab.load SCENARIO PORT INDEX OF`: one of `OF` load processes.

It prints `ready`, starts after a line on standard input, and prints its report as JSON.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys

import uvloop

from ..scenario import read_scenario
from .client import Load


async def main(path: str, port: int, index: int, of: int) -> None:
    """Send the requests of load process `index` of `of` to a port on loopback, and print the report."""
    load = Load(read_scenario(path), port, index, of)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    gc.freeze()
    gc.disable()  # A garbage collection would make the load generator itself late.
    await load.play()
    report = {
        "lag": load.lag.encode().decode(),
        "classes": {
            name: {
                "latency": counts.latency.encode().decode(),
                "counts": counts.counts,
                "by_second": counts.by_second,
                "served": counts.served,
                "refused": counts.refused,
            }
            for name, counts in load.results.items()
        },
    }
    print(json.dumps(report), flush=True)


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], *map(int, sys.argv[2:5])))
