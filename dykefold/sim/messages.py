"""Just enough of HTTP/1.1 for peers that write well-formed messages to each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """A whole message: its first line, its headers by lower-case name, its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


class Messages:
    """The messages in a stream of bytes that comes in pieces."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Take more bytes; returns the messages that are complete with them.

        Raises:
            ValueError: The bytes are not a message.
        """
        self.buffer += data
        found = []
        while (message := self._next()) is not None:
            found.append(message)
        return found

    def _next(self) -> Message | None:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        first_line, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        end_of_body = end + 4 + int(headers.get("content-length", 0))
        if len(self.buffer) < end_of_body:
            return None
        body, self.buffer = self.buffer[end + 4 : end_of_body], self.buffer[end_of_body:]
        return Message(first_line, headers, body)
