"""Carries operators' calls out on a node."""

from __future__ import annotations

import logging
from typing import Protocol

from ..net.sidecar import SidecarServer
from .admin_requests import OK, Action, AdminRequest, AdminResponse
from .maintenance import MAX_OUT_OF_SERVICE

log = logging.getLogger("dykefold.control")


class OrderStore(Protocol):
    """Where calls on servers are kept for a newer process."""

    def keep(self) -> bool:
        """Write down which servers are out; False if that failed, and the call must not be said to hold."""
        ...


class AdminOperations:
    """The calls of the door, on all pools of a node alike."""

    def __init__(
        self, engine: SidecarServer, keeper: OrderStore | None = None, no_folder: bool = False
    ) -> None:
        """Prepare.

        Args:
            keeper: None where nothing is kept.
            no_folder: there is to be a folder, and it can't be used: nothing stands there, and nothing will.
        """
        self.engine = engine
        self.no_folder = no_folder
        self.keeper = keeper

    def carry_out(self, call: AdminRequest) -> AdminResponse:
        """Do what a call asks for; the answer says whether it was done."""
        if call.action is Action.HEALTH:
            if self.engine.takes_clients:
                return OK
            return AdminResponse(503, "this process takes no clients")
        return self._set(call.server, call.action is Action.OUT)

    def _set(self, server: str, out: bool) -> AdminResponse:
        pools = [pool for pool in self.engine.pools if pool.maintenance.knows(server)]
        if not pools:
            return AdminResponse(404, "no such server")
        if out and any(pool.maintenance.full(server) for pool in pools):
            return AdminResponse(507, f"{MAX_OUT_OF_SERVICE} servers are out, and no more can be")
        changed = [pool for pool in pools if pool.maintain(server, out)]
        if changed:
            log.info("%s is %s", server, "out for maintenance" if out else "back from maintenance")
        # Asked of what was done before as well: the call may come again because this failed.
        if self.keeper is None and not (out and self.no_folder):
            return OK
        if self.keeper is not None and self.keeper.keep():
            return OK
        if out:
            return AdminResponse(500, "out here, but a newer process would not know: call again")
        # A no must not put it to use: until the call has been written down the server is out.
        for pool in changed:
            pool.maintain(server, True)
        return AdminResponse(500, "still out: nothing can be written down; call again")
