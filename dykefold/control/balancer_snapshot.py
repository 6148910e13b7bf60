"""What the decision module believes, as plain values that a newer process can begin with.

No decisions: names of attributes, and the checks that what is read is of their kind. Numbers of servers,
classes and kinds differ between processes, so all is written by name. Times are on the clock of the process
that writes; whoever reads them says how far that is from its own.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from operator import attrgetter
from typing import Any

from ..balancer.balancer import Balancer
from ..balancer.endpoints import EndpointGroup
from ..net.discovery.client import NameTable

# Stored key: the attribute that holds it, with the part of the balancer that owns it.
WHOLE = {
    "bound_at": "limit.rejected_ns",
    "cut_at": "congestion.cut_ns",
    "demand": "endpoints.demand",
    "demand_at": "endpoints.demand_ns",
    "good": "limit.good",
    "inflight_lately": "limit.peak_in_flight",
    "limit": "limit.limit",
    "limit_at": "limit.corrected_ns",
    "mean_rel": "group_weights.mean_latency",
    "press_count": "congestion.weight",
    "press_sum": "congestion.total",
    "pressed": "limit.cutting",
    "pressed_at": "congestion.updated_ns",
    "pressure": "congestion.level",
    "rate": "throughput.answers_per_s",
    "rate_at": "throughput.updated_ns",
    "retry_tokens": "retries.budget",
    "wanted_inflight": "limit.wanted_in_flight",
}
BEGAN = {"began": "endpoints.first_request_ns", "born": "limit.started_ns"}  # when it did: 0 before
WORK = {
    "base": "mean_latency_ns",
    "deviation": "latency_deviation_ns",
    "seen": "answers",
    "share": "limit_fraction",
    "try_span": "first_timeout_ns",
    "try_votes": "first_timeout_votes",
    "usual": "typical_latency_ns",
    "usual_at": "typical_updated_ns",
}
SERVER = {
    "cold_at": "slow_start_ns",
    "cold_room": "slow_start_room",
    "cold_tokens": "slow_start_tokens",
    "ejected": "ejected",
    "ejections": "ejections",
    "heard": "last_sample_ns",
    "last_ok": "last_alive_ns",
    "load": "reported_load",
    "load_at": "load_reported_ns",
    "ramp_from": "ramp_from_ns",
    "rel": "relative_latency",
    "samples": "samples",
    "strikes": "failure_score",
    "trial_at": "probation_ns",
    "turned": "consecutive_rejections",
    "unit": "latency_per_request",
}
GROUP = {
    "lean": "log_weight",
    "load": "mean_load",
    "rel": "relative_latency",
    "reports": "reports",
    "samples": "samples",
    "unit": "latency_per_request",
}
TIMES = frozenset((
    "began", "born", "bound_at", "cold_at", "cut_at", "demand_at", "heard", "last_ok", "limit_at",
    "load_at", "pressed_at", "ramp_from", "rate_at", "trial_at", "usual_at",
))  # fmt: skip

Values = dict[str, Any]


def snapshot(balancer: Balancer, names: NameTable) -> Values:
    """All that is believed of servers, classes and the load, for `restore`."""
    servers = {number: name for name, number in names.servers.items()}
    kinds = {number: name for name, number in names.kinds.items()}
    return {
        "whole": _values(balancer, WHOLE | BEGAN),
        "asks": list(balancer.quotas.rates),
        "classes": {work.spec.name: _values(work, WORK) for work in balancer.live_classes},
        "servers": {
            servers[server.id]: {"started": server.started_ns, **_values(server, SERVER)}
            for server in balancer.servers.values()
            if server.id in servers and server.listed
        },
        "groups": [
            {"kind": kinds.get(kind, ""), "far": far, **_values(group, GROUP)}
            for (kind, far), group in balancer.endpoints.groups.items()
        ],
    }


def restore(balancer: Balancer, names: NameTable, values: object, shift_ns: int = 0) -> bool:
    """Have a module that has just begun believe this, of what it knows by name; False if it can't be used.

    A server that has started again since is not what was believed of it.

    Args:
        shift_ns: from the clock of the process that wrote this to the clock of this one.
    """
    if not isinstance(values, dict) or not _usable(values):
        return False
    _shift(values, shift_ns)
    _set(balancer, WHOLE | BEGAN, values["whole"])
    if len(values["asks"]) == len(balancer.quotas.rates):
        balancer.quotas.rates = [float(ask) for ask in values["asks"]]
    for work in balancer.live_classes:
        _set(work, WORK, values["classes"].get(work.spec.name))
    for name, known in values["servers"].items():
        server = balancer.servers.get(names.servers.get(name, -1))
        if server is not None and known.get("started") == server.started_ns:
            _set(server, SERVER, known)
    for known in values["groups"]:
        if known.get("kind") in names.kinds:
            group = balancer.endpoints.groups.setdefault(
                (names.kinds[known["kind"]], bool(known.get("far"))), EndpointGroup()
            )
            _set(group, GROUP, known)
    balancer.regroup()
    return True


def _values(of: object, attributes: Mapping[str, str]) -> Values:
    return {key: attrgetter(attribute)(of) for key, attribute in attributes.items()}


def _set(of: object, attributes: Mapping[str, str], values: Mapping[str, Any] | None) -> None:
    if values is None:
        return
    for key, attribute in attributes.items():
        if key in values:
            owner, _, name = attribute.rpartition(".")
            setattr(attrgetter(owner)(of) if owner else of, name, values[key])


def _shift(values: Values, shift_ns: int) -> None:
    """Move all times; 0 stands for never, and stays."""
    for part in (values["whole"], *values["classes"].values(), *values["servers"].values()):
        for name in TIMES & part.keys():
            if part[name]:
                part[name] += shift_ns


def _usable(values: Values) -> bool:
    """Whether it has the form of a snapshot, and no value that could spoil what is counted with it."""
    try:
        parts = [values["whole"], *values["classes"].values(), *values["servers"].values(), *values["groups"]]
        numbers = [n for part in parts for key, n in part.items() if key != "kind"]
        kinds = [group.get("kind") for group in values["groups"]]
        return all(_number(n) for n in [*numbers, *values["asks"]]) and all(isinstance(k, str) for k in kinds)
    except (KeyError, AttributeError, TypeError):
        return False


def _number(value: object) -> bool:
    return isinstance(value, bool | int | float) and math.isfinite(value)
