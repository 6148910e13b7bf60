"""The README example, determinism, imports of the balancer package, memory and work per event."""

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


def test_readme_example_runs():
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    namespace = {}
    exec(code, namespace)
    assert namespace["send"].endpoint_number in (1, 2, 3)
    assert not namespace["balancer"].pending


BALANCER_MODULES = sorted((ROOT / "dykefold" / "balancer").glob("*.py"))
ALLOWED_IMPORTS = {"__future__", "collections", "copy", "dataclasses", "enum", "heapq", "math", "operator"}
ALLOWED_IMPORTS |= {"struct", "typing"}
MODULES_WITH_RANDOM = {"context", "picker"}  # which create the seeded generator and pass it on
FORBIDDEN_CALLS = {"open", "print", "exec", "eval", "input", "__import__"}


def _imported_modules(path):
    """Yield the names of the modules that a file imports, relative imports with their leading dots."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield "." * node.level + (node.module or "")


def test_deploy_file_lists_all_balancer_modules():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert [ROOT / name for name in deploy["policy"]] == sorted(BALANCER_MODULES[0].parent.glob("*.py"))
    assert len(BALANCER_MODULES) > 20


@pytest.mark.parametrize("path", BALANCER_MODULES, ids=lambda path: path.stem)
def test_balancer_module_imports_nothing_for_io_or_time(path):
    """Only pure modules and those of the package; of `random` only the class, with the given seed."""
    external_imports = {name for name in _imported_modules(path) if not re.fullmatch(r"\.\w*", name)}
    allowed = ALLOWED_IMPORTS | ({"random"} if path.stem in MODULES_WITH_RANDOM else set())
    assert {name.partition(".")[0] for name in external_imports} <= allowed
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "random":
            assert node.attr == "Random"
        if isinstance(node, ast.ImportFrom) and node.module == "random":
            assert {alias.name for alias in node.names} == {"Random"}
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            assert node.func.id not in FORBIDDEN_CALLS
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "random.Random":
            assert [ast.unparse(argument) for argument in node.args] == ["seed"]


@pytest.mark.parametrize("path", BALANCER_MODULES, ids=lambda path: path.stem)
def test_balancer_module_has_bounded_length_and_short_documented_functions(path):
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


def _record_actions(seed, other_count=0):
    rng = random.Random(5)
    balancers = [Balancer(make_settings(effect=Effect.SAFE), seed + n) for n in range(other_count + 1)]
    recorded_actions = []
    now_ns = START_NS
    for balancer in balancers:
        balancer.handle(
            now_ns, EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(n, n % 2) for n in range(8)])
        )
    for request_id in range(300):
        now_ns += 7 * MS
        for balancer in balancers:
            actions = balancer.handle(now_ns, make_request(request_id, now_ns))
            if balancer is balancers[0]:
                recorded_actions += actions
        for action in [a for a in recorded_actions[-3:] if isinstance(a, Send) and a.id == request_id]:
            status = rng.choice([Status.OK, Status.FULL, Status.RESET])
            recorded_actions += balancers[0].handle(
                now_ns, Outcome(request_id, 0, action.endpoint_number, status, 5 * MS, status is Status.OK)
            )
    return recorded_actions


def test_same_events_and_seed_give_the_same_actions_beside_other_balancers():
    assert _record_actions(3) == _record_actions(3)
    assert _record_actions(3) == _record_actions(3, other_count=2)
    assert _record_actions(3) != _record_actions(4)


def _serve_requests(balancer, now_ns, count, per_request=None):
    """Serve requests, each answered after 40 ms, and run the timers that are due."""
    in_flight = []
    timers = []
    for request_id in range(count):
        now_ns += 10 * MS
        actions = []
        for due_ns, token in [t for t in timers if t[0] <= now_ns]:
            timers.remove((due_ns, token))
            actions += balancer.handle(now_ns, Timer(token))
        while in_flight and in_flight[0][0] <= now_ns:
            _, sent_id, endpoint_number = in_flight.pop(0)
            balancer.handle(now_ns, Outcome(sent_id, 0, endpoint_number, Status.OK, 40 * MS, True))
        if per_request:
            per_request(request_id, now_ns)
        actions += balancer.handle(now_ns, make_request(request_id, now_ns))
        for action in actions:
            if isinstance(action, SetTimer):
                timers.append((now_ns + action.after_ns, action.token))
            elif isinstance(action, Send):
                in_flight.append((now_ns + 40 * MS, action.id, action.endpoint_number))
    return now_ns


def test_memory_is_bounded_while_endpoints_are_replaced():
    balancer, now_ns = make_balancer(effect=Effect.UNSAFE)
    sizes = []

    def replace_endpoints(request_id, at_ns):
        if request_id % 50 == 0:
            entries = [make_endpoint(request_id + n) for n in range(6)]
            balancer.handle(at_ns, EndpointListUpdate(ListKind.FULL, request_id, entries))
            sizes.append((len(balancer.known_endpoints), len(balancer.timers.heap), len(balancer.pending)))

    _serve_requests(balancer, now_ns, 4000, replace_endpoints)
    assert max(size[0] for size in sizes) <= 60
    assert max(size[1] for size in sizes[40:]) <= 2 * max(size[1] for size in sizes[:40])
    assert max(size[2] for size in sizes) < 50


def _count_calls(open_requests):
    """Return the number of Python function calls for 50 more requests beside this many open requests."""
    balancer, now_ns = make_balancer(effect=Effect.UNSAFE)
    for request_id in range(open_requests):
        balancer.handle(now_ns, make_request(10_000 + request_id, now_ns, 60 * SECOND))
    calls = 0

    def count(frame, event, arg):
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for request_id in range(50):
            balancer.handle(now_ns + request_id, make_request(request_id, now_ns))
    finally:
        sys.setprofile(None)
    return calls


def test_work_per_event_does_not_grow_with_open_requests():
    assert _count_calls(2000) <= 1.5 * _count_calls(100)
