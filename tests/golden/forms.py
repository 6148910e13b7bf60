"""Every form that others read or write: operators, other versions of the program, discovery and servers.

Each function gives one family of forms as JSON values. `forms.json` holds what the program gave before its
modules were renamed; `python tests/golden/forms.py` prints what it gives now, for a form that is added.
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

OWN = 0x0000_0123_4567_0000
SIGN = {
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
CALLS = [
    ("GET", "/healthcheck"), ("POST", "/healthcheck"), ("GET", "/"), ("GET", "x"), ("GET", "/" + "a" * 1100),
    ("POST", "/servers/s-5be2/maint"), ("POST", "/servers/s%20one/ready"), ("GET", "/servers/s/maint"),
    ("POST", "/servers//maint"), ("POST", "/servers/%ff/maint"), ("POST", "/servers/s/out"),
]  # fmt: skip
VIEW_CALLS = [("GET", "/fleet"), ("GET", "/fleet/brief"), ("GET", "/fleet/plan"), ("POST", "/fleet")]


def gram_forms():
    """Datagrams of the membership protocol, by kind, as hexadecimal."""
    record = datagrams.Record(1, 3, 17, 0x0123456789, 5, 900, 600_000_000)
    forms = {}
    for kind in datagrams.Kind:
        if kind is datagrams.Kind.DIGESTS:
            compared = datagrams.DigestRange(0, 8, 4)
            gram = datagrams.Datagram(kind, 77, OWN, 9, digest_range=compared, digests=(1, 0xFFFFFFFF))
        else:
            entries = (datagrams.MemberEntry(2, OWN), datagrams.MemberEntry(5, OWN))
            gram = datagrams.Datagram(kind, 77, OWN, 9, 4, entries, records=(record,))
        forms[str(kind.value)] = datagrams.encode(gram).hex()
    forms["roster"] = datagrams.fleet_checksum([("127.0.0.1", 4000), ("127.0.0.1", 4001)])
    return forms


def state_directory_forms():
    """Names and contents of the files that processes of one sidecar leave for each other."""
    forms = {}
    with tempfile.TemporaryDirectory() as folder:
        files = FileStateDirectory(folder)
        sign = ProcessHeartbeat(**SIGN, state=HotRestartState.SHARING, listener_index=1)
        said = {
            "s-1": MaintenanceOrder(1_790_000_000_000_000_000, True),
            "s-2": MaintenanceOrder(1_790_000_000_000_000_001, False),
        }
        files.lock(f"sign-{sign.name}")
        files.write(f"sign-{sign.name}", {**heartbeat_record(sign, said), "lists": {"": 4}})
        names = NameTable(["a", "b"], ["std"])
        entries = parse_endpoint_update(endpoint_list(), names).entries
        files.write(f"list-{sign.name}", {"pools": {"": endpoint_update_record(4, entries, names)}})
        files.write(f"state-{sign.name}", {"pools": {"": snapshot_form()}})
        for path in sorted(Path(folder).rglob("*")):
            name = str(path.relative_to(folder))
            forms[name] = json.loads(path.read_text()) if path.suffix == ".json" else path.is_dir()
    forms["states"] = sorted(state.value for state in HotRestartState)
    return forms


def endpoint_list():
    """An endpoint list as discovery writes one."""
    entries = [
        net_helpers.endpoint_entry(f"s{n}", f"127.0.0.1:{4000 + n}", since_ms=1000 + n) for n in range(3)
    ]
    return net_helpers.list_update(4, *entries)


def snapshot_form():
    """The estimates that a newer process begins with, after a few requests."""
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
    """What the admin API makes of a method and a target."""
    forms = {}
    for read, calls in ((parse_admin_request, CALLS), (parse_membership_request, VIEW_CALLS)):
        for method, target in calls:
            known = read(method, target)
            if isinstance(known, AdminRequest):
                told = {"action": known.action.value, "server": known.endpoint_name}
            else:
                told = {"code": known.code, "text": known.text, "allow": known.allow}
            forms[f"{method} {target}"] = told
    return forms


def check_forms():
    """Verdicts of `dykefold check` on good and bad files, for people and for programs."""
    forms = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "service.toml"
        for name, text in SERVICE_FILES.items():
            path.write_text(text)
            for flags in ([], ["--json"]):
                done = CliRunner().invoke(command_line, ["check", str(path), *flags])
                shown = done.output.replace(str(path), "FILE") if flags or done.exit_code else "table"
                forms[" ".join([name, *flags])] = [done.exit_code, shown]
        done = CliRunner().invoke(command_line, ["control", "health", "--at", "127.0.0.1:1", "--json"])
        forms["control health --json"] = [done.exit_code, done.output]
    return forms


def message_forms():
    """The bytes of a message to a server for each class, and of the first calls of discovery."""
    return net_helpers.run(_messages())


async def _messages():
    forms = {}
    calls = []
    first_call = asyncio.Event()
    release = asyncio.Event()

    async def serve(message, reader, writer):
        forms[message.start_line.split()[1]] = {**message.headers, "first": message.start_line}
        writer.write(net_helpers.http_response(200, b"served"))

    async def discover(message, reader, writer):
        calls.append([message.start_line, {**message.headers, "host": "HOST"}])
        first_call.set()
        await release.wait()

    server = await net_helpers.FakePeer(serve).start()
    discovery = await net_helpers.FakePeer(discover).start()
    with tempfile.TemporaryDirectory() as folder:
        known = net_helpers.list_update(1, net_helpers.endpoint_entry("s1", server.address))
        data = net_helpers.config(known, discovery.address)
        async with net_helpers.Sidecar(Path(folder) / "c", data) as sidecar:
            for cls in ("lookup", "hold", "order"):
                line = "X-Extra: kept"
                got = await net_helpers.send_request(
                    sidecar.port, net_helpers.request_message(cls, cls * 3, "3000m", b"", line)
                )
                assert got.code == 200
            async with asyncio.timeout(net_helpers.WAIT_TIMEOUT_S):
                await first_call.wait()
            release.set()
    for headers in forms.values():
        headers["x-deadline"] = headers["x-deadline"][-1]  # only its unit: the rest depends on the moment
    return {"servers": forms, "discovery": calls[0]}


FAMILIES = {
    "datagrams": gram_forms,
    "state directory": state_directory_forms,
    "admin": admin_forms,
    "check": check_forms,
    "messages": message_forms,
}

if __name__ == "__main__":
    print(json.dumps({name: family() for name, family in FAMILIES.items()}, indent=1, sort_keys=True))
