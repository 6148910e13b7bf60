"""Making a connection: what a connect that fails says of the endpoint, and what only of this machine.

An endpoint must not be held to have failed for what this machine lacks (descriptors, ports, buffers), nor
for a loop that was so late that it did not see the connection come up in time. These connects end as
`NOT_ATTEMPTED`; refused and timed out ones end as `CONNECT_FAILED`. Either way the request never ran.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from typing import TYPE_CHECKING

from ...balancer.events import Status
from ...system import is_own

if TYPE_CHECKING:
    from .connection import UpstreamConnection
    from .connection_pool import ConnectionPool
    from .endpoint_connections import Upstream
    from .exchange import Exchange

RECEIVE_BYTES = 128 * 1024  # of the kernel's buffer: one read brings no more, and a slow client holds one
LATE_S = 0.02  # by which the loop may be late for a time limit before that limit says nothing


def tune(sock: socket.socket) -> None:
    """Set the options of a connection; one that can't be set (setsockopt(2)) costs time, not the request."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)


async def establish(
    pool: ConnectionPool, upstream: Upstream, exchange: Exchange, connection: UpstreamConnection
) -> None:
    """Connect, and send the exchange that the connection is made for.

    Where the exchange has ended meanwhile, or took a connection that came free, the pool keeps the new one.

    Args:
        pool: whose loop and connect timeout are used.
        upstream: the endpoint.
        exchange: that waits in `upstream.opening`.
        connection: with a socket that is not connected yet.
    """
    if not await _connect(pool, upstream, exchange, connection):
        return
    # No cancelling from here on: the loop is taking the descriptor over, and it would be closed twice.
    exchange.opening = None
    pool.unneeded.pop(connection, None)
    try:
        failure = await _attach_transport(pool.loop, connection)
    finally:
        upstream.opening.pop(exchange, None)
    if exchange.connection is None and not (exchange.ended or exchange.wanted()):
        exchange.end(Status.NOT_ATTEMPTED)
    if exchange.ended or exchange.connection is not None:  # it is over, or took one that came free
        pool.keep_idle(connection, pool.monotonic())
    elif connection.closed or not connection.send(exchange, pool.monotonic()):
        connection.close()
        exchange.end(failure)


async def _connect(
    pool: ConnectionPool, upstream: Upstream, exchange: Exchange, connection: UpstreamConnection
) -> bool:
    """Connect the socket; return whether it is up. If it is not, everything is closed and reported."""
    sock, began_s = connection.sock, pool.monotonic()
    try:
        _check_needed(pool, exchange, connection)
        async with asyncio.timeout(pool.connect_timeout):
            await pool.loop.sock_connect(sock, upstream.address)
        _check_begun(sock)
    except (OSError, asyncio.CancelledError) as error:
        # In a late loop the time is up before it is heard that the connection stands, or before the
        # system was asked for it: that says nothing of the endpoint.
        late = pool.monotonic() - began_s > pool.connect_timeout + LATE_S
        if (status := _connect_end(sock, error, late)) is not None:
            upstream.opening.pop(exchange, None)
            pool.unneeded.pop(connection, None)
            connection.close()
            sock.close()
            if exchange.connection is None:  # else it took one that came free meanwhile
                exchange.end(status)
            return False
    return True


def _check_needed(pool: ConnectionPool, exchange: Exchange, connection: UpstreamConnection) -> None:
    """Raise CancelledError if the connect was given up before its task began."""
    if connection.closed or (exchange.ended and connection not in pool.unneeded):
        raise asyncio.CancelledError


async def _attach_transport(loop: asyncio.AbstractEventLoop, connection: UpstreamConnection) -> Status:
    """Have the loop make a transport of the connected socket.

    Returns:
        What an exchange ends with if the connection then turns out closed or dead.
    """
    try:
        await loop.create_connection(lambda: connection, sock=connection.sock)
    except OSError as error:
        connection.close()
        if connection.transport is None:
            connection.sock.close()
        if is_own(error):
            return Status.NOT_ATTEMPTED
    return Status.CONNECT_FAILED


def _is_up(sock: socket.socket) -> bool:
    """Return whether a connection that was begun has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _check_begun(sock: socket.socket) -> None:
    """Raise EAGAIN if the connect was never begun.

    The loop takes that error for one that is under way (connect(2)), and a socket that does nothing at all
    then looks as if it had come up. It has no local port.
    """
    try:
        port = sock.getsockname()[1]
    except OSError:
        return  # whether it stands is seen when it is written to
    if not port:
        raise OSError(errno.EAGAIN, os.strerror(errno.EAGAIN))


def _connect_end(sock: socket.socket, error: BaseException, late: bool) -> Status | None:
    """Say what a connect that has failed proves.

    Args:
        sock: that was to be connected.
        error: what ended the connect.
        late: whether the loop was late for the connect timeout.

    Returns:
        The status of the exchange; None if the connection is up, and only the loop was late to hear of it.
    """
    # ETIMEDOUT is the same exception, but with a number, and comes from the system, not from the loop.
    if late and isinstance(error, TimeoutError) and error.errno is None:
        if _is_up(sock):
            return None
        try:
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            number = 0
        if not number:  # the system may have been asked for it only just now
            return Status.NOT_ATTEMPTED
        error = OSError(number, os.strerror(number))
    return Status.NOT_ATTEMPTED if is_own(error) else Status.CONNECT_FAILED
