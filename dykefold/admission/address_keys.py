"""Keys that identify a client address, and a set of networks.

Sources: RFC 4291 section 2.5.4 and RFC 6177 (a site has at least a /64, so a /64 counts as one address),
RFC 4291 section 2.5.5.2 (IPv4 addresses inside IPv6).
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from ipaddress import IPv4Network, IPv6Address, IPv6Network, ip_address

IPV4 = 4
IPV6 = 6
IPV4_BITS = 32
IPV6_BITS = 128
MAX_CACHED_ADDRESSES = 4096  # Parsed addresses; as many as `AddressLimits.max_remembered`.

Network = IPv4Network | IPv6Network
# Identifies one address: the IP version, and the leading bits as a number.
# A plain tuple, since one is created for each new connection.
AddressKey = tuple[int, int]


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _parse(host: str) -> tuple[int, int]:
    """Return the IP version and numeric value of an address; an IPv4-mapped IPv6 address counts as IPv4."""
    address = ip_address(host.partition("%")[0])
    if isinstance(address, IPv6Address) and address.ipv4_mapped is not None:
        address = address.ipv4_mapped
    return address.version, int(address)


class AddressPrefixes:
    """Number of leading bits that identify one address, by IP version.

    Args:
        ipv4_bits: Leading bits of an IPv4 address that identify one client, 0 to 32.
        ipv6_bits: Leading bits of an IPv6 address that identify one client, 0 to 128.
    """

    def __init__(self, ipv4_bits: int, ipv6_bits: int) -> None:
        self._shifts = {IPV4: IPV4_BITS - ipv4_bits, IPV6: IPV6_BITS - ipv6_bits}

    def key(self, host: str) -> AddressKey:
        """Return the key of an address.

        Args:
            host: IPv4 or IPv6 address as text, with or without a scope zone.

        Raises:
            ValueError: `host` is not an IP address.
        """
        version, number = _parse(host)
        return version, number >> self._shifts[version]


class NetworkSet:
    """A set of networks; a lookup costs one step for each distinct prefix length.

    Args:
        networks: IPv4 and IPv6 networks, in any order.
    """

    def __init__(self, networks: Iterable[Network]) -> None:
        self._shifts: dict[int, dict[int, set[int]]] = {IPV4: {}, IPV6: {}}
        for network in networks:
            shift = network.max_prefixlen - network.prefixlen
            numbers = self._shifts[network.version].setdefault(shift, set())
            numbers.add(int(network.network_address) >> shift)

    def __contains__(self, host: str) -> bool:
        """Return whether an address is in one of the networks.

        Raises:
            ValueError: `host` is not an IP address.
        """
        version, number = _parse(host)
        return any(number >> shift in known for shift, known in self._shifts[version].items())
