"""Command line for operators: `dykefold serve | check | control | fleet | sim | lab | version`.

The platform's process does not import this package. Exit codes are 0 for success, 1 for a failure, and 2 for
a usage error or an invalid file.
"""

from __future__ import annotations

from . import control, fleet, lab, services, simulate
from .app import app

__all__ = ["main"]

services.add_to(app)
simulate.add_to(app)
lab.add_to(app)
control.add_to(app)
fleet.add_to(app)


def main() -> None:
    """Run the command line."""
    app()
