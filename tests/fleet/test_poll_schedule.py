"""Poll schedule of discovery: slots, backoff of the spread, recovery after an outage, stalled watches."""

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

MAX_POLL_INTERVAL_NS = 10 * NS_PER_S
MAX_SPREAD_NS = int(MAX_POLL_INTERVAL_NS * MAX_SPREAD_FRACTION)


def fleet_of(size: int) -> list[CoordinatedPollSchedule]:
    return [
        CoordinatedPollSchedule(
            PollSettings(MAX_POLL_INTERVAL_NS, 125.0, position, size), random.Random(position), 0
        )
        for position in range(size)
    ]


def max_calls(times_ns: list[int], within_ns: int = NS_PER_S // 4) -> int:
    """Return the maximum number of polls in any interval of `within_ns` nanoseconds."""
    return max(
        sum(start_ns <= time_ns < start_ns + within_ns for time_ns in times_ns) for start_ns in times_ns
    )


def test_polls_after_start_or_list_change_are_spread_at_the_configured_rate() -> None:
    members = fleet_of(200)
    start_times_ns = [schedule.open_watch_ns(0, 1) for schedule in members]
    assert max(start_times_ns) < 1.6 * NS_PER_S
    assert max_calls(start_times_ns) <= 0.25 * 125 + 3
    for schedule in members:
        schedule.on_poll(10 * NS_PER_S, opens_watch=False)
    change_times_ns = [schedule.continue_watch_ns(20 * NS_PER_S, 2) for schedule in members]
    assert 20 * NS_PER_S <= min(change_times_ns) < max(change_times_ns) < 21.6 * NS_PER_S
    assert max_calls(change_times_ns) <= 0.25 * 125 + 3
    # The order changes with the list version.
    assert start_times_ns.index(max(start_times_ns)) != change_times_ns.index(max(change_times_ns))


def test_series_of_changes_costs_one_poll_per_spread_and_small_fleet_keeps_watch_open() -> None:
    (schedule, *_) = fleet_of(200)
    now, poll_times_ns = 0, []
    for version in range(100):
        now = schedule.continue_watch_ns(now, version)  # each poll brings a new version
        schedule.on_poll(now, opens_watch=False)
        poll_times_ns.append(now)
    assert poll_times_ns[-1] - poll_times_ns[0] >= 98 * 1.6 * NS_PER_S
    (small_fleet_schedule, *_) = fleet_of(15)
    small_fleet_schedule.on_poll(0, opens_watch=False)
    assert small_fleet_schedule.spread_ns(0) <= WATCH_PAUSE_NS
    assert small_fleet_schedule.continue_watch_ns(5, 1) == 5


def test_spread_doubles_with_failures_but_only_once_per_outage() -> None:
    (schedule, *_) = fleet_of(50)  # twice doubled, its spread is still below the maximum after a failure
    initial_spread_ns = schedule.spread_ns(0)
    assert 4 * initial_spread_ns < MAX_FAILED_SPREAD_NS
    assert schedule.on_failure(0)
    assert schedule.spread_ns(0) == 2 * initial_spread_ns
    for second in range(1, 20):
        assert not schedule.on_failure(second * NS_PER_S)
    assert schedule.spread_ns(20 * NS_PER_S) == 2 * initial_spread_ns
    assert schedule.on_answer(20 * NS_PER_S)  # to be announced to other members
    assert not schedule.on_answer(20 * NS_PER_S)
    assert schedule.on_failure(20 * NS_PER_S)
    assert schedule.spread_ns(20 * NS_PER_S) == 4 * initial_spread_ns
    schedule.on_answer(20 * NS_PER_S)
    # The backoff has decayed.
    assert initial_spread_ns <= schedule.spread_ns(60 * NS_PER_S) < 1.1 * initial_spread_ns


@given(
    st.lists(
        st.tuples(st.sampled_from(("fails", "answered", "address_changes", "reported")), st.integers(0, 5))
    )
)
def test_no_poll_exceeds_the_maximum_spread(steps: list[tuple[str, int]]) -> None:
    schedule = CoordinatedPollSchedule(PollSettings(MAX_POLL_INTERVAL_NS, 1.0, 3, 1000), random.Random(1), 0)
    now = 0
    for step, seconds in steps:
        now += seconds * NS_PER_S
        if step == "fails":
            schedule.on_failure(now)
            assert schedule.open_watch_ns(now, 0) - now <= MAX_FAILED_SPREAD_NS
        elif step == "answered":
            schedule.on_answer(now)
        elif step == "address_changes":
            schedule.on_address_change(now)
            assert schedule.open_watch_ns(now, 0) - now <= MAX_ADDRESS_CHANGE_SPREAD_NS
        else:
            schedule.set_peer_spreads([1 << 60] * 4)
        schedule.on_poll(now, opens_watch=False)
        assert now <= schedule.open_watch_ns(now, 7) <= now + MAX_SPREAD_NS
        assert now <= schedule.continue_watch_ns(now, 7) <= now + MAX_SPREAD_NS


@pytest.mark.parametrize(
    ("reported", "third_longest"), [([], 0), ([9, 9], 0), ([9, 8, 7], 7), ([1, 9, 9, 5], 5)]
)
def test_spread_of_peers_is_applied_with_three_reports(reported: list[int], third_longest: int) -> None:
    (schedule, *_) = fleet_of(2)
    initial_spread_ns = schedule.spread_ns(0)
    schedule.set_peer_spreads([spread_quarters_s * NS_PER_S // 4 for spread_quarters_s in reported])
    assert schedule.spread_ns(0) == max(initial_spread_ns, third_longest * NS_PER_S // 4)


def test_polls_after_outage_resume_spread_when_a_peer_is_answered() -> None:
    members = fleet_of(200)
    assert members[0].recovery_ns(NS_PER_S, 1) is None  # no failed poll
    for schedule in members:
        schedule.on_failure(5 * NS_PER_S)
    due_times_ns = [schedule.recovery_ns(12 * NS_PER_S, 1) for schedule in members]
    times_ns = [due_ns for due_ns in due_times_ns if due_ns is not None]
    assert len(times_ns) == 200
    assert 12 * NS_PER_S <= min(times_ns) < max(times_ns) <= 15.2 * NS_PER_S
    assert max_calls(times_ns) <= 0.25 * 125


def test_newer_list_of_a_peer_reopens_stalled_watch_once() -> None:
    (schedule, *_) = fleet_of(40)
    assert schedule.reopen_watch_ns(0, 7, 7) is None
    due = schedule.reopen_watch_ns(0, 7, 8)
    assert due is not None
    assert STALLED_POLL_NS <= due <= STALLED_POLL_NS + schedule.spread_ns(0)
    schedule.refute_version(8)
    assert schedule.reopen_watch_ns(due, 7, 8) is None  # discovery did not have the version
    assert schedule.reopen_watch_ns(due, 7, 9) is not None
    schedule.on_failure(due)
    assert schedule.reopen_watch_ns(due, 7, 9) is None  # a failed poll is retried by its own schedule


def test_queued_first_poll_doubles_spread_and_continued_watch_does_not() -> None:
    for opens_watch, answer_ns, factor in (
        (True, NS_PER_S // 5, 2),
        (True, NS_PER_S // 50, 1),
        (False, NS_PER_S, 1),
    ):
        (schedule, *_) = fleet_of(100)
        initial_spread_ns = schedule.spread_ns(0)
        schedule.on_poll(0, opens_watch)
        assert schedule.on_answer(answer_ns) is (factor > 1)
        assert schedule.spread_ns(answer_ns) == factor * initial_spread_ns


class FakeDiscovery:
    def __init__(self) -> None:
        self.version, self.closed, self.poll_count, self.schedule = 7, False, 0, None

    def poll_now(self) -> None:
        self.poll_count += 1
        self.schedule.on_poll()  # type: ignore[attr-defined]


def test_stalled_poll_is_replaced_once_for_a_list_version_of_peers() -> None:
    async def scenario() -> None:
        fleet = converged_fleet(3)
        clock, discovery, protocol = ManualClock(fleet.now_ns), FakeDiscovery(), fleet.living[0]
        list_sync = EndpointListSync(discovery, PollSettings(MAX_POLL_INTERVAL_NS, 125.0, 0, 3), 1, clock)  # type: ignore[arg-type]
        list_sync.join(protocol.membership)
        peer_observations.announce_list_version(fleet.living[1].membership, fleet.now_ns, 9)
        fleet.run(NS_PER_S)
        clock.now_ns = fleet.now_ns
        list_sync.watch_delay_s()
        list_sync.on_new_records()
        assert list_sync._extra_poll is None  # no poll is pending: the next one has its slot
        list_sync.on_poll()
        list_sync.on_new_records()
        assert list_sync._extra_poll is not None
        scheduled_poll = list_sync._extra_poll
        list_sync.on_new_records()
        assert list_sync._extra_poll is scheduled_poll
        list_sync._poll_extra()
        assert discovery.poll_count == 1
        list_sync.on_new_records()
        assert list_sync._extra_poll is None  # discovery did not have the version: no second poll
        list_sync.close()

    run(scenario())
