"""A sidecar of a virtual world: the program's own node on a virtual machine."""

from __future__ import annotations

import select
import signal
from typing import TYPE_CHECKING, Any

from ..admission.addresses import Caps
from ..control.hot_restart import HotRestart
from ..failover.controller import FailoverController
from ..failover.settings import FailoverSettings
from ..fleet.agent import FleetAgent, start_protocol
from ..fleet.endpoint_list_sync import EndpointListSync
from ..fleet.membership import LocalMember
from ..fleet.options import CALLS_PER_S, FailoverOptions
from ..fleet.poll_schedule import PollSettings
from ..net.discovery.codec import NameTable, parse_endpoint_update
from ..net.memory_budget import MB
from ..net.peers import PeerChannel
from ..net.sidecar import SidecarServer
from ..routing.services import Services
from ..settings import Transport
from ..system import System, Watch
from .kernel import MS, SECOND, stream
from .loop import SimLoop
from .network import SimSocket, network_of
from .schedule import WORLDS
from .state_directory import SimBoard

if TYPE_CHECKING:
    from .world import Running

PORT = 7070
PEER_PORT = 7946
SOCKETS = 256
MEMORY = 64 * MB
KILL_AFTER_NS = 1_950 * MS  # after SIGTERM: the longest deadline and 0.7 s more (PROTOCOL, figures)


class EndWatch:
    """What `poll` tells of a virtual socket, its other side's end included."""

    def __init__(self, sock: SimSocket) -> None:
        self.sock = sock

    def poll(self, _timeout: float) -> list[tuple[int, int]]:
        sock = self.sock
        events = select.POLLIN if sock.readable() else 0
        if sock.got_end:
            events |= select.POLLRDHUP
        if sock.error:
            events |= select.POLLERR | select.POLLHUP
        return [(sock.number, events)] if events else []


class SimSystem(System):
    """The machine of one virtual process."""

    def __init__(self, loop: SimLoop, boot_ns: int) -> None:
        self.loop = loop
        self.boot_ns = boot_ns  # what the monotonic clock shows when the world begins

    def monotonic_ns(self) -> int:  # type: ignore[override]
        return self.boot_ns + self.loop.kernel.now_ns + self.loop.local_ns

    def monotonic(self) -> float:  # type: ignore[override]
        return self.monotonic_ns() / SECOND

    def time_ns(self) -> int:  # type: ignore[override]
        return self.loop.network.wall_ns(self.loop.host) + self.loop.local_ns

    def tcp_socket(self) -> Any:
        return self.loop.network.socket(self.loop)

    def watch(self, sock: Any) -> Watch:
        return sock

    def watch_end(self, sock: Any) -> Watch:
        return EndWatch(sock)

    def unread(self, sock: Any) -> int:
        return sock.held_bytes

    def open_reserve(self) -> int:
        return self.loop.network.socket(self.loop).number

    def close_reserve(self, number: int) -> None:
        self.loop.network.by_number(self.loop, number).close()


