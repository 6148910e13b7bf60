"""When discovery is polled: at the start, and again with backoff while the watch of the list fails."""

from __future__ import annotations

from .actions import Watch
from .context import SECOND_NS, BalancerContext
from .timers import POLL, TimerQueue

# Parts of the time within which a sidecar must poll.
BACKOFF_BASE = 0.05  # the first poll and the first retry of it are spread over this
MAX_BACKOFF = 0.4  # doubling up to this, so that two polls fit
MIN_JITTER = 0.1  # of the delay at the least, to leave a failing registry alone
MAX_DELAY_S = 1.5  # after a failure a change counts as told 6 s later, whatever that time is


class PollSchedule:
    """Keeps track of the watch; it does nothing where discovery need not be polled."""

    def __init__(self, context: BalancerContext, timers: TimerQueue) -> None:
        self.context = context
        self.timers = timers
        self.failures = 0
        self.watching = False

    def on_cached_list(self) -> None:
        """Poll soon, but restarted sidecars must not all poll at once."""
        settings = self.context.settings
        if settings.poll_required:
            spread = settings.max_poll_interval_ns * BACKOFF_BASE
            delay = int(spread * self.context.random.random())
            self.timers.add(self.context.now_ns + delay, POLL)

    def on_list(self) -> None:
        """The registry has answered."""
        self.watching = True
        self.failures = 0

    def on_failure(self) -> None:
        """A poll failed or the watch broke: poll again after a backoff."""
        self.watching = False
        settings = self.context.settings
        if not settings.poll_required:
            return
        backoff = settings.max_poll_interval_ns * min(MAX_BACKOFF, BACKOFF_BASE * 2**self.failures)
        backoff = min(backoff, MAX_DELAY_S * SECOND_NS)
        self.failures += 1
        delay = int(backoff * self.context.random.uniform(MIN_JITTER, 1.0)) + 1
        self.timers.add(self.context.now_ns + delay, POLL)

    def on_timer(self) -> None:
        """Poll, unless the registry has answered meanwhile."""
        if not self.watching:
            self.context.actions.append(Watch(True))
