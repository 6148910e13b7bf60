"""The endpoints of one service: endpoint lists, maintenance orders, start times, names and health probes.

The balancer is notified of a change before connections are closed because of it, so that a request on a
closed connection is not retried at the same endpoint.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from ...balancer.actions import Probe
from ...balancer.endpoints import EndpointState
from ...balancer.events import EndpointListUpdate, ListKind, ProbeResult, State, Status
from ..discovery.codec import (
    EndpointRecord,
    EndpointUpdate,
    NameTable,
    endpoint_update_record,
    parse_endpoint_update,
)
from ..downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from ..start_times import StartTimes
from ..upstream.classify import Response
from ..upstream.exchange import Exchange
from .maintenance import Maintenance, MaintenanceOrder
from .protocols import EndpointHost, PoolHost

log = logging.getLogger("dykefold")

PROBE_TIMEOUT_S = 0.4


class EndpointRegistry:
    """The endpoints of one pool; keeps the balancer and the connections up to date with them.

    Args:
        host: Interface of the pool that the registry uses.
        process: What all pools of the process share.
        names: Numbers of endpoints and zones, by name.
        known: Endpoint states of the balancer, by endpoint number.

    Attributes:
        maintenance: Endpoints as discovery lists them, with operators' maintenance orders applied.
        start_times: Start times of the endpoints, as far as they are known.
    """

    def __init__(
        self,
        host: EndpointHost,
        process: PoolHost,
        names: NameTable,
        known: Mapping[int, EndpointState],
    ) -> None:
        self.host = host
        self.connection_pool = host.connection_pool
        self.discovery = host.discovery
        self.loop = process.loop
        self.clock = process.clock
        self.monotonic = process.system.monotonic
        self.lag_monitor = process.lag_monitor
        self.names = names
        self.known = known
        self.maintenance: Maintenance[EndpointRecord] = Maintenance(
            lambda entry, endpoint: replace(entry, endpoint=endpoint)
        )
        self.start_times = StartTimes()

    # Endpoint lists

    def on_update(self, update: EndpointUpdate | None) -> None:
        """Apply an update of the endpoint list, complete or incremental; None if discovery failed."""
        if self.host.closed:
            return
        if update is None:
            self.start_times.watch_failed()
            self.host.post(EndpointListUpdate(ListKind.FAILED, 0, []))
        else:
            self.apply_list(update)

    def apply_list(self, update: EndpointUpdate, kind: ListKind | None = None) -> None:
        """Apply an update of the endpoint list, with the maintenance orders on top of it.

        Args:
            update: Complete or incremental update.
            kind: Source of the update; None for the pool's own discovery client.
        """
        self.host.version = update.version
        complete = update.complete or kind is ListKind.CACHED
        entries = self.maintenance.apply_update(update.entries, complete)
        self._apply(EndpointUpdate(update.version, update.complete, entries), kind)

    def record(self) -> dict[str, Any]:
        """Return the endpoint list as discovery reported it, for the state directory.

        The key `discovery` names the discovery service that assigned the version.
        """
        discovery = self.discovery
        return {
            "discovery": discovery.listed_by if discovery is not None else "",
            **endpoint_update_record(self.host.version, self.maintenance.listed.values(), self.names),
        }

    def adopt(self, record: Mapping[str, Any]) -> None:
        """Apply an endpoint list that another process of this sidecar has received, if it is newer.

        Args:
            record: Endpoint list in the format of `record`.

        Raises:
            EndpointListError: The record cannot be parsed.
        """
        discovery = self.discovery
        if discovery is None or record.get("discovery") != discovery.host:
            return  # versions of different discovery services are not comparable
        version = record.get("index")
        if not isinstance(version, int) or version <= self.host.version or discovery.version is None:
            return
        update = parse_endpoint_update(record, self.names)
        discovery.adopt(version)
        # Applied as a cached list, since it does not prove that this process's own watch works.
        self.apply_list(update, ListKind.CACHED)

    def _apply(self, update: EndpointUpdate, kind: ListKind | None = None) -> None:
        start_s = self.monotonic()
        # The former address of discovery may deliver a change after the watch of the present one has failed.
        event = update.to_event(kind, watching=self.discovery is None or self.discovery.watching)
        starts = ((entry.name, entry.endpoint) for entry in update.entries)
        source, called_ns = "", 0
        if self.discovery is not None:
            source, called_ns = self.discovery.listed_by, self.clock.from_monotonic(self.discovery.called_s)
        self.start_times.set_slow_start_times(self.clock.now(), event.kind, source, starts, called_ns)
        self.host.post(event)
        connection_pool = self.connection_pool
        if update.complete:
            listed = {entry.endpoint.number for entry in update.entries}
            for number in [number for number in connection_pool.endpoints if number not in listed]:
                self._remove(number)
        for entry in update.entries:
            self._apply_entry(entry)
        # Names are dropped after incremental updates too, since a complete list may never arrive.
        self.names.keep(set(self.known) | set(connection_pool.endpoints))
        self.lag_monitor.record_duration(
            start_s, f"an endpoint list update of {len(update.entries)} endpoints"
        )

    def _apply_entry(self, entry: EndpointRecord) -> None:
        endpoint, connection_pool = entry.endpoint, self.connection_pool
        target = connection_pool.endpoints.get(endpoint.number)
        if target is not None and (target.accepts_exchanges != (endpoint.state is State.READY)):
            state = endpoint.state.name.lower()
            log.info("endpoint changed state: name=%s number=%d state=%s", entry.name, endpoint.number, state)
        if target is None:
            if endpoint.state is State.GONE:
                return
            log.info(
                "endpoint added: name=%s number=%d address=%s:%d", entry.name, endpoint.number, *entry.address
            )
        elif target.since_ms != entry.since_ms:
            log.info("endpoint restarted: name=%s number=%d", entry.name, endpoint.number)
        connection_pool.update(endpoint.number, entry.address, entry.since_ms, endpoint.state, endpoint.kind)
        if endpoint.state is State.GONE:
            connection_pool.forget(endpoint.number)

    def _remove(self, endpoint_number: int) -> None:
        target = self.connection_pool.endpoints[endpoint_number]
        log.info("endpoint removed: number=%d cause=not_in_complete_list", endpoint_number)
        self.connection_pool.update(endpoint_number, target.address, target.since_ms, State.GONE)
        self.connection_pool.forget(endpoint_number)

    # Maintenance orders

    def maintain(self, name: str, take_out: bool) -> bool:
        """Take an endpoint out of service, or return it to service.

        Returns:
            Whether the order changed anything.
        """
        was_out_of_service = self.maintenance.is_out_of_service(name)
        entries = self.maintenance.apply_order(name, take_out, self.clock.now())
        if entries:
            self._apply(EndpointUpdate(self.host.version, False, entries), ListKind.LOCAL)
        return was_out_of_service is not take_out

    def merge_maintenance(self, orders: Mapping[str, MaintenanceOrder]) -> None:
        """Apply maintenance orders, by endpoint name, that another process of this sidecar has received."""
        entries = self.maintenance.merge(orders)
        if entries:
            self._apply(EndpointUpdate(self.host.version, False, entries), ListKind.LOCAL)

    # Health probes

    def probe(self, action: Probe) -> None:
        """Send a health check to an endpoint, and pass its result to the balancer."""
        host, now, number = self.host, self.clock.now, action.endpoint_number
        started_ns = now()
        if not host.budget.reserve():
            self.loop.call_soon(host.post, ProbeResult(number, Status.NOT_ATTEMPTED, 0, ()))
            return

        def on_end(_: Exchange, status: Status, response: Response | None) -> None:
            host.budget.release()
            report: tuple[float, ...] = ()
            if response is not None and host.reports.columns:
                report = host.reports.parse(response.load or response.body.strip())
            host.post(ProbeResult(number, status, now() - started_ns, report))

        path = b"/-/load" if host.reports.columns else b"/-/healthy"
        payload = b"GET %s HTTP/1.1\r\nHost: probe\r\n\r\n" % path
        self.connection_pool.start(
            number, Exchange(payload, on_end, MAX_BUFFERED_BODY_BYTES), PROBE_TIMEOUT_S
        )

    # Endpoint states of the balancer

    def numbers_by_name(self) -> dict[str, int]:
        """Return the numbers of the balancer's endpoints, by name."""
        return {name: number for name, number in self.names.endpoints.items() if number in self.known}

    def ready_by_zone(self) -> dict[int, int]:
        """Count the ready endpoints by zone."""
        known = self.known.values()
        return Counter(endpoint.zone for endpoint in known if endpoint.ready and endpoint.listed)

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Count by zone the ready endpoints with at least one attempt, and the ejected ones among them."""
        counts: dict[int, tuple[int, int]] = {}
        for endpoint in self.known.values():
            if endpoint.ready and endpoint.listed and (endpoint.samples or endpoint.ejected):
                attempted, ejected = counts.get(endpoint.zone, (0, 0))
                counts[endpoint.zone] = attempted + 1, ejected + endpoint.ejected
        return counts

    def zone_of(self, endpoint_number: int) -> int | None:
        """Return the zone of an endpoint; None if the endpoint is unknown."""
        endpoint = self.known.get(endpoint_number)
        return endpoint.zone if endpoint is not None else None

    def responded_within(self, endpoint_number: int, duration_ns: int) -> bool:
        """Return whether an endpoint has sent any response in the last `duration_ns` nanoseconds."""
        endpoint = self.known.get(endpoint_number)
        return endpoint is not None and endpoint.last_alive_ns > self.clock.now() - duration_ns
