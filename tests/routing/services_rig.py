"""Sidecar with several pools in the event loop of a test, its configuration, and requests to it."""

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


def pool_toml(name, *ports, **options):
    """Return the TOML tables of a pool and of a route for the path prefix `/name`."""
    lines = [f"[pools.{name}]", f"servers = {json.dumps([f'{HOST}:{port}' for port in ports])}"]
    lines += [f"{key} = {json.dumps(value)}" for key, value in options.items()]
    lines += ["[[routes]]", f'name = "{name}"', f'pool = "{name}"', f'prefix = "/{name}"']
    return "\n".join(lines) + "\n"


def parse_plan(config):
    plan, problems = read_plan(tomllib.loads(config))
    assert plan is not None, problems
    return plan


class InProcessSidecar:
    """A sidecar with pools and routes, in the event loop of the test.

    Args:
        config: TOML of pools and routes.
        max_descriptors: Maximum number of descriptors that the sidecar may open.
    """

    def __init__(self, config, max_descriptors=512):
        self.server = SidecarServer(asyncio.get_running_loop(), SidecarLimits(max_descriptors, 192 * MB))
        self.services = Services(self.server, lambda: 7)
        self.apply_config(config, max_descriptors)

    def apply_config(self, config, max_descriptors=512):
        self.services.apply(parse_plan(config), max_descriptors, AddressLimits())

    def pool(self, name):
        return self.services.by_name[name].pool

    async def __aenter__(self):
        _, self.port = self.server.listen(socket.create_server((HOST, 0))).address
        return self

    async def __aexit__(self, *_):
        if self.server.listener is not None:
            self.server.listener.close()
        self.server.close()


def get_request(path, *header_lines, method="GET", host="parts.example"):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {host}", *header_lines]).encode() + b"\r\n\r\n"


def post_request(path, body=b"order"):
    return get_request(path, f"Content-Length: {len(body)}", method="POST") + body
