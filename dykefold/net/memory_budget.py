"""The memory of messages that this process may hold, by the configuration."""

from __future__ import annotations

MB = 1024 * 1024


class MemoryBudget:
    """The memory of all messages that are held, requests and answers."""

    PROGRAM = 20 * MB  # what the program takes without any
    PART = 0.3  # of the rest: a message is held up to twice, and freed memory is in pieces
    LEAST = MB
    MOST = 48 * MB

    def __init__(self, limit: int) -> None:
        self.held = 0
        self.resize(limit)

    def resize(self, limit: int) -> None:
        """Take another limit on the memory of the whole process, in bytes; what is held stays held."""
        self.most = int(min(max((limit - self.PROGRAM) * self.PART, self.LEAST), self.MOST))

    def reserve(self, size: int) -> bool:
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        self.held -= size
