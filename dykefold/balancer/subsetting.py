"""All known endpoints, and the subset of them that this sidecar samples."""

from __future__ import annotations

import math
from collections import defaultdict
from operator import attrgetter

from .context import SECOND_NS, BalancerContext
from .endpoints import EndpointGroup, EndpointState
from .throughput import Throughput

# The power of two choices needs two endpoints, both in the local zone and in other zones.
MIN_SUBSET_SIZE = 2
# The subset has as many endpoints as requests arrive in this time; each then answers about once in it.
SUBSET_INTERVAL_DEADLINES = 1.0
# An endpoint's load must not depend on only one or two sidecars of other zones.
REMOTE_SIDECARS_PER_ENDPOINT = 5
# Fraction of a subset in other zones. Each endpoint costs a connection, and most requests stay local.
REMOTE_SUBSET_FRACTION = 0.25
# From this many endpoints per sidecar on, a sidecar samples only a part of its local zone.
LOCAL_SUBSET_START_RATIO = 4.0
# With fewer endpoints per sidecar, it again samples all endpoints of the local zone.
LOCAL_SUBSET_STOP_RATIO = 3.0
# About this many sidecars sample each endpoint of their zone; the loads of endpoints then differ by a third.
LOCAL_SIDECARS_PER_ENDPOINT = 10.0
# A local subset has at least this many endpoints for each request in flight, so most of them are idle.
LOCAL_ENDPOINTS_PER_REQUEST_IN_FLIGHT = 4.0
# The local subset changes its size only in large steps, because each change costs connections.
MIN_LOCAL_GROWTH_FACTOR = 1.5
MAX_LOCAL_SHRINK_FACTOR = 0.5
DEMAND_INTERVAL_DEADLINES = 5.0

by_rank = attrgetter("rank")


