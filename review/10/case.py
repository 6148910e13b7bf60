"""A server is out for maintenance when a new configuration changes a deadline of its service."""

from __future__ import annotations

import asyncio
import shlex
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402
from rig2 import Client, Record, Server, Sidecar  # noqa: E402

CLIENTS = 4
# DAYS: the server counts as draining 1 s after the call at the latest. BRIEF: a drain has 500 ms of grace.
GRACE_S = 1.0 + 0.5 + rig2.SLACK_S
WATCHED_S = 4.0
ANSWER_TIMEOUT_S = 5.0
DEADLINES_MS = (3000, 2500)  # before and after the new configuration

FILE = """
[node]
name = "parts"
listen = "127.0.0.1:{port}"
descriptors = 1024
memory_mb = 192

[control]
listen = "127.0.0.1:{control}"
folder = "{folder}"

[pools.catalogue]
servers = [{servers}]
aim_ms = 1000
deadline_ms = {deadline_ms}

[[routes]]
name = "catalogue"
pool = "catalogue"
prefix = "/catalogue"
"""


def write_file(path: Path, sidecar: Sidecar, servers: list[Server], deadline_ms: int) -> None:
    """Write the operator's file, replacing it in one step."""
    listed = ", ".join(f'"{name_of(server)}"' for server in servers)
    text = FILE.format(
        port=sidecar.port,
        control=sidecar.control,
        folder=sidecar.folder,
        servers=listed,
        deadline_ms=deadline_ms,
    )
    temporary = path.with_suffix(".new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)


def name_of(server: Server) -> str:
    """Return the name of a server that an operator's file lists: its address."""
    return f"127.0.0.1:{server.port}"


async def call(record: Record, port: int, target: str) -> int:
    """Make a call at the operators' door, and return the status of its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"POST {target} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_S)
    writer.close()
    code = int(answer.split(b" ", 2)[1])
    record.write(f"operator: POST {target}: {code}")
    return code


async def read_all_the_time(record: Record, port: int, number: int) -> None:
    """Send one request after another, until the case ends."""
    while True:
        client = Client(record, port)
        await client.connect()
        keep = True
        while keep:
            request_id = rig2.new_id()
            payload = f"GET /catalogue/part HTTP/1.1\r\nHost: desk\r\nX-Request-Id: {request_id}\r\n\r\n"
            answer = await client.ask(payload.encode(), request_id, ANSWER_TIMEOUT_S)
            record.write(f"client {number}: {request_id}: {answer.code} {answer.problem}")
            keep = answer.keep and not answer.problem
            await asyncio.sleep(0.05)
        client.close()


async def main(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    servers = [Server(record, f"server {number}", rig2.answer_at_once) for number in range(3)]
    for server in servers:
        await server.up()
    out = servers[0]
    folder = tempfile.mkdtemp()
    path = Path(folder) / "services.toml"
    listen = {"name": "parts", "listen": f"127.0.0.1:{rig2.free_port()}", "discovery": "127.0.0.1:9"}
    sidecar = Sidecar(record, listen, rig2.free_port(), folder, arguments=f"serve {shlex.quote(str(path))}")
    write_file(path, sidecar, servers, DEADLINES_MS[0])
    try:
        await sidecar.start()
        clients = [
            asyncio.create_task(read_all_the_time(record, sidecar.port, number)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(1.5)
        used_before = len(out.requests)
        code = await call(record, sidecar.control, f"/servers/{name_of(out)}/maint")
        if code != rig2.OK or not used_before:
            problem = "the server was not in use, or could not be taken out"
            raise rig2.CouldNotRunError(problem)
        banned_from_s = record.now_s() + GRACE_S
        await asyncio.sleep(2.0)
        if rig2.TROUBLE:  # a new configuration, with another deadline
            write_file(path, sidecar, servers, DEADLINES_MS[1])
            sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(WATCHED_S)
        sent = [request for request in out.requests if request.complete_s > banned_from_s]
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    finally:
        sidecar.close()
    total = sum(len(server.requests) for server in servers)
    record.write(f"{total} requests; {len(sent)} reached the server that was out for maintenance")
    return not sent


if __name__ == "__main__":
    rig2.play(FOLDER, main)
