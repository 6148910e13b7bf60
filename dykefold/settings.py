"""The settings: one reading of both forms, the path=value text and the nested object."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from .balancer.settings import Effect, RequestClass, Scope, Settings, Tenant

EFFECTS = {"pure": Effect.SAFE, "token": Effect.KEYED, "side_effect": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
REPORTS = {
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
    """Settings are missing or unreadable; the text names each of them."""


@dataclass(slots=True)
class Transport:
    """What the sockets go by, and the balancer need not know.

    Attributes:
        kinds: names of the machine types.
        conn_idle_ns: idle timeout of connections to servers, in nanoseconds.
        max_open: requests that may be pending at once.
    """

    kinds: list[str]
    conn_idle_ns: int
    max_open: int


def canonical_column(name: str) -> str:
    """Return the name that the balancer knows a field of load reports by."""
    return REPORTS.get(name, name)


def _name_list(raw: object) -> list[str]:
    values = raw if isinstance(raw, list) else str(raw).split(",")
    return [str(name) for name in values if name != ""]


class _Pairs:
    """Settings by their path. What is wrong is collected, with its path, and read as a harmless value.

    Args:
        values: by path.
        typed: numbers come as such, and a text that looks like one is none.
    """

    def __init__(self, values: Mapping[str, object], typed: bool) -> None:
        self.values = values
        self.numeric: tuple[type, ...] = (int, float) if typed else (int, float, str)
        self.problems: list[str] = []

    def finish(self) -> None:
        """Raise SettingError if anything was wrong."""
        if self.problems:
            raise SettingError("; ".join(self.problems))

    def _convert(
        self, key: str, convert: Callable[[Any], _Value], default: _Value | None, harmless: _Value
    ) -> _Value:
        raw = self.values.get(key)
        if raw is None:
            if default is None:
                self.problems.append(f"setting {key} is missing")
                return harmless
            return default
        try:
            return convert(raw)
        except (ValueError, KeyError, TypeError, OverflowError):
            self.problems.append(f"setting {key} is unreadable: {raw!r}")
            return harmless

    def _finite(self, raw: object) -> float:
        if isinstance(raw, bool) or not isinstance(raw, self.numeric):
            raise TypeError(raw)
        value = float(raw)  # type: ignore[arg-type]  # of a type in `numeric`
        if not math.isfinite(value):
            raise ValueError(raw)
        return value

    def _above_zero(self, raw: object) -> int:
        value = int(self._finite(raw))
        if value < 1:
            raise ValueError(raw)
        return value

    # Each of these reads one setting; without a default it must be there.

    def text(self, key: str, default: str | None = None) -> str:
        return self._convert(key, str, default, "")

    def whole(self, key: str, default: int | None = None) -> int:
        return self._convert(key, lambda raw: int(self._finite(raw)), default, 1)

    def positive(self, key: str) -> int:
        """A whole number above 0, which must be there."""
        return self._convert(key, self._above_zero, None, 1)

    def number(self, key: str, default: float | None = None) -> float:
        return self._convert(key, self._finite, default, 1.0)

    def flag(self, key: str, default: bool | None = None) -> bool:
        flags: dict[object, bool] = {"true": True, "false": False, True: True, False: False}
        return self._convert(key, flags.__getitem__, default, False)

    def choice(self, key: str, choices: Mapping[str, _Value], default: _Value | None = None) -> _Value:
        return self._convert(key, choices.__getitem__, default, next(iter(choices.values())))

    def names(self, key: str) -> list[str]:
        """A list of plain values; the text form joins it with commas, the nested one has it as it is."""
        return self._convert(key, _name_list, [], [])


def _request_class(pairs: _Pairs, at: str) -> RequestClass:
    deadline = pairs.positive(at + "deadline-ns")
    return RequestClass(
        name=pairs.text(at + "name", ""),
        objective_ns=pairs.whole(at + "objective-ns", deadline),
        deadline_ns=deadline,
        priority_weight=pairs.number(at + "points", 1.0),
        late_weight_fraction=pairs.number(at + "late-value", 0.0),
        effect=pairs.choice(at + "repeat", EFFECTS),
        scope=pairs.choice(at + "key-scope", SCOPES, Scope.CELL),
        window_ns=pairs.whole(at + "window-ns", 0),
        stream=pairs.flag(at + "stream", False),
    )


def parse_settings(text: str) -> Settings:
    """Read the settings from their text form.

    Args:
        text: a line `path=value` for each setting; unknown ones are skipped.

    Raises:
        SettingError: with each setting that is missing or unreadable.
    """
    return _read(_Pairs(dict(line.split("=", 1) for line in text.splitlines() if "=" in line), typed=False))


def nested_settings(nested: object) -> Settings:
    """Read the same settings from the nested object of a sidecar's configuration.

    Raises:
        SettingError: with each setting that is missing or unreadable.
    """
    return _read(_pairs_of(nested))


def nested_transport(nested: object) -> Transport:
    """Read from that object what the sockets go by.

    Raises:
        SettingError: with each setting that is unreadable.
    """
    pairs = _pairs_of(nested)
    transport = Transport(
        kinds=pairs.names("kinds"),
        conn_idle_ns=pairs.whole("ceilings.conn-idle-ns", DEFAULT_CONNECTION_IDLE_NS),
        max_open=pairs.whole("ceilings.max-open", DEFAULT_MAX_OPEN),
    )
    pairs.finish()
    return transport


def _pairs_of(nested: object) -> _Pairs:
    if not isinstance(nested, dict):
        problem = "settings are no object"
        raise SettingError(problem)
    values: dict[str, object] = {}
    _flatten("", nested, values)
    return _Pairs(values, typed=True)


def _flatten(at: str, value: object, into: dict[str, object]) -> None:
    """Give each value of the nested form the path that it has in the text form."""
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(f"{at}.{key}" if at else key, inner, into)
    elif isinstance(value, list) and value and all(isinstance(inner, dict) for inner in value):
        into[f"{at}.count"] = len(value)
        for number, inner in enumerate(value):
            _flatten(f"{at}.{number}", inner, into)
    else:
        into[at] = value


def _read(pairs: _Pairs) -> Settings:
    settings = _balancer_settings(pairs)
    names = [spec.name for spec in settings.classes if spec.name]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    pairs.problems += [f"class {name!r} comes twice" for name in duplicates]
    if settings.zones and not 0 <= settings.zone < len(settings.zones):
        pairs.problems.append(f"setting my-zone is unreadable: {settings.zone}")
    pairs.finish()
    return settings


def _tenants(pairs: _Pairs) -> list[Tenant]:
    return [
        Tenant(
            name=pairs.text(f"accounts.{n}.name", ""),
            share=pairs.number(f"accounts.{n}.share", 0.0),
            quota_per_s=pairs.number(f"accounts.{n}.allowance-per-s", 0.0),
        )
        for n in range(pairs.whole("accounts.count", 0))
    ]


def _balancer_settings(pairs: _Pairs) -> Settings:
    count = pairs.positive("classes.count")
    tenants = _tenants(pairs)
    reports = pairs.text("telemetry.how", "silent") != "silent"
    columns = tuple(canonical_column(name) for name in pairs.names("telemetry.columns"))
    return Settings(
        classes=[_request_class(pairs, f"classes.{n}.") for n in range(count)],
        zones=pairs.names("dcs"),
        zone=pairs.whole("my-zone", 0),
        tenants=tenants,
        over_quota_weight_fraction=pairs.number("over-share-worth", 1.0),
        weight_per_work=pairs.text("worth-by", "request") == "work",
        index=pairs.whole("index", 0),
        fleet_size=pairs.whole("fleet-size", 1),
        tick_ns=pairs.whole("tick-ns", DEFAULT_TICK_NS),
        poll_required=pairs.text("discovery", "push") == "ask",
        max_poll_interval_ns=pairs.whole("rules.must-ask-in-ns", DEFAULT_MAX_POLL_INTERVAL_NS),
        drain_grace_ns=pairs.whole("rules.drain-grace-ns", 0),
        answer_slack_ns=pairs.whole("rules.answer-slack-ns", 0),
        start_capacity=pairs.number("rules.start-capacity", 1.0),
        warm_within_ns=pairs.whole("rules.warm-within-ns", 0),
        overload_factor=pairs.number("rules.overload-factor", 3.0),
        overload_for_ns=pairs.whole("rules.overload-for-ns", DEFAULT_OVERLOAD_FOR_NS),
        max_attempts=pairs.positive("ceilings.send-cap"),
        can_hedge=pairs.flag("ceilings.second-copies", False),
        can_cancel=pairs.flag("ceilings.cancel", False),
        can_probe=pairs.flag("ceilings.probing", False),
        can_message_peers=pairs.flag("ceilings.peers", False),
        retry_after=pairs.flag("ceilings.retry-after", False),
        max_retry_after_ns=pairs.whole("ceilings.max-retry-after-ns", 0),
        connect_timeout_ns=pairs.whole("ceilings.connect-timeout-ns", 0),
        report_columns=columns if reports else (),
        weighted=pairs.text("weight-source", "silent") != "silent",
        goal_worst_class=pairs.number("goal.worst-class", 0.0),
        price_cross_zone=pairs.number("prices.cross-zone", 0.0),
        price_waste=pairs.number("prices.waste", 0.0),
        price_probe=pairs.number("prices.probe", 0.0),
        price_peer=pairs.number("prices.peer", 0.0),
    )
