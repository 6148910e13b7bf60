"""Hosts and paths in the one form that routes compare. No I/O.

A route must see what the server will see. Where two readers of a target could differ (empty or dot
segments, a slash or a dot that is percent-encoded, a host that is named twice in two ways) the request is
refused rather than guessed at: whoever slips past a rule here reaches another service there.

Sources: RFC 3986 sections 3.2.2, 3.3 and 6.2.2 (hosts, paths, what is equivalent), RFC 9112 section 3.2
(forms of the target), RFC 9110 section 7.2 (Host), RFC 1034 section 3.1 (labels, the trailing dot).
"""

from __future__ import annotations

import re
from urllib.parse import unquote_to_bytes

HOST_MOST = 255  # octets of a name (RFC 1034, 3.1)
SEGMENTS_MOST = 64  # of a path: each is one step of a look-up

_LABELS = re.compile(r"(?!-)[a-z0-9_-]{1,63}(?<!-)(?:\.(?!-)[a-z0-9_-]{1,63}(?<!-))*")
_LITERAL = re.compile(r"\[[0-9a-f:.]{2,45}\]")
_PORT = re.compile(r"[0-9]{0,5}")
# pchar of RFC 3986, 3.3, and the slash; percent signs are looked at one by one.
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*")
_BAD_PERCENT = re.compile(r"%(?![0-9A-Fa-f]{2})")


class TargetError(ValueError):
    """The host or path can't be taken; the text says why, in words for the client."""


def canonical_host(value: str) -> str:
    """A Host value as routes compare it: lower case, with no port and no trailing dot.

    Args:
        value: as it came, a name or an address, with or without a port.

    Raises:
        TargetError: it is empty, too long or no host.
    """
    text = value.strip().lower()
    if text.startswith("["):
        literal, bracket, rest = text.partition("]")
        name = literal + bracket
        good = _LITERAL.fullmatch(name) is not None
    else:
        name, colon, port = text.partition(":")
        rest = colon + port
        name = name.removesuffix(".")
        good = len(name) <= HOST_MOST and _LABELS.fullmatch(name) is not None
    if not good or (rest and (rest[0] != ":" or _PORT.fullmatch(rest[1:]) is None)):
        raise TargetError("the host is no name or address")
    return name


def segments(path: str) -> tuple[str, ...]:
    """A path's segments, percent-decoded, as routes and servers compare them.

    `/` has none; a trailing slash is an empty last segment, since servers tell the two apart.

    Args:
        path: an origin-form target without its query.

    Raises:
        TargetError: it could be read in two ways.
    """
    if _PATH.fullmatch(path) is None or _BAD_PERCENT.search(path):
        raise TargetError("the path has characters that it may not have")
    parts = path[1:].split("/")
    if parts == [""]:
        return ()
    if len(parts) > SEGMENTS_MOST:
        raise TargetError(f"the path has more than {SEGMENTS_MOST} segments")
    if "" in parts[:-1]:
        raise TargetError("the path has an empty segment")
    return tuple(_decoded(part) if "%" in part else _plain(part) for part in parts)


def _plain(part: str) -> str:
    if part in (".", ".."):
        raise TargetError("the path has a dot segment")
    return part


def _decoded(part: str) -> str:
    try:
        text = unquote_to_bytes(part).decode()
    except UnicodeDecodeError:
        raise TargetError("the path is no UTF-8") from None
    if any(char in "/\\%" or char < " " or char == "\x7f" for char in text):
        raise TargetError("the path hides a separator or a control character")
    return _plain(text)


def split_target(target: str, hosts: list[str]) -> tuple[str, tuple[str, ...]]:
    """Host and path segments of a request.

    Args:
        target: the request target, in origin form or absolute form.
        hosts: the values of all Host lines, in order.

    Raises:
        TargetError: no host or more than one, a target in another form, or one that names another host
            than the Host line does.
    """
    if len(hosts) != 1:
        raise TargetError("exactly one Host is needed")
    host = canonical_host(hosts[0])
    if not target.startswith("/"):
        scheme, found, rest = target.partition("://")
        if not found or scheme.lower() != "http":
            raise TargetError("the target is no path")
        authority, slash, path = rest.partition("/")
        authority, question, _ = authority.partition("?")
        if canonical_host(authority) != host:
            raise TargetError("the target names another host than Host")
        target = "/" if question else slash + path or "/"
    if "#" in target:
        raise TargetError("the target has a fragment")
    return host, segments(target.partition("?")[0])
