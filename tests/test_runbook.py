"""Each log line of the program is in the runbook; the lines are collected from the source."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RUNBOOK = (ROOT / "docs" / "RUNBOOK.md").read_text()
# Separate programs, whose log lines an operator of a sidecar does not see.
OTHER_PROGRAMS = ("sim", "lab", "cli")
LOG_METHODS = ("info", "warning", "error", "exception")
PLACEHOLDER = re.compile(r"%[-.0-9]*[a-z]")
MIN_FRAGMENT_CHARACTERS = 8


def constant_fragment(text):
    """Return the first constant fragment of a log text; None if it consists of placeholders only."""
    fragments = (fragment.strip() for fragment in PLACEHOLDER.split(text))
    return next((fragment for fragment in fragments if len(fragment) >= MIN_FRAGMENT_CHARACTERS), None)


def log_texts():
    """Yield file and text of each logging call of the program."""
    for path in sorted((ROOT / "dykefold").rglob("*.py")):
        if path.relative_to(ROOT / "dykefold").parts[0] in OTHER_PROGRAMS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args
            if not is_call or node.func.attr not in LOG_METHODS:
                continue
            if isinstance(node.args[0], ast.Constant) and isinstance(node.args[0].value, str):
                yield path.relative_to(ROOT), node.args[0].value


LOG_LINES = [(str(path), text) for path, text in log_texts() if constant_fragment(text) is not None]


@pytest.mark.parametrize(("path", "text"), LOG_LINES)
def test_log_line_is_in_the_runbook(path, text):
    assert constant_fragment(text) in RUNBOOK, f"{path} logs {text!r}"


def test_log_lines_are_collected():
    assert len(LOG_LINES) >= 40
