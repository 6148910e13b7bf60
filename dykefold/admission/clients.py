"""The clients' connections together: carries out what the admission rules say of them."""

from __future__ import annotations

import logging
import socket
from typing import Any, Protocol

from ..system import SYSTEM, System
from .addresses import Caps
from .rules import Admission, Client, Reason, Share, State

log = logging.getLogger("dykefold.admission")

NOTES_APART_S = 10.0  # between two log lines on the same limit
WORDS = {
    Reason.CONNECTIONS: "connections of one address",
    Reason.NEW_CONNECTIONS: "new connections of one address a second",
    Reason.FULL: "connections in all, and none of those open may be closed",
    Reason.OPEN_REQUESTS: "open requests of one address",
    Reason.UNFINISHED_BYTES: "bytes in unfinished messages of one address",
    Reason.REQUESTS: "open requests in all, or descriptors for their connections to servers",
}


class Guest(Protocol):
    """A client's connection as the edge needs it."""

    client: Client
    paused: bool  # it is not being read
    discarding_input: bool  # nothing more is read of it
    messages: int  # whole ones so far

    @property
    def message_unfinished(self) -> bool:
        """Whether a message has begun and not ended."""
        ...

    @property
    def busy(self) -> bool:
        """Whether a request of it is open or waits, or an answer is on its way out."""
        ...

    @property
    def idle(self) -> bool:
        """Whether it can be closed without harm."""
        ...

    def accepted(self, sock: socket.socket) -> None:
        """It was let in; its transport is still to be made."""
        ...

    def pending_requests(self) -> list[Any]:
        """The requests of it that are not over."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...

    def evict(self) -> None:
        """Close at once for the sake of others: with a refusal where a message has begun."""
        ...

    def reject_unfinished(self, text: str) -> None:
        """Turn away what it has begun to ask, behind the answers to what it has asked."""
        ...

    def has_unread_input(self) -> bool:
        """Whether something of the client is there that was not read yet."""
        ...

    def close_when_idle(self) -> None:
        """Close in such a way that nothing on its way is lost; not at all if it has just asked again."""
        ...

    def expire(self) -> None: ...


class Clients:
    """Every open connection by its `Client`."""

    def __init__(self, admission: Admission, system: System = SYSTEM) -> None:
        self.admission = admission
        self.monotonic = system.monotonic
        self.all: dict[Client, Guest] = {}
        self.met = dict.fromkeys(Reason, 0)  # limits met since the last log line on each
        self.noted_at_s = dict.fromkeys(Reason, -NOTES_APART_S)

    def admit(self, host: str) -> tuple[Client | None, Reason | None]:
        """Ask for a new connection from an address; one that has to make room is closed here."""
        client, reason, victim = self.admission.connect(host, self.monotonic(), self._asks)
        if victim is not None:
            self._close(victim)
        if reason is not None:
            self.note(reason, host)
        return client, reason

    def add(self, guest: Guest) -> None:
        self.all[guest.client] = guest
        self._let_go(self.admission.surplus(self.monotonic(), self._asks))

    def remove(self, client: Client) -> None:
        """A connection has closed."""
        self.admission.leave(client)
        self.all.pop(client, None)

    def place(self, guest: Guest) -> None:
        """Note what a connection does now: after it was read, and after an answer."""
        now = self.monotonic()
        client = guest.client
        if guest.busy:
            if client.state is State.KEPT and not guest.message_unfinished:
                self.admission.ask_again(client, guest.messages, now)
                return
            state = State.BUSY
        elif guest.discarding_input:
            state = State.LEAVING
        elif guest.message_unfinished:
            state = State.READING
        else:
            state = State.ONCE if guest.messages else State.SILENT
        self.admission.place(client, state, guest.message_unfinished, guest.messages, now)
        if state is State.ONCE and self.admission.asked > self.admission.working:
            self._let_go(self.admission.surplus(now, self._asks))

    def progress(self, client: Client, size: int) -> None:
        """Count bytes of a body that has not come to its end."""
        self.admission.progress(client, size, self.monotonic())

    def open_request(self, client: Client) -> bool:
        """Count a request as open; False if its address has too many."""
        reason = self.admission.open_request(client, self.monotonic())
        if reason is not None:
            self.note(reason, client.host)
        return reason is None

    def close_request(self, client: Client, served: bool) -> None:
        self.admission.close_request(client, served, self.monotonic())

    def hold(self, client: Client, size: int) -> bool:
        """Count bytes of an unfinished message; False if its address has too many."""
        held = self.admission.hold(client, size, self.monotonic())
        if not held:
            self.note(Reason.UNFINISHED_BYTES, client.host)
        return held

    def free(self, client: Client, size: int) -> None:
        self.admission.free(client, size)

    def resize(self, share: Share, caps: Caps) -> None:
        """Take other limits, and close those for whom there is no room any more."""
        self._let_go(self.admission.resize(share, caps, self.monotonic(), self._asks))

    def release(self) -> bool:
        """Let one go since the system has no descriptor left; whether there was one to go."""
        client = self.admission.release(self.monotonic(), self._asks)
        if client is not None:
            self._close(client)
        return client is not None

    def sweep(self) -> None:
        """Guards descriptors and memory against clients that never end a message or never come back."""
        now = self.monotonic()
        for client in self.admission.late(now):
            guest = self.all.get(client)
            if guest is None:
                continue
            if guest.paused:
                self.admission.wait_again(client, now)  # its end may have come long ago
            else:
                self.admission.offence(client.address, now)
                guest.expire()
        for client in self.admission.unused(now):
            guest = self.all.get(client)
            if guest is not None:
                guest.close_when_idle()
        self._let_go(self.admission.surplus(now, self._asks))

    def note(self, reason: Reason, host: str) -> None:
        """Log that a limit was met: one line now, then the number of times with the next line."""
        self.met[reason] += 1
        now = self.monotonic()
        if now - self.noted_at_s[reason] >= NOTES_APART_S:
            self.noted_at_s[reason] = now
            log.warning("limit met: %s; %d refused, last %s", WORDS[reason], self.met[reason], host)
            self.met[reason] = 0

    def _asks(self, client: Client) -> bool:
        """Guards a request that crosses the close of its connection: reset unread, it would be sent again."""
        guest = self.all.get(client)
        return guest is not None and guest.has_unread_input()

    def _let_go(self, clients: list[Client]) -> None:
        for client in clients:
            self._close(client)

    def _close(self, client: Client) -> None:
        guest = self.all.get(client)
        if guest is not None:
            guest.evict()
