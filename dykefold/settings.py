"""Parsing of settings in both of their forms: lines `path=value`, and a nested JSON object."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from .balancer.settings import Effect, RequestClass, Scope, Settings, Tenant

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
# Names of load report fields that differ from the balancer's names.
CANONICAL_COLUMNS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}

DEFAULT_CONNECTION_IDLE_NS = 60_000_000_000
DEFAULT_MAX_OPEN = 20_000
DEFAULT_TICK_NS = 1_000_000
DEFAULT_MAX_POLL_INTERVAL_NS = 10_000_000_000
DEFAULT_OVERLOAD_FOR_NS = 3_000_000_000

_Value = TypeVar("_Value")


class SettingError(ValueError):
    """Settings are missing or invalid; the message names each of them."""


@dataclass(slots=True)
class Transport:
    """Settings of connections and sockets, which the balancer does not need.

    Attributes:
        machine_types: Names of the machine types.
        connection_idle_timeout_ns: Idle timeout of connections to endpoints, in nanoseconds.
        max_pending: Number of requests that may be pending at once.
    """

    machine_types: list[str]
    connection_idle_timeout_ns: int
    max_pending: int


def canonical_column(name: str) -> str:
    """Return the balancer's name for a field of load reports."""
    return CANONICAL_COLUMNS.get(name, name)


def _name_list(raw: object) -> list[str]:
    values = raw if isinstance(raw, list) else str(raw).split(",")
    return [str(name) for name in values if name != ""]


class _SettingReader:
    """Reads settings by path; collects problems, and returns a substitute for an invalid value.

    A setting without a default is required.

    Args:
        values: Values by path.
        typed: True if numbers must be JSON numbers; otherwise they may be strings.
    """

    def __init__(self, values: Mapping[str, object], typed: bool) -> None:
        self.values = values
        self.number_types: tuple[type, ...] = (int, float) if typed else (int, float, str)
        self.problems: list[str] = []

    def finish(self) -> None:
        """Report the collected problems.

        Raises:
            SettingError: There are problems.
        """
        if self.problems:
            raise SettingError("; ".join(self.problems))

    def _convert(
        self, key: str, convert: Callable[[Any], _Value], default: _Value | None, substitute: _Value
    ) -> _Value:
        raw = self.values.get(key)
        if raw is None:
            if default is None:
                self.problems.append(f"setting {key} is missing")
                return substitute
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError, TypeError, OverflowError):
            self.problems.append(f"setting {key} is unreadable: {raw!r}")
            return substitute

    def _finite(self, raw: object) -> float:
        if isinstance(raw, bool) or not isinstance(raw, self.number_types):
            raise TypeError(raw)
        value = float(raw)  # type: ignore[arg-type]  # its type is in `number_types`
        if not math.isfinite(value):
            raise ValueError(raw)
        return value

    def _above_zero(self, raw: object) -> int:
        value = int(self._finite(raw))
        if value < 1:
            raise ValueError(raw)
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return self._convert(key, str, default, "")

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a number, truncated to an integer."""
        return self._convert(key, lambda raw: int(self._finite(raw)), default, 1)

    def positive(self, key: str) -> int:
        """Return a required integer above 0."""
        return self._convert(key, self._above_zero, None, 1)

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        return self._convert(key, self._finite, default, 1.0)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a Boolean."""
        options: dict[object, bool] = {"true": True, "false": False, True: True, False: False}
        return self._convert(key, options.__getitem__, default, False)

    def choice(self, key: str, choices: Mapping[str, _Value], default: _Value | None = None) -> _Value:
        """Return the value of the chosen option."""
        return self._convert(key, choices.__getitem__, default, next(iter(choices.values())))

    def names(self, key: str) -> list[str]:
        """Return a list of names; in the text form they are separated by commas."""
        return self._convert(key, _name_list, [], [])


def _request_class(reader: _SettingReader, prefix: str) -> RequestClass:
    deadline = reader.positive(prefix + "deadline-ns")
    return RequestClass(
        name=reader.text(prefix + "name", ""),
        objective_ns=reader.integer(prefix + "objective-ns", deadline),
        deadline_ns=deadline,
        priority_weight=reader.number(prefix + "points", 1.0),
        late_weight_fraction=reader.number(prefix + "late-value", 0.0),
        effect=reader.choice(prefix + "repeat", EFFECTS),
        scope=reader.choice(prefix + "key-scope", SCOPES, Scope.CELL),
        window_ns=reader.integer(prefix + "window-ns", 0),
        stream=reader.flag(prefix + "stream", False),
    )


def parse_settings(text: str) -> Settings:
    """Parse the text form of settings.

    Args:
        text: One line `path=value` for each setting; unknown settings are ignored.

    Raises:
        SettingError: Settings are missing or invalid; the message names all of them.
    """
    values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
    return _read(_SettingReader(values, typed=False))


