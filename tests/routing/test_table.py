"""Route table, compared with a linear scan, and the routes and targets that it rejects."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.routing.request_target import RequestTargetError, canonical_host, path_segments, split_target
from dykefold.routing.route import HeaderCondition, Route, RouteTableError
from dykefold.routing.route_index import MAX_HEADER_NAMES
from dykefold.routing.table import RouteTable

HOSTS = ["a.net", "b.a.net", "net"]
PATHS = ["/", "/p", "/p/", "/p/q"]
METHODS = ["GET", "POST"]
HEADERS = [None, HeaderCondition("x-yard", "1"), HeaderCondition("x-yard", "2")]


def host_rank(route, host):
    """Return the specificity of a route's host condition; None if it does not match."""
    wanted = route.host
    if wanted is None:
        return (0, 0)
    if wanted.startswith("*."):
        return (1, wanted.count(".")) if host.endswith(wanted[1:]) else None
    return (2, 0) if host == wanted else None


def path_rank(route, segments):
    """Return the specificity of a route's path condition; None if it does not match."""
    if route.path is not None:
        return (1, 0) if segments == path_segments(route.path) else None
    prefix = [part for part in (route.prefix or "/").split("/") if part]
    return (0, len(prefix)) if list(segments[: len(prefix)]) == prefix else None


def matches_conditions(route, method, cls, headers):
    if route.methods and method not in route.methods:
        return False
    if route.cls is not None and route.cls != cls:
        return False
    return route.header is None or headers.get(route.header.name) == route.header.value


def linear_scan(routes, host, path, method, cls, headers):
    """Return all matching routes with their specificity, in ascending order, by linear scan."""
    matching = []
    segments = path_segments(path)
    for route in routes:
        ranks = (host_rank(route, host), path_rank(route, segments))
        if None in ranks or not matches_conditions(route, method, cls, headers):
            continue
        conditions = (bool(route.methods), route.cls is not None, route.header is not None)
        matching.append(((*ranks, conditions), route))
    matching.sort(key=lambda pair: pair[0])
    return matching


route_fields = st.builds(
    dict,
    host=st.sampled_from([None, *HOSTS, *("*." + host for host in HOSTS)]),
    where=st.sampled_from([(kind, path) for kind in ("path", "prefix") for path in PATHS] + [None]),
    methods=st.sampled_from([(), ("GET",), ("POST",), ("GET", "POST")]),
    cls=st.sampled_from([None, "order"]),
    header=st.sampled_from(HEADERS),
)
request_values = st.tuples(
    st.sampled_from(HOSTS),
    st.sampled_from(PATHS),
    st.sampled_from(METHODS),
    st.sampled_from([None, "order", "lookup"]),
    st.sampled_from([{}, {"x-yard": "1"}, {"x-yard": "2", "x-other": "1"}]),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(route_fields, max_size=25), st.lists(request_values, min_size=1, max_size=20))
def test_table_finds_same_route_as_linear_scan(all_fields, requests):
    routes = []
    for number, fields in enumerate(all_fields):
        path_condition = {fields["where"][0]: fields["where"][1]} if fields["where"] else {}
        route = Route(f"r{number}", "p", fields["host"], **path_condition, methods=fields["methods"])
        route = Route(
            route.name,
            "p",
            route.host,
            route.path,
            route.prefix,
            route.methods,
            fields["cls"],
            fields["header"],
        )
        try:
            RouteTable(1, [*routes, route], ["p"])
        except RouteTableError:
            continue  # It has the same specificity as another one.
        routes.append(route)
    table = RouteTable(1, routes, ["p"])
    for host, path, method, cls, headers in requests:
        candidates = linear_scan(routes, host, path, method, cls, headers)
        expected = candidates[-1][1] if candidates else None
        assert table.find(host, path_segments(path), method, cls, headers) == expected
        if len(candidates) > 1:
            assert candidates[-1][0] != candidates[-2][0], "the table accepts two routes of equal specificity"


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ({}, {}),
        ({"prefix": "/"}, {}),
        ({"prefix": "/p"}, {"prefix": "/p/"}),
        ({"host": "A.net."}, {"host": "a.net"}),
        ({"methods": ("GET", "POST")}, {"methods": ("POST",)}),
        ({"header": HeaderCondition("a", "1")}, {"header": HeaderCondition("b", "1")}),
        ({"path": "/%70"}, {"path": "/p"}),
    ],
)
def test_routes_of_equal_specificity_are_an_error_that_names_both(one, other):
    with pytest.raises(RouteTableError, match="second: ties with first"):
        RouteTable(1, [Route("first", "p", **one), Route("second", "p", **other)], ["p"])


def test_all_problems_of_the_routes_are_reported_at_once():
    routes = [
        Route("a", "nowhere"),
        Route("b", "", host="b.net"),
        Route("c", "p", host="no host"),
        Route("d", "p", path="/x//y"),
        Route("d", "p", path="/x", prefix="/x"),
    ]
    with pytest.raises(RouteTableError) as caught:
        RouteTable(1, routes, ["p", "q"])
    text = "\n".join(caught.value.problems)
    for expected in ("a.pool = 'nowhere': no such pool; expected one of p, q", "b.pool: missing", "c.host",
                  "d.path", "d: another route", "d: path and prefix"):  # fmt: skip
        assert expected in text


def test_number_of_header_names_per_host_and_path_is_limited():
    routes = [
        Route(f"r{n}", "p", header=HeaderCondition(f"h{n}", "1"), cls=f"c{n}")
        for n in range(MAX_HEADER_NAMES + 1)
    ]
    with pytest.raises(RouteTableError, match="more than"):
        RouteTable(1, routes, ["p"])


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
def test_host_is_normalized(value, name):
    assert canonical_host(value) == name


INVALID_HOSTS = ["", " ", "a..b", "-a", "a:b", "a:80:80", "a b", "a/b", "[::1", "a.net..", "x" * 64]


@pytest.mark.parametrize("value", INVALID_HOSTS)
def test_invalid_host_is_rejected(value):
    with pytest.raises(RequestTargetError):
        canonical_host(value)


AMBIGUOUS_PATHS = (
    r"p //p /p//q /p/../q /.. /. /p/%2e%2e/q /%2E /p%2fq /p%2Fq /p%5cq /p\q /p%00 /p%0a /%zz /% /p%252fq"
)


@pytest.mark.parametrize("path", [*AMBIGUOUS_PATHS.split(), "", "/p q", "/\xe9", "/%ff", "/a" * 65])
def test_ambiguous_path_is_rejected(path):
    with pytest.raises(RequestTargetError):
        path_segments(path)


def test_equivalent_paths_have_the_same_segments():
    assert path_segments("/%70arts/x%20y") == path_segments("/parts/x%20y") == ("parts", "x y")
    assert path_segments("/p/") == ("p", "") != path_segments("/p")


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
def test_request_without_exactly_one_host_and_path_is_rejected(target, hosts):
    with pytest.raises(RequestTargetError):
        split_target(target, hosts)


def test_absolute_form_target_is_split_as_by_endpoint():
    assert split_target("http://A.net/p?q=//", ["a.net:80"]) == ("a.net", ("p",))
    assert split_target("http://a.net?q", ["a.net"]) == ("a.net", ())
