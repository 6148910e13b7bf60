"""Each log line of the program stands in the runbook; the lines are collected from the source."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RUNBOOK = (ROOT / "docs" / "RUNBOOK.md").read_text()
# Programs of their own, whose lines no operator of a sidecar sees.
OTHER_PROGRAMS = ("sim", "lab", "cli")
LOG_METHODS = ("info", "warning", "error", "exception")
PLACEHOLDER = re.compile(r"%[-.0-9]*[a-z]")
MIN_KEY_LENGTH = 8


def key_of(text):
    """The first words of a line that are always the same; None if it consists of fields alone."""
    fragments = (fragment.strip() for fragment in PLACEHOLDER.split(text))
    return next((fragment for fragment in fragments if len(fragment) >= MIN_KEY_LENGTH), None)


def log_texts():
    """File and text of each logging call of the program."""
    for path in sorted((ROOT / "dykefold").rglob("*.py")):
        if path.relative_to(ROOT / "dykefold").parts[0] in OTHER_PROGRAMS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args
            if not is_call or node.func.attr not in LOG_METHODS:
                continue
            if isinstance(node.args[0], ast.Constant) and isinstance(node.args[0].value, str):
                yield path.relative_to(ROOT), node.args[0].value


LINES = [(str(path), text) for path, text in log_texts() if key_of(text) is not None]


@pytest.mark.parametrize(("path", "text"), LINES)
def test_log_line_stands_in_the_runbook(path, text):
    assert key_of(text) in RUNBOOK, f"{path} logs {text!r}"


def test_log_lines_are_collected():
    assert len(LINES) >= 40
