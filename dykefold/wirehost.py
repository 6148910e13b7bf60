"""The wire: frames in, events to the balancers, actions out. It decides nothing.

Input that is no frame of the protocol ends the process with one plain line on standard error and a
non-zero exit. An exception of the decision module goes out as the wire's internal-error action.
"""

from __future__ import annotations

import math
import struct
import sys
import traceback
from typing import BinaryIO

from . import interface as api
from .logic import Balancer

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
    200: api.Status.OK,
    500: api.Status.ERROR,
    503: api.Status.FULL,
    504: api.Status.TIMEOUT,
    502: api.Status.CONNECT_FAILED,
    598: api.Status.RESET,
    499: api.Status.CANCELLED,
    410: api.Status.MOOT,
}
STATES = {0: api.State.GONE, 1: api.State.READY, 2: api.State.DRAINING}
LIST_KINDS = {
    0: api.ListKind.DELTA,
    1: api.ListKind.FULL,
    2: api.ListKind.CACHED,
    3: api.ListKind.FAILED,
}
EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
REPORTS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}


class FrameError(Exception):
    """The input is no frame of this protocol, or a setting in it is of the wrong form."""


class SettingError(FrameError, ValueError):
    """A required setting is missing or unreadable; the text names it."""


def _finite(raw: str) -> float:
    value = float(raw)
    if not math.isfinite(value):
        raise ValueError(raw)
    return value


