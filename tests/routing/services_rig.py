"""A process with several services in the test's own loop, and requests to it."""

import asyncio
import json
import socket
import tomllib

from net_helpers import HOST

from dykefold.admission.addresses import AddressLimits
from dykefold.net.sidecar import SidecarLimits, SidecarServer
from dykefold.routing.config import read_plan
from dykefold.routing.services import Services

MB = 1024 * 1024


def pool_toml(name, *ports, **more):
    lines = [f"[pools.{name}]", f"servers = {json.dumps([f'{HOST}:{port}' for port in ports])}"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in more.items()]
    lines += ["[[routes]]", f'name = "{name}"', f'pool = "{name}"', f'prefix = "/{name}"']
    return "\n".join(lines) + "\n"


def parse_plan(text):
    plan, problems = read_plan(tomllib.loads(text))
    assert plan is not None, problems
    return plan


class SidecarNode:
    """A node with services in the test's own loop."""

    def __init__(self, text, sockets=512):
        self.server = SidecarServer(asyncio.get_running_loop(), SidecarLimits(sockets, 192 * MB))
        self.services = Services(self.server, lambda: 7)
        self.apply(text, sockets)

    def apply(self, text, sockets=512):
        self.services.apply(parse_plan(text), sockets, AddressLimits())

    def pool(self, name):
        return self.services.by_name[name].pool

    async def __aenter__(self):
        _, self.port = self.server.listen(socket.create_server((HOST, 0))).address
        return self

    async def __aexit__(self, *_):
        self.server.listener.close()
        self.server.close()


def get_request(path, *lines, method="GET", host="parts.example"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {host}", *lines]).encode() + b"\r\n\r\n"


def post_request(path, body=b"order"):
    return get_request(path, f"Content-Length: {len(body)}", method="POST") + body
