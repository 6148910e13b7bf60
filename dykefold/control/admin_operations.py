"""Carries operators' requests out on a sidecar."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol

from ..net.service.maintenance import MAX_OUT_OF_SERVICE, MaintenanceOrder
from ..net.service.pool import Pool
from ..net.sidecar import SidecarServer
from .admin_requests import FAILED, OK, Action, AdminRequest, AdminResponse
from .background_writer import OnWritten

log = logging.getLogger("dykefold.control")


Answer = Callable[[AdminResponse], None]

NO_SUCH_SERVER = AdminResponse(HTTPStatus.NOT_FOUND, "no such server")
TOO_MANY_OUT = AdminResponse(
    HTTPStatus.INSUFFICIENT_STORAGE, f"{MAX_OUT_OF_SERVICE} servers are out, and no more can be"
)
OUT_HERE_ALONE = AdminResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR, "out here, but a newer process would not know: call again"
)
STILL_OUT = AdminResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR, "still out: nothing can be written down; call again"
)


class OrderStore(Protocol):
    """Where maintenance orders are kept for a newer process."""

    def write_records(self) -> bool:
        """Write down which endpoints are out; False if they may not stand there yet."""
        ...

    def keep(self, orders: Mapping[str, MaintenanceOrder], on_kept: OnWritten, /) -> None:
        """Write down which endpoints are out.

        Args:
            orders: by endpoint name, in place of those that the pools know.
            on_kept: is told whether that was done; if not, the order must not be confirmed.
        """
        ...


class AdminOperations:
    """The requests of the admin API, carried out on all pools of a sidecar alike.

    Args:
        sidecar: the sidecar.
        order_store: None where nothing is kept.
        directory_unusable: a state directory is configured and can't be used yet: nothing is kept there
            until `keep_orders_in`.
    """

    def __init__(
        self, sidecar: SidecarServer, order_store: OrderStore | None = None, directory_unusable: bool = False
    ) -> None:
        self.sidecar = sidecar
        self.order_store = order_store
        self.directory_unusable = directory_unusable

    def keep_orders_in(self, order_store: OrderStore) -> None:
        """Keep orders from now on: the state directory can be used."""
        self.order_store = order_store
        self.directory_unusable = False

    def carry_out(self, request: AdminRequest) -> AdminResponse:
        """Do what a request asks for, where the store writes before it returns; return the response."""
        responses: list[AdminResponse] = []
        self.begin(request, responses.append)
        return responses[0]

    def begin(self, request: AdminRequest, answer: Answer) -> None:
        """Do what a request asks for; `answer` gets the response once it is done, and written down.

        The next order may only begin when this one has been answered.
        """
        if request.action is Action.HEALTH:
            answer(self._health())
            return
        pools = [pool for pool in self.sidecar.pools if pool.maintenance.knows(request.server)]
        out = request.action is Action.OUT
        if not pools:
            answer(NO_SUCH_SERVER)
        elif out and any(pool.maintenance.is_full(request.server) for pool in pools):
            answer(TOO_MANY_OUT)
        elif out:
            self._take_out(pools, request.server, answer)
        else:
            self._put_back(pools, request.server, answer)

    def _health(self) -> AdminResponse:
        if self.sidecar.accepts_clients:
            return OK
        return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "this process takes no clients")

    # Written down also where nothing changes: the request may be the retry of one that could not be written.

    def _take_out(self, pools: Iterable[Pool], name: str, answer: Answer) -> None:
        changed = [pool for pool in pools if pool.apply_order(name, True)]
        if changed:
            log.info("operator took endpoint %s out for maintenance", name)
        if self.order_store is None:
            answer(OUT_HERE_ALONE if self.directory_unusable else OK)
            return
        self.order_store.keep({}, lambda kept: answer(OK if kept else OUT_HERE_ALONE))

    def _put_back(self, pools: Iterable[Pool], name: str, answer: Answer) -> None:
        # What is answered with an error must not be used: it stays out until the order has been written.
        out = [pool for pool in pools if pool.maintenance.is_out(name)]
        if self.order_store is None:
            self._use_again(out, name)
            answer(OK)
            return
        times = [pool.maintenance.order_time(name, pool.now()) for pool in out]
        order = MaintenanceOrder(max(times, default=0), out=False)

        self.order_store.keep(
            {name: order} if out else {},
            lambda kept: answer(self._finish_putting_back(out, name, order, kept)),
        )

    def _finish_putting_back(
        self, pools: Iterable[Pool], name: str, order: MaintenanceOrder, kept: bool
    ) -> AdminResponse:
        try:
            if kept:
                self._use_again(pools, name)
                return OK
            self._keep_out(pools, name, order)
        except Exception:
            # The next order waits for the response to this one.
            log.exception("admin request failed: %s %s", Action.BACK.value, name)
            return FAILED
        return STILL_OUT

    def _use_again(self, pools: Iterable[Pool], name: str) -> None:
        changed = [pool for pool in pools if pool.apply_order(name, False)]
        if changed:
            log.info("operator put endpoint %s back from maintenance", name)
            if self.order_store is not None:
                self.order_store.write_records()

    def _keep_out(self, pools: Iterable[Pool], name: str, back: MaintenanceOrder) -> None:
        """Have an order back not hold that may stand in a record though it could not be written whole."""
        for pool in pools:
            pool.merge_maintenance({name: MaintenanceOrder(back.ordered_ns + 1, out=True)})
