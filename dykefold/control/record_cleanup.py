"""Removes the records of dead processes."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .hot_restart_state import ProcessHeartbeat
from .process_records import RecordKind
from .protocols import StateDirectory
from .request_id_sharing import log_name


def dead_processes(
    heartbeats: Iterable[ProcessHeartbeat], alive: Collection[str], since_ns: int
) -> list[str]:
    """Return the names of dead processes that have written no heartbeat since a given time.

    Args:
        heartbeats: All heartbeats in the state directory.
        alive: Names of the live processes.
        since_ns: Time on the monotonic clock from which a heartbeat protects the records of its process.
    """
    return [
        heartbeat.name
        for heartbeat in heartbeats
        if heartbeat.name not in alive and heartbeat.written_ns < since_ns
    ]


def remove_records(directory: StateDirectory, process: str) -> None:
    """Remove the log and all records of a process, its heartbeat last."""
    directory.logs.remove(log_name(process))
    for kind in RecordKind:
        directory.remove(kind.of_process(process))
