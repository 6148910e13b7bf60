"""The sidecar as a process: its configuration, signals and exit code."""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
import os
import random
import signal
import sys
from collections.abc import Collection
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from .control.admin_server import RESERVED_DESCRIPTORS as ADMIN_DESCRIPTORS
from .control.process_lifecycle import ProcessLifecycle
from .fleet.options import FailoverOptions
from .fleet_wiring import FleetFeatures
from .net.peers import Address
from .net.sidecar import SidecarServer
from .sidecar_config import (
    Config,
    ConfigError,
    FileError,
    ListenError,
    read_config,
    read_service_file,
    system_limit,
)

if TYPE_CHECKING:
    from .routing.plan import Plan
    from .routing.services import Services
    from .service_config import Service

log = logging.getLogger("dykefold")

FLEET_FEATURES = frozenset(("view", "calls", "failover"))  # of [fleet], on without an operator's file
USAGE = "usage: python -m dykefold [[view] [calls] [failover] | check FILE | serve FILE]"
USAGE_EXIT_CODE = 2


def start_sidecar(loop: asyncio.AbstractEventLoop, config: Config) -> SidecarServer:
    """Make the server of the platform's sidecar, with its one pool; it does not listen yet."""
    admin_addresses = [config.control, config.fleet.listen if config.fleet.view else None]
    set_aside = ADMIN_DESCRIPTORS * sum(address is not None for address in admin_addresses)
    sidecar = SidecarServer(loop, config.sockets, config.memory, config.caps, set_aside=set_aside)
    sidecar.serve_one(
        config.settings, config.transport, config.seed, config.discovery, config.names, config.known
    )
    return sidecar


class Reload:
    """Applies the platform's file again, as a whole or not at all.

    Args:
        sidecar: is to follow the file.
        config: what the process runs by.
        path: of the platform's file.
        service: path of the operator's file; None: there is none.
    """

    def __init__(self, sidecar: SidecarServer, config: Config, path: str | None, service: str | None) -> None:
        self.sidecar = sidecar
        self.config = config
        self.path = path
        self.service = service
        self.features: FleetFeatures | None = None

    def __call__(self) -> None:
        """Read and apply the file; log why where it can't be applied."""
        sidecar = self.sidecar
        try:
            config = read_config(self.path, self.service, self.config)
            # First what may be rejected, so that nothing else is half applied.
            sidecar.change_settings(config.settings, config.transport)
        except (ConfigError, ValueError) as error:
            log.warning("the configuration stays as it was: %s", error)
            return
        self.config = config
        sidecar.memory_limit = config.memory
        sidecar.change_limits(config.sockets, config.caps)
        if sidecar.peers is not None:
            sidecar.peers.change_addresses(config.settings.index, config.peers, config.peers_all)
        if self.features is not None:
            self.features.apply(config)
        if sidecar.pool.discovery is not None:
            sidecar.pool.discovery.change_address(config.discovery)


