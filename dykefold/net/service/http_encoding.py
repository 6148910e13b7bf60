"""Bytes that a service writes: requests to endpoints and headers of final answers."""

from __future__ import annotations

from ..clock import MS, SECOND
from ..downstream.request_parser import ParsedRequest

METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))  # these state a Content-Length of 0 as well


def encode_request(call: ParsedRequest, time_left_ns: int) -> bytes:
    """Encode a request for an endpoint.

    Args:
        call: The request; of a streamed one only the head is encoded.
        time_left_ns: Announced to the endpoint as its deadline, in whole milliseconds and at least one.
    """
    if call.upload is not None:
        announced = call.upload.length
        length = b"Transfer-Encoding: chunked\r\n"
        if announced is not None:
            length = b"Content-Length: %d\r\n" % announced
    else:
        states_length = call.body or call.method in METHODS_WITH_BODY
        length = b"Content-Length: %d\r\n" % len(call.body) if states_length else b""
    return b"%s %s HTTP/1.1\r\n%sX-Deadline: %dm\r\n%s\r\n%s" % (
        call.method,
        call.target,
        b"".join(call.headers),
        max(time_left_ns // MS, 1),
        length,
        call.body,
    )


def header_lines(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Encode header fields as lines."""
    return b"".join(b"%s: %s\r\n" % header for header in headers)


def retry_after(after_ns: int) -> bytes:
    """Encode a Retry-After header line.

    Args:
        after_ns: Time to wait, nanoseconds; written in seconds with three decimals.
    """
    return b"Retry-After: %.3f\r\n" % (after_ns / SECOND)
