"""The intervals, timeouts and rate limits of the membership protocol. No I/O.

Constants whose name ends in `_PERIODS` are in periods of the fleet: see `RateLimits.period_ns`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000_000

PERIOD_NS = SECOND // 2  # each member probes another one once in this time
DEFAULT_DATAGRAM_PRICE = 0.02  # a higher price in the settings stretches the period in proportion
MAX_PERIOD_FACTOR = 4.0

# Probes.
PROBE_RETRY_PERIODS = 0.3  # without an answer, until the probe is repeated, also through helpers
PROBE_TIMEOUT_PERIODS = 1.6  # until the probe has failed, for a member that has full confidence in itself
HELPERS = 3
HELPER_RETRY_INTERVAL = 2  # other helpers are asked with every so many repeats of a probe
RELAY_TIMEOUT_PERIODS = 0.4  # in which a helper waits for the subject's answer

# Suspicions. A member that stops for some periods has the time to refute one.
SUSPICION_PERIODS = 5.0
SUSPICION_PERIODS_PER_DOUBLING = 0.5  # of the fleet, for the suspicion and its refutation to spread
FOREIGN_SUSPICION_FACTOR = 1.5  # for a suspicion of others, whose refutation may not have come through yet

# Gossip.
GOSSIP_PERIODS = 0.2  # between two rounds, while there is anything to send
GOSSIP_FANOUT = 2  # members in a round
EXTRA_TRANSMISSIONS = 1  # of each change beyond log2 of the fleet; anti-entropy finds whom they missed

# Anti-entropy.
COMPARISON_PERIODS = 2.0  # between two comparisons of digests with another member
NOT_LIVE_COMPARISON_INTERVAL = 3  # one in so many is with a member that is not counted as live
JOINING_COMPARISON_PERIODS = 0.5  # between two comparisons of a member that joins ...
MAX_JOINING_PERIODS = 12.0  # ... until one has found both equal, or so many periods have passed

# A member that receives nothing.
ISOLATED_PERIODS = 3.0  # without any datagram: nothing is concluded about others any more
ISOLATED_ALONE_PERIODS = 20.0  # ... and from then on nobody else counts as live
MAX_DELAY_PERIODS = 0.5  # by which the process may run late before it doubts its own observations

LEAVING_NS = 10 * SECOND  # no graceful shutdown lasts longer
RESTART_NS = 30 * SECOND  # in which a member that went may be started again
REFUTATION_PERIODS = 0.5  # between two incarnations of one process
LEGACY_LIVE_NS = 10 * SECOND  # for which a process without membership counts as live after a message

SEND_LIMIT_PER_S = 60.0  # datagrams, answers included; the burst is twice that
RECEIVE_LIMIT_PER_S = 600.0  # decoded, 75 microseconds each: 5 % of a core; the burst is the same
RECEIVE_LIMIT_PER_MEMBER_PER_S = 15.0  # far below what a member may send; the burst is twice that


@dataclass(frozen=True, slots=True)
class RateLimits:
    """The intervals of one fleet.

    Attributes:
        period_ns: time between two probes of a member.
    """

    period_ns: int = PERIOD_NS

    @staticmethod
    def by_price(price: float) -> RateLimits:
        """Return the intervals for a price of datagrams: a higher one slows the protocol down."""
        factor = min(max(price / DEFAULT_DATAGRAM_PRICE, 1.0), MAX_PERIOD_FACTOR)
        return RateLimits(int(PERIOD_NS * factor))

    def ns(self, periods: float) -> int:
        """Return so many periods in nanoseconds."""
        return int(self.period_ns * periods)

    def suspicion_ns(self, members: int, own: bool = True) -> int:
        """Return how long a suspicion stands before the member counts as gone, nanoseconds.

        Args:
            members: size of the fleet.
            own: whether this member has found it itself.
        """
        periods = SUSPICION_PERIODS + SUSPICION_PERIODS_PER_DOUBLING * math.log2(members + 1)
        return self.ns(periods if own else FOREIGN_SUSPICION_FACTOR * periods)

    def settled_ns(self, members: int) -> int:
        """Return the time after the last fault by which all live members agree, nanoseconds.

        It grows with the logarithm of the fleet's size. It is made of rounds of probes until a survivor has
        found each dead member, the suspicion, and the spread of the change; or, after a partition, of the
        time until a member has compared its states with one beyond it, and the spread.
        """
        rounds = math.log2(members + 1)
        detection = PROBE_TIMEOUT_PERIODS * 6.0
        reunion = 2.0 * NOT_LIVE_COMPARISON_INTERVAL * COMPARISON_PERIODS
        found = detection + reunion + COMPARISON_PERIODS * rounds
        return self.ns(found) + self.suspicion_ns(members, own=False)


class TokenBucket:
    """A rate limit with a burst.

    Args:
        rate: tokens per second.
        burst: the most tokens that it holds.
        now_ns: on a monotonic clock.
    """

    __slots__ = ("burst", "rate", "tokens", "updated_ns")

    def __init__(self, rate: float, burst: float, now_ns: int) -> None:
        """Begin with a full bucket."""
        self.rate, self.burst = rate, burst
        self.tokens, self.updated_ns = burst, now_ns

    def take(self, now_ns: int, reserve: float = 0.0) -> bool:
        """Take a token if that leaves `reserve` tokens; return whether it was taken."""
        elapsed_ns = max(now_ns - self.updated_ns, 0)
        self.tokens = min(self.burst, self.tokens + self.rate * elapsed_ns / SECOND)
        self.updated_ns = now_ns
        if self.tokens < 1.0 + reserve:
            return False
        self.tokens -= 1.0
        return True
