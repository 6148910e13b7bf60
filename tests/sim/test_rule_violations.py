"""Each rule is reported if it is violated, and only then."""

import pytest

from dykefold.balancer.settings import Effect, RequestClass, Scope
from dykefold.sim.rule_records import AttemptStart, WarmUp
from dykefold.sim.rules import Rules

MS = 1_000_000
SECOND = 1000 * MS
LOOKUP, HOLD, ORDER = range(3)


def make_rules():
    classes = [
        RequestClass("lookup", 250 * MS, SECOND, 1.0, 0.0, Effect.SAFE),
        RequestClass("hold", 250 * MS, SECOND, 1.0, 0.0, Effect.KEYED, Scope.CELL, 500 * MS),
        RequestClass("order", 250 * MS, SECOND, 1.0, 0.0, Effect.UNSAFE),
    ]
    return Rules(classes, 500 * MS, 3.0, 2 * SECOND)


def start_attempt(
    rules, at_ms, ident="a", server="n0", group=0, written=True, in_flight=False, proved_not_run=False
):
    attempt = rules.attempt_started(AttemptStart(at_ms * MS, "sidecar0", ident, server, group))
    attempt.written, attempt.in_flight, attempt.proved_not_run = written, in_flight, proved_not_run
    return attempt


def violated_rules(rules):
    return [violation.rule for violation in rules.violations]


@pytest.mark.parametrize(
    ("class_number", "first", "second", "rule"),
    [
        (LOOKUP, {}, {}, None),
        (LOOKUP, {"in_flight": True}, {}, "one attempt"),
        (ORDER, {}, {}, "no effect twice"),
        (ORDER, {"written": False}, {}, None),
        (ORDER, {"proved_not_run": True}, {}, None),
        (HOLD, {}, {}, None),
        (HOLD, {}, {"group": 1}, "no effect twice"),
        (HOLD, {}, {"at_ms": 600}, "no effect twice"),
        (HOLD, {"proved_not_run": True}, {"group": 1, "at_ms": 600}, None),
    ],
)
def test_retry_breaks_rule_by_class_and_earlier_attempt(class_number, first, second, rule):
    rules = make_rules()
    rules.request_sent(0, "a", class_number)
    start_attempt(rules, 1, **first)
    start_attempt(rules, **({"at_ms": 100, "server": "n1"} | second))
    assert violated_rules(rules) == ([rule] if rule else [])


def test_unsafe_request_that_ran_twice_breaks_rule():
    rules = make_rules()
    rules.request_sent(0, "a", ORDER)
    rules.work_started(MS, "a", "n0")
    assert not rules.violations
    rules.work_started(2 * MS, "a", "n1")
    assert violated_rules(rules) == ["no effect twice"]


@pytest.mark.parametrize(
    ("class_number", "rule"), [(LOOKUP, None), (HOLD, "no effect twice"), (ORDER, "no effect twice")]
)
def test_rejection_after_possible_run_breaks_rule_unless_safe(class_number, rule):
    rules = make_rules()
    rules.request_sent(0, "a", class_number)
    start_attempt(rules, 1)
    rules.answered(10 * MS, "a", 503, "refused", SECOND)
    assert violated_rules(rules) == ([rule] if rule else [])


def test_second_late_foreign_or_missing_answer_breaks_rule():
    rules = make_rules()
    for ident in "abcd":
        rules.request_sent(0, ident, LOOKUP)
        rules.work_started(MS, ident, "n0")
    rules.answered(10 * MS, "a", 200, "a n0", SECOND)
    rules.answered(SECOND + 49 * MS, "b", 504, "", SECOND)
    assert not rules.violations
    rules.answered(11 * MS, "a", 200, "a n0", SECOND)
    rules.answered(SECOND + 51 * MS, "c", 504, "", SECOND)
    rules.answered(12 * MS, "d", 200, "a n0", SECOND)
    rules.request_lost(13 * MS, "e", "its connection ended")
    assert violated_rules(rules) == ["one answer", "in time", "own answer", "one answer"]


@pytest.mark.parametrize(
    ("process_lives", "server_ended", "rule"),
    [(True, True, None), (False, False, None), (False, True, None), (True, False, "one answer")],
)
def test_truncated_answer_breaks_rule_unless_server_or_process_ended(process_lives, server_ended, rule):
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    start_attempt(rules, 1).server_ended = True  # An earlier attempt, which does not count.
    start_attempt(rules, 2).server_ended = server_ended
    rules.answer_cut_short(10 * MS, "a", process_lives)
    assert violated_rules(rules) == ([rule] if rule else [])


