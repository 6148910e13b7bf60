"""The platform's configuration of a sidecar: read, checked as a whole, and only then used.

A file that is wrong in any way changes nothing: `read_config` reads and checks it, and reports all problems
at once; `lacking` lists what a later file leaves out that the first one had; the caller applies it.
"""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from .admission.addresses import AddressLimits
from .balancer.settings import Settings
from .fleet.options import FleetOptions
from .net.discovery.codec import EndpointUpdate, NameTable, parse_endpoint_update, split_address
from .net.memory_budget import MB
from .net.peers import Address
from .settings import Transport, nested_settings, nested_transport

if TYPE_CHECKING:
    from .service_config import Service

DEFAULT_SOCKETS = 1024  # where the configuration names no limit
DEFAULT_MEMORY_MB = 192  # likewise
MAX_LIMIT = 1e9
CONFIG_VARIABLE = "GW_CONFIG"  # names the platform's file
CONTROL_VARIABLE = "GW_CONTROL"  # names the admin API's address, where the file doesn't

T = TypeVar("T")


class ConfigError(Exception):
    """The sidecar can't start; the text says why.

    Attributes:
        code: exit code of the process.
    """

    def __init__(self, text: str, code: int = 1) -> None:
        """Say why, and with which exit code."""
        super().__init__(text)
        self.code = code


class ListenError(ConfigError):
    """An address can't be listened on."""

    def __init__(self, cause: OSError) -> None:
        """Say what the system says."""
        super().__init__(f"can't listen: {cause}")


class VariableError(ConfigError):
    """A variable of the environment is missing or unreadable.

    Attributes:
        name: of the variable.
    """

    def __init__(self, name: str, problem: str) -> None:
        """Say what is wrong with a variable."""
        super().__init__(f"{name}{problem}")
        self.name = name


class FileError(ConfigError):
    """A configuration file can't be used.

    Attributes:
        path: of the file.
        problems: what is wrong with it, each with the field that it is about.
    """

    def __init__(self, path: str, problems: Sequence[str], code: int = 1) -> None:
        """Say what is wrong with a file, and with which exit code."""
        super().__init__(f"{path}: {'; '.join(problems)}", code)
        self.path = path
        self.problems = tuple(problems)


class FieldError(ValueError):
    """A field has a value that can't be.

    Attributes:
        field: its name.
        value: that it has.
        expected: what it should have been.
    """

    def __init__(self, field: str, value: object, expected: str) -> None:
        """Say which field has which value, and what was expected."""
        super().__init__(f"{field} is no {expected}: {value!r}")
        self.field = field
        self.value = value
        self.expected = expected


@dataclass(slots=True)
class Config:
    """The configuration of a sidecar.

    Attributes:
        name: of the sidecar.
        listen: where it accepts clients.
        control: where the admin API listens; None where there is none.
        discovery: where the endpoint list comes from.
        seed: of the balancer's random draws.
        sockets: descriptors that the sidecar may hold.
        memory: bytes that it may take.
        peer_listen: where it receives datagrams of peers; None: nowhere.
        peers: addresses of the peers by number.
        peers_all: the address that reaches all peers; None where there is none.
        settings: what the balancer goes by.
        transport: what the sockets go by.
        names: numbers the endpoints of `known`.
        known: the endpoint list to begin with.
        caps: limits on clients by address.
        fleet: the operator's options of the fleet.
        shape: the keys of the file, for `lacking`.
    """

    name: str
    listen: Address
    control: Address | None
    discovery: Address
    seed: int
    sockets: int
    memory: int
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    settings: Settings
    transport: Transport
    names: NameTable
    known: EndpointUpdate
    caps: AddressLimits
    fleet: FleetOptions
    shape: Shape


# The keys of a JSON value: of an object with those of its values; of a list, those that all its objects have.
Shape = dict[str, Any] | list[Any] | None


def shape_of(value: object) -> Shape:
    """Return the keys of a JSON value."""
    if isinstance(value, dict):
        return {key: shape_of(inner) for key, inner in value.items()}
    if isinstance(value, list):
        objects = [inner for inner in value if isinstance(inner, dict)]
        common = set.intersection(*(set(inner) for inner in objects)) if objects else set()
        return [{key: shape_of(objects[0][key]) for key in sorted(common)}]
    return None


def lacking(shape: Shape, value: object, at: str = "") -> list[str]:
    """Return the paths of the keys that a shape has and a JSON value leaves out.

    An object in a list lacks what all objects of that list had, such as each class of the settings.

    Args:
        shape: the keys that are expected.
        value: the JSON value.
        at: the path of the value.
    """
    found: list[str] = []
    if isinstance(shape, dict) and isinstance(value, dict):
        for key, inner in shape.items():
            path = f"{at}.{key}" if at else key
            found += lacking(inner, value[key], path) if key in value else [path]
    elif isinstance(shape, list) and isinstance(value, list):
        for number, inner in enumerate(value):
            if isinstance(inner, dict):
                found += lacking(shape[0], inner, f"{at}.{number}")
    return found


