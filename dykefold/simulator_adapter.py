"""The wire: frames in, events to the balancers, actions out. It decides nothing.

Input that is no frame of the protocol ends the process with one plain line on standard error and a
non-zero exit. An exception of the decision module goes out as the wire's internal-error action.
"""

from __future__ import annotations

import struct
import sys
import traceback
from typing import BinaryIO

from .balancer.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Fetch,
    Log,
    Probe,
    Refuse,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from .balancer.balancer import Balancer
from .balancer.events import (
    ClientDisconnected,
    Endpoint,
    Event,
    ListKind,
    Membership,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    State,
    Status,
    StreamStarted,
    Timer,
)
from .settings import SettingError, parse_settings

HEADER = struct.Struct("<QI")
REPLY = struct.Struct("<II")
LENGTH = struct.Struct("<I")
EVENT_SIZE = 48
ENTRY = struct.Struct("<IHBHBfQ")

NEW_INSTANCE = struct.Struct("<QII")
SNAPSHOT_ROWS = struct.Struct("<xIII")
ENDPOINTS = struct.Struct("<BII")
INBOUND = struct.Struct("<QBHQQQB")
SETTLED = struct.Struct("<QBIHQBB4f")
HEALTH = struct.Struct("<IHQB4f")
DROPPED = struct.Struct("<Q")
NOTE_FROM = struct.Struct("<HII")
BELL = struct.Struct("<I")
FIRST = struct.Struct("<QBIQ")
INSTANCE = struct.Struct("<xH")
FIELDS = 3  # where an event's own fields begin, after code and instance

SHARE = struct.Struct("<BHIII9x")
RETRACT = struct.Struct("<BHQB12x")
FOLLOW = struct.Struct("<BHB20x")
TEXT = struct.Struct("<BHII13x")  # INTERNAL_ERROR and TRACE
ONE_SERVER = struct.Struct("<BHI17x")  # HANG_UP and TOUCH
TURN_AWAY = struct.Struct("<BHQQ5x")
RESOLVE = struct.Struct("<BH21x")
DISPATCH = struct.Struct("<BHQQIx")
ABORT = struct.Struct("<BHQ13x")
SET_TIMER = struct.Struct("<BHQI9x")
EVERY_PEER = 0xFFFFFFFF

STATUS = {
    200: Status.OK,
    500: Status.ERROR,
    503: Status.FULL,
    504: Status.TIMEOUT,
    502: Status.CONNECT_FAILED,
    598: Status.RESET,
    499: Status.CANCELLED,
    410: Status.NOT_ATTEMPTED,
}
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
LIST_KINDS = {
    0: ListKind.DELTA,
    1: ListKind.FULL,
    2: ListKind.CACHED,
    3: ListKind.FAILED,
}


class FrameError(Exception):
    """The input is no frame of this protocol."""


