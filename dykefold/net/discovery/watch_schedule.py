"""Timing of discovery calls: the time budget for learning of a change, and the schedule that spreads calls.

The budget (docs/design/discovery.md): a change counts as notified 6 s after a watch fell silent or a call
failed, and not before 2 s after the end of a wait. The times, counted from the call:

- polled service: the wait lasts 20 s, the watch is overdue 0.8 s later, and the parallel call takes 1.2 s.
  After a failure the balancer backs off for at most 1.5 s, and connect and answer take 3.5 s: 5 s in total.
- agent that pushes: the wait lasts 2.5 s, the watch is overdue 0.5 s later, and further calls follow every
  0.25 s, since a change counts as notified as soon as the agent has it.
"""

from __future__ import annotations

from typing import Protocol

from ...admission.budget import DISCOVERY_CONNECTIONS

# Time that a watch lets discovery wait for a change. One service serves all processes and may need 8 s for
# one call of each; an agent is on the same machine.
WATCH_POLLED_MS = 20_000
WATCH_PUSHED_MS = 2_500
WATCH_IMMEDIATE_MS = 1  # For a call in parallel to a silent watch.
# Time after the end of a watch's wait until another call is made in parallel to it.
OVERDUE_POLLED_S = 0.8
OVERDUE_PUSHED_S = 0.5
RETRY_PUSHED_S = 0.25  # Until the next call of a silent or failed agent.
MAX_OPEN_CALLS = DISCOVERY_CONNECTIONS - 1  # Of one watch; above that the oldest call is cancelled.
ANSWER_TIMEOUT_S = 3.5  # After the end of a watch's wait, since discovery serves calls one at a time.
LIST_READ_GRACE_S = 0.1  # Extra time to read an answer that has arrived, since lists are long.
CONNECT_TIMEOUT_S = 2.0
MIN_CALL_INTERVAL_S = 0.1  # Between calls that are answered immediately and without a change.


class PollSchedule(Protocol):
    """Spreads calls over time, and is notified of their outcomes."""

    def watch_delay_s(self) -> float:
        """Return the seconds until a watch may be opened."""
        ...

    def next_call_delay_s(self) -> float:
        """Return the seconds until the next call of a watch, after an answer."""
        ...

    def on_poll(self) -> None:
        """Record that a call was made."""
        ...

    def on_answer(self) -> None:
        """Record that a call was answered with a list or a change of it."""
        ...

    def on_failure(self) -> None:
        """Record that a call failed, or was answered with an invalid list."""
        ...

    def on_address_change(self) -> None:
        """Record that the address of discovery has changed."""
        ...
