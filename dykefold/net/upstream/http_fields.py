"""Parts of HTTP/1.1 messages that requests and responses have in common."""

from __future__ import annotations

# Blanks around a field's value are no part of it (RFC 9112, section 5); the parser leaves the trailing ones.
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
    """Add a piece to a body.

    The first piece is stored without a copy; later ones are added to one buffer, in linear time.

    Args:
        body: Body so far.
        data: The next piece.

    Returns:
        The body with the piece, which replaces the one passed in.
    """
    if not body:
        return data
    if type(body) is bytes:
        body = bytearray(body)
    body += data
    return body
