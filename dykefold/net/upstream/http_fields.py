"""Helpers for HTTP/1.1 messages, common to requests and responses."""

from __future__ import annotations

# Whitespace around a field value is not part of it (RFC 9112, section 5); the parser keeps the trailing one.
BLANKS = b" \t"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


def gather(body: bytes | bytearray, data: bytes) -> bytes | bytearray:
    """Append a piece to a body.

    The first piece is stored without a copy; later ones are appended to one buffer, in linear time.

    Args:
        body: Body so far.
        data: Next piece.

    Returns:
        The extended body, which the caller stores in place of `body`.
    """
    if not body:
        return data
    if type(body) is bytes:
        body = bytearray(body)
    body += data
    return body
