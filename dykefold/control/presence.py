"""The operators' side of one process: its door, its hand-over, and how both begin and end."""

from __future__ import annotations

import asyncio
import logging
import socket

from ..net.engine import Engine
from ..net.peers import Address
from .board import Files
from .door import DESCRIPTORS, Door
from .operator import Operator
from .upgrade import Upgrade

log = logging.getLogger("dykefold.control")

BACKLOG = 512  # connections of clients that may wait to be accepted


class Presence:
    """What operators meet of this process; where there is no door, nothing but a listener."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, engine: Engine, address: Address | None, folder: str | None
    ) -> None:
        """Prepare.

        Args:
            address: of the door; None for no door, and no upgrades either.
            folder: that the processes of this sidecar share; None for no upgrades.
        """
        self.loop = loop
        self.engine = engine
        self.address = address
        self.door: Door | None = None
        self.upgrade: Upgrade | None = None
        if address is not None and folder:
            try:
                self.upgrade = Upgrade(loop, engine, Files(folder))
            except OSError as error:
                log.warning("%s: no upgrades: %s", folder, error.strerror)

    @property
    def shared(self) -> bool:
        """Whether another process may listen at the same addresses."""
        return self.address is not None

    async def begin(self) -> None:
        """Open the door, and wait until older processes have made room. Raises OSError if it can't be."""
        if self.address is None:
            return
        sock = socket.create_server(self.address, backlog=DESCRIPTORS)
        self.door = Door(self.loop, sock, Operator(self.engine, self.upgrade))
        log.info("the door is at %s:%d", *self.door.address)
        if self.upgrade is not None:
            await self.upgrade.make_room()

    def listen(self, address: Address) -> Address:
        """Take clients at an address; where it is. Raises OSError if it can't be."""
        sock = socket.create_server(address, backlog=BACKLOG, reuse_port=self.shared)
        listener = self.engine.listen(sock)
        if self.upgrade is not None:
            self.upgrade.takes(sock)
        return listener.address

    def drain(self) -> None:
        """Begin a planned end."""
        if self.upgrade is not None:
            self.upgrade.end()
        self.engine.drain()

    def close(self) -> None:
        """The process ends."""
        if self.upgrade is not None:
            self.upgrade.close()
        if self.door is not None:
            self.door.close()
