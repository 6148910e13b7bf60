"""Carries out the requests of operators on the pools of a sidecar."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol

from ..net.service.maintenance import MAX_OUT_OF_SERVICE, MaintenanceOrder
from ..net.service.pool import Pool
from .admin_requests import FAILED, OK, Action, AdminRequest, AdminResponse
from .background_writer import OnWritten
from .protocols import AdminTarget

log = logging.getLogger("dykefold.control")

OnResponse = Callable[[AdminResponse], None]

UNKNOWN_ENDPOINT = AdminResponse(HTTPStatus.NOT_FOUND, "no such server")
TOO_MANY_OUT_OF_SERVICE = AdminResponse(
    HTTPStatus.INSUFFICIENT_STORAGE, f"{MAX_OUT_OF_SERVICE} servers are out, and no more can be"
)
OUT_BUT_NOT_RECORDED = AdminResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR, "out here, but a newer process would not know: call again"
)
STILL_OUT_OF_SERVICE = AdminResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR, "still out: nothing can be written down; call again"
)


class OrderStore(Protocol):
    """A store of maintenance orders that a newer process can read."""

    def write_records(self) -> bool:
        """Record the orders known to the pools; return whether all of them are recorded."""
        ...

    def record_orders(self, orders: Mapping[str, MaintenanceOrder], on_recorded: OnWritten, /) -> None:
        """Record all orders.

        Args:
            orders: New orders by endpoint name, which override those of the pools.
            on_recorded: Callback that gets whether all orders are recorded. An order that is not recorded
                must not be confirmed.
        """
        ...


class AdminOperations:
    """Carries out the requests of the admin API on all pools of a sidecar.

    Args:
        sidecar: Sidecar server whose pools and health the requests concern.
        order_store: Store of maintenance orders; None where orders are not recorded.
        directory_unusable: Whether a state directory is configured but can't be used yet. Orders are not
            recorded until `use_order_store` is called.
    """

    def __init__(
        self, sidecar: AdminTarget, order_store: OrderStore | None = None, directory_unusable: bool = False
    ) -> None:
        self.sidecar = sidecar
        self.order_store = order_store
        self.directory_unusable = directory_unusable

    def use_order_store(self, order_store: OrderStore) -> None:
        """Record orders from now on, since the state directory has become usable."""
        self.order_store = order_store
        self.directory_unusable = False

    def carry_out(self, request: AdminRequest) -> AdminResponse:
        """Carry out a request and return the response; requires an order store that writes synchronously."""
        responses: list[AdminResponse] = []
        self.start(request, responses.append)
        return responses[0]

    def start(self, request: AdminRequest, on_response: OnResponse) -> None:
        """Start a request; the next order must not start before the response to this one.

        Args:
            request: Request to carry out.
            on_response: Callback that gets the response once the request is done and recorded.
        """
        if request.action is Action.HEALTH:
            on_response(self._health())
            return
        # An order is given to every pool, since any of them may list the endpoint later.
        pools = list(self.sidecar.pools)
        is_out_order = request.action is Action.OUT
        if not any(pool.maintenance.is_known(request.endpoint_name) for pool in pools):
            on_response(UNKNOWN_ENDPOINT)
        elif is_out_order and any(
            pool.maintenance.would_exceed_limit(request.endpoint_name) for pool in pools
        ):
            on_response(TOO_MANY_OUT_OF_SERVICE)
        elif is_out_order:
            self._take_out(pools, request.endpoint_name, on_response)
        else:
            self._put_back(pools, request.endpoint_name, on_response)

    def _health(self) -> AdminResponse:
        if self.sidecar.accepts_clients:
            return OK
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "this process takes no clients")

    # An order that changes nothing is recorded too: it may repeat an order whose recording failed.

    def _take_out(self, pools: Iterable[Pool], name: str, on_response: OnResponse) -> None:
        changed = [pool for pool in pools if pool.apply_order(name, True)]
        if changed:
            log.info("operator took endpoint %s out for maintenance", name)
        if self.order_store is None:
            on_response(OUT_BUT_NOT_RECORDED if self.directory_unusable else OK)
            return
        self.order_store.record_orders(
            {}, lambda recorded: on_response(OK if recorded else OUT_BUT_NOT_RECORDED)
        )

    def _put_back(self, pools: Iterable[Pool], name: str, on_response: OnResponse) -> None:
        # The endpoint stays out of service until the order is recorded: after an error response it must not
        # get requests.
        affected = [pool for pool in pools if pool.maintenance.is_out_of_service(name)]
        if self.order_store is None:
            self._return_to_service(affected, name)
            on_response(OK)
            return
        times = [pool.maintenance.order_time(name, pool.now()) for pool in affected]
        order = MaintenanceOrder(max(times, default=0), out_of_service=False)
        self.order_store.record_orders(
            {name: order} if affected else {},
            lambda recorded: on_response(self._finish_put_back(affected, name, order, recorded)),
        )

    def _finish_put_back(
        self, pools: Iterable[Pool], name: str, order: MaintenanceOrder, recorded: bool
    ) -> AdminResponse:
        try:
            if recorded:
                self._return_to_service(pools, name)
                return OK
            self._override_order(pools, name, order)
        except Exception:
            # The next order waits for this response, so an exception must not prevent it.
            log.exception("admin request failed: %s %s", Action.BACK.value, name)
            return FAILED
        return STILL_OUT_OF_SERVICE

    def _return_to_service(self, pools: Iterable[Pool], name: str) -> None:
        changed = [pool for pool in pools if pool.apply_order(name, False)]
        if changed:
            log.info("operator put endpoint %s back from maintenance", name)
            if self.order_store is not None:
                self.order_store.write_records()

    def _override_order(self, pools: Iterable[Pool], name: str, order: MaintenanceOrder) -> None:
        """Override an order to put back whose write failed, since the record may contain it nevertheless."""
        for pool in pools:
            pool.merge_maintenance({name: MaintenanceOrder(order.ordered_ns + 1, out_of_service=True)})
