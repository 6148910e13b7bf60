"""The intervals, timeouts and rate limits of the membership protocol. No I/O.

Constants ending in `_PERIODS` are multiples of `RateLimits.period_ns`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

NS_PER_S = 1_000_000_000

PERIOD_NS = NS_PER_S // 2  # Each member probes one other member per period.
DEFAULT_DATAGRAM_PRICE = 0.02  # A higher price in the settings lengthens the period in proportion.
MAX_PERIOD_FACTOR = 4.0

# Probes.
PROBE_RETRY_PERIODS = 0.3  # An unanswered probe is retried after this, also through helpers.
PROBE_TIMEOUT_PERIODS = 1.6  # At full local health.
HELPERS_PER_RETRY = 3
RETRIES_PER_HELPER_CHANGE = 2  # Retries after which further helpers are requested.
RELAY_TIMEOUT_PERIODS = 0.4  # Time after which a helper sends a NACK.

# Suspicions. They leave a member that was paused for some periods time for a refutation.
SUSPICION_PERIODS = 5.0
SUSPICION_PERIODS_PER_DOUBLING = 0.5  # Of the fleet size: gossip takes longer to spread.
FOREIGN_SUSPICION_FACTOR = 1.5  # For a suspicion raised by another member: its refutation may be on its way.

# Gossip.
GOSSIP_PERIODS = 0.2  # Between two rounds, while there are changes to send.
GOSSIP_FANOUT = 2  # Receivers per round.
EXTRA_TRANSMISSIONS = 1  # Of each change, in addition to log2 of the fleet size.

# Anti-entropy.
COMPARISON_PERIODS = 2.0  # Between two comparisons of digests.
COMPARISONS_PER_NOT_LIVE = 3  # One in this number of comparisons is with a member that is not live.
JOINING_COMPARISON_PERIODS = 0.5  # Between two comparisons by a joining member.
MAX_JOINING_PERIODS = 12.0  # Joining also ends when a comparison finds equal digests.

# Isolated members.
ISOLATED_PERIODS = 3.0  # Without any datagram; from then on nothing is concluded about other members.
NO_LIVE_PEERS_PERIODS = 20.0  # Without any datagram; from then on no other member counts as live.
MAX_DELAY_PERIODS = 0.5  # A longer delay of the event loop degrades the local health.

LEAVING_NS = 10 * NS_PER_S  # Longer than any graceful shutdown.
RESTART_NS = 30 * NS_PER_S  # A departed member may be restarted within this time.
REFUTATION_PERIODS = 0.5  # Minimum time between two refutations by a process.
LEGACY_LIVE_NS = 10 * NS_PER_S  # A process without membership counts as live for this time after a message.

SEND_LIMIT_PER_S = 60.0  # Datagrams, including answers; the burst is twice that.
RECEIVE_LIMIT_PER_S = 600.0  # Decoded datagrams; the burst is the same. Decoding then takes 5 % of a core.
RECEIVE_LIMIT_PER_MEMBER_PER_S = 15.0  # The burst is twice that.


@dataclass(frozen=True, slots=True)
class RateLimits:
    """The intervals of a fleet's protocol, all proportional to its period.

    Attributes:
        period_ns: Nanoseconds between two probes by a member.
    """

    period_ns: int = PERIOD_NS

    @staticmethod
    def by_price(price: float) -> RateLimits:
        """Return the intervals for a price of datagrams; a higher price slows the protocol down."""
        factor = min(max(price / DEFAULT_DATAGRAM_PRICE, 1.0), MAX_PERIOD_FACTOR)
        return RateLimits(int(PERIOD_NS * factor))

    def ns(self, periods: float) -> int:
        """Return a number of periods in nanoseconds."""
        return int(self.period_ns * periods)

    def suspicion_ns(self, members: int, own: bool = True) -> int:
        """Return the nanoseconds after which a suspected member is declared GONE.

        Args:
            members: Number of members of the fleet.
            own: Whether this member raised the suspicion itself.
        """
        periods = SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DOUBLING * math.log2(members + 1)
        return self.ns(periods if own else FOREIGN_SUSPICION_FACTOR * periods)

    def settled_ns(self, members: int) -> int:
        """Return the nanoseconds after the last fault within which all live members agree.

        It grows with the logarithm of the fleet size. It covers the rounds of probes until a survivor has
        detected each dead member, the suspicion, and the spread of the change by gossip; or, after a
        partition, the time until a member has compared its states with one of the other side, and the spread.
        """
        gossip_rounds = math.log2(members + 1)
        detection_periods = PROBE_TIMEOUT_PERIODS * 6.0
        partition_merge_periods = 2.0 * COMPARISONS_PER_NOT_LIVE * COMPARISON_PERIODS
        convergence_periods = detection_periods + partition_merge_periods + COMPARISON_PERIODS * gossip_rounds
        return self.ns(convergence_periods) + self.suspicion_ns(members, own=False)


class TokenBucket:
    """Token bucket: a rate limit with a burst.

    Args:
        rate: Tokens per second.
        burst: Maximum number of tokens.
        now_ns: Current monotonic time in nanoseconds.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_ns")

    def __init__(self, rate: float, burst: float, now_ns: int) -> None:
        """Start with a full bucket."""
        self.rate, self.burst = rate, burst
        self.tokens, self.updated_ns = burst, now_ns

    def take(self, now_ns: int, reserve: float = 0.0) -> bool:
        """Take a token if `reserve` tokens remain after that; return whether it was taken."""
        elapsed_ns = max(now_ns - self.updated_ns, 0)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_ns / NS_PER_S)
        self.updated_ns = now_ns
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
