"""Code shared by the benchmarks: command line options and the checkouts to measure."""

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


class BalancerProtocol(Protocol):
    """Interface of the balancers of all checkouts."""

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle an event at the given time; return the actions in order."""
        ...


# The class `Balancer` of a checkout; its arguments are the settings and the seed of its random generator.
BalancerFactory = Callable[[Settings, int], BalancerProtocol]


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the option --before: another checkout to measure in the same run."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", type=Path, help="another checkout, measured in the same run")
    return parser


def checkouts(before: Path | None) -> dict[str, Path]:
    """Return the checkouts to measure, by the names used in the output."""
    return {"now": ROOT} if before is None else {"before": before, "now": ROOT}


def import_balancer(tree: Path, name: str) -> BalancerFactory:
    """Import a checkout's `Balancer` under a separate name, with this tree's events, actions and settings.

    Raises:
        FileNotFoundError: The checkout has no balancer, neither as a package nor as a single file.
    """
    folder, file = tree / "dykefold" / "balancer", tree / "dykefold" / "logic.py"
    module_name = f"dykefold.balancer_of_{name}"
    if folder.is_dir():
        for part in ("actions", "events", "settings"):
            sys.modules[f"{module_name}.{part}"] = importlib.import_module(f"dykefold.balancer.{part}")
        module = _import_file(module_name, folder / "__init__.py", [str(folder)])
    else:
        module = _import_file(module_name, file, None)
    return cast("BalancerFactory", module.Balancer)


def _import_file(name: str, file: Path, package_path: list[str] | None) -> ModuleType:
    """Execute a file as the module `name`, or as a package if its search path is given."""
    spec = importlib.util.spec_from_file_location(name, file, submodule_search_locations=package_path)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(file)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module
