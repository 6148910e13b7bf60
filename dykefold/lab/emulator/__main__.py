"""`python -m dykefold.lab.emulator SCENARIO`: the emulated platform as a process.

It prints the servers' ports as JSON, schedules the faults after a line on standard input, and prints the
recorded attempts as JSON when standard input is closed.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec
import uvloop

from ..scenario import Scenario, read_scenario
from .server import AttemptLog, Server


async def serve(scenario: Scenario) -> None:
    """Run the servers of a scenario until standard input is closed."""
    loop = asyncio.get_running_loop()
    truth = AttemptLog()
    servers = {name: Server(scenario, name, truth) for name in scenario.server_names()}
    for server in servers.values():
        await server.listen()
    ports = {name: server.port for name, server in servers.items()}
    print(msgspec.json.encode(ports).decode(), flush=True)
    await loop.run_in_executor(None, sys.stdin.readline)
    began_s = loop.time()
    for fault in scenario.faults:
        for name, server in servers.items():
            if name in fault.servers or server.table.name in fault.servers:
                loop.call_later(fault.at_s, server.fault, fault)
    await loop.run_in_executor(None, sys.stdin.read)
    for arrivals in truth.arrivals.values():
        for arrival in arrivals:
            arrival.shift(began_s)
    print(msgspec.json.encode({"arrivals": truth.arrivals}).decode(), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(read_scenario(sys.argv[1])))
