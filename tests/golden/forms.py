"""Data formats that operators, other versions of the program, discovery and endpoints read or write.

Each function returns one family of formats as JSON values. `forms.json` has the output of the program before
its modules were renamed; `python tests/golden/forms.py` prints the present output, for added formats.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import helpers  # noqa: E402
import net_helpers  # noqa: E402
from typer.testing import CliRunner  # noqa: E402

from dykefold.balancer.events import Outcome, Status  # noqa: E402
from dykefold.cli.app import app as command_line  # noqa: E402
from dykefold.control.admin_requests import AdminRequest, parse_admin_request, parse_membership_request  # noqa: E402
from dykefold.control.balancer_snapshot import snapshot  # noqa: E402
from dykefold.control.hot_restart_state import HotRestartState, ProcessHeartbeat  # noqa: E402
from dykefold.control.process_records import heartbeat_record  # noqa: E402
from dykefold.control.state_directory import FileStateDirectory  # noqa: E402
from dykefold.fleet import datagrams  # noqa: E402
from dykefold.net.discovery.codec import NameTable, endpoint_update_record, parse_endpoint_update  # noqa: E402
from dykefold.net.service.maintenance import MaintenanceOrder  # noqa: E402

ENCODED_STATE = 0x0000_0123_4567_0000
HEARTBEAT_FIELDS = {
    "name": "00000000000000000007-41",
    "started_ns": 7,
    "written_ns": 11,
    "acknowledged": ("a", "b"),
    "max_descriptors": 96,
}
SERVICE_FILES = {
    "good": (ROOT / "deploy/service.toml").read_text(),
    "not toml": "[pools\n",
    "unknown key": '[admission]\nmost = 3\n[pools.p]\nservers = ["127.0.0.1:1"]\n',
    "no server": "[pools.p]\nservers = []\n",
    "bad route": '[pools.p]\nservers = ["127.0.0.1:1"]\n[[routes]]\npool = "q"\npath = "x"\n',
}
ADMIN_REQUESTS = [
    ("GET", "/healthcheck"), ("POST", "/healthcheck"), ("GET", "/"), ("GET", "x"), ("GET", "/" + "a" * 1100),
    ("POST", "/servers/s-5be2/maint"), ("POST", "/servers/s%20one/ready"), ("GET", "/servers/s/maint"),
    ("POST", "/servers//maint"), ("POST", "/servers/%ff/maint"), ("POST", "/servers/s/out"),
]  # fmt: skip
MEMBERSHIP_REQUESTS = [("GET", "/fleet"), ("GET", "/fleet/brief"), ("GET", "/fleet/plan"), ("POST", "/fleet")]


def datagram_forms():
    """Return datagrams of the membership protocol by kind, as hexadecimal text."""
    record = datagrams.Record(1, 3, 17, 0x0123456789, 5, 900, 600_000_000)
    forms = {}
    for kind in datagrams.Kind:
        if kind is datagrams.Kind.DIGESTS:
            digest_range = datagrams.DigestRange(0, 8, 4)
            datagram = datagrams.Datagram(
                kind, 77, ENCODED_STATE, 9, digest_range=digest_range, digests=(1, 0xFFFFFFFF)
            )
        else:
            entries = (datagrams.MemberEntry(2, ENCODED_STATE), datagrams.MemberEntry(5, ENCODED_STATE))
            datagram = datagrams.Datagram(kind, 77, ENCODED_STATE, 9, 4, entries, records=(record,))
        forms[str(kind.value)] = datagrams.encode(datagram).hex()
    forms["roster"] = datagrams.fleet_checksum([("127.0.0.1", 4000), ("127.0.0.1", 4001)])
    return forms


def state_directory_forms():
    """Return names and contents of the files that the processes of one sidecar write for each other."""
    forms = {}
    with tempfile.TemporaryDirectory() as folder:
        files = FileStateDirectory(folder)
        heartbeat = ProcessHeartbeat(**HEARTBEAT_FIELDS, state=HotRestartState.SHARING, listener_index=1)
        orders = {
            "s-1": MaintenanceOrder(1_790_000_000_000_000_000, True),
            "s-2": MaintenanceOrder(1_790_000_000_000_000_001, False),
        }
        files.lock(f"sign-{heartbeat.name}")
        files.write(f"sign-{heartbeat.name}", {**heartbeat_record(heartbeat, orders), "lists": {"": 4}})
        names = NameTable(["a", "b"], ["std"])
        entries = parse_endpoint_update(endpoint_list(), names).entries
        files.write(f"list-{heartbeat.name}", {"pools": {"": endpoint_update_record(4, entries, names)}})
        files.write(f"state-{heartbeat.name}", {"pools": {"": snapshot_form()}})
        for path in sorted(Path(folder).rglob("*")):
            name = str(path.relative_to(folder))
            forms[name] = json.loads(path.read_text()) if path.suffix == ".json" else path.is_dir()
    forms["states"] = sorted(state.value for state in HotRestartState)
    return forms


def endpoint_list():
    """Return an endpoint list as discovery sends it."""
    entries = [
        net_helpers.endpoint_entry(f"s{n}", f"127.0.0.1:{4000 + n}", since_ms=1000 + n) for n in range(3)
    ]
    return net_helpers.list_update(4, *entries)


def snapshot_form():
    """Return the snapshot of a balancer after a few requests, with which a newer process starts."""
    names = NameTable(["a", "b"], ["std"])
    balancer, now = helpers.make_balancer(
        endpoints=[listed.endpoint for listed in parse_endpoint_update(endpoint_list(), names).entries]
    )
    for ident in range(12):
        sent = helpers.submit_request(balancer, now, ident)
        now += 40 * helpers.MS
        status = Status.ERROR if ident == 7 else Status.OK
        balancer.handle(now, Outcome(ident, 0, sent.endpoint_number, status, 40 * helpers.MS, True))
    return snapshot(balancer, names)


def admin_forms():
    """Return the admin API's results for requests by method and target."""
    forms = {}
    for parse, requests in (
        (parse_admin_request, ADMIN_REQUESTS),
        (parse_membership_request, MEMBERSHIP_REQUESTS),
    ):
        for method, target in requests:
            parsed = parse(method, target)
            if isinstance(parsed, AdminRequest):
                result = {"action": parsed.action.value, "server": parsed.endpoint_name}
            else:
                result = {"code": parsed.code, "text": parsed.text, "allow": parsed.allow}
            forms[f"{method} {target}"] = result
    return forms


