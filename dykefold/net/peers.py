"""UDP datagrams between sidecars."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


class PeerChannel(asyncio.DatagramProtocol):
    """UDP socket that sends datagrams to peers by number, and delivers the datagrams of known peers.

    Args:
        index: Number of this sidecar.
        peers: Addresses of all sidecars, by number.
        broadcast_address: Address that reaches all peers; None if there is none.
        on_datagram: Called with the number of the sender and the data.

    Attributes:
        numbers: Numbers of all peers except this sidecar, by address.
        transport: Transport of the socket; None until the event loop has opened it.
    """

    def __init__(
        self,
        index: int,
        peers: list[Address],
        broadcast_address: Address | None,
        on_datagram: Callable[[int, bytes], None],
    ) -> None:
        self.on_datagram = on_datagram
        self.change_addresses(index, peers, broadcast_address)
        self.transport: asyncio.DatagramTransport | None = None

    def change_addresses(self, index: int, peers: list[Address], broadcast_address: Address | None) -> None:
        """Apply changed addresses.

        Args:
            index: Number of this sidecar.
            peers: Addresses of all sidecars, by number.
            broadcast_address: Address that reaches all peers; None if there is none.
        """
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.numbers = {address: number for number, address in enumerate(peers) if number != index}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Deliver a datagram of a known peer; drop any other."""
        number = self.numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_datagram(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: any datagram may be lost, and unreachable peers need not be reported."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send a datagram; it may be lost.

        Args:
            data: Content of the datagram; it is dropped if it is longer than `MAX_DATAGRAM_BYTES`.
            peer: Number of the receiver; None for all peers.
        """
        if self.transport is None or self.transport.is_closing() or len(data) > MAX_DATAGRAM_BYTES:
            return
        address = self.broadcast_address
        if peer is not None:
            address = self.peers[peer] if 0 <= peer < len(self.peers) else None
        if address is not None:
            with contextlib.suppress(OSError):  # The datagram counts as lost (sendto(2)).
                self.transport.sendto(data, address)
