"""Carries out maintenance orders one at a time, first in, first out."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from http import HTTPStatus

from .admin_operations import AdminOperations
from .admin_requests import FAILED, Action, AdminRequest, AdminResponse

log = logging.getLogger("dykefold.control")

# Above the connection limit of the admin server.
MAX_WAITING_ORDERS = 64


class AdminQueue:
    """Queues the orders of the admin server; each is answered once it is recorded.

    Args:
        loop: Event loop of the admin server.
        operations: Operations that carry out the requests.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: AdminOperations) -> None:
        self.loop = loop
        self.operations = operations
        self.waiting: deque[tuple[AdminRequest, asyncio.Future[AdminResponse]]] = deque()
        self.current: asyncio.Future[AdminResponse] | None = None  # of the order in progress

    def carry_out(self, request: AdminRequest) -> AdminResponse | asyncio.Future[AdminResponse]:
        """Carry out a request; return the response, or a future of it."""
        if request.action is Action.HEALTH:
            return self.operations.carry_out(request)
        if len(self.waiting) >= MAX_WAITING_ORDERS:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "too many orders wait for the disk")
        response: asyncio.Future[AdminResponse] = self.loop.create_future()
        self.waiting.append((request, response))
        if self.current is None:
            self._start_next()
        return response

    def _start_next(self) -> None:
        request, self.current = self.waiting.popleft()
        try:
            self.operations.start(request, self._on_response)
        except Exception:
            # The next order waits for the response to this one, so an exception must not prevent it.
            log.exception("admin request failed: %s %s", request.action.value, request.endpoint_name)
            self._on_response(FAILED)

    def _on_response(self, response: AdminResponse) -> None:
        current, self.current = self.current, None
        if current is not None and not current.done():
            current.set_result(response)
        if self.waiting:
            self._start_next()