class _Pairs:
    """The settings text, with errors that name the key."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def _convert(self, key: str, kind, default):
        raw = self.values.get(key)
        if raw is None:
            if default is None:
                raise SettingError(f"setting {key} is missing")
            return default
        try:
            return kind(raw)
        except (ValueError, KeyError):
            raise SettingError(f"setting {key} is unreadable: {raw!r}") from None

    def text(self, key: str, default: str | None = None) -> str:
        return self._convert(key, str, default)

    def whole(self, key: str, default: int | None = None) -> int:
        return self._convert(key, lambda raw: int(_finite(raw)), default)

    def number(self, key: str, default: float | None = None) -> float:
        return self._convert(key, _finite, default)

    def flag(self, key: str, default: bool | None = None) -> bool:
        return self._convert(key, {"true": True, "false": False}.__getitem__, default)

    def choice(self, key: str, choices: dict, default=None):
        return self._convert(key, choices.__getitem__, default)

    def names(self, key: str) -> list[str]:
        return [name for name in self.text(key, "").split(",") if name]


def _request_class(pairs: _Pairs, at: str) -> api.RequestClass:
    deadline = pairs.whole(at + "deadline-ns")
    if deadline <= 0:
        raise SettingError(f"setting {at}deadline-ns is unreadable: no time to answer in")
    return api.RequestClass(
        name=pairs.text(at + "name", ""),
        objective_ns=pairs.whole(at + "objective-ns", deadline),
        deadline_ns=deadline,
        worth=pairs.number(at + "points", 1.0),
        late_worth=pairs.number(at + "late-value", 0.0),
        effect=pairs.choice(at + "repeat", EFFECTS),
        scope=pairs.choice(at + "key-scope", SCOPES, api.Scope.CELL),
        window_ns=pairs.whole(at + "window-ns", 0),
        stream=pairs.flag(at + "stream", False),
    )


def parse_settings(text: str) -> api.Settings:
    """Read the settings text; unknown keys are skipped, unreadable ones raise SettingError."""
    pairs = _Pairs(text)
    count = pairs.whole("classes.count")
    if count < 1:
        raise SettingError("setting classes.count is unreadable: no class")
    tenants = [
        api.Tenant(
            name=pairs.text(f"accounts.{n}.name", ""),
            share=pairs.number(f"accounts.{n}.share", 0.0),
            quota_per_s=pairs.number(f"accounts.{n}.allowance-per-s", 0.0),
        )
        for n in range(pairs.whole("accounts.count", 0))
    ]
    reports = pairs.text("telemetry.how", "silent") != "silent"
    columns = tuple(REPORTS.get(name, name) for name in pairs.names("telemetry.columns"))
    return api.Settings(
        classes=[_request_class(pairs, f"classes.{n}.") for n in range(count)],
        zones=pairs.names("dcs"),
        zone=pairs.whole("my-zone", 0),
        tenants=tenants,
        over_share_worth=pairs.number("over-share-worth", 1.0),
        worth_by_work=pairs.text("worth-by", "request") == "work",
        index=pairs.whole("index", 0),
        fleet_size=pairs.whole("fleet-size", 1),
        tick_ns=pairs.whole("tick-ns", 1_000_000),
        must_ask=pairs.text("discovery", "push") == "ask",
        must_ask_in_ns=pairs.whole("rules.must-ask-in-ns", 10_000_000_000),
        drain_grace_ns=pairs.whole("rules.drain-grace-ns", 0),
        answer_slack_ns=pairs.whole("rules.answer-slack-ns", 0),
        start_capacity=pairs.number("rules.start-capacity", 1.0),
        warm_within_ns=pairs.whole("rules.warm-within-ns", 0),
        overload_factor=pairs.number("rules.overload-factor", 3.0),
        overload_for_ns=pairs.whole("rules.overload-for-ns", 3_000_000_000),
        max_attempts=pairs.whole("ceilings.send-cap"),
        second_copies=pairs.flag("ceilings.second-copies", False),
        can_cancel=pairs.flag("ceilings.cancel", False),
        can_probe=pairs.flag("ceilings.probing", False),
        can_tell=pairs.flag("ceilings.peers", False),
        retry_after=pairs.flag("ceilings.retry-after", False),
        max_retry_after_ns=pairs.whole("ceilings.max-retry-after-ns", 0),
        connect_timeout_ns=pairs.whole("ceilings.connect-timeout-ns", 0),
        report_columns=columns if reports else (),
        weighted=pairs.text("weight-source", "silent") != "silent",
        goal_worst_class=pairs.number("goal.worst-class", 0.0),
        price_cross_zone=pairs.number("prices.cross-zone", 0.0),
        price_waste=pairs.number("prices.waste", 0.0),
        price_probe=pairs.number("prices.probe", 0.0),
        price_peer=pairs.number("prices.peer", 0.0),
    )


class Host:
    """Runs any number of balancers behind one pair of streams."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[api.Endpoint]] = {}
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
                if type(event) is api.Request and event.cls >= len(balancer.settings.classes):
                    raise FrameError(f"request {event.id} is of unknown class {event.cls}")
                self._encode(instance, balancer.handle(now, event))
        except FrameError:
            raise
        except Exception as error:  # the wire has a word for any failure of the module
            traceback.print_exc(file=sys.stderr)
            self._text(19, instance, f"{type(error).__name__}: {error}")

    def _decode(self, code: int, body: bytes, at: int, tail_at: int) -> api.Event | None:
        if code == 20:
            ticket, n, server, reason, took, last, columns, *report = SETTLED.unpack_from(body, at)
            status = STATUS.get(reason, api.Status.ERROR)
            return api.Outcome(ticket, n, server, status, took, last != 0, tuple(report[:columns]))
        if code == 18:
            ticket, cls, tenant, key, deadline, cost, bits = INBOUND.unpack_from(body, at)
            return api.Request(
                ticket, cls, tenant, deadline, key, cost if bits & 1 else 0, bits & 2 != 0, bits & 4 != 0
            )
        if code == 22:
            return api.Timer(BELL.unpack_from(body, at)[0])
        if code == 21:
            return api.Dropped(DROPPED.unpack_from(body, at)[0])
        if code == 17:
            scope, version, number = ENDPOINTS.unpack_from(body, at)
            kind = LIST_KINDS.get(scope)
            if kind is None:
                return None
            if kind is api.ListKind.FAILED:
                return api.Membership(kind, version, [])
            if number not in self.lists:
                raise FrameError(f"list {number} was never sent")
            return api.Membership(kind, version, self.lists[number])
        if code == 24:
            sender, offset, size = NOTE_FROM.unpack_from(body, at)
            return api.PeerMessage(sender, _slice(body, tail_at, offset, size))
        if code == 23:
            server, reason, took, columns, *report = HEALTH.unpack_from(body, at)
            status = STATUS.get(reason, api.Status.ERROR)
            return api.ProbeResult(server, status, took, tuple(report[:columns]))
        if code == 19:
            return api.StreamStarted(*FIRST.unpack_from(body, at))
        raise FrameError(f"event code {code} is unknown")

    def _rows(self, body: bytes, at: int, tail_at: int) -> None:
        number, offset, count = SNAPSHOT_ROWS.unpack_from(body, at)
        rows = _slice(body, tail_at, offset, count * ENTRY.size)
        self.lists[number] = [
            api.Endpoint(server, zone, kind, cell, STATES.get(phase, api.State.GONE), weight, started)
            for server, zone, kind, cell, phase, weight, started in ENTRY.iter_unpack(rows)
        ]

    def _text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.records.append(TEXT.pack(code, instance, len(self.tail), len(data)))
        self.tail += data

    def _encode(self, i: int, actions: list[api.Action]) -> None:
        add = self.records.append
        for act in actions:
            kind = type(act)
            if kind is api.Send:
                add(DISPATCH.pack(25, i, act.id, act.timeout_ns, act.server))
            elif kind is api.SetTimer:
                add(SET_TIMER.pack(27, i, act.after_ns, act.token))
            elif kind is api.Refuse:
                add(TURN_AWAY.pack(23, i, act.id, act.retry_after_ns))
            elif kind is api.Fail:
                add(ABORT.pack(26, i, act.id))
            elif kind is api.Cancel:
                add(RETRACT.pack(17, i, act.id, act.attempt))
            elif kind is api.Tell:
                peer = EVERY_PEER if act.peer is None else act.peer
                add(SHARE.pack(16, i, peer, len(self.tail), len(act.data)))
                self.tail += act.data
            elif kind is api.Probe:
                add(ONE_SERVER.pack(22, i, act.server))
            elif kind is api.CloseIdle:
                add(ONE_SERVER.pack(20, i, act.server))
            elif kind is api.Watch:
                add(FOLLOW.pack(18, i, act.on))
            elif kind is api.Fetch:
                add(RESOLVE.pack(24, i))
            elif kind is api.Log:
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
    except FrameError as error:
        print(f"dykefold: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
