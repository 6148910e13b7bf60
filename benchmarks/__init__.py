"""What the benchmarks share: their arguments, and the checkouts that they play."""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent


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


def balancer_of(tree: Path, name: str) -> Any:
    """The `Balancer` of a checkout, under a name of its own, on this tree's events, actions and settings.

    Raises:
        FileNotFoundError: the checkout has no balancer, neither as a package nor as the one file that it was.
    """
    folder, file = tree / "dykefold" / "balancer", tree / "dykefold" / "logic.py"
    own = f"dykefold.balancer_of_{name}"
    if folder.is_dir():
        for part in ("actions", "events", "settings"):
            sys.modules[f"{own}.{part}"] = importlib.import_module(f"dykefold.balancer.{part}")
        spec = importlib.util.spec_from_file_location(
            own, folder / "__init__.py", submodule_search_locations=[str(folder)]
        )
    else:
        spec = importlib.util.spec_from_file_location(own, file)
    if spec is None or spec.loader is None:
        raise FileNotFoundError(tree)
    module = importlib.util.module_from_spec(spec)
    sys.modules[own] = module
    spec.loader.exec_module(module)
    return module.Balancer
