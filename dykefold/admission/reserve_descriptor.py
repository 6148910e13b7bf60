"""A reserve descriptor, closed to free one for accepting a connection."""

from __future__ import annotations

import contextlib

from ..system import System


class ReserveDescriptor:
    """One descriptor of the process, kept in reserve while the system has one available.

    Args:
        system: Opens and closes the descriptor.
    """

    def __init__(self, system: System) -> None:
        self._system = system
        self._descriptor: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether the descriptor is open."""
        return self._descriptor is not None

    def open(self) -> None:
        """Open the descriptor unless it is open; do nothing if the system has none left."""
        if self._descriptor is None:
            with contextlib.suppress(OSError):
                self._descriptor = self._system.open_reserve()

    def close(self) -> None:
        """Close the descriptor unless it is closed."""
        if self._descriptor is not None:
            self._system.close_reserve(self._descriptor)
            self._descriptor = None
