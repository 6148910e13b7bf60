"""Servers that record how often each request was executed, and whether a retry overlapped an open attempt.

A retry overlaps if the connection of an earlier attempt with its id is still open when the last byte of the
retry arrives, which a non-blocking read of that connection shows. The servers use plain sockets and a
selector, since the state in the kernel counts, not that of an event loop. The protocol is the platform's
HTTP/1.1; tests of aborted attempts and `benchmarks.relay` use them.

As a process, `python -m standins.truth PORTS PHASE_S`, one server is faulty in each phase, each in turn, with
each of `FAULTS` in turn. The process prints its ports at the start, and the tally as JSON when standard input
ends.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MALFORMED = b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
HEAD_END = b"\r\n\r\n"
CLOSE = b""
SILENCE = None
MAX_OVERLAP_DESCRIPTIONS = 10
FAULTS: tuple[bytes | None, ...] = (SILENCE, MALFORMED, CLOSE, NOT_RUN)


@dataclass(slots=True)
class Arrival:
    """A request whose last byte has arrived."""

    ident: str
    method: str
    port: int
    sock: socket.socket
    overlaps: bool
    keyed: bool
    arrived_s: float
    answer: bytes | None = SILENCE


@dataclass(slots=True)
class Tally:
    """Counts of the requests of all servers.

    Attributes:
        requests: Number of received requests, retries included.
        repeats: Number of requests whose id had arrived before.
        overlaps: Number of retries that arrived while an earlier attempt was open.
        orders_twice: Number of repeated executions of POST requests without an idempotency key.
        stories: Descriptions of the first overlaps.
    """

    requests: int = 0
    repeats: int = 0
    overlaps: int = 0
    orders_twice: int = 0
    stories: list[str] = field(default_factory=list)


# Returns the answer to an arrival, given the number of earlier arrivals of its id.
AnswerPolicy = Callable[[Arrival, int], bytes | None]


@dataclass
class Truth:
    """Servers on one selector.

    Attributes:
        ports: Number of servers, each with a port of its own.
        choose_answer: Function that returns the answer to a request, or CLOSE or SILENCE.
        tally: Counts of the requests so far.
    """

    ports: int
    choose_answer: AnswerPolicy
    tally: Tally = field(default_factory=Tally)

    def __post_init__(self) -> None:
        """Open the listening sockets."""
        self.selector = selectors.DefaultSelector()
        self.arrivals: dict[str, list[Arrival]] = {}
        self.executions: Counter[str] = Counter()
        self.received: dict[socket.socket, bytes] = {}
        self.listeners = [socket.create_server(("127.0.0.1", 0), backlog=512) for _ in range(self.ports)]
        for listener in self.listeners:
            listener.setblocking(False)
            self.selector.register(listener, selectors.EVENT_READ)
        self.stop_sender, self.stop_receiver = socket.socketpair()
        self.selector.register(self.stop_receiver, selectors.EVENT_READ)

    @property
    def port_numbers(self) -> list[int]:
        """Port numbers of the servers."""
        return [listener.getsockname()[1] for listener in self.listeners]

    def run(self) -> None:
        """Serve until `stop`."""
        while True:
            for key, _ in self.selector.select():
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if sock is self.stop_receiver:
                    return
                if sock in self.listeners:
                    self._accept(sock)
                else:
                    self._read(sock)

    def stop(self) -> None:
        """Stop `run` from another thread."""
        self.stop_sender.send(b"x")

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        self.received[sock] = b""
        self.selector.register(sock, selectors.EVENT_READ)

    def _read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self._close(sock)
            return
        data = self.received[sock] + data
        while sock in self.received and (end := _message_end(data)):
            message, data = data[:end], data[end:]
            self._on_request(sock, message)
        if sock in self.received:
            self.received[sock] = data

    def _on_request(self, sock: socket.socket, message: bytes) -> None:
        head = message.split(b"\r\n\r\n", 1)[0].decode("latin-1").split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in head[1:])
        ident = headers.get("x-request-id", "")
        earlier = self.arrivals.setdefault(ident, [])
        open_attempts = [other for other in earlier if _is_open(other.sock)]
        overlaps = bool(open_attempts)
        arrival = Arrival(
            ident,
            head[0].split()[0],
            sock.getsockname()[1],
            sock,
            overlaps,
            "idempotency-key" in headers,
            time.monotonic(),
        )
        if open_attempts and len(self.tally.stories) < MAX_OVERLAP_DESCRIPTIONS:
            other = open_attempts[0]
            self.tally.stories.append(
                f"{ident}: {(arrival.arrived_s - other.arrived_s) * 1000:.1f} ms after an attempt that was"
                f" answered with {other.answer!r}, TCP state {_tcp_state(other.sock)}"
            )
        answer = arrival.answer = self.choose_answer(arrival, len(earlier))
        self.tally.requests += 1
        self.tally.repeats += bool(earlier)
        self.tally.overlaps += overlaps
        earlier.append(arrival)
        if answer != NOT_RUN:
            self.executions[ident] += 1
            if arrival.method == "POST" and not arrival.keyed:
                self.tally.orders_twice += self.executions[ident] > 1
        if answer == CLOSE:
            self._close(sock)
        elif answer is not SILENCE and self._send(sock, answer) and answer in (GOOD, NOT_RUN):
            earlier.remove(arrival)  # It has ended, and its connection may serve other requests.

    def _send(self, sock: socket.socket, answer: bytes) -> bool:
        """Send an answer; return False if the client has reset its connection."""
        try:
            sock.send(answer)
        except OSError:
            self._close(sock)
            return False
        return True

    def _close(self, sock: socket.socket) -> None:
        self.selector.unregister(sock)
        self.received.pop(sock, None)
        sock.close()


def _message_end(data: bytes) -> int:
    """Return the end of the first complete message; 0 if none is complete."""
    head_bytes = data.find(HEAD_END)
    if head_bytes < 0:
        return 0
    end = head_bytes + len(HEAD_END)
    _, found, value = data[:end].lower().partition(b"content-length: ")
    end += int(value.split(b"\r\n", 1)[0]) if found else 0
    return end if len(data) >= end else 0


def _tcp_state(sock: socket.socket) -> int:
    """Return the TCP state as in tcp_states.h: 1 is established, 8 is CLOSE_WAIT."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def _is_open(sock: socket.socket) -> bool:
    """Return whether a connection is open according to the kernel on the server's side."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return True
    except OSError:
        return False


def main(ports: int, phase_s: float) -> None:
    """Serve until standard input ends, with one faulty server in each phase."""
    began_s = time.monotonic()

    def choose_answer(arrival: Arrival, earlier: int) -> bytes | None:
        phase = int((time.monotonic() - began_s) / phase_s)
        is_faulty = truth.port_numbers[phase % ports] == arrival.port
        return FAULTS[phase // ports % len(FAULTS)] if is_faulty else GOOD

    truth = Truth(ports, choose_answer)
    print(*truth.port_numbers, flush=True)
    thread = threading.Thread(target=truth.run)
    thread.start()
    sys.stdin.read()
    truth.stop()
    thread.join()
    print(json.dumps(asdict(truth.tally)), flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]))
