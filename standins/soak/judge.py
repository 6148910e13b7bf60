"""Judge of a soak run: the rules on lost and repeated requests, and the limit on memory."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from .clients import Outcome
from .plans import MAX_SMALL_BYTES, ORDER
from .servers import AttemptRecord

# The pages: up to half a second after its time an answer only earns nothing; limits are 50 ms longer.
LATE_ANSWER_S = 0.5 + 0.05
# The pages: an attempt may begin this long after the end of its request, and a sidecar may be held up.
ATTEMPT_AFTER_END_S = 0.1 + 0.15
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule.

    Attributes:
        rule: `lost`, `late`, `cut-off`, `duplicate`, `after-end`, `memory` or `crash`.
        text: What was seen.
    """

    rule: str
    text: str


def judge(
    outcomes: Iterable[Outcome], attempts: Iterable[AttemptRecord], began_s: float, lag_s: float
) -> list[Violation]:
    """Return the rules that a run broke.

    Args:
        outcomes: Outcomes of the requests whose clients stayed until the end.
        attempts: Attempts of all servers.
        began_s: Start of the run, from which the texts count.
        lag_s: Longest delay of the rig itself, by which times are excused.
    """
    by_request: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in attempts:
        by_request[attempt.request_id].append(attempt)
    violations = []
    for outcome in outcomes:
        own = by_request.get(outcome.request_id, [])
        violations += [
            Violation(rule, f"{rule}: {_describe(outcome, own, began_s)}")
            for rule in _broken_rules(outcome, own, lag_s)
        ]
    return violations


def _broken_rules(outcome: Outcome, attempts: list[AttemptRecord], lag_s: float) -> list[str]:
    rules = []
    crossed = outcome.reused and not outcome.status and not attempts  # The client sends it once more.
    if not outcome.status and outcome.written and not crossed:  # Before its last byte it is not taken.
        rules.append("lost")
    elif _answer_time_s(outcome) > outcome.due_s + LATE_ANSWER_S + lag_s:
        rules.append("late")
    if _is_cut_off(outcome, attempts):
        rules.append("cut-off")
    if outcome.plan.request_class is ORDER and sum(attempt.complete_s > 0 for attempt in attempts) > 1:
        rules.append("duplicate")
    if any(attempt.head_s > outcome.ended_s + ATTEMPT_AFTER_END_S + lag_s for attempt in attempts):
        rules.append("after-end")
    return rules


def _answer_time_s(outcome: Outcome) -> float:
    """Return the time that counts: of the first byte for a long answer, otherwise of the last one."""
    is_long = outcome.status == HTTP_OK and outcome.plan.server.size > MAX_SMALL_BYTES
    return outcome.first_byte_s if is_long else outcome.ended_s


def _is_cut_off(outcome: Outcome, attempts: list[AttemptRecord]) -> bool:
    if outcome.whole and outcome.status == HTTP_OK:
        return False
    is_long = outcome.plan.server.size > MAX_SMALL_BYTES
    return is_long and any(
        attempt.closed_s and 0 < attempt.began_s < outcome.first_byte_s for attempt in attempts
    )


def _describe(outcome: Outcome, attempts: list[AttemptRecord], began_s: float) -> str:
    plan = outcome.plan
    parts = [
        f"{plan.kind}, {'chunked' if plan.server.chunked or plan.chunked else 'length'}, "
        f"answer {plan.server.size}, body {plan.body}, id {outcome.request_id}, "
        f"class {plan.request_class.name}, sent {outcome.sent_s - began_s:.3f}, wait {plan.wait_s:.3f}, "
        f"first byte {max(outcome.first_byte_s - began_s, 0):.3f}, ended {outcome.ended_s - began_s:.3f}, "
        f"status {outcome.status}, got {outcome.body} {outcome.problem}"
    ]
    parts += [
        f"{attempt.server} head {attempt.head_s - began_s:.3f} gave {attempt.given} "
        f"closed {max(attempt.closed_s - began_s, 0):.3f}"
        for attempt in attempts
    ]
    return "; ".join(parts)
