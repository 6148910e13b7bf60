"""Connects the membership, the poll spread and the failover to the sidecar.

Each feature is off by default. Its package is imported only when it is on, to save memory.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING

from .control.admin_server import RESERVED_DESCRIPTORS, AdminServer
from .net.peers import Address, PeerChannel
from .net.sidecar import SidecarServer
from .sidecar_config import Config

if TYPE_CHECKING:
    from .failover.controller import FailoverController
    from .fleet.agent import FleetAgent
    from .fleet.endpoint_list_sync import EndpointListSync
    from .net.discovery.client import DiscoveryClient
    from .net.service.pool import Pool

log = logging.getLogger("dykefold")


class FleetFeatures:
    """Features of a sidecar that depend on its peers.

    The poll spread starts with the constructor, before the first poll; all other features start with `start`.

    Args:
        loop: Event loop of the process.
        sidecar: Server that accepts clients.
        config: Configuration in use.

    Attributes:
        list_sync: Coordination of polls with the fleet; None if it is off.
        agent: Membership agent of this sidecar; None if it is off, or the settings do not allow it.
        failover: Controller of the failover between zones; None if it is off.
        admin_server: Server of the membership's admin API; None without an address.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sidecar: SidecarServer, config: Config) -> None:
        self.loop = loop
        self.sidecar = sidecar
        self.pool = sidecar.pool
        self.list_sync = _start_list_sync(self.pool.discovery, config)
        self.agent: FleetAgent | None = None
        self.failover: FailoverController | None = None
        self.admin_server: AdminServer | None = None

    async def start(self, config: Config, shared: bool) -> None:
        """Receive datagrams of peers, and start the enabled features.

        Args:
            config: Configuration in use.
            shared: Whether other processes may listen at the same addresses.

        Raises:
            OSError: The process can't listen at an address.
        """
        if config.peer_listen_address is None:
            return
        peers = await self._open_peer_channel(config, config.peer_listen_address, shared)
        self.agent = _start_agent(self.loop, self.sidecar, config, peers)
        if self.agent is None:
            return
        if self.list_sync is not None:
            self.agent.coordinate_polls(self.list_sync)
        if config.fleet.failover.on:
            self.failover = _start_failover(self.loop, self.pool, config, self.agent)
        if config.fleet.listen is not None:
            self.admin_server = _serve_membership(self.loop, self.agent, config.fleet.listen, self.failover)

    async def _open_peer_channel(self, config: Config, address: Address, shared: bool) -> PeerChannel:
        peers = PeerChannel(
            config.settings.index, config.peer_addresses, config.broadcast_address, self.pool.on_peer_message
        )
        await self.loop.create_datagram_endpoint(lambda: peers, sock=_datagram_socket(address, shared))
        self.sidecar.peers = peers
        return peers

    def apply(self, config: Config) -> None:
        """Apply a new configuration."""
        settings = config.settings
        if self.agent is not None:
            self.agent.renumber(config.peer_addresses, settings.index)
        if self.failover is not None:
            from .failover.settings import FailoverSettings

            zones, home = list(self.pool.names.zones), self.pool.settings.zone
            self.failover.change_settings(FailoverSettings(zones, home, config.fleet.failover))
        if self.list_sync is not None and settings.poll_required:
            self.list_sync.change_settings(settings.max_poll_interval_ns)

    def leave(self) -> None:
        """Notify the peers of the end of this process."""
        if self.agent is not None:
            self.agent.close()

    def close(self) -> None:
        """Stop the server and the poll spread at the end of the process."""
        if self.admin_server is not None:
            self.admin_server.close()
        if self.list_sync is not None:
            self.list_sync.close()


def _start_list_sync(discovery: DiscoveryClient | None, config: Config) -> EndpointListSync | None:
    settings = config.settings
    if not (config.fleet.calls and settings.poll_required and discovery is not None):
        return None
    from .fleet.endpoint_list_sync import EndpointListSync
    from .fleet.poll_schedule import PollSettings

    max_poll_interval_ns, rate = settings.max_poll_interval_ns, config.fleet.calls_per_s
    polls = PollSettings(max_poll_interval_ns, rate, settings.index, settings.fleet_size)
    return EndpointListSync(discovery, polls, config.seed)


def _start_agent(
    loop: asyncio.AbstractEventLoop, sidecar: SidecarServer, config: Config, peers: PeerChannel
) -> FleetAgent | None:
    settings = config.settings
    is_known = len(config.peer_addresses) > 1 and 0 <= settings.index < len(config.peer_addresses)
    if not (config.fleet.view and settings.can_message_peers and is_known):
        return None
    from .fleet.agent import FleetAgent, start_protocol
    from .fleet.membership import LocalMember

    local = LocalMember(config.peer_addresses, settings.index, settings.zone)
    agent = FleetAgent(loop, sidecar, peers, start_protocol(local, settings.price_peer, config.seed))
    agent.serve(sidecar.pool)
    return agent


def _start_failover(
    loop: asyncio.AbstractEventLoop, pool: Pool, config: Config, agent: FleetAgent
) -> FailoverController:
    from .failover.controller import FailoverController
    from .failover.settings import FailoverSettings

    zones, home = config.settings.zones, config.settings.zone
    # The operators' documentation quotes this line.
    for name in {*config.fleet.failover.regions, *config.fleet.failover.out} - set(zones):
        log.warning("failover: no zone %s; the settings have %s", name, ", ".join(zones))
    settings = FailoverSettings(zones, home, config.fleet.failover)
    return FailoverController(loop, agent.membership, pool, settings)


def _serve_membership(
    loop: asyncio.AbstractEventLoop, agent: FleetAgent, address: Address, failover: FailoverController | None
) -> AdminServer:
    """Start the server of the membership's admin API.

    Raises:
        OSError: The process can't listen at the address.
    """
    from .control.admin_requests import parse_membership_request
    from .fleet.admin import MembershipAdmin

    sock = socket.create_server(address, backlog=RESERVED_DESCRIPTORS, reuse_port=True)
    plan = failover.report if failover is not None else None
    server = AdminServer(loop, sock, MembershipAdmin(agent, plan), parse_request=parse_membership_request)
    log.info("membership API listens: address=%s:%d", *server.address)
    return server


def _datagram_socket(address: Address, shared: bool) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock
