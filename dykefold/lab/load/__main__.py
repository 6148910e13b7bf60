"""`python -m dykefold.lab.load SCENARIO PORT INDEX OF`: one of `OF` load processes.

It prints `ready`, begins after a line on standard input, and prints its results as JSON.
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
    """Play the share `index` of `of` of a scenario file against a port on loopback."""
    load = Load(read_scenario(path), port, index, of)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    gc.freeze()
    gc.disable()  # A collection would make the tool itself late.
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
