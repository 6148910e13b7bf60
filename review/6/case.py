"""A bad client sends the id of another client's open order while the sidecar is being upgraded."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402
from rig2 import Answer, Client, Discovery, Record, Request, Server, Sidecar  # noqa: E402

ORDERS = 5
WORK_S = 1.8  # of an order; its deadline is 4 s
YES_WITHIN_S = 6.0
DEADLINE_MS = 4000
TIMEOUT_S = 6.0
ERROR = 400


async def says_yes(port: int) -> bool:
    """Return whether a process answers `GET /healthcheck` with yes."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: door\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return answer.startswith(b"HTTP/1.1 2")


async def order(record: Record, port: int, request_id: str, who: str) -> Answer:
    """Send one order on a new connection, and return its answer."""
    client = Client(record, port)
    await client.connect()
    record.write(f"{who} sends the order {request_id}")
    answer = await client.ask(rig2.encode(rig2.ORDER, request_id, DEADLINE_MS), request_id, TIMEOUT_S)
    record.write(f"{who}: order {request_id}: {answer.code} {answer.body!r} {answer.problem}")
    client.close()
    return answer


async def upgrade(record: Record, old: Sidecar, new: Sidecar) -> None:
    """Start the newer process, and send SIGTERM to the older one when the newer one says yes."""
    began_s = record.now_s()
    starting = asyncio.create_task(new.start())
    while not await says_yes(new.control):
        if record.now_s() > began_s + YES_WITHIN_S:
            problem = "the newer process did not say yes"
            raise rig2.CouldNotRunError(problem)
        await asyncio.sleep(0.02)
    record.write("the newer process says yes")
    old.signal(signal.SIGTERM)
    await starting


async def main(record: Record) -> bool:
    """Play the case; return whether the rules held."""

    async def serve(request: Request) -> None:
        await asyncio.sleep(WORK_S)
        request.connection.answer(rig2.OK, request.id.encode())

    servers = [Server(record, f"s{number}", serve) for number in range(3)]
    for server in servers:
        await server.up()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.up()
    classes = [rig2.LOOKUP, rig2.HOLD, rig2.ORDER]
    old = Sidecar(record, rig2.configuration(discovery, classes), rig2.free_port(), name="the older process")
    new = Sidecar(record, old.config, rig2.free_port(), old.folder, name="the newer process")
    try:
        await old.start()
        await asyncio.sleep(1.0)
        ids = [rig2.new_id() for _ in range(ORDERS)]
        usual = [asyncio.create_task(order(record, old.port, one, "client")) for one in ids]
        await asyncio.sleep(0.2)
        if rig2.TROUBLE:
            await upgrade(record, old, new)
        await asyncio.sleep(0.2)
        still_open = [one for one, task in zip(ids, usual, strict=True) if not task.done()]
        record.write(f"{len(still_open)} orders are open when the bad client comes")
        bad = [asyncio.create_task(order(record, old.port, one, "bad client")) for one in still_open]
        answers = await asyncio.gather(*usual)
        bad_answers = await asyncio.gather(*bad)
    finally:
        new.close()
        old.close()
    if not still_open or any(answer.code != rig2.OK for answer in answers):
        problem = "the orders of the usual clients were not open, or not served"
        raise rig2.CouldNotRunError(problem)
    runs = Counter(request.id for server in servers for request in server.requests)
    twice = [one for one in ids if runs[one] > 1]
    served = [answer.id for answer in bad_answers if answer.code == rig2.OK]
    record.write(f"orders that servers got twice: {twice}; bad clients served: {served}")
    return not twice and not served


if __name__ == "__main__":
    rig2.play(FOLDER, main)
