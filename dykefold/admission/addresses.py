"""Client addresses: how much of its limits each one uses, and which are known.

Source: token buckets as in RFC 2697, with a single rate.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from .address_keys import AddressKey, AddressPrefixes, Network, NetworkSet


@dataclass(frozen=True, slots=True)
class AddressLimits:
    """Limits of one address, and which addresses are known. None means no limit.

    Attributes:
        connections: Maximum number of open connections from one address that is not known.
        known_connections: Maximum number of open connections from a known address, which may be a whole site
            behind NAT.
        new_per_s: New connections allowed per second. Configured networks are exempt: after a restart all
            their clients reconnect at the same time.
        new_burst: Number of connections that an address may open at once after a period without new ones.
        open_requests: Maximum number of pending requests from one address.
        unfinished_bytes: Maximum size in bytes of all incomplete messages from one address.
        v4_prefix: Leading bits of an IPv4 address that count as one address.
        v6_prefix: Leading bits of an IPv6 address that count as one address.
        known: Networks whose clients are known.
        reserve: Number of connections reserved for known clients.
        learn_requests: Number of served requests after which an address counts as known; 0 turns learning
            off.
        learn_after_s: Seconds over which these requests must be spread.
        max_learned: Maximum number of learned addresses; beyond it the least recently successful one is
            forgotten.
        max_remembered: Maximum number of addresses without a connection whose use of the limits is
            remembered.
    """

    connections: int | None = None
    known_connections: int | None = None
    new_per_s: float | None = None
    new_burst: float = 32.0
    open_requests: int | None = None
    unfinished_bytes: int | None = None
    v4_prefix: int = 32
    v6_prefix: int = 64
    known: tuple[Network, ...] = ()
    reserve: int = 0
    learn_requests: int = 0
    learn_after_s: float = 60.0
    max_learned: int = 1024
    max_remembered: int = 4096


class AddressTrust(Enum):
    """Whether an address is known, and for what reason."""

    UNKNOWN = "unknown"
    LEARNED = "learned"  # from its served requests; the first violation revokes it
    CONFIGURED = "configured"  # by the operator


class AddressRecord:
    """Usage of the limits by one address.

    Args:
        tokens: Initial number of connections that may be opened at once.
        now_s: Current monotonic time in seconds.

    Attributes:
        key: Key that identifies the address.
        trust: Whether the address is known, and for what reason.
        connections: Number of open connections.
        open_requests: Number of pending requests.
        unfinished_bytes: Size in bytes of its incomplete messages.
        tokens: Remaining number of new connections that it may open at once.
        tokens_at_s: Monotonic time in seconds at which the tokens were last refilled.
        served: Number of requests served since the last violation.
        served_since_s: Monotonic time in seconds of the first of them.
    """

    __slots__ = (
        "connections",
        "key",
        "open_requests",
        "served",
        "served_since_s",
        "tokens",
        "tokens_at_s",
        "trust",
        "unfinished_bytes",
    )

    def __init__(self, key: AddressKey, tokens: float, now_s: float) -> None:
        self.key = key
        self.trust = AddressTrust.UNKNOWN
        self.connections = 0
        self.open_requests = 0
        self.unfinished_bytes = 0
        self.tokens = tokens
        self.tokens_at_s = now_s
        self.served = 0
        self.served_since_s = now_s

    @property
    def known(self) -> bool:
        """Whether the address is known, learned or configured."""
        return self.trust is not AddressTrust.UNKNOWN


class AddressTable:
    """Addresses with connections, and bounded records of recently inactive and of learned addresses.

    Attributes:
        limits: Limits of each address.
        active: Records of addresses that have a connection, by key.
        inactive: Records of addresses without a connection, least recently used first.
        learned: Keys of learned addresses, least recently successful first.
    """

    def __init__(self, limits: AddressLimits) -> None:
        self.active: dict[AddressKey, AddressRecord] = {}
        self.inactive: OrderedDict[AddressKey, AddressRecord] = OrderedDict()
        self.learned: OrderedDict[AddressKey, None] = OrderedDict()
        self.apply(limits)

    def apply(self, limits: AddressLimits) -> None:
        """Apply new limits: which addresses are known changes at once, current usage stays counted."""
        self.limits = limits
        self._known_networks = NetworkSet(limits.known)
        self.key = AddressPrefixes(limits.v4_prefix, limits.v6_prefix).key
        while len(self.learned) > limits.max_learned or (self.learned and not limits.learn_requests):
            self._forget_learned(next(iter(self.learned)))
        while len(self.inactive) > limits.max_remembered:
            self.inactive.popitem(last=False)

    def find(self, host: str, now_s: float) -> AddressRecord:
        """Return the record of an address, or a new one if there is none.

        A new record is only stored once a connection has been added to it.

        Args:
            host: IPv4 or IPv6 address as text.
            now_s: Current monotonic time in seconds.

        Raises:
            ValueError: `host` is not an IP address.
        """
        key = self.key(host)
        address = self.active.get(key) or self.inactive.get(key)
        if address is None:
            address = AddressRecord(key, self.limits.new_burst, now_s)
        if self.limits.known and host in self._known_networks:
            address.trust = AddressTrust.CONFIGURED
        else:
            address.trust = AddressTrust.LEARNED if key in self.learned else AddressTrust.UNKNOWN
        return address

    def add_connection(self, address: AddressRecord) -> None:
        """Count an admitted connection."""
        address.connections += 1
        self.inactive.pop(address.key, None)
        self.active[address.key] = address

    def deactivate_unused(self, address: AddressRecord) -> None:
        """Move an address without connections and requests to the inactive ones.

        Its usage is remembered: otherwise an address could reset its limits by closing and reopening
        connections.
        """
        if address.connections or address.open_requests:
            return
        self.active.pop(address.key, None)
        self.inactive[address.key] = address
        self.inactive.move_to_end(address.key)
        if len(self.inactive) > self.limits.max_remembered:
            self.inactive.popitem(last=False)

    def consume_token(self, address: AddressRecord, now_s: float) -> bool:
        """Consume the token of a new connection; return False, and consume none, beyond the rate."""
        rate = self.limits.new_per_s
        if rate is None or address.trust is AddressTrust.CONFIGURED:
            return True
        elapsed_s = max(now_s - address.tokens_at_s, 0.0)
        address.tokens = min(address.tokens + elapsed_s * rate, self.limits.new_burst)
        address.tokens_at_s = now_s
        if address.tokens < 1.0:
            return False
        address.tokens -= 1.0
        return True

    def record_success(self, address: AddressRecord, now_s: float) -> None:
        """Count a served request; enough of them make the address known."""
        if not self.limits.learn_requests:
            return
        if not address.served:
            address.served_since_s = now_s
        address.served += 1
        if address.key in self.learned:
            self.learned.move_to_end(address.key)
        elif (
            address.trust is AddressTrust.UNKNOWN
            and address.served >= self.limits.learn_requests
            and now_s - address.served_since_s >= self.limits.learn_after_s
        ):
            self.learned[address.key] = None
            address.trust = AddressTrust.LEARNED
            if len(self.learned) > self.limits.max_learned:
                self._forget_learned(next(iter(self.learned)))

    def record_violation(self, address: AddressRecord, now_s: float) -> None:
        """Reset the served requests of an address that exceeded a limit or left a message incomplete."""
        address.served = 0
        address.served_since_s = now_s
        if address.key in self.learned:
            self._forget_learned(address.key)

    def _forget_learned(self, key: AddressKey) -> None:
        del self.learned[key]
        address = self.active.get(key)
        if address is not None and address.trust is AddressTrust.LEARNED:
            address.trust = AddressTrust.UNKNOWN
