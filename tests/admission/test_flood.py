"""The real program with its descriptors limited by the system, one address that opens thousands of idle
connections, and known clients that must not notice."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    config,
    endpoint_entry,
    list_update,
    read_message,
    request_message,
    respond_ok,
    run,
    wait_until,
)
from test_process import SidecarProcess

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

FLOOD = "127.200.0.1"
CONNECTIONS = 5000
SOCKETS = 200  # by the system; the configuration says more
CAPS = """[admission]
known = ["127.100.0.0/16"]
reserve = 40
"""
PER_ADDRESS = "connections_per_address = 16\nnew_connections_per_s = 500\n"


async def open_from(address, port):
    """A plain socket: five thousand streams would cost the test more than the sidecar."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind((address, 0))
    with contextlib.suppress(ConnectionError):
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def be_served(port, address, ident):
    """Connect, send a request, and send it again on that connection when Retry-After says so."""
    reader, writer = await asyncio.open_connection(HOST, port, local_addr=(address, 0))
    for turn in range(20):
        writer.write(request_message("lookup", f"{ident}-{turn}"))
        answer = await read_message(reader)
        if answer.code == 200:
            break
        assert answer.code == 503
        await asyncio.sleep(float(answer.headers["retry-after"]))
    assert answer.code == 200
    writer.close()


def files_of(pid):
    found = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(FileNotFoundError):  # closed since it was listed
            found.append(os.readlink(f"/proc/{pid}/fd/{name}"))
    return found


@pytest.mark.parametrize("caps", ["", PER_ADDRESS], ids=["reserve-alone", "with-caps"])
def test_known_clients_and_open_requests_survive_five_thousand_idle_connections(tmp_path, monkeypatch, caps):
    service = tmp_path / "service.toml"
    service.write_text(CAPS + caps)
    monkeypatch.setenv("DYKEFOLD_SERVICE", str(service))

    async def play():
        async def act(got, reader, writer):
            if got.headers["x-request-id"].startswith("held"):
                await go.wait()
            await respond_ok(got, reader, writer)

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        nodes = [endpoint_entry(f"s{number}", fake.address) for number in range(4)]
        data = config(list_update(1, *nodes), limits={"sockets": 1024})
        async with SidecarProcess(tmp_path / "c", data, max_descriptors=SOCKETS) as sidecar:
            # Taken before the flood, one of them from the very address that floods.
            held = []
            for number, address in enumerate(["127.100.0.1", "127.100.0.2", "127.0.0.9", FLOOD]):
                reader, writer = await asyncio.open_connection(HOST, sidecar.port, local_addr=(address, 0))
                writer.write(request_message("order", f"held{number}"))
                held.append((reader, writer))
            await wait_until(lambda: len(fake.received) == 4)
            flood = []
            for start in range(0, CONNECTIONS, 250):
                flood += await asyncio.gather(*(open_from(FLOOD, sidecar.port) for _ in range(250)))
                if start % 1000:
                    continue
                for number in range(20):  # each connects anew, in the middle of the flood, and is served
                    await be_served(sidecar.port, f"127.100.1.{number + 1}", f"known{start}-{number}")
            assert len(flood) == CONNECTIONS
            files = files_of(sidecar.process.pid)
            assert len(files) <= SOCKETS
            assert "/dev/null" in files
            # Its own files still open: it rereads the configuration under the flood.
            data["discovery"] = f"{HOST}:{fake.port}"
            sidecar.config_path.write_text(json.dumps(data))
            sidecar.process.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: any(got.start_line.startswith("GET /api/targets") for got in fake.received)
            )
            go.set()
            for reader, writer in held:
                assert (await read_message(reader)).code == 200
                writer.close()
            counted = [
                got.headers.get("x-request-id") for got in fake.received if got.start_line.startswith("POST")
            ]
            assert sorted(counted) == ["held0", "held1", "held2", "held3"]
            for sock in flood:
                sock.close()
            sidecar.process.send_signal(signal.SIGTERM)
            assert await sidecar.process.wait() == 0
            lines = (await sidecar.log).decode().splitlines()
            assert not any("Traceback" in line for line in lines)
            # No line for each bad connection: five limits, one line in ten seconds on each.
            limits = ("sidecar rejected clients", "listener ran out of descriptors")
            assert sum(any(text in line for text in limits) for line in lines) <= 10, lines

    run(play())


@pytest.mark.parametrize(
    ("text", "problems"),
    [
        ("[admission]\nreserve = -1\n", ["admission.reserve = -1: expected `int` >= 0"]),
        (
            '[admission]\nknown = ["10.1.0.1/16", "x"]\nreserves = 3\n[pool]\n',
            ["pool: unknown", "10.1.0.1/16", "'x'", "admission.reserves: unknown"],
        ),
        ("[admission\n", ["is no TOML"]),
        ("admission = 3\n", ["expected a table"]),
    ],
)
def test_each_problem_of_a_bad_file_is_reported_with_place_and_expectation(tmp_path, capsys, text, problems):
    from dykefold.__main__ import check

    path = tmp_path / "service.toml"
    path.write_text(text)
    assert check(str(path)) == 2
    told = capsys.readouterr().err.splitlines()
    assert all(line.startswith(f"{path}: ") for line in told)
    for problem in problems:
        assert any(problem in line for line in told), told


def test_the_file_that_is_shipped_is_good_and_switches_nothing_on():
    from pathlib import Path

    from dykefold.admission.addresses import AddressLimits
    from dykefold.service_config import read_service

    read = read_service(str(Path(__file__).parents[2] / "deploy" / "service.toml"))
    assert read.address_limits == AddressLimits()
    assert read.plan is None
