"""The modules of the package import each other in one direction, for types as well."""

import ast
from pathlib import Path

import dykefold

ROOT = Path(dykefold.__file__).parent.parent


def module_files():
    """Path of each module of the package, by its name."""
    files = {}
    for path in ROOT.glob("dykefold/**/*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return files


def imported(name, path, modules):
    """The modules of the package that a module imports, wherever in it, `TYPE_CHECKING` blocks included."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        base = package[: len(package) - node.level + 1] if node.level else []
        source = ".".join([*base, *([node.module] if node.module else [])])
        for alias in node.names:
            member = f"{source}.{alias.name}"
            yield member if member in modules else source


def test_no_module_imports_one_that_imports_it():
    modules = module_files()
    left = {name: set(imported(name, path, modules)) - {name} for name, path in modules.items()}
    assert len(left) > 200
    while free := {module for module, others in left.items() if not others & left.keys()}:
        left = {module: others for module, others in left.items() if module not in free}
    assert not left, f"in circles, or behind one: {sorted(left)}"
