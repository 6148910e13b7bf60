"""The README's example, determinism, the size of the module, memory and work per event."""

import random
import re
import sys
from pathlib import Path

from helpers import MS, SECOND, START, endpoint, make, request, settings

from dykefold import Balancer
from dykefold.interface import Effect, ListKind, Membership, Outcome, Send, SetTimer, Status, Timer

ROOT = Path(__file__).parent.parent


def test_the_readme_example_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    space = {}
    exec(code, space)
    assert space["send"].server in (1, 2, 3)
    assert not space["balancer"].open


def test_the_policy_file_stays_within_its_limits_and_names_the_interface_first():
    text = (ROOT / "dykefold" / "logic.py").read_text()
    assert len([line for line in text.splitlines() if line.strip()]) <= 1200
    assert "dykefold/interface.py" in text.splitlines()[0]


def _record(seed, others=0):
    rng = random.Random(5)
    made = [Balancer(settings(effect=Effect.SAFE), seed + n) for n in range(others + 1)]
    log = []
    now = START
    for balancer in made:
        balancer.handle(now, Membership(ListKind.CACHED, 1, [endpoint(n, n % 2) for n in range(8)]))
    for ident in range(300):
        now += 7 * MS
        for balancer in made:
            actions = balancer.handle(now, request(ident, now))
            if balancer is made[0]:
                log += actions
        for action in [a for a in log[-3:] if isinstance(a, Send) and a.id == ident]:
            status = rng.choice([Status.OK, Status.FULL, Status.RESET])
            log += made[0].handle(now, Outcome(ident, 0, action.server, status, 5 * MS, status is Status.OK))
    return log


def test_same_events_same_actions_alone_or_beside_others():
    assert _record(3) == _record(3)
    assert _record(3) == _record(3, others=2)
    assert _record(3) != _record(4)


def _drive(balancer, now, count, per_request=None):
    """Answer every request after 40 ms, with the timers rung."""
    waiting = []
    timers = []
    for ident in range(count):
        now += 10 * MS
        actions = []
        for due, token in [t for t in timers if t[0] <= now]:
            timers.remove((due, token))
            actions += balancer.handle(now, Timer(token))
        while waiting and waiting[0][0] <= now:
            _, key, server = waiting.pop(0)
            balancer.handle(now, Outcome(key, 0, server, Status.OK, 40 * MS, True))
        if per_request:
            per_request(ident, now)
        actions += balancer.handle(now, request(ident, now))
        for action in actions:
            if isinstance(action, SetTimer):
                timers.append((now + action.after_ns, action.token))
            elif isinstance(action, Send):
                waiting.append((now + 40 * MS, action.id, action.server))
    return now


def test_memory_stays_bounded_while_servers_come_and_go():
    balancer, now = make(effect=Effect.UNSAFE)
    sizes = []

    def roll(ident, when):
        if ident % 50 == 0:
            entries = [endpoint(ident + n) for n in range(6)]
            balancer.handle(when, Membership(ListKind.FULL, ident, entries))
            sizes.append((len(balancer.servers), len(balancer.timers), len(balancer.open)))

    _drive(balancer, now, 4000, roll)
    assert max(size[0] for size in sizes) <= 60
    assert max(size[1] for size in sizes[40:]) <= 2 * max(size[1] for size in sizes[:40])
    assert max(size[2] for size in sizes) < 50


def _operations(open_requests):
    """Python function calls for 50 more requests while so many are open."""
    balancer, now = make(effect=Effect.UNSAFE)
    for ident in range(open_requests):
        balancer.handle(now, request(10_000 + ident, now, 60 * SECOND))
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for ident in range(50):
            balancer.handle(now + ident, request(ident, now))
    finally:
        sys.setprofile(None)
    return calls


def test_work_per_event_does_not_grow_with_open_requests():
    assert _operations(2000) <= 1.5 * _operations(100)
