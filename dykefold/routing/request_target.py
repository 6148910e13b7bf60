"""Normalizes the host and path of a request for route matching. No I/O.

The sidecar must interpret a target exactly as the endpoint will. A target that two parsers could interpret
differently (empty or dot segments, a percent-encoded slash or dot, two different hosts) is rejected:
otherwise a client could match one route here and reach another service at the endpoint.

Sources: RFC 3986 sections 3.2.2, 3.3 and 6.2.2 (hosts, paths, equivalence), RFC 9112 section 3.2
(forms of the target), RFC 9110 section 7.2 (Host), RFC 1034 section 3.1 (labels, the trailing dot).
"""

from __future__ import annotations

import re
from enum import Enum
from urllib.parse import unquote_to_bytes

MAX_HOST_LENGTH = 255  # Bytes of a name (RFC 1034, 3.1).
MAX_SEGMENTS = 64  # Segments of a path; each is one step of a route lookup.

_LABELS = re.compile(r"(?!-)[a-z0-9_-]{1,63}(?<!-)(?:\.(?!-)[a-z0-9_-]{1,63}(?<!-))*")
_LITERAL = re.compile(r"\[[0-9a-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{0,5}")
# pchar of RFC 3986, 3.3, and the slash; `_BAD_PERCENT` checks what follows percent signs.
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
_BAD_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")


class TargetProblem(Enum):
    """Reason for which a host or path is rejected; the value is sent to the client."""

    NO_HOST = "the host is no name or address"
    CHARACTERS = "the path has characters that it may not have"
    TOO_MANY_SEGMENTS = f"the path has more than {MAX_SEGMENTS} segments"
    EMPTY_SEGMENT = "the path has an empty segment"
    DOT_SEGMENT = "the path has a dot segment"
    NOT_UTF8 = "the path is no UTF-8"
    HIDDEN_SEPARATOR = "the path hides a separator or a control character"
    HOST_COUNT = "exactly one Host is needed"
    NO_PATH = "the target is no path"
    OTHER_HOST = "the target names another host than Host"
    FRAGMENT = "the target has a fragment"


class RequestTargetError(ValueError):
    """Raised for a host or path that is rejected.

    Attributes:
        problem: Reason for the rejection.
    """

    def __init__(self, problem: TargetProblem) -> None:
        """Use the text of the problem as the error message."""
        super().__init__(problem.value)
        self.problem = problem


def canonical_host(value: str) -> str:
    """Return a Host value in normalized form: lower case, without port and trailing dot.

    Args:
        value: Host as received: a name or an address, with or without a port.

    Raises:
        RequestTargetError: The value is empty, too long or not a host.
    """
    text = value.strip().lower()
    if text.startswith("["):
        literal, bracket, rest = text.partition("]")
        name = literal + bracket
        is_host = _LITERAL.fullmatch(name) is not None
    else:
        name, colon, port = text.partition(":")
        rest = colon + port
        name = name.removesuffix(".")
        is_host = len(name) <= MAX_HOST_LENGTH and _LABELS.fullmatch(name) is not None
    if not is_host or (rest and (rest[0] != ":" or _PORT.fullmatch(rest[1:]) is None)):
        raise RequestTargetError(TargetProblem.NO_HOST)
    return name


def path_segments(path: str) -> tuple[str, ...]:
    """Return the percent-decoded segments of a path.

    `/` has none. A trailing slash yields an empty last segment, since endpoints distinguish the two paths.

    Args:
        path: Request target in origin form, without the query.

    Raises:
        RequestTargetError: The path is ambiguous.
    """
    if _PATH.fullmatch(path) is None or _BAD_PERCENT.search(path):
        raise RequestTargetError(TargetProblem.CHARACTERS)
    encoded = path[1:].split("/")
    if encoded == [""]:
        return ()
    if len(encoded) > MAX_SEGMENTS:
        raise RequestTargetError(TargetProblem.TOO_MANY_SEGMENTS)
    if "" in encoded[:-1]:
        raise RequestTargetError(TargetProblem.EMPTY_SEGMENT)
    return tuple(_decoded(segment) if "%" in segment else _checked(segment) for segment in encoded)


def _checked(segment: str) -> str:
    if segment in (".", ".."):
        raise RequestTargetError(TargetProblem.DOT_SEGMENT)
    return segment


def _decoded(segment: str) -> str:
    try:
        text = unquote_to_bytes(segment).decode()
    except UnicodeDecodeError:
        raise RequestTargetError(TargetProblem.NOT_UTF8) from None
    if any(char in "/\\%" or char < " " or char == "\x7f" for char in text):
        raise RequestTargetError(TargetProblem.HIDDEN_SEPARATOR)
    return _checked(text)


def split_target(target: str, hosts: list[str]) -> tuple[str, tuple[str, ...]]:
    """Return the normalized host and the path segments of a request.

    Args:
        target: Request target in origin form or absolute form.
        hosts: Values of all Host header lines, in order.

    Raises:
        RequestTargetError: The request does not have exactly one Host line, its target has another form, or
            the target names another host than the Host line.
    """
    if len(hosts) != 1:
        raise RequestTargetError(TargetProblem.HOST_COUNT)
    host = canonical_host(hosts[0])
    if not target.startswith("/"):
        target = _origin_form(target, host)
    if "#" in target:
        raise RequestTargetError(TargetProblem.FRAGMENT)
    return host, path_segments(target.partition("?")[0])


def _origin_form(target: str, host: str) -> str:
    """Return the path of a target in absolute form, which must name the given host."""
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() != "http":
        raise RequestTargetError(TargetProblem.NO_PATH)
    authority, slash, path = rest.partition("/")
    authority, question, _ = authority.partition("?")
    if canonical_host(authority) != host:
        raise RequestTargetError(TargetProblem.OTHER_HOST)
    return "/" if question else slash + path or "/"
