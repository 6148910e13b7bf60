"""The README's example, determinism, what decisions may import, memory and work per event."""

import ast
import random
import re
import sys
import tomllib
from pathlib import Path

import pytest
from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint, make_request, make_settings

from dykefold import Balancer
from dykefold.balancer.actions import Send, SetTimer
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Status, Timer
from dykefold.balancer.settings import Effect

ROOT = Path(__file__).parent.parent


def test_the_readme_example_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    space = {}
    exec(code, space)
    assert space["send"].endpoint_number in (1, 2, 3)
    assert not space["balancer"].pending


BALANCER = sorted((ROOT / "dykefold" / "balancer").glob("*.py"))
PURE = {"__future__", "collections", "copy", "dataclasses", "enum", "heapq", "math", "operator"}
PURE |= {"struct", "typing"}
MAY_NAME_RANDOM = {"context", "picker"}  # where the seeded source is made, and where it is handed on
EFFECTS = {"open", "print", "exec", "eval", "input", "__import__"}


def _imports(path):
    """The modules that a file imports, and those of the package by their names from its folder."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield "." * node.level + (node.module or "")


def test_the_deploy_file_names_the_decisions():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert [ROOT / name for name in deploy["policy"]] == sorted(BALANCER[0].parent.glob("*.py"))
    assert len(BALANCER) > 20


@pytest.mark.parametrize("path", BALANCER, ids=lambda path: path.stem)
def test_decisions_import_nothing_that_does_io_or_knows_the_time(path):
    """Only pure modules and those of the package itself; of `random` only the type of a seeded source."""
    outside = {name for name in _imports(path) if not re.fullmatch(r"\.\w*", name)}
    pure = PURE | ({"random"} if path.stem in MAY_NAME_RANDOM else set())
    assert {name.partition(".")[0] for name in outside} <= pure
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random":
            assert node.attr == "Random"
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            assert {alias.name for alias in node.names} == {"Random"}
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in EFFECTS
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "random.Random":
            assert [ast.unparse(argument) for argument in node.args] == ["seed"]


@pytest.mark.parametrize("path", BALANCER, ids=lambda path: path.stem)
def test_decisions_stand_in_short_files_of_short_documented_functions(path):
    text = path.read_text()
    assert len(text.splitlines()) <= 400
    tree = ast.parse(text)
    assert ast.get_docstring(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef):
            assert node.end_lineno - node.lineno < 50, node.name
        if isinstance(node, ast.FunctionDef | ast.ClassDef) and not node.name.startswith("_"):
            assert ast.get_docstring(node) or any(
                ast.unparse(wrapper).endswith(".setter") for wrapper in node.decorator_list
            ), node.name


def _record(seed, others=0):
    rng = random.Random(5)
    made = [Balancer(make_settings(effect=Effect.SAFE), seed + n) for n in range(others + 1)]
    log = []
    now = START_NS
    for balancer in made:
        balancer.handle(
            now, EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(n, n % 2) for n in range(8)])
        )
    for ident in range(300):
        now += 7 * MS
        for balancer in made:
            actions = balancer.handle(now, make_request(ident, now))
            if balancer is made[0]:
                log += actions
        for action in [a for a in log[-3:] if isinstance(a, Send) and a.id == ident]:
            status = rng.choice([Status.OK, Status.FULL, Status.RESET])
            log += made[0].handle(
                now, Outcome(ident, 0, action.endpoint_number, status, 5 * MS, status is Status.OK)
            )
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
        actions += balancer.handle(now, make_request(ident, now))
        for action in actions:
            if isinstance(action, SetTimer):
                timers.append((now + action.after_ns, action.token))
            elif isinstance(action, Send):
                waiting.append((now + 40 * MS, action.id, action.endpoint_number))
    return now


def test_memory_stays_bounded_while_servers_come_and_go():
    balancer, now = make_balancer(effect=Effect.UNSAFE)
    sizes = []

    def roll(ident, when):
        if ident % 50 == 0:
            entries = [make_endpoint(ident + n) for n in range(6)]
            balancer.handle(when, EndpointListUpdate(ListKind.FULL, ident, entries))
            sizes.append((len(balancer.known_endpoints), len(balancer.timers.heap), len(balancer.pending)))

    _drive(balancer, now, 4000, roll)
    assert max(size[0] for size in sizes) <= 60
    assert max(size[1] for size in sizes[40:]) <= 2 * max(size[1] for size in sizes[:40])
    assert max(size[2] for size in sizes) < 50


def _operations(open_requests):
    """Python function calls for 50 more requests while so many are open."""
    balancer, now = make_balancer(effect=Effect.UNSAFE)
    for ident in range(open_requests):
        balancer.handle(now, make_request(10_000 + ident, now, 60 * SECOND))
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for ident in range(50):
            balancer.handle(now + ident, make_request(ident, now))
    finally:
        sys.setprofile(None)
    return calls


def test_work_per_event_does_not_grow_with_open_requests():
    assert _operations(2000) <= 1.5 * _operations(100)
