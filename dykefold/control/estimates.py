"""What the decision module believes, as plain values that a newer process can begin with.

No decisions: names of attributes, and the checks that what is read is of their kind. Numbers of servers,
classes and kinds differ between processes, so all is written by name. Times are on the clock of the process
that writes; whoever reads them says how far that is from its own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from ..logic import Balancer, Group
from ..net.discovery import Names

WHOLE = (
    "bound_at", "cut_at", "demand", "demand_at", "good", "inflight_lately", "limit", "limit_at", "mean_rel",
    "press_count", "press_sum", "pressed", "pressed_at", "pressure", "rate", "rate_at", "retry_tokens",
    "wanted_inflight",
)  # fmt: skip
BEGAN = ("began", "born")  # when it did: 0 before
WORK = ("base", "deviation", "seen", "share", "try_span", "try_votes", "usual", "usual_at")
SERVER = (
    "cold_at", "cold_tokens", "ejected", "ejections", "heard", "last_ok", "load", "load_at", "rel", "samples",
    "strikes", "trial_at", "turned", "unit",
)  # fmt: skip
GROUP = ("lean", "load", "rel", "reports", "samples", "unit")
TIMES = frozenset((
    "began", "born", "bound_at", "cold_at", "cut_at", "demand_at", "heard", "last_ok", "limit_at",
    "load_at", "pressed_at", "rate_at", "trial_at", "usual_at",
))  # fmt: skip

Values = dict[str, Any]


def snapshot(balancer: Balancer, names: Names) -> Values:
    """All that is believed of servers, classes and the load, for `restore`."""
    servers = {number: name for name, number in names.servers.items()}
    kinds = {number: name for name, number in names.kinds.items()}
    return {
        "whole": _values(balancer, (*WHOLE, *BEGAN)),
        "asks": list(balancer.asks),
        "classes": {work.spec.name: _values(work, WORK) for work in balancer.live},
        "servers": {
            servers[server.id]: {"started": server.started, **_values(server, SERVER)}
            for server in balancer.servers.values()
            if server.id in servers and server.listed
        },
        "groups": [
            {"kind": kinds.get(kind, ""), "far": far, **_values(group, GROUP)}
            for (kind, far), group in balancer.groups.items()
        ],
    }


def restore(balancer: Balancer, names: Names, values: object, shift_ns: int = 0) -> bool:
    """Have a module that has just begun believe this, of what it knows by name; False if it can't be used.

    A server that has started again since is not what was believed of it.

    Args:
        shift_ns: from the clock of the process that wrote this to the clock of this one.
    """
    if not isinstance(values, dict) or not _usable(values):
        return False
    _shift(values, shift_ns)
    _set(balancer, (*WHOLE, *BEGAN), values["whole"])
    if len(values["asks"]) == len(balancer.asks):
        balancer.asks = [float(ask) for ask in values["asks"]]
    for work in balancer.live:
        _set(work, WORK, values["classes"].get(work.spec.name))
    for name, known in values["servers"].items():
        server = balancer.servers.get(names.servers.get(name, -1))
        if server is not None and known.get("started") == server.started:
            _set(server, SERVER, known)
    for known in values["groups"]:
        if known.get("kind") in names.kinds:
            group = balancer.groups.setdefault((names.kinds[known["kind"]], bool(known.get("far"))), Group())
            _set(group, GROUP, known)
    balancer.regroup()
    return True


def _values(of: object, names: Iterable[str]) -> Values:
    return {name: getattr(of, name) for name in names}


def _set(of: object, names: Iterable[str], values: Mapping[str, Any] | None) -> None:
    if values is None:
        return
    for name in names:
        if name in values:
            setattr(of, name, values[name])


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
