"""Initial configuration of a pool. Settings and limits of sockets may change while the pool runs."""

from __future__ import annotations

from dataclasses import dataclass

from ...balancer.settings import Settings
from ...settings import Transport
from ..discovery.codec import EndpointUpdate, NameTable
from ..peers import Address


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Initial configuration of a pool.

    Attributes:
        settings: Initial settings of the balancer.
        transport: Initial limits and idle timeout of sockets.
        seed: Seed of the balancer's random generator.
        discovery: Host and port of the discovery service; None without one.
        names: Numbers of endpoints and zones, by name.
        initial_endpoints: Initial endpoint list.
        label: Name of the pool in this process, and in its successor after a hot restart.
    """

    settings: Settings
    transport: Transport
    seed: int
    discovery: Address | None
    names: NameTable
    initial_endpoints: EndpointUpdate
    label: str = ""
