"""Snapshots of a balancer's estimates, as plain values that a newer process can restore.

This module makes no decisions: it maps attributes to stored keys, and checks the values that it reads.
Numbers of endpoints, classes and machine types differ between processes, so a snapshot has their names. Times
are on the clock of the process that wrote the snapshot, and the reader gives the shift to its own clock.
Stored keys are an interface to other versions of the program, so they stay when attributes are renamed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

from ..balancer.balancer import Balancer
from ..balancer.endpoints import EndpointGroup
from ..net.discovery.codec import NameTable

Values = dict[str, Any]


@dataclass(frozen=True, slots=True)
class StoredField:
    """One stored value.

    Attributes:
        key: Stored key.
        attribute: Path of the attribute from the owner, such as `limit.limit_after_cut`.
        is_time: Whether the value is a time on the clock of the process, in nanoseconds; 0 stands for never.
    """

    key: str
    attribute: str
    is_time: bool = False

    def get(self, owner: object) -> object:
        """Return the value of an owner's attribute."""
        value: object = attrgetter(self.attribute)(owner)
        return value

    def set(self, owner: object, value: object) -> None:
        """Set the attribute of an owner."""
        part, _, name = self.attribute.rpartition(".")
        setattr(attrgetter(part)(owner) if part else owner, name, value)


# Of the whole balancer.
BALANCER_FIELDS = (
    StoredField("bound_at", "limit.rejected_ns", is_time=True),
    StoredField("cut_at", "congestion.cut_ns", is_time=True),
    StoredField("demand", "endpoints.demand"),
    StoredField("demand_at", "endpoints.demand_ns", is_time=True),
    StoredField("good", "limit.limit_after_cut"),
    StoredField("inflight_lately", "limit.peak_in_flight"),
    StoredField("limit", "limit.limit"),
    StoredField("limit_at", "limit.corrected_ns", is_time=True),
    StoredField("mean_rel", "group_weights.mean_relative_latency"),
    StoredField("press_count", "congestion.weight"),
    StoredField("press_sum", "congestion.total"),
    StoredField("pressed", "limit.cutting"),
    StoredField("pressed_at", "congestion.updated_ns", is_time=True),
    StoredField("pressure", "congestion.level"),
    StoredField("rate", "throughput.answers_per_s"),
    StoredField("rate_at", "throughput.updated_ns", is_time=True),
    StoredField("retry_tokens", "retries.budget"),
    StoredField("wanted_inflight", "limit.wanted_in_flight"),
    StoredField("began", "endpoints.first_request_ns", is_time=True),
    StoredField("born", "limit.started_ns", is_time=True),
)
# Of one request class: `ClassStats`.
CLASS_FIELDS = (
    StoredField("base", "mean_latency_ns"),
    StoredField("deviation", "latency_deviation_ns"),
    StoredField("seen", "answers"),
    StoredField("share", "limit_fraction"),
    StoredField("try_span", "first_timeout_ns"),
    StoredField("try_votes", "first_timeout_votes"),
    StoredField("usual", "typical_latency_ns"),
    StoredField("usual_at", "typical_updated_ns", is_time=True),
)
# Of one endpoint: `EndpointState`.
ENDPOINT_FIELDS = (
    StoredField("cold_at", "slow_start_refilled_ns", is_time=True),
    StoredField("cold_room", "slow_start_ceiling_tokens"),
    StoredField("cold_tokens", "slow_start_tokens"),
    StoredField("ejected", "ejected"),
    StoredField("ejections", "ejections"),
    StoredField("heard", "last_sample_ns", is_time=True),
    StoredField("last_ok", "last_alive_ns", is_time=True),
    StoredField("load", "reported_load"),
    StoredField("load_at", "load_reported_ns", is_time=True),
    StoredField("ramp_from", "slow_start_began_ns", is_time=True),
    StoredField("rel", "relative_latency"),
    StoredField("samples", "samples"),
    StoredField("strikes", "failure_score"),
    StoredField("trial_at", "probation_ns", is_time=True),
    StoredField("turned", "consecutive_rejections"),
    StoredField("unit", "latency_per_request"),
)
# Of one endpoint group: `EndpointGroup`.
GROUP_FIELDS = (
    StoredField("lean", "log_weight"),
    StoredField("load", "mean_load"),
    StoredField("rel", "relative_latency"),
    StoredField("reports", "reports"),
    StoredField("samples", "samples"),
    StoredField("unit", "latency_per_request"),
)


