"""Process of the sidecar: configuration, signals and exit code."""

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
from .net.service.pool_config import PoolConfig
from .net.sidecar import SidecarLimits, SidecarServer
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
    from .routing.plan import ServicesPlan
    from .routing.services import Services
    from .service_config import Service

log = logging.getLogger("dykefold")

# Options of [fleet] and [failover] that the command line can enable without an operator's file.
FLEET_FEATURES = frozenset(("view", "calls", "failover"))
USAGE = "usage: python -m dykefold [[view] [calls] [failover] | check FILE | serve FILE]"
USAGE_EXIT_CODE = 2


def create_sidecar_server(loop: asyncio.AbstractEventLoop, config: Config) -> SidecarServer:
    """Create the server of the platform's sidecar with its single pool; the server does not listen yet."""
    admin_addresses = [config.admin_address, config.fleet.listen if config.fleet.view else None]
    other_descriptors = ADMIN_DESCRIPTORS * sum(address is not None for address in admin_addresses)
    sidecar = SidecarServer(
        loop,
        SidecarLimits(config.max_descriptors, config.memory_bytes, config.address_limits, other_descriptors),
    )
    sidecar.serve_one(
        PoolConfig(
            config.settings,
            config.transport,
            config.seed,
            config.discovery_address,
            config.names,
            config.initial_endpoints,
        )
    )
    return sidecar


class Reload:
    """Rereads the platform's file, and applies it completely or not at all.

    Args:
        sidecar: Server to which the file is applied.
        config: Configuration in use.
        path: Path of the platform's file.
        service_path: Path of the operator's file; None for no such file.
    """

    def __init__(
        self, sidecar: SidecarServer, config: Config, path: str | None, service_path: str | None
    ) -> None:
        self.sidecar = sidecar
        self.config = config
        self.path = path
        self.service_path = service_path
        self.features: FleetFeatures | None = None

    def __call__(self) -> None:
        """Read and apply the file; log the problem if it can't be applied."""
        sidecar = self.sidecar
        try:
            config = read_config(self.path, self.service_path, self.config)
            # The settings may still be rejected, so they are applied before everything else.
            sidecar.change_settings(config.settings, config.transport)
        except (ConfigError, ValueError) as error:
            # The operators' documentation quotes this text.
            log.warning("configuration rejected: problem=%s", error)
            return
        self.config = config
        sidecar.memory_limit_bytes = config.memory_bytes
        sidecar.change_limits(config.max_descriptors, config.address_limits)
        if sidecar.peers is not None:
            sidecar.peers.change_addresses(
                config.settings.index, config.peer_addresses, config.broadcast_address
            )
        if self.features is not None:
            self.features.apply(config)
        if sidecar.pool.discovery is not None:
            sidecar.pool.discovery.change_address(config.discovery_address)


async def run(config: Config, path: str | None, service_path: str | None) -> None:
    """Serve as the platform's sidecar until the graceful shutdown is over.

    Args:
        config: Initial configuration.
        path: Path of the platform's file, which SIGHUP rereads.
        service_path: Path of the operator's file; None for no such file.

    Raises:
        ConfigError: The process can't listen at an address.
    """
    loop = asyncio.get_running_loop()
    sidecar = create_sidecar_server(loop, config)
    # Without an admin address hot restarts are disabled and no address is shared between processes.
    lifecycle = ProcessLifecycle(loop, sidecar, config.admin_address, os.environ.get("TMPDIR"))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, lifecycle.drain)
    reload = Reload(sidecar, config, path, service_path)
    loop.add_signal_handler(signal.SIGHUP, reload)
    features = reload.features = FleetFeatures(loop, sidecar, config)
    try:
        if not await lifecycle.begin():
            await _stop_before_serving(sidecar, lifecycle)
            return
        await features.start(config, lifecycle.shared)
        address = lifecycle.listen(config.listen_address)
    except OSError as error:
        raise ListenError(error) from None
    await _serve_until_stopped(sidecar, config.name, address, lifecycle, features)
    features.close()


async def _stop_before_serving(sidecar: SidecarServer, lifecycle: ProcessLifecycle) -> None:
    log.info("sidecar stopped before it accepted clients")
    await lifecycle.finish_writing()
    lifecycle.close()
    sidecar.close()


