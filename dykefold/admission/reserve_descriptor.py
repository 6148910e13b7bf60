"""A descriptor that is kept only to be closed when accepting a connection needs one."""

from __future__ import annotations

import contextlib

from ..system import System


class ReserveDescriptor:
    """Holds one descriptor of the process, if there is one to be had.

    Args:
        system: Opens and closes the descriptor.
    """

    def __init__(self, system: System) -> None:
        self._system = system
        self._number: int | None = None

    @property
    def held(self) -> bool:
        """Whether there is one."""
        return self._number is not None

    def open(self) -> None:
        """Open it unless it is open; where the system has none left, do nothing."""
        if self._number is None:
            with contextlib.suppress(OSError):
                self._number = self._system.open_reserve()

    def close(self) -> None:
        """Close it unless it is closed."""
        if self._number is not None:
            self._system.close_reserve(self._number)
            self._number = None
