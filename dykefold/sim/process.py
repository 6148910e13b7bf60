"""A sidecar process of a virtual world: the program's real server code on a virtual machine."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol, cast

from ..admission.addresses import AddressLimits
from ..balancer.settings import Settings
from ..control.hot_restart import HotRestart
from ..failover.controller import FailoverController
from ..failover.settings import FailoverSettings
from ..fleet.agent import FleetAgent, start_protocol
from ..fleet.endpoint_list_sync import EndpointListSync
from ..fleet.membership import LocalMember
from ..fleet.options import DEFAULT_CALLS_PER_S, FailoverOptions
from ..fleet.poll_schedule import PollSettings
from ..net.discovery.codec import NameTable, parse_endpoint_update
from ..net.memory_budget import MB
from ..net.peers import PeerChannel
from ..net.service.pool_config import PoolConfig
from ..net.sidecar import SidecarLimits, SidecarServer
from ..routing.plan import ServicesPlan
from ..routing.services import Services
from ..settings import Transport
from .kernel import NS_PER_MS, NS_PER_S, Kernel, stream
from .loop import SimLoop
from .machine import SimSystem, as_socket
from .network import Network, network_of
from .registry import Entry, Registry
from .rules import Rules
from .schedule import Scenario
from .state_directory import SimStateDirectory, StateDirectoryContents

PORT = 7070
PEER_PORT = 7946
MAX_DESCRIPTORS = 256
MEMORY_BYTES = 64 * MB
# Time from SIGTERM to SIGKILL: the longest deadline and 0.7 s (PROTOCOL, figures).
KILL_AFTER_NS = 1_950 * NS_PER_MS
IDLE_NS = 15 * NS_PER_S
MAX_PENDING = 10_000
MAX_BOOT_S = 10**6  # Maximum uptime of a machine at the start of the world, in seconds.


class SidecarWorld(Protocol):
    """The interface of the world that a sidecar uses (`world.SimulatedWorld`).

    Attributes:
        plan: Plan of a world with several services; None for a world with one service.
        sidecars: First process of each sidecar.
        state_directories: Contents of the state directory of each sidecar.
    """

    kernel: Kernel
    network: Network
    rules: Rules
    scenario: Scenario
    registry: Registry
    plan: ServicesPlan | None
    sidecars: list[Sidecar]
    state_directories: list[StateDirectoryContents]

    def living(self, number: int) -> list[Sidecar]:
        """Return the running processes of a sidecar, the oldest first."""
        ...

    def settings_at(self, number: int) -> Settings:
        """Return the settings of a sidecar."""
        ...

    def known_list(self, sidecar: str) -> dict[str, int | bool | list[Entry]]:
        """Return the initial endpoint list of a sidecar."""
        ...

    def plan_applied(self, sidecar: str) -> None:
        """Record that a sidecar has applied the current plan."""
        ...

    def check_process(self, process: Sidecar) -> None:
        """Check the documented limits of a process."""
        ...


class Sidecar:
    """One process of a sidecar, which may be restarted after its end.

    Args:
        world: World of the process.

    Attributes:
        number: Number of the sidecar.
        process_number: Number of the process among those of its sidecar; 0 for the first.
        process: Name of the process.
        incarnation: Number of starts so far.
        ending: Whether SIGTERM was sent.
    """

    loop: SimLoop
    system: SimSystem

    def __init__(self, world: SidecarWorld, number: int, process_number: int = 0) -> None:
        """Create a process without starting it."""
        self.world = world
        self.number = number
        self.process_number = process_number
        self.name = f"sidecar{number}"
        self.process = f"{self.name}.{process_number}" if process_number else self.name
        self.address = f"{network_of(number)}.1"
        self.incarnation = 0
        self.began_ns = 0
        self.seed = 0
        self.alive = False
        self.ending = False
        self.server: SidecarServer | None = None
        self.services: Services | None = None
        self.hot_restart: HotRestart | None = None
        self.fleet: FleetAgent | None = None
        self.failover: FailoverController | None = None
        if not process_number:
            world.network.add_host(self.name, self.address)
        world.network.open.setdefault(self.process, {})

    def start(self) -> None:
        """Start with the endpoint list that the sidecar was last sent."""
        others = [other for other in self.world.living(self.number) if other is not self]
        self.incarnation += 1
        self.began_ns = self.world.kernel.now_ns
        self.alive, self.ending = True, False
        if not others:
            self.world.rules.sidecar_restarted(self.name)
        self.loop = SimLoop(self.world.kernel, self.process, self.world.network, self.name)
        # Each incarnation has its own random numbers, and each machine its own uptime.
        key = [self.number, self.incarnation]
        if self.process_number:
            key.append(self.process_number)
        generator = stream(self.world.kernel.seed, "sidecar", *key)
        boot_ns = generator.randrange(1, MAX_BOOT_S) * NS_PER_S
        self.system = SimSystem(self.loop, others[0].system.boot_ns if others else boot_ns)
        self.seed = generator.getrandbits(63)
        self.loop.wake(self._boot)

    def _boot(self) -> None:
        limits = SidecarLimits(MAX_DESCRIPTORS, MEMORY_BYTES)
        server = SidecarServer(self.loop.for_asyncio, limits, self.system)
        self.server = server
        if self.world.plan is not None:
            self.services = Services(server, lambda: self.seed)
            self.apply_plan()
        else:
            self._serve_one(server)
        self.loop.add_signal_handler(signal.SIGTERM, self._drain, server)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        server.stopped.add_done_callback(self._stopped)
        if self.world.scenario.world == "upgrade":
            directory = SimStateDirectory(self.world.state_directories[self.number], self.loop)
            self.hot_restart = HotRestart(self.loop.for_asyncio, server, directory, self.system)
            self.loop.create_task(self._accept_clients_when_ready(server, self.hot_restart))
        else:
            server.listen(as_socket(self.world.network.listen(self.loop, PORT)))

    async def _accept_clients_when_ready(self, server: SidecarServer, hot_restart: HotRestart) -> None:
        """Accept clients once there is capacity, as `control.process_registry` does."""
        await hot_restart.wait_for_capacity()
        if not server.draining and self.alive:
            sock = as_socket(self.world.network.listen(self.loop, PORT))
            server.listen(sock)
            hot_restart.take_clients(sock)
            self.world.kernel.note(f"{self.process} takes clients")

    def _drain(self, server: SidecarServer) -> None:
        if self.hot_restart is not None:
            self.hot_restart.begin_shutdown()
        server.drain()

    # A single service from discovery

    def _serve_one(self, server: SidecarServer) -> None:
        settings = self.world.settings_at(self.number)
        names = NameTable(settings.zones, ["std"])
        known = parse_endpoint_update(self.world.known_list(self.name), names)
        for entry in known.entries:
            ready, now_ns = entry.endpoint.state.name == "READY", self.world.kernel.now_ns
            self.world.rules.endpoint_notified(now_ns, self.name, entry.name, ready, entry.since_ms)
        transport = Transport(["std"], IDLE_NS, MAX_PENDING)
        discovery = self.world.registry.address
        server.serve_one(PoolConfig(settings, transport, self.seed, discovery, names, known))
        if settings.can_message_peers:
            self._join_peers(server, settings)
        spec = self.world.scenario.spec
        if spec.failover and self.fleet is not None:
            self.failover = FailoverController(
                self.loop.for_asyncio,
                self.fleet.membership,
                server.pool,
                FailoverSettings(settings.zones, settings.zone, FailoverOptions(on=True)),
                self.system,
            )
        if spec.coordinated_polls:
            self._coordinate_polls(server, settings)

    def _join_peers(self, server: SidecarServer, settings: Settings) -> None:
        peers = [(sidecar.address, PEER_PORT) for sidecar in self.world.sidecars]
        channel = PeerChannel(self.number, peers, None, server.pool.on_peer_message)
        endpoint = self.loop.network.bind_datagrams(self.loop, peers[self.number], channel)
        channel.connection_made(cast("asyncio.DatagramTransport", endpoint))
        server.peers = channel
        if self.world.scenario.spec.membership:
            local = LocalMember(peers, self.number, settings.zone)
            protocol = start_protocol(local, 0.0, self.seed, self.system)
            self.fleet = FleetAgent(self.loop.for_asyncio, server, channel, protocol, self.system)
            self.fleet.serve(server.pool)

    def _coordinate_polls(self, server: SidecarServer, settings: Settings) -> None:
        if server.pool.discovery is None:
            return
        polls = PollSettings(
            settings.max_poll_interval_ns, DEFAULT_CALLS_PER_S, self.number, settings.fleet_size
        )
        lists = EndpointListSync(server.pool.discovery, polls, self.seed, self.system)
        if self.fleet is not None:
            self.fleet.coordinate_polls(lists)

    # Signals

    def pause(self, duration_ns: int) -> None:
        """Suspend the process for `duration_ns`."""
        self.loop.pause(duration_ns)

    def reload(self) -> None:
        """Send SIGHUP, unless the process is shutting down or has ended."""
        if self.alive and not self.ending:
            self.loop.signal(signal.SIGHUP)

    def _reload(self) -> None:
        if self.world.plan is not None:
            self.apply_plan()
        elif self.server is not None and self.server.pool.discovery is not None:
            self.server.pool.discovery.change_address(self.world.registry.address)

    def apply_plan(self) -> None:
        """Apply the world's current plan."""
        assert self.services is not None
        assert self.world.plan is not None
        self.services.apply(self.world.plan, MAX_DESCRIPTORS, AddressLimits())
        self.world.plan_applied(self.name)

    def terminate(self) -> None:
        """Send SIGTERM to start a graceful shutdown; the process is killed after `KILL_AFTER_NS`."""
        if self.alive and not self.ending:
            self.ending = True
            self.loop.signal(signal.SIGTERM)
            self.world.kernel.after(KILL_AFTER_NS, self._kill_after_grace_period, self.incarnation)

    def _stopped(self, _: object) -> None:
        assert self.server is not None
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.fleet is not None:
            self.fleet.close()
        self.server.close()
        self.world.kernel.after(NS_PER_MS, self._exit_after_stop, self.incarnation)

    def _exit_after_stop(self, incarnation: int) -> None:
        if self.incarnation == incarnation and self.alive:
            self.kill()

    def _kill_after_grace_period(self, incarnation: int) -> None:
        if self.incarnation != incarnation or not self.alive or self.server is None:
            return
        for pool in self.server.pools:
            for request in pool.pending.values():
                ident = request.parsed.x_request_id.decode()
                self.world.rules.request_lost(
                    self.world.kernel.now_ns, ident, "held when a planned end was over"
                )
        self.kill()

    def kill(self) -> None:
        """Kill the process, like SIGKILL."""
        self.alive = False
        self.world.kernel.note(f"{self.process} ends")
        self.world.check_process(self)
        self.world.network.kill(self.loop)
        self.server = self.services = self.hot_restart = self.fleet = None
