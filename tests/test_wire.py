"""The adapter: framing, settings text, many instances, bad input."""

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from dykefold import settings
from dykefold import simulator_adapter as wirehost
from dykefold.balancer.settings import Effect, Scope

ROOT = Path(__file__).parent.parent
TEXT = """\
accounts.count=1
accounts.0.allowance-per-s=10.0
accounts.0.name=a
accounts.0.share=1.0
ceilings.cancel=true
ceilings.send-cap=3
ceilings.second-copies=true
classes.count=2
classes.0.deadline-ns=1000000000
classes.0.objective-ns=300000000
classes.0.points=1.0
classes.0.repeat=pure
classes.1.deadline-ns=1000000000
classes.1.key-scope=zone
classes.1.repeat=token
classes.1.window-ns=500
dcs=here,there
discovery=push
a.key.of.tomorrow=17
"""


def frame(now, *records, tail=b""):
    body = struct.pack("<QI", now, len(records)) + b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<I", len(body)) + body


def start(i, text=TEXT, seed=1, at=0):
    return struct.pack("<BHQII", 16, i, seed, at, len(text))


def inbound(i, ticket, deadline):
    return struct.pack("<BHQBHQQQB", 18, i, ticket, 0, 0, 0, deadline, 0, 0)


def entry(server, phase=1):
    return struct.pack("<IHBHBfQ", server, 0, 0, 0, phase, 1.0, 0)


def rows(number, offset, count):
    return struct.pack("<BIII", 26, number, offset, count)


def endpoints(i, number, scope=2):
    return struct.pack("<BHBII", 17, i, scope, 1, number)


def serve(data):
    out = io.BytesIO()
    wirehost.serve(io.BytesIO(data), out)
    return out.getvalue()


def records(reply):
    """The action records of one reply, with its tail."""
    count, size = struct.unpack_from("<II", reply)
    body = reply[8 : 8 + size]
    return [body[n * 24 : n * 24 + 24] for n in range(count)], body[count * 24 :]


def test_an_empty_batch_gets_an_empty_reply():
    assert serve(frame(5)) == bytes(8)
    assert serve(b"") == b""


def test_a_request_is_dispatched_with_the_bytes_of_the_protocol():
    text = TEXT.encode()
    data = frame(
        10, start(3), rows(0, len(text), 1), endpoints(3, 0), inbound(3, 77, 10**9), tail=text + entry(4242)
    )
    acts, _ = records(serve(data))
    sent = [a for a in acts if a[0] == 25]
    assert struct.unpack("<BHQQIx", sent[0])[:3] == (25, 3, 77)
    assert struct.unpack("<BHQQIx", sent[0])[4] == 4242


def test_a_reused_list_number_means_what_it_meant_at_that_point():
    text = TEXT.encode()
    data = frame(
        10,
        start(1),
        start(2),
        rows(0, len(text), 1),
        endpoints(1, 0),
        rows(0, len(text) + 22, 1),
        endpoints(2, 0),
        inbound(1, 5, 10**9),
        inbound(2, 6, 10**9),
        tail=text + entry(11) + entry(22),
    )
    sent = [struct.unpack("<BHQQIx", a) for a in records(serve(data))[0] if a[0] == 25]
    assert {(s[1], s[4]) for s in sent} == {(1, 11), (2, 22)}


def test_stop_and_a_new_start_in_one_batch_forget_everything():
    text = TEXT.encode()
    first = frame(
        10, start(1), rows(0, len(text), 1), endpoints(1, 0), inbound(1, 5, 10**9), tail=text + entry(11)
    )
    settled = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 0, 0, 0, 0, 0, 0)
    stop = struct.pack("<BH", 25, 1)
    second = frame(20, stop, start(1, seed=2), settled, tail=text)
    assert [a for a in records(serve(second))[0] if a[0] in (23, 25, 26)] == []
    host_out = serve(first + second)
    assert host_out.startswith(serve(first))


def test_events_of_unknown_instances_are_skipped():
    assert serve(frame(1, inbound(9, 5, 10))) == bytes(8)


def without(key):
    return "\n".join(line for line in TEXT.splitlines() if not line.startswith(key + "="))


def start_with(text):
    return frame(1, start(4, text), tail=text.encode())


