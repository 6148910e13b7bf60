"""How a connection to an endpoint is closed: at once, for the other side too.

`transport.abort()` promises less than it seems to. On uvloop it schedules the close for a later turn of
the loop; until then the descriptor is open, and bytes that the transport has buffered are still
written. A retry that goes out in the same turn then meets an earlier attempt that still stands, and a
half written unsafe request may be completed after it was reported as one that can never run.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)


def abort_connection(sock: socket.socket, transport: asyncio.Transport | None, discard: bool) -> None:
    """End a connection so that nothing sent after this call can overlap with what was on it.

    The end (FIN) is queued behind the bytes that the kernel has taken, no further byte can be written,
    and the descriptor follows in a later turn. On a socket that is still connecting, the connect ends.

    Args:
        sock: the connection's own socket.
        transport: what the loop has made of it, if it has.
        discard: what the kernel has not got across yet is dropped when the descriptor goes, with a reset
            (RFC 9293, 3.10.5), rather than sent on: else it would arrive when a partition ends.
    """
    # Each by itself: where the option can't be set the connection must end all the same.
    if discard:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    with contextlib.suppress(OSError):  # the other side or the connect was faster: nothing is left to end
        sock.shutdown(socket.SHUT_RDWR)
    if transport is not None:
        transport.abort()