def check_forms():
    """Return the output of `dykefold check` for valid and invalid files, as text and as JSON."""
    forms = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "service.toml"
        for name, text in SERVICE_FILES.items():
            path.write_text(text)
            for flags in ([], ["--json"]):
                result = CliRunner().invoke(command_line, ["check", str(path), *flags])
                output = result.output.replace(str(path), "FILE") if flags or result.exit_code else "table"
                forms[" ".join([name, *flags])] = [result.exit_code, output]
        result = CliRunner().invoke(command_line, ["control", "health", "--at", "127.0.0.1:1", "--json"])
        forms["control health --json"] = [result.exit_code, result.output]
    return forms


def message_forms():
    """Return the message to an endpoint for each request class, and the first request to discovery."""
    return net_helpers.run(_messages())


async def _messages():
    forms = {}
    requests = []
    first_request = asyncio.Event()
    release = asyncio.Event()

    async def serve(message, reader, writer):
        forms[message.start_line.split()[1]] = {**message.headers, "first": message.start_line}
        writer.write(net_helpers.http_response(200, b"served"))

    async def discover(message, reader, writer):
        requests.append([message.start_line, {**message.headers, "host": "HOST"}])
        first_request.set()
        await release.wait()

    server = await net_helpers.FakePeer(serve).start()
    discovery = await net_helpers.FakePeer(discover).start()
    with tempfile.TemporaryDirectory() as folder:
        initial_list = net_helpers.list_update(1, net_helpers.endpoint_entry("s1", server.address))
        data = net_helpers.config(initial_list, discovery.address)
        async with net_helpers.Sidecar(Path(folder) / "c", data) as sidecar:
            for request_class in ("lookup", "hold", "order"):
                header_line = "X-Extra: kept"
                response = await net_helpers.send_request(
                    sidecar.port,
                    net_helpers.request_message(request_class, request_class * 3, "3000m", b"", header_line),
                )
                assert response.code == 200
            async with asyncio.timeout(net_helpers.WAIT_TIMEOUT_S):
                await first_request.wait()
            release.set()
    for headers in forms.values():
        headers["x-deadline"] = headers["x-deadline"][-1]  # only the unit: the number depends on the time
    return {"servers": forms, "discovery": requests[0]}


FAMILIES = {
    "datagrams": datagram_forms,
    "state directory": state_directory_forms,
    "admin": admin_forms,
    "check": check_forms,
    "messages": message_forms,
}

if __name__ == "__main__":
    print(json.dumps({name: family() for name, family in FAMILIES.items()}, indent=1, sort_keys=True))
