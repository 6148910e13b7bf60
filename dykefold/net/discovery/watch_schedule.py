"""When discovery is called: the time budget of a change, and the schedule that spreads calls.

The budget (docs/design/discovery.md): a change counts as notified 6 s after a watch fell silent or a call
failed, and not before 2 s after the end of a wait. So from the call on:

- polled service: wait 20 s, overdue 0.8 s, the answer to the call beside it 1.2 s; after a failure the
  balancer backs off 1.5 s at most, connect and answer take 3.5 s: 5 s
- agent that pushes: wait 2.5 s, overdue 0.5 s, a further call each 0.25 s, since what the agent knows counts
  at once
"""

from __future__ import annotations

from typing import Protocol

from ...admission.budget import DISCOVERY_CONNECTIONS

WATCH_POLLED_MS = 20_000  # one service for all: a call of each process may take it 8 s
WATCH_PUSHED_MS = 2_500  # the agent is on the same machine, and calls of it cost nothing
WATCH_IMMEDIATE_MS = 1  # of a call beside a silent one: whatever has changed, at once
OVERDUE_POLLED_S = 0.8  # beyond a watch's wait, until another call is made beside it
OVERDUE_PUSHED_S = 0.5
RETRY_PUSHED_S = 0.25  # until the agent is called again that did not answer at once, or failed
MAX_OPEN_CALLS = (
    DISCOVERY_CONNECTIONS - 1
)  # calls of one watch that are in flight at once; the oldest is cancelled
ANSWER_TIMEOUT_S = 3.5  # beyond a watch's own wait: discovery works through calls in turn
LIST_READ_GRACE_S = 0.1  # more for an answer that has come and was not read yet: lists are long
CONNECT_TIMEOUT_S = 2.0
MIN_CALL_INTERVAL_S = 0.1  # between calls that are answered at once with nothing new


class PollSchedule(Protocol):
    """Says when calls may be made, and is notified of their outcomes."""

    def watch_delay_s(self) -> float:
        """Return the seconds until a watch may be opened."""
        ...

    def next_call_delay_s(self) -> float:
        """Return the seconds until the next call of a watch, after an answer."""
        ...

    def called(self) -> None:
        """Record that a call was made."""
        ...

    def answered(self) -> None:
        """Record that a call brought a list or a change of it."""
        ...

    def failed(self) -> None:
        """Record that a call failed, or brought what is no list."""
        ...

    def moved(self) -> None:
        """Record that discovery is at another address now."""
        ...
