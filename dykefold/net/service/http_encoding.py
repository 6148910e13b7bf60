"""HTTP/1.1 encoding of requests to endpoints and of headers of final answers."""

from __future__ import annotations

from ..clock import NS_PER_MS, NS_PER_S
from ..downstream.request_parser import ParsedRequest

# Requests with these methods get a Content-Length header even if the body is empty.
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


def encode_request(request: ParsedRequest, remaining_ns: int) -> bytes:
    """Encode a request for an endpoint.

    Args:
        request: Request of a client; if its body is streamed, only the head is encoded.
        remaining_ns: Nanoseconds that the endpoint has to respond, announced in whole milliseconds, at
            least 1.
    """
    if request.upload is not None:
        content_length = request.upload.length
        length = b"Transfer-Encoding: chunked\r\n"
        if content_length is not None:
            length = b"Content-Length: %d\r\n" % content_length
    else:
        has_content_length = request.body or request.method in METHODS_WITH_BODY
        length = b"Content-Length: %d\r\n" % len(request.body) if has_content_length else b""
    return b"%s %s HTTP/1.1\r\n%sX-Deadline: %dm\r\n%s\r\n%s" % (
        request.method,
        request.target,
        b"".join(request.headers),
        max(remaining_ns // NS_PER_MS, 1),
        length,
        request.body,
    )


def header_lines(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Encode header fields as header lines."""
    return b"".join(b"%s: %s\r\n" % header for header in headers)


def retry_after(after_ns: int) -> bytes:
    """Encode a Retry-After header line.

    Args:
        after_ns: Nanoseconds to wait, encoded in seconds with three decimals.
    """
    return b"Retry-After: %.3f\r\n" % (after_ns / NS_PER_S)