class EndpointSet:
    """All known endpoints, and the lists that are sampled.

    The local zone is the zone of this sidecar.

    Args:
        context: State that all parts share.
        throughput: Rate of answers, which is notified of the number of ready endpoints.

    Attributes:
        all: Known endpoints by number.
        local_endpoints: Endpoints of the subset in the local zone, except ejected ones.
        remote_endpoints: Endpoints of the subset in other zones, except ejected ones.
        unsampled_endpoints: Ready endpoints that are neither in the subset nor ejected.
        ejected: Ready endpoints that outlier detection has ejected.
        ready_count: Number of endpoints that are ready according to the endpoint list.
        oldest_start_ns: Earliest time at which slow start began of a ready endpoint that is not ejected; 0 if
            one of them has not started recently, or there is none.
        sidecars_exceed_endpoints: True if there are more sidecars than ready endpoints.
        has_sparse_traffic: True if `sidecars_exceed_endpoints`, and fewer requests than there are ready
            endpoints arrive in a deadline.
        subset_size: Number of endpoints to sample, by demand, in the local zone and as many in other zones.
        local_size: Number of endpoints of the local zone to sample; 0 for all of them.
        ready_per_sampled: Ratio of ready to sampled endpoints, in the local zone and in other zones.
        groups: Endpoint groups by machine type and whether the endpoint is in another zone.
        demand: Rate of this sidecar's requests per second at `demand_ns`.
        demand_ns: Time of the latest request.
        first_request_ns: Time of the first request; 0 before.
    """

    def __init__(self, context: BalancerContext, throughput: Throughput) -> None:
        self.context = context
        self.throughput = throughput
        self.all: dict[int, EndpointState] = {}
        self.local_endpoints: list[EndpointState] = []
        self.remote_endpoints: list[EndpointState] = []
        self.unsampled_endpoints: list[EndpointState] = []
        self.ejected: list[EndpointState] = []
        self.ready_count = 0
        self.oldest_start_ns = 0
        self.sidecars_exceed_endpoints = True
        self.has_sparse_traffic = True
        self.subset_size = 0
        self.local_size = 0
        self.ready_per_sampled = [1.0, 1.0]
        self.groups: defaultdict[tuple[int, bool], EndpointGroup] = defaultdict(EndpointGroup)
        self.demand = 0.0
        self.demand_ns = 0
        self.first_request_ns = 0

    def group(self, endpoint: EndpointState) -> EndpointGroup:
        """Return the group of an endpoint; it is created for its first endpoint."""
        return self.groups[endpoint.kind, endpoint.zone != self.context.settings.zone]

    def rebuild(self) -> None:
        """Rebuild the lists that are sampled, after the state of an endpoint has changed."""
        for endpoint in [known for known in self.all.values() if not known.listed and not known.in_flight]:
            del self.all[endpoint.id]
        ready = [endpoint for endpoint in self.all.values() if endpoint.ready and endpoint.listed]
        self.ready_count = len(ready)
        self.throughput.update_half_life(self.ready_count)
        self.ejected = [endpoint for endpoint in ready if endpoint.ejected]
        starts = (one.slow_start_began_ns if one.started_ns else 0 for one in ready if not one.ejected)
        self.oldest_start_ns = min(starts, default=0)
        local_zone = self.context.settings.zone
        local = [endpoint for endpoint in ready if endpoint.zone == local_zone and not endpoint.ejected]
        remote = [endpoint for endpoint in ready if endpoint.zone != local_zone and not endpoint.ejected]
        self.subset_size = self._wanted_size()
        # With fewer sidecars than endpoints, this sidecar's requests are a large part of an endpoint's load.
        self.sidecars_exceed_endpoints = self.ready_count < self.context.sidecar_count()
        self.has_sparse_traffic = self.sidecars_exceed_endpoints and self.subset_size < self.ready_count
        self.local_size = self._wanted_local_size(len(local))
        self._split(local, remote)
        for endpoint in ready:
            endpoint.sampled = True
        for endpoint in self.unsampled_endpoints:
            endpoint.sampled = False
        self.ready_per_sampled = [
            len(local) / max(len(self.local_endpoints), 1),
            len(remote) / max(len(self.remote_endpoints), 1),
        ]

    def _split(self, local: list[EndpointState], remote: list[EndpointState]) -> None:
        """Choose the subset by rank, so that it stays the same while its endpoints are ready."""
        if self.has_sparse_traffic:
            local.sort(key=by_rank)
            remote.sort(key=by_rank)
            local_subset_size = remote_subset_size = self.subset_size
        else:
            local_subset_size = self.local_size or self.ready_count
            if local_subset_size < len(local):
                local.sort(key=by_rank)
            remote_subset_size = max(
                MIN_SUBSET_SIZE, int(REMOTE_SUBSET_FRACTION * self.subset_size), self._remote_size(remote)
            )
            if remote_subset_size < len(remote):
                remote.sort(key=by_rank)
        self.local_endpoints, self.remote_endpoints = local[:local_subset_size], remote[:remote_subset_size]
        self.unsampled_endpoints = local[local_subset_size:] + remote[remote_subset_size:]

    def _remote_size(self, remote: list[EndpointState]) -> int:
        """Return the number of endpoints of other zones that this sidecar has to sample."""
        fleet = self.context.fleet
        if fleet and fleet.ranks:
            return sum(endpoint.rank < fleet.max_remote_rank for endpoint in remote)
        return math.ceil(REMOTE_SIDECARS_PER_ENDPOINT * len(remote) / self.context.sidecar_count())

    def _wanted_local_size(self, local_count: int) -> int:
        """Return the number of endpoints of the local zone to sample; 0 for all of them.

        Guards against a new connection for nearly every request, if a sidecar returned to an endpoint only
        after the idle timeout of its connection. Each endpoint is still sampled by several sidecars.
        """
        sidecars = max(self.context.sidecar_count(), 1)
        min_ratio = LOCAL_SUBSET_STOP_RATIO if self.local_size else LOCAL_SUBSET_START_RATIO
        if self.ready_count < min_ratio * sidecars:
            return 0
        min_size = math.ceil(LOCAL_SIDECARS_PER_ENDPOINT * self.ready_count / sidecars)
        live = self.context.live_classes
        typical_s = sum(stats.typical_latency_ns for stats in live) / len(live) / SECOND_NS
        in_flight = self.demand * typical_s  # Little's law
        wanted = max(min_size, math.ceil(LOCAL_ENDPOINTS_PER_REQUEST_IN_FLIGHT * in_flight))
        if MAX_LOCAL_SHRINK_FACTOR * self.local_size < wanted < MIN_LOCAL_GROWTH_FACTOR * self.local_size:
            wanted = self.local_size
        return wanted if wanted < local_count else 0

    def _wanted_size(self) -> int:
        """Return the number of endpoints to sample, so that each answers about once in a deadline.

        Guards against hundreds of sidecars that each send to an endpoint once in half a minute, and so do not
        learn which endpoints are slow, overloaded or hung.
        """
        requests = self.demand * SUBSET_INTERVAL_DEADLINES * self.context.shortest_ns / SECOND_NS
        return max(MIN_SUBSET_SIZE, int(requests))

    def all_warming_up(self) -> bool:
        """Return whether every ready endpoint that is not ejected is warming up."""
        context, start = self.context, self.oldest_start_ns
        return bool(start) and context.now_ns - start < context.settings.warm_within_ns

    def count_request(self) -> None:
        """Add a request to the demand, and rebuild the lists if the size of the subset changes."""
        context = self.context
        now, shortest = context.now_ns, context.shortest_ns
        if not self.first_request_ns:
            self.first_request_ns = self.demand_ns = now
        interval_ns = min(now - self.first_request_ns + shortest, DEMAND_INTERVAL_DEADLINES * shortest)
        remaining_fraction = max(0.0, 1.0 - (now - self.demand_ns) / interval_ns)
        self.demand = self.demand * remaining_fraction + SECOND_NS / interval_ns
        self.demand_ns = now
        size = self._wanted_size()
        if size != self.subset_size and min(size, self.subset_size) < self.ready_count:
            self.rebuild()
