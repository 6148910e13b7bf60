"""Memory of what the parser buffers of a message: its head, and the lines between pieces of its body."""

from __future__ import annotations

MAX_HEADER_LINES = 256
# Trailers, and the framing between two pieces of a body. The parser buffers a line until its end.
MAX_TRAILER_BYTES = 8 * 1024
# Memory of one stored line in addition to its text: name, value, forwarded line, and their containers.
HEADER_LINE_BYTES = 192
TEXT_COPIES = 2  # As name and value, and as forwarded line.
# A head within both of these counts as memory of its connection, and is not reserved.
SMALL_HEAD_BYTES = 1024
SMALL_HEAD_LINES = 32
UNRESERVED_HEAD_BYTES = TEXT_COPIES * SMALL_HEAD_BYTES + HEADER_LINE_BYTES * SMALL_HEAD_LINES


def head_memory_bytes(text_bytes: int, line_count: int) -> int:
    """Return the number of bytes to reserve for a head; 0 for a small one.

    Args:
        text_bytes: Number of bytes received of the head.
        line_count: Number of stored header lines.
    """
    return max(TEXT_COPIES * text_bytes + HEADER_LINE_BYTES * line_count - UNRESERVED_HEAD_BYTES, 0)


class TrailerLimit:
    """Limit on the bytes of one message that follow a piece of its body without another one.

    These are trailers, or the framing of the next piece. The parser buffers a line of them until its end.
    """

    __slots__ = ("_body_bytes", "_trailer_bytes")

    def __init__(self) -> None:
        self._body_bytes = 0
        self._trailer_bytes = 0

    def exceeded_by(self, size: int, body_bytes: int) -> bool:
        """Count parsed input, and return whether the limit is exceeded.

        Args:
            size: Number of bytes of the input.
            body_bytes: Number of bytes of the body up to the end of this input.
        """
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._trailer_bytes = 0
        else:
            self._trailer_bytes += size
        return self._trailer_bytes > MAX_TRAILER_BYTES
