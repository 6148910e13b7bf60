"""The rate of the own answers, and how fast estimates age by it."""

from __future__ import annotations

from .context import SECOND_NS, BalancerContext

# An estimate of an endpoint halves its distance to the mean in the time of this many answers of it.
HALF_LIFE_ANSWER_INTERVALS = 20.0


class Throughput:
    """How many answers this sidecar gets.

    Attributes:
        answers_per_s: smoothed over the overload interval of the settings, as of `updated_ns`.
        local_answers_per_s: of these, the answers of endpoints of the own zone.
        half_life_ns: time in which a latency estimate halves its distance to the mean.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.answers_per_s = 0.0
        self.local_answers_per_s = 0.0
        self.updated_ns = 0
        self.half_life_ns = 1.0

    def count_answer(self, ready_count: int, *, local: bool) -> None:
        """Take one answer into the rate."""
        now = self.context.now_ns
        tau = self.context.settings.overload_for_ns
        kept = max(0.0, 1.0 - (now - self.updated_ns) / tau)
        self.answers_per_s = self.answers_per_s * kept + SECOND_NS / tau
        self.local_answers_per_s = self.local_answers_per_s * kept + local * SECOND_NS / tau
        self.updated_ns = now
        self.update_half_life(ready_count)

    def update_half_life(self, ready_count: int) -> None:
        """Work out how fast estimates age with so many ready endpoints."""
        gaps = HALF_LIFE_ANSWER_INTERVALS * max(ready_count, 1)
        self.half_life_ns = gaps / max(self.answers_per_s, 1.0) * SECOND_NS
