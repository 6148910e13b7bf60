"""What a request asks of its scripted server: the plan travels in the query of the request's target."""

from __future__ import annotations

import itertools
import os
from dataclasses import asdict, dataclass
from urllib.parse import parse_qsl, urlencode

KB = 1024
MAX_SMALL_BYTES = 64 * KB  # Of messages longer than this the first bytes are timed (pages: hard days).


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """How a server reads one request and answers it.

    Attributes:
        size: Bytes of the answer's body.
        chunked: Whether the answer is framed in chunks; otherwise it has a length.
        delay_s: Seconds from the request's last byte to the answer's head.
        first: Bytes of the body that are written with the head.
        pause_s: Seconds between these and the rest.
        rate: Bytes a second at which the rest is written; 0 for full speed.
        piece: Bytes that are written at once.
        read_rate: Bytes a second at which the request's body is read; 0 for full speed.
        stop_at: Bytes of the request's body after which the server reads no more; -1 for never.
    """

    size: int = 2
    chunked: bool = False
    delay_s: float = 0.0
    first: int = 0
    pause_s: float = 0.0
    rate: int = 0
    piece: int = 4 * KB
    read_rate: int = 0
    stop_at: int = -1

    def to_query(self) -> str:
        """Return the plan as the query of a target; default values are left out."""
        default = asdict(ServerPlan())
        return urlencode({key: value for key, value in asdict(self).items() if value != default[key]})

    @classmethod
    def from_target(cls, target: str) -> ServerPlan:
        """Return the plan in the query of a target."""
        values = dict(parse_qsl(target.partition("?")[2]))
        chunked = values.pop("chunked", "False") == "True"
        delay_s, pause_s = float(values.pop("delay_s", 0)), float(values.pop("pause_s", 0))
        numbers = {key: int(value) for key, value in values.items()}
        return cls(chunked=chunked, delay_s=delay_s, pause_s=pause_s, **numbers)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the settings.

    Attributes:
        name: First part of the path.
        repeat: `pure`, `token` or `side_effect`, as in the settings.
        deadline_ms: Deadline in the settings, in milliseconds.
        objective_ms: Latency objective in the settings, in milliseconds.
    """

    name: str
    repeat: str
    deadline_ms: int
    objective_ms: int


LOOKUP = RequestClass("lookup", "pure", 3000, 750)
HOLD = RequestClass("hold", "token", 2000, 600)
ORDER = RequestClass("order", "side_effect", 4000, 1200)
CLASSES = (LOOKUP, HOLD, ORDER)

_ids = itertools.count()


def new_id() -> str:
    """Return a request id that this process has not used before."""
    return f"{os.getpid():x}-{next(_ids):x}"


@dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request of a client.

    Attributes:
        kind: What the judge's lines call it.
        request_class: Its class.
        wait_s: How long its client waits, in seconds from the last byte.
        server: What its server does.
        body: Bytes of its body; a request without effect has none.
        chunked: Whether its body is framed in chunks.
        write_rate: Bytes a second at which the client writes; 0 for full speed.
        read_rate: Bytes a second at which the client reads; 0 for full speed.
    """

    kind: str
    request_class: RequestClass
    wait_s: float
    server: ServerPlan = ServerPlan()
    body: int = 0
    chunked: bool = False
    write_rate: int = 0
    read_rate: int = 0

    def head(self, request_id: str) -> bytes:
        """Return the head of the request, in the form of the protocol page."""
        spec = self.request_class
        method = "GET" if spec.repeat == "pure" and not self.body else "POST"
        lines = [
            f"{method} /{spec.name}?{self.server.to_query()} HTTP/1.1",
            "Host: origin.svc",
            f"X-Request-Id: {request_id}",
            f"X-Deadline: {round(self.wait_s * 1000)}m",
        ]
        if spec.repeat == "token":
            lines.append(f"Idempotency-Key: key-{request_id}")
        if method == "POST":
            lines.append("Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.body}")
        return "\r\n".join([*lines, "", ""]).encode()
