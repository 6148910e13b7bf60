"""Client addresses: which hosts share a key, which are known, and bounds on the stored records."""

from ipaddress import ip_network

import pytest

from dykefold.admission.addresses import AddressLimits, AddressTable, AddressTrust


@pytest.mark.parametrize(
    ("host", "other", "same"),
    [
        ("10.0.0.1", "10.0.0.1", True),
        ("10.0.0.1", "10.0.0.2", False),
        ("2001:db8:0:1::1", "2001:db8:0:1:ffff::2", True),  # one site's /64
        ("2001:db8:0:1::1", "2001:db8:0:2::1", False),
        ("::ffff:10.0.0.1", "10.0.0.1", True),  # IPv4 as reported by a dual-stack socket
        ("fe80::1%eth0", "fe80::2%eth1", True),
        ("0.0.0.1", "::1", False),  # the same number in the other IP version
    ],
)
def test_addresses_with_same_prefix_share_a_key(host, other, same):
    addresses = AddressTable(AddressLimits())
    assert (addresses.key(host) == addresses.key(other)) is same


def test_ipv4_prefix_length_is_configurable():
    addresses = AddressTable(AddressLimits(v4_prefix=24))
    assert addresses.key("10.0.0.1") == addresses.key("10.0.0.200") != addresses.key("10.0.1.1")


def test_configured_networks_are_known_for_ipv4_and_ipv6():
    networks = tuple(map(ip_network, ("10.1.0.0/16", "10.9.9.9/32", "2001:db8::/32")))
    addresses = AddressTable(AddressLimits(known=networks))
    trust = {
        host: addresses.find(host, 0.0).trust
        for host in ("10.1.2.3", "10.2.0.1", "10.9.9.9", "10.9.9.8", "2001:db8:5::1", "2001:db9::1")
    }
    assert [host for host, level in trust.items() if level is AddressTrust.CONFIGURED] == [
        "10.1.2.3",
        "10.9.9.9",
        "2001:db8:5::1",
    ]


def test_new_connections_are_limited_by_rate_and_clock_going_back_adds_no_tokens():
    addresses = AddressTable(AddressLimits(new_per_s=10.0, new_burst=5.0))
    address = addresses.find("10.0.0.1", 100.0)
    assert [addresses.consume_token(address, 100.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert not addresses.consume_token(address, 90.0)
    assert [addresses.consume_token(address, 90.2) for _ in range(3)] == [True, True, False]


def record_successes(addresses, host, count, start_s, interval_s):
    address = addresses.find(host, start_s)
    address.connections = 1
    addresses.active[address.key] = address
    for number in range(count):
        addresses.record_success(address, start_s + number * interval_s)
    return address


def test_address_is_learned_after_enough_served_requests_and_time():
    addresses = AddressTable(AddressLimits(learn_requests=10, learn_after_s=60.0))
    assert (
        record_successes(addresses, "10.0.0.1", 100, 0.0, 0.1).trust is AddressTrust.UNKNOWN
    )  # only over ten seconds
    assert (
        record_successes(addresses, "10.0.0.2", 5, 0.0, 100.0).trust is AddressTrust.UNKNOWN
    )  # only five requests
    assert record_successes(addresses, "10.0.0.3", 61, 0.0, 1.0).trust is AddressTrust.LEARNED


def test_violation_forgets_learned_address_and_restarts_its_count():
    addresses = AddressTable(AddressLimits(learn_requests=10, learn_after_s=60.0))
    address = record_successes(addresses, "10.0.0.1", 70, 0.0, 1.0)
    assert address.known
    addresses.record_violation(address, 70.0)
    assert not address.known
    assert not addresses.learned
    record_successes(addresses, "10.0.0.1", 50, 70.0, 1.0)
    assert not address.known
    record_successes(addresses, "10.0.0.1", 20, 120.0, 1.0)
    assert address.known


def test_no_address_is_learned_by_default():
    addresses = AddressTable(AddressLimits())
    assert not record_successes(addresses, "10.0.0.1", 1000, 0.0, 10.0).known


def test_learned_and_inactive_addresses_are_bounded():
    addresses = AddressTable(
        AddressLimits(learn_requests=1, learn_after_s=0.0, max_learned=10, max_remembered=20)
    )
    for number in range(300):
        address = record_successes(addresses, f"10.0.{number // 250}.{number % 250}", 2, float(number), 0.5)
        address.connections = 0
        addresses.deactivate_unused(address)
    assert len(addresses.learned) == 10
    assert len(addresses.inactive) == 20
    assert not addresses.active
    assert addresses.find("10.0.1.49", 300.0).known  # among the latest
    assert not addresses.find("10.0.0.1", 300.0).known
    addresses.apply(AddressLimits(max_remembered=5))  # disables learning
    assert not addresses.learned
    assert len(addresses.inactive) == 5
