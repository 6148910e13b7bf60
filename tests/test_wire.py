"""The simulator adapter: framing, settings text, several instances, invalid input."""

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from dykefold import settings
from dykefold import simulator_adapter as adapter
from dykefold.balancer.settings import Effect, Scope

ROOT = Path(__file__).parent.parent
SETTINGS_TEXT = """\
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


def frame(now_ns, *encoded, tail=b""):
    body = (
        struct.pack("<QI", now_ns, len(encoded))
        + b"".join(record.ljust(48, b"\0") for record in encoded)
        + tail
    )
    return struct.pack("<I", len(body)) + body


def start_instance(instance, settings_text=SETTINGS_TEXT, seed=1, text_offset=0):
    return struct.pack("<BHQII", 16, instance, seed, text_offset, len(settings_text))


def request_record(instance, request_id, deadline_ns):
    return struct.pack("<BHQBHQQQB", 18, instance, request_id, 0, 0, 0, deadline_ns, 0, 0)


def endpoint_entry(endpoint_number, state=1):
    return struct.pack("<IHBHBfQ", endpoint_number, 0, 0, 0, state, 1.0, 0)


def list_rows(list_number, offset, count):
    return struct.pack("<BIII", 26, list_number, offset, count)


def list_update(instance, list_number, scope=2):
    return struct.pack("<BHBII", 17, instance, scope, 1, list_number)


def run_adapter(data):
    output = io.BytesIO()
    adapter.serve(io.BytesIO(data), output)
    return output.getvalue()


def decode_reply(reply):
    """Return the action records of a reply and the bytes that follow them."""
    count, size = struct.unpack_from("<II", reply)
    body = reply[8 : 8 + size]
    return [body[n * 24 : n * 24 + 24] for n in range(count)], body[count * 24 :]


def test_empty_batch_gets_an_empty_reply():
    assert run_adapter(frame(5)) == bytes(8)
    assert run_adapter(b"") == b""


def test_request_is_sent_to_an_endpoint_in_the_wire_format():
    settings_bytes = SETTINGS_TEXT.encode()
    data = frame(
        10,
        start_instance(3),
        list_rows(0, len(settings_bytes), 1),
        list_update(3, 0),
        request_record(3, 77, 10**9),
        tail=settings_bytes + endpoint_entry(4242),
    )
    actions, _ = decode_reply(run_adapter(data))
    sent = [a for a in actions if a[0] == 25]
    assert struct.unpack("<BHQQIx", sent[0])[:3] == (25, 3, 77)
    assert struct.unpack("<BHQQIx", sent[0])[4] == 4242


def test_reused_list_number_refers_to_the_latest_list_before_it():
    settings_bytes = SETTINGS_TEXT.encode()
    data = frame(
        10,
        start_instance(1),
        start_instance(2),
        list_rows(0, len(settings_bytes), 1),
        list_update(1, 0),
        list_rows(0, len(settings_bytes) + 22, 1),
        list_update(2, 0),
        request_record(1, 5, 10**9),
        request_record(2, 6, 10**9),
        tail=settings_bytes + endpoint_entry(11) + endpoint_entry(22),
    )
    sent = [struct.unpack("<BHQQIx", a) for a in decode_reply(run_adapter(data))[0] if a[0] == 25]
    assert {(s[1], s[4]) for s in sent} == {(1, 11), (2, 22)}


def test_instance_restarted_within_a_batch_has_no_state():
    settings_bytes = SETTINGS_TEXT.encode()
    first = frame(
        10,
        start_instance(1),
        list_rows(0, len(settings_bytes), 1),
        list_update(1, 0),
        request_record(1, 5, 10**9),
        tail=settings_bytes + endpoint_entry(11),
    )
    outcome_record = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 0, 0, 0, 0, 0, 0)
    stop_record = struct.pack("<BH", 25, 1)
    second = frame(20, stop_record, start_instance(1, seed=2), outcome_record, tail=settings_bytes)
    assert [a for a in decode_reply(run_adapter(second))[0] if a[0] in (23, 25, 26)] == []
    output = run_adapter(first + second)
    assert output.startswith(run_adapter(first))


def test_events_of_unknown_instances_are_skipped():
    assert run_adapter(frame(1, request_record(9, 5, 10))) == bytes(8)


def settings_without(key):
    return "\n".join(line for line in SETTINGS_TEXT.splitlines() if not line.startswith(key + "="))


def start_frame(settings_text):
    return frame(1, start_instance(4, settings_text), tail=settings_text.encode())


@pytest.mark.parametrize(
    "data",
    [
        frame(1)[:-1],
        b"\x01\x00",
        struct.pack("<I", 4) + b"abcd",
        struct.pack("<IQI", 12, 1, 3),
        struct.pack("<I", 12),
        frame(1, start_instance(0)),
        frame(1, struct.pack("<BIII", 26, 0, 0, 9)),
        frame(1, struct.pack("<BH", 200, 9)),
        frame(1, start_instance(0), list_update(0, 7), tail=SETTINGS_TEXT.encode()),
        frame(1, start_instance(0), struct.pack("<BHQB", 18, 0, 5, 9), tail=SETTINGS_TEXT.encode()),
        start_frame(settings_without("ceilings.send-cap")),
        start_frame(SETTINGS_TEXT.replace("send-cap=3", "send-cap=many")),
        start_frame(SETTINGS_TEXT.replace("points=1.0", "points=nan")),
        start_frame(SETTINGS_TEXT.replace("deadline-ns=1000000000", "deadline-ns=inf")),
        start_frame(SETTINGS_TEXT.replace("deadline-ns=1000000000", "deadline-ns=0")),
    ],
)
def test_invalid_frame_is_reported_in_one_line_with_a_nonzero_exit_code(data):
    process = subprocess.run(
        [sys.executable, "-m", "dykefold.simulator_adapter"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert process.returncode != 0
    assert process.stdout == b""
    assert process.stderr.startswith(b"dykefold: ")
    assert process.stderr.count(b"\n") == 1


def test_exception_of_the_balancer_becomes_an_error_record_with_its_text(monkeypatch):
    def fail(self, now_ns, event):
        raise ZeroDivisionError("of the module")

    monkeypatch.setattr(adapter.Balancer, "handle", fail)
    settings_bytes = SETTINGS_TEXT.encode()
    actions, tail = decode_reply(
        run_adapter(frame(1, start_instance(4), request_record(4, 5, 10**9), tail=settings_bytes))
    )
    assert actions[0][0] == 19
    assert tail == b"ZeroDivisionError: of the module"


def test_unusual_but_legal_events_are_handled():
    """An empty list, an update of an unknown endpoint, a past deadline, an outcome after the answer."""
    settings_bytes = SETTINGS_TEXT.encode()
    late_outcome = struct.pack("<BHQBIHQBB4f", 20, 1, 5, 0, 11, 504, 3, 1, 0, 0, 0, 0, 0)
    gone_entry = struct.pack("<IHBHBfQ", 99, 0, 0, 0, 0, 0.0, 0)
    records = [
        start_instance(1),
        list_rows(0, len(settings_bytes), 0),
        list_update(1, 0),
        list_rows(1, len(settings_bytes), 1),
        list_update(1, 1, 0),
    ]
    first = frame(
        10, *records, request_record(1, 5, 10), late_outcome, late_outcome, tail=settings_bytes + gone_entry
    )
    assert [a[0] for a in decode_reply(run_adapter(first))[0] if a[0] in (19, 23, 25, 26)] == [23]


def test_settings_are_parsed_and_unknown_keys_ignored():
    parsed = settings.parse_settings(SETTINGS_TEXT)
    assert [c.effect for c in parsed.classes] == [Effect.SAFE, Effect.KEYED]
    assert parsed.classes[1].scope is Scope.ZONE
    assert parsed.classes[1].window_ns == 500
    assert parsed.max_attempts == 3
    assert parsed.can_hedge
    assert parsed.can_cancel
    assert not parsed.can_probe
    assert parsed.tenants[0].quota_per_s == 10.0


@pytest.mark.parametrize(
    "key", ["classes.count", "classes.0.deadline-ns", "classes.1.repeat", "ceilings.send-cap"]
)
def test_missing_or_invalid_required_setting_is_named(key):
    lines = [line for line in SETTINGS_TEXT.splitlines() if not line.startswith(key + "=")]
    for settings_text in ("\n".join(lines), "\n".join([*lines, key + "=?"])):
        with pytest.raises(ValueError, match=key):
            settings.parse_settings(settings_text)


def test_instance_acts_the_same_alone_and_beside_others():
    settings_bytes = SETTINGS_TEXT.encode()

    def make_batch(instances):
        setup_records = [start_instance(instance, seed=instance) for instance in instances] + [
            list_rows(0, len(settings_bytes), 4)
        ]
        setup_records += [list_update(instance, 0) for instance in instances]
        requests = [
            request_record(instance, 100 * instance + n, 10**9) for n in range(20) for instance in instances
        ]
        return frame(
            10, *setup_records, *requests, tail=settings_bytes + b"".join(endpoint_entry(n) for n in range(4))
        )

    def actions_of_instance(reply, instance):
        return [a for a in decode_reply(reply)[0] if struct.unpack_from("<xH", a)[0] == instance]

    joint_reply = run_adapter(make_batch([1, 2, 3]))
    for instance in (1, 2, 3):
        assert actions_of_instance(joint_reply, instance) == actions_of_instance(
            run_adapter(make_batch([instance])), instance
        )
