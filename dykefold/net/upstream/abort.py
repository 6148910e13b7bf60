"""Immediate close of a connection to an endpoint.

On uvloop, `transport.abort()` only schedules the close for a later loop iteration. Until then the descriptor
is open, and bytes that the transport has buffered are still written. A retry that is written in the same
iteration would overlap with the earlier attempt, and a partly written unsafe request might be completed
after it was reported as one that can never run.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# Value of SO_LINGER (socket(7)) that makes a close drop unsent bytes and reset the connection.
NO_LINGER = struct.pack("ii", 1, 0)


def abort_connection(sock: socket.socket, transport: asyncio.Transport | None, discard: bool) -> None:
    """Close a connection so that no request sent after this call can overlap with the one on it.

    The FIN is queued behind the bytes that the kernel has accepted, no further byte can be written, and the
    descriptor is closed in a later loop iteration. If the socket is still connecting, the connect fails.

    Args:
        sock: Socket of the connection.
        transport: Transport of the socket; None if it has none yet.
        discard: Whether to drop the bytes that the kernel has not sent yet, and reset the connection when the
            descriptor is closed (RFC 9293, section 3.10.5). Otherwise they would arrive after a network
            partition has ended.
    """
    # Separate blocks: if the option can't be set, the connection must still be closed.
    if discard:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    # An error means that the peer, or a failed connect, has already closed the connection.
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    if transport is not None:
        transport.abort()
