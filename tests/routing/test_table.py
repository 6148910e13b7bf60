"""The route table against a naive scan, and what it refuses."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.routing.names import TargetError, canonical_host, segments, split_target
from dykefold.routing.table import HEADER_NAMES_MOST, Rule, Table, TableError

HOSTS = ["a.net", "b.a.net", "net"]
PATHS = ["/", "/p", "/p/", "/p/q"]
METHODS = ["GET", "POST"]
HEADERS = [None, ("x-yard", "1"), ("x-yard", "2")]


def naive(rules, host, path, method, cls, headers):
    """Every rule that a request meets, by the words of the order."""
    found = []
    parts = segments(path)
    for rule in rules:
        wanted = rule.host
        if wanted is not None and wanted.startswith("*."):
            if not host.endswith(wanted[1:]):
                continue
            host_rank = (1, wanted.count("."))
        elif wanted is not None:
            if host != wanted:
                continue
            host_rank = (2, 0)
        else:
            host_rank = (0, 0)
        if rule.path is not None:
            if parts != segments(rule.path):
                continue
            path_rank = (1, 0)
        else:
            prefix = [part for part in (rule.prefix or "/").split("/") if part]
            if list(parts[: len(prefix)]) != prefix:
                continue
            path_rank = (0, len(prefix))
        if rule.methods and method not in rule.methods:
            continue
        if rule.cls is not None and rule.cls != cls:
            continue
        if rule.header is not None and headers.get(rule.header[0]) != rule.header[1]:
            continue
        conditions = (bool(rule.methods), rule.cls is not None, rule.header is not None)
        found.append(((host_rank, path_rank, conditions), rule))
    found.sort(key=lambda pair: pair[0])
    return found


matches = st.builds(
    dict,
    host=st.sampled_from([None, *HOSTS, *("*." + host for host in HOSTS)]),
    where=st.sampled_from([(kind, path) for kind in ("path", "prefix") for path in PATHS] + [None]),
    methods=st.sampled_from([(), ("GET",), ("POST",), ("GET", "POST")]),
    cls=st.sampled_from([None, "order"]),
    header=st.sampled_from(HEADERS),
)
requests = st.tuples(
    st.sampled_from(HOSTS),
    st.sampled_from(PATHS),
    st.sampled_from(METHODS),
    st.sampled_from([None, "order", "lookup"]),
    st.sampled_from([{}, {"x-yard": "1"}, {"x-yard": "2", "x-other": "1"}]),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(matches, max_size=25), st.lists(requests, min_size=1, max_size=20))
def test_it_finds_what_a_naive_scan_finds(found, asked):
    rules = []
    for number, match in enumerate(found):
        more = {match["where"][0]: match["where"][1]} if match["where"] else {}
        rule = Rule(f"r{number}", "p", match["host"], **more, methods=match["methods"])
        rule = Rule(
            rule.name, "p", rule.host, rule.path, rule.prefix, rule.methods, match["cls"], match["header"]
        )
        try:
            Table(1, [*rules, rule], ["p"])
        except TableError:
            continue  # it ties
        rules.append(rule)
    table = Table(1, rules, ["p"])
    for host, path, method, cls, headers in asked:
        candidates = naive(rules, host, path, method, cls, headers)
        expected = candidates[-1][1] if candidates else None
        assert table.find(host, segments(path), method, cls, headers) == expected
        if len(candidates) > 1:
            assert candidates[-1][0] != candidates[-2][0], "a tie was let in"


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ({}, {}),
        ({"prefix": "/"}, {}),
        ({"prefix": "/p"}, {"prefix": "/p/"}),
        ({"host": "A.net."}, {"host": "a.net"}),
        ({"methods": ("GET", "POST")}, {"methods": ("POST",)}),
        ({"header": ("a", "1")}, {"header": ("b", "1")}),
        ({"path": "/%70"}, {"path": "/p"}),
    ],
)
def test_rules_that_could_tie_are_an_error_that_names_both(one, other):
    with pytest.raises(TableError, match="second: ties with first"):
        Table(1, [Rule("first", "p", **one), Rule("second", "p", **other)], ["p"])


def test_all_that_is_wrong_is_told_at_once():
    rules = [
        Rule("a", "nowhere"),
        Rule("b", "", host="b.net"),
        Rule("c", "p", host="no host"),
        Rule("d", "p", path="/x//y"),
        Rule("d", "p", path="/x", prefix="/x"),
    ]
    with pytest.raises(TableError) as caught:
        Table(1, rules, ["p", "q"])
    text = "\n".join(caught.value.problems)
    for words in ("a.pool = 'nowhere': no such pool; expected one of p, q", "b.pool: missing", "c.host",
                  "d.path", "d: another route", "d: path and prefix"):  # fmt: skip
        assert words in text


def test_the_headers_of_one_node_are_bounded():
    rules = [Rule(f"r{n}", "p", header=(f"h{n}", "1"), cls=f"c{n}") for n in range(HEADER_NAMES_MOST + 1)]
    with pytest.raises(TableError, match="more than"):
        Table(1, rules, ["p"])


@pytest.mark.parametrize(
    ("value", "name"),
    [
        ("A.Net", "a.net"),
        ("a.net:80", "a.net"),
        ("a.net.", "a.net"),
        ("a.net.:80", "a.net"),
        ("[::1]:8", "[::1]"),
        ("10.0.0.1:7", "10.0.0.1"),
    ],
)
def test_a_host_has_one_form(value, name):
    assert canonical_host(value) == name


NO_HOSTS = ["", " ", "a..b", "-a", "a:b", "a:80:80", "a b", "a/b", "[::1", "a.net..", "x" * 64]


@pytest.mark.parametrize("value", NO_HOSTS)
def test_what_is_no_host_is_refused(value):
    with pytest.raises(TargetError):
        canonical_host(value)


AMBIGUOUS = (
    r"p //p /p//q /p/../q /.. /. /p/%2e%2e/q /%2E /p%2fq /p%2Fq /p%5cq /p\q /p%00 /p%0a /%zz /% /p%252fq"
)


@pytest.mark.parametrize("path", [*AMBIGUOUS.split(), "", "/p q", "/\xe9", "/%ff", "/a" * 65])
def test_a_path_that_two_readers_could_read_differently_is_refused(path):
    with pytest.raises(TargetError):
        segments(path)


def test_equivalent_paths_are_one():
    assert segments("/%70arts/x%20y") == segments("/parts/x%20y") == ("parts", "x y")
    assert segments("/p/") == ("p", "") != segments("/p")


@pytest.mark.parametrize(
    ("target", "hosts"),
    [
        ("/p", []),
        ("/p", ["a.net", "a.net"]),
        ("*", ["a.net"]),
        ("http://b.net/p", ["a.net"]),
        ("/p#x", ["a.net"]),
        ("ftp://a.net/p", ["a.net"]),
        ("a.net:80", ["a.net"]),
    ],
)
def test_a_request_with_no_one_host_and_path_is_refused(target, hosts):
    with pytest.raises(TargetError):
        split_target(target, hosts)


def test_the_absolute_form_is_read_as_the_server_reads_it():
    assert split_target("http://A.net/p?q=//", ["a.net:80"]) == ("a.net", ("p",))
    assert split_target("http://a.net?q", ["a.net"]) == ("a.net", ())
