"""Errors of an invalid endpoint list: they name the invalid field, its value and the expected values."""

from __future__ import annotations

import pytest

from dykefold.net.discovery.codec import (
    AddressError,
    EndpointListError,
    NameTable,
    parse_endpoint_update,
    split_address,
)

ENTRY = {"name": "s1", "address": "127.0.0.1:7", "status": "SERVING"}
MISSING = object()


def update(**changes: object) -> dict:
    data = {"index": 1, "snapshot": True, "endpoints": [ENTRY], **changes}
    return {key: value for key, value in data.items() if value is not MISSING}


def with_entry(**changes: object) -> dict:
    entry = {key: value for key, value in {**ENTRY, **changes}.items() if value is not MISSING}
    return update(endpoints=[ENTRY, entry])


@pytest.mark.parametrize(
    ("data", "field", "value"),
    [
        ([], "answer", []),
        (update(endpoints=MISSING), "endpoints", None),
        (update(endpoints={}), "endpoints", {}),
        (update(index="x"), "index", "x"),
        (update(index=float("inf")), "index", float("inf")),
        (update(snapshot=MISSING), "snapshot", None),
        (update(endpoints=[7]), "endpoints[0]", 7),
        (with_entry(name=MISSING), "endpoints[1].name", None),
        (with_entry(status=MISSING), "endpoints[1].status", None),
        (with_entry(status=[]), "endpoints[1].status", []),
        (with_entry(address="nowhere"), "endpoints[1].address", "nowhere"),
        (with_entry(address="127.0.0.1\0:7"), "endpoints[1].address", "127.0.0.1\0:7"),
        (with_entry(weight=None), "endpoints[1].weight", None),
        (with_entry(weight=10**400), "endpoints[1].weight", 10**400),
        (with_entry(group="a"), "endpoints[1].group", "a"),
        (with_entry(since_ms="a"), "endpoints[1].since_ms", "a"),
        (with_entry(since_ms=-5), "endpoints[1].since_ms", -5),
    ],
)
def test_invalid_list_error_names_the_field_the_value_and_the_expectation(data, field, value):
    names = NameTable([], [])
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_update(data, names)
    assert (raised.value.field, raised.value.value) == (field, value)
    assert raised.value.expected
    assert str(raised.value).startswith(f"{field} is ")
    assert raised.value.expected in str(raised.value)
    assert not names.endpoints


def test_long_invalid_value_is_shortened_in_the_error():
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_update(with_entry(weight="x" * 100_000), NameTable([], []))
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize("text", ["", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "host:1", "1.2.3:4", 7])
def test_invalid_address_is_named_in_the_error(text):
    with pytest.raises(AddressError) as raised:
        split_address(text)
    assert raised.value.value == text
    assert repr(text) in str(raised.value)
