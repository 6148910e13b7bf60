"""The command line for people: `dykefold serve | check | control | fleet | sim | lab | version`.

Not in the platform's process. Exit codes: 0 good, 1 failed, 2 wrong use or a file that is wrong.
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
    """The console script."""
    app()
