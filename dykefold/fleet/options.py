"""What an operator's file asks of the view."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Options:
    """`[fleet]` of the operator's file: docs/operators/view.md.

    Attributes:
        view: whether the sidecar takes part in the fleet's view, where the settings allow datagrams.
        listen: where it can be asked for its view; None for nowhere.
    """

    view: bool = False
    listen: tuple[str, int] | None = None
