"""Updates of the endpoint list."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .events import Endpoint, EndpointListUpdate, ListKind, State
from .poll_schedule import PollSchedule
from .subsetting import EndpointSet

INCREMENTAL_KINDS = frozenset((ListKind.DELTA, ListKind.LOCAL))


class EndpointListUpdater:
    """Applies updates of the endpoint list to the known endpoints.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints.
        limit: Concurrency limit, which is scaled with the number of endpoints.
        polls: Poll schedule, which depends on the kind of each update.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        limit: ConcurrencyLimit,
        polls: PollSchedule,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.limit = limit
        self.polls = polls

    def on_list_update(self, event: EndpointListUpdate) -> None:
        """Apply a complete list or a change, or handle the failure of a poll."""
        if event.kind is ListKind.FAILED:
            self.polls.on_failure()
            return
        if event.kind is ListKind.CACHED:
            self.polls.on_cached_list()
        elif event.kind is not ListKind.LOCAL and event.watching:
            self.polls.on_list()
        if event.kind not in INCREMENTAL_KINDS:
            self._unlist_absent(event.entries)
        for entry in event.entries:
            self._apply(entry)
        endpoints = self.endpoints
        before = len(endpoints.local_endpoints) + len(endpoints.remote_endpoints)
        endpoints.rebuild()
        after = len(endpoints.local_endpoints) + len(endpoints.remote_endpoints)
        if 0 < after < before:
            # Fewer endpoints have less capacity.
            self.limit.scale(after / before)

    def _unlist_absent(self, entries: list[Endpoint]) -> None:
        """Mark endpoints that a complete list does not contain as not listed."""
        present = {entry.number for entry in entries}
        for endpoint in self.endpoints.all.values():
            if endpoint.id not in present:
                endpoint.listed = False

    def _apply(self, entry: Endpoint) -> None:
        """Apply an entry of the list."""
        endpoint = self.endpoints.all.get(entry.number)
        ready = entry.state is State.READY
        if endpoint is None:
            endpoint = EndpointState(entry, self.context.random.random())
            self.endpoints.all[entry.number] = endpoint
        elif entry.started_ns != endpoint.started_ns or (ready and not endpoint.ready):
            if endpoint.ejected:
                self.limit.in_flight += endpoint.expected_responses()
            endpoint.reset(entry)
        else:
            endpoint.ready = ready
            endpoint.zone, endpoint.cell = entry.zone, entry.cell
        endpoint.listed = entry.state is not State.GONE
