"""Lost answers, and the limit on a fresh start: what is late, what is lost, what is just new."""

import pytest
from helpers import MS, SECOND, make_balancer, make_request, serve_requests, submit_request

from dykefold.balancer.actions import Cancel, Refuse, Send
from dykefold.balancer.events import Outcome, Status
from dykefold.balancer.settings import Effect


def warm(balancer, now, count=300, took=40 * MS):
    """Enough answers that the module knows what is usual."""
    return serve_requests(balancer, now, range(10_000, 10_000 + count), took)[0]


def overtake(balancer, now, server, answers, step=60 * MS):
    """Answer so many attempts at one server that were sent later; the time and all further actions."""
    done, ident = [], 50_000
    while answers:
        now += MS
        ident += 1
        sent = submit_request(balancer, now, ident)
        done += balancer.handle(now + step, Outcome(ident, 0, sent.endpoint_number, Status.OK, step, True))
        now += step
        answers -= sent.endpoint_number == server
    return now, done


@pytest.mark.parametrize("effect", list(Effect))
def test_an_attempt_that_later_ones_overtake_counts_as_lost_and_is_not_called_off(effect):
    """Guards the limit against answers that never come, and the request against a second copy of it."""
    balancer, now = make_balancer(endpoint_count=1, effect=effect, can_hedge=False)
    now = warm(balancer, now)
    sent = submit_request(balancer, now, 1)
    server = balancer.endpoints.all[sent.endpoint_number]
    now, done = overtake(balancer, now, sent.endpoint_number, 2)
    assert not server.lost
    now, more = overtake(balancer, now, sent.endpoint_number, 1)
    assert server.lost == {(1, 0)}
    assert balancer.limit.in_flight == 0
    assert not [action for action in done + more if isinstance(action, Cancel)]
    assert not [action for action in done + more if isinstance(action, Send) and action.id == 1]


def test_short_work_that_overtakes_long_work_on_another_core_loses_nothing():
    balancer, now = make_balancer(endpoint_count=1, effect=Effect.SAFE, can_hedge=False)
    now = warm(balancer, now)
    sent = submit_request(balancer, now, 1)
    for ident in range(60_000, 60_005):  # five answers within one usual latency
        now += MS
        submit_request(balancer, now, ident)
        balancer.handle(now + 5 * MS, Outcome(ident, 0, sent.endpoint_number, Status.OK, 5 * MS, True))
    assert not balancer.endpoints.all[sent.endpoint_number].lost


def test_a_late_attempt_is_counted_as_pressure_once():
    """Guards the limit: counted while it waited and again at its deadline, by when far fewer are answered,
    a tenth of lost answers drove the limit down to a few requests."""
    balancer, now = make_balancer(endpoint_count=1, effect=Effect.UNSAFE)
    now = warm(balancer, now)
    sent = submit_request(balancer, now, 1)
    server = balancer.endpoints.all[sent.endpoint_number]
    now += 50 * MS
    other = submit_request(balancer, now, 2)
    balancer.handle(now + 40 * MS, Outcome(2, 0, other.endpoint_number, Status.OK, 40 * MS, True))
    counts = []
    real = balancer.congestion.add
    balancer.congestion.add = lambda value, sent: (counts.append(value), real(value, sent))
    balancer.context.now_ns = now = now + SECOND
    balancer.hedging.on_overdue(balancer.answers.pending[1], 0)
    assert len(counts) == 1
    assert server.counted_late == {(1, 0)}
    balancer.handle(now + SECOND, Outcome(1, 0, sent.endpoint_number, Status.TIMEOUT, 2 * SECOND, True))
    assert len(counts) == 1
    assert not server.counted_late


def crowd(balancer, now, wide, took, until):
    """So many clients that each ask as soon as they are answered; refusals, and the time of the last."""
    refused, last, ident = 0, 0, 0
    due = [(now, None)] * wide
    while due:
        due.sort(key=lambda entry: entry[0])
        at, sent = due.pop(0)
        if at >= until:
            break
        if sent is not None:
            balancer.handle(at, Outcome(sent.id, 0, sent.endpoint_number, Status.OK, took, True))
        ident += 1
        actions = balancer.handle(at, make_request(ident, at))
        sends = [action for action in actions if isinstance(action, Send)]
        if sends:
            due.append((at + took, sends[0]))
        elif [action for action in actions if isinstance(action, Refuse)]:
            refused, last = refused + 1, at
            due.append((at + MS, None))  # it asks again at once
        else:
            raise AssertionError("neither sent nor refused")
    return refused, last


def test_a_fresh_sidecar_takes_a_crowd_within_a_few_turns():
    """Guards every restart and every newcomer: 32 desks before four idle servers met 250 to 1,600
    refusals in the first second, since the limit grew by corrections and not by answers."""
    balancer, now = make_balancer(endpoint_count=4, effect=Effect.SAFE)
    refused, last = crowd(balancer, now, 32, 2 * MS, now + SECOND)
    assert refused < 100
    assert last - now < 20 * MS


def test_a_restart_under_load_does_not_read_too_little_from_its_first_answers():
    """Guards the limit after a restart: a mean from nothing over a whole deadline said that hardly
    anything was answered, and the first late answers cut the limit to that."""
    balancer, now = make_balancer(endpoint_count=4, effect=Effect.SAFE)
    crowd(balancer, now, 16, 40 * MS, now + 500 * MS)
    rate = 16 / 0.040
    settled = rate * balancer.congestion.wanted_latency(balancer.context.classes[0]) / SECOND
    assert balancer.limit.wanted_in_flight > 0.7 * settled
