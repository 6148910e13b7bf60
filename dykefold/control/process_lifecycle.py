"""Starts and stops the admin API, the hot restart and the listener of one process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from ..net.peers import Address
from .admin_operations import AdminOperations
from .admin_queue import AdminQueue
from .admin_server import RESERVED_DESCRIPTORS, AdminServer
from .background_writer import BackgroundWriter, Submit
from .directory_retry import DirectoryRetry
from .file_system import FILE_SYSTEM, FileSystem
from .hot_restart import HotRestart
from .protocols import ManagedServer
from .state_directory import FileStateDirectory

log = logging.getLogger("dykefold.control")

# At its end the process waits at most this long for the disk.
MAX_LAST_WRITE_S = 1.0
# Maximum number of clients' connections that wait to be accepted.
LISTEN_BACKLOG = 512


class ProcessLifecycle:
    """The admin API, the hot restart and the listener of a process.

    Args:
        loop: Event loop of the process.
        sidecar: Server that accepts clients.
        address: Address of the admin API; None for neither an admin API nor hot restarts.
        folder: Path of the folder that the processes of this sidecar share; None for no hot restarts.
        file_system: File system calls.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sidecar: ManagedServer,
        address: Address | None,
        folder: str | None,
        file_system: FileSystem = FILE_SYSTEM,
    ) -> None:
        self.loop = loop
        self.sidecar = sidecar
        self.address = address
        self.admin_server: AdminServer | None = None
        self.hot_restart: HotRestart | None = None
        self.admin_operations: AdminOperations | None = None
        self.submit: Submit = BackgroundWriter(loop).submit
        self.started_ns = sidecar.clock.monotonic_ns()
        self.directory_retry: DirectoryRetry | None = None  # None where no folder is configured
        if address is not None and folder:
            self.directory_retry = DirectoryRetry(loop, folder, file_system)
            directory = self.directory_retry.open()
            if directory is not None:
                self.hot_restart = self._make_hot_restart(directory)

    def _make_hot_restart(self, directory: FileStateDirectory) -> HotRestart:
        hot_restart = HotRestart(self.loop, self.sidecar, directory, started_ns=self.started_ns)
        hot_restart.write_in_background(self.submit)
        return hot_restart

    @property
    def shared(self) -> bool:
        """Whether other processes may listen at the same addresses."""
        return self.address is not None

    async def begin(self) -> bool:
        """Open the admin API, and wait until older processes have released capacity.

        Returns:
            Whether the process should accept clients; False if its shutdown has begun meanwhile.

        Raises:
            OSError: The admin API can't listen at its address.
        """
        if self.address is None:
            return True
        sock = socket.create_server(self.address, backlog=RESERVED_DESCRIPTORS)
        self.admin_operations = self.operations()
        queue = AdminQueue(self.loop, self.admin_operations)
        self.admin_server = AdminServer(self.loop, sock, queue)
        # The fleet laboratory and tests read the address from this line.
        log.info("admin API listens: address=%s:%d", *self.admin_server.address)
        if self.hot_restart is not None:
            await self.hot_restart.wait_for_capacity()
        return not self.sidecar.draining

    def operations(self) -> AdminOperations:
        """Return the operations that carry out the requests of the admin API."""
        unusable = self.directory_retry is not None and not self.directory_retry.usable
        return AdminOperations(self.sidecar, self.hot_restart, directory_unusable=unusable)

    def listen(self, address: Address) -> Address:
        """Accept clients at an address.

        Returns:
            The address of the listener; for port 0, with the port that the system chose.

        Raises:
            OSError: The address can't be used.
        """
        sock = socket.create_server(address, backlog=LISTEN_BACKLOG, reuse_port=self.shared)
        listener = self.sidecar.listen(sock)
        if self.hot_restart is not None:
            self.hot_restart.take_clients(sock)
        elif self.directory_retry is not None:
            self.directory_retry.start(self._join)
        return listener.address

    def _join(self, directory: FileStateDirectory) -> None:
        """Participate in hot restarts from now on, since the state directory has become usable."""
        self.hot_restart = self._make_hot_restart(directory)
        self.hot_restart.join()
        if self.admin_operations is not None:
            self.admin_operations.use_order_store(self.hot_restart)

    def drain(self) -> None:
        """Start the graceful shutdown."""
        if self.directory_retry is not None:
            self.directory_retry.close()
        if self.hot_restart is not None:
            self.hot_restart.begin_shutdown()
        self.sidecar.drain()

    async def finish_writing(self) -> None:
        """Wait until all orders are recorded, for at most `MAX_LAST_WRITE_S`."""
        if self.hot_restart is None:
            return
        written: asyncio.Future[bool] = self.loop.create_future()
        self.hot_restart.maintenance.record(
            {}, lambda recorded: None if written.done() else written.set_result(recorded)
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(written, MAX_LAST_WRITE_S)
        if written.cancelled():
            log.warning("process ends before its orders are written: the disk has not answered in time")

    def close(self) -> None:
        """Stop all components at the end of the process."""
        if self.directory_retry is not None:
            self.directory_retry.close()
        if self.hot_restart is not None:
            self.hot_restart.close()
        if self.admin_server is not None:
            self.admin_server.close()
