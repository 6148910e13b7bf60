"""The process exits before SIGKILL, which the platform sends 0.7 s and the longest deadline after SIGTERM.

The longest deadline is 3 s at most. The endpoints never respond, and clients send on each open connection
until it is closed.
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

KILL_AFTER_S = 0.7  # after the longest deadline
PAUSE_S = 0.15  # the longest pause that a process has to tolerate
PAUSE_AFTER_S = 0.58  # after SIGTERM: just before the exit with deadlines of 0.1 s
NEW_CONNECTIONS_S = 0.4  # period after SIGTERM in which new connections are opened


class Clients:
    """Clients of the sidecar, with the requests that they sent and the status codes that they received.

    Attributes:
        port: Port of the sidecar.
        deadline: Deadline of the requests, as the header has it.
        sent: Names of the sent requests.
        codes: Status code of each answered request by its name.
    """

    def __init__(self, port, deadline_s):
        self.port = port
        self.deadline = f"{deadline_s * 1000:.0f}m"
        self.sent: set[str] = set()
        self.codes: dict[str, int] = {}

    def new_request(self, name):
        self.sent.add(name)
        return request_message("order", name, self.deadline)

    async def send_all(self, reader, writer, *names):
        for name in names:
            writer.write(self.new_request(name))
        for name in names:
            self.codes[name] = (await read_message(reader)).code

    async def send_continuously(self, name, pipelined, pause_s):
        """Send on one connection until it is closed, with a number of pipelined requests."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for count in range(100_000):
                await self.send_all(reader, writer, *(f"{name}-{count}-{n}" for n in range(pipelined)))
                await asyncio.sleep(pause_s)
        writer.close()

    async def send_on_new_connections(self, name, until_s):
        """Send one request on each of many new connections."""
        loop, count = asyncio.get_running_loop(), 0
        while loop.time() < until_s:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            await self.send_all(reader, writer, f"{name}-{count}")
            writer.close()
            count += 1

    async def send_incomplete_request(self, name):
        """Send an incomplete request; return the status code of the response."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(request_message("order", name, self.deadline, b"body")[:-2])
        response = await read_message(reader)
        assert await reader.read() == b""
        writer.close()
        return response.code


async def pause_process(process, after_s):
    """Stop the process for the longest tolerated pause, until shortly after its planned exit."""
    await asyncio.sleep(after_s)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("deadline_s", "paused"),
    [(0.1, False), (0.1, True), (3.0, False)],
    ids=["short deadline", "short deadline and paused", "long deadline"],
)
def test_sidecar_exits_before_sigkill_and_answers_each_request_it_read(tmp_path, deadline_s, paused):
    async def run_scenario():
        endpoints = [await FakePeer(never_respond).start() for _ in range(3)]
        data = config(
            list_update(
                1, *(endpoint_entry(f"s{n}", endpoint.address) for n, endpoint in enumerate(endpoints))
            )
        )
        for spec in data["settings"]["classes"]:
            spec["deadline-ns"] = int(deadline_s * 1000 * MS)
            spec["objective-ns"] = spec["deadline-ns"] // 2
        async with SidecarProcess(tmp_path / "c", data) as sidecar:
            loop = asyncio.get_running_loop()
            clients = Clients(sidecar.port, deadline_s)
            tasks = [asyncio.create_task(clients.send_continuously(f"busy{n}", 1, 0.0)) for n in range(6)]
            tasks += [
                asyncio.create_task(clients.send_continuously(f"pause{n}", 1, 0.07 * (n + 1)))
                for n in range(6)
            ]
            tasks += [asyncio.create_task(clients.send_continuously(f"pipe{n}", 4, 0.0)) for n in range(4)]
            await wait_until(lambda: any(endpoint.received for endpoint in endpoints))
            await asyncio.sleep(0.3)
            incomplete = [asyncio.create_task(clients.send_incomplete_request(f"half{n}")) for n in range(4)]
            started_s = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            tasks += [
                asyncio.create_task(clients.send_on_new_connections(f"new{n}", started_s + NEW_CONNECTIONS_S))
                for n in range(4)
            ]
            if paused:
                tasks.append(asyncio.create_task(pause_process(sidecar.process, PAUSE_AFTER_S)))
            async with asyncio.timeout(deadline_s + KILL_AFTER_S):
                assert await sidecar.process.wait() == 0
            took_s = loop.time() - started_s
            print(f"exited {took_s:.3f} s after SIGTERM; limit: {deadline_s + KILL_AFTER_S:.1f}")
            await asyncio.gather(*tasks)
            assert {await task for task in incomplete} <= {408, 503}
            assert b"Traceback" not in await sidecar.log
            read_names = {
                message.headers["x-request-id"] for endpoint in endpoints for message in endpoint.received
            }
            assert read_names
            assert not read_names - set(clients.codes)
            # Other requests without a response crossed the close of their connection unread, at most the last
            # ones of each.
            unread_clients = {name.rsplit("-", 2)[0] for name in clients.sent - set(clients.codes)}
            assert all(name.startswith(("busy", "pause", "pipe")) for name in unread_clients)
            assert len(clients.codes) > 16

    run(run_scenario())
