"""Two processes' sides of a hot restart over one real folder, on a clock that the test sets."""

import asyncio
import os
from dataclasses import replace
from types import SimpleNamespace

from helpers import MS, endpoint, make

from dykefold.control.admin_operations import AdminOperations
from dykefold.control.admin_requests import Action, AdminRequest
from dykefold.control.balancer_snapshot import snapshot
from dykefold.control.hot_restart import OBSERVATION_INTERVAL_S, HotRestart
from dykefold.control.hot_restart_state import OBSERVATION_INTERVAL_NS
from dykefold.control.state_directory import FileStateDirectory
from dykefold.net.clock import Clock
from dykefold.net.discovery.codec import EndpointRecord, NameTable
from dykefold.net.service.maintenance import Maintenance

SERVERS = ("s0", "s1")


class MachineClock:
    """CLOCK_MONOTONIC and the wall clock of one machine."""

    def __init__(self, monotonic_ns=10**12, wall_ns=10**18):
        self.mono_ns, self.wall_ns = monotonic_ns, wall_ns

    def monotonic_ns(self):
        return self.mono_ns

    def time_ns(self):
        return self.wall_ns

    def advance(self, span_ns=OBSERVATION_INTERVAL_NS):
        self.mono_ns += span_ns
        self.wall_ns += span_ns


class Pool:
    """A pool with a real balancer and the real record of maintenance, with nothing on the network."""

    label = ""
    version = 1

    def __init__(self, clock):
        self.names = NameTable(["a", "b"], ["std"])
        entries = [endpoint(self.names.server(name)) for name in SERVERS]
        self.balancer, _ = make(entries=entries)
        self.balancer.now = clock.now()
        self.now = clock.now
        self.maintenance = Maintenance(lambda entry, end: replace(entry, endpoint=end))
        listed = [
            EndpointRecord(name, end, ("127.0.0.1", 1), 0) for name, end in zip(SERVERS, entries, strict=True)
        ]
        self.maintenance.apply_update(listed, True)

    def list_record(self):
        return {}

    def adopt_list_record(self, word):
        pass

    def apply_order(self, name, out):
        before = self.maintenance.is_out(name)
        self.maintenance.apply_order(name, out, self.now())
        return before is not out

    def merge_maintenance(self, said):
        self.maintenance.merge(said)


class FakeSidecarServer:
    def __init__(self, machine):
        self.clock = Clock(machine)
        self.pool = Pool(self.clock)
        self.pools = {self.pool: None}
        self.sockets = 384
        self.handing_over = self.draining = False
        self.listener = None

    def needed_descriptors(self):
        return 10

    def share_capacity(self, parts, most):
        self.max_descriptors = most


class Member:
    """One process of the sidecar."""

    def __init__(self, folder, machine, wrap=lambda board: board, **files):
        self.machine = machine
        self.server = FakeSidecarServer(machine)
        self.files = FileStateDirectory(str(folder), **files)
        self.board = wrap(self.files)
        loop = SimpleNamespace(call_later=lambda delay, act: SimpleNamespace(cancel=lambda: None))
        self.upgrade = HotRestart(loop, self.server, self.board, machine)
        # Two processes of one test share a process number.
        machine.advance(MS)

    @property
    def out_of_service(self):
        return sorted(self.server.pool.maintenance.out_of_service())

    def call(self, action, server="s0"):
        return AdminOperations(self.server, self.upgrade).carry_out(AdminRequest(Action(action), server))

    def serve(self):
        """Take clients from now on, as `take_clients` does but for the socket."""
        self.upgrade.machine.on_serving()
        self.server.listener = SimpleNamespace()
        self.upgrade.write_records()

    def tick(self):
        self.machine.advance()
        self.upgrade._tick()

    def start(self, *older):
        """The whole start, while older processes look on."""

        async def wait():
            room = asyncio.ensure_future(self.upgrade.wait_for_capacity())
            while not room.done():
                await asyncio.sleep(OBSERVATION_INTERVAL_S / 4)  # as often as it looks itself
                self.machine.advance(OBSERVATION_INTERVAL_NS // 4)
                for one in older:
                    one.tick()
            await room

        asyncio.run(wait())
        self.serve()

    def exit(self, killed=False):
        """The process is gone, with its lock."""
        self.machine.advance()
        if not killed:
            self.upgrade.begin_shutdown()
            self.upgrade.close()
        if self.files.lock_descriptor is not None:
            os.close(self.files.lock_descriptor)
            self.files.lock_descriptor = None


class FlakyStateDirectory:
    """A board on which writes of some names fail."""

    def __init__(self, board):
        self.board = board
        self.failing_prefixes = ()
        self.written_names = []

    def __getattr__(self, name):
        return getattr(self.board, name)

    def write(self, name, word, **more):
        self.written_names.append(name)
        if name.startswith(tuple(self.failing_prefixes)):
            return False
        return self.board.write(name, word, **more)


def balancer_state(member):
    return snapshot(member.server.pool.balancer, member.server.pool.names)
