"""What this process may hold: descriptors and the memory of messages, both as the configuration says."""

from __future__ import annotations

MB = 1024 * 1024


class Descriptors:
    """The sockets that this process may hold, on both sides together."""

    RESERVE = 40  # for the loop, listening, discovery and peers, which take 20, and for bursts of clients

    def __init__(self, limit: int) -> None:
        self.limit = max(limit - self.RESERVE, 8)
        # Clients need a third for requests. What they may hold beyond that must leave enough to attempts,
        # or silent clients keep every request from its server.
        self.clients = self.limit // 2
        self.held = 0

    @property
    def full(self) -> bool:
        return self.held >= self.limit


class Memory:
    """The memory of all messages that are held, requests and answers."""

    PROGRAM = 20 * MB  # what the program takes without any
    PART = 0.3  # of the rest: a message is held up to twice, and freed memory is in pieces
    LEAST = MB
    MOST = 48 * MB

    def __init__(self, limit: int) -> None:
        self.most = int(min(max((limit - self.PROGRAM) * self.PART, self.LEAST), self.MOST))
        self.held = 0

    def reserve(self, size: int) -> bool:
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        self.held -= size
