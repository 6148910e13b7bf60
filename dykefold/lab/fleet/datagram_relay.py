"""A relay for the datagrams between the members of a rig, with faults on the way.

Each member knows the others under addresses of the rig (PROTOCOL lets each sidecar see the others under its
own addresses). The rig receives a datagram on the socket of its receiver, recognizes the sender by the source
address, and forwards it from the socket of the sender. So there is one socket for each member.
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
    """Faults that hold now on the way from one member to another.

    Attributes:
        cuts: Number of faults that let nothing pass.
        loss: Fraction of the datagrams that each fault drops.
        delays_s: Mean added delay of each fault, in seconds.
        doubled: Fraction of the datagrams that each fault delivers twice.
        corrupted: Fraction of the datagrams of which each fault changes a byte.
    """

    cuts: int = 0
    loss: list[float] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)
    doubled: list[float] = field(default_factory=list)
    corrupted: list[float] = field(default_factory=list)


class Datagrams:
    """Relays datagrams between members.

    Args:
        rng: Random generator of the faults.

    Attributes:
        paths: Faults by sender and receiver.
        relay_sockets: Socket of each member, whose address the others know.
        member_addresses: Address at which each member listens.
        numbers: Members by that address.
        broadcast_socket: Socket whose datagrams go to all members.
        sent: Number of datagrams by sender.
        latest: Latest datagram of each sender.
        delivered: Number of datagrams delivered.
        bytes: Size in bytes of the datagrams delivered.
    """

    def __init__(self, rng: np.random.Generator) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = rng
        self.paths: dict[tuple[int, int], NetworkPath] = {}
        self.relay_sockets: list[socket.socket] = []
        self.member_addresses: list[Address] = []
        self.numbers: dict[Address, int] = {}
        self.broadcast_socket = self._socket("127.0.0.1")
        self.sent: Counter[int] = Counter()
        self.latest: dict[int, bytes] = {}
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
        front = self._socket("127.0.0.1")
        self.relay_sockets.append(front)
        self.member_addresses.append(address)
        self.numbers[address] = number
        self.loop.add_reader(front.fileno(), self._on_readable, front, number)

    def addresses(self) -> list[str]:
        """Return the addresses of all members, as their configurations have them."""
        return [self._text(front) for front in self.relay_sockets]

    @property
    def all_address(self) -> str:
        """Address whose datagrams go to all members."""
        return self._text(self.broadcast_socket)

    @staticmethod
    def _text(sock: socket.socket) -> str:
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def path(self, sender: int, receiver: int) -> NetworkPath:
        """Return the faults on the way from one member to another."""
        return self.paths.setdefault((sender, receiver), NetworkPath())

    def _on_readable(self, sock: socket.socket, receiver: int | None) -> None:
        while True:
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            sender = self.numbers.get(source)
            if sender is None:
                continue
            self.sent[sender] += 1
            self.latest[sender] = data
            receivers = range(len(self.relay_sockets)) if receiver is None else (receiver,)
            for other in receivers:
                if other != sender:
                    self._pass(sender, other, data)

    def _pass(self, sender: int, receiver: int, data: bytes) -> None:
        path = self.paths.get((sender, receiver))
        copies = 1
        delay_s = 0.0
        if path is not None:
            if path.cuts or any(self.rng.random() < share for share in path.loss):
                return
            copies += any(self.rng.random() < share for share in path.doubled)
            if data and any(self.rng.random() < share for share in path.corrupted):
                place = int(self.rng.integers(len(data)))
                data = data[:place] + bytes([data[place] ^ CORRUPTION_MASK]) + data[place + 1 :]
            # Each datagram has a delay of its own, so that one may overtake another.
            delay_s = sum(mean_s * float(self.rng.random()) * 2 for mean_s in path.delays_s)
        for _ in range(copies):
            if delay_s > 0:
                self.loop.call_later(delay_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    async def flood(self, sender: int, receivers: list[int], rate: float) -> None:
        """Send noise and repeated datagrams under a member's address until cancelled."""
        due = 0.0
        while True:
            await asyncio.sleep(FLOOD_INTERVAL_S)
            due += rate * FLOOD_INTERVAL_S
            while due >= 1.0:
                due -= 1.0
                data = self.latest.get(sender, b"")
                if self.rng.random() < FLOOD_NOISE_FRACTION or not data:
                    data = self.rng.bytes(int(self.rng.integers(1, MAX_NOISE_BYTES + 1)))
                for receiver in receivers:
                    self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        with contextlib.suppress(OSError):  # Nobody listens there, or the queue is full.
            self.relay_sockets[sender].sendto(data, self.member_addresses[receiver])
            self.delivered += 1
            self.bytes += len(data)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self.broadcast_socket, *self.relay_sockets):
            self.loop.remove_reader(sock.fileno())
            sock.close()
