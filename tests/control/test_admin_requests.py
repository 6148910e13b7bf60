"""Parser of admin requests: valid requests, and the error codes of invalid ones."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold.control.admin_requests import Action, AdminRequest, AdminResponse, parse_admin_request


@pytest.mark.parametrize(
    ("method", "target", "expected"),
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
def test_admin_request_is_parsed_or_gets_its_error_code(method, target, expected):
    parsed = parse_admin_request(method, target)
    assert (parsed.code if isinstance(parsed, AdminResponse) else parsed) == expected


@settings(derandomize=True, database=None, deadline=None)
@given(st.sampled_from(["GET", "POST", "X"]), st.text(st.characters(max_codepoint=255), max_size=40))
def test_any_other_admin_request_gets_a_client_error(method, target):
    parsed = parse_admin_request(method, target)
    assert isinstance(parsed, AdminRequest) or 400 <= parsed.code < 500
