"""A minimal HTTP/1.1 parser for peers that send only well-formed messages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """A complete message: its first line, its headers by lower-case name, its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


class Messages:
    """Incremental parser of the messages in a byte stream."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that they complete.

        Raises:
            ValueError: The bytes are not a message.
        """
        self.buffer += data
        messages = []
        while (message := self._parse_next()) is not None:
            messages.append(message)
        return messages

    def _parse_next(self) -> Message | None:
        header_end = self.buffer.find(b"\r\n\r\n")
        if header_end < 0:
            return None
        first_line, *lines = self.buffer[:header_end].decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body_end = header_end + 4 + int(headers.get("content-length", 0))
        if len(self.buffer) < body_end:
            return None
        body, self.buffer = self.buffer[header_end + 4 : body_end], self.buffer[body_end:]
        return Message(first_line, headers, body)
