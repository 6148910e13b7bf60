"""The adapter to the simulator: it decodes frames to events for balancers, and encodes their actions.

Input that is no frame of the protocol ends the process with one plain line on standard error and a
non-zero exit code. An exception of a balancer is sent as the internal-error action of the protocol.
"""

from __future__ import annotations

import struct
import sys
import traceback
from collections.abc import Callable
from enum import IntEnum
from typing import Any, BinaryIO

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
    EndpointListUpdate,
    Event,
    ListKind,
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
# The fields of an event begin behind code and instance.
EVENT_FIELDS_OFFSET = 3

SHARE = struct.Struct("<BHIII9x")
RETRACT = struct.Struct("<BHQB12x")
FOLLOW = struct.Struct("<BHB20x")
TEXT = struct.Struct("<BHII13x")  # Of INTERNAL_ERROR and TRACE.
ONE_ENDPOINT = struct.Struct("<BHI17x")  # Of HANG_UP and TOUCH.
TURN_AWAY = struct.Struct("<BHQQ5x")
RESOLVE = struct.Struct("<BH21x")
DISPATCH = struct.Struct("<BHQQIx")
ABORT = struct.Struct("<BHQ13x")
SET_TIMER = struct.Struct("<BHQI9x")
EVERY_PEER = 0xFFFFFFFF

# Bits of an INBOUND record.
HAS_COST = 1
IS_RETRY = 2
IS_WRITE = 4

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


class EventCode(IntEnum):
    """Codes of the records in the input; the names are those of the protocol."""

    NEW_INSTANCE = 16
    ENDPOINTS = 17
    INBOUND = 18
    FIRST = 19
    SETTLED = 20
    DROPPED = 21
    BELL = 22
    HEALTH = 23
    NOTE_FROM = 24
    END_INSTANCE = 25
    SNAPSHOT_ROWS = 26


class ActionCode(IntEnum):
    """Codes of the records in a reply; the names are those of the protocol."""

    SHARE = 16
    RETRACT = 17
    FOLLOW = 18
    INTERNAL_ERROR = 19
    HANG_UP = 20
    TRACE = 21
    TOUCH = 22
    TURN_AWAY = 23
    RESOLVE = 24
    DISPATCH = 25
    ABORT = 26
    SET_TIMER = 27


class FrameError(Exception):
    """The input is no frame of the protocol."""


def _outcome(body: bytes, at: int) -> Outcome:
    request_id, attempt, endpoint, reason, duration_ns, last, columns, *report = SETTLED.unpack_from(body, at)
    status = STATUS.get(reason, Status.ERROR)
    return Outcome(request_id, attempt, endpoint, status, duration_ns, last != 0, tuple(report[:columns]))


def _request(body: bytes, at: int) -> Request:
    request_id, class_number, tenant, key, deadline_ns, cost_ns, bits = INBOUND.unpack_from(body, at)
    return Request(
        request_id,
        class_number,
        tenant,
        deadline_ns,
        key,
        cost_ns if bits & HAS_COST else 0,
        is_retry=bits & IS_RETRY != 0,
        is_write=bits & IS_WRITE != 0,
    )


def _probe_result(body: bytes, at: int) -> ProbeResult:
    endpoint, reason, duration_ns, columns, *report = HEALTH.unpack_from(body, at)
    return ProbeResult(endpoint, STATUS.get(reason, Status.ERROR), duration_ns, tuple(report[:columns]))


DECODERS: dict[int, Callable[[bytes, int], Event]] = {
    EventCode.SETTLED: _outcome,
    EventCode.INBOUND: _request,
    EventCode.BELL: lambda body, at: Timer(BELL.unpack_from(body, at)[0]),
    EventCode.DROPPED: lambda body, at: ClientDisconnected(DROPPED.unpack_from(body, at)[0]),
    EventCode.HEALTH: _probe_result,
    EventCode.FIRST: lambda body, at: StreamStarted(*FIRST.unpack_from(body, at)),
}
# Encoders of actions to records, by the type of the action; the arguments are the instance and the action.
ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    Send: lambda i, act: DISPATCH.pack(ActionCode.DISPATCH, i, act.id, act.timeout_ns, act.endpoint_number),
    SetTimer: lambda i, act: SET_TIMER.pack(ActionCode.SET_TIMER, i, act.after_ns, act.token),
    Refuse: lambda i, act: TURN_AWAY.pack(ActionCode.TURN_AWAY, i, act.id, act.retry_after_ns),
    Fail: lambda i, act: ABORT.pack(ActionCode.ABORT, i, act.id),
    Cancel: lambda i, act: RETRACT.pack(ActionCode.RETRACT, i, act.id, act.attempt),
    Probe: lambda i, act: ONE_ENDPOINT.pack(ActionCode.TOUCH, i, act.endpoint_number),
    CloseIdle: lambda i, act: ONE_ENDPOINT.pack(ActionCode.HANG_UP, i, act.endpoint_number),
    Watch: lambda i, act: FOLLOW.pack(ActionCode.FOLLOW, i, act.on),
    Fetch: lambda i, act: RESOLVE.pack(ActionCode.RESOLVE, i),
}