def nested_settings(nested: object) -> Settings:
    """Parse the nested settings object in a sidecar's configuration.

    Raises:
        SettingError: Settings are missing or invalid; the message names all of them.
    """
    return _read(_nested_reader(nested))


def nested_transport(nested: object) -> Transport:
    """Parse the settings of connections and sockets in that object.

    Raises:
        SettingError: Settings are invalid; the message names all of them.
    """
    reader = _nested_reader(nested)
    transport = Transport(
        machine_types=reader.names("kinds"),
        connection_idle_timeout_ns=reader.integer("ceilings.conn-idle-ns", DEFAULT_CONNECTION_IDLE_NS),
        max_pending=reader.integer("ceilings.max-open", DEFAULT_MAX_OPEN),
    )
    reader.finish()
    return transport


def _nested_reader(nested: object) -> _SettingReader:
    if not isinstance(nested, dict):
        problem = "settings are no object"
        raise SettingError(problem)
    values: dict[str, object] = {}
    _flatten("", nested, values)
    return _SettingReader(values, typed=True)


def _flatten(path: str, value: object, values: dict[str, object]) -> None:
    """Store each value of the nested form under its path in the text form."""
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(f"{path}.{key}" if path else key, inner, values)
    elif isinstance(value, list) and value and all(isinstance(inner, dict) for inner in value):
        values[f"{path}.count"] = len(value)
        for number, inner in enumerate(value):
            _flatten(f"{path}.{number}", inner, values)
    else:
        values[path] = value


def _read(reader: _SettingReader) -> Settings:
    settings = _balancer_settings(reader)
    names = [spec.name for spec in settings.classes if spec.name]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    reader.problems += [f"class {name!r} comes twice" for name in duplicates]
    if settings.zones and not 0 <= settings.zone < len(settings.zones):
        reader.problems.append(f"setting my-zone is unreadable: {settings.zone}")
    reader.finish()
    return settings


def _tenants(reader: _SettingReader) -> list[Tenant]:
    return [
        Tenant(
            name=reader.text(f"accounts.{n}.name", ""),
            share=reader.number(f"accounts.{n}.share", 0.0),
            quota_per_s=reader.number(f"accounts.{n}.allowance-per-s", 0.0),
        )
        for n in range(reader.integer("accounts.count", 0))
    ]


def _balancer_settings(reader: _SettingReader) -> Settings:
    count = reader.positive("classes.count")
    tenants = _tenants(reader)
    has_reports = reader.text("telemetry.how", "silent") != "silent"
    columns = tuple(canonical_column(name) for name in reader.names("telemetry.columns"))
    return Settings(
        classes=[_request_class(reader, f"classes.{n}.") for n in range(count)],
        zones=reader.names("dcs"),
        zone=reader.integer("my-zone", 0),
        tenants=tenants,
        over_quota_weight_fraction=reader.number("over-share-worth", 1.0),
        weight_per_work=reader.text("worth-by", "request") == "work",
        index=reader.integer("index", 0),
        fleet_size=reader.integer("fleet-size", 1),
        tick_ns=reader.integer("tick-ns", DEFAULT_TICK_NS),
        poll_required=reader.text("discovery", "push") == "ask",
        max_poll_interval_ns=reader.integer("rules.must-ask-in-ns", DEFAULT_MAX_POLL_INTERVAL_NS),
        drain_grace_ns=reader.integer("rules.drain-grace-ns", 0),
        answer_slack_ns=reader.integer("rules.answer-slack-ns", 0),
        start_capacity=reader.number("rules.start-capacity", 1.0),
        warm_within_ns=reader.integer("rules.warm-within-ns", 0),
        overload_factor=reader.number("rules.overload-factor", 3.0),
        overload_for_ns=reader.integer("rules.overload-for-ns", DEFAULT_OVERLOAD_FOR_NS),
        max_attempts=reader.positive("ceilings.send-cap"),
        can_hedge=reader.flag("ceilings.second-copies", False),
        can_cancel=reader.flag("ceilings.cancel", False),
        can_probe=reader.flag("ceilings.probing", False),
        can_message_peers=reader.flag("ceilings.peers", False),
        retry_after=reader.flag("ceilings.retry-after", False),
        max_retry_after_ns=reader.integer("ceilings.max-retry-after-ns", 0),
        connect_timeout_ns=reader.integer("ceilings.connect-timeout-ns", 0),
        report_columns=columns if has_reports else (),
        weighted=reader.text("weight-source", "silent") != "silent",
        goal_worst_class=reader.number("goal.worst-class", 0.0),
        price_cross_zone=reader.number("prices.cross-zone", 0.0),
        price_waste=reader.number("prices.waste", 0.0),
        price_probe=reader.number("prices.probe", 0.0),
        price_peer=reader.number("prices.peer", 0.0),
    )
