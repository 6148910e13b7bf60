"""The judge of slow start finds a play that breaks the budget, and lets one pass that keeps it."""

import math

import pytest

from dykefold.lab.fleet.judge import SlowStart, SlowStartCall, slow_start_budget, slow_start_load

# 100 a second when warm, a quarter of it at first; three times that over 2 s: 150 allowed at its start.
WIDE = SlowStart(capacity_per_s=100.0, start_capacity=0.25, warm_s=20.0, factor=3.0, span_s=2.0)
# Once of 5 a second over a second: 5 allowed at its start, and hardly more in that second.
FEW = SlowStart(capacity_per_s=100.0, start_capacity=0.05, warm_s=1000.0, factor=1.0, span_s=1.0)
EVERYBODY = dict.fromkeys(range(4), -1.0)


def together(count, at_s=0.1, **more):
    return [SlowStartCall(at_s + number * 1e-6, number % 4, **more) for number in range(count)]


def test_the_budget_is_the_operators():
    assert slow_start_budget(100.0) == 122.0
    assert slow_start_budget(30.0) == 30.0 + 2.0 * math.sqrt(30.0) + 2.0
    assert slow_start_budget(25.0) == 25.0 + 15.0 + 3.0
    assert slow_start_budget(0.0) == 3.0


TABLE = {
    # calls, rules, notified, whether a server falls, whether the rule is broken
    "just within": (together(174), WIDE, EVERYBODY, False, False),
    "one over": (together(180), WIDE, EVERYBODY, True, True),
    "few, just within": (together(14), FEW, EVERYBODY, False, False),
    "few, one over": (together(15), FEW, EVERYBODY, True, True),
    "half the mean work": (together(28, work=0.5), FEW, EVERYBODY, False, False),
    "twice the mean work": (together(8, work=2.0), FEW, EVERYBODY, True, True),
    "nobody was notified": (together(15), FEW, {}, True, False),
    "half were notified": (together(16), FEW, {0: 0.0, 1: 0.0}, True, False),
    "three of four were": (together(16), FEW, {0: 0.0, 1: 0.0, 2: 0.0}, True, True),
    "notified, but later": (together(15), FEW, dict.fromkeys(range(4), 0.2), True, False),
    "in two spans": (together(14) + together(14, 1.2), FEW, EVERYBODY, False, False),
    "across two spans": (together(8, 0.9) + together(8, 1.1), FEW, EVERYBODY, True, True),
    "before its start": (together(500, -0.5), FEW, EVERYBODY, False, False),
    "when it is warm": (together(500, 20.5), WIDE, EVERYBODY, False, False),
    "when it is half warm": (together(400, 10.0), WIDE, EVERYBODY, False, False),
    "as many at its start": (together(400), WIDE, EVERYBODY, True, True),
}


@pytest.mark.parametrize("case", TABLE)
def test_a_play_that_breaks_the_budget_is_found(case):
    calls, rules, notified_s, falls, broken = TABLE[case]
    worst, worst_known = slow_start_load(calls, 0.0, rules, notified_s)
    assert (worst.falls, worst_known.falls) == (falls, broken)
    assert worst_known.load <= worst.load
    assert worst_known.known == (worst_known.calls > 0)


def test_the_worst_span_tells_whose_calls_came():
    calls = [SlowStartCall(0.0, 0), *together(14, first=False), SlowStartCall(0.5, 7)]
    worst, _ = slow_start_load(calls, 0.0, FEW, EVERYBODY)
    assert (worst.calls, worst.notified, worst.sidecars) == (16, 15, 5)
    assert (worst.first_calls, worst.retries, worst.max_calls_per_sidecar) == (5, 14, 5)
