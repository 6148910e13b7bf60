"""Client addresses: what counts as one, which are known, and what each has used of its caps.

Sources: RFC 4291 section 2.5.4 and RFC 6177 (a site holds at least a /64, so a /64 counts as one address);
token buckets as in RFC 2697 with one rate.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from ipaddress import IPv4Network, IPv6Network, ip_address

V4_BITS = 32
V6_BITS = 128
PARSED_MOST = 4096  # texts of addresses whose numbers are kept: as many as addresses are remembered

Network = IPv4Network | IPv6Network
Key = tuple[int, int]  # version and the number of the prefix


@dataclass(frozen=True, slots=True)
class Caps:
    """What one address may use, and who is known. None stands for no cap.

    Attributes:
        connections: open at once from one address.
        known_connections: the same for a known address, which may stand for a whole site behind NAT.
        new_per_s, new_burst: new connections a second, and at once after a rest. Listed networks are
            exempt: after a restart all their desks come back together.
        open_requests: of one address, taken and not answered.
        unfinished_bytes: of messages from one address that have not come to their end.
        v4_prefix, v6_prefix: bits that make one address.
        known: networks whose desks are known.
        reserve: connections of the clients' share that only known desks may take.
        learn_requests, learn_after_s: served requests, and the time that they must be spread over, before
            an address counts as known by its conduct; 0 requests: nothing is learned.
        learned_most: addresses that can be known by conduct; the one longest unseen is forgotten.
        remembered_most: addresses without a connection whose use of the caps is remembered.
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
    learned_most: int = 1024
    remembered_most: int = 4096


class Standing(Enum):
    STRANGER = "stranger"
    LEARNED = "learned"  # by its conduct; the first offence ends it
    LISTED = "listed"  # by the operator


class Address:
    """One address's use of its caps."""

    __slots__ = (
        "connections",
        "good",
        "good_since_s",
        "key",
        "open_requests",
        "standing",
        "tokens",
        "tokens_at_s",
        "unfinished_bytes",
    )

    def __init__(self, key: Key, standing: Standing, tokens: float, now_s: float) -> None:
        self.key = key
        self.standing = standing
        self.connections = 0
        self.open_requests = 0
        self.unfinished_bytes = 0
        self.tokens = tokens
        self.tokens_at_s = now_s
        self.good = 0  # requests served since the last offence
        self.good_since_s = now_s

    @property
    def known(self) -> bool:
        return self.standing is not Standing.STRANGER


@lru_cache(maxsize=PARSED_MOST)
def _number(host: str) -> tuple[int, int]:
    """Version and number of an address; IPv4 inside IPv6 (RFC 4291 section 2.5.5.2) counts as IPv4."""
    address = ip_address(host.partition("%")[0])
    if address.version == 6 and address.ipv4_mapped is not None:
        address = address.ipv4_mapped
    return address.version, int(address)


class Listed:
    """Networks of known desks; a look-up costs one step for each length of prefix that occurs."""

    def __init__(self, networks: Iterable[Network]) -> None:
        self._shifts: dict[int, dict[int, set[int]]] = {4: {}, 6: {}}
        for network in networks:
            shift = network.max_prefixlen - network.prefixlen
            numbers = self._shifts[network.version].setdefault(shift, set())
            numbers.add(int(network.network_address) >> shift)

    def __contains__(self, host: str) -> bool:
        version, number = _number(host)
        return any(number >> shift in known for shift, known in self._shifts[version].items())


class Addresses:
    """All addresses that have a connection, the bounded memory of those that had one, and the learned."""

    def __init__(self, caps: Caps) -> None:
        self.active: dict[Key, Address] = {}
        self.resting: OrderedDict[Key, Address] = OrderedDict()  # the longest without a connection first
        self.learned: OrderedDict[Key, None] = OrderedDict()  # the longest without good conduct first
        self.apply(caps)

    def apply(self, caps: Caps) -> None:
        """Take other caps: who is known changes at once, what is used stays counted."""
        self.caps = caps
        self.listed = Listed(caps.known)
        self._shifts = {4: V4_BITS - caps.v4_prefix, 6: V6_BITS - caps.v6_prefix}
        while len(self.learned) > caps.learned_most or (self.learned and not caps.learn_requests):
            self._unlearn(next(iter(self.learned)))
        while len(self.resting) > caps.remembered_most:
            self.resting.popitem(last=False)

    def key(self, host: str) -> Key:
        version, number = _number(host)
        return version, number >> self._shifts[version]

    def find(self, host: str, now_s: float) -> Address:
        """The record of an address, made if there is none; it is kept once a connection has entered."""
        key = self.key(host)
        address = self.active.get(key) or self.resting.get(key)
        listed = bool(self.caps.known) and host in self.listed
        if address is None:
            address = Address(key, Standing.STRANGER, self.caps.new_burst, now_s)
        if listed:
            address.standing = Standing.LISTED
        else:
            address.standing = Standing.LEARNED if key in self.learned else Standing.STRANGER
        return address

    def entered(self, address: Address) -> None:
        address.connections += 1
        self.resting.pop(address.key, None)
        self.active[address.key] = address

    def released(self, address: Address) -> None:
        """After a connection or a request has ended: an address with neither is remembered for a while.

        Without that its caps would begin anew with each connection that it opens and closes.
        """
        if address.connections or address.open_requests:
            return
        self.active.pop(address.key, None)
        self.resting[address.key] = address
        self.resting.move_to_end(address.key)
        if len(self.resting) > self.caps.remembered_most:
            self.resting.popitem(last=False)

    def take_token(self, address: Address, now_s: float) -> bool:
        """Whether one more new connection is within the rate, and count it if so."""
        rate = self.caps.new_per_s
        if rate is None or address.standing is Standing.LISTED:
            return True
        passed = max(now_s - address.tokens_at_s, 0.0)
        address.tokens = min(address.tokens + passed * rate, self.caps.new_burst)
        address.tokens_at_s = now_s
        if address.tokens < 1.0:
            return False
        address.tokens -= 1.0
        return True

    def conduct(self, address: Address, good: bool, now_s: float) -> None:
        """Count a served request, or an offence, which undoes all that was earned."""
        if not good:
            address.good = 0
            address.good_since_s = now_s
            if address.key in self.learned:
                self._unlearn(address.key)
            return
        if not self.caps.learn_requests:
            return
        if not address.good:
            address.good_since_s = now_s
        address.good += 1
        if address.key in self.learned:
            self.learned.move_to_end(address.key)
        elif (
            address.standing is Standing.STRANGER
            and address.good >= self.caps.learn_requests
            and now_s - address.good_since_s >= self.caps.learn_after_s
        ):
            self.learned[address.key] = None
            address.standing = Standing.LEARNED
            if len(self.learned) > self.caps.learned_most:
                self._unlearn(next(iter(self.learned)))

    def _unlearn(self, key: Key) -> None:
        del self.learned[key]
        address = self.active.get(key)
        if address is not None and address.standing is Standing.LEARNED:
            address.standing = Standing.STRANGER
