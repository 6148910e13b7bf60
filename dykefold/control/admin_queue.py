"""Has maintenance orders carried out one at a time, in the order in which they came."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from http import HTTPStatus

from .admin_operations import AdminOperations
from .admin_requests import FAILED, Action, AdminRequest, AdminResponse

log = logging.getLogger("dykefold.control")

MAX_WAITING = 64  # orders that may wait for the disk: more than connections at once


class AdminQueue:
    """Takes the requests of the admin server. An order is answered once it is written down.

    Args:
        loop: that runs the admin server.
        operations: what carries the requests out.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: AdminOperations) -> None:
        self.loop = loop
        self.operations = operations
        self.waiting: deque[tuple[AdminRequest, asyncio.Future[AdminResponse]]] = deque()
        self.current: asyncio.Future[AdminResponse] | None = None  # of the order that is being written

    def carry_out(self, request: AdminRequest) -> AdminResponse | asyncio.Future[AdminResponse]:
        """Do what a request asks for; the response, or one to come."""
        if request.action is Action.HEALTH:
            return self.operations.carry_out(request)
        if len(self.waiting) >= MAX_WAITING:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "too many orders wait for the disk")
        response: asyncio.Future[AdminResponse] = self.loop.create_future()
        self.waiting.append((request, response))
        if self.current is None:
            self._begin_next()
        return response

    def _begin_next(self) -> None:
        request, self.current = self.waiting.popleft()
        try:
            self.operations.start(request, self._answer)
        except Exception:
            log.exception("admin request failed: %s %s", request.action.value, request.server)
            self._answer(FAILED)

    def _answer(self, response: AdminResponse) -> None:
        current, self.current = self.current, None
        if current is not None and not current.done():
            current.set_result(response)
        if self.waiting:
            self._begin_next()
