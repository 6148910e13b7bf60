"""Hundreds of bad clients stop in the middle of a head that does not end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402
from rig2 import Answer, Client, Discovery, Record, Server, Sidecar  # noqa: E402

MEMORY_MB = 192  # the largest limit of the days that are scored
SOCKETS = 1024
BAD_CLIENTS = 330  # with the usual ones no more than a third of the descriptors
HEAD_BYTES = 32_000  # the sidecar itself rejects heads over 32 KiB
USUAL_CLIENTS = 4
OWED_S = 3.0  # within this time of connecting a bad client is owed an error or a close
ANSWER_TIMEOUT_S = 5.0


def endless_head() -> bytes:
    """Return the first bytes of a head of many short lines, without its end."""
    head = b"GET /lookup/part HTTP/1.1\r\nHost: origin.svc\r\n"
    number = 0
    while len(head) < HEAD_BYTES:
        head += b"%x: 1\r\n" % number
        number += 1
    return head


async def stop_half_way(record: Record, port: int, number: int) -> None:
    """Send the beginning of a head at full speed, and stay until the sidecar answers or closes."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(endless_head())
        await writer.drain()
        answer = await asyncio.wait_for(reader.read(64), 2 * OWED_S)
        record.write(f"bad client {number}: {answer[:12]!r}")
        writer.close()
    except (OSError, TimeoutError) as error:
        record.write(f"bad client {number}: {type(error).__name__}")


async def ask_all_the_time(record: Record, port: int, answers: list[Answer]) -> None:
    """Send one lookup after another, until the case ends."""
    while True:
        client = Client(record, port)
        try:
            await client.connect()
        except OSError:
            record.write("client: connection refused")
            await asyncio.sleep(0.2)
            continue
        keep = True
        while keep:
            request_id = rig2.new_id()
            payload = rig2.encode(rig2.LOOKUP, request_id, 3000)
            answer = await client.ask(payload, request_id, ANSWER_TIMEOUT_S)
            answers.append(answer)
            record.write(f"client: {request_id}: {answer.code} {answer.problem}")
            keep = answer.keep and not answer.problem
            await asyncio.sleep(0.05)
        client.close()


async def watch_memory(record: Record, sidecar: Sidecar) -> float:
    """Kill the sidecar when its memory is over the limit, as the platform does; return the peak in MB."""
    peak_mb = 0.0
    try:
        while True:
            rss_mb = sidecar.rss_mb()
            if rss_mb > peak_mb:
                peak_mb = rss_mb
                record.write(f"memory of the sidecar: {rss_mb:.1f} MB")
            if rss_mb > MEMORY_MB and sidecar.process is not None:
                record.write(f"the platform kills the sidecar: it is over {MEMORY_MB} MB")
                sidecar.process.kill()
                return peak_mb
            await asyncio.sleep(0.02)
    except asyncio.CancelledError:
        return peak_mb


async def main(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    servers = [Server(record, f"s{number}", rig2.answer_at_once) for number in range(3)]
    for server in servers:
        await server.up()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.up()
    classes = [rig2.LOOKUP, rig2.HOLD, rig2.ORDER]
    sidecar = Sidecar(record, rig2.configuration(discovery, classes, SOCKETS, MEMORY_MB))
    answers: list[Answer] = []
    try:
        await sidecar.start()
        usual = [
            asyncio.create_task(ask_all_the_time(record, sidecar.port, answers)) for _ in range(USUAL_CLIENTS)
        ]
        watch = asyncio.create_task(watch_memory(record, sidecar))
        await asyncio.sleep(2.0)
        if not any(answer.code == rig2.OK for answer in answers):
            problem = "nothing was served before the bad clients came"
            raise rig2.CouldNotRunError(problem)
        if rig2.TROUBLE:
            bad = [stop_half_way(record, sidecar.port, number) for number in range(BAD_CLIENTS)]
            await asyncio.gather(*bad)
        await asyncio.sleep(2.0)
        assert sidecar.process is not None
        crashed = sidecar.process.poll() is not None
        watch.cancel()
        peak_mb = await watch
        for client in usual:
            client.cancel()
        await asyncio.gather(*usual, return_exceptions=True)
    finally:
        sidecar.close()
    lost = sum(bool(answer.problem) for answer in answers)
    record.write(f"peak {peak_mb:.1f} MB of {MEMORY_MB}; {len(answers)} requests, {lost} without an answer")
    return not crashed


if __name__ == "__main__":
    rig2.play(FOLDER, main)
