"""The modules of the simulation import each other in one direction, for types as well."""

import ast
from pathlib import Path

import dykefold.sim

FOLDER = Path(dykefold.sim.__file__).parent


def imported(path):
    """The modules of the package that a module imports, wherever in it."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 1:
            yield from [node.module] if node.module else [alias.name for alias in node.names]


def test_no_module_imports_one_that_imports_it():
    left = {path.stem: set(imported(path)) for path in FOLDER.glob("*.py")}
    while free := {module for module, others in left.items() if not others & left.keys()}:
        left = {module: others for module, others in left.items() if module not in free}
    assert not left, f"in circles, or behind one: {sorted(left)}"