def system_limit() -> int:
    """Return how many descriptors the system lets this process hold; it may be changed while running."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_SOCKETS if soft == resource.RLIM_INFINITY else soft


def read_config(path: str | None, service: str | None = None, before: Config | None = None) -> Config:
    """Read the platform's configuration and, where one is named, the operator's file.

    Args:
        path: of the platform's file.
        service: path of the operator's file; None: there is none.
        before: the configuration that is in use, if any: the file must have all keys that this one had.

    Raises:
        ConfigError: with all problems.
    """
    if not path:
        raise VariableError(CONFIG_VARIABLE, " is not set")
    caps, fleet = _read_operators(service)
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise FileError(path, [_one_line(error)]) from None
    if not isinstance(data, dict):
        raise FileError(path, ["no JSON object"])
    checked = _Checked(data)
    config = _check(checked, caps, fleet)
    if before is not None:
        checked.problems += [f"{key} is missing" for key in lacking(before.shape, data)]
    if checked.problems:
        raise FileError(path, list(dict.fromkeys(checked.problems)))
    return config


class _Checked:
    """The values of a configuration. What is wrong is collected, and read as the harmless value given."""

    def __init__(self, data: Mapping[str, Any]) -> None:
        self.data = data
        self.problems: list[str] = []

    def need(self, key: str, read: Callable[[Any], T], harmless: T) -> T:
        """Return the value of a key that must be there."""
        if key not in self.data:
            self.problems.append(f"{key} is missing")
            return harmless
        return self.read(key, read, harmless)

    def read(self, key: str, read: Callable[[Any], T], default: T) -> T:
        """Return the value of a key that may be left out, or be empty."""
        value = self.data.get(key)
        if value is None and key not in self.data:
            return default
        try:
            return read(value)
        except (ValueError, TypeError, AttributeError, KeyError, OverflowError, RecursionError) as error:
            self.problems.append(f"{key}: {_one_line(error)}")
            return default


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _check(checked: _Checked, caps: AddressLimits, fleet: FleetOptions) -> Config:
    nobody = ("0.0.0.0", 0)
    settings = checked.need("settings", nested_settings, Settings([], [""]))
    transport = checked.read("settings", nested_transport, Transport([], 0, 0))
    names = NameTable(settings.zones, transport.kinds)
    limits = checked.read("limits", _limits, (DEFAULT_SOCKETS, DEFAULT_MEMORY_MB * MB))
    return Config(
        name=checked.need("name", str, ""),
        listen=checked.need("listen", _any_port, nobody),
        control=checked.read("control", _maybe_any_port, None) or _from_environment(),
        discovery=checked.need("discovery", split_address, nobody),
        seed=checked.need("seed", lambda text: int(text, 16), 0),
        sockets=min(limits[0], DEFAULT_SOCKETS, system_limit()),
        memory=limits[1],
        peer_listen=checked.read("peer_listen", _maybe, None),
        peers=checked.read("peers", lambda peers: [split_address(peer) for peer in peers], []),
        peers_all=checked.read("peers_all", _maybe, None),
        settings=settings,
        transport=transport,
        names=names,
        known=checked.need(
            "known", lambda known: parse_endpoint_update(known, names), EndpointUpdate(0, True, [])
        ),
        caps=caps,
        fleet=fleet,
        shape=shape_of(checked.data),
    )


def _any_port(text: object) -> Address:
    return split_address(text, least_port=0)


def _maybe(text: object) -> Address | None:
    return split_address(text) if text else None


def _maybe_any_port(text: object) -> Address | None:
    return _any_port(text) if text else None


def _from_environment() -> Address | None:
    """Return the admin API's address where only the environment names it."""
    try:
        return _maybe_any_port(os.environ.get(CONTROL_VARIABLE))
    except ValueError as error:
        raise VariableError(CONTROL_VARIABLE, f": {error}") from None


def _limits(limits: Mapping[str, Any]) -> tuple[int, int]:
    sockets, memory_mb = limits.get("sockets", DEFAULT_SOCKETS), limits.get("memory_mb", DEFAULT_MEMORY_MB)
    for name, value in (("sockets", sockets), ("memory_mb", memory_mb)):
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < MAX_LIMIT:
            raise FieldError(name, value, "number above 0")
    return int(sockets), int(memory_mb * MB)


def _read_operators(service: str | None) -> tuple[AddressLimits, FleetOptions]:
    if not service:
        return AddressLimits(), FleetOptions()
    read = read_service_file(service)
    if read.control is not None:
        problem = "control: beside the platform's file that one names the door"
        raise FileError(service, [problem], code=2)
    if read.plan is not None:
        problem = "pools and routes are for `serve`; beside the platform's file they have no meaning"
        raise FileError(service, [problem], code=2)
    return read.caps, read.fleet


def read_service_file(path: str) -> Service:
    """Read the operator's file.

    Raises:
        ConfigError: with all problems.
    """
    from .service_config import ServiceError, read_service  # not part of the platform's sidecar

    try:
        return read_service(path)
    except ServiceError as error:
        raise ConfigError("\n".join(error.lines()), code=2) from None
