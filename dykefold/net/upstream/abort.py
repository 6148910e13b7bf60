"""How a connection to an endpoint is closed: at once, for the other side too.

On uvloop `transport.abort()` only schedules the close for a later turn of the loop. Until then the descriptor
is open, and bytes that the transport has buffered are still written. A retry that is written in the same
turn would overlap with the earlier attempt, and a half written unsafe request might be completed after it
was reported as one that can never run.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# The value of SO_LINGER (socket(7)) with which a close drops unsent bytes and resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)


def abort_connection(sock: socket.socket, transport: asyncio.Transport | None, discard: bool) -> None:
    """Close a connection so that no request sent after this call can overlap with the one on it.

    The end (FIN) is queued behind the bytes that the kernel has accepted, no further byte can be written,
    and the descriptor is closed in a later turn. On a socket that is still connecting, the connect ends.

    Args:
        sock: Socket of the connection.
        transport: Transport that the loop has made of the socket; None before.
        discard: True to drop the bytes that the kernel has not sent yet, with a reset when the descriptor is
            closed (RFC 9293, section 3.10.5). Else they would arrive when a partition ends.
    """
    # Two blocks: where the option can't be set, the connection must still be closed.
    if discard:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    # An error means that the other side, or a failed connect, has closed the connection already.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    if transport is not None:
        transport.abort()
