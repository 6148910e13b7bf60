"""Adapter to the simulator: it decodes frames into events for balancers, and encodes their actions.

Input that is not a frame of the protocol ends the process with one line on standard error and a non-zero
exit code. An exception in a balancer is reported by the internal-error action of the protocol.
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
    Reject,
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
# The fields of an event follow its code and instance.
EVENT_FIELDS_OFFSET = 3

SHARE = struct.Struct("<BHIII9x")
RETRACT = struct.Struct("<BHQB12x")
FOLLOW = struct.Struct("<BHB20x")
TEXT = struct.Struct("<BHII13x")  # For INTERNAL_ERROR and TRACE.
ONE_ENDPOINT = struct.Struct("<BHI17x")  # For HANG_UP and TOUCH.
TURN_AWAY = struct.Struct("<BHQQ5x")
RESOLVE = struct.Struct("<BH21x")
DISPATCH = struct.Struct("<BHQQIx")
ABORT = struct.Struct("<BHQ13x")
SET_TIMER = struct.Struct("<BHQI9x")
EVERY_PEER = 0xFFFFFFFF

# Flags of an INBOUND record.
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
    """The input is not a frame of the protocol."""


def _outcome(body: bytes, position: int) -> Outcome:
    request_id, attempt, endpoint, reason, duration_ns, last, columns, *report = SETTLED.unpack_from(
        body, position
    )
    status = STATUS.get(reason, Status.ERROR)
    return Outcome(request_id, attempt, endpoint, status, duration_ns, last != 0, tuple(report[:columns]))


def _request(body: bytes, position: int) -> Request:
    request_id, class_number, tenant, key, deadline_ns, cost_ns, flags = INBOUND.unpack_from(body, position)
    return Request(
        request_id,
        class_number,
        tenant,
        deadline_ns,
        key,
        cost_ns if flags & HAS_COST else 0,
        is_retry=flags & IS_RETRY != 0,
        is_write=flags & IS_WRITE != 0,
    )


def _probe_result(body: bytes, position: int) -> ProbeResult:
    endpoint, reason, duration_ns, columns, *report = HEALTH.unpack_from(body, position)
    return ProbeResult(endpoint, STATUS.get(reason, Status.ERROR), duration_ns, tuple(report[:columns]))


DECODERS: dict[int, Callable[[bytes, int], Event]] = {
    EventCode.SETTLED: _outcome,
    EventCode.INBOUND: _request,
    EventCode.BELL: lambda body, position: Timer(BELL.unpack_from(body, position)[0]),
    EventCode.DROPPED: lambda body, position: ClientDisconnected(DROPPED.unpack_from(body, position)[0]),
    EventCode.HEALTH: _probe_result,
    EventCode.FIRST: lambda body, position: StreamStarted(*FIRST.unpack_from(body, position)),
}
# Encoders of actions into records, by the type of the action; arguments are the instance and the action.
ENCODERS: dict[type[Action], Callable[[int, Any], bytes]] = {
    Send: lambda instance, action: DISPATCH.pack(
        ActionCode.DISPATCH, instance, action.id, action.timeout_ns, action.endpoint_number
    ),
    SetTimer: lambda instance, action: SET_TIMER.pack(
        ActionCode.SET_TIMER, instance, action.after_ns, action.token
    ),
    Reject: lambda instance, action: TURN_AWAY.pack(
        ActionCode.TURN_AWAY, instance, action.id, action.retry_after_ns
    ),
    Fail: lambda instance, action: ABORT.pack(ActionCode.ABORT, instance, action.id),
    Cancel: lambda instance, action: RETRACT.pack(ActionCode.RETRACT, instance, action.id, action.attempt),
    Probe: lambda instance, action: ONE_ENDPOINT.pack(ActionCode.TOUCH, instance, action.endpoint_number),
    CloseIdle: lambda instance, action: ONE_ENDPOINT.pack(
        ActionCode.HANG_UP, instance, action.endpoint_number
    ),
    Watch: lambda instance, action: FOLLOW.pack(ActionCode.FOLLOW, instance, action.on),
    Fetch: lambda instance, action: RESOLVE.pack(ActionCode.RESOLVE, instance),
}


class BalancerHost:
    """Runs any number of balancers behind one pair of input and output streams.

    Attributes:
        balancers: Balancers by the number of their instance.
        lists: Endpoint lists by their number in the protocol.
        records: Records of the reply to the current frame.
        tail: Data after the records of that reply, to which records refer.
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
            FrameError: The input is not a frame of the protocol.
            SettingError: The settings of a new instance are invalid.
        """
        if len(body) < HEADER.size:
            problem = "frame shorter than its header"
            raise FrameError(problem)
        now, count = HEADER.unpack_from(body)
        tail_start = HEADER.size + count * EVENT_SIZE
        if len(body) < tail_start:
            problem = f"frame of {len(body)} bytes cannot hold {count} records"
            raise FrameError(problem)
        self.records, self.tail = [], bytearray()
        for position in range(HEADER.size, tail_start, EVENT_SIZE):
            self._handle_record(now, body, position, tail_start)
        payload = b"".join(self.records) + self.tail
        return REPLY.pack(len(self.records), len(payload)) + payload

    def _handle_record(self, now: int, body: bytes, position: int, tail_start: int) -> None:
        code = body[position]
        if code == EventCode.SNAPSHOT_ROWS:
            self._store_endpoint_list(body, position, tail_start)
            return
        (instance,) = INSTANCE.unpack_from(body, position)
        try:
            if code == EventCode.NEW_INSTANCE:
                self._create_balancer(instance, body, position + EVENT_FIELDS_OFFSET, tail_start)
            elif code == EventCode.END_INSTANCE:
                self.balancers.pop(instance, None)
            else:
                self._handle_event(
                    now, instance, self._decode(code, body, position + EVENT_FIELDS_OFFSET, tail_start)
                )
        except (FrameError, SettingError):
            raise
        except Exception as error:  # The protocol has an action for errors in a balancer.
            traceback.print_exc(file=sys.stderr)
            self._append_text_record(ActionCode.INTERNAL_ERROR, instance, f"{type(error).__name__}: {error}")

    def _create_balancer(self, instance: int, body: bytes, position: int, tail_start: int) -> None:
        seed, offset, size = NEW_INSTANCE.unpack_from(body, position)
        text = _slice(body, tail_start, offset, size).decode()
        self.balancers[instance] = Balancer(parse_settings(text), seed)

    def _handle_event(self, now: int, instance: int, event: Event | None) -> None:
        balancer = self.balancers.get(instance)
        if event is None or balancer is None:
            return
        if type(event) is Request and event.class_number >= len(balancer.settings.classes):
            problem = f"request {event.id} is of unknown class {event.class_number}"
            raise FrameError(problem)
        self._append_actions(instance, balancer.handle(now, event))

    def _decode(self, code: int, body: bytes, position: int, tail_start: int) -> Event | None:
        if code == EventCode.ENDPOINTS:
            return self._decode_list_update(body, position)
        if code == EventCode.NOTE_FROM:
            sender, offset, size = NOTE_FROM.unpack_from(body, position)
            return PeerMessage(sender, _slice(body, tail_start, offset, size))
        decode = DECODERS.get(code)
        if decode is None:
            problem = f"event code {code} is unknown"
            raise FrameError(problem)
        return decode(body, position)

    def _decode_list_update(self, body: bytes, position: int) -> EndpointListUpdate | None:
        scope, version, number = ENDPOINTS.unpack_from(body, position)
        kind = LIST_KINDS.get(scope)
        if kind is None:
            return None
        if kind is ListKind.FAILED:
            return EndpointListUpdate(kind, version, [])
        if number not in self.lists:
            problem = f"list {number} was never sent"
            raise FrameError(problem)
        return EndpointListUpdate(kind, version, self.lists[number])

    def _store_endpoint_list(self, body: bytes, position: int, tail_start: int) -> None:
        list_number, offset, count = SNAPSHOT_ROWS.unpack_from(body, position)
        rows = _slice(body, tail_start, offset, count * ENTRY.size)
        self.lists[list_number] = [
            Endpoint(number, zone, kind, cell, STATES.get(phase, State.GONE), weight, started_ns)
            for number, zone, kind, cell, phase, weight, started_ns in ENTRY.iter_unpack(rows)
        ]

    def _append_text_record(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def _append_actions(self, instance: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendToPeer):
                self._append_peer_message(instance, action)
            elif isinstance(action, Log):
                self._append_text_record(ActionCode.TRACE, instance, action.text)
            else:
                self.records.append(ENCODERS[type(action)](instance, action))

    def _append_peer_message(self, instance: int, action: SendToPeer) -> None:
        peer = EVERY_PEER if action.peer is None else action.peer
        self.records.append(SHARE.pack(ActionCode.SHARE, instance, peer, len(self.tail), len(action.data)))
        self.tail += action.data


def _slice(body: bytes, tail_start: int, offset: int, size: int) -> bytes:
    start = tail_start + offset
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
    """Reply to frames until the input ends.

    Args:
        source: Input stream of frames.
        sink: Output stream of replies.

    Raises:
        FrameError: The input ends within a frame, or is not a frame of the protocol.
        SettingError: The settings of a new instance are invalid.
    """
    host = BalancerHost()
    while head := _read(source, LENGTH.size):
        size = LENGTH.unpack(head)[0]
        body = _read(source, size)
        if size and not body:
            problem = f"input ended {size} bytes short"
            raise FrameError(problem)
        sink.write(host.reply_to(body))
        sink.flush()


def main() -> int:
    """Reply to frames on standard input; return the exit code, which is 1 after invalid input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingError) as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