@pytest.mark.parametrize(
    ("process_lives", "streamed", "written", "rule"),
    [
        (False, True, False, None),
        (True, True, False, "one answer"),
        (False, False, False, "one answer"),
        (False, True, True, "one answer"),
    ],
)
def test_incompletely_read_request_may_have_been_forwarded_only_as_a_stream_when_its_process_died(
    process_lives, streamed, written, rule
):
    rules = make_rules()
    rules.request_sent(0, "a", ORDER)
    start_attempt(rules, 1, written=written, in_flight=True).streamed = streamed
    rules.request_not_read(10 * MS, "a", process_lives)
    assert violated_rules(rules) == ([rule] if rule else [])


def test_answer_after_truncated_answer_breaks_rule():
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    start_attempt(rules, 1).server_ended = True
    rules.work_started(MS, "a", "n0")
    rules.answer_cut_short(10 * MS, "a", True)
    rules.answered(11 * MS, "a", 200, "a n0", SECOND)
    assert violated_rules(rules) == ["one answer"]


def test_truncated_answer_without_attempt_breaks_rule_unless_process_died():
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    rules.request_sent(0, "b", LOOKUP)
    rules.answer_cut_short(10 * MS, "a", False)
    assert not rules.violations
    rules.answer_cut_short(10 * MS, "b", True)
    assert violated_rules(rules) == ["one answer"]


@pytest.mark.parametrize(("at_ms", "rule"), [(99, None), (101, "clients that left")])
def test_attempt_after_client_left_breaks_rule_after_slack(at_ms, rule):
    """The time counts from the first close; a second close does not restart it."""
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    rules.client_left(10 * MS, "a")
    rules.client_left(90 * MS, "a")
    start_attempt(rules, 10 + at_ms)
    assert violated_rules(rules) == ([rule] if rule else [])


@pytest.mark.parametrize(
    ("events", "announced_ms", "rule"),
    [
        (1, 0, None),  # No deadline is announced.
        (1, 749, None),  # At 400 ms, of 1000 ms since its head was read.
        (1, 751, "deadlines"),
        (2, 1149, None),  # It waits for the answer ahead of it: all of its time is left.
        (2, 1151, "deadlines"),
    ],
)
def test_announced_deadline_beyond_remaining_time_breaks_rule(events, announced_ms, rule):
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    rules.deadline_set("a", SECOND, events)
    rules.deadline_started(0, "a")
    rules.attempt_started(AttemptStart(400 * MS, "sidecar0", "a", "n0", 0, announced_ms * MS))
    assert violated_rules(rules) == ([rule] if rule else [])


def test_attempt_after_drain_grace_period_breaks_rule():
    rules = make_rules()
    rules.request_sent(0, "a", LOOKUP)
    rules.endpoint_notified(0, "sidecar0", "n0", False, 0)
    start_attempt(rules, 549)
    assert not rules.violations
    start_attempt(rules, 551)
    assert violated_rules(rules) == ["drains"]
    rules.endpoint_notified(600 * MS, "sidecar0", "n0", True, 5)
    start_attempt(rules, 700)
    assert violated_rules(rules) == ["drains"]


@pytest.mark.parametrize(
    ("notified_since_ms", "violation_count"), [(1_700_000_000_003, 1), (1_700_000_000_002, 0), (None, 0)]
)
def test_requests_beyond_warm_up_budget_break_rule_if_start_is_known(notified_since_ms, violation_count):
    """Capacity: 10 per second at the start, 40 when warm. Budget: 3 times that over 2 s, plus 3 requests.

    Only a sidecar that was notified of this very start, in whole Unix milliseconds, can break the rule.
    """
    rules = make_rules()
    rules.server_started("n0", WarmUp(0, 40.0, 0.25, 4 * SECOND, 1_700_000_000_003))
    if notified_since_ms is not None:
        rules.endpoint_notified(0, "sidecar0", "n0", True, notified_since_ms)
    for number in range(63):
        rules.request_reached(number * MS, "sidecar0", "n0")
    assert not rules.violations
    for number in range(63, 70):
        rules.request_reached(number * MS, "sidecar0", "n0")
    assert len(rules.violations) == violation_count
