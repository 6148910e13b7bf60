"""Small settings and events for the tests."""

from dykefold import Balancer
from dykefold.balancer.actions import Send, SetTimer
from dykefold.balancer.events import Endpoint, ListKind, Membership, Outcome, Request, State, Status, Timer
from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings

MS = 1_000_000
SECOND = 1_000 * MS
START = 1_000 * SECOND


def settings(effect=Effect.SAFE, scope=Scope.CELL, **more):
    spec = RequestClass("only", 500 * MS, 2 * SECOND, 1.0, 0.2, effect, scope, 4 * SECOND)
    values = {
        "classes": [spec],
        "zones": ["a", "b"],
        "max_attempts": 3,
        "can_hedge": True,
        "can_cancel": True,
        "start_capacity": 0.2,
        "warm_within_ns": 10 * SECOND,
        "connect_timeout_ns": 200 * MS,
        "retry_after": True,
        "max_retry_after_ns": SECOND,
    }
    values.update(more)
    return Settings(**values)


def endpoint(server, zone=0, cell=0, state=State.READY, started=0):
    return Endpoint(server, zone, 0, cell, state, 1.0, started)


def make(servers=6, seed=1, entries=None, **more):
    balancer = Balancer(settings(**more), seed)
    if entries is None:
        entries = [endpoint(100 + n, zone=n % 2, cell=n // 3) for n in range(servers)]
    balancer.handle(START, Membership(ListKind.CACHED, 1, entries))
    return balancer, START


def request(ident, now, length=2 * SECOND, cls=0, tenant=0):
    return Request(ident, cls, tenant, now + length)


def send_one(balancer, now, ident, length=2 * SECOND, cls=0):
    actions = balancer.handle(now, request(ident, now, length, cls))
    return next(a for a in actions if isinstance(a, Send))


def serve(balancer, now, idents, took):
    """Requests one after another, each answered in time; the time after the last, and the servers used."""
    used = set()
    for ident in idents:
        sent = send_one(balancer, now, ident)
        used.add(sent.endpoint_number)
        now += took
        balancer.handle(now, Outcome(ident, 0, sent.endpoint_number, Status.OK, took, True))
    return now, used


def kinds(actions, *types):
    return [action for action in actions if isinstance(action, types)]


def play_timers(balancer, now, actions, until):
    """All actions of the timers that fall due before a time, in order."""
    due = [(now + a.after_ns, a.token) for a in kinds(actions, SetTimer)]
    done = []
    while due:
        due.sort()
        when, token = due.pop(0)
        if when >= until:
            break
        new = balancer.handle(when, Timer(token))
        due += [(when + a.after_ns, a.token) for a in kinds(new, SetTimer)]
        done += [(when, a) for a in new]
    return done
