"""The route table: which pool a request belongs to. No I/O, and no change once it is made.

The most specific rule wins. Specificity is compared in this order, and the order is total:

1. host: an exact name, then `*.suffix` with more labels before fewer, then any host;
2. path: an exact path, then a prefix with more segments before fewer, then any path;
3. conditions: method, class and header; then method and class; method and header; method; class and
   header; class; header; none.

Two rules of equal specificity that one request could meet together are an error when the table is read,
so nothing hangs on their order in the file.

A look-up walks the labels of the host and the segments of the path and asks a dictionary at each step: at
most `LABELS_MOST + 2` hosts times `SEGMENTS_MOST + 2` paths, whatever the number of routes. Usual requests
meet one host and two or three paths.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from .names import TargetError, canonical_host, segments

HEADER_NAMES_MOST = 8  # that rules of one host and path may ask for: each is a look-up
ROUTES_MOST = 100_000  # some 60 MB; beyond that a table is a mistake

# A rule's conditions, as they are looked up: method, class, header name and value.
_Key = tuple[str | None, str | None, str | None, str | None]


@dataclass(frozen=True, slots=True)
class Rule:
    """One line of the table.

    Attributes:
        name: in errors and logs.
        pool: the pool that its requests belong to.
        host: an exact name, `*.suffix` (any name below, not the suffix itself), or None for any.
        path: an exact path, None where `prefix` is given or any path will do.
        prefix: whole segments, `/parts` for `/parts` and all below; None likewise.
        methods: of which one must be the request's; empty for any.
        cls: the class that the request must be of, or None.
        header: a lower-case name and the value that it must have, or None.
    """

    name: str
    pool: str
    host: str | None = None
    path: str | None = None
    prefix: str | None = None
    methods: tuple[str, ...] = ()
    cls: str | None = None
    header: tuple[str, str] | None = None


class TableError(ValueError):
    """The rules make no table; `problems` has a line for each thing that is wrong."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


@dataclass(slots=True)
class _Node:
    """The rules of one host and path."""

    rules: dict[_Key, Rule] = field(default_factory=dict)
    headers: list[str] = field(default_factory=list)  # names that some rule asks for
    asked: dict[tuple[str | None, str | None], Rule] = field(default_factory=dict)  # the first that asks one

    def find(self, method: str, cls: str | None, headers: Mapping[str, str]) -> Rule | None:
        present = [(name, headers[name]) for name in self.headers if name in headers]
        for wanted_method in (method, None):
            for wanted_cls in (cls, None) if cls is not None else (None,):
                for name, value in present:
                    rule = self.rules.get((wanted_method, wanted_cls, name, value))
                    if rule is not None:
                        return rule
                rule = self.rules.get((wanted_method, wanted_cls, None, None))
                if rule is not None:
                    return rule
        return None


@dataclass(slots=True)
class _Step:
    """One segment in the trie of prefixes."""

    node: _Node | None = None
    below: dict[str, _Step] = field(default_factory=dict)


class _Paths:
    """The rules of one host."""

    __slots__ = ("exact", "root")

    def __init__(self) -> None:
        self.exact: dict[tuple[str, ...], _Node] = {}
        self.root = _Step()

    def node(self, rule: Rule) -> _Node:
        if rule.path is not None:
            return self.exact.setdefault(segments(rule.path), _Node())
        step = self.root
        for part in _prefix(rule):
            step = step.below.setdefault(part, _Step())
        if step.node is None:
            step.node = _Node()
        return step.node

    def candidates(self, parts: tuple[str, ...]) -> Iterator[_Node]:
        """The most specific first."""
        node = self.exact.get(parts)
        if node is not None:
            yield node
        step = self.root
        found = [step.node]
        for part in parts:
            below = step.below.get(part)
            if below is None:
                break
            step = below
            found.append(step.node)
        for node in reversed(found):
            if node is not None:
                yield node


def _prefix(rule: Rule) -> tuple[str, ...]:
    """A prefix's segments: `/parts` and `/parts/` mean the same, all of `/parts`."""
    parts = segments(rule.prefix) if rule.prefix is not None else ()
    return parts[:-1] if parts and not parts[-1] else parts


