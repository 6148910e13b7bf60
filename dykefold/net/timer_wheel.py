"""Timer wheel for the time limits of requests and attempts, nearly none of which expires.

A timer of the event loop costs some microseconds to start and to cancel, and each request needs two. Here a
timer is an entry in the bucket of its tick, and one timer of the loop waits for the first bucket with entries
(like the lower wheel of Varghese and Lauck, "Hashed and hierarchical timing wheels", SOSP 1987).
"""

from __future__ import annotations

import asyncio
import heapq

from ..system import SYSTEM, System

# A timer may expire one tick late; the margins before a client's deadline are 8 and 15 ms.
TICK_S = 0.002


class Timed:
    """An item with at most one running timer.

    Attributes:
        tick: Number of the tick at which the timer expires; 0 while no timer runs. It is not None, since
            each request reads it.
    """

    __slots__ = ("tick",)

    tick: int

    def expire(self) -> None:
        """Handle the expiry of the timer; called once, from the event loop."""
        raise NotImplementedError


class TimerWheel:
    """The running timers: one for each pending request and each attempt in flight.

    A tick stays in the heap, once, until it is due, even if all its timers were stopped. Therefore the heap
    has at most as many entries as the longest timer has ticks: 2,000 for 4 s.

    Args:
        loop: Event loop of the timer.
        system: The clock.

    Attributes:
        buckets: Items by tick, in the order of their start; None where all timers of the tick were stopped.
        ticks: Heap of the ticks in `buckets`.
        timer: Timer of the loop for the first tick; None if no timer runs.
        timer_tick: Tick for which the timer of the loop was started.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, system: System = SYSTEM) -> None:
        self.loop = loop
        self.monotonic = system.monotonic
        self.buckets: dict[int, dict[Timed, None] | None] = {}
        self.ticks: list[int] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_tick = 0

    def start(self, item: Timed, after_s: float, now_s: float) -> None:
        """Start an item's timer: it expires after this time and at most one tick more.

        Args:
            item: Item without a running timer.
            after_s: Time until the expiry, in seconds.
            now_s: Current time, in seconds of the monotonic clock.
        """
        tick = item.tick = int((now_s + after_s) / TICK_S) + 1
        bucket = self.buckets.get(tick)
        if bucket is not None:
            bucket[item] = None
            return
        if tick not in self.buckets:
            heapq.heappush(self.ticks, tick)
        self.buckets[tick] = {item: None}
        if self.timer is None or tick < self.timer_tick:
            self._start_loop_timer(now_s)

    def stop(self, item: Timed) -> None:
        """Stop an item's timer, if one runs."""
        bucket = self.buckets.get(item.tick)
        if bucket is not None:
            bucket.pop(item, None)
            if not bucket:
                self.buckets[item.tick] = None
        item.tick = 0

    def _start_loop_timer(self, now_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.ticks and self.buckets[self.ticks[0]] is None:
            del self.buckets[heapq.heappop(self.ticks)]
        if self.ticks:
            self.timer_tick = self.ticks[0]
            self.timer = self.loop.call_later(max(self.timer_tick * TICK_S - now_s, 0.0), self._expire_due)

    def _expire_due(self) -> None:
        self.timer = None
        now_s = self.monotonic()
        due_tick = int(
            now_s / TICK_S + 0.5
        )  # Rounded: the loop's clock may be less than a millisecond behind.
        while self.ticks and self.ticks[0] <= due_tick:
            tick = heapq.heappop(self.ticks)  # Removed first: an item that expires may start or stop others.
            while bucket := self.buckets.get(tick):
                item = next(iter(bucket))
                self.stop(item)
                item.expire()
            self.buckets.pop(tick, None)
        self._start_loop_timer(now_s)
