"""SIGKILL at the longest deadline (3 s at most) and 0.7 s after SIGTERM: the process has ended by then.

Its servers hang throughout, and clients send on whatever connection is open until they see its end.
"""

import asyncio
import contextlib
import signal

import pytest
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    config,
    endpoint_entry,
    list_update,
    never_respond,
    read_message,
    request_message,
    run,
    wait_until,
)
from process_helpers import SidecarProcess

pytestmark = pytest.mark.processes

KILL_AFTER_S = 0.7  # beyond the longest deadline
HELD_UP_S = 0.15  # STANDING.md, beyond this bench
HELD_UP_AT_S = 0.58  # after SIGTERM: just before the end, as deadlines of 0.1 s have it
STRANGERS_S = 0.4  # after SIGTERM, for which new connections come


class Clients:
    """What they asked and what they were told, by the name of each request."""

    def __init__(self, port, deadline_s):
        self.port = port
        self.deadline = f"{deadline_s * 1000:.0f}m"
        self.asked: set[str] = set()
        self.told: dict[str, int] = {}

    def request(self, name):
        self.asked.add(name)
        return request_message("order", name, self.deadline)

    async def ask(self, reader, writer, *names):
        for name in names:
            writer.write(self.request(name))
        for name in names:
            self.told[name] = (await read_message(reader)).code

    async def stay(self, name, ahead, pause_s):
        """Ask again and again on one connection, some requests ahead of their answers."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for turn in range(100_000):
                await self.ask(reader, writer, *(f"{name}-{turn}-{n}" for n in range(ahead)))
                await asyncio.sleep(pause_s)
        writer.close()

    async def come(self, name, until_s):
        """Ask once on each of many new connections."""
        loop, turn = asyncio.get_running_loop(), 0
        while loop.time() < until_s:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            await self.ask(reader, writer, f"{name}-{turn}")
            writer.close()
            turn += 1

    async def stop_midway(self, name):
        """Stop in the middle of a request: what comes after that."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request_message("order", name, self.deadline, b"body")[:-2])
        found = await read_message(reader)
        assert await reader.read() == b""
        writer.close()
        return found.code


async def hold_up(process, after_s):
    """Keep the process from its processor for as long as pages allow, until shortly after it was to end."""
    await asyncio.sleep(after_s)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(HELD_UP_S)
    process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("deadline_s", "held_up"),
    [(0.1, False), (0.1, True), (3.0, False)],
    ids=["short", "held up", "long"],
)
def test_it_has_ended_when_sigkill_comes_and_all_that_it_read_is_answered(tmp_path, deadline_s, held_up):
    async def play():
        fakes = [await FakePeer(never_respond).start() for _ in range(3)]
        data = config(
            list_update(1, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))
        )
        for spec in data["settings"]["classes"]:
            spec["deadline-ns"] = int(deadline_s * 1000 * MS)
            spec["objective-ns"] = spec["deadline-ns"] // 2
        async with SidecarProcess(tmp_path / "c", data) as sidecar:
            loop = asyncio.get_running_loop()
            clients = Clients(sidecar.port, deadline_s)
            tasks = [asyncio.create_task(clients.stay(f"one{n}", 1, 0.0)) for n in range(6)]
            tasks += [asyncio.create_task(clients.stay(f"rests{n}", 1, 0.07 * (n + 1))) for n in range(6)]
            tasks += [asyncio.create_task(clients.stay(f"ahead{n}", 4, 0.0)) for n in range(4)]
            await wait_until(lambda: any(fake.received for fake in fakes))
            await asyncio.sleep(0.3)
            halves = [asyncio.create_task(clients.stop_midway(f"half{n}")) for n in range(4)]
            began = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            tasks += [asyncio.create_task(clients.come(f"new{n}", began + STRANGERS_S)) for n in range(4)]
            if held_up:
                tasks.append(asyncio.create_task(hold_up(sidecar.process, HELD_UP_AT_S)))
            async with asyncio.timeout(deadline_s + KILL_AFTER_S):
                assert await sidecar.process.wait() == 0
            took_s = loop.time() - began
            print(f"ended {took_s:.3f} s after SIGTERM, of {deadline_s + KILL_AFTER_S:.1f}")
            await asyncio.gather(*tasks)
            assert {await half for half in halves} <= {408, 503}
            assert b"Traceback" not in await sidecar.log
            read = {got.headers["x-request-id"] for fake in fakes for got in fake.received}
            assert read
            assert not read - set(clients.told)
            # What else has no answer crossed the end of its connection, unread: the latest of each at most.
            unread = {name.rsplit("-", 2)[0] for name in clients.asked - set(clients.told)}
            assert all(name.startswith(("one", "rests", "ahead")) for name in unread)
            assert len(clients.told) > 16

    run(play())
