"""What operators may call: a table of requests and answers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.control.admin_requests import Action, Call, Reply, read_call


@pytest.mark.parametrize(
    ("method", "target", "result"),
    [
        ("GET", "/healthcheck", Call(Action.HEALTH)),
        ("GET", "/healthcheck?verbose=1", Call(Action.HEALTH)),
        ("POST", "/servers/s-5be2a07c/maint", Call(Action.OUT, "s-5be2a07c")),
        ("POST", "/servers/s-5be2a07c/ready", Call(Action.BACK, "s-5be2a07c")),
        ("POST", "/servers/127.0.0.1%3A9001/maint", Call(Action.OUT, "127.0.0.1:9001")),
        ("POST", "/servers/a%2Fb/ready", Call(Action.BACK, "a/b")),
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
    got = read_call(method, target)
    assert (got.code if isinstance(got, Reply) else got) == result


@settings(derandomize=True, database=None, deadline=None)
@given(st.sampled_from(["GET", "POST", "X"]), st.text(st.characters(max_codepoint=255), max_size=40))
def test_anything_else_is_a_no_of_the_callers_own(method, target):
    got = read_call(method, target)
    assert isinstance(got, Call) or 400 <= got.code < 500
