"""Each rule is reported when it is broken, and only then."""

import pytest

from dykefold.balancer.settings import Effect, RequestClass, Scope
from dykefold.sim.rule_records import AttemptStart, WarmUp
from dykefold.sim.rules import Rules

MS = 1_000_000
SECOND = 1000 * MS
LOOKUP, HOLD, ORDER = range(3)


def make():
    classes = [
        RequestClass("lookup", 250 * MS, SECOND, 1.0, 0.0, Effect.SAFE),
        RequestClass("hold", 250 * MS, SECOND, 1.0, 0.0, Effect.KEYED, Scope.CELL, 500 * MS),
        RequestClass("order", 250 * MS, SECOND, 1.0, 0.0, Effect.UNSAFE),
    ]
    return Rules(classes, 500 * MS, 3.0, 2 * SECOND)


def attempt(
    rules, at_ms, ident="a", server="n0", group=0, written=True, in_flight=False, proved_not_run=False
):
    made = rules.attempt_started(AttemptStart(at_ms * MS, "sidecar0", ident, server, group))
    made.written, made.in_flight, made.proved_not_run = written, in_flight, proved_not_run
    return made


def broken(rules):
    return [violation.rule for violation in rules.violations]


@pytest.mark.parametrize(
    ("cls", "first", "second", "rule"),
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
def test_which_retries_break_a_rule(cls, first, second, rule):
    rules = make()
    rules.request_sent(0, "a", cls)
    attempt(rules, 1, **first)
    attempt(rules, **({"at_ms": 100, "server": "n1"} | second))
    assert broken(rules) == ([rule] if rule else [])


def test_an_order_that_ran_twice_whoever_sent_it():
    rules = make()
    rules.request_sent(0, "a", ORDER)
    rules.work_started(MS, "a", "n0")
    assert not rules.violations
    rules.work_started(2 * MS, "a", "n1")
    assert broken(rules) == ["no effect twice"]


@pytest.mark.parametrize(
    ("cls", "rule"), [(LOOKUP, None), (HOLD, "no effect twice"), (ORDER, "no effect twice")]
)
def test_a_rejection_of_what_may_have_run_breaks_a_rule_unless_it_is_harmless(cls, rule):
    rules = make()
    rules.request_sent(0, "a", cls)
    attempt(rules, 1)
    rules.answered(10 * MS, "a", 503, "refused", SECOND)
    assert broken(rules) == ([rule] if rule else [])


def test_a_second_late_foreign_or_missing_answer_breaks_a_rule():
    rules = make()
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
    assert broken(rules) == ["one answer", "in time", "own answer", "one answer"]


@pytest.mark.parametrize(
    ("process_lives", "server_ended", "rule"),
    [(True, True, None), (False, False, None), (False, True, None), (True, False, "one answer")],
)
def test_an_answer_in_part_needs_a_server_or_a_process_that_ended(process_lives, server_ended, rule):
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    attempt(rules, 1).server_ended = True  # of an earlier attempt, which excuses nothing
    attempt(rules, 2).server_ended = server_ended
    rules.answer_cut_short(10 * MS, "a", process_lives)
    assert broken(rules) == ([rule] if rule else [])


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
    rules = make()
    rules.request_sent(0, "a", ORDER)
    attempt(rules, 1, written=written, in_flight=True).streamed = streamed
    rules.request_not_read(10 * MS, "a", process_lives)
    assert broken(rules) == ([rule] if rule else [])


def test_an_answer_after_one_in_part_is_a_second_one():
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    attempt(rules, 1).server_ended = True
    rules.work_started(MS, "a", "n0")
    rules.answer_cut_short(10 * MS, "a", True)
    rules.answered(11 * MS, "a", 200, "a n0", SECOND)
    assert broken(rules) == ["one answer"]


def test_an_answer_in_part_of_a_request_never_sent_on_needs_the_death_of_the_process():
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    rules.request_sent(0, "b", LOOKUP)
    rules.answer_cut_short(10 * MS, "a", False)
    assert not rules.violations
    rules.answer_cut_short(10 * MS, "b", True)
    assert broken(rules) == ["one answer"]


@pytest.mark.parametrize(("at_ms", "rule"), [(99, None), (101, "clients that left")])
def test_attempts_after_a_client_has_left(at_ms, rule):
    """From its close on it counts; a second close, of a connection that has gone, changes nothing."""
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    rules.client_left(10 * MS, "a")
    rules.client_left(90 * MS, "a")
    attempt(rules, 10 + at_ms)
    assert broken(rules) == ([rule] if rule else [])


@pytest.mark.parametrize(
    ("events", "told_ms", "rule"),
    [
        (1, 0, None),  # nothing is told
        (1, 749, None),  # at 400 ms, of 1000 ms since it was read
        (1, 751, "deadlines"),
        (2, 1149, None),  # it waits for the answer ahead of it: all of its time is left
        (2, 1151, "deadlines"),
    ],
)
def test_the_deadline_announced_to_a_server_is_within_what_its_client_has_left(events, told_ms, rule):
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    rules.deadline_set("a", SECOND, events)
    rules.deadline_started(0, "a")
    rules.attempt_started(AttemptStart(400 * MS, "sidecar0", "a", "n0", 0, told_ms * MS))
    assert broken(rules) == ([rule] if rule else [])


def test_an_attempt_after_the_grace_period_of_a_drain_breaks_a_rule():
    rules = make()
    rules.request_sent(0, "a", LOOKUP)
    rules.endpoint_notified(0, "sidecar0", "n0", False, 0)
    attempt(rules, 549)
    assert not rules.violations
    attempt(rules, 551)
    assert broken(rules) == ["drains"]
    rules.endpoint_notified(600 * MS, "sidecar0", "n0", True, 5)
    attempt(rules, 700)
    assert broken(rules) == ["drains"]


@pytest.mark.parametrize(("told_ms", "found"), [(1_700_000_000_003, 1), (1_700_000_000_002, 0), (None, 0)])
def test_more_requests_than_the_budget_of_a_cold_server_break_a_rule(told_ms, found):
    """A capacity of 10 a second at the start and 40 when warm; 3 times that over 2 s, and 3 more.

    Whoever was told knows this very start, which a wall clock named in whole milliseconds.
    """
    rules = make()
    rules.server_started("n0", WarmUp(0, 40.0, 0.25, 4 * SECOND, 1_700_000_000_003))
    if told_ms is not None:
        rules.endpoint_notified(0, "sidecar0", "n0", True, told_ms)
    for number in range(63):
        rules.request_reached(number * MS, "sidecar0", "n0")
    assert not rules.violations
    for number in range(63, 70):
        rules.request_reached(number * MS, "sidecar0", "n0")
    assert len(rules.violations) == found
