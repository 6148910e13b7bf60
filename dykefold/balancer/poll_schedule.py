"""Poll schedule of discovery: at the start, and with backoff while the watch of the list fails."""

from __future__ import annotations

from .actions import Watch
from .backoff import exponential
from .context import SECOND_NS, BalancerContext
from .timers import POLL, TimerQueue

# Fractions are of `Settings.max_poll_interval_ns`.
# The first poll is delayed at random by up to this time; so is the first retry of a poll.
BACKOFF_BASE_FRACTION = 0.05
# Two polls fit into the interval.
MAX_BACKOFF_FRACTION = 0.4
# Minimum fraction of a backoff after jitter; it limits the load on a failing registry.
MIN_JITTER_FRACTION = 0.1
# After a failure, a sidecar is expected to know of a change within 6 s, whatever the poll interval is.
MAX_DELAY_S = 1.5


class PollSchedule:
    """Schedules polls; it does nothing if discovery need not be polled.

    Args:
        context: State that all parts share.
        timers: Timers that trigger polls.

    Attributes:
        failures: Number of consecutive failures.
        watching: True while the watch of the endpoint list works.
    """

    def __init__(self, context: BalancerContext, timers: TimerQueue) -> None:
        self.context = context
        self.timers = timers
        self.failures = 0
        self.watching = False

    def on_cached_list(self) -> None:
        """Poll soon after a start, at a random time so that restarted sidecars do not poll simultaneously."""
        settings = self.context.settings
        if settings.poll_required:
            spread = settings.max_poll_interval_ns * BACKOFF_BASE_FRACTION
            delay = int(spread * self.context.random.random())
            self.timers.add(self.context.now_ns + delay, POLL)

    def on_list(self) -> None:
        """Record that the watch has delivered a list, or a change of it."""
        self.watching = True
        self.failures = 0

    def on_failure(self) -> None:
        """Poll after a backoff, because a poll or the watch failed."""
        self.watching = False
        settings = self.context.settings
        if not settings.poll_required:
            return
        fraction = exponential(BACKOFF_BASE_FRACTION, self.failures, MAX_BACKOFF_FRACTION)
        backoff = min(settings.max_poll_interval_ns * fraction, MAX_DELAY_S * SECOND_NS)
        self.failures += 1
        delay = int(backoff * self.context.random.uniform(MIN_JITTER_FRACTION, 1.0)) + 1
        self.timers.add(self.context.now_ns + delay, POLL)

    def on_timer(self) -> None:
        """Poll, unless the watch works again."""
        if not self.watching:
            self.context.actions.append(Watch(True))
