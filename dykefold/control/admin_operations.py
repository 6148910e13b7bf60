"""Carries operators' requests out on a sidecar."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Protocol

from ..net.sidecar import SidecarServer
from .admin_requests import OK, Action, AdminRequest, AdminResponse
from .maintenance import MAX_OUT_OF_SERVICE

log = logging.getLogger("dykefold.control")


class OrderStore(Protocol):
    """Where maintenance orders are kept for a newer process."""

    def write_records(self) -> bool:
        """Write down which endpoints are out; False if that failed, and the order must not be confirmed."""
        ...


class AdminOperations:
    """The requests of the admin API, carried out on all pools of a sidecar alike."""

    def __init__(
        self, engine: SidecarServer, order_store: OrderStore | None = None, directory_unusable: bool = False
    ) -> None:
        """Prepare.

        Args:
            engine: the sidecar.
            order_store: None where nothing is kept.
            directory_unusable: a state directory is configured and can't be used yet: nothing is kept there
                until `keep_orders_in`.
        """
        self.engine = engine
        self.order_store = order_store
        self.directory_unusable = directory_unusable

    def keep_orders_in(self, order_store: OrderStore) -> None:
        """Keep orders from now on: the state directory can be used."""
        self.order_store = order_store
        self.directory_unusable = False

    def carry_out(self, request: AdminRequest) -> AdminResponse:
        """Do what a request asks for; the response says whether it was done."""
        if request.action is Action.HEALTH:
            if self.engine.accepts_clients:
                return OK
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "this process takes no clients")
        return self._set_maintenance(request.server, request.action is Action.OUT)

    def _set_maintenance(self, name: str, out: bool) -> AdminResponse:
        pools = [pool for pool in self.engine.pools if pool.maintenance.knows(name)]
        if not pools:
            return AdminResponse(HTTPStatus.NOT_FOUND, "no such server")
        if out and any(pool.maintenance.is_full(name) for pool in pools):
            text = f"{MAX_OUT_OF_SERVICE} servers are out, and no more can be"
            return AdminResponse(HTTPStatus.INSUFFICIENT_STORAGE, text)
        changed = [pool for pool in pools if pool.apply_order(name, out)]
        if changed and out:
            log.info("operator took endpoint %s out for maintenance", name)
        elif changed:
            log.info("operator put endpoint %s back from maintenance", name)
        # Asked also where nothing changed: the request may be the retry of one that could not be written.
        if self._is_kept(out):
            return OK
        if out:
            text = "out here, but a newer process would not know: call again"
            return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, text)
        # What is answered with an error must not be used: until the order has been written it stays out.
        for pool in changed:
            pool.apply_order(name, True)
        text = "still out: nothing can be written down; call again"
        return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, text)

    def _is_kept(self, out: bool) -> bool:
        """Whether a newer process will know of an order, as far as it has to."""
        if self.order_store is not None:
            return self.order_store.write_records()
        return not (out and self.directory_unusable)
