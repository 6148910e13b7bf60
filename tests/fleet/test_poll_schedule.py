"""When a sidecar polls discovery: slots, a spread that follows answers, recovery, and silent watches."""

from __future__ import annotations

import random

import pytest
from fleet_helpers import ManualClock, converged_fleet
from hypothesis import given
from hypothesis import strategies as st
from net_helpers import run

from dykefold.fleet import peer_observations
from dykefold.fleet.endpoint_list_sync import EndpointListSync
from dykefold.fleet.poll_schedule import (
    MAX_ADDRESS_CHANGE_SPREAD_NS,
    MAX_FAILED_SPREAD_NS,
    MAX_SPREAD_FRACTION,
    STALLED_POLL_NS,
    WATCH_PAUSE_NS,
    CoordinatedPollSchedule,
    PollSettings,
)
from dykefold.fleet.rate_limits import NS_PER_S

MUST_NS = 10 * NS_PER_S
MOST_NS = int(MUST_NS * MAX_SPREAD_FRACTION)


def fleet_of(size: int) -> list[CoordinatedPollSchedule]:
    return [
        CoordinatedPollSchedule(PollSettings(MUST_NS, 125.0, place, size), random.Random(place), 0)
        for place in range(size)
    ]


def worst(times_ns: list[int], within_ns: int = NS_PER_S // 4) -> int:
    """The most calls in any such time."""
    return max(sum(at <= other < at + within_ns for other in times_ns) for at in times_ns)


def test_polls_after_a_start_or_a_change_are_spread_evenly_at_the_rate() -> None:
    members = fleet_of(200)
    first = [one.open_watch_ns(0, 1) for one in members]
    assert max(first) < 1.6 * NS_PER_S
    assert worst(first) <= 0.25 * 125 + 3
    for one in members:
        one.on_poll(10 * NS_PER_S, opens_watch=False)
    again = [one.continue_watch_ns(20 * NS_PER_S, 2) for one in members]
    assert 20 * NS_PER_S <= min(again) < max(again) < 21.6 * NS_PER_S
    assert worst(again) <= 0.25 * 125 + 3
    assert first.index(max(first)) != again.index(max(again))  # the same one is not always last


def test_many_changes_cost_one_poll_in_a_spread_and_small_fleets_keep_watching() -> None:
    (one, *_) = fleet_of(200)
    now, calls = 0, []
    for version in range(100):
        now = one.continue_watch_ns(now, version)  # each call finds something new
        one.on_poll(now, opens_watch=False)
        calls.append(now)
    assert calls[-1] - calls[0] >= 98 * 1.6 * NS_PER_S
    (few, *_) = fleet_of(15)
    few.on_poll(0, opens_watch=False)
    assert few.spread_ns(0) <= WATCH_PAUSE_NS
    assert few.continue_watch_ns(5, 1) == 5


def test_the_spread_doubles_with_failures_but_only_once_in_an_outage() -> None:
    (one, *_) = fleet_of(50)  # whose span is below the bound after a failure when it has doubled twice
    usual = one.spread_ns(0)
    assert 4 * usual < MAX_FAILED_SPREAD_NS
    assert one.on_failure(0)
    assert one.spread_ns(0) == 2 * usual
    for at in range(1, 20):
        assert not one.on_failure(at * NS_PER_S)
    assert one.spread_ns(20 * NS_PER_S) == 2 * usual
    assert one.on_answer(20 * NS_PER_S)  # news to others
    assert not one.on_answer(20 * NS_PER_S)
    assert one.on_failure(20 * NS_PER_S)
    assert one.spread_ns(20 * NS_PER_S) == 4 * usual
    one.on_answer(20 * NS_PER_S)
    assert usual <= one.spread_ns(60 * NS_PER_S) < 1.1 * usual  # and comes down again


@given(st.lists(st.tuples(st.sampled_from(("fails", "answered", "moves", "reported")), st.integers(0, 5))))
def test_no_poll_is_later_than_the_protocol_allows(steps: list[tuple[str, int]]) -> None:
    one = CoordinatedPollSchedule(PollSettings(MUST_NS, 1.0, 3, 1000), random.Random(1), 0)
    now = 0
    for what, seconds in steps:
        now += seconds * NS_PER_S
        if what == "fails":
            one.on_failure(now)
            assert one.open_watch_ns(now, 0) - now <= MAX_FAILED_SPREAD_NS
        elif what == "answered":
            one.on_answer(now)
        elif what == "moves":
            one.on_address_change(now)
            assert one.open_watch_ns(now, 0) - now <= MAX_ADDRESS_CHANGE_SPREAD_NS
        else:
            one.set_peer_spreads([1 << 60] * 4)
        one.on_poll(now, opens_watch=False)
        assert now <= one.open_watch_ns(now, 7) <= now + MOST_NS
        assert now <= one.continue_watch_ns(now, 7) <= now + MOST_NS


@pytest.mark.parametrize(("reported", "third"), [([], 0), ([9, 9], 0), ([9, 8, 7], 7), ([1, 9, 9, 5], 5)])
def test_the_spread_of_peers_counts_where_three_report_it(reported: list[int], third: int) -> None:
    (one, *_) = fleet_of(2)
    usual = one.spread_ns(0)
    one.set_peer_spreads([span * NS_PER_S // 4 for span in reported])
    assert one.spread_ns(0) == max(usual, third * NS_PER_S // 4)


def test_after_an_outage_polls_resume_when_a_peer_is_answered_and_are_spread() -> None:
    members = fleet_of(200)
    assert members[0].recovery_ns(NS_PER_S, 1) is None  # it has nothing to wait for
    for one in members:
        one.on_failure(5 * NS_PER_S)
    back = [one.recovery_ns(12 * NS_PER_S, 1) for one in members]
    times = [at for at in back if at is not None]
    assert len(times) == 200
    assert 12 * NS_PER_S <= min(times) < max(times) <= 15.2 * NS_PER_S
    assert worst(times) <= 0.25 * 125


def test_a_newer_list_at_a_peer_reopens_a_silent_watch_only_once() -> None:
    (one, *_) = fleet_of(40)
    assert one.reopen_watch_ns(0, 7, 7) is None
    due = one.reopen_watch_ns(0, 7, 8)
    assert due is not None
    assert STALLED_POLL_NS <= due <= STALLED_POLL_NS + one.spread_ns(0)
    one.refute_version(8)
    assert one.reopen_watch_ns(due, 7, 8) is None  # the service did not have it
    assert one.reopen_watch_ns(due, 7, 9) is not None
    one.on_failure(due)
    assert one.reopen_watch_ns(due, 7, 9) is None  # it waits for the service already


def test_a_queued_first_poll_doubles_the_spread_and_a_watch_does_not() -> None:
    for opens, took_ns, times in ((True, NS_PER_S // 5, 2), (True, NS_PER_S // 50, 1), (False, NS_PER_S, 1)):
        (one, *_) = fleet_of(100)
        usual = one.spread_ns(0)
        one.on_poll(0, opens)
        assert one.on_answer(took_ns) is (times > 1)
        assert one.spread_ns(took_ns) == times * usual


class FakeDiscovery:
    def __init__(self) -> None:
        self.version, self.closed, self.asked, self.schedule = 7, False, 0, None

    def poll_now(self) -> None:
        self.asked += 1
        self.schedule.called()  # type: ignore[attr-defined]


def test_a_silent_poll_is_replaced_once_for_a_list_that_peers_have() -> None:
    async def play() -> None:
        world = converged_fleet(3)
        clock, discovery, protocol = ManualClock(world.now_ns), FakeDiscovery(), world.living[0]
        lists = EndpointListSync(discovery, PollSettings(MUST_NS, 125.0, 0, 3), 1, clock)  # type: ignore[arg-type]
        lists.join(protocol.membership)
        peer_observations.announce_list_version(world.living[1].membership, world.now_ns, 9)
        world.run(NS_PER_S)
        clock.now_ns = world.now_ns
        lists.watch_delay_s()
        lists.on_new_records()
        assert lists._extra_poll is None  # no call is open yet: it has its slot
        lists.called()
        lists.on_new_records()
        assert lists._extra_poll is not None
        waits = lists._extra_poll
        lists.on_new_records()
        assert lists._extra_poll is waits
        lists._poll_extra()
        assert discovery.asked == 1
        lists.on_new_records()
        assert lists._extra_poll is None  # the service did not have it: no reason twice
        lists.close()

    run(play())
