"""The real sidecar as a process: its configuration, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import random
import resource
import signal
import socket
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import uvloop

from .admission.addresses import Caps
from .admission.listener import Listener
from .control.board import Files
from .control.door import DESCRIPTORS as DOOR_DESCRIPTORS
from .control.door import Door
from .control.operator import Operator
from .control.upgrade import Upgrade
from .interface import Settings
from .net.discovery import ListError, Names, News, read_news, split_address
from .net.engine import Engine
from .net.limits import MB
from .net.peers import Address, Peers
from .settings import Transport, nested_settings, nested_transport

if TYPE_CHECKING:
    from .operators import Service
    from .routing.plan import Plan
    from .routing.services import Services

log = logging.getLogger("dykefold")

BACKLOG = 512
SOCKETS = 1024  # where the configuration names no limit
MEMORY_MB = 192  # likewise


class ConfigError(Exception):
    """The sidecar can't start; the text says why, and `code` is what the process ends with."""

    def __init__(self, text: str, code: int = 1) -> None:
        super().__init__(text)
        self.code = code


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    control: Address | None
    discovery: Address
    seed: int
    sockets: int
    memory: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    settings: Settings
    transport: Transport
    names: Names
    known: News
    caps: Caps


def _system_limit() -> int:
    """Descriptors that the system lets this process hold; it may be changed while running."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return SOCKETS if soft == resource.RLIM_INFINITY else soft


def read_config(path: str | None, service: str | None = None) -> Config:
    """Read the platform's configuration and, where one is named, the operator's file."""
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    caps = _read_caps(service)
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
        settings = nested_settings(data["settings"])
        transport = nested_transport(data["settings"])
        names = Names(settings.zones, transport.kinds)
        limits = data.get("limits", {})
        control = data.get("control") or os.environ.get("GW_CONTROL")
        return Config(
            name=str(data["name"]),
            listen=split_address(data["listen"], least_port=0),
            control=split_address(control, least_port=0) if control else None,
            discovery=split_address(data["discovery"]),
            seed=int(data["seed"], 16),
            sockets=min(int(limits.get("sockets", SOCKETS)), SOCKETS, _system_limit()),
            memory=int(limits.get("memory_mb", MEMORY_MB) * MB),
            peer_listen=split_address(data["peer_listen"]) if data.get("peer_listen") else None,
            peers=[split_address(peer) for peer in data.get("peers", [])],
            peers_all=split_address(data["peers_all"]) if data.get("peers_all") else None,
            settings=settings,
            transport=transport,
            names=names,
            known=read_news(data["known"], names),
            caps=caps,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except ListError as error:
        raise ConfigError(f"{path}: known is unreadable: {error}") from None
    except (OSError, ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from None


def _read_caps(service: str | None) -> Caps:
    if not service:
        return Caps()
    read = _read_service(service)
    if read.plan is not None:
        text = f"{service}: pools and routes are for `serve`; beside the platform's file they have no meaning"
        raise ConfigError(text, code=2)
    return read.caps


def _read_service(path: str) -> Service:
    from .operators import ServiceError, read_service  # not part of the platform's sidecar

    try:
        return read_service(path)
    except ServiceError as error:
        raise ConfigError("\n".join(error.lines()), code=2) from None


def start_engine(loop: asyncio.AbstractEventLoop, config: Config) -> Engine:
    set_aside = DOOR_DESCRIPTORS if config.control is not None else 0
    engine = Engine(loop, config.sockets, config.memory, config.caps, set_aside=set_aside)
    engine.serve_one(
        config.settings, config.transport, config.seed, config.discovery, config.names, config.known
    )
    return engine


def reload(engine: Engine, path: str | None, service: str | None = None) -> None:
    """Reread the configuration: discovery and limits may differ. What can't be read changes nothing."""
    try:
        config = read_config(path, service)
    except ConfigError as error:
        log.warning("the configuration stays as it was: %s", error)
        return
    engine.limit(config.sockets, config.caps)
    if engine.pool.discovery is not None:
        engine.pool.discovery.turn(config.discovery)


