"""The platform's configuration of a sidecar.

`read_config` reads and checks the complete file and reports all problems at once, so an invalid file changes
nothing. A reloaded file must have all keys of the first one (`missing_keys`). The caller applies the result.
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

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
# Exclusive upper bound of the values under `limits`.
MAX_LIMIT = 1e9
# Environment variable with the path of the platform's file.
CONFIG_VARIABLE = "GW_CONFIG"
# Environment variable with the address of the admin API, for a file without `control`.
CONTROL_VARIABLE = "GW_CONTROL"

T = TypeVar("T")


class ConfigError(Exception):
    """The sidecar can't start.

    Args:
        text: Reason, for operators.
        code: Exit code of the process.
    """

    def __init__(self, text: str, code: int = 1) -> None:
        super().__init__(text)
        self.code = code


class ListenError(ConfigError):
    """The process can't listen at an address.

    Args:
        cause: Error of the system call.
    """

    def __init__(self, cause: OSError) -> None:
        super().__init__(f"can't listen: {cause}")


class VariableError(ConfigError):
    """An environment variable is missing or unreadable.

    Args:
        name: Name of the variable.
        problem: Text that follows the name in the message.
    """

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{name}{problem}")
        self.name = name


class FileError(ConfigError):
    """A configuration file can't be used.

    Args:
        path: Path of the file.
        problems: One line for each problem, with the field that it concerns.
        code: Exit code of the process.
    """

    def __init__(self, path: str, problems: Sequence[str], code: int = 1) -> None:
        super().__init__(f"{path}: {'; '.join(problems)}", code)
        self.path = path
        self.problems = tuple(problems)


class FieldError(ValueError):
    """A field has an invalid value.

    Args:
        field: Name of the field.
        value: Value of the field.
        expected: Description of valid values.
    """

    def __init__(self, field: str, value: object, expected: str) -> None:
        super().__init__(f"{field} is no {expected}: {value!r}")
        self.field = field
        self.value = value
        self.expected = expected


@dataclass(slots=True)
class Config:
    """The configuration of a sidecar.

    Attributes:
        name: Name of the sidecar.
        listen_address: Address at which the sidecar accepts clients.
        admin_address: Address of the admin API; None for no admin API.
        discovery_address: Address of discovery, which serves the endpoint list.
        seed: Seed of the balancer's random generator.
        max_descriptors: Number of descriptors that all processes of the sidecar may use together.
        memory_bytes: Bytes of memory that all processes of the sidecar may use together.
        peer_listen_address: Address for datagrams of peers; None for no datagrams.
        peer_addresses: Addresses of the peers by number.
        broadcast_address: Address that reaches all peers; None without broadcast.
        settings: Settings of the balancer.
        transport: Settings of the sockets.
        names: Numbers of zones, machine types and the endpoints of `initial_endpoints` by name.
        initial_endpoints: Endpoint list in use until the first one from discovery.
        address_limits: Limits on clients by address.
        fleet: Options of membership and failover from the operator's file.
        shape: Keys of the file, for `missing_keys`.
    """

    name: str
    listen_address: Address
    admin_address: Address | None
    discovery_address: Address
    seed: int
    max_descriptors: int
    memory_bytes: int
    peer_listen_address: Address | None
    peer_addresses: list[Address]
    broadcast_address: Address | None
    settings: Settings
    transport: Transport
    names: NameTable
    initial_endpoints: EndpointUpdate
    address_limits: AddressLimits
    fleet: FleetOptions
    shape: Shape


# Keys of a JSON value: for an object, each key with the keys of its value; for a list, one element with the
# keys that all objects in the list have.
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


def missing_keys(shape: Shape, value: object, parent_path: str = "") -> list[str]:
    """Return the paths of the keys that are in a shape but not in a JSON value.

    An object in a list must have the keys that all objects of the earlier list had.

    Args:
        shape: Expected keys.
        value: JSON value.
        parent_path: Path of the value.
    """
    missing: list[str] = []
    if isinstance(shape, dict) and isinstance(value, dict):
        for key, inner in shape.items():
            path = f"{parent_path}.{key}" if parent_path else key
            missing += missing_keys(inner, value[key], path) if key in value else [path]
    elif isinstance(shape, list) and isinstance(value, list):
        for number, inner in enumerate(value):
            if isinstance(inner, dict):
                missing += missing_keys(shape[0], inner, f"{parent_path}.{number}")
    return missing


def system_limit() -> int:
    """Return the number of descriptors that the system allows this process now."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return DEFAULT_SOCKETS if soft == resource.RLIM_INFINITY else soft


def read_config(path: str | None, service_path: str | None = None, current: Config | None = None) -> Config:
    """Read the platform's file, and the operator's file if there is one.

    Args:
        path: Path of the platform's file.
        service_path: Path of the operator's file; None for no such file.
        current: Configuration in use, whose keys the file must have; None at startup.

    Raises:
        ConfigError: A file can't be used; the error reports all problems.
    """
    if not path:
        raise VariableError(CONFIG_VARIABLE, " is not set")
    address_limits, fleet = _read_operator_options(service_path)
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise FileError(path, [_one_line(error)]) from None
    if not isinstance(data, dict):
        raise FileError(path, ["not a JSON object"])
    reader = _ValueReader(data)
    config = _config_from(reader, address_limits, fleet)
    if current is not None:
        reader.problems += [f"{key} is missing" for key in missing_keys(current.shape, data)]
    if reader.problems:
        raise FileError(path, list(dict.fromkeys(reader.problems)))
    return config


