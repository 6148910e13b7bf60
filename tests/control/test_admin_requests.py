"""What operators may call: a table of requests and answers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.control.admin_requests import Action, AdminRequest, AdminResponse, parse_admin_request


@pytest.mark.parametrize(
    ("method", "target", "result"),
    [
        ("GET", "/healthcheck", AdminRequest(Action.HEALTH)),
        ("GET", "/healthcheck?verbose=1", AdminRequest(Action.HEALTH)),
        ("POST", "/servers/s-5be2a07c/maint", AdminRequest(Action.OUT, "s-5be2a07c")),
        ("POST", "/servers/s-5be2a07c/ready", AdminRequest(Action.BACK, "s-5be2a07c")),
        ("POST", "/servers/127.0.0.1%3A9001/maint", AdminRequest(Action.OUT, "127.0.0.1:9001")),
        ("POST", "/servers/a%2Fb/ready", AdminRequest(Action.BACK, "a/b")),
        ("POST", "/healthcheck", 405),
        ("HEAD", "/healthcheck", 405),
        ("GET", "/servers/s1/maint", 405),
        ("PUT", "/servers/s1/ready", 405),
        ("POST", "/servers/s1/drain", 404),
        ("POST", "/servers/s1", 404),
        ("POST", "/servers/s1/maint/now", 404),
        ("POST", "/servers//maint", 400),
        ("POST", "/servers/%FF/maint", 400),
        ("POST", "/servers/a%00b/maint", 400),
        ("POST", "/servers/" + "s" * 257 + "/maint", 400),
        ("POST", "/servers/" + "s" * 2000 + "/maint", 414),
        ("GET", "/", 404),
        ("GET", "*", 400),
        ("GET", "http://h/healthcheck", 400),
    ],
)
def test_calls_and_what_is_none(method, target, result):
    got = parse_admin_request(method, target)
    assert (got.code if isinstance(got, AdminResponse) else got) == result


@settings(derandomize=True, database=None, deadline=None)
@given(st.sampled_from(["GET", "POST", "X"]), st.text(st.characters(max_codepoint=255), max_size=40))
def test_anything_else_is_a_no_of_the_callers_own(method, target):
    got = parse_admin_request(method, target)
    assert isinstance(got, AdminRequest) or 400 <= got.code < 500
