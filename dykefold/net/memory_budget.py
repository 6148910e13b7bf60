"""The memory that the messages of this process may use, by the configuration."""

from __future__ import annotations

MB = 1024 * 1024


class MemoryBudget:
    """The memory of all buffered messages, requests and responses.

    Args:
        limit: Bytes that the whole process may use.

    Attributes:
        reserved_bytes: Bytes that are reserved.
        capacity_bytes: Maximum of the bytes that are reserved.
        PROGRAM_BYTES: Bytes that the program uses without any message.
        FRACTION: Fraction of the other bytes that messages may use. It is far below 1, since a message is
            buffered up to twice, and freed memory is fragmented.
        MIN_BYTES: Minimum of the capacity.
        MAX_BYTES: Maximum of the capacity.
    """

    PROGRAM_BYTES = 20 * MB
    FRACTION = 0.3
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB

    def __init__(self, limit: int) -> None:
        self.reserved_bytes = 0
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Apply another limit; reserved bytes stay reserved.

        Args:
            limit: Bytes that the whole process may use.
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
