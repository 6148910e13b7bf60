"""The endpoints of one service: endpoint lists, maintenance orders, start times, names and health probes.

A change reaches the balancer before the connections, so that what a closed connection gives up is not sent
to the same endpoint again.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ...balancer.actions import Probe
from ...balancer.events import ListKind, Membership, ProbeResult, State, Status
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

if TYPE_CHECKING:
    from .pool import Pool

log = logging.getLogger("dykefold")

PROBE_TIMEOUT_S = 0.4


class EndpointRegistry:
    """Knows the endpoints of one pool, and keeps the balancer and the connections up to date with them.

    Args:
        pool: Whose endpoints these are.
        names: Numbers of endpoints and zones by name.

    Attributes:
        maintenance: Operators' maintenance orders on top of what discovery says.
        start_times: When endpoints started, as far as that is known.
    """

    def __init__(self, pool: Pool, names: NameTable) -> None:
        self.pool = pool
        self.names = names
        self.maintenance: Maintenance[EndpointRecord] = Maintenance(
            lambda entry, endpoint: replace(entry, endpoint=endpoint)
        )
        self.start_times = StartTimes()

    # Endpoint lists

    def on_update(self, update: EndpointUpdate | None) -> None:
        """Apply an endpoint list or a change of it; None if discovery failed."""
        if self.pool.closed:
            return
        if update is None:
            self.start_times.broke()
            self.pool.post(Membership(ListKind.FAILED, 0, []))
        else:
            self.apply_list(update)

    def apply_list(self, update: EndpointUpdate, kind: ListKind | None = None) -> None:
        """Apply what discovery says, with the maintenance orders on top.

        Args:
            update: An endpoint list, or a change of it.
            kind: Where it comes from; None for the pool's own discovery client.
        """
        self.pool.version = update.version
        complete = update.complete or kind is ListKind.CACHED
        entries = self.maintenance.apply_update(update.entries, complete)
        self._apply(EndpointUpdate(update.version, update.complete, entries), kind)

    def record(self) -> dict[str, Any]:
        """Return the endpoint list as discovery reported it, for the state directory.

        The key `discovery` names the discovery service by which its version counts.
        """
        discovery = self.pool.discovery
        return {
            "discovery": discovery.listed_by if discovery is not None else "",
            **endpoint_update_record(self.pool.version, self.maintenance.listed.values(), self.names),
        }

    def adopt(self, record: Mapping[str, Any]) -> None:
        """Apply an endpoint list that another process of this sidecar received, if it is newer.

        Args:
            record: As `record` returns it.

        Raises:
            ListError: The record can't be read.
        """
        discovery = self.pool.discovery
        if discovery is None or record.get("discovery") != discovery.host:
            return  # its version counts at another discovery service
        version = record.get("index")
        if not isinstance(version, int) or version <= self.pool.version or discovery.version is None:
            return
        update = parse_endpoint_update(record, self.names)
        discovery.adopt(version)
        self.apply_list(update, ListKind.CACHED)  # it does not show that the own watch works

    def _apply(self, update: EndpointUpdate, kind: ListKind | None = None) -> None:
        pool = self.pool
        began_s = pool.monotonic()
        membership = update.membership(kind)
        starts = ((entry.name, entry.endpoint) for entry in update.entries)
        source, called_ns = "", 0
        if pool.discovery is not None:
            source, called_ns = pool.discovery.listed_by, pool.host.clock.at(pool.discovery.called)
        self.start_times.place(pool.now(), membership.kind, source, starts, called_ns)
        pool.post(membership)
        upstreams = pool.upstreams
        if update.complete:
            listed = {entry.endpoint.number for entry in update.entries}
            for server in [server for server in upstreams.endpoints if server not in listed]:
                self._remove(server)
        for entry in update.entries:
            self._apply_entry(entry)
        # After changes too: where endpoints are replaced all day no complete list may ever come.
        self.names.keep(set(pool.balancer.servers) | set(upstreams.endpoints))
        pool.host.lag.took(began_s, f"an endpoint list update of {len(update.entries)} endpoints")

    def _apply_entry(self, entry: EndpointRecord) -> None:
        endpoint, upstreams = entry.endpoint, self.pool.upstreams
        target = upstreams.endpoints.get(endpoint.number)
        if target is not None and (target.takes_new != (endpoint.state is State.READY)):
            state = endpoint.state.name.lower()
            log.info("endpoint %s (%d) changed state to %s", entry.name, endpoint.number, state)
        if target is None:
            if endpoint.state is State.GONE:
                return
            log.info("endpoint %s (%d) added at %s:%d", entry.name, endpoint.number, *entry.address)
        elif target.since_ms != entry.since_ms:
            log.info("endpoint %s (%d) restarted", entry.name, endpoint.number)
        upstreams.update(endpoint.number, entry.address, entry.since_ms, endpoint.state, endpoint.kind)
        if endpoint.state is State.GONE:
            upstreams.forget(endpoint.number)

    def _remove(self, server: int) -> None:
        upstreams = self.pool.upstreams
        target = upstreams.endpoints[server]
        log.info("endpoint %d removed: not in the endpoint list", server)
        upstreams.update(server, target.address, target.since_ms, State.GONE)
        upstreams.forget(server)

    # Maintenance orders

    def maintain(self, name: str, out: bool) -> bool:
        """Take a known endpoint out of service, or put it back.

        Returns:
            Whether that changed anything.
        """
        before = self.maintenance.is_out(name)
        entries = self.maintenance.apply_order(name, out, self.pool.now())
        if entries:
            self._apply(EndpointUpdate(self.pool.version, False, entries), ListKind.LOCAL)
        return before is not out

    def merge_maintenance(self, orders: Mapping[str, MaintenanceOrder]) -> None:
        """Apply maintenance orders, by endpoint name, that another process of this sidecar was given."""
        entries = self.maintenance.merge(orders)
        if entries:
            self._apply(EndpointUpdate(self.pool.version, False, entries), ListKind.LOCAL)

    # Health probes

    def probe(self, action: Probe) -> None:
        """Send a health check to an endpoint; its result is posted to the balancer."""
        pool, server = self.pool, action.endpoint_number
        started_ns = pool.now()
        if not pool.budget.reserve():
            pool.loop.call_soon(pool.post, ProbeResult(server, Status.NOT_ATTEMPTED, 0, ()))
            return

        def done(_: Exchange, status: Status, response: Response | None) -> None:
            pool.budget.release()
            report: tuple[float, ...] = ()
            if response is not None and pool.reports.columns:
                report = pool.reports.read(response.load or response.body.strip())
            pool.post(ProbeResult(server, status, pool.now() - started_ns, report))

        path = b"/-/load" if pool.reports.columns else b"/-/healthy"
        payload = b"GET %s HTTP/1.1\r\nHost: probe\r\n\r\n" % path
        pool.upstreams.start(server, Exchange(payload, done, MAX_BUFFERED_BODY_BYTES), PROBE_TIMEOUT_S)

    # What the balancer knows of endpoints

    def numbers_by_name(self) -> dict[str, int]:
        """Return the numbers of the balancer's endpoints, by name."""
        known = self.pool.balancer.servers
        return {name: number for name, number in self.names.servers.items() if number in known}

    def ready_by_zone(self) -> dict[int, int]:
        """Count the ready endpoints by zone."""
        servers = self.pool.balancer.servers.values()
        return Counter(server.zone for server in servers if server.ready and server.listed)

    def tried_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Count by zone the ready endpoints that had attempts, and those of them that are ejected."""
        found: dict[int, tuple[int, int]] = {}
        for server in self.pool.balancer.servers.values():
            if server.ready and server.listed and (server.samples or server.ejected):
                tried, ejected = found.get(server.zone, (0, 0))
                found[server.zone] = tried + 1, ejected + server.ejected
        return found

    def zone_of(self, server: int) -> int | None:
        """Return the zone of an endpoint; None if it is unknown."""
        known = self.pool.balancer.servers.get(server)
        return known.zone if known is not None else None

    def answered_since(self, server: int, took_ns: int) -> bool:
        """Return whether an endpoint has answered anything in the last `took_ns` nanoseconds."""
        known = self.pool.balancer.servers.get(server)
        return known is not None and known.last_alive_ns > self.pool.now() - took_ns
