"""The program under a descriptor limit of the system, while one address opens thousands of idle connections:
known clients must not be affected."""

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

FLOOD_HOST = "127.200.0.1"
CONNECTIONS = 5000
SOCKETS = 200  # limit of the system; the configuration allows more
SERVICE_CONFIG = """[admission]
known = ["127.100.0.0/16"]
reserve = 40
"""
PER_ADDRESS = "connections_per_address = 16\nnew_connections_per_s = 500\n"


async def open_from(address, port):
    """Open a plain socket: five thousand streams would cost the test more than the sidecar."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.bind((address, 0))
    with contextlib.suppress(ConnectionError):
        await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def get_response(port, address, ident):
    """Connect, send a request, and retry it on that connection after each Retry-After."""
    reader, writer = await asyncio.open_connection(HOST, port, local_addr=(address, 0))
    for attempt in range(20):
        writer.write(request_message("lookup", f"{ident}-{attempt}"))
        response = await read_message(reader)
        if response.code == 200:
            break
        assert response.code == 503
        await asyncio.sleep(float(response.headers["retry-after"]))
    assert response.code == 200
    writer.close()


def open_files(pid):
    targets = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(FileNotFoundError):  # closed after it was listed
            targets.append(os.readlink(f"/proc/{pid}/fd/{name}"))
    return targets


@pytest.mark.parametrize("address_limits", ["", PER_ADDRESS], ids=["reserve-only", "with-address-limits"])
def test_known_clients_are_served_during_flood_of_idle_connections(tmp_path, monkeypatch, address_limits):
    service = tmp_path / "service.toml"
    service.write_text(SERVICE_CONFIG + address_limits)
    monkeypatch.setenv("DYKEFOLD_SERVICE", str(service))

    async def scenario():
        async def respond(request, reader, writer):
            if request.headers["x-request-id"].startswith("pending"):
                await gate.wait()
            await respond_ok(request, reader, writer)

        gate = asyncio.Event()
        fake = await FakePeer(respond).start()
        entries = [endpoint_entry(f"s{number}", fake.address) for number in range(4)]
        data = config(list_update(1, *entries), limits={"sockets": 1024})
        async with SidecarProcess(tmp_path / "c", data, max_descriptors=SOCKETS) as sidecar:
            # Opened before the flood, one of them from the flooding address itself.
            pending = []
            for number, address in enumerate(["127.100.0.1", "127.100.0.2", "127.0.0.9", FLOOD_HOST]):
                reader, writer = await asyncio.open_connection(HOST, sidecar.port, local_addr=(address, 0))
                writer.write(request_message("order", f"pending{number}"))
                pending.append((reader, writer))
            await wait_until(lambda: len(fake.received) == 4)
            flood = []
            for start in range(0, CONNECTIONS, 250):
                flood += await asyncio.gather(*(open_from(FLOOD_HOST, sidecar.port) for _ in range(250)))
                if start % 1000:
                    continue
                for number in range(20):  # each opens a connection during the flood and is served
                    await get_response(sidecar.port, f"127.100.1.{number + 1}", f"known{start}-{number}")
            assert len(flood) == CONNECTIONS
            paths = open_files(sidecar.process.pid)
            assert len(paths) <= SOCKETS
            assert "/dev/null" in paths
            # The sidecar can still open files: it rereads the configuration during the flood.
            data["discovery"] = f"{HOST}:{fake.port}"
            sidecar.config_path.write_text(json.dumps(data))
            sidecar.process.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: any(request.start_line.startswith("GET /api/targets") for request in fake.received)
            )
            gate.set()
            for reader, writer in pending:
                assert (await read_message(reader)).code == 200
                writer.close()
            request_ids = [
                request.headers.get("x-request-id")
                for request in fake.received
                if request.start_line.startswith("POST")
            ]
            assert sorted(request_ids) == ["pending0", "pending1", "pending2", "pending3"]
            for sock in flood:
                sock.close()
            sidecar.process.send_signal(signal.SIGTERM)
            assert await sidecar.process.wait() == 0
            lines = (await sidecar.log).decode().splitlines()
            assert not any("Traceback" in line for line in lines)
            # Connections are not logged one by one: five limits, at most one line per limit in ten seconds.
            limit_messages = ("sidecar rejected clients", "listener ran out of descriptors")
            assert sum(any(text in line for text in limit_messages) for line in lines) <= 10, lines

    run(scenario())


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
def test_check_reports_each_problem_of_invalid_service_file(tmp_path, capsys, text, problems):
    from dykefold.__main__ import check

    path = tmp_path / "service.toml"
    path.write_text(text)
    assert check(str(path)) == 2
    errors = capsys.readouterr().err.splitlines()
    assert all(line.startswith(f"{path}: ") for line in errors)
    for problem in problems:
        assert any(problem in line for line in errors), errors


def test_shipped_service_file_is_valid_and_sets_no_limits():
    from pathlib import Path

    from dykefold.admission.addresses import AddressLimits
    from dykefold.service_config import read_service

    service = read_service(str(Path(__file__).parents[2] / "deploy" / "service.toml"))
    assert service.address_limits == AddressLimits()
    assert service.plan is None
