"""The import graph of the package has no cycles, imports for types included."""

import ast
from pathlib import Path

import dykefold

ROOT = Path(dykefold.__file__).parent.parent


def module_files():
    """Return the path of each module of the package, by module name."""
    files = {}
    for path in ROOT.glob("dykefold/**/*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        files[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return files


def imported_modules(name, path, modules):
    """Yield the package's modules that a module imports anywhere, `TYPE_CHECKING` blocks included."""
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        base = package[: len(package) - node.level + 1] if node.level else []
        source = ".".join([*base, *([node.module] if node.module else [])])
        for alias in node.names:
            member = f"{source}.{alias.name}"
            yield member if member in modules else source


def test_import_graph_has_no_cycles():
    modules = module_files()
    remaining = {name: set(imported_modules(name, path, modules)) - {name} for name, path in modules.items()}
    assert len(remaining) > 200
    while without_imports := {
        module for module, others in remaining.items() if not others & remaining.keys()
    }:
        remaining = {module: others for module, others in remaining.items() if module not in without_imports}
    assert not remaining, f"modules in import cycles, or that depend on one: {sorted(remaining)}"
