"""Shares endpoint lists between the processes of one sidecar: what one was notified of, all were."""

from __future__ import annotations

import logging

from ..net.sidecar import SidecarServer
from .process_records import Record, RecordKind, list_version, nested_table
from .state_directory import StateDirectory

log = logging.getLogger("dykefold.control")


class EndpointListSharing:
    """Writes the endpoint lists of this process, and takes newer ones of the others."""

    def __init__(self, sidecar: SidecarServer, directory: StateDirectory, name: str) -> None:
        """Prepare; `name` is that of this process."""
        self.sidecar = sidecar
        self.directory = directory
        self.name = name
        self.written: dict[str, int] = {}  # versions of the lists that others can read, by pool

    def write(self, needed: bool) -> dict[str, int]:
        """Write the lists if they have changed; returns the versions that others can read, by pool.

        Args:
            needed: whether another process lives that may read them.
        """
        versions = {pool.label: pool.version for pool in self.sidecar.pools}
        if needed and versions != self.written:
            lists = {pool.label: pool.list_record() for pool in self.sidecar.pools}
            if self.directory.write(RecordKind.ENDPOINT_LISTS.of_process(self.name), {"pools": lists}):
                self.written = versions
        return self.written

    def adopt(self, process: str, heartbeat: Record) -> None:
        """Take the lists of another process that are newer than the own ones.

        Args:
            process: its name.
            heartbeat: its record, with the versions of its lists.
        """
        versions = nested_table(heartbeat, "lists")
        newer = [pool for pool in self.sidecar.pools if list_version(versions.get(pool.label)) > pool.version]
        if not newer:
            return
        record = self.directory.read(RecordKind.ENDPOINT_LISTS.of_process(process))
        lists = nested_table(record, "pools")
        for pool in newer:
            try:
                pool.adopt_list_record(nested_table(lists, pool.label))
            except ValueError as error:
                log.warning("process ignores endpoint list: process %s, %s", process, error)
