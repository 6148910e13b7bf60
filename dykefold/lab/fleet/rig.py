"""The parts of a running scenario: servers, list service, network, members and clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

from ..emulator.server import AttemptLog, Connection, Server
from ..random_streams import generator
from ..scenario import LoadTable, Scenario, ServerTable
from .client import Client
from .datagram_relay import DatagramRelay
from .judge import FaultInterval
from .measurements import LagMonitor
from .member import Member, entry, settings
from .membership_samples import MembershipSampler
from .network import PORT, Link
from .process import Process, StartError
from .registry import DiscoveryConnection, Registry
from .scenario import CLASSES, FleetScenario, FleetTable

LISTEN_PORT = 7070
MEMBERSHIP_PORT = 7950  # Of the membership API.
KILL_AFTER_S = 2.7  # From SIGTERM to SIGKILL: the longest deadline and 0.7 s (DAYS).
DEATH_NOTICE_S = 0.1  # Within this time, the clients of a killed process notice its death.
MEMBERS_PER_SUBNET = 250


class LinkedServer(Server):
    """A server that the members of each zone reach through a link of that zone.

    Args:
        scenario: Scenario of the server emulator.
        name: Name of the server.
        truth: Record of all attempts that reach any server.
        hosts: Addresses of the server, by zone of the members that use them.
    """

    def __init__(self, scenario: Scenario, name: str, truth: AttemptLog, hosts: list[str]) -> None:
        super().__init__(scenario, name, truth)
        self.links = [Link(host, lambda: Connection(self)) for host in hosts]

    async def listen(self) -> None:
        """Listen on the links that do not listen."""
        for link in self.links:
            if link.sock is None:
                link.open()

    def crash(self) -> None:
        """Stop listening on all links, and lose all requests in progress."""
        for link in self.links:
            link.stop_listening()
        super().crash()

    def close(self) -> None:
        """Close all links and their connections."""
        for link in self.links:
            link.close()


class Rig:
    """All parts of a running scenario.

    Args:
        scenario: Scenario to run.
        folder: Empty folder for the members' files.
        block: Second octet of the rig's addresses, 127.BLOCK.0.0/16.

    Attributes:
        truth: Record of all attempts that reached any server.
        fault_intervals: Intervals in which lost requests of a client are excused.
        servers: Servers of each zone.
        registry: Discovery service (list service).
        registry_links: Link of each member to the list service.
        datagrams: Relay of the datagrams between members.
        members: Sidecars, by number.
        clients: Clients, by number of their member.
        sampler: Sampler of the members' memberships; None if the membership is off.
        first_start_s: Event loop time of the first start in seconds.
        ready_s: Seconds from the first start until each member listened; None if it has not.
        listening_since_s: Event loop time in seconds at which each member's latest process began to listen.
        failed_starts: Messages of the starts that failed.
        lag: Monitor of the rig's own lateness.
    """

    def __init__(self, scenario: FleetScenario, folder: Path, block: int) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        fleet = scenario.fleet
        self.zones = range(len(fleet.zones))
        self.truth = AttemptLog()
        self.fault_intervals: list[FaultInterval] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.block = block
        self.servers = self._make_servers()
        self.registry = self._make_registry()
        self.registry_links = self.make_registry_links()
        self.initial_lists = [self.registry.initial_list(zone) for zone in self.zones]
        self._replace_servers(scenario.list_service.replaced)
        self.datagrams = DatagramRelay(generator(scenario.seed, "datagrams"))
        hosts = [self._host(1, number) for number in range(fleet.members)]
        for host in hosts:
            self.datagrams.add((host, PORT))
        self.members = [self._make_member(number, host, folder) for number, host in enumerate(hosts)]
        self.clients = [self._make_client(number, host) for number, host in enumerate(hosts)]
        self.first_start_s = self.loop.time()
        self.ready_s: list[float | None] = [None] * fleet.members
        self.listening_since_s: dict[int, float] = {}
        self.failed_starts: list[str] = []
        self.lag = LagMonitor()
        self.sampler = (
            MembershipSampler([(host, MEMBERSHIP_PORT) for host in hosts], self.listening_members)
            if fleet.view
            else None
        )

    def listening_members(self) -> frozenset[int]:
        """Return the members of which a living process listens."""
        return frozenset(
            member.number
            for member in self.members
            if any(process.address is not None for process in member.living)
        )

    def log_lines(self) -> Iterator[str]:
        """Iterate over the kept log lines of all members."""
        for member in self.members:
            for process in member.processes:
                yield from process.lines

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, which is cancelled when the rig closes."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Construction

    def _host(self, subnet: int, number: int) -> str:
        """Return the address with a number, counted from a subnet of the rig's block on."""
        return f"127.{self.block}.{subnet + number // MEMBERS_PER_SUBNET}.{1 + number % MEMBERS_PER_SUBNET}"

    def _make_servers(self) -> list[list[LinkedServer]]:
        fleet = self.scenario.fleet
        tables = [_server_table(fleet, f"s-{name}") for name in fleet.zones]
        emulated = Scenario(tables, CLASSES, LoadTable(), seed=self.scenario.seed)
        return [
            [
                LinkedServer(
                    emulated,
                    f"s-{name}-{number}",
                    self.truth,
                    [self._server_host(observer, zone * fleet.servers + number) for observer in self.zones],
                )
                for number in range(fleet.servers)
            ]
            for zone, name in enumerate(fleet.zones)
        ]

    def _server_host(self, observer: int, number: int) -> str:
        """Return the address of a server for the members of a zone."""
        return f"127.{self.block}.{200 + observer}.{1 + number % MEMBERS_PER_SUBNET}"

    def _make_registry(self) -> Registry:
        table = self.scenario.list_service
        registry = Registry(table.calls_per_s, table.waiting_most, table.late_s)
        for zone in self.zones:
            for server in self.servers[zone]:
                registry.entries[server.name] = self.list_entry(server, zone, "SERVING", 0)
        return registry

    def make_registry_links(self) -> list[Link]:
        """Open a link to the list service for each member, by which its calls are identified."""
        return [self._registry_link(number) for number in range(self.scenario.fleet.members)]

    def _registry_link(self, number: int) -> Link:
        zone = self.scenario.zone_of(number)
        return Link(self._host(100, number), lambda: DiscoveryConnection(self.registry, number, zone))

    def _replace_servers(self, fraction: float) -> None:
        """Replace a fraction of the servers by newly started ones that the initial lists do not have."""
        now_ms = int(time.time() * 1000)
        for zone in self.zones:
            count = round(fraction * len(self.servers[zone]))
            for server in self.servers[zone][:count]:
                server.started_s = self.loop.time()
                self.registry.starts[server.name] = {}
                self.registry.entries[server.name] = self.list_entry(server, zone, "SERVING", now_ms)
                for observer, initial_list in enumerate(self.initial_lists):
                    unused_address = f"127.{self.block}.{200 + observer}.252:9"
                    for listed in initial_list["endpoints"]:
                        if listed["name"] == server.name:
                            listed |= {"name": f"{server.name}-old", "address": unused_address}
                    initial_list["index"] = 0

    def list_entry(self, server: LinkedServer, zone: int, status: str, since_ms: int) -> dict[str, Any]:
        """Return the entry of a server for the list service, with its address for each zone."""
        listed = entry(server.name, "", self.scenario.fleet.zones[zone], status, since_ms)
        return {**listed, "addresses": [link.address for link in server.links]}

    def _make_client(self, number: int, host: str) -> Client:
        fleet = self.scenario.fleet
        client = Client(
            number,
            CLASSES,
            fleet.rate * (1.0 if number else fleet.busy),
            generator(self.scenario.seed, "desk", str(number)),  # The stream's name is part of its seed.
            max_retries=fleet.again,
        )
        client.address = (host, LISTEN_PORT)
        return client

    def _make_member(self, number: int, host: str, folder: Path) -> Member:
        fleet = self.scenario.fleet
        own_folder = folder / f"m{number}"
        own_folder.mkdir()
        member = Member(number, own_folder, self._member_config(number, host), _service_file(fleet, host))
        member.clock_s = fleet.clock_s if number % 2 else -fleet.clock_s
        return member

    def _member_config(self, number: int, host: str) -> dict[str, Any]:
        """Return the platform's configuration of a member."""
        fleet, zone = self.scenario.fleet, self.scenario.zone_of(number)
        config: dict[str, Any] = {
            "name": f"m{number}",
            "listen": f"{host}:{LISTEN_PORT}",
            "discovery": self.registry_links[number].address,
            "seed": f"{self.scenario.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "peer_listen": f"{host}:{PORT}",
            "peers": self.datagrams.addresses(),
            "peers_all": self.datagrams.broadcast_address,
            "known": self.initial_lists[zone],
            "settings": settings(
                CLASSES,
                fleet.zones,
                zone,
                number,
                fleet.members,
                True,
                (fleet.cold_share, fleet.warm_s),
                (fleet.fall_multiple, fleet.fall_s),
                fleet.hedges,
            ),
        }
        if any(fault.kind == "upgrade" for fault in self.scenario.faults):
            config["control"] = f"{host}:0"  # Each process has its own admin API.
        return config

    # Members

    async def start(self, number: int) -> Process | None:
        """Start a process of a member with the current endpoint list; return None if the start fails."""
        member, zone = self.members[number], self.scenario.zone_of(number)
        known = self.registry.initial_list(zone) if member.processes else self.initial_lists[zone]
        self.registry.notified_versions.pop(number, None)
        if member.processes:
            self.registry.notify(number)  # The process starts with the current list.
        process = await member.start(known=known, peers=self.datagrams.addresses())
        try:
            await process.wait_until_listening()
        except StartError as error:
            self.failed_starts.append(f"m{number}: {error}")
            return None
        self.listening_since_s[number] = self.loop.time()
        if not any(self.ready_s):
            self.lag.reset()  # Earlier lateness affected no member.
        if self.ready_s[number] is None:
            self.ready_s[number] = self.loop.time() - self.first_start_s
        return process

    async def kill(self, number: int, down_s: float) -> None:
        """Kill a member's processes, and start a new one after `down_s` seconds."""
        now_s = self.loop.time()
        for process in self.members[number].living:
            process.kill()
            await process.wait_until_ended()
        await asyncio.sleep(down_s)
        await self.start(number)
        self.fault_intervals.append(FaultInterval(number, now_s, now_s + DEATH_NOTICE_S))

    async def terminate(self, number: int, down_s: float) -> None:
        """End a member's processes by SIGTERM, and start a new one after `down_s` seconds."""
        for process in self.members[number].living:
            await process.end(KILL_AFTER_S)
        await asyncio.sleep(down_s)
        await self.start(number)

    async def upgrade(self, number: int, pause_s: float) -> None:
        """Start a new process of a member, end the old one when the new one listens, and then pause."""
        old_processes = self.members[number].living
        if await self.start(number) is None:
            return  # The platform does not end a process whose successor failed to start.
        for process in old_processes:
            await process.end(KILL_AFTER_S)
        await asyncio.sleep(pause_s)

    async def stop(self, number: int, duration_s: float) -> None:
        """Pause a member's processes by SIGSTOP for `duration_s` seconds."""
        now_s = self.loop.time()
        for process in self.members[number].living:
            process.stop()
        await asyncio.sleep(duration_s)
        for process in self.members[number].living:
            process.resume()
        self.fault_intervals.append(FaultInterval(number, now_s, now_s + duration_s + DEATH_NOTICE_S))

    async def close(self) -> None:
        """End all processes, tasks and sockets of the rig."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(member.close() for member in self.members))
        for client in self.clients:
            client.close()
        for zone in self.servers:
            for server in zone:
                server.close()
        for link in self.registry_links:
            link.close()
        self.datagrams.close()


def _server_table(fleet: FleetTable, name: str) -> ServerTable:
    """Return the emulator's table for the servers of one zone."""
    cold_share = 1.0 if fleet.cold_quick else fleet.cold_share
    return ServerTable(
        name, count=fleet.servers, cores=fleet.cores, cold_share=cold_share, warm_s=fleet.warm_s
    )


def _service_file(fleet: FleetTable, host: str) -> str | None:
    """Return the text of a member's operator file; None if it needs none."""
    lines = []
    if fleet.view:
        lines += ["view = true", f'listen = "{host}:{MEMBERSHIP_PORT}"']
    if fleet.calls:
        lines += ["calls = true", f"calls_per_s = {fleet.calls_per_s}"]
    if fleet.failover:
        lines += ["[failover]", "on = true"]
    return "\n".join(["[fleet]", *lines]) if lines else None
