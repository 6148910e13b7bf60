"""Encoding of the requests of simulated clients, and their classes and services."""

from __future__ import annotations

from .schedule import Arrival

CLASSES = ("lookup", "hold", "order")
POOLS = ("catalogue", "stock", "orders")  # Name of the service of each class.
LOOKUP, HOLD, ORDER = range(len(CLASSES))
BODY_PART = b"hull"
LARGE_PARTS = 25_000  # Parts of a body too long to be buffered: 100 KB, more than a window.
BODY_SIZES = 3  # Maximum number of parts of all other bodies.


def class_of(first_line: str) -> int:
    """Return the number of the class in the path of a request line."""
    return CLASSES.index(first_line.split()[1].split("/")[1])


def pool_of(class_number: int) -> str:
    """Return the service that serves a class."""
    return POOLS[class_number]


def encode_request(arrival: Arrival, ident: str, left_ms: int) -> bytes:
    """Return a client's request as bytes.

    Args:
        arrival: Arrival of the request.
        ident: Id of the request.
        left_ms: Milliseconds for which the client waits.
    """
    name = CLASSES[arrival.class_number]
    method = "POST"
    body = BODY_PART * (LARGE_PARTS if arrival.large else 1 + arrival.number % BODY_SIZES)
    if arrival.class_number == LOOKUP:
        method, body = "GET", b""
    query = "?large" if arrival.large and not body else ""
    lines = [f"{method} /{name}/part{query} HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {ident}"]
    lines.append(f"X-Deadline: {left_ms}m")
    if arrival.class_number == HOLD:
        lines.append(f"Idempotency-Key: key-{ident}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
