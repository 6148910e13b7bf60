"""The real sidecar before four stand-in servers, with desks at work: `python -m standins.demo`."""

from __future__ import annotations

import asyncio

import uvloop

from .load import desks
from .sidecar import parts_nodes, sidecar

SECONDS = 5.0
DESKS = 20


async def work(port: int) -> int:
    print(f"{DESKS} desks look parts up at 127.0.0.1:{port} for {SECONDS:.0f} s")
    tally = await desks(port, DESKS, SECONDS, pause_s=0.01)
    print(f"served {tally.served}  refused {tally.refused}  connections lost {tally.lost}")
    print(f"p50 {tally.quantile_ms(0.5):.1f} ms  p99 {tally.quantile_ms(0.99):.1f} ms")
    good = tally.served > 0 and not tally.lost
    print("every request was answered" if good else "NOT every request was answered")
    return 0 if good else 1


def main() -> int:
    with (
        parts_nodes(4) as ports,
        sidecar(ports) as running,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(work(running.port))


if __name__ == "__main__":
    raise SystemExit(main())
