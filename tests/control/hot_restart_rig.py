"""Processes of a sidecar in a hot restart, with a real state directory and clocks that the test sets."""

import asyncio
import os
from dataclasses import replace
from types import SimpleNamespace

from helpers import MS, make_balancer, make_endpoint

from dykefold.control.admin_operations import AdminOperations
from dykefold.control.admin_requests import Action, AdminRequest
from dykefold.control.balancer_snapshot import snapshot
from dykefold.control.hot_restart import OBSERVATION_INTERVAL_S, HotRestart
from dykefold.control.hot_restart_state import OBSERVATION_INTERVAL_NS
from dykefold.control.state_directory import FileStateDirectory
from dykefold.net.clock import Clock
from dykefold.net.discovery.codec import EndpointRecord, NameTable
from dykefold.net.request_ids import RequestIds
from dykefold.net.service.maintenance import Maintenance

ENDPOINT_NAMES = ("s0", "s1")


class ManualClocks:
    """Monotonic and wall clock of a machine, set by the test."""

    def __init__(self, monotonic_ns=10**12, wall_ns=10**18):
        self.mono_ns, self.wall_ns = monotonic_ns, wall_ns

    def monotonic_ns(self):
        return self.mono_ns

    def time_ns(self):
        return self.wall_ns

    def advance(self, span_ns=OBSERVATION_INTERVAL_NS):
        self.mono_ns += span_ns
        self.wall_ns += span_ns


class FakePool:
    """A pool with a real balancer and real maintenance orders, but without network."""

    label = ""
    version = 1

    def __init__(self, clock):
        self.names = NameTable(["a", "b"], ["std"])
        endpoints = [make_endpoint(self.names.endpoint(name)) for name in ENDPOINT_NAMES]
        self.balancer, _ = make_balancer(endpoints=endpoints)
        self.balancer.now = clock.now()
        self.now = clock.now
        self.maintenance = Maintenance(lambda record, endpoint: replace(record, endpoint=endpoint))
        records = [
            EndpointRecord(name, endpoint, ("127.0.0.1", 1), 0)
            for name, endpoint in zip(ENDPOINT_NAMES, endpoints, strict=True)
        ]
        self.maintenance.apply_update(records, True)

    def list_record(self):
        return {}

    def adopt_list_record(self, record):
        pass

    def apply_order(self, name, take_out):
        was_out = self.maintenance.is_out_of_service(name)
        self.maintenance.apply_order(name, take_out, self.now())
        return was_out is not take_out

    def merge_maintenance(self, orders):
        self.maintenance.merge(orders)


class FakeSidecarServer:
    """The part of a `SidecarServer` that hot restarts and the admin API use, without network."""

    def __init__(self, machine):
        self.clock = Clock(machine)
        self.pool = FakePool(self.clock)
        self.pools = {self.pool: None}
        self.total_descriptors = 384
        self.handing_over = self.draining = False
        self.listener = None
        self.request_ids = RequestIds(lambda: machine.monotonic_ns() / 1e9)

    def needed_descriptors(self):
        return 10

    def share_capacity(self, process_count, max_descriptors):
        self.max_descriptors = max_descriptors


class SidecarProcess:
    """One process of the sidecar.

    Args:
        folder: Parent of the state directory, which the processes share.
        machine: Clocks of the machine.
        wrap: Wraps the state directory for the hot restart, to add faults.
        **directory_options: Further arguments of `FileStateDirectory`.
    """

    def __init__(self, folder, machine, wrap=lambda directory: directory, **directory_options):
        self.machine = machine
        self.server = FakeSidecarServer(machine)
        self.state_directory = FileStateDirectory(str(folder), **directory_options)
        self.directory = wrap(self.state_directory)
        loop = SimpleNamespace(call_later=lambda delay_s, callback: SimpleNamespace(cancel=lambda: None))
        self.hot_restart = HotRestart(loop, self.server, self.directory, machine)
        # The processes of a test have the same process id, so their start times must differ.
        machine.advance(MS)

    @property
    def out_of_service(self):
        return sorted(self.server.pool.maintenance.names_out_of_service())

    def carry_out(self, action, endpoint_name="s0"):
        return AdminOperations(self.server, self.hot_restart).carry_out(
            AdminRequest(Action(action), endpoint_name)
        )

    def take_clients(self):
        """Begin to accept clients, as `HotRestart.take_clients` does, but without a socket."""
        self.hot_restart.machine.on_serving()
        self.server.listener = SimpleNamespace()
        self.hot_restart.write_records()

    def tick(self):
        self.machine.advance()
        self.hot_restart._tick()

    def start(self, *older):
        """Run the start to its end, while older processes keep observing the state directory."""

        async def wait():
            capacity = asyncio.ensure_future(self.hot_restart.wait_for_capacity())
            while not capacity.done():
                # The start itself observes the directory at the same interval.
                await asyncio.sleep(OBSERVATION_INTERVAL_S / 4)
                self.machine.advance(OBSERVATION_INTERVAL_NS // 4)
                for process in older:
                    process.tick()
            await capacity

        asyncio.run(wait())
        self.take_clients()

    def stop(self, killed=False):
        """End the process, which releases its lock."""
        self.machine.advance()
        if not killed:
            self.hot_restart.begin_shutdown()
            self.hot_restart.close()
        if self.state_directory.lock_descriptor is not None:
            os.close(self.state_directory.lock_descriptor)
            self.state_directory.lock_descriptor = None


class FlakyDirectory:
    """A state directory in which writes of some records fail.

    Attributes:
        failing_prefixes: Prefixes of the names whose writes fail.
        written_names: Names of all records that were to be written.
    """

    def __init__(self, directory):
        self.directory = directory
        self.failing_prefixes = ()
        self.written_names = []

    def __getattr__(self, name):
        return getattr(self.directory, name)

    def write(self, name, record, **options):
        self.written_names.append(name)
        if name.startswith(tuple(self.failing_prefixes)):
            return False
        return self.directory.write(name, record, **options)


def balancer_estimates(process):
    return snapshot(process.server.pool.balancer, process.server.pool.names)
