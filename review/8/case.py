"""A planned restart after a new configuration that drops the class with the longest deadline."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402
from rig2 import Answer, Client, Discovery, Record, Request, Server, Sidecar  # noqa: E402

# As in sapporo-billing: deadlines of 6 s, 2.5 s and 1.5 s.
READ = rig2.request_class("credit-lookup", 6000, 1200, "pure")
POST = rig2.request_class("credit-post", 2500, 800, "token")
SHARE = rig2.request_class("share-transfer", 1500, 750, "token")
LONGEST_S = 2.5  # of the classes that stay
# The page: SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s more after SIGTERM.
KILL_AFTER_S = LONGEST_S + 0.7
# The page: what SIGKILL finds unanswered is lost if it came more than 0.7 s after SIGTERM.
COUNTED_AFTER_S = 0.7
CLIENTS = 12
WORK_S = 0.3
HANGING = ("s0", "s1")  # half of the servers hang while the sidecar ends
HANG_AFTER_S = 1.6
AFTER_HUP_S = 8.0  # requests of the dropped class would be over: 1.2 s until clients change, and 6 s
ANSWER_TIMEOUT_S = 8.0


class Platform:
    """What the clients share.

    Args:
        record: Record of the case.
        port: Port of the sidecar.
    """

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.answers: list[Answer] = []
        self.stopping = False

    async def send_all_the_time(self, number: int) -> None:
        """Send one request after another, on one connection for as long as it stays open."""
        client = Client(self.record, self.port)
        spec = POST if number % 3 else SHARE
        deadline_ms = spec["deadline-ns"] // rig2.MS
        try:
            while True:
                await client.connect()
                while True:
                    request_id = rig2.new_id()
                    payload = rig2.encode(spec, request_id, deadline_ms)
                    answer = await client.ask(payload, request_id, ANSWER_TIMEOUT_S)
                    self.answers.append(answer)
                    text = answer.problem or str(answer.code)
                    self.record.write(f"client {number}: {request_id} of {answer.sent_s:.3f}: {text}")
                    if answer.problem or not answer.keep:
                        break
                    await asyncio.sleep(0.02)
                client.close()
                await asyncio.sleep(0.02)
        except OSError:
            self.record.write(f"client {number}: new connections are refused")
            client.close()


async def main(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    hung = asyncio.Event()

    async def serve(request: Request) -> None:
        if not hung.is_set() or request.connection.server.name not in HANGING:
            await asyncio.sleep(WORK_S)
            request.connection.answer(rig2.OK, request.id.encode())

    servers = [Server(record, f"s{number}", serve) for number in range(4)]
    for server in servers:
        await server.up()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.up()
    sidecar = Sidecar(record, rig2.configuration(discovery, [READ, POST, SHARE]))
    try:
        if not rig2.TROUBLE:
            sidecar.config["settings"] = rig2.settings([POST, SHARE])
        await sidecar.start()
        platform = Platform(record, sidecar.port)
        tasks = [asyncio.create_task(platform.send_all_the_time(number)) for number in range(CLIENTS)]
        await asyncio.sleep(1.5)
        if rig2.TROUBLE:  # the new configuration drops the class with the longest deadline
            sidecar.config["settings"] = rig2.settings([POST, SHARE])
            sidecar.write_config()
            sidecar.signal(signal.SIGHUP)
        await asyncio.sleep(AFTER_HUP_S)
        served = sum(answer.code == rig2.OK for answer in platform.answers)
        if served < CLIENTS:
            problem = f"only {served} requests were served before the restart"
            raise rig2.CouldNotRunError(problem)
        sidecar.signal(signal.SIGTERM)
        term_s = record.now_s()
        asyncio.get_running_loop().call_later(HANG_AFTER_S, hung.set)
        await asyncio.sleep(term_s + KILL_AFTER_S - record.now_s())
        sidecar.signal(signal.SIGKILL)
        await asyncio.gather(*tasks)
    finally:
        sidecar.close()
    lost = [
        answer
        for answer in platform.answers
        if answer.problem and answer.sent_s > term_s + COUNTED_AFTER_S and _was_taken(servers, answer.id)
    ]
    for answer in lost:
        after_s = answer.sent_s - term_s
        record.write(f"lost: {answer.id}, sent {after_s:.3f} s after SIGTERM: {answer.problem}")
    record.write(f"{len(platform.answers)} requests, {served} served before the restart, {len(lost)} lost")
    return not lost


def _was_taken(servers: list[Server], request_id: str) -> bool:
    """Return whether the sidecar has forwarded a request, and so has taken it."""
    return any(request.id == request_id for server in servers for request in server.requests)


if __name__ == "__main__":
    rig2.play(FOLDER, main)