class Sidecar:
    """One life after the other of one process of a sidecar."""

    def __init__(self, run: Running, number: int, place: int = 0) -> None:
        """Prepare.

        Args:
            place: 0, or what tells this process from others of the same sidecar.
        """
        self.run = run
        self.number = number
        self.place = place
        self.name = f"sidecar{number}"
        self.process = f"{self.name}.{place}" if place else self.name
        self.address = f"{network_of(number)}.1"
        self.life = 0
        self.began_ns = 0
        self.system: SimSystem
        self.alive = False
        self.ending = False
        self.engine: SidecarServer | None = None
        self.services: Services | None = None
        self.upgrade: HotRestart | None = None
        self.fleet: FleetAgent | None = None
        self.failover: FailoverController | None = None
        if not place:
            run.network.add_host(self.name, self.address)
        run.network.open.setdefault(self.process, {})

    def start(self) -> None:
        """Begin a life with the list that was last told."""
        beside = [other for other in self.run.living(self.number) if other is not self]
        self.life += 1
        self.began_ns = self.run.kernel.now_ns
        self.alive, self.ending = True, False
        if not beside:
            self.run.rules.restarted(self.name)
        self.loop = SimLoop(self.run.kernel, self.process, self.run.network, self.name)
        # Lives differ in their chance, and machines in how long they have been up.
        key = (self.number, self.life, self.place) if self.place else (self.number, self.life)
        chance = stream(self.run.kernel.seed, "sidecar", *key)
        boot_ns = chance.randrange(1, 10**6) * SECOND
        self.system = SimSystem(self.loop, beside[0].system.boot_ns if beside else boot_ns)
        self.seed = chance.getrandbits(63)
        self.loop.wake(self._boot)

    def _boot(self) -> None:
        engine = self.engine = SidecarServer(self.loop, SOCKETS, MEMORY, Caps(), self.system)
        if self.run.plan is not None:
            self.services = Services(engine, lambda: self.seed)
            self.apply()
        else:
            self._serve_one(engine)
        self.loop.add_signal_handler(signal.SIGTERM, self._drain, engine)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        engine.stopped.add_done_callback(self._stopped)
        if self.run.scenario.world == "upgrade":
            board = SimBoard(self.run.folders[self.number], self.loop)
            self.upgrade = HotRestart(self.loop, engine, board, self.system)
            self.loop.create_task(self._take_over(engine, self.upgrade))
        else:
            engine.listen(self.run.network.listen(self.loop, PORT))  # type: ignore[arg-type]

    async def _take_over(self, engine: SidecarServer, upgrade: HotRestart) -> None:
        """As `control.presence` does it."""
        await upgrade.wait_for_capacity()
        if not engine.draining and self.alive:
            sock = self.run.network.listen(self.loop, PORT)
            engine.listen(sock)  # type: ignore[arg-type]
            upgrade.take_clients(sock)  # type: ignore[arg-type]
            self.run.kernel.note(f"{self.process} takes clients")

    def _drain(self, engine: SidecarServer) -> None:
        if self.upgrade is not None:
            self.upgrade.begin_shutdown()
        engine.drain()

    def _serve_one(self, engine: SidecarServer) -> None:
        settings = self.run.settings_at(self.number)
        names = NameTable(settings.zones, ["std"])
        known = parse_endpoint_update(self.run.known(self.name), names)
        for entry in known.entries:
            state = entry.endpoint.state.name == "READY"
            self.run.rules.told_state(self.run.kernel.now_ns, self.name, entry.name, state, entry.since_ms)
        transport = Transport(["std"], 15 * SECOND, 10_000)
        engine.serve_one(settings, transport, self.seed, self.run.registry.address, names, known)
        peers = [(side.address, PEER_PORT) for side in self.run.sidecars]
        if settings.can_tell:
            made = PeerChannel(self.number, peers, None, engine.pool.on_peer)  # type: ignore[arg-type]
            self.loop.network.bind_datagrams(self.loop, peers[self.number], made)
            made.connection_made(self.loop.network.datagrams[peers[self.number]])  # type: ignore[arg-type]
            engine.peers = made
            if WORLDS[self.run.scenario.world].view:
                local = LocalMember(peers, self.number, settings.zone)
                protocol = start_protocol(local, 0.0, self.seed, self.system)
                self.fleet = FleetAgent(self.loop, engine, made, protocol, self.system)
                self.fleet.serve(engine.pool)
        if WORLDS[self.run.scenario.world].failover and self.fleet is not None:
            self.failover = FailoverController(
                self.loop,
                self.fleet.membership,
                engine.pool,
                FailoverSettings(settings.zones, settings.zone, FailoverOptions(on=True)),
                self.system,
            )
        if WORLDS[self.run.scenario.world].calls and engine.pool.discovery is not None:
            within_ns, size = settings.must_ask_in_ns, settings.fleet_size
            polls = PollSettings(within_ns, CALLS_PER_S, self.number, size)
            lists = EndpointListSync(engine.pool.discovery, polls, self.seed, self.system)
            if self.fleet is not None:
                self.fleet.coordinate_polls(lists)

    # Signals

    def pause(self, span_ns: int) -> None:
        self.loop.pause(span_ns)

    def reload(self) -> None:
        if self.alive and not self.ending:
            self.loop.signal(signal.SIGHUP)

    def _reload(self) -> None:
        if self.run.plan is not None:
            self.apply()
        elif self.engine is not None and self.engine.pool.discovery is not None:
            self.engine.pool.discovery.change_address(self.run.registry.address)

    def apply(self) -> None:
        """Turn to the world's present plan."""
        assert self.services is not None and self.run.plan is not None
        self.services.apply(self.run.plan, SOCKETS, Caps())
        self.run.plan_told(self.name)

    def terminate(self) -> None:
        """Begin a planned end; what is not over by the platform's time is killed."""
        if self.alive and not self.ending:
            self.ending = True
            self.loop.signal(signal.SIGTERM)
            self.run.kernel.after(KILL_AFTER_NS, self._kill_late, self.life)

    def _stopped(self, _: object) -> None:
        assert self.engine is not None
        if self.upgrade is not None:
            self.upgrade.close()
        if self.fleet is not None:
            self.fleet.close()
        self.engine.close()
        self.run.kernel.after(MS, self._exit, self.life)

    def _exit(self, life: int) -> None:
        if self.life == life and self.alive:
            self.kill()

    def _kill_late(self, life: int) -> None:
        if self.life != life or not self.alive or self.engine is None:
            return
        for pool in self.engine.pools:
            for held in pool.pending.values():
                ident = held.call.ident.decode()
                self.run.rules.lost(self.run.kernel.now_ns, ident, "held when a planned end was over")
        self.kill()

    def kill(self) -> None:
        self.alive = False
        self.run.kernel.note(f"{self.process} ends")
        self.run.check_process(self)
        self.run.network.kill(self.loop)
        self.engine = self.services = self.upgrade = self.fleet = None


