"""Servers send some answers a second time, some milliseconds late; each client must get its own answer."""

from __future__ import annotations

import asyncio
import random

from rig import (
    OK,
    Client,
    Discovery,
    Record,
    Request,
    Server,
    ServerList,
    Sidecar,
    Verdict,
    answer_head,
    has_trouble,
    keep,
    main,
    message,
    start_proxy,
)

SERVERS = 3
SIDECARS = 5
CLIENTS = 1  # of each sidecar; it sends its next request when it has the answer to the last one
DELAYS_S = (0.010, 0.015, 0.020)  # one way between sites (BRIEF 1.3)
WORK_S = (0.029, 0.052)
SECOND_ANSWERS = 0.03  # share of the answers that come twice
LATE_S = (0.004, 0.010)  # some milliseconds
PLAYED_S = 25.0
CLASSES = ("lookup", "hold", "order")
DEADLINE_MS = 2000


class Parts:
    """The answers of all servers.

    Args:
        record: Record of the case.

    Attributes:
        made: Bodies that servers made, by the id of their request.
        servers: Servers by name.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.source = random.Random(1)
        self.made: dict[str, list[bytes]] = {}
        self.servers: dict[str, Server] = {}

    async def serve(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a request, and perhaps once more some milliseconds later."""
        await asyncio.sleep(self.source.uniform(*WORK_S))
        body = f"answer of {request.server} to {request.ident}".encode()
        self.made.setdefault(request.ident, []).append(body)
        writer.write(answer_head(len(body)) + body)
        self.record.add(f"answer {request.server} connection={request.connection} id={request.ident}")
        if has_trouble() and self.source.random() < SECOND_ANSWERS:
            keep(self.repeat(request, writer, answer_head(len(body)) + body))

    async def repeat(self, request: Request, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Send an answer again, if nothing else waits on its connection by then (LATER, bad servers)."""
        await asyncio.sleep(self.source.uniform(*LATE_S))
        if request.connection in self.servers[request.server].busy or writer.is_closing():
            return
        writer.write(answer)
        self.record.add(f"second {request.server} connection={request.connection} id={request.ident}")


async def use(port: int, name: str, parts: Parts, verdict: Verdict) -> None:
    """Send one request after another, and compare each answer with what the servers made for it."""
    client, source, record = Client(port), random.Random(name), parts.record
    until_s = record.now() + PLAYED_S
    number = 0
    while record.now() < until_s:
        number += 1
        ident = f"{name}-{number:06d}"
        kind = source.choice(CLASSES)
        answer = await client.exchange(
            message(ident, kind, DEADLINE_MS, f"key-{ident}" if kind == "hold" else "")
        )
        record.add(f"client got {answer.code} for id={ident} ({kind}): {answer.body.decode()!r}")
        verdict.checked += 1
        if answer.code == OK and answer.body not in parts.made.get(ident, []):
            verdict.breaks.append(f"lost: the {kind} id={ident} was served with {answer.body.decode()!r}")
        if answer.code != OK:
            await asyncio.sleep(0.1)


async def play_case(record: Record) -> Verdict:
    """Play a deployment whose sidecars are at another site than the servers."""
    parts, verdict = Parts(record), Verdict()
    entries = []
    for number in range(SERVERS):
        server = Server(f"s-{number}", number + 1, record, parts.serve)
        await server.start()
        parts.servers[server.name] = server
        entries.append(server.entry(await start_proxy(server.port, DELAYS_S[number])))
    listed = ServerList(record, entries)
    discovery = Discovery(listed)
    await discovery.come_up()
    sidecars = [Sidecar(listed.whole(), discovery.port, record) for _ in range(SIDECARS)]
    try:
        for index, sidecar in enumerate(sidecars):
            sidecar.config["name"] = f"n{index}"
            sidecar.config["settings"] |= {"index": index, "fleet-size": SIDECARS}
            await sidecar.start()
        await asyncio.gather(
            *(
                use(sidecar.port, f"{index}{number}", parts, verdict)
                for index, sidecar in enumerate(sidecars)
                for number in range(CLIENTS)
            )
        )
        for sidecar in sidecars:
            sidecar.check_running()
    finally:
        for sidecar in sidecars:
            await sidecar.stop()
    return verdict


if __name__ == "__main__":
    main(play_case, __file__)
