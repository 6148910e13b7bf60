"""Parts of HTTP/1.1 messages that requests and responses have in common."""

from __future__ import annotations

BLANKS = (
    b" \t"  # around a field's value, and no part of it (RFC 9112, 5); the parser leaves the trailing ones
)
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
    """Add a piece to a body.

    The first piece is kept as it came, without a copy; later ones go into one buffer, in linear time.

    Args:
        body: what has come so far.
        data: the next piece.

    Returns:
        The body with the piece; to be used in place of the one passed in.
    """
    if not body:
        return data
    if type(body) is bytes:
        body = bytearray(body)
    body += data
    return body
