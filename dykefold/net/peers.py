"""Datagrams between sidecars."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

DATAGRAM_MOST = 256

Address = tuple[str, int]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends to peers by their number and hands on what known ones send."""

    def __init__(
        self, index: int, peers: list[Address], everyone: Address | None, heard: Callable[[int, bytes], None]
    ) -> None:
        self.heard = heard
        self.turn(index, peers, everyone)
        self.transport: asyncio.DatagramTransport | None = None

    def turn(self, index: int, peers: list[Address], everyone: Address | None) -> None:
        """Take other addresses; the own one is known by its number."""
        self.peers = peers
        self.everyone = everyone
        self.numbers = {address: number for number, address in enumerate(peers) if number != index}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: Address) -> None:
        number = self.numbers.get((addr[0], addr[1]))
        if number is not None and len(data) <= DATAGRAM_MOST:
            self.heard(number, data)

    def error_received(self, exc: Exception) -> None:
        """A datagram may be lost; that its receiver is down tells nothing that the module could use."""

    def tell(self, data: bytes, peer: int | None) -> None:
        # Guards against a message that is over the limit, which must not leave the machine.
        if self.transport is None or self.transport.is_closing() or len(data) > DATAGRAM_MOST:
            return
        address = self.everyone
        if peer is not None:
            address = self.peers[peer] if 0 <= peer < len(self.peers) else None
        if address is not None:
            with contextlib.suppress(OSError):  # it is lost, as any datagram may be (sendto(2))
                self.transport.sendto(data, address)
