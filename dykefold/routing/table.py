"""The route table, which finds the route of a request. It is immutable and does no I/O.

The most specific matching route is used. Specificity is a total order, compared by:

1. host: an exact name, then `*.suffix` with more labels before fewer, then any host;
2. path: an exact path, then a prefix with more segments before fewer, then any path;
3. conditions: method, class and header; then method and class; method and header; method; class and
   header; class; header; none.

Two routes of equal specificity that the same request could match are an error when the table is built, so the
order of routes in the file has no effect.

A lookup takes at most one dictionary access per label of the host and per segment of the path, plus those for
the conditions, independent of the number of routes. Typical requests match one host and two or three paths.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from .request_target import RequestTargetError, canonical_host
from .route import Route, RouteTableError
from .route_index import HostRoutes

MAX_ROUTES = 100_000  # A larger table takes over 60 MB and is regarded as a mistake.


class RouteTable:
    """An immutable route table with a number.

    Args:
        pools: Names of the pools that routes may refer to.

    Attributes:
        number: Number of the table, increasing within a process.
        routes: Routes in the order of the file.
    """

    def __init__(self, number: int, routes: Iterable[Route], pools: Iterable[str]) -> None:
        """Build the index of the routes.

        Raises:
            RouteTableError: The routes are invalid; the error lists every problem.
        """
        self.number = number
        self.routes = tuple(routes)
        self._exact: dict[str, HostRoutes] = {}
        self._suffixes: dict[str, HostRoutes] = {}
        self._any_host = HostRoutes()
        known_pools = frozenset(pools)
        if len(self.routes) > MAX_ROUTES:
            raise RouteTableError([f"{len(self.routes)} routes; at most {MAX_ROUTES}"])
        problems: list[str] = []
        names: set[str] = set()
        for route in self.routes:
            if route.name in names:
                problems.append(f"{route.name}: another route has this name")
            names.add(route.name)
            problems += self._add(route, known_pools)
        if problems:
            raise RouteTableError(problems)

    def _add(self, route: Route, known_pools: frozenset[str]) -> list[str]:
        """Add a route; return its problems, one line each."""
        problems = []
        if not route.pool or route.pool not in known_pools:
            expected = f"expected one of {', '.join(sorted(known_pools))}"
            if route.pool:
                problems.append(f"{route.name}.pool = {route.pool!r}: no such pool; {expected}")
            else:
                problems.append(f"{route.name}.pool: missing; {expected}")
        if route.path is not None and route.prefix is not None:
            problems.append(f"{route.name}: path and prefix; expected one of them")
        try:
            host_routes = self._host_routes(route.host)
        except RequestTargetError as error:
            return [*problems, f"{route.name}.host = {route.host!r}: {error}"]
        try:
            group = host_routes.group_of(route)
        except RequestTargetError as error:
            key = "prefix" if route.path is None else "path"
            return [*problems, f"{route.name}.{key} = {route.path or route.prefix!r}: {error}"]
        return problems + group.add(route)

    def _host_routes(self, host: str | None) -> HostRoutes:
        """Return the index for the host condition of a route; create it if it does not exist."""
        if host is None:
            return self._any_host
        if host.startswith("*."):
            return self._suffixes.setdefault(canonical_host(host[2:]), HostRoutes())
        return self._exact.setdefault(canonical_host(host), HostRoutes())

    def find(
        self,
        host: str,
        segments: tuple[str, ...],
        method: str,
        cls: str | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Route | None:
        """Return the most specific route that a request matches; None if there is none.

        Args:
            host: Host as `request_target.split_target` returns it.
            segments: Segments of the path as `request_target.split_target` returns them.
            method: Method of the request, case preserved.
            cls: Class of the request; None if it has none.
            headers: Headers of the request by lower-case name.
        """
        known_headers = headers or {}
        for host_routes in self._candidates(host):
            for group in host_routes.candidates(segments):
                route = group.find(method, cls, known_headers)
                if route is not None:
                    return route
        return None

    def _candidates(self, host: str) -> Iterator[HostRoutes]:
        """Iterate over the indexes that match the host of a request, the most specific first."""
        host_routes = self._exact.get(host)
        if host_routes is not None:
            yield host_routes
        if self._suffixes:
            dot = host.find(".")
            while dot >= 0:
                host_routes = self._suffixes.get(host[dot + 1 :])
                if host_routes is not None:
                    yield host_routes
                dot = host.find(".", dot + 1)
        yield self._any_host
