"""The judge of the soak: which outcomes break which rule."""

import pytest

from standins.soak.clients import Outcome
from standins.soak.judge import LATE_ANSWER_S, judge
from standins.soak.plans import KB, LOOKUP, ORDER, RequestPlan, ServerPlan
from standins.soak.servers import AttemptRecord

LONG = RequestPlan("long", LOOKUP, 1.0, ServerPlan(size=100 * KB))
SHORT = RequestPlan("short", ORDER, 1.0)


def outcome(plan=SHORT, **changes):
    values = {"sent_s": 10.0, "first_byte_s": 10.5, "ended_s": 10.5, "status": 200, "whole": True}
    return Outcome("id", plan, **({"written": True} | values | changes))


def attempt(head_s=10.1, **changes):
    return AttemptRecord("id", "s0", head_s, **changes)


@pytest.mark.parametrize(
    ("seen", "attempts", "rules"),
    [
        (outcome(), [], []),
        (outcome(status=0, whole=False), [], ["lost"]),
        (outcome(status=0, whole=False, written=False), [], []),
        (outcome(status=0, whole=False, reused=True), [], []),
        (outcome(status=0, whole=False, reused=True), [attempt()], ["lost"]),
        (outcome(ended_s=11.0 + LATE_ANSWER_S + 0.01), [], ["late"]),
        (outcome(LONG, ended_s=15.0), [], []),
        (outcome(LONG, first_byte_s=11.0 + LATE_ANSWER_S + 0.01, ended_s=15.0), [], ["late"]),
        (outcome(LONG, status=502), [attempt(began_s=10.2, closed_s=10.5)], ["cut-off"]),
        (outcome(LONG, status=502), [attempt(began_s=10.6, closed_s=10.7)], []),
        (outcome(LONG, whole=False), [attempt(began_s=10.2, closed_s=10.5)], ["cut-off"]),
        (outcome(), [attempt(complete_s=10.1), attempt(complete_s=10.3)], ["duplicate"]),
        (outcome(), [attempt(head_s=10.8)], ["after-end"]),
    ],
)
def test_judge(seen, attempts, rules):
    assert [violation.rule for violation in judge([seen], attempts, 10.0, 0.0)] == rules
