"""Making a connection, and what a failed connect proves: a fault of the endpoint or only of this machine.

An endpoint has not failed where this machine lacks descriptors, ports or buffers, nor where a late loop did
not see the connection come up in time. These connects end as `NOT_ATTEMPTED`; refused and timed out ones
end as `CONNECT_FAILED`. Either way the request never ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket

from ...balancer.events import Status
from ...system import is_local_error
from .connection import UpstreamConnection
from .endpoint_connections import Upstream
from .exchange import Exchange
from .protocols import ConnectingOwner

# One read returns no more than the kernel's buffer, and a slow client occupies as much.
RECEIVE_BUFFER_BYTES = 128 * 1024
# A loop that is later than this for a time limit can't tell whether the limit was kept.
MAX_LOOP_LAG_S = 0.02


def tune(sock: socket.socket) -> None:
    """Set the options of a connection; a failure (setsockopt(2)) costs time, not the request."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def establish(
    pool: ConnectingOwner[UpstreamConnection],
    upstream: Upstream[UpstreamConnection],
    exchange: Exchange,
    connection: UpstreamConnection,
) -> None:
    """Connect, and send the exchange that the connection is made for.

    Where the exchange has ended meanwhile, or took a connection that came free, the pool keeps the new one.

    Args:
        pool: Pool that gets the connection.
        upstream: The endpoint.
        exchange: Exchange that waits in `upstream.opening`.
        connection: Connection with a socket that is not connected yet.
    """
    if not await _connect(pool, upstream, exchange, connection):
        return
    # The task must not be cancelled from here on: the loop takes the descriptor over, which would be closed
    # twice.
    exchange.opening = None
    pool.on_connect_ended(connection)
    try:
        failure = await _attach_transport(pool.loop, connection)
    finally:
        upstream.opening.pop(exchange, None)
    if exchange.connection is None and not (exchange.ended or exchange.wanted()):
        exchange.end(Status.NOT_ATTEMPTED)
    if exchange.ended or exchange.connection is not None:  # It has ended, or took one that came free.
        pool.keep_idle(connection, pool.monotonic())
    elif connection.closed or not connection.send(exchange, pool.monotonic()):
        connection.close()
        exchange.end(failure)


async def _connect(
    pool: ConnectingOwner[UpstreamConnection],
    upstream: Upstream[UpstreamConnection],
    exchange: Exchange,
    connection: UpstreamConnection,
) -> bool:
    """Connect the socket; if that fails, close it and report the end of the exchange.

    Returns:
        Whether the connection is up.
    """
    sock, began_s = connection.sock, pool.monotonic()
    try:
        _check_needed(pool, exchange, connection)
        async with asyncio.timeout(pool.connect_timeout_s):
            await pool.loop.sock_connect(sock, upstream.address)
        _check_begun(sock)
    except (OSError, asyncio.CancelledError) as error:
        # In a late loop the timeout may fire before the loop sees that the connection is up, or before it
        # has called connect(2): that says nothing of the endpoint.
        late = pool.monotonic() - began_s > pool.connect_timeout_s + MAX_LOOP_LAG_S
        if (status := _connect_end(sock, error, late)) is not None:
            upstream.opening.pop(exchange, None)
            pool.on_connect_ended(connection)
            connection.close()
            sock.close()
            if exchange.connection is None:  # Else it took a connection that came free meanwhile.
                exchange.end(status)
            return False
    return True


def _check_needed(
    pool: ConnectingOwner[UpstreamConnection], exchange: Exchange, connection: UpstreamConnection
) -> None:
    """Raise CancelledError if the connect was given up before its task began."""
    if connection.closed or (exchange.ended and not pool.is_unneeded(connection)):
        raise asyncio.CancelledError


async def _attach_transport(loop: asyncio.AbstractEventLoop, connection: UpstreamConnection) -> Status:
    """Let the loop make a transport of the connected socket.

    Returns:
        Status of the exchange if the connection then turns out closed or dead.
    """
    try:
        await loop.create_connection(lambda: connection, sock=connection.sock)
    except OSError as error:
        connection.close()
        if connection.transport is None:
            connection.sock.close()
        if is_local_error(error):
            return Status.NOT_ATTEMPTED
    return Status.CONNECT_FAILED


def _is_up(sock: socket.socket) -> bool:
    """Return whether the socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _check_begun(sock: socket.socket) -> None:
    """Raise EAGAIN if the connect was never begun.

    The loop treats that error of connect(2) as a connect in progress, and the idle socket then looks as if it
    were connected. Such a socket has no local port.
    """
    try:
        port = sock.getsockname()[1]
    except OSError:
        return  # The first write shows whether the connection is up.
    if not port:
        raise OSError(errno.EAGAIN, os.strerror(errno.EAGAIN))


def _connect_end(sock: socket.socket, error: BaseException, late: bool) -> Status | None:
    """Return what a failed connect proves.

    Args:
        sock: Socket of the connect.
        error: Exception that ended the connect.
        late: True if the loop was late for the connect timeout.

    Returns:
        Status of the exchange; None if the connection is up, and only the loop saw it late.
    """
    # ETIMEDOUT of the system is also a TimeoutError, but with a number; that of the loop has none.
    if late and isinstance(error, TimeoutError) and error.errno is None:
        if _is_up(sock):
            return None
        try:
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            error_number = 0
        if not error_number:  # The loop may have called connect(2) only just now.
            return Status.NOT_ATTEMPTED
        error = OSError(error_number, os.strerror(error_number))
    return Status.NOT_ATTEMPTED if is_local_error(error) else Status.CONNECT_FAILED