class Host:
    """Runs any number of balancers behind one pair of streams."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.records: list[bytes] = []
        self.tail = bytearray()

    def reply_to(self, body: bytes) -> bytes:
        """Answer one frame, given without its length field."""
        if len(body) < HEADER.size:
            raise FrameError("frame shorter than its header")
        now, count = HEADER.unpack_from(body)
        tail_at = HEADER.size + count * EVENT_SIZE
        if len(body) < tail_at:
            raise FrameError(f"frame of {len(body)} bytes cannot hold {count} records")
        self.records, self.tail = [], bytearray()
        for at in range(HEADER.size, tail_at, EVENT_SIZE):
            self._event(now, body, at, tail_at)
        payload = b"".join(self.records) + self.tail
        return REPLY.pack(len(self.records), len(payload)) + payload

    def _event(self, now: int, body: bytes, at: int, tail_at: int) -> None:
        code = body[at]
        if code == 26:
            self._rows(body, at, tail_at)
            return
        (instance,) = INSTANCE.unpack_from(body, at)
        try:
            if code == 16:
                seed, offset, size = NEW_INSTANCE.unpack_from(body, at + FIELDS)
                text = _slice(body, tail_at, offset, size).decode()
                self.balancers[instance] = Balancer(parse_settings(text), seed)
                return
            if code == 25:
                self.balancers.pop(instance, None)
                return
            event = self._decode(code, body, at + FIELDS, tail_at)
            balancer = self.balancers.get(instance)
            if event is not None and balancer is not None:
                if type(event) is Request and event.cls >= len(balancer.settings.classes):
                    raise FrameError(f"request {event.id} is of unknown class {event.cls}")
                self._encode(instance, balancer.handle(now, event))
        except (FrameError, SettingError):
            raise
        except Exception as error:  # the wire has a word for any failure of the module
            traceback.print_exc(file=sys.stderr)
            self._text(19, instance, f"{type(error).__name__}: {error}")

    def _decode(self, code: int, body: bytes, at: int, tail_at: int) -> Event | None:
        if code == 20:
            ticket, n, server, reason, took, last, columns, *report = SETTLED.unpack_from(body, at)
            status = STATUS.get(reason, Status.ERROR)
            return Outcome(ticket, n, server, status, took, last != 0, tuple(report[:columns]))
        if code == 18:
            ticket, cls, tenant, key, deadline, cost, bits = INBOUND.unpack_from(body, at)
            return Request(
                ticket, cls, tenant, deadline, key, cost if bits & 1 else 0, bits & 2 != 0, bits & 4 != 0
            )
        if code == 22:
            return Timer(BELL.unpack_from(body, at)[0])
        if code == 21:
            return ClientDisconnected(DROPPED.unpack_from(body, at)[0])
        if code == 17:
            scope, version, number = ENDPOINTS.unpack_from(body, at)
            kind = LIST_KINDS.get(scope)
            if kind is None:
                return None
            if kind is ListKind.FAILED:
                return Membership(kind, version, [])
            if number not in self.lists:
                raise FrameError(f"list {number} was never sent")
            return Membership(kind, version, self.lists[number])
        if code == 24:
            sender, offset, size = NOTE_FROM.unpack_from(body, at)
            return PeerMessage(sender, _slice(body, tail_at, offset, size))
        if code == 23:
            server, reason, took, columns, *report = HEALTH.unpack_from(body, at)
            status = STATUS.get(reason, Status.ERROR)
            return ProbeResult(server, status, took, tuple(report[:columns]))
        if code == 19:
            return StreamStarted(*FIRST.unpack_from(body, at))
        raise FrameError(f"event code {code} is unknown")

    def _rows(self, body: bytes, at: int, tail_at: int) -> None:
        number, offset, count = SNAPSHOT_ROWS.unpack_from(body, at)
        rows = _slice(body, tail_at, offset, count * ENTRY.size)
        self.lists[number] = [
            Endpoint(server, zone, kind, cell, STATES.get(phase, State.GONE), weight, started)
            for server, zone, kind, cell, phase, weight, started in ENTRY.iter_unpack(rows)
        ]

    def _text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def _encode(self, i: int, actions: list[Action]) -> None:
        add = self.records.append
        for act in actions:
            if isinstance(act, Send):
                add(DISPATCH.pack(25, i, act.id, act.timeout_ns, act.server))
            elif isinstance(act, SetTimer):
                add(SET_TIMER.pack(27, i, act.after_ns, act.token))
            elif isinstance(act, Refuse):
                add(TURN_AWAY.pack(23, i, act.id, act.retry_after_ns))
            elif isinstance(act, Fail):
                add(ABORT.pack(26, i, act.id))
            elif isinstance(act, Cancel):
                add(RETRACT.pack(17, i, act.id, act.attempt))
            elif isinstance(act, SendToPeer):
                peer = EVERY_PEER if act.peer is None else act.peer
                add(SHARE.pack(16, i, peer, len(self.tail), len(act.data)))
                self.tail += act.data
            elif isinstance(act, Probe):
                add(ONE_SERVER.pack(22, i, act.server))
            elif isinstance(act, CloseIdle):
                add(ONE_SERVER.pack(20, i, act.server))
            elif isinstance(act, Watch):
                add(FOLLOW.pack(18, i, act.on))
            elif isinstance(act, Fetch):
                add(RESOLVE.pack(24, i))
            elif isinstance(act, Log):
                self._text(21, i, act.text)
            else:
                raise TypeError(f"no action: {act!r}")


def _slice(body: bytes, tail_at: int, offset: int, size: int) -> bytes:
    start = tail_at + offset
    if start + size > len(body):
        raise FrameError(f"tail ends before byte {offset + size}")
    return body[start : start + size]


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if data and len(data) < size:
        raise FrameError(f"input ended {size - len(data)} bytes short")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; FrameError if it ends or errs inside one."""
    host = Host()
    while head := _read(source, LENGTH.size):
        size = LENGTH.unpack(head)[0]
        body = _read(source, size)
        if size and not body:
            raise FrameError(f"input ended {size} bytes short")
        sink.write(host.reply_to(body))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingError) as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
