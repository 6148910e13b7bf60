"""One balanced service: wires its parts, passes events to the balancer, and carries out its actions.

A pool depends on neither a listener nor client sockets: a `ResponseSink` stands for the client's connection,
and a `PoolHost` provides what the process shares. A pool can therefore be created without a server, and a
process can have several pools.

The path of a request: `PendingRequests.accept` -> `Balancer` -> `AttemptRunner.start` -> `ConnectionPool` ->
`AttemptRunner.end` -> `PendingRequests.forward`. The balancer is notified of the end of each attempt.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from ...balancer.actions import (
    Cancel,
    CloseIdle,
    Fail,
    Fetch,
    Log,
    Probe,
    Reject,
    ReportEndpointHealth,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from ...balancer.balancer import Balancer
from ...balancer.events import Event, ListKind, PeerMessage, SettingsChanged, Status, Timer
from ...balancer.latency import LEARNING_ANSWERS
from ...balancer.settings import Settings
from ...settings import Transport
from ..clock import NS_PER_MS, NS_PER_S
from ..discovery.client import DiscoveryClient, DiscoveryOrigin
from ..discovery.codec import EndpointRecord, EndpointUpdate
from ..downstream.request_parser import ParsedRequest
from ..peers import Address
from ..start_times import StartTimes
from ..upstream.connection_pool import ConnectionPool
from ..upstream.connector import MAX_LOOP_LAG_S
from ..upstream.limits import ConnectionLimits
from .attempt import Attempt, AttemptsInFlight
from .attempts import AttemptRunner
from .endpoint_registry import EndpointRegistry
from .http_encoding import encode_request
from .load_reports import LoadReportParser
from .maintenance import Maintenance, MaintenanceOrder
from .pending_request import PendingRequest
from .pending_requests import PendingRequests
from .pool_config import PoolConfig
from .protocols import DescriptorReservations, PoolHost

log = logging.getLogger("dykefold")

# The shortest delay after which uvloop runs a timer once the sockets are read; one of 0 s would run before.
NEXT_ITERATION_DELAY_S = 0.001
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Pool:
    """The endpoints, connections and pending requests of one service, and the balancer that decides on them.

    Args:
        process: What all pools of the process share.
        config: Initial settings, endpoints and random seed.
        budget: Descriptors that the pool may reserve; None for all descriptors of the process.
        close_in_other_pools: Callback that closes an unneeded connection of another pool, and returns whether
            there was one.

    Attributes:
        label: Name of the pool in this process, and in its successor after a hot restart.
        version: Version of the latest endpoint list, as discovery counts.
        closed: Whether the pool has closed its sockets.
        retiring: Whether the pool closes as soon as nothing is pending or in flight.
        max_pending: Number of requests that may be pending at once.
        on_attempt_end: Callback for the end of each attempt. Its arguments are the endpoint's number, the
            status, the duration and the latency objective in nanoseconds.
        on_health_hint: Callback that notifies other sidecars of an endpoint's health. Its arguments are the
            endpoint's number and whether it answers.
        retired: Numbers of request classes that are no longer assigned to new requests.
    """

    encode_request = staticmethod(encode_request)

    def __init__(
        self,
        process: PoolHost,
        config: PoolConfig,
        budget: DescriptorReservations | None = None,
        close_in_other_pools: Callable[[], bool] | None = None,
    ) -> None:
        # At most 30 attributes: larger instances do not share their dict's keys, which makes look-ups slower.
        self.process = process
        self.label = config.label
        self.loop = process.loop
        self.monotonic = process.system.monotonic
        self.now = process.clock.now
        self.timer_wheel = process.timer_wheel
        self.budget: DescriptorReservations = budget if budget is not None else process.budget
        self.closed = False
        self.retiring = False
        self.on_retired: Callable[[Pool], None] | None = None  # None unless the pool is retiring
        self.on_attempt_end: Callable[[int, Status, int, int], None] | None = None
        self.on_health_hint: Callable[[int, bool], None] = lambda _endpoint_number, _answers: None
        self.events: deque[Event] = deque()
        self.handling_events = False
        self.max_pending = config.transport.max_pending
        self.names = config.names
        self.version = config.initial_endpoints.version
        self._set_settings(config.settings, frozenset())
        self.balancer = Balancer(config.settings, config.seed)
        self.connection_pool = self._connection_pool(config.transport, close_in_other_pools)
        self.discovery = self._discovery_client(config.discovery) if config.discovery is not None else None
        attempts = AttemptsInFlight()
        self.requests = PendingRequests(self, process, self.budget, attempts, self.connection_pool.withdraw)
        self.attempt_runner = AttemptRunner(self, self.requests, attempts, self.connection_pool)
        self.accept = self.requests.accept  # bound here to save each request a forwarding call
        self.endpoints = EndpointRegistry(self, process, config.names, self.balancer.known_endpoints)
        self.carry_out = self._action_handlers()
        self.endpoints.apply_list(config.initial_endpoints, ListKind.CACHED)
        if not config.settings.poll_required:
            self._watch(True)

    def _set_settings(self, settings: Settings, retired: frozenset[int]) -> None:
        self.settings, self.retired = settings, retired
        self.reports = LoadReportParser(settings.report_columns)

    def _connect_timeout_s(self) -> float:
        return self.settings.connect_timeout_ns / NS_PER_S or DEFAULT_CONNECT_TIMEOUT_S

    def _connection_pool(
        self, transport: Transport, close_in_other_pools: Callable[[], bool] | None
    ) -> ConnectionPool:
        process = self.process
        return ConnectionPool(
            process.loop,
            ConnectionLimits(
                process.budget.upstreams,
                process.memory,
                self._connect_timeout_s(),
                transport.connection_idle_timeout_ns / NS_PER_S,
            ),
            process.read_scheduler,
            process.timer_wheel,
            close_in_other_pools,
            process.system,
        )

    def _discovery_client(self, address: Address) -> DiscoveryClient:
        return DiscoveryClient(
            self.loop,
            DiscoveryOrigin(address, self.version, pushed=not self.settings.poll_required),
            self.names,
            self.on_update,
            self.process.system,
        )

    # Events and actions of the balancer

    def post(self, event: Event) -> None:
        """Pass an event to the balancer, after the events queued before it, and carry out the actions."""
        self.events.append(event)
        if self.handling_events:
            return
        self.handling_events = True
        carry_out = self.carry_out
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(self.now(), event)
                except Exception:
                    # The failure must not affect other requests; this one is answered at its deadline.
                    self.process.log_exception("balancer failed on an event")
                    actions = self.balancer.actions
                for action in actions:
                    try:
                        carry_out[type(action)](action)
                    except Exception:  # after a failed action the others are still carried out
                        self.process.log_exception("action of the balancer failed")
        finally:
            self.handling_events = False

    def _action_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each kind of action."""
        return {
            Send: self.attempt_runner.start,
            SetTimer: self._set_timer,
            Reject: self.requests.reject,
            Fail: self.requests.fail,
            Cancel: self.attempt_runner.cancel,
            Probe: self.endpoints.probe,
            CloseIdle: lambda action: self.connection_pool.close_idle(action.endpoint_number),
            SendToPeer: self._send_to_peer,
            ReportEndpointHealth: lambda action: self.on_health_hint(action.endpoint_number, action.answers),
            Watch: lambda action: self._watch(action.on),
            Fetch: lambda _: self.discovery.fetch() if self.discovery is not None else None,
            Log: lambda action: log.info(action.text),
        }

    def _set_timer(self, action: SetTimer) -> None:
        # The loop counts in whole milliseconds. Rounded up, since a timer that fires early has no effect.
        delay_s = -(-action.after_ns // NS_PER_MS) / 1000
        self.loop.call_later(delay_s, self._on_timer, action.token, self.monotonic() + delay_s)

    def _on_timer(self, token: int, due_s: float) -> None:
        """Post a timer event; if the loop is late, post it in the next iteration, after reads.

        Responses that wait in the sockets of a late loop would otherwise make endpoints look unresponsive.
        """
        if self.closed:
            return
        if self.monotonic() - due_s > MAX_LOOP_LAG_S:
            self.loop.call_later(NEXT_ITERATION_DELAY_S, self._on_timer, token, math.inf)
        else:
            self.post(Timer(token))

    def _watch(self, on: bool) -> None:
        if self.discovery is not None:
            self.discovery.watch(on)

    def _send_to_peer(self, action: SendToPeer) -> None:
        if self.process.peers is not None:
            self.process.peers.send(action.data, action.peer)

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """Pass a message from another sidecar to the balancer."""
        self.post(PeerMessage(sender, data))

    # Requests

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """Pending requests, by id."""
        return self.requests.by_id

    @property
    def attempts(self) -> dict[tuple[int, int], Attempt]:
        """Attempts in flight, by request id and attempt number; some may outlive their requests."""
        return self.attempt_runner.in_flight

    def drop_disconnected(self, parsed: ParsedRequest) -> bool:
        """End a request whose client has disconnected; return whether it was pending."""
        return self.requests.drop(parsed)

    def answer_all_pending(self) -> None:
        """Give each pending request its final answer immediately."""
        self.requests.answer_all()

    @property
    def next_id(self) -> int:
        """Id of the next request: the number of accepted requests, plus one."""
        return self.requests.next_id

    # Settings

    def change_settings(self, settings: Settings, transport: Transport, retired: frozenset[int]) -> None:
        """Change the settings; pending requests continue as they were accepted.

        Args:
            settings: New settings, with classes numbered as in `ClassGeneration`.
            transport: Limits and idle timeout of sockets.
            retired: Numbers of request classes that are no longer assigned to new requests.
        """
        self._set_settings(settings, retired)
        self.change_transport(transport)
        self.post(SettingsChanged(settings, retired))
        if self.discovery is not None:
            self.discovery.change_settings(pushed=not settings.poll_required)

    def change_transport(self, transport: Transport) -> None:
        """Change the limits and the idle timeout of sockets."""
        self.max_pending = transport.max_pending
        self.connection_pool.change_settings(
            self._connect_timeout_s(), transport.connection_idle_timeout_ns / NS_PER_S
        )

    def renumber_zones(self, settings: Settings) -> Settings:
        """Return the settings with the own zone's number replaced by the one that this pool uses for it."""
        if not settings.zones:
            return settings
        numbers = [self.names.zone(name) for name in settings.zones]
        return replace(settings, zone=numbers[settings.zone])

    def set_home_zone(self, zone: int) -> None:
        """Set the zone that the balancer treats as its own, until the next call or change of settings."""
        self.post(SettingsChanged(replace(self.settings, zone=zone), self.retired))

    def longest_deadline_ns(self) -> int:
        """Return the longest deadline of the classes that are not retired, in nanoseconds."""
        return max(stats.spec.deadline_ns for stats in self.balancer.live_classes)

    def class_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's request classes, by name."""
        balancer = self.balancer
        return {
            stats.spec.name: number
            for number, stats in enumerate(balancer.classes)
            if stats in balancer.live_classes
        }

    def typical_latencies(self) -> dict[str, float]:
        """Return typical latencies in nanoseconds by class, where enough answers have been seen."""
        measured = (stats for stats in self.balancer.live_classes if stats.answers >= LEARNING_ANSWERS)
        return {stats.spec.name: stats.typical_latency_ns for stats in measured}

    # Endpoints: interface for other packages

    @property
    def maintenance(self) -> Maintenance[EndpointRecord]:
        """Endpoints as discovery lists them, with operators' maintenance orders applied."""
        return self.endpoints.maintenance

    @property
    def start_times(self) -> StartTimes:
        """Start times of the endpoints, as far as they are known."""
        return self.endpoints.start_times

    def on_update(self, update: EndpointUpdate | None) -> None:
        """Apply an update of the endpoint list, complete or incremental; None if discovery failed."""
        self.endpoints.on_update(update)

    def list_record(self) -> dict[str, Any]:
        """Return the endpoint list as discovery reported it, for the state directory."""
        return self.endpoints.record()

    def adopt_list_record(self, record: Mapping[str, Any]) -> None:
        """Apply another process's endpoint list if it is newer.

        Raises:
            EndpointListError: The record cannot be parsed.
        """
        self.endpoints.adopt(record)

    def apply_order(self, name: str, take_out: bool) -> bool:
        """Take an endpoint out of service, or return it to service; return whether that is a change."""
        return self.endpoints.maintain(name, take_out)

    def merge_maintenance(self, orders: Mapping[str, MaintenanceOrder]) -> None:
        """Apply maintenance orders, by endpoint name, that another process of this sidecar has received."""
        self.endpoints.merge_maintenance(orders)

    def endpoint_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's endpoints, by name."""
        return self.endpoints.numbers_by_name()

    def ready_by_zone(self) -> dict[int, int]:
        """Count the ready endpoints by zone."""
        return self.endpoints.ready_by_zone()

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Count by zone the ready endpoints with at least one attempt, and the ejected ones among them."""
        return self.endpoints.attempted_and_ejected_by_zone()

    def zone_of(self, endpoint_number: int) -> int | None:
        """Return the zone of an endpoint; None if it is unknown."""
        return self.endpoints.zone_of(endpoint_number)

    def responded_within(self, endpoint_number: int, duration_ns: int) -> bool:
        """Return whether an endpoint has sent any response in the last `duration_ns` nanoseconds."""
        return self.endpoints.responded_within(endpoint_number, duration_ns)

    # Shutdown

    def retire(self, on_retired: Callable[[Pool], None]) -> None:
        """Complete pending requests and attempts in flight, then close.

        Args:
            on_retired: Callback that is called once the pool has no request, attempt or connection left.
        """
        self.on_retired = on_retired
        self.retiring = True
        self.close_if_finished()

    def close_soon_if_finished(self) -> None:
        """Close a retiring pool in the next loop iteration if nothing is pending or in flight by then."""
        self.loop.call_soon(self.close_if_finished)

    def close_if_finished(self) -> None:
        """Close a retiring pool that has no request and no attempt left."""
        if self.on_retired is None or self.requests.by_id or self.attempt_runner.in_flight:
            return
        on_retired, self.on_retired, self.retiring = self.on_retired, None, False
        self.close()
        on_retired(self)

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        if self.discovery is not None:
            self.discovery.close()
        self.connection_pool.close()
