"""The real sidecar as a process: its configuration, signals and exit code."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import resource
import signal
import socket
import sys
from dataclasses import dataclass

import uvloop

from .admission.addresses import Caps
from .interface import Settings
from .net.discovery import ListError, Names, News, read_news, split_address
from .net.engine import Engine
from .net.limits import MB
from .net.peers import Address, Peers
from .settings import Transport, nested_settings, nested_transport

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
        return Config(
            name=str(data["name"]),
            listen=split_address(data["listen"], least_port=0),
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
    from .operators import ServiceError, read_service  # not part of the platform's sidecar

    try:
        return read_service(service)
    except ServiceError as error:
        raise ConfigError("\n".join(error.lines()), code=2) from None


def start_engine(loop: asyncio.AbstractEventLoop, config: Config) -> Engine:
    return Engine(
        loop,
        config.settings,
        config.transport,
        config.seed,
        config.sockets,
        config.memory,
        config.discovery,
        config.names,
        config.known,
        config.caps,
    )


def reload(engine: Engine, path: str | None, service: str | None = None) -> None:
    """Reread the configuration: discovery and limits may differ. What can't be read changes nothing."""
    try:
        config = read_config(path, service)
    except ConfigError as error:
        log.warning("the configuration stays as it was: %s", error)
        return
    engine.limit(config.sockets, config.caps)
    engine.pool.discovery.turn(config.discovery)


async def run(config: Config, path: str | None, service: str | None) -> None:
    loop = asyncio.get_running_loop()
    engine = start_engine(loop, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, engine.drain)
    loop.add_signal_handler(signal.SIGHUP, reload, engine, path, service)
    try:
        if config.peer_listen is not None:
            peers = Peers(config.settings.index, config.peers, config.peers_all, engine.pool.on_peer)
            await loop.create_datagram_endpoint(lambda: peers, local_addr=config.peer_listen)
            engine.peers = peers
        listener = engine.listen(socket.create_server(config.listen, backlog=BACKLOG))
    except OSError as error:
        raise ConfigError(f"can't listen: {error}") from None
    # What was made until now lives as long as the process: collections need not look at it again, nor
    # come as often as for a program that makes cycles.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    log.info("%s listens at %s:%d", config.name, *listener.address)
    await engine.stopped
    engine.close()


def check(path: str) -> int:
    """Check an operator's file: all that is wrong with it, and exit code 2 if anything is."""
    try:
        _read_caps(path)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return error.code
    print(f"{path}: good")
    return 0


def main() -> int:
    if len(sys.argv) == 3 and sys.argv[1] == "check":
        return check(sys.argv[2])
    if len(sys.argv) > 1:
        print("usage: python -m dykefold [check FILE]", file=sys.stderr)
        return 2
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    # Guards the start and the end, when no loop listens: the signal's default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path, service = os.environ.get("GW_CONFIG"), os.environ.get("DYKEFOLD_SERVICE")
    try:
        config = read_config(path, service)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, path, service))
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
    except ConfigError as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return error.code
    return 0


if __name__ == "__main__":
    sys.exit(main())
