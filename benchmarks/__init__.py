"""What the benchmarks share: their arguments, and the checkouts that they play."""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import sys
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Protocol, cast

from dykefold.balancer.actions import Action
from dykefold.balancer.events import Event
from dykefold.balancer.settings import Settings

ROOT = Path(__file__).parent.parent


class AnyBalancer(Protocol):
    """What the balancers of all checkouts have in common."""

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event at the given time; return what to do, in order."""
        ...


# The class `Balancer` of a checkout: settings and the seed of all random draws in, a balancer out.
BalancerFactory = Callable[[Settings, int], AnyBalancer]


def arguments(description: str | None) -> argparse.ArgumentParser:
    """A parser that knows --before: another checkout to play in the same run."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", type=Path, help="another checkout, played in the same run")
    return parser


def trees(before: Path | None) -> dict[str, Path]:
    """The checkouts to play, by the names that they are shown under."""
    return {"now": ROOT} if before is None else {"before": before, "now": ROOT}


def balancer_of(tree: Path, name: str) -> BalancerFactory:
    """The `Balancer` of a checkout, under a name of its own, on this tree's events, actions and settings.

    Raises:
        FileNotFoundError: The checkout has no balancer, neither as a package nor as one file.
    """
    folder, file = tree / "dykefold" / "balancer", tree / "dykefold" / "logic.py"
    module_name = f"dykefold.balancer_of_{name}"
    if folder.is_dir():
        for part in ("actions", "events", "settings"):
            sys.modules[f"{module_name}.{part}"] = importlib.import_module(f"dykefold.balancer.{part}")
        module = _load(module_name, folder / "__init__.py", [str(folder)])
    else:
        module = _load(module_name, file, None)
    return cast("BalancerFactory", module.Balancer)


def _load(name: str, file: Path, package_path: list[str] | None) -> ModuleType:
    """Execute a file as the module `name`; as a package, whose parts are found there, if a path is given."""
    spec = importlib.util.spec_from_file_location(name, file, submodule_search_locations=package_path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(file)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
