"""One route: what a request must have to belong to a pool."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class HeaderCondition(NamedTuple):
    """A header that a request must have.

    Attributes:
        name: Name of the header in lower case.
        value: Complete value that the header must have.
    """

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Route:
    """One line of the route table.

    Attributes:
        name: Name of the route in errors and logs.
        pool: Name of the pool that serves its requests.
        host: Exact host name, `*.suffix` (any name below, not the suffix itself), or None for any.
        path: Exact path; None if a prefix is given, or for any path.
        prefix: Leading complete segments, `/parts` for `/parts` and all below; None for any path.
        methods: Methods that the route accepts; empty for any.
        cls: Name of the class that the request must have, or None.
        header: Header that the request must have, or None.
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
        problems: One line for each problem.
    """

    def __init__(self, problems: list[str]) -> None:
        """Take the problems, a line each."""
        super().__init__("; ".join(problems))
        self.problems = problems