async def run(config: Config, path: str | None, service: str | None) -> None:
    """Serve as the platform's sidecar until the graceful shutdown is over.

    Raises:
        ConfigError: an address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    sidecar = start_sidecar(loop, config)
    # Where the platform gives no admin address there is no hot restart either, and no address is shared.
    lifecycle = ProcessLifecycle(loop, sidecar, config.control, os.environ.get("TMPDIR"))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lifecycle.drain)
    reload = Reload(sidecar, config, path, service)
    loop.add_signal_handler(signal.SIGHUP, reload)
    features = reload.features = FleetFeatures(loop, sidecar, config)
    try:
        if not await lifecycle.begin():
            await _end_unbegun(sidecar, lifecycle)
            return
        await features.start(config, lifecycle.shared)
        address = lifecycle.listen(config.listen)
    except OSError as error:
        raise ListenError(error) from None
    await _until_stopped(sidecar, config.name, address, lifecycle, features)
    features.close()


async def _end_unbegun(sidecar: SidecarServer, lifecycle: ProcessLifecycle) -> None:
    log.info("sidecar stopped before it accepted clients")
    await lifecycle.finish_writing()
    lifecycle.close()
    sidecar.close()


async def _until_stopped(
    sidecar: SidecarServer,
    name: str,
    address: Address,
    lifecycle: ProcessLifecycle,
    features: FleetFeatures | None = None,
) -> None:
    # What exists now lives as long as the process: garbage collections need not scan it again, nor run as
    # often as for a program that makes cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("sidecar accepts clients: name=%s address=%s:%d", name, *address)
    await sidecar.stopped
    if features is not None:
        features.leave()
    await lifecycle.finish_writing()
    lifecycle.close()
    sidecar.close()


async def serve(service: Service, plan: Plan, path: str) -> None:
    """Serve the pools of an operator's file until the graceful shutdown is over; SIGHUP reads the file again.

    Raises:
        ConfigError: the file can't be applied, or an address can't be listened on.
    """
    from .routing.services import Services  # not part of the platform's sidecar

    loop = asyncio.get_running_loop()
    sockets = min(plan.sockets, system_limit())
    set_aside = ADMIN_DESCRIPTORS if service.control is not None else 0
    sidecar = SidecarServer(loop, sockets, plan.memory_bytes, service.caps, set_aside=set_aside)
    lifecycle = ProcessLifecycle(loop, sidecar, service.control, service.folder)
    services = Services(sidecar, lambda: random.getrandbits(63))
    try:
        services.apply(plan, sockets, service.caps)
    except ValueError as error:
        raise FileError(path, [str(error)], code=2) from None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lifecycle.drain)
    loop.add_signal_handler(signal.SIGHUP, reload_services, services, path)
    try:
        if not await lifecycle.begin():
            await _end_unbegun(sidecar, lifecycle)
            return
        address = lifecycle.listen(plan.listen)
    except OSError as error:
        raise ListenError(error) from None
    await _until_stopped(sidecar, plan.name, address, lifecycle)


def reload_services(services: Services, path: str) -> None:
    """Read an operator's file again; one that can't be read or applied changes nothing."""
    try:
        service = read_service_file(path)
        plan = _plan_of(service, path, "pools: missing")
        services.apply(plan, min(plan.sockets, system_limit()), service.caps)
    except (ConfigError, ValueError) as error:
        log.warning("the services stay as they were: %s", error)


def _plan_of(service: Service, path: str, problem: str) -> Plan:
    """Return the plan that an operator's file names; raise FileError with a problem where it names none."""
    if service.plan is None:
        raise FileError(path, [problem], code=2)
    return service.plan


def check(path: str) -> int:
    """Check an operator's file; print all problems, and return the exit code, 2 if there are any."""
    try:
        read_service_file(path)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return error.code
    print(f"{path}: good")
    return 0


def main() -> int:
    """Run by the command line; return the exit code."""
    match sys.argv[1:]:
        case ["check", path]:
            return check(path)
        case ["serve", path]:
            serve_until_end = functools.partial(serve_file, path)
        case features if FLEET_FEATURES.issuperset(features):
            serve_until_end = functools.partial(serve_platform, features)
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_EXIT_CODE
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # While no loop handles the signal, at the start and the end, its default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        serve_until_end()
    except ConfigError as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return error.code
    return 0


def serve_platform(features: Collection[str]) -> None:
    """Serve as the platform's sidecar until the graceful shutdown is over.

    Args:
        features: of `FLEET_FEATURES`, those that are on; none: as the operator's file says.

    Raises:
        ConfigError: a file can't be used, or an address can't be listened on.
    """
    path, service = os.environ.get("GW_CONFIG"), os.environ.get("DYKEFOLD_SERVICE")
    config = read_config(path, service)
    if features:
        failover = FailoverOptions(on="failover" in features)
        config.fleet = replace(
            config.fleet, view="view" in features, calls="calls" in features, failover=failover
        )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(config, path, service))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def serve_file(path: str) -> None:
    """Serve an operator's file until the graceful shutdown is over.

    Raises:
        ConfigError: the file can't be read or applied.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens
    service = read_service_file(path)
    plan = _plan_of(service, path, "pools: missing; expected at least one table [pools.NAME]")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(service, plan, path))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
