"""A route: the conditions under which a request belongs to a pool."""

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
    """One route of the route table.

    Attributes:
        name: Name of the route in errors and logs.
        pool: Name of the pool that serves the requests.
        host: Exact host name, `*.suffix` (any subdomain, not the suffix itself), or None for any.
        path: Exact path; None if a prefix is given, or for any path.
        prefix: Leading path segments: `/parts` matches `/parts` and all paths below it; None for any path.
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
    """Raised for routes that form no valid table.

    Attributes:
        problems: Problems, one line each.
    """

    def __init__(self, problems: list[str]) -> None:
        """Join the problems to the error message."""
        super().__init__("; ".join(problems))
        self.problems = problems