class Table:
    """An immutable, numbered table. A request keeps the one that it was taken under."""

    def __init__(self, number: int, rules: Iterable[Rule], pools: Iterable[str]) -> None:
        """Build the index.

        Args:
            number: grows with each table of a process.
            rules: in any order.
            pools: the names that rules may send to.

        Raises:
            TableError: with all that is wrong with the rules.
        """
        self.number = number
        self.rules = tuple(rules)
        self._exact: dict[str, _Paths] = {}
        self._suffixes: dict[str, _Paths] = {}
        self._any = _Paths()
        known = frozenset(pools)
        problems: list[str] = []
        if len(self.rules) > ROUTES_MOST:
            raise TableError([f"{len(self.rules)} routes; at most {ROUTES_MOST}"])
        names: set[str] = set()
        for rule in self.rules:
            if rule.name in names:
                problems.append(f"{rule.name}: another route has this name")
            names.add(rule.name)
            problems += self._add(rule, known)
        if problems:
            raise TableError(problems)

    def _add(self, rule: Rule, known: frozenset[str]) -> list[str]:
        problems = []
        if not rule.pool:
            problems.append(f"{rule.name}.pool: missing; expected one of {', '.join(sorted(known))}")
        elif rule.pool not in known:
            problems.append(
                f"{rule.name}.pool = {rule.pool!r}: no such pool; expected one of {', '.join(sorted(known))}"
            )
        if rule.path is not None and rule.prefix is not None:
            problems.append(f"{rule.name}: path and prefix; expected one of them")
        try:
            paths = self._paths(rule.host)
        except TargetError as error:
            return [*problems, f"{rule.name}.host = {rule.host!r}: {error}"]
        try:
            node = paths.node(rule)
        except TargetError as error:
            key = "prefix" if rule.path is None else "path"
            return [*problems, f"{rule.name}.{key} = {rule.path or rule.prefix!r}: {error}"]
        return problems + _insert(node, rule)

    def _paths(self, host: str | None) -> _Paths:
        if host is None:
            return self._any
        if host.startswith("*."):
            return self._suffixes.setdefault(canonical_host(host[2:]), _Paths())
        return self._exact.setdefault(canonical_host(host), _Paths())

    def find(
        self,
        host: str,
        parts: tuple[str, ...],
        method: str,
        cls: str | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Rule | None:
        """The most specific rule that a request meets; None if there is none.

        Args:
            host, parts: as `names.split_target` gives them.
            method: in its own case.
            cls: the request's class, if it has one.
            headers: by lower-case name.
        """
        known = headers or {}
        for paths in self._hosts(host):
            for node in paths.candidates(parts):
                rule = node.find(method, cls, known)
                if rule is not None:
                    return rule
        return None

    def _hosts(self, host: str) -> Iterator[_Paths]:
        paths = self._exact.get(host)
        if paths is not None:
            yield paths
        if self._suffixes:
            at = host.find(".")
            while at >= 0:
                paths = self._suffixes.get(host[at + 1 :])
                if paths is not None:
                    yield paths
                at = host.find(".", at + 1)
        yield self._any


def _insert(node: _Node, rule: Rule) -> list[str]:
    """Put a rule into its node; what it would tie with is a problem."""
    name, value = rule.header if rule.header is not None else (None, None)
    problems = []
    for method in rule.methods or (None,):
        key = (method, rule.cls, name, value)
        other = node.rules.get(key)
        if other is None and rule.header is not None:
            # Another header of equal rank may come with the same request.
            first = node.asked.setdefault((method, rule.cls), rule)
            other = first if first.header is not None and first.header[0] != name else None
        if other is not None:
            problems.append(f"{rule.name}: ties with {other.name}; expected one to be more specific")
            break
        node.rules[key] = rule
    if name is not None and name not in node.headers:
        node.headers.append(name)
        if len(node.headers) > HEADER_NAMES_MOST:
            problems.append(
                f"{rule.name}.header: more than {HEADER_NAMES_MOST} names of headers for one host and path"
            )
    return problems
