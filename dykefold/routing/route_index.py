"""Index of the routes of one host: by path (a trie for prefixes), then by the other conditions."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from .request_target import path_segments
from .route import Route

MAX_HEADER_NAMES = 8  # Headers that routes of one host and path may depend on; each is a lookup.

# Conditions of a route as a dictionary key: method, class, header name and header value.
_Conditions = tuple[str | None, str | None, str | None, str | None]


@dataclass(slots=True)
class RouteGroup:
    """The routes of one host and path.

    Attributes:
        routes: Routes by conditions.
        header_names: Names of the headers that routes depend on.
        first_with_header: First added route that depends on a header, by method and class.
    """

    routes: dict[_Conditions, Route] = field(default_factory=dict)
    header_names: list[str] = field(default_factory=list)
    first_with_header: dict[tuple[str | None, str | None], Route] = field(default_factory=dict)

    def add(self, route: Route) -> list[str]:
        """Add a route; return its problems, one line each, such as a tie with another route."""
        name, value = route.header if route.header is not None else (None, None)
        problems = []
        for method in route.methods or (None,):
            conditions = (method, route.cls, name, value)
            other = self.routes.get(conditions)
            if other is None and route.header is not None:
                # A request may have both headers, and neither route is more specific.
                first = self.first_with_header.setdefault((method, route.cls), route)
                other = first if first.header is not None and first.header.name != name else None
            if other is not None:
                problems.append(f"{route.name}: ties with {other.name}; expected one to be more specific")
                break
            self.routes[conditions] = route
        if name is not None and name not in self.header_names:
            self.header_names.append(name)
            if len(self.header_names) > MAX_HEADER_NAMES:
                expected = f"more than {MAX_HEADER_NAMES} names of headers for one host and path"
                problems.append(f"{route.name}.header: {expected}")
        return problems

    def find(self, method: str, cls: str | None, headers: Mapping[str, str]) -> Route | None:
        """Return the most specific route that a request matches, or None.

        Args:
            method: Method of the request, case preserved.
            cls: Class of the request; None if it has none.
            headers: Headers of the request by lower-case name.
        """
        present = [(name, headers[name]) for name in self.header_names if name in headers]
        for wanted_method in (method, None):
            for wanted_cls in (cls, None) if cls is not None else (None,):
                for name, value in present:
                    route = self.routes.get((wanted_method, wanted_cls, name, value))
                    if route is not None:
                        return route
                route = self.routes.get((wanted_method, wanted_cls, None, None))
                if route is not None:
                    return route
        return None


@dataclass(slots=True)
class _PrefixNode:
    """A node in the trie of prefixes; its position is one segment."""

    group: RouteGroup | None = None
    children: dict[str, _PrefixNode] = field(default_factory=dict)


class HostRoutes:
    """Routes of one host by path."""

    __slots__ = ("_exact", "_root")

    def __init__(self) -> None:
        self._exact: dict[tuple[str, ...], RouteGroup] = {}
        self._root = _PrefixNode()

    def group_of(self, route: Route) -> RouteGroup:
        """Return the group of a route's path or prefix; create it if it does not exist.

        Raises:
            RequestTargetError: The path or prefix is ambiguous.
        """
        if route.path is not None:
            return self._exact.setdefault(path_segments(route.path), RouteGroup())
        node = self._root
        for segment in _prefix_segments(route):
            node = node.children.setdefault(segment, _PrefixNode())
        if node.group is None:
            node.group = RouteGroup()
        return node.group

    def candidates(self, segments: tuple[str, ...]) -> Iterator[RouteGroup]:
        """Iterate over the groups whose path or prefix a request matches, the most specific first."""
        group = self._exact.get(segments)
        if group is not None:
            yield group
        node = self._root
        groups = [node.group]
        for segment in segments:
            child = node.children.get(segment)
            if child is None:
                break
            node = child
            groups.append(node.group)
        for group in reversed(groups):
            if group is not None:
                yield group


def _prefix_segments(route: Route) -> tuple[str, ...]:
    """Return the segments of a prefix; `/parts` and `/parts/` are the same prefix."""
    segments = path_segments(route.prefix) if route.prefix is not None else ()
    return segments[:-1] if segments and not segments[-1] else segments
