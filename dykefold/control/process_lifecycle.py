"""The operators' side of one process: its door, its hand-over, and how both begin and end."""

from __future__ import annotations

import asyncio
import logging
import socket

from ..net.peers import Address
from ..net.sidecar import SidecarServer
from .admin_operations import AdminOperations
from .admin_server import RESERVED_DESCRIPTORS, AdminServer
from .hot_restart import HotRestart
from .state_directory import FileStateDirectory

log = logging.getLogger("dykefold.control")

BACKLOG = 512  # connections of clients that may wait to be accepted


class ProcessLifecycle:
    """What operators meet of this process; where there is no door, nothing but a listener."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: SidecarServer,
        address: Address | None,
        folder: str | None,
    ) -> None:
        """Prepare.

        Args:
            address: of the door; None for no door, and no upgrades either.
            folder: that the processes of this sidecar share; None for no upgrades.
        """
        self.loop = loop
        self.engine = engine
        self.address = address
        self.door: AdminServer | None = None
        self.upgrade: HotRestart | None = None
        self.no_folder = False  # there is to be one, and it can't be used
        if address is not None and folder:
            try:
                self.upgrade = HotRestart(loop, engine, FileStateDirectory(folder))
            except OSError as error:
                log.warning("%s: no upgrades: %s", folder, error.strerror)
                self.no_folder = True

    @property
    def shared(self) -> bool:
        """Whether another process may listen at the same addresses."""
        return self.address is not None

    async def begin(self) -> bool:
        """Open the door, and wait until older processes have made room.

        Returns:
            False if the process was told to end meanwhile: it never listens, and what it might have claimed
            stays with the others.

        Raises:
            OSError: the door can't be opened.
        """
        if self.address is None:
            return True
        sock = socket.create_server(self.address, backlog=RESERVED_DESCRIPTORS)
        self.door = AdminServer(self.loop, sock, self.operator())
        log.info("the door is at %s:%d", *self.door.address)
        if self.upgrade is not None:
            await self.upgrade.make_room()
        return not self.engine.draining

    def operator(self) -> AdminOperations:
        """What carries the door's calls out."""
        return AdminOperations(self.engine, self.upgrade, no_folder=self.no_folder)

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
