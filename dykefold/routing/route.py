"""One route: what a request must have to belong to a pool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class HeaderCondition(NamedTuple):
    """A header that a request must have.

    Attributes:
        name: in lower case.
        value: the whole value.
    """

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Route:
    """One line of the route table.

    Attributes:
        name: in errors and logs.
        pool: the pool that its requests belong to.
        host: an exact name, `*.suffix` (any name below, not the suffix itself), or None for any.
        path: an exact path; None where `prefix` is given or any path will do.
        prefix: whole segments, `/parts` for `/parts` and all below; None likewise.
        methods: of which one must be the request's; empty for any.
        cls: the class that the request must be of, or None.
        header: that the request must have, or None.
    """

    name: str
    pool: str
    host: str | None = None
    path: str | None = None
    prefix: str | None = None
    methods: tuple[str, ...] = ()
    cls: str | None = None
    header: HeaderCondition | None = None


class RouteTableError(ValueError):
    """Routes make no table.

    Attributes:
        problems: a line for each thing that is wrong.
    """

    def __init__(self, problems: list[str]) -> None:
        """Take the problems, a line each."""
        super().__init__("; ".join(problems))
        self.problems = problems
