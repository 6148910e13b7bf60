"""The judge reports a server that was overloaded in slow start, and whether the sidecars broke the rule.

The rule counts only windows in which over two thirds of the calls came from notified sidecars.
"""

import math

import pytest

from dykefold.lab.fleet.judge import SlowStart, SlowStartCall, slow_start_budget, slow_start_load

# 100 a second when warm, a quarter of that at the start; factor 3 over 2 s: 150 allowed at the start.
LARGE_BUDGET = SlowStart(capacity_per_s=100.0, start_capacity=0.25, warm_s=20.0, factor=3.0, span_s=2.0)
# 5 a second at the start; factor 1 over 1 s: 5 allowed at the start, and hardly more during that second.
SMALL_BUDGET = SlowStart(capacity_per_s=100.0, start_capacity=0.05, warm_s=1000.0, factor=1.0, span_s=1.0)
ALL_NOTIFIED = dict.fromkeys(range(4), -1.0)


def calls_at(count, at_s=0.1, **fields):
    return [SlowStartCall(at_s + number * 1e-6, number % 4, **fields) for number in range(count)]


def test_slow_start_budget_is_that_of_the_requirements():
    assert slow_start_budget(100.0) == 122.0
    assert slow_start_budget(30.0) == 30.0 + 2.0 * math.sqrt(30.0) + 2.0
    assert slow_start_budget(25.0) == 25.0 + 15.0 + 3.0
    assert slow_start_budget(0.0) == 3.0


CASES = {
    # calls, rules, notification times, whether a server is overloaded, whether the rule is broken
    "just within the budget": (calls_at(174), LARGE_BUDGET, ALL_NOTIFIED, False, False),
    "just over the budget": (calls_at(180), LARGE_BUDGET, ALL_NOTIFIED, True, True),
    "just within a small budget": (calls_at(14), SMALL_BUDGET, ALL_NOTIFIED, False, False),
    "just over a small budget": (calls_at(15), SMALL_BUDGET, ALL_NOTIFIED, True, True),
    "requests of half the mean work": (calls_at(28, work=0.5), SMALL_BUDGET, ALL_NOTIFIED, False, False),
    "requests of twice the mean work": (calls_at(8, work=2.0), SMALL_BUDGET, ALL_NOTIFIED, True, True),
    "no sidecar notified": (calls_at(15), SMALL_BUDGET, {}, True, False),
    "half of the sidecars notified": (calls_at(16), SMALL_BUDGET, {0: 0.0, 1: 0.0}, True, False),
    "three of four sidecars notified": (calls_at(16), SMALL_BUDGET, {0: 0.0, 1: 0.0, 2: 0.0}, True, True),
    "notified after the calls": (calls_at(15), SMALL_BUDGET, dict.fromkeys(range(4), 0.2), True, False),
    "in two windows": (calls_at(14) + calls_at(14, 1.2), SMALL_BUDGET, ALL_NOTIFIED, False, False),
    "across the end of the first second": (
        calls_at(8, 0.9) + calls_at(8, 1.1),
        SMALL_BUDGET,
        ALL_NOTIFIED,
        True,
        True,
    ),
    "before the start of the server": (calls_at(500, -0.5), SMALL_BUDGET, ALL_NOTIFIED, False, False),
    "after the warm-up": (calls_at(500, 20.5), LARGE_BUDGET, ALL_NOTIFIED, False, False),
    "halfway through the warm-up": (calls_at(400, 10.0), LARGE_BUDGET, ALL_NOTIFIED, False, False),
    "the same number at the start": (calls_at(400), LARGE_BUDGET, ALL_NOTIFIED, True, True),
}


@pytest.mark.parametrize("case", CASES)
def test_overload_breaks_the_rule_only_if_sidecars_were_notified(case):
    calls, rules, notified_s, overloaded, broken = CASES[case]
    worst, worst_notified = slow_start_load(calls, 0.0, rules, notified_s)
    assert (worst.is_overloaded, worst_notified.is_overloaded) == (overloaded, broken)
    assert worst_notified.load <= worst.load
    assert worst_notified.mostly_notified == (worst_notified.calls > 0)


def test_window_of_highest_load_counts_calls_by_sidecar():
    calls = [SlowStartCall(0.0, 0), *calls_at(14, first=False), SlowStartCall(0.5, 7)]
    worst, _ = slow_start_load(calls, 0.0, SMALL_BUDGET, ALL_NOTIFIED)
    assert (worst.calls, worst.notified, worst.sidecars) == (16, 15, 5)
    assert (worst.first_calls, worst.retries, worst.max_calls_per_sidecar) == (5, 14, 5)
