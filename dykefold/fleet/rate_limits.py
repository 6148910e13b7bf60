"""How often the view speaks, how long it waits, and what it may spend. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000_000

PERIOD_NS = SECOND // 2  # a member asks another one whether it lives, once in this
PRICE_USUAL = 0.02  # of datagrams, as the settings state it: a dearer one stretches the period in proportion
STRETCH_MOST = 4.0
ASK_AGAIN = 0.3  # of a period without an answer: then it is asked again, and helpers are
CONCLUDE = 1.6  # ... and so many periods in all, for one that doubts nothing of itself
HELPERS = 3
HELPERS_EVERY = 2  # other ones with every second time that it is asked again
RELAY = 0.4  # of a period that a helper waits
SUSPICION = 5.0  # periods that a suspicion stands at the least: who stops for some of them comes back
SUSPICION_LOG = 0.5  # ... and for each doubling of the fleet, for the news and its denial to spread
SUSPICION_OTHERS = 1.5  # times that for one of others: their denial may not have come through here yet
GOSSIP = 0.2  # of a period between two rounds of news, while there are any
FANOUT = 2  # members told in a round
NEWS_EXTRA = 1  # tells of each news beyond log2 of the fleet; comparisons find whom it missed
SYNC = 2.0  # periods between two comparisons with another member
SYNC_NOT_LIVE = 3  # one in so many of them with a member that is not counted as live, if there is any
JOIN = 0.5  # periods between two comparisons, with as many members, until one has found both equal ...
JOIN_MOST = 12.0  # ... or so many periods have passed
ALONE = 3.0  # periods without a datagram of anybody: then nothing is concluded of others, and ...
ALONE_LONG = 20.0  # ... after so many nobody else is counted as live
LATE = 0.5  # periods that the process may run late before it doubts itself
LEAVING_NS = 10 * SECOND  # a planned end lasts no longer
RESTART_NS = 30 * SECOND  # after which one that went is not waited for any more
RAISE = 0.5  # periods between two new incarnations of one's own
OLDER_NS = 10 * SECOND  # that a process without a view counts as live after it was heard

SENT_PER_S = 60.0  # datagrams, answers included; twice as many at once
HEARD_PER_S = (
    600.0  # read of all members together: reckoned at 75 microseconds, 5 % of a core; as many at once
)
HEARD_OF_ONE_PER_S = 15.0  # ... and of one of them, far less than may be sent; twice as many at once


@dataclass(frozen=True, slots=True)
class RateLimits:
    """The times of one fleet.

    Attributes:
        period_ns: between two questions whether a member lives.
    """

    period_ns: int = PERIOD_NS

    @staticmethod
    def by_price(price: float) -> RateLimits:
        """Slower where the settings price datagrams high."""
        return RateLimits(int(PERIOD_NS * min(max(price / PRICE_USUAL, 1.0), STRETCH_MOST)))

    def ns(self, periods: float) -> int:
        return int(self.period_ns * periods)

    def suspicion_ns(self, members: int, own: bool = True) -> int:
        """How long a suspicion stands before the member counts as gone, of one's own or of others."""
        stands = SUSPICION + SUSPICION_LOG * math.log2(members + 1)
        return self.ns(stands if own else SUSPICION_OTHERS * stands)

    def settled_ns(self, members: int) -> int:
        """From the last fault on, all live members hold one view after this; it grows with log n.

        Rounds of asking until a survivor has found each that died, the suspicion, and the spread of the news;
        or, after a cut, until some member has compared its words with one beyond it, and the spread.
        """
        rounds = math.log2(members + 1)
        found = CONCLUDE * 6.0 + 2.0 * SYNC_NOT_LIVE * SYNC + SYNC * rounds
        return self.ns(found) + self.suspicion_ns(members, own=False)


class TokenBucket:
    """So many of something a second, and so many at once."""

    __slots__ = ("at_ns", "burst", "left", "rate")

    def __init__(self, rate: float, burst: float, now_ns: int) -> None:
        self.rate, self.burst = rate, burst
        self.left, self.at_ns = burst, now_ns

    def take(self, now_ns: int, kept: float = 0.0) -> bool:
        """Take one, if that leaves as many as are to be kept."""
        self.left = min(self.burst, self.left + self.rate * max(now_ns - self.at_ns, 0) / SECOND)
        self.at_ns = now_ns
        if self.left < 1.0 + kept:
            return False
        self.left -= 1.0
        return True
