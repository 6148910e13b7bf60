"""Budget for the memory of buffered messages, from the process's memory limit."""

from __future__ import annotations

MB = 1024 * 1024


class MemoryBudget:
    """Budget for the memory of all buffered requests and responses.

    Args:
        limit_bytes: Maximum memory of the whole process, in bytes.

    Attributes:
        reserved_bytes: Number of bytes that are reserved.
        capacity_bytes: Maximum number of reserved bytes.
        PROGRAM_BYTES: Memory of the process without any message, in bytes.
        FRACTION: Fraction of the remaining memory that messages may use. It is far below 1, since a message
            may be buffered twice, and freed memory is fragmented.
        MIN_BYTES: Minimum capacity, in bytes.
        MAX_BYTES: Maximum capacity, in bytes.
        HEAD_FRACTION: Fraction of the capacity up to which incomplete heads may reserve memory, so that
            clients and endpoints that do not end their heads leave the rest to complete messages.
    """

    PROGRAM_BYTES = 20 * MB
    FRACTION = 0.3
    MIN_BYTES = MB
    MAX_BYTES = 48 * MB
    HEAD_FRACTION = 0.5

    def __init__(self, limit_bytes: int) -> None:
        self.reserved_bytes = 0
        self.resize(limit_bytes)

    def resize(self, limit_bytes: int) -> None:
        """Apply a changed limit; reserved bytes stay reserved.

        Args:
            limit_bytes: Maximum memory of the whole process, in bytes.
        """
        self.capacity_bytes = int(
            min(max((limit_bytes - self.PROGRAM_BYTES) * self.FRACTION, self.MIN_BYTES), self.MAX_BYTES)
        )

    def reserve(self, size: int) -> bool:
        """Reserve this many bytes; return False, and reserve none, if they would exceed the budget."""
        if self.reserved_bytes + size > self.capacity_bytes:
            return False
        self.reserved_bytes += size
        return True

    def reserve_head(self, size: int) -> bool:
        """Reserve bytes for an incomplete head; return False, and reserve none, beyond `HEAD_FRACTION`."""
        if self.reserved_bytes + size > self.HEAD_FRACTION * self.capacity_bytes:
            return False
        self.reserved_bytes += size
        return True

    def charge(self, size: int) -> None:
        """Reserve bytes that are held already, also beyond the budget; others then find no capacity."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release bytes that were reserved."""
        self.reserved_bytes -= size