class _ValueReader:
    """Reads values of a configuration; collects problems, and returns a substitute for an invalid value.

    Args:
        data: Values by key.
    """

    def __init__(self, data: Mapping[str, Any]) -> None:
        self.data = data
        self.problems: list[str] = []

    def read_required(self, key: str, convert: Callable[[Any], T], substitute: T) -> T:
        """Return the value of a required key."""
        if key not in self.data:
            self.problems.append(f"{key} is missing")
            return substitute
        return self.read_optional(key, convert, substitute)

    def read_optional(self, key: str, convert: Callable[[Any], T], default: T) -> T:
        """Return the value of an optional key, or the default."""
        value = self.data.get(key)
        if value is None and key not in self.data:
            return default
        try:
            return convert(value)
        except (ValueError, TypeError, AttributeError, KeyError, OverflowError, RecursionError) as error:
            self.problems.append(f"{key}: {_one_line(error)}")
            return default


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def _config_from(reader: _ValueReader, address_limits: AddressLimits, fleet: FleetOptions) -> Config:
    placeholder_address = ("0.0.0.0", 0)
    settings = reader.read_required("settings", nested_settings, Settings([], [""]))
    transport = reader.read_optional("settings", nested_transport, Transport([], 0, 0))
    names = NameTable(settings.zones, transport.machine_types)
    max_descriptors, memory_bytes = reader.read_optional(
        "limits", _resource_limits, (DEFAULT_SOCKETS, DEFAULT_MEMORY_MB * MB)
    )
    return Config(
        name=reader.read_required("name", str, ""),
        listen_address=reader.read_required("listen", _listen_address, placeholder_address),
        admin_address=reader.read_optional("control", _optional_listen_address, None)
        or _admin_address_from_environment(),
        discovery_address=reader.read_required("discovery", split_address, placeholder_address),
        seed=reader.read_required("seed", lambda text: int(text, 16), 0),
        max_descriptors=min(max_descriptors, DEFAULT_SOCKETS, system_limit()),
        memory_bytes=memory_bytes,
        peer_listen_address=reader.read_optional("peer_listen", _optional_address, None),
        peer_addresses=reader.read_optional(
            "peers", lambda peers: [split_address(peer) for peer in peers], []
        ),
        broadcast_address=reader.read_optional("peers_all", _optional_address, None),
        settings=settings,
        transport=transport,
        names=names,
        initial_endpoints=reader.read_required(
            "known", lambda known: parse_endpoint_update(known, names), EndpointUpdate(0, True, [])
        ),
        address_limits=address_limits,
        fleet=fleet,
        shape=shape_of(reader.data),
    )


def _listen_address(text: object) -> Address:
    return split_address(text, min_port=0)


def _optional_address(text: object) -> Address | None:
    return split_address(text) if text else None


def _optional_listen_address(text: object) -> Address | None:
    return _listen_address(text) if text else None


def _admin_address_from_environment() -> Address | None:
    """Return the address of the admin API from the environment; None if it is not set there."""
    try:
        return _optional_listen_address(os.environ.get(CONTROL_VARIABLE))
    except ValueError as error:
        raise VariableError(CONTROL_VARIABLE, f": {error}") from None


def _resource_limits(limits: Mapping[str, Any]) -> tuple[int, int]:
    sockets, memory_mb = limits.get("sockets", DEFAULT_SOCKETS), limits.get("memory_mb", DEFAULT_MEMORY_MB)
    for name, value in (("sockets", sockets), ("memory_mb", memory_mb)):
        if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < MAX_LIMIT:
            raise FieldError(name, value, "number above 0")
    return int(sockets), int(memory_mb * MB)


def _read_operator_options(service_path: str | None) -> tuple[AddressLimits, FleetOptions]:
    if not service_path:
        return AddressLimits(), FleetOptions()
    service = read_service_file(service_path)
    if service.admin_address is not None:
        problem = "control: not allowed beside the platform's file, which has the admin API's address"
        raise FileError(service_path, [problem], code=2)
    if service.plan is not None:
        problem = "pools and routes: only for `serve`; not allowed beside the platform's file"
        raise FileError(service_path, [problem], code=2)
    return service.address_limits, service.fleet


def read_service_file(path: str) -> Service:
    """Read the operator's file.

    Raises:
        ConfigError: The file can't be used; the error reports all problems.
    """
    # Imported here, since the platform's sidecar needs neither this file nor the library that checks it.
    from .service_config import ServiceError, read_service

    try:
        return read_service(path)
    except ServiceError as error:
        raise ConfigError("\n".join(error.lines()), code=2) from None
