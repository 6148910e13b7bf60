"""The program as a child process: start it, wait until it listens, and kill it afterwards."""

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

# The alternative `listens at` matches earlier versions: `tree` may be a checkout of one.
LISTENS = re.compile(rb"(?:listens at |accepts clients: name=.* address=)[\d.]+:(\d+)")
MAX_LOG_LINES = 50  # Latest log lines, for the error message.


class StartError(Exception):
    """The program exited before it listened; the message has its latest log lines."""


@dataclass(slots=True)
class Listening:
    """A program that listens on `port`. Its log is read to the end, since a full pipe would block it."""

    port: int
    process: subprocess.Popen[bytes]
    log_lines: deque[bytes] = field(default_factory=deque)


@contextlib.contextmanager
def listening(
    arguments: list[str],
    environment: dict[str, str] | None = None,
    tree: Path | None = None,
    before_exec: Callable[[], None] | None = None,
) -> Iterator[Listening]:
    """Start `python -m dykefold`, yield it once it listens, and kill it on exit.

    Args:
        arguments: Command line arguments of the program.
        environment: Environment of the program; None for that of the caller.
        tree: Checkout that the program is run from; None for the working directory of the caller.
        before_exec: Function called in the child process before the program starts, e.g. to pin it to a core.

    Raises:
        StartError: The program exited before it listened.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "dykefold", *arguments],
        cwd=tree,
        env=dict(os.environ) if environment is None else environment,
        stderr=subprocess.PIPE,
        preexec_fn=before_exec,
    )
    log_lines: deque[bytes] = deque(maxlen=MAX_LOG_LINES)
    port_known = threading.Event()
    ports: list[int] = []

    def read_log() -> None:
        assert process.stderr is not None
        for line in process.stderr:
            log_lines.append(line)
            if not ports and (match := LISTENS.search(line)):
                ports.append(int(match[1]))
                port_known.set()
        port_known.set()

    reader = threading.Thread(target=read_log, daemon=True)
    reader.start()
    try:
        port_known.wait()
        if not ports:
            raise StartError(
                f"the sidecar exited before it listened; its latest log lines: {b''.join(log_lines).decode()}"
            )
        yield Listening(ports[0], process, log_lines)
    finally:
        process.kill()
        process.wait()
        reader.join()
        assert process.stderr is not None
        process.stderr.close()
