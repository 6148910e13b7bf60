"""What a pool begins with. Settings and sockets' limits may change while it runs."""

from __future__ import annotations

from dataclasses import dataclass

from ...balancer.settings import Settings
from ...settings import Transport
from ..discovery.codec import EndpointUpdate, NameTable
from ..peers import Address


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """What a pool begins with.

    Attributes:
        settings: Settings of the balancer.
        transport: Limits and idle timeout of sockets.
        seed: Seed of the balancer's random generator.
        discovery: Host and port of the discovery service; None if the endpoint list is only ever given.
        names: Numbers of endpoints and zones by name.
        known: Endpoint list to begin with.
        label: Name of the pool in this process, and in the next one after a hot restart.
    """

    settings: Settings
    transport: Transport
    seed: int
    discovery: Address | None
    names: NameTable
    known: EndpointUpdate
    label: str = ""
