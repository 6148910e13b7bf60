"""The program as a child process: started, waited for until it listens, ended."""

from __future__ import annotations

import contextlib
import os
import re
import subprocess
import sys
import threading
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

# The first form is that of earlier versions: `tree` may name a checkout of one.
LISTENS = re.compile(rb"(?:listens at |accepts clients: name=.* address=)[\d.]+:(\d+)")
MAX_LOG_LINES = 50  # latest lines of the log, for the error message


class StartError(Exception):
    """The program ended before it listened; the text has its last log lines."""


@dataclass(slots=True)
class Listening:
    """A program that listens on `port`. Its log is read on, since a full pipe would stop it."""

    port: int
    process: subprocess.Popen[bytes]
    log_lines: deque[bytes] = field(default_factory=deque)


@contextlib.contextmanager
def listening(
    arguments: list[str],
    environment: dict[str, str] | None = None,
    tree: Path | None = None,
    first: Callable[[], None] | None = None,
) -> Iterator[Listening]:
    """Start `python -m dykefold` with these arguments, and kill it at the end.

    Args:
        environment: instead of the caller's own.
        tree: the checkout that it is taken from, if not the caller's.
        first: done in the new process before the program, as pinning it to a core.

    Raises:
        StartError: it ended before it listened.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "dykefold", *arguments],
        cwd=tree,
        env=dict(os.environ) if environment is None else environment,
        stderr=subprocess.PIPE,
        preexec_fn=first,
    )
    log_lines: deque[bytes] = deque(maxlen=MAX_LOG_LINES)
    port_known = threading.Event()
    ports: list[int] = []

    def read() -> None:
        assert process.stderr is not None
        for line in process.stderr:
            log_lines.append(line)
            if not ports and (match := LISTENS.search(line)):
                ports.append(int(match[1]))
                port_known.set()
        port_known.set()

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    try:
        port_known.wait()
        if not ports:
            raise StartError(f"the sidecar ended before it listened: {b''.join(log_lines).decode()}")
        yield Listening(ports[0], process, log_lines)
    finally:
        process.kill()
        process.wait()
        reader.join()
        assert process.stderr is not None
        process.stderr.close()
