"""Discovery moves during a release, and its new address is crowded at first; later a server drains."""

from __future__ import annotations

import asyncio
import random
import time

from rig import (
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
)

SERVERS = 15
SIDECARS = 3
REQUESTS_PER_S = 15.0  # of each sidecar
WORK_S = 0.04
REPLACED = 9  # six in ten
DRAINED = 10  # one of those that stay, at the site of the sidecars
RELEASE_S = 7.0
CALM_S = 3.0
MOVE_AFTER_S = 3.0  # since the release began
CROWDED_S = 1.0
OLD_ADDRESS_S = 1.5  # the old address closes open connections after this time
# A change counts as told at the latest 6 s after discovery had it and could be reached (STANDING).
TOLD_S = 6.0
GRACE_S = 0.5  # rules.drain-grace-ns
SLACK_S = 0.05  # each time limit on sockets is 50 ms longer
HELD_UP_S = 0.15  # between reading the clock and writing
WATCHED_S = 6.0


async def serve(request: Request, writer: asyncio.StreamWriter) -> None:
    """Answer after the usual work."""
    await asyncio.sleep(WORK_S)
    body = f"answer to {request.ident}".encode()
    writer.write(answer_head(len(body)) + body)


async def send_requests(port: int, index: int, record: Record) -> None:
    """Send lookups to a sidecar at random times for as long as the case lasts."""
    source = random.Random(index)
    clients: list[Client] = []
    number = 0

    async def ask(ident: str) -> None:
        client = clients.pop() if clients else Client(port)
        answer = await client.exchange(message(ident, "lookup", 3000))
        record.add(f"client got {answer.code} for id={ident}")
        clients.append(client)

    while True:
        number += 1
        keep(ask(f"n{index}-{number:013x}"))
        await asyncio.sleep(source.expovariate(REQUESTS_PER_S))


async def release(listed: ServerList, old: list[Server], new: list[Server]) -> None:
    """Replace servers in steps: a new one serves, the old one drains and is gone a step later."""
    step_s = RELEASE_S / (3 * REPLACED)
    for leaving, coming in zip(old, new, strict=True):
        listed.put({**coming.entry(), "since_ms": int(time.time() * 1000)})
        await asyncio.sleep(step_s)
        listed.set_status(leaving.name, "DRAINING")
        await asyncio.sleep(step_s)
        listed.set_status(leaving.name, "DELETED")
        await asyncio.sleep(step_s)


async def move(old: Discovery, new: Discovery, sidecars: list[Sidecar]) -> None:
    """Move discovery to another address, and give all sidecars their new configuration."""
    await new.come_up()
    new.crowded = has_trouble()
    for sidecar in sidecars:
        sidecar.config["discovery"] = f"127.0.0.1:{new.port}"
        sidecar.reload()
    old.retire(OLD_ADDRESS_S)
    await asyncio.sleep(CROWDED_S)
    new.crowded = False


async def play_case(record: Record) -> Verdict:
    """Play the release with the move, then a drain; judge the first bytes of requests at that server."""
    servers = [Server(f"s-{number:02d}", number % 5, record, serve) for number in range(SERVERS + REPLACED)]
    for server in servers:
        await server.start()
    first, coming = servers[:SERVERS], servers[SERVERS:]
    listed = ServerList(record, [server.entry() for server in first])
    old, new = Discovery(listed), Discovery(listed)
    await old.come_up()
    sidecars = [Sidecar(listed.whole(), old.port, record) for _ in range(SIDECARS)]
    verdict = Verdict()
    try:
        for index, sidecar in enumerate(sidecars):
            sidecar.config["name"] = f"n{index}"
            sidecar.config["settings"] |= {"index": index, "fleet-size": SIDECARS}
            await sidecar.start()
            keep(send_requests(sidecar.port, index, record))
        await asyncio.sleep(CALM_S)
        releasing = keep(release(listed, first[:REPLACED], coming))
        await asyncio.sleep(MOVE_AFTER_S)
        await move(old, new, sidecars)
        await releasing
        await asyncio.sleep(CALM_S)
        drained = first[DRAINED]
        listed.set_status(drained.name, "DRAINING")
        limit_s = record.now() + TOLD_S + GRACE_S + SLACK_S + HELD_UP_S
        await asyncio.sleep(limit_s - record.now() + WATCHED_S)
        for sidecar in sidecars:
            sidecar.check_running()
        verdict.checked = sum(request.began_s > limit_s for server in servers for request in server.requests)
        verdict.breaks = [
            f"drain: {drained.name} got id={request.ident} {request.began_s - limit_s:.3f} s after the limit"
            for request in drained.requests
            if request.began_s > limit_s
        ]
        record.add(f"limit for {drained.name}: {limit_s:.4f}; {verdict}")
    finally:
        for sidecar in sidecars:
            await sidecar.stop()
    return verdict


if __name__ == "__main__":
    main(play_case, __file__)