async def _serve_until_stopped(
    sidecar: SidecarServer,
    name: str,
    address: Address,
    lifecycle: ProcessLifecycle,
    features: FleetFeatures | None = None,
) -> None:
    # The objects that exist now live as long as the process, so the garbage collector need not scan them. The
    # program creates few reference cycles, so collections can be rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    sidecar.measure_program_memory()
    log.info("sidecar accepts clients: name=%s address=%s:%d", name, *address)
    await sidecar.stopped
    if features is not None:
        features.leave()
    await lifecycle.finish_writing()
    lifecycle.close()
    sidecar.close()


async def serve(service: Service, plan: ServicesPlan, path: str) -> None:
    """Serve the pools of an operator's file until the graceful shutdown is over.

    Args:
        service: Configuration in the file.
        plan: Pools and routes in the file.
        path: Path of the file, which SIGHUP rereads.

    Raises:
        ConfigError: The file can't be applied, or the process can't listen at an address.
    """
    # Imported here, since the platform's sidecar does not need it.
    from .routing.services import Services

    loop = asyncio.get_running_loop()
    max_descriptors = min(plan.max_descriptors, system_limit())
    other_descriptors = ADMIN_DESCRIPTORS if service.admin_address is not None else 0
    limits = SidecarLimits(max_descriptors, plan.memory_bytes, service.address_limits, other_descriptors)
    sidecar = SidecarServer(loop, limits)
    lifecycle = ProcessLifecycle(loop, sidecar, service.admin_address, service.folder)
    services = Services(sidecar, lambda: random.getrandbits(63))
    try:
        services.apply(plan, max_descriptors, service.address_limits)
    except ValueError as error:
        raise FileError(path, [str(error)], code=2) from None
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, lifecycle.drain)
    loop.add_signal_handler(signal.SIGHUP, reload_services, services, path)
    try:
        if not await lifecycle.begin():
            await _stop_before_serving(sidecar, lifecycle)
            return
        address = lifecycle.listen(plan.listen)
    except OSError as error:
        raise ListenError(error) from None
    await _serve_until_stopped(sidecar, plan.name, address, lifecycle)


def reload_services(services: Services, path: str) -> None:
    """Reread and apply an operator's file; a file that can't be applied changes nothing."""
    try:
        service = read_service_file(path)
        plan = _require_plan(service, path, "pools: missing")
        services.apply(plan, min(plan.max_descriptors, system_limit()), service.address_limits)
    except (ConfigError, ValueError) as error:
        # The operators' documentation quotes this text.
        log.warning("route table rejected: problem=%s", error)


def _require_plan(service: Service, path: str, problem: str) -> ServicesPlan:
    """Return the plan of an operator's file.

    Raises:
        FileError: The file has no plan; the error reports the given problem.
    """
    if service.plan is None:
        raise FileError(path, [problem], code=2)
    return service.plan


def check(path: str) -> int:
    """Check an operator's file and print all problems; return the exit code, 2 for an invalid file."""
    try:
        read_service_file(path)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return error.code
    print(f"{path}: good")
    return 0


def main() -> int:
    """Run the command line; return the exit code."""
    match sys.argv[1:]:
        case ["check", path]:
            return check(path)
        case ["serve", path]:
            serve_until_stopped = functools.partial(serve_file, path)
        case features if FLEET_FEATURES.issuperset(features):
            serve_until_stopped = functools.partial(serve_platform, features)
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_EXIT_CODE
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # SIGHUP would terminate the process while no event loop handles it, during start and shutdown.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        serve_until_stopped()
    except ConfigError as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return error.code
    return 0


def serve_platform(features: Collection[str]) -> None:
    """Serve as the platform's sidecar until the graceful shutdown is over.

    Args:
        features: Members of `FLEET_FEATURES` to enable instead of those in the operator's file; empty to
            use the file.

    Raises:
        ConfigError: A file can't be used, or the process can't listen at an address.
    """
    path, service_path = os.environ.get("GW_CONFIG"), os.environ.get("DYKEFOLD_SERVICE")
    config = read_config(path, service_path)
    if features:
        failover = FailoverOptions(on="failover" in features)
        config.fleet = replace(
            config.fleet, view="view" in features, calls="calls" in features, failover=failover
        )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(config, path, service_path))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def serve_file(path: str) -> None:
    """Serve an operator's file until the graceful shutdown is over.

    Raises:
        ConfigError: The file can't be read or applied, or the process can't listen at an address.
    """
    # SIGHUP would terminate the process before the event loop handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    service = read_service_file(path)
    plan = _require_plan(service, path, "pools: missing; expected at least one table [pools.NAME]")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(service, plan, path))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
