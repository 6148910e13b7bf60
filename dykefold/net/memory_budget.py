"""How much memory the messages of this process may take, by the configuration."""

from __future__ import annotations

MB = 1024 * 1024


class MemoryBudget:
    """The memory of all buffered messages, requests and responses.

    Attributes:
        held: bytes that are reserved.
        most: bytes that may be reserved.
    """

    PROGRAM_BYTES = 20 * MB  # what the program takes without any message
    FRACTION = 0.3  # of the rest: a message is buffered up to twice, and freed memory is fragmented
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB

    def __init__(self, limit: int) -> None:
        """Begin with nothing reserved; `limit` as for `resize`."""
        self.reserved_bytes = 0
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Apply another limit; what is reserved stays reserved.

        Args:
            limit: bytes that the whole process may take.
        """
        self.capacity_bytes = int(
            min(max((limit - self.PROGRAM_BYTES) * self.FRACTION, self.MIN_BYTES), self.MAX_BYTES)
        )

    def reserve(self, size: int) -> bool:
        """Reserve this many bytes; return False, and reserve none, where they exceed the budget."""
        if self.reserved_bytes + size > self.capacity_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size
