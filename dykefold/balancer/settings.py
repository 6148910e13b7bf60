"""Settings of a balancer: request classes, tenants, and what the site allows and charges.

Durations are integer nanoseconds. Class, tenant, zone and kind are positions in the lists of `Settings`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """Whether a request is idempotent."""

    SAFE = 0  # any number of times
    KEYED = 1  # by an idempotency key, within a group of endpoints and for a while
    UNSAFE = 2  # never twice


class Scope(IntEnum):
    """Which endpoints drop a repeated idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: unique; estimates go on under it when settings change.
        objective_ns: latency objective, from the client's first attempt.
        deadline_ns: when the client gives up, from its first attempt.
        priority_weight: priority weight of an answer within the objective.
        late_weight_fraction: part of it that a later answer is worth.
        effect: whether a request may run more than once.
        scope: which endpoints drop a repeated key.
        window_ns: how long they know a key.
        stream: whether answers flow for long.
    """

    name: str
    objective_ns: int
    deadline_ns: int
    priority_weight: float
    late_weight_fraction: float
    effect: Effect
    scope: Scope = Scope.ALL
    window_ns: int = 0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota.

    Attributes:
        name: unique.
        share: part of the whole.
        quota_per_s: first attempts a second over all sidecars together; 0: no quota.
    """

    name: str
    share: float
    quota_per_s: float


@dataclass(slots=True)
class Settings:
    """What holds for a balancer until a `Retune` event.

    Attributes:
        classes: request classes, by number.
        zones: names of zones, by number.
        zone: the own one.
        tenants: by number.
        over_quota_weight_fraction: part of its worth that a request over quota counts.
        weight_per_work: whether worth is meant for each unit of work rather than each request.
        index: number of this sidecar.
        fleet_size: sidecars, where there is no fleet view.
        tick_ns: resolution of the caller's time.
        poll_required: whether discovery answers only when polled.
        max_poll_interval_ns: time within which a sidecar must poll.
        drain_grace_ns: time in which a draining endpoint may still get requests.
        answer_slack_ns: time after a deadline in which an answer still counts.
        start_capacity: part of its capacity that an endpoint has when it starts.
        warm_within_ns: time until it has all of it.
        overload_factor: load, in capacities, that is fatal to a cold endpoint.
        overload_for_ns: how long that load has to last.
        max_attempts: of one request.
        can_hedge: whether hedged requests are allowed.
        can_cancel: whether an attempt can be cancelled.
        can_probe: whether health checks can be sent.
        can_message_peers: whether messages to peers can be sent.
        retry_after: whether a rejection may carry advice when to retry.
        max_retry_after_ns: the longest such advice.
        connect_timeout_ns: of a connection attempt; 0: none.
        report_columns: names of the columns of load reports.
        weighted: whether listed weights mean anything.
        goal_worst_class: weight of the worst-served class in what the service is judged by.
        price_cross_zone: of a request to another zone, against the worth of one request.
        price_waste: of work done for nothing.
        price_probe: of a health check.
        price_peer: of a message to a peer.
    """

    classes: list[RequestClass]
    zones: list[str]
    zone: int = 0
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight_fraction: float = 1.0
    weight_per_work: bool = False
    index: int = 0
    fleet_size: int = 1
    tick_ns: int = 5_000_000
    poll_required: bool = False
    max_poll_interval_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    answer_slack_ns: int = 0
    start_capacity: float = 1.0
    warm_within_ns: int = 0
    overload_factor: float = 3.0
    overload_for_ns: int = 3_000_000_000
    max_attempts: int = 1
    can_hedge: bool = False
    can_cancel: bool = False
    can_probe: bool = False
    can_message_peers: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    report_columns: tuple[str, ...] = ()
    weighted: bool = False
    goal_worst_class: float = 0.0
    price_cross_zone: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_peer: float = 0.0