def bounds_broken(engine: SidecarServer, network_open: dict[int, SimSocket]) -> list[str]:
    """Which of the bounds that a node states do not hold."""
    found = []
    if not 0 <= engine.memory.reserved_bytes <= engine.memory.capacity_bytes:
        found.append(f"message memory {engine.memory.reserved_bytes} of {engine.memory.capacity_bytes}")
    budget = engine.budget
    if not 0 <= budget.claims <= budget.upstreams.limit:
        found.append(f"claims {budget.claims} of {budget.upstreams.limit}")
    held = sum(len(pool.upstreams.connections) for pool in engine.pools)
    if budget.upstreams.in_use != held:
        found.append(f"connections to servers counted as {budget.upstreams.in_use}, there are {held}")
    if len(network_open) > SOCKETS:  # of the sidecar
        found.append(f"{len(network_open)} descriptors of {SOCKETS}")
    for pool in engine.pools:
        deaf = sum(connection.blocked for connection in pool.upstreams.idle)
        if deaf:
            found.append(f"{deaf} connections to servers wait for use and are not read")
        out = sum(held.out for held in pool.pending.values())
        if out > len(pool.attempts):
            found.append(f"{out} attempts out of requests, {len(pool.attempts)} known")
    return found


def left_over(engine: SidecarServer) -> list[str]:
    """What a node still has that has nobody to ask and nobody to wait for."""
    found = {
        "clients": len(engine.clients.all),
        "message memory": engine.memory.reserved_bytes,
        "claims": engine.budget.claims,
        "time limits": sum(len(bucket or ()) for bucket in engine.timer_wheel.buckets.values()),
        "input that waits": len(engine.read_scheduler.queue),
    }
    for number, pool in enumerate(engine.pools):
        found[f"requests of pool {number}"] = len(pool.pending)
        found[f"attempts of pool {number}"] = len(pool.attempts)
        found[f"requests of module {number}"] = len(pool.balancer.pending)
        found[f"in flight of module {number}"] = pool.balancer.in_flight
    return [f"{name}: {count}" for name, count in found.items() if count]
