"""A relay for the datagrams between the members of a rig, with injected faults.

Members address each other through the rig (by PROTOCOL, each sidecar may know the others under addresses of
its own). The rig has one socket for each member: it receives a datagram on the receiver's socket, identifies
the sender by the source address, and forwards the datagram from the sender's socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from dataclasses import dataclass, field

import numpy as np

from .process import Address

FLOOD_INTERVAL_S = 0.005
FLOOD_NOISE_FRACTION = 0.5
MAX_NOISE_BYTES = 256
CORRUPTION_MASK = 0x55
MAX_DATAGRAM_BYTES = 65_536


@dataclass(slots=True)
class NetworkPath:
    """Current faults of the path from one member to another.

    Attributes:
        cuts: Number of current faults that drop every datagram.
        loss: Fraction of the datagrams that each fault drops.
        delays_s: Mean added delay of each fault, in seconds.
        doubled: Fraction of the datagrams that each fault delivers twice.
        corrupted: Fraction of the datagrams in which each fault changes one byte.
    """

    cuts: int = 0
    loss: list[float] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)
    doubled: list[float] = field(default_factory=list)
    corrupted: list[float] = field(default_factory=list)


class DatagramRelay:
    """Relay of the datagrams between members.

    Args:
        rng: Random number generator of the faults.

    Attributes:
        paths: Faults by sender and receiver.
        relay_sockets: Socket of the rig for each member, at the address that the others know.
        member_addresses: Address at which each member listens.
        members_by_address: Numbers of the members by that address.
        broadcast_socket: Socket for datagrams to all members.
        sent: Number of datagrams sent, by sender.
        latest_datagrams: Latest datagram, by sender.
        delivered: Number of datagrams delivered.
        bytes: Size in bytes of the datagrams delivered.
    """

    def __init__(self, rng: np.random.Generator) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = rng
        self.paths: dict[tuple[int, int], NetworkPath] = {}
        self.relay_sockets: list[socket.socket] = []
        self.member_addresses: list[Address] = []
        self.members_by_address: dict[Address, int] = {}
        self.broadcast_socket = self._socket("127.0.0.1")
        self.sent: Counter[int] = Counter()
        self.latest_datagrams: dict[int, bytes] = {}
        self.delivered = 0
        self.bytes = 0
        self.loop.add_reader(self.broadcast_socket.fileno(), self._on_readable, self.broadcast_socket, None)

    @staticmethod
    def _socket(host: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, 0))
        return sock

    def add(self, address: Address) -> None:
        """Add a member that listens at an address."""
        number = len(self.relay_sockets)
        relay_socket = self._socket("127.0.0.1")
        self.relay_sockets.append(relay_socket)
        self.member_addresses.append(address)
        self.members_by_address[address] = number
        self.loop.add_reader(relay_socket.fileno(), self._on_readable, relay_socket, number)

    def addresses(self) -> list[str]:
        """Return the addresses of all members as they appear in the members' configurations."""
        return [self._address_text(relay_socket) for relay_socket in self.relay_sockets]

    @property
    def broadcast_address(self) -> str:
        """Address for datagrams to all members."""
        return self._address_text(self.broadcast_socket)

    @staticmethod
    def _address_text(sock: socket.socket) -> str:
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def path(self, sender: int, receiver: int) -> NetworkPath:
        """Return the faults of the path from one member to another."""
        return self.paths.setdefault((sender, receiver), NetworkPath())

    def _on_readable(self, sock: socket.socket, receiver: int | None) -> None:
        while True:
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            sender = self.members_by_address.get(source)
            if sender is None:
                continue
            self.sent[sender] += 1
            self.latest_datagrams[sender] = data
            receivers = range(len(self.relay_sockets)) if receiver is None else (receiver,)
            for other in receivers:
                if other != sender:
                    self._forward(sender, other, data)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        path = self.paths.get((sender, receiver))
        copies = 1
        delay_s = 0.0
        if path is not None:
            if path.cuts or any(self.rng.random() < fraction for fraction in path.loss):
                return
            copies += any(self.rng.random() < fraction for fraction in path.doubled)
            if data and any(self.rng.random() < fraction for fraction in path.corrupted):
                index = int(self.rng.integers(len(data)))
                data = data[:index] + bytes([data[index] ^ CORRUPTION_MASK]) + data[index + 1 :]
            # Each datagram has its own delay, so that datagrams may be reordered.
            delay_s = sum(mean_s * float(self.rng.random()) * 2 for mean_s in path.delays_s)
        for _ in range(copies):
            if delay_s > 0:
                self.loop.call_later(delay_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    async def flood(self, sender: int, receivers: list[int], rate: float) -> None:
        """Send noise and duplicates of the latest datagram from a member's address until cancelled."""
        due_datagrams = 0.0
        while True:
            await asyncio.sleep(FLOOD_INTERVAL_S)
            due_datagrams += rate * FLOOD_INTERVAL_S
            while due_datagrams >= 1.0:
                due_datagrams -= 1.0
                data = self.latest_datagrams.get(sender, b"")
                if self.rng.random() < FLOOD_NOISE_FRACTION or not data:
                    data = self.rng.bytes(int(self.rng.integers(1, MAX_NOISE_BYTES + 1)))
                for receiver in receivers:
                    self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        with contextlib.suppress(OSError):  # The member does not listen, or a queue is full.
            self.relay_sockets[sender].sendto(data, self.member_addresses[receiver])
            self.delivered += 1
            self.bytes += len(data)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self.broadcast_socket, *self.relay_sockets):
            self.loop.remove_reader(sock.fileno())
            sock.close()
