"""Codec of the endpoint list in the JSON format of discovery. No I/O."""

from __future__ import annotations

import reprlib
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from ...balancer.events import Endpoint, EndpointListUpdate, ListKind, State

STATE_BY_STATUS = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
MAX_NAMES = 256  # Each, of zones and machine types; all further names share one number.
MAX_PORT = 65535
NS_PER_MS = 1_000_000

_Value = TypeVar("_Value")
_CONVERSION_ERRORS = (KeyError, TypeError, ValueError, OverflowError, AttributeError)


class EndpointListError(ValueError):
    """An answer is not a valid endpoint list.

    Args:
        field: Invalid key, preceded by the number of its endpoint.
        value: Invalid value; None if the key is missing.
        expected: Description of valid values.
    """

    def __init__(self, field: str, value: object, expected: str) -> None:
        self.field = field
        self.value = value
        self.expected = expected
        super().__init__(f"{field} is {reprlib.repr(value)}, expected {expected}")


class AddressError(ValueError):
    """A text is not a numeric address with a port.

    Args:
        value: Invalid text.
    """

    def __init__(self, value: object) -> None:
        self.value = value
        super().__init__(f"no address: {value!r}")


@dataclass(slots=True)
class EndpointRecord:
    """One entry of an endpoint list.

    Attributes:
        name: Name of the endpoint in discovery.
        endpoint: Endpoint in the form that the balancer gets.
        address: Host and port of the endpoint.
        since_ms: Unix time in milliseconds at which the endpoint started; 0 if unknown.
    """

    name: str
    endpoint: Endpoint
    address: tuple[str, int]
    since_ms: int


@dataclass(slots=True)
class EndpointUpdate:
    """One answer of discovery.

    Attributes:
        version: Index of the list after this update.
        complete: Whether the entries are the complete list; otherwise they are the changed endpoints.
        entries: Endpoints of the update.
    """

    version: int
    complete: bool
    entries: list[EndpointRecord]

    def to_event(self, kind: ListKind | None = None, watching: bool = True) -> EndpointListUpdate:
        """Return the event for the balancer.

        Args:
            kind: Way in which the list was obtained; None if it came from discovery.
            watching: Whether a watch of discovery is open or its next call is scheduled.
        """
        kind = kind or (ListKind.FULL if self.complete else ListKind.DELTA)
        return EndpointListUpdate(kind, self.version, [entry.endpoint for entry in self.entries], watching)


class NameTable:
    """Numbers by which the balancer identifies endpoints, zones and machine types.

    Args:
        zones: Zones of the settings, which get the first numbers in their order.
        machine_types: Machine types of the settings, which get the first numbers in their order.

    Attributes:
        endpoints: Numbers of endpoints by name.
        zones: Numbers of zones by name.
        machine_types: Numbers of machine types by name.
        next_endpoint: Number of the next new endpoint.
    """

    def __init__(self, zones: list[str], machine_types: list[str]) -> None:
        self.endpoints: dict[str, int] = {}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.machine_types = {name: number for number, name in enumerate(machine_types)}
        self.next_endpoint = 1

    def endpoint(self, name: str) -> int:
        """Return the number of an endpoint; a new name gets the next number."""
        number = self.endpoints.get(name)
        if number is None:
            number = self.endpoints[name] = self.next_endpoint
            self.next_endpoint += 1
        return number

    def zone(self, name: str) -> int:
        """Return the number of a zone; all names beyond `MAX_NAMES` share one."""
        return _number_of_name(self.zones, name)

    def kind(self, name: str) -> int:
        """Return the number of a machine type; all names beyond `MAX_NAMES` share one."""
        return _number_of_name(self.machine_types, name)

    def keep(self, numbers: set[int]) -> None:
        """Remove the names of all endpoints except those with these numbers."""
        self.endpoints = {name: number for name, number in self.endpoints.items() if number in numbers}


def _number_of_name(numbers: dict[str, int], name: str) -> int:
    """Return the number of a name; a new name gets the next number while there are fewer than `MAX_NAMES`.

    The names are external input: without a limit, lists with new zones would exhaust the memory.
    """
    if len(numbers) < MAX_NAMES:
        return numbers.setdefault(name, len(numbers))
    return numbers.get(name, len(numbers))


def split_address(text: object, min_port: int = 1) -> tuple[str, int]:
    """Parse a numeric IPv4 address with a port.

    Args:
        text: Address in the form `host:port`.
        min_port: Lowest valid port.

    Returns:
        Host and port.

    Raises:
        AddressError: The text is not a numeric IPv4 address with a valid port.
    """
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):  # A host with a null character or a lone surrogate raises ValueError.
        raise AddressError(text) from None
    if not (port.isascii() and port.isdigit() and min_port <= int(port) <= MAX_PORT):
        raise AddressError(text)
    return host, int(port)


