"""Datagrams between sidecars, over UDP."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends datagrams to peers by their number, and passes on what known peers send.

    Args:
        index: the number of this sidecar.

    Attributes:
        on_datagram: called with the number of the sender and the data.
        peers: addresses by number.
        everyone: the address that reaches all peers; None where there is none.
        numbers: by address, of all peers but this sidecar.
        transport: None until the socket is open.
    """

    def __init__(
        self,
        index: int,
        peers: list[Address],
        everyone: Address | None,
        on_datagram: Callable[[int, bytes], None],
    ) -> None:
        """Prepare; the event loop opens the socket."""
        self.on_datagram = on_datagram
        self.change_addresses(index, peers, everyone)
        self.transport: asyncio.DatagramTransport | None = None

    def change_addresses(self, index: int, peers: list[Address], everyone: Address | None) -> None:
        """Follow changed addresses.

        Args:
            index: the number of this sidecar.
            peers: as the attribute.
            everyone: as the attribute.
        """
        self.peers = peers
        self.everyone = everyone
        self.numbers = {address: number for number, address in enumerate(peers) if number != index}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram of a known peer; drop any other."""
        number = self.numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.on_datagram(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore it: any datagram may be lost, and the balancer has no use for a peer that is down."""

    def send(self, data: bytes, peer: int | None) -> None:
        """Send a datagram; it may be lost.

        Args:
            data: what to send; a message over `MAX_DATAGRAM_BYTES` must not leave the machine and is dropped.
            peer: number of the receiver; None: all peers.
        """
        if self.transport is None or self.transport.is_closing() or len(data) > MAX_DATAGRAM_BYTES:
            return
        address = self.everyone
        if peer is not None:
            address = self.peers[peer] if 0 <= peer < len(self.peers) else None
        if address is not None:
            with contextlib.suppress(OSError):  # lost, as any datagram may be (sendto(2))
                self.transport.sendto(data, address)