def snapshot(balancer: Balancer, names: NameTable) -> Values:
    """Return the estimates of endpoints, classes and load in the form that `restore` reads."""
    endpoint_names = {number: name for name, number in names.endpoints.items()}
    type_names = {number: name for name, number in names.machine_types.items()}
    return {
        "whole": _values(balancer, BALANCER_FIELDS),
        "asks": list(balancer.quotas.rates),
        "classes": {stats.spec.name: _values(stats, CLASS_FIELDS) for stats in balancer.live_classes},
        "servers": {
            endpoint_names[endpoint.id]: {
                "started": endpoint.started_ns,
                **_values(endpoint, ENDPOINT_FIELDS),
            }
            for endpoint in balancer.known_endpoints.values()
            if endpoint.id in endpoint_names and endpoint.listed
        },
        "groups": [
            {"kind": type_names.get(machine_type, ""), "far": far, **_values(group, GROUP_FIELDS)}
            for (machine_type, far), group in balancer.endpoints.groups.items()
        ],
    }


def restore(balancer: Balancer, names: NameTable, values: object, shift_ns: int = 0) -> bool:
    """Restore the estimates of a snapshot for the names that a balancer knows.

    Estimates of an endpoint that has restarted since are not restored.

    Args:
        balancer: Balancer of a process that has just started.
        names: Numbers of the endpoints and machine types of the balancer by name.
        values: Result of `snapshot`, as another process stored it.
        shift_ns: Shift from the clock of that process to the clock of this one, in nanoseconds.

    Returns:
        Whether the snapshot was usable; an unusable one changes nothing.
    """
    if not isinstance(values, dict) or not _is_usable(values):
        return False
    _shift_times(values, shift_ns)
    _set(balancer, BALANCER_FIELDS, values["whole"])
    if len(values["asks"]) == len(balancer.quotas.rates):
        balancer.quotas.rates = [float(rate) for rate in values["asks"]]
    for stats in balancer.live_classes:
        _set(stats, CLASS_FIELDS, values["classes"].get(stats.spec.name))
    for name, stored in values["servers"].items():
        endpoint = balancer.known_endpoints.get(names.endpoints[name]) if name in names.endpoints else None
        if endpoint is not None and stored.get("started") == endpoint.started_ns:
            _set(endpoint, ENDPOINT_FIELDS, stored)
    for stored in values["groups"]:
        if stored.get("kind") in names.machine_types:
            key = (names.machine_types[stored["kind"]], bool(stored.get("far")))
            _set(balancer.endpoints.groups.setdefault(key, EndpointGroup()), GROUP_FIELDS, stored)
    balancer.rebuild_endpoint_lists()
    return True


def _values(owner: object, fields: Iterable[StoredField]) -> Values:
    return {field.key: field.get(owner) for field in fields}


def _set(owner: object, fields: Iterable[StoredField], values: Mapping[str, Any] | None) -> None:
    if values is None:
        return
    for field in fields:
        if field.key in values:
            field.set(owner, values[field.key])


def _shift_times(values: Values, shift_ns: int) -> None:
    """Shift all times by nanoseconds, except 0, which stands for never."""
    _shift(values["whole"], BALANCER_FIELDS, shift_ns)
    for stored in values["classes"].values():
        _shift(stored, CLASS_FIELDS, shift_ns)
    for stored in values["servers"].values():
        _shift(stored, ENDPOINT_FIELDS, shift_ns)


def _shift(values: Values, fields: Iterable[StoredField], shift_ns: int) -> None:
    for field in fields:
        if field.is_time and values.get(field.key):
            values[field.key] += shift_ns


def _is_usable(values: Values) -> bool:
    """Whether values have the form of a snapshot, and all of its numbers are finite."""
    try:
        numbers_usable = all(_is_number(number) for number in _numbers(values))
        type_names = [group.get("kind") for group in values["groups"]]
        return numbers_usable and all(isinstance(name, str) for name in type_names)
    except (KeyError, AttributeError, TypeError):
        return False


def _numbers(values: Values) -> Iterator[object]:
    """Yield all values that must be numbers."""
    tables = [values["whole"], *values["classes"].values(), *values["servers"].values(), *values["groups"]]
    for table in tables:
        yield from (value for key, value in table.items() if key != "kind")
    yield from values["asks"]


def _is_number(value: object) -> bool:
    return isinstance(value, bool | int | float) and math.isfinite(value)
