"""Starts and ends what operators see of one process: its admin API, its hot restart and its listener."""

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

LISTEN_BACKLOG = 512  # connections of clients that may wait to be accepted


class ProcessLifecycle:
    """The admin API and the hot restart of a process; without an admin API nothing but a listener."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: SidecarServer,
        address: Address | None,
        folder: str | None,
    ) -> None:
        """Prepare.

        Args:
            loop: that runs the process.
            engine: what serves clients.
            address: of the admin API; None for none, and no hot restarts either.
            folder: that the processes of this sidecar share; None for no hot restarts.
        """
        self.loop = loop
        self.engine = engine
        self.address = address
        self.admin_server: AdminServer | None = None
        self.hot_restart: HotRestart | None = None
        self.directory_unusable = False  # a folder is configured, and can't be used
        if address is not None and folder:
            try:
                self.hot_restart = HotRestart(loop, engine, FileStateDirectory(folder))
            except OSError as error:
                log.warning("process disables hot restarts: folder %s, %s", folder, error.strerror)
                self.directory_unusable = True

    @property
    def shared(self) -> bool:
        """Whether another process may listen at the same addresses."""
        return self.address is not None

    async def begin(self) -> bool:
        """Open the admin API, and wait until older processes have made way.

        Returns:
            False if the process was asked to end meanwhile: it never listens, and what it might have claimed
            stays with the others.

        Raises:
            OSError: the admin API can't listen at its address.
        """
        if self.address is None:
            return True
        sock = socket.create_server(self.address, backlog=RESERVED_DESCRIPTORS)
        self.admin_server = AdminServer(self.loop, sock, self.operations())
        # The fleet laboratory and tests read the address from this line.
        log.info("the door is at %s:%d", *self.admin_server.address)
        if self.hot_restart is not None:
            await self.hot_restart.wait_for_capacity()
        return not self.engine.draining

    def operations(self) -> AdminOperations:
        """Return what carries the requests of the admin API out."""
        return AdminOperations(self.engine, self.hot_restart, directory_unusable=self.directory_unusable)

    def listen(self, address: Address) -> Address:
        """Take clients at an address.

        Returns:
            Where it listens: the address with the port that the system chose, if it was 0.

        Raises:
            OSError: the address can't be used.
        """
        sock = socket.create_server(address, backlog=LISTEN_BACKLOG, reuse_port=self.shared)
        listener = self.engine.listen(sock)
        if self.hot_restart is not None:
            self.hot_restart.take_clients(sock)
        return listener.address

    def drain(self) -> None:
        """Begin the graceful shutdown."""
        if self.hot_restart is not None:
            self.hot_restart.begin_shutdown()
        self.engine.drain()

    def close(self) -> None:
        """End with the process."""
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.admin_server is not None:
            self.admin_server.close()
