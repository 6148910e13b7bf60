"""The rate of answers, and the half-life of estimates that follows from it."""

from __future__ import annotations

from .context import SECOND_NS, BalancerContext

# Half-life of an endpoint's estimate, in mean intervals between its answers.
HALF_LIFE_ANSWER_INTERVALS = 20.0


class Throughput:
    """Rate of the answers that this sidecar receives.

    Args:
        context: State that all parts share.

    Attributes:
        answers_per_s: Answers per second, smoothed over the overload interval of the settings.
        local_answers_per_s: The same for endpoints of the local zone.
        updated_ns: Time of the latest answer.
        half_life_ns: Time in which the distance of a latency estimate to the mean halves.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.answers_per_s = 0.0
        self.local_answers_per_s = 0.0
        self.updated_ns = 0
        self.half_life_ns = 1.0

    def count_answer(self, ready_count: int, *, local: bool) -> None:
        """Add an answer to the rates.

        Args:
            ready_count: Number of ready endpoints.
            local: True if the endpoint is in the local zone.
        """
        now = self.context.now_ns
        interval_ns = self.context.settings.overload_for_ns
        remaining_fraction = max(0.0, 1.0 - (now - self.updated_ns) / interval_ns)
        self.answers_per_s = self.answers_per_s * remaining_fraction + SECOND_NS / interval_ns
        local_per_s = local * SECOND_NS / interval_ns
        self.local_answers_per_s = self.local_answers_per_s * remaining_fraction + local_per_s
        self.updated_ns = now
        self.update_half_life(ready_count)

    def update_half_life(self, ready_count: int) -> None:
        """Set the half-life of latency estimates for this number of ready endpoints."""
        answers = HALF_LIFE_ANSWER_INTERVALS * max(ready_count, 1)
        self.half_life_ns = answers / max(self.answers_per_s, 1.0) * SECOND_NS
