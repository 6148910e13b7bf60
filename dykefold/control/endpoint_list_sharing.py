"""Shares endpoint lists between the processes of one sidecar.

A list that one process was notified of counts as known to all of them.
"""

from __future__ import annotations

import logging
from collections.abc import Collection

from ..net.service.pool import Pool
from .process_records import Record, RecordKind, list_version, nested_table
from .protocols import StateDirectory

log = logging.getLogger("dykefold.control")


class EndpointListSharing:
    """Writes the endpoint lists of this process, and adopts newer ones of the others.

    Args:
        pools: Pools whose endpoint lists are shared; the collection changes with them.
        directory: State directory that the processes of the sidecar share.
        name: Name of this process.
    """

    def __init__(self, pools: Collection[Pool], directory: StateDirectory, name: str) -> None:
        self.pools = pools
        self.directory = directory
        self.name = name
        self.written: dict[str, int] = {}  # versions of the recorded lists, by pool label

    def write(self, needed: bool) -> dict[str, int]:
        """Write the lists if they have changed.

        Args:
            needed: Whether another live process may read them.

        Returns:
            The versions of the recorded lists, by pool label.
        """
        versions = {pool.label: pool.version for pool in self.pools}
        if needed and versions != self.written:
            lists = {pool.label: pool.list_record() for pool in self.pools}
            if self.directory.write(RecordKind.ENDPOINT_LISTS.of_process(self.name), {"pools": lists}):
                self.written = versions
        return self.written

    def adopt(self, process: str, heartbeat: Record) -> None:
        """Adopt the lists of another process that are newer than those of this one.

        Args:
            process: Name of the other process.
            heartbeat: Heartbeat record of that process, with the versions of its lists.
        """
        versions = nested_table(heartbeat, "lists")
        newer = [
            pool for pool in self.pools if _is_newer(list_version(versions.get(pool.label)), pool.version)
        ]
        if not newer:
            return
        record = self.directory.read(RecordKind.ENDPOINT_LISTS.of_process(process))
        lists = nested_table(record, "pools")
        for pool in newer:
            try:
                pool.adopt_list_record(nested_table(lists, pool.label))
            except ValueError as error:
                log.warning("process ignores endpoint list: process %s, %s", process, error)


def _is_newer(version: int | None, own_version: int) -> bool:
    return version is not None and version > own_version
