"""One balanced service: wires its parts, gives the balancer its events, and carries out its actions.

A pool knows no listener and no client's socket. Who asks is a `ResponseSink`; what the process shares comes
from a `PoolHost`. So a pool can be made and driven without a server, and a process can have several.

The way of a request: `PendingRequests.accept` -> `Balancer` -> `AttemptRunner.start` -> `ConnectionPool` ->
`AttemptRunner.end` -> `PendingRequests.forward`, and the balancer is notified of each end.
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
    Refuse,
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
from ..clock import MS, SECOND
from ..discovery.client import DiscoveryClient, DiscoveryOrigin
from ..discovery.codec import EndpointRecord, EndpointUpdate, NameTable
from ..downstream.request_parser import ParsedRequest
from ..peers import Address
from ..start_times import StartTimes
from ..upstream.connection_pool import ConnectionPool
from ..upstream.connector import LATE_S
from .attempts import Attempt, AttemptRunner
from .endpoint_registry import EndpointRegistry
from .http_encoding import encode_request
from .load_reports import LoadReportParser
from .maintenance import Maintenance, MaintenanceOrder
from .pending_requests import PendingRequest, PendingRequests
from .protocols import DescriptorReservations, PoolHost

log = logging.getLogger("dykefold")

NEXT_TURN_S = 0.001  # the shortest timer that uvloop runs after reading sockets; 0 would run before
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class Pool:
    """The endpoints, connections and pending requests of one service, and the balancer that decides on them.

    Args:
        host: What the process shares.
        settings: Of the balancer.
        transport: Limits and times of sockets.
        seed: Of the balancer's random draws.
        discovery: Address of the discovery service; None if the endpoint list is only ever given.
        names: Numbers of endpoints and zones by name.
        known: The endpoint list to begin with.
        budget: Descriptors that the pool may reserve; None for all of the process's.
        close_in_other_pools: Closes a connection that another pool does not need; tells whether it could.
        label: Identifies the pool in the process, and in the next one after a hot restart.

    Attributes:
        version: Of the latest endpoint list, as discovery counts.
        on_attempt_end: Called with each attempt's endpoint, status, duration and latency objective (ns).
        on_health_hint: Called with an endpoint and whether it answers, to tell other sidecars.
        retired: Numbers of classes that no new request is of.
    """

    message = staticmethod(encode_request)

    def __init__(
        self,
        host: PoolHost,
        settings: Settings,
        transport: Transport,
        seed: int,
        discovery: Address | None,
        names: NameTable,
        known: EndpointUpdate,
        budget: DescriptorReservations | None = None,
        close_in_other_pools: Callable[[], bool] | None = None,
        label: str = "",
    ) -> None:
        """Begin with the known endpoints, and watch the endpoint list. The class describes the arguments."""
        # At most 30 attributes: instances with more do not share their keys, and look-ups cost more.
        self.host = host
        self.label = label
        self.loop = host.loop
        self.monotonic = host.system.monotonic
        self.now = host.clock.now
        self.budget: DescriptorReservations = budget if budget is not None else host.budget
        self.closed = False
        self.on_retired: Callable[[Pool], None] | None = None  # set while the pool retires
        self.on_attempt_end: Callable[[int, Status, int, int], None] | None = None
        self.on_health_hint: Callable[[int, bool], None] = lambda _server, _answers: None
        self.events: deque[Event] = deque()
        self.handling = False
        self.max_open = transport.max_open
        self.names = names
        self.version = known.version
        self._use_settings(settings, frozenset())
        self.balancer = Balancer(settings, seed)
        self.upstreams = self._connection_pool(transport, close_in_other_pools)
        self.discovery = self._discovery_client(discovery, known.version) if discovery is not None else None
        self.requests = PendingRequests(self)
        self.attempt_runner = AttemptRunner(self)
        # On the path of each request: bound here, so that they cost no forwarding call.
        self.accept = self.requests.accept
        self.end_attempt = self.attempt_runner.end
        self.endpoints = EndpointRegistry(self, names)
        self.carry_out = self._actions()
        self.endpoints.apply_list(known, ListKind.CACHED)
        if not settings.poll_required:
            self._watch(True)

    def _use_settings(self, settings: Settings, retired: frozenset[int]) -> None:
        self.settings, self.retired = settings, retired
        self.reports = LoadReportParser(settings.report_columns)

    def _connect_timeout_s(self) -> float:
        return self.settings.connect_timeout_ns / SECOND or DEFAULT_CONNECT_TIMEOUT_S

    def _connection_pool(
        self, transport: Transport, close_in_other_pools: Callable[[], bool] | None
    ) -> ConnectionPool:
        host = self.host
        return ConnectionPool(
            host.loop,
            host.budget.upstreams,
            host.memory,
            self._connect_timeout_s(),
            transport.conn_idle_ns / SECOND,
            host.read_scheduler,
            host.timer_wheel,
            close_in_other_pools,
            host.system,
        )

    def _discovery_client(self, address: Address, version: int) -> DiscoveryClient:
        return DiscoveryClient(
            self.loop,
            DiscoveryOrigin(address, version, pushed=not self.settings.poll_required),
            self.names,
            self.on_update,
            self.host.system,
        )

    # Events to the balancer, its actions

    def post(self, event: Event) -> None:
        """Give the balancer an event after those that came before it, and carry out its actions."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        carry_out = self.carry_out
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(self.now(), event)
                except Exception:
                    # A fault on one event must not stop the other requests; the deadline answers this one's.
                    self.host.log_exception("balancer failed on an event")
                    actions = self.balancer.actions
                for action in actions:
                    try:
                        carry_out[type(action)](action)
                    except Exception:
                        self.host.log_exception("action of the balancer failed")
        finally:
            self.handling = False

    def _actions(self) -> dict[type, Callable[[Any], None]]:
        """Return what carries out each kind of action."""
        return {
            Send: self.attempt_runner.start,
            SetTimer: self._set_timer,
            Refuse: self.requests.refuse,
            Fail: self.requests.fail,
            Cancel: self.attempt_runner.cancel,
            Probe: self.endpoints.probe,
            CloseIdle: lambda action: self.upstreams.close_idle(action.endpoint_number),
            SendToPeer: self._send_to_peer,
            ReportEndpointHealth: lambda action: self.on_health_hint(action.endpoint_number, action.answers),
            Watch: lambda action: self._watch(action.on),
            Fetch: lambda _: self.discovery.fetch() if self.discovery is not None else None,
            Log: lambda action: log.info(action.text),
        }

    def _set_timer(self, action: SetTimer) -> None:
        # Whole milliseconds, rounded up: the loop counts in these, and a timer that fires early is useless.
        after_s = -(-action.after_ns // MS) / 1000
        self.loop.call_later(after_s, self._on_timer, action.token, self.monotonic() + after_s)

    def _on_timer(self, token: int, due_s: float) -> None:
        """Post a timer event; if the loop is late, one turn later, when the sockets have been read.

        Answers that wait in the sockets of a late loop would otherwise make their endpoints look silent.
        """
        if self.closed:
            return
        if self.monotonic() - due_s > LATE_S:
            self.loop.call_later(NEXT_TURN_S, self._on_timer, token, math.inf)
        else:
            self.post(Timer(token))

    def _watch(self, on: bool) -> None:
        if self.discovery is not None:
            self.discovery.watch(on)

    def _send_to_peer(self, action: SendToPeer) -> None:
        if self.host.peers is not None:
            self.host.peers.send(action.data, action.peer)

    def on_peer(self, sender: int, data: bytes) -> None:
        """Give the balancer a message of another sidecar."""
        self.post(PeerMessage(sender, data))

    # Requests

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """Pending requests, by id."""
        return self.requests.by_id

    @property
    def attempts(self) -> dict[tuple[int, int], Attempt]:
        """Attempts in flight by request id and number, also those of requests that are over."""
        return self.attempt_runner.in_flight

    def drop_disconnected(self, call: ParsedRequest) -> bool:
        """End a request whose client has disconnected; return whether it was pending."""
        return self.requests.drop(call)

    def answer_all_pending(self) -> None:
        """Give every pending request its final answer now."""
        self.requests.answer_all()

    @property
    def next_id(self) -> int:
        """The id of the next request: one more than have been accepted."""
        return self.requests.next_id

    # Settings

    def change_settings(self, settings: Settings, transport: Transport, retired: frozenset[int]) -> None:
        """Change the settings; pending requests go on as accepted.

        Args:
            settings: With the classes by number, as `ClassGeneration` has them.
            transport: Limits and times of sockets.
            retired: Numbers of classes that no new request is of.
        """
        self._use_settings(settings, retired)
        self.change_transport(transport)
        self.post(SettingsChanged(settings, retired))
        if self.discovery is not None:
            self.discovery.change_settings(pushed=not settings.poll_required)

    def change_transport(self, transport: Transport) -> None:
        """Change the limits and times of sockets."""
        self.max_open = transport.max_open
        self.upstreams.change_settings(self._connect_timeout_s(), transport.conn_idle_ns / SECOND)

    def renumber_zones(self, settings: Settings) -> Settings:
        """Return settings that may list zones in another order, with the own zone by its number here."""
        if not settings.zones:
            return settings
        numbers = [self.names.zone(name) for name in settings.zones]
        return replace(settings, zone=numbers[settings.zone])

    def set_home_zone(self, zone: int) -> None:
        """Have the balancer treat this zone as its own, until another is named or the settings change."""
        self.post(SettingsChanged(replace(self.settings, zone=zone), self.retired))

    def class_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's classes, by name."""
        balancer = self.balancer
        return {
            stats.spec.name: n for n, stats in enumerate(balancer.classes) if stats in balancer.live_classes
        }

    def typical_latencies(self) -> dict[str, float]:
        """Return typical latencies in nanoseconds by class, where enough answers have been seen."""
        known = (stats for stats in self.balancer.live_classes if stats.answers >= LEARNING_ANSWERS)
        return {stats.spec.name: stats.typical_latency_ns for stats in known}

    # Endpoints: names that other packages call

    @property
    def maintenance(self) -> Maintenance[EndpointRecord]:
        """Operators' maintenance orders on top of what discovery says."""
        return self.endpoints.maintenance

    @property
    def starts(self) -> StartTimes:
        """When endpoints started, as far as that is known."""
        return self.endpoints.start_times

    def on_update(self, update: EndpointUpdate | None) -> None:
        """Apply an endpoint list or a change of it; None if discovery failed."""
        self.endpoints.on_update(update)

    def list_record(self) -> dict[str, Any]:
        """Return the endpoint list as discovery reported it, for the state directory."""
        return self.endpoints.record()

    def adopt_list_record(self, record: Mapping[str, Any]) -> None:
        """Apply another process's endpoint list if it is newer. Raises ListError if it can't be read."""
        self.endpoints.adopt(record)

    def apply_order(self, name: str, out: bool) -> bool:
        """Take a known endpoint out of service, or put it back; return whether that changed anything."""
        return self.endpoints.maintain(name, out)

    def merge_maintenance(self, orders: Mapping[str, MaintenanceOrder]) -> None:
        """Apply maintenance orders that another process of this sidecar was given."""
        self.endpoints.merge_maintenance(orders)

    def endpoint_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's endpoints, by name."""
        return self.endpoints.numbers_by_name()

    def ready_by_zone(self) -> dict[int, int]:
        """Count the ready endpoints by zone."""
        return self.endpoints.ready_by_zone()

    def tried_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Count by zone the ready endpoints that had attempts, and those of them that are ejected."""
        return self.endpoints.tried_and_ejected_by_zone()

    def zone_of(self, server: int) -> int | None:
        """Return the zone of an endpoint; None if it is unknown."""
        return self.endpoints.zone_of(server)

    def answered_since(self, server: int, took_ns: int) -> bool:
        """Return whether an endpoint has answered anything in the last `took_ns` nanoseconds."""
        return self.endpoints.answered_since(server, took_ns)

    # The end

    def retire(self, gone: Callable[[Pool], None]) -> None:
        """Finish what is pending and in flight, then close.

        Args:
            gone: Called once, when no request, attempt or connection of the pool is left.
        """
        self.on_retired = gone
        self.close_if_finished()

    def close_if_finished(self) -> None:
        """Close a retiring pool that has no request and no attempt left."""
        if self.on_retired is None or self.requests.by_id or self.attempt_runner.in_flight:
            return
        on_retired, self.on_retired = self.on_retired, None
        self.close()
        on_retired(self)

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        if self.discovery is not None:
            self.discovery.close()
        self.upstreams.close()
