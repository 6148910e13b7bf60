"""Removes the records that processes left which are gone."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .hot_restart_state import ProcessHeartbeat
from .process_records import RecordKind
from .state_directory import StateDirectory


def gone_processes(heartbeats: Iterable[ProcessHeartbeat], alive: Collection[str], born_ns: int) -> list[str]:
    """Return the names of processes that are gone and have not shown themselves since a moment.

    Args:
        heartbeats: all that stand in the state directory.
        alive: names of processes that live.
        born_ns: the moment, monotonic: the start of the process that asks.
    """
    return [beat.name for beat in heartbeats if beat.name not in alive and beat.beat_ns < born_ns]


def remove_records(directory: StateDirectory, process: str) -> None:
    """Remove all records of a process, its heartbeat last."""
    for kind in RecordKind:
        directory.remove(kind.of_process(process))