@pytest.mark.parametrize(
    "data",
    [
        frame(1)[:-1],
        b"\x01\x00",
        struct.pack("<I", 4) + b"abcd",
        struct.pack("<IQI", 12, 1, 3),
        struct.pack("<I", 12),
        frame(1, start(0)),
        frame(1, struct.pack("<BIII", 26, 0, 0, 9)),
        frame(1, struct.pack("<BH", 200, 9)),
        frame(1, start(0), endpoints(0, 7), tail=TEXT.encode()),
        frame(1, start(0), struct.pack("<BHQB", 18, 0, 5, 9), tail=TEXT.encode()),
        start_with(without("ceilings.send-cap")),
        start_with(TEXT.replace("send-cap=3", "send-cap=many")),
        start_with(TEXT.replace("points=1.0", "points=nan")),
        start_with(TEXT.replace("deadline-ns=1000000000", "deadline-ns=inf")),
        start_with(TEXT.replace("deadline-ns=1000000000", "deadline-ns=0")),
    ],
)
def test_a_broken_frame_is_one_line_and_a_failure(data):
    run = subprocess.run(
        [sys.executable, "-m", "dykefold.simulator_adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert run.returncode != 0
    assert run.stdout == b""
    assert run.stderr.startswith(b"dykefold: ")
    assert run.stderr.count(b"\n") == 1


def test_an_exception_of_the_module_becomes_an_error_record_with_its_text(monkeypatch):
    def fail(self, now, event):
        raise ZeroDivisionError("of the module")

    monkeypatch.setattr(wirehost.Balancer, "handle", fail)
    text = TEXT.encode()
    acts, tail = records(serve(frame(1, start(4), inbound(4, 5, 10**9), tail=text)))
    assert acts[0][0] == 19
    assert tail == b"ZeroDivisionError: of the module"


def test_odd_but_legal_rounds_are_decided():
    """A list without servers, a change for an unknown server, a deadline past, an outcome after the end."""
    text = TEXT.encode()
    late = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 1, 0, 0, 0, 0, 0)
    gone = struct.pack("<IHBHBfQ", 99, 0, 0, 0, 0, 0.0, 0)
    parts = [start(1), rows(0, len(text), 0), endpoints(1, 0), rows(1, len(text), 1), endpoints(1, 1, 0)]
    first = frame(10, *parts, inbound(1, 5, 10), late, late, tail=text + gone)
    assert [a[0] for a in records(serve(first))[0] if a[0] in (19, 23, 25, 26)] == [23]


def test_settings_are_read_and_unknown_keys_skipped():
    got = settings.parse_settings(TEXT)
    assert [c.effect for c in got.classes] == [Effect.SAFE, Effect.KEYED]
    assert got.classes[1].scope is Scope.ZONE
    assert got.classes[1].window_ns == 500
    assert got.max_attempts == 3
    assert got.can_hedge
    assert got.can_cancel
    assert not got.can_probe
    assert got.tenants[0].quota_per_s == 10.0


@pytest.mark.parametrize(
    "key", ["classes.count", "classes.0.deadline-ns", "classes.1.repeat", "ceilings.send-cap"]
)
def test_a_missing_or_unreadable_required_setting_is_named(key):
    lines = [line for line in TEXT.splitlines() if not line.startswith(key + "=")]
    for text in ("\n".join(lines), "\n".join([*lines, key + "=?"])):
        with pytest.raises(ValueError, match=key):
            settings.parse_settings(text)


def test_instances_act_alike_together_and_apart():
    text = TEXT.encode()

    def batch(instances):
        opening = [start(i, seed=i) for i in instances] + [rows(0, len(text), 4)]
        opening += [endpoints(i, 0) for i in instances]
        arrivals = [inbound(i, 100 * i + n, 10**9) for n in range(20) for i in instances]
        return frame(10, *opening, *arrivals, tail=text + b"".join(entry(n) for n in range(4)))

    def of(reply, i):
        return [a for a in records(reply)[0] if struct.unpack_from("<xH", a)[0] == i]

    together = serve(batch([1, 2, 3]))
    for i in (1, 2, 3):
        assert of(together, i) == of(serve(batch([i])), i)