def parse_endpoint_update(data: object, names: NameTable) -> EndpointUpdate:
    """Parse an endpoint list or a change of it; one invalid entry makes the entire answer invalid.

    Args:
        data: Answer of discovery, decoded from JSON.
        names: Table to which the names of a valid list are added; an invalid list adds none.

    Returns:
        The update, with endpoints numbered by `names`.

    Raises:
        EndpointListError: The answer is not a valid endpoint list.
    """
    if not isinstance(data, dict):
        raise EndpointListError(field="answer", value=data, expected="an object")
    endpoints = data.get("endpoints")
    if not isinstance(endpoints, list):
        raise EndpointListError(field="endpoints", value=endpoints, expected="a list")
    version = _field(data, "index", int, "an integer")
    complete = _field(data, "snapshot", bool, "a boolean")
    entries = [_parse_entry(number, entry) for number, entry in enumerate(endpoints)]
    for record, zone, kind in entries:
        endpoint = record.endpoint
        endpoint.number = names.endpoint(record.name)
        endpoint.zone, endpoint.kind = names.zone(zone), names.kind(kind)
    return EndpointUpdate(version, complete, [record for record, _, _ in entries])


def endpoint_update_record(
    version: int, entries: Iterable[EndpointRecord], names: NameTable
) -> dict[str, Any]:
    """Return a complete list in the format of discovery.

    Args:
        version: Index of the list.
        entries: Endpoints of the list.
        names: Table with the names of their zones and machine types.

    Returns:
        JSON object that `parse_endpoint_update` can parse.
    """
    zones = {number: name for name, number in names.zones.items()}
    machine_types = {number: name for name, number in names.machine_types.items()}
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.name,
                "address": f"{entry.address[0]}:{entry.address[1]}",
                "zone": zones.get(entry.endpoint.zone, ""),
                "type": machine_types.get(entry.endpoint.kind, ""),
                "group": entry.endpoint.cell,
                "status": "SERVING" if entry.endpoint.state is State.READY else "DRAINING",
                "weight": entry.endpoint.weight,
                "since_ms": entry.since_ms,
            }
            for entry in entries
        ],
    }


def _parse_entry(number: int, entry: object) -> tuple[EndpointRecord, str, str]:
    """Parse one entry of an endpoint list.

    Args:
        number: Position of the entry in the list.
        entry: Entry, decoded from JSON.

    Returns:
        The endpoint, whose numbers are still 0, and the names of its zone and of its machine type.

    Raises:
        EndpointListError: The entry is invalid.
    """
    if not isinstance(entry, dict):
        raise EndpointListError(field=f"endpoints[{number}]", value=entry, expected="an object")
    try:
        since_ms = int(entry.get("since_ms") or 0)
        endpoint = Endpoint(
            number=0,
            zone=0,
            kind=0,
            cell=int(entry.get("group") or 0),
            # An endpoint with a status unknown to this version gets no new requests.
            state=STATE_BY_STATUS.get(entry["status"], State.DRAINING),
            weight=float(entry.get("weight", 1.0)),
            started_ns=since_ms * NS_PER_MS,
        )
        record = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    except _CONVERSION_ERRORS as error:
        raise _entry_error(number, entry) from error
    if since_ms < 0:
        raise EndpointListError(field=f"endpoints[{number}].since_ms", value=since_ms, expected="0 or more")
    return record, str(entry.get("zone", "")), str(entry.get("type", ""))


def _entry_error(number: int, entry: dict[str, Any]) -> EndpointListError:
    """Return the error of the invalid field of an entry.

    The field is searched for only after parsing has failed, since nearly all entries are valid.
    """
    key_prefix = f"endpoints[{number}]."
    try:
        _field({"since_ms": entry.get("since_ms") or 0}, "since_ms", int, "milliseconds", key_prefix)
        _field({"group": entry.get("group") or 0}, "group", int, "an integer", key_prefix)
        _field(entry, "status", STATE_BY_STATUS.get, "a text", key_prefix)
        _field({"weight": entry.get("weight", 1.0)}, "weight", float, "a number", key_prefix)
        _field(entry, "name", str, "a text", key_prefix)
        _field(entry, "address", split_address, "host:port", key_prefix)
    except EndpointListError as error:
        return error
    return EndpointListError(field=f"endpoints[{number}]", value=entry, expected="an endpoint")


def _field(
    data: dict[str, Any], key: str, convert: Callable[[Any], _Value], expected: str, key_prefix: str = ""
) -> _Value:
    """Return the converted value of a key.

    Args:
        data: Object that was decoded from JSON.
        key: Key of the value.
        convert: Conversion of the value, which raises one of `_CONVERSION_ERRORS` if the value is invalid.
        expected: Description of valid values.
        key_prefix: Prefix of the key in the error.

    Raises:
        EndpointListError: The value is missing or invalid.
    """
    try:
        return convert(data[key])
    except _CONVERSION_ERRORS:
        raise EndpointListError(key_prefix + key, data.get(key), expected) from None
