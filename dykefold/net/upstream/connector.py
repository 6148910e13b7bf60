"""Establishing a connection, and telling a failed connect of the endpoint from a local fault.

The endpoint is not at fault if this machine lacks descriptors, ports or buffers, or if a late event loop
noticed too late that the connection was established. Such connects end as `NOT_ATTEMPTED`; refused and timed
out ones end as `CONNECT_FAILED`. In both cases the request never ran.
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

# Bounds the bytes that one read returns, and so the memory that a slow client occupies.
RECEIVE_BUFFER_BYTES = 16 * 1024
# If the event loop runs a timeout later than this, it can't tell whether the connect was in time.
MAX_LOOP_LAG_S = 0.02


def set_socket_options(sock: socket.socket) -> None:
    """Set the options of a connection's socket; a failed setsockopt(2) costs time, not the request."""
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
    """Connect, and send the exchange that the connection is opened for.

    If the exchange has ended in the meantime, or was sent on another connection, the pool keeps the new one.

    Args:
        pool: Pool that owns the connection.
        upstream: Endpoint to connect to.
        exchange: Exchange that waits in `upstream.waiting_exchanges`.
        connection: Connection with a socket that is not connected yet.
    """
    if not await _connect(pool, upstream, exchange, connection):
        return
    # The task must not be cancelled from here on: the event loop takes over the descriptor, which would be
    # closed twice.
    exchange.connect_task = None
    pool.on_connect_ended(connection)
    try:
        failure = await _attach_transport(pool.loop, connection)
    finally:
        upstream.waiting_exchanges.pop(exchange, None)
    if exchange.connection is None and not (exchange.ended or exchange.should_send()):
        exchange.end(Status.NOT_ATTEMPTED)
    if exchange.ended or exchange.connection is not None:  # It has ended, or was sent on another connection.
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
        Whether the connection is established.
    """
    sock, started_s = connection.sock, pool.monotonic()
    try:
        _check_needed(pool, exchange, connection)
        async with asyncio.timeout(pool.connect_timeout_s):
            await pool.loop.sock_connect(sock, upstream.address)
        _check_connect_started(sock)
    except (OSError, asyncio.CancelledError) as error:
        # A late event loop may run the timeout before it notices that the connection is established, or
        # before it has called connect(2): that is no failure of the endpoint.
        late = pool.monotonic() - started_s > pool.connect_timeout_s + MAX_LOOP_LAG_S
        if (status := _status_of_failed_connect(sock, error, late)) is not None:
            upstream.waiting_exchanges.pop(exchange, None)
            pool.on_connect_ended(connection)
            connection.close()
            sock.close()
            if exchange.connection is None:  # Otherwise it was sent on another connection.
                exchange.end(status)
            return False
    return True


def _check_needed(
    pool: ConnectingOwner[UpstreamConnection], exchange: Exchange, connection: UpstreamConnection
) -> None:
    """Raise CancelledError if the connection was given up before the task started."""
    if connection.closed or (exchange.ended and not pool.is_unneeded(connection)):
        raise asyncio.CancelledError


async def _attach_transport(loop: asyncio.AbstractEventLoop, connection: UpstreamConnection) -> Status:
    """Have the event loop create a transport for the connected socket.

    Returns:
        Status of the exchange if the connection then turns out to be closed or dead.
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


def _is_connected(sock: socket.socket) -> bool:
    """Return whether the socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _check_connect_started(sock: socket.socket) -> None:
    """Raise EAGAIN if the connect was never started.

    The event loop treats EAGAIN of connect(2) as a connect in progress, and the unconnected socket then looks
    as if it were connected. Such a socket has no local port.
    """
    try:
        port = sock.getsockname()[1]
    except OSError:
        return  # The first write shows whether the connection is established.
    if not port:
        raise OSError(errno.EAGAIN, os.strerror(errno.EAGAIN))


def _status_of_failed_connect(sock: socket.socket, error: BaseException, late: bool) -> Status | None:
    """Return the status of an exchange whose connect failed.

    Args:
        sock: Socket of the connect.
        error: Exception that ended the connect.
        late: Whether the event loop ran the connect timeout late.

    Returns:
        Status of the exchange; None if the connection is established and the event loop noticed it late.
    """
    # ETIMEDOUT of the kernel is also a TimeoutError, but has an errno; that of `asyncio.timeout` has none.
    if late and isinstance(error, TimeoutError) and error.errno is None:
        if _is_connected(sock):
            return None
        try:
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            error_number = 0
        if not error_number:  # The event loop may have called connect(2) only just now.
            return Status.NOT_ATTEMPTED
        error = OSError(error_number, os.strerror(error_number))
    return Status.NOT_ATTEMPTED if is_local_error(error) else Status.CONNECT_FAILED