async def run(config: Config, path: str | None, service: str | None) -> None:
    loop = asyncio.get_running_loop()
    engine = start_engine(loop, config)
    # Where the platform gives no door there are no upgrades either, and nobody to share an address with.
    operated = config.control is not None
    upgrade = _upgrade(loop, engine) if operated else None

    def end() -> None:
        if upgrade is not None:
            upgrade.end()
        engine.drain()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    loop.add_signal_handler(signal.SIGHUP, reload, engine, path, service)
    door = None
    try:
        if config.control is not None:
            door = Door(
                loop,
                socket.create_server(config.control, backlog=DOOR_DESCRIPTORS),
                Operator(engine, upgrade),
            )
            log.info("the door is at %s:%d", *door.address)
        if upgrade is not None:
            await upgrade.make_room()
        if config.peer_listen is not None:
            peers = Peers(config.settings.index, config.peers, config.peers_all, engine.pool.on_peer)
            await loop.create_datagram_endpoint(
                lambda: peers, sock=_datagram_socket(config.peer_listen, operated)
            )
            engine.peers = peers
        sock = socket.create_server(config.listen, backlog=BACKLOG, reuse_port=operated)
        listener = engine.listen(sock)
    except OSError as error:
        raise ConfigError(f"can't listen: {error}") from None
    if upgrade is not None:
        upgrade.takes(sock)
    await _until_stopped(engine, config.name, listener)
    if upgrade is not None:
        upgrade.close()
    if door is not None:
        door.close()


def _upgrade(loop: asyncio.AbstractEventLoop, engine: Engine) -> Upgrade | None:
    """The hand-over's side of this process, where it has a folder for it."""
    folder = os.environ.get("TMPDIR")
    try:
        return Upgrade(loop, engine, Files(folder)) if folder else None
    except OSError as error:
        log.warning("%s: no upgrades: %s", folder, error.strerror)
        return None


def _datagram_socket(address: Address, shared: bool) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock


async def _until_stopped(engine: Engine, name: str, listener: Listener) -> None:
    # What was made until now lives as long as the process: collections need not look at it again, nor
    # come as often as for a program that makes cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("%s listens at %s:%d", name, *listener.address)
    await engine.stopped
    engine.close()


async def serve(service: Service, plan: Plan, path: str) -> None:
    """Serve the pools of an operator's file until a planned end; SIGHUP reads the file again."""
    from .routing.services import Services  # not part of the platform's sidecar

    loop = asyncio.get_running_loop()
    engine = Engine(loop, min(plan.sockets, _system_limit()), plan.memory_bytes, service.caps)
    services = Services(engine, lambda: random.getrandbits(63))
    try:
        services.apply(plan, min(plan.sockets, _system_limit()), service.caps)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}", code=2) from None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, engine.drain)
    loop.add_signal_handler(signal.SIGHUP, reload_services, services, path)
    try:
        listener = engine.listen(socket.create_server(plan.listen, backlog=BACKLOG))
    except OSError as error:
        raise ConfigError(f"can't listen: {error}") from None
    await _until_stopped(engine, plan.name, listener)


def reload_services(services: Services, path: str) -> None:
    """Read an operator's file again. What can't be read or carried out changes nothing."""
    try:
        read = _read_service(path)
        if read.plan is None:
            raise ConfigError(f"{path}: pools: missing")
        services.apply(read.plan, min(read.plan.sockets, _system_limit()), read.caps)
    except (ConfigError, ValueError) as error:
        log.warning("the services stay as they were: %s", error)
        return


def check(path: str) -> int:
    """Check an operator's file: all that is wrong with it, and exit code 2 if anything is."""
    try:
        _read_service(path)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return error.code
    print(f"{path}: good")
    return 0


def main() -> int:
    if len(sys.argv) == 3 and sys.argv[1] == "check":
        return check(sys.argv[2])
    serves = len(sys.argv) == 3 and sys.argv[1] == "serve"
    if len(sys.argv) > 1 and not serves:
        print("usage: python -m dykefold [check FILE | serve FILE]", file=sys.stderr)
        return 2
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # Guards the start and the end, when no loop listens: the signal's default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path, service = os.environ.get("GW_CONFIG"), os.environ.get("DYKEFOLD_SERVICE")
    try:
        if serves:
            serve_file(sys.argv[2])
            return 0
        config = read_config(path, service)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, path, service))
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
    except ConfigError as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return error.code
    return 0


def serve_file(path: str) -> None:
    """Serve an operator's file until a planned end; ConfigError if it can't be."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens
    service = _read_service(path)
    if service.plan is None:
        raise ConfigError(f"{path}: pools: missing; expected at least one table [pools.NAME]", code=2)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(service, service.plan, path))
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