class Host:
    """Runs any number of balancers behind one pair of streams.

    Attributes:
        balancers: Balancers by the number of their instance.
        lists: Endpoint lists by the number under which they were sent.
        records: Records of the reply to the current frame.
        tail: Bytes behind the records of that reply, to which records refer.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[Endpoint]] = {}
        self.records: list[bytes] = []
        self.tail = bytearray()

    def reply_to(self, body: bytes) -> bytes:
        """Return the reply to one frame.

        Args:
            body: Frame without its length field.

        Raises:
            FrameError: The input is no frame of the protocol.
            SettingError: The settings of a new instance are not valid.
        """
        if len(body) < HEADER.size:
            problem = "frame shorter than its header"
            raise FrameError(problem)
        now, count = HEADER.unpack_from(body)
        tail_at = HEADER.size + count * EVENT_SIZE
        if len(body) < tail_at:
            problem = f"frame of {len(body)} bytes cannot hold {count} records"
            raise FrameError(problem)
        self.records, self.tail = [], bytearray()
        for at in range(HEADER.size, tail_at, EVENT_SIZE):
            self._record(now, body, at, tail_at)
        payload = b"".join(self.records) + self.tail
        return REPLY.pack(len(self.records), len(payload)) + payload

    def _record(self, now: int, body: bytes, at: int, tail_at: int) -> None:
        code = body[at]
        if code == EventCode.SNAPSHOT_ROWS:
            self._rows(body, at, tail_at)
            return
        (instance,) = INSTANCE.unpack_from(body, at)
        try:
            if code == EventCode.NEW_INSTANCE:
                self._new_instance(instance, body, at + EVENT_FIELDS_OFFSET, tail_at)
            elif code == EventCode.END_INSTANCE:
                self.balancers.pop(instance, None)
            else:
                self._event(now, instance, self._decode(code, body, at + EVENT_FIELDS_OFFSET, tail_at))
        except (FrameError, SettingError):
            raise
        except Exception as error:  # The protocol has an action for any error of a balancer.
            traceback.print_exc(file=sys.stderr)
            self._text(ActionCode.INTERNAL_ERROR, instance, f"{type(error).__name__}: {error}")

    def _new_instance(self, instance: int, body: bytes, at: int, tail_at: int) -> None:
        seed, offset, size = NEW_INSTANCE.unpack_from(body, at)
        text = _slice(body, tail_at, offset, size).decode()
        self.balancers[instance] = Balancer(parse_settings(text), seed)

    def _event(self, now: int, instance: int, event: Event | None) -> None:
        balancer = self.balancers.get(instance)
        if event is None or balancer is None:
            return
        if type(event) is Request and event.class_number >= len(balancer.settings.classes):
            problem = f"request {event.id} is of unknown class {event.class_number}"
            raise FrameError(problem)
        self._encode(instance, balancer.handle(now, event))

    def _decode(self, code: int, body: bytes, at: int, tail_at: int) -> Event | None:
        if code == EventCode.ENDPOINTS:
            return self._membership(body, at)
        if code == EventCode.NOTE_FROM:
            sender, offset, size = NOTE_FROM.unpack_from(body, at)
            return PeerMessage(sender, _slice(body, tail_at, offset, size))
        decode = DECODERS.get(code)
        if decode is None:
            problem = f"event code {code} is unknown"
            raise FrameError(problem)
        return decode(body, at)

    def _membership(self, body: bytes, at: int) -> EndpointListUpdate | None:
        scope, version, number = ENDPOINTS.unpack_from(body, at)
        kind = LIST_KINDS.get(scope)
        if kind is None:
            return None
        if kind is ListKind.FAILED:
            return EndpointListUpdate(kind, version, [])
        if number not in self.lists:
            problem = f"list {number} was never sent"
            raise FrameError(problem)
        return EndpointListUpdate(kind, version, self.lists[number])

    def _rows(self, body: bytes, at: int, tail_at: int) -> None:
        list_number, offset, count = SNAPSHOT_ROWS.unpack_from(body, at)
        rows = _slice(body, tail_at, offset, count * ENTRY.size)
        self.lists[list_number] = [
            Endpoint(number, zone, kind, cell, STATES.get(phase, State.GONE), weight, started_ns)
            for number, zone, kind, cell, phase, weight, started_ns in ENTRY.iter_unpack(rows)
        ]

    def _text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def _encode(self, instance: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._share(instance, action)
            elif isinstance(action, Log):
                self._text(ActionCode.TRACE, instance, action.text)
            else:
                self.records.append(ENCODERS[type(action)](instance, action))

    def _share(self, instance: int, action: SendToPeer) -> None:
        peer = EVERY_PEER if action.peer is None else action.peer
        self.records.append(SHARE.pack(ActionCode.SHARE, instance, peer, len(self.tail), len(action.data)))
        self.tail += action.data


def _slice(body: bytes, tail_at: int, offset: int, size: int) -> bytes:
    start = tail_at + offset
    if start + size > len(body):
        problem = f"tail ends before byte {offset + size}"
        raise FrameError(problem)
    return body[start : start + size]


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if data and len(data) < size:
        problem = f"input ended {size - len(data)} bytes short"
        raise FrameError(problem)
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends.

    Args:
        source: Stream of frames.
        sink: Stream of replies.

    Raises:
        FrameError: The input ends inside a frame, or is no frame of the protocol.
        SettingError: The settings of a new instance are not valid.
    """
    host = Host()
    while head := _read(source, LENGTH.size):
        size = LENGTH.unpack(head)[0]
        body = _read(source, size)
        if size and not body:
            problem = f"input ended {size} bytes short"
            raise FrameError(problem)
        sink.write(host.reply_to(body))
        sink.flush()


def main() -> int:
    """Answer frames of standard input; return the exit code, 1 if the input is no frame of the protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingError) as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
