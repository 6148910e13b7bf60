"""Start of slow start by the monotonic clock, with wrong wall clocks of this and other machines."""

import asyncio
import json
import time

import pytest
from helpers import MS, SECOND, make_balancer, make_endpoint, make_settings
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    async_test,
    config,
    endpoint_entry,
    http_response,
    list_update,
    wait_until,
)

from dykefold.balancer.events import Endpoint, EndpointListUpdate, ListKind, State
from dykefold.net.start_times import LIST_LAG_NS, StartTimes
from dykefold.system import System

HOUR = 3600 * SECOND
WARM_WITHIN_NS, START_CAPACITY = make_settings().warm_within_ns, make_settings().start_capacity
UNIX = 10 * HOUR  # Unix time of the balancer's clock when a test begins


class StartTimesHarness:
    """Passes endpoint lists to `StartTimes`, as `Pool` does, and returns the balancer's slow-start
    capacity."""

    def __init__(self):
        self.starts = StartTimes()
        self.balancer, _ = make_balancer(endpoints=[])

    def apply_list(self, now, kind, since=None, source="one", name="new"):
        endpoint = make_endpoint(7, started_ns=since or 0)
        entries = [] if since is None else [(name, endpoint)]
        self.starts.set_slow_start_times(now, kind, source, entries)
        return endpoint

    def capacity(self, now, endpoint):
        self.balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [endpoint]))
        return self.capacity_at(now)

    def capacity_at(self, now):
        self.balancer.context.now_ns = now
        return self.balancer.slow_start.capacity_fraction(self.balancer.known_endpoints[7])


# Time by which the clock that reported the start is ahead of this sidecar's; negative if it is behind. A step
# of this machine's clock before the process began, of the endpoint's clock, or of discovery's all amount to
# this difference. A step of this machine's clock while the process runs has no effect, since `Clock` reads
# the offset once.
CLOCK_OFFSETS = {
    "an hour behind": -HOUR,
    "a minute behind": -60 * SECOND,
    "five seconds behind": -5 * SECOND,
    "correct": 0,
    "five seconds ahead": 5 * SECOND,
    "a minute ahead": 60 * SECOND,
    "an hour ahead": HOUR,
}


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("clock_offset_ns", CLOCK_OFFSETS.values(), ids=CLOCK_OFFSETS)
def test_start_on_working_watch_gets_full_slow_start_with_any_clocks(clock_offset_ns, kind):
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    now = UNIX + SECOND
    capacity = harness.capacity(now, harness.apply_list(now, kind, since=now - 50 * MS + clock_offset_ns))
    assert START_CAPACITY <= capacity <= START_CAPACITY + (1 - START_CAPACITY) * LIST_LAG_NS / WARM_WITHIN_NS
    half_time_capacity = harness.capacity_at(now + WARM_WITHIN_NS // 2)
    assert half_time_capacity == pytest.approx(START_CAPACITY + (1 - START_CAPACITY) / 2, abs=0.1)
    assert harness.capacity_at(now + WARM_WITHIN_NS) == 1.0


@pytest.mark.parametrize("clock_offset_ns", [-HOUR, -5 * SECOND, 0, 5 * SECOND, HOUR])
def test_start_after_watch_failure_is_at_most_as_old_as_the_failure(clock_offset_ns):
    """With correct clocks the whole age is accepted; an age that no start since the last response can have
    is not."""
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    harness.starts.watch_failed()
    now = UNIX + 6 * SECOND
    age_ns = 3 * SECOND
    endpoint = harness.apply_list(now, ListKind.DELTA, since=now - age_ns + clock_offset_ns)
    accepted_age_ns = (
        age_ns - clock_offset_ns if 0 <= age_ns - clock_offset_ns <= 6 * SECOND + LIST_LAG_NS else 0
    )
    assert harness.capacity(now, endpoint) == pytest.approx(
        START_CAPACITY + (1 - START_CAPACITY) * accepted_age_ns / WARM_WITHIN_NS
    )
    assert harness.capacity_at(now + WARM_WITHIN_NS) == 1.0


@pytest.mark.parametrize(
    "kind, since, capacity",
    [
        (ListKind.CACHED, UNIX - HOUR, 1.0),
        (ListKind.FULL, UNIX - HOUR, 1.0),
        (ListKind.CACHED, 0, 1.0),
        (ListKind.FULL, UNIX - WARM_WITHIN_NS // 2, START_CAPACITY + (1 - START_CAPACITY) / 2),
        (ListKind.FULL, UNIX + HOUR, START_CAPACITY),
        (ListKind.FULL, UNIX + 5 * SECOND, START_CAPACITY),
    ],
)
def test_first_list_ages_are_accepted_except_future_starts(kind, since, capacity):
    """Guards against a restarted sidecar that slow-starts all endpoints, and against a slow start of an
    hour."""
    harness = StartTimesHarness()
    assert harness.capacity(UNIX, harness.apply_list(UNIX, kind, since=since)) == pytest.approx(capacity)
    assert harness.capacity_at(UNIX + WARM_WITHIN_NS) == 1.0


FIRST_LISTS = {
    # Ages of a first list's endpoints and lag of this clock, in seconds; expected capacity fractions.
    "an hour behind, all replaced recently": ([0, 5, 600, 900], 3600, [START_CAPACITY, 0.6, 1.0, 1.0]),
    "five seconds behind, one just started": ([0, 600, 900, 1200], 5, [START_CAPACITY, 1.0, 1.0, 1.0]),
    "an hour behind, one replaced recently": ([60, 7200, 7200, 7200], 3600, [START_CAPACITY, 1.0, 1.0, 1.0]),
    "correct, all just started": ([0, 5, 8, 10], 0, [START_CAPACITY, 0.6, 0.84, 1.0]),
}


@pytest.mark.parametrize("ages_s, behind_s, expected", FIRST_LISTS.values(), ids=FIRST_LISTS)
def test_restarted_sidecar_with_late_clock_has_capacity(ages_s, behind_s, expected, caplog):
    """Guards against a sidecar that rejects every request since all endpoints are in slow start."""
    now = UNIX
    endpoints = [
        make_endpoint(n + 1, started_ns=now + (behind_s - age) * SECOND) for n, age in enumerate(ages_s)
    ]
    StartTimes().set_slow_start_times(
        now, ListKind.CACHED, "one", [(f"s{endpoint.number}", endpoint) for endpoint in endpoints]
    )
    balancer, _ = make_balancer(endpoints=[])
    balancer.handle(now, EndpointListUpdate(ListKind.CACHED, 1, endpoints))
    capacities = [
        balancer.slow_start.capacity_fraction(balancer.known_endpoints[endpoint.number])
        for endpoint in endpoints
    ]
    assert capacities == pytest.approx(expected)
    assert len(caplog.records) == (1 if behind_s else 0)


def test_first_response_after_cached_list_is_first_list():
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.CACHED, since=UNIX - HOUR, name="other")
    now = UNIX + 20 * MS
    assert harness.capacity(now, harness.apply_list(now, ListKind.DELTA, since=now - 60 * SECOND)) == 1.0


@pytest.mark.parametrize(
    "clock_offset_ns, accepted_age_ns", [(0, 3 * SECOND), (HOUR, 0), (-HOUR, 0), (5 * SECOND, 0)]
)
def test_start_delayed_by_pause_between_calls_has_reported_age_up_to_the_pause(
    clock_offset_ns, accepted_age_ns
):
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    now = UNIX + 4 * SECOND
    endpoint = make_endpoint(7, started_ns=now - 3 * SECOND + clock_offset_ns)
    harness.starts.set_slow_start_times(
        now, ListKind.DELTA, "one", [("new", endpoint)], called_ns=now - 20 * MS
    )
    assert harness.capacity(now, endpoint) == pytest.approx(
        START_CAPACITY + (1 - START_CAPACITY) * accepted_age_ns / WARM_WITHIN_NS
    )


def test_complete_list_of_another_discovery_is_first_list():
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    now = UNIX + SECOND
    assert (
        harness.capacity(now, harness.apply_list(now, ListKind.FULL, since=now - HOUR, source="two")) == 1.0
    )


def test_endpoint_back_in_list_with_known_start_keeps_slow_start():
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL, since=UNIX - HOUR)
    harness.apply_list(UNIX + SECOND, ListKind.FULL)
    now = UNIX + 60 * SECOND
    assert harness.capacity(now, harness.apply_list(now, ListKind.DELTA, since=UNIX - HOUR)) == 1.0


def test_age_of_start_counts_from_its_first_report():
    """A start that is reported repeatedly, by updates and complete lists, is one start."""
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    for elapsed_s in range(0, 30, 5):
        now = UNIX + (1 + elapsed_s) * SECOND
        endpoint = harness.apply_list(
            now, ListKind.FULL if elapsed_s % 2 else ListKind.DELTA, since=UNIX + HOUR
        )
        expected = min(START_CAPACITY + (1 - START_CAPACITY) * elapsed_s * SECOND / WARM_WITHIN_NS, 1.0)
        assert harness.capacity(now, endpoint) == pytest.approx(expected)


@pytest.mark.parametrize("clock_offset_ns", [-HOUR, 0, HOUR])
def test_slow_start_begins_when_operator_ends_maintenance(clock_offset_ns):
    """The time comes from this process, or from another process of the machine with another clock offset."""
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL, since=UNIX - 2 * HOUR)
    now = UNIX + 2 * SECOND
    capacity = harness.capacity(now, harness.apply_list(now, ListKind.LOCAL, since=now + clock_offset_ns))
    assert capacity == pytest.approx(START_CAPACITY)
    assert harness.capacity_at(now + WARM_WITHIN_NS) == 1.0


def test_number_of_stored_starts_is_limited():
    starts = StartTimes(max_starts=100)
    starts.set_slow_start_times(UNIX, ListKind.FULL, "one", [])
    for number in range(1000):
        endpoint = Endpoint(number, 0, 0, 0, State.READY, started_ns=UNIX)
        starts.set_slow_start_times(UNIX + number, ListKind.DELTA, "one", [(f"s{number}", endpoint)])
    assert len(starts.known) == 100
    entries = [(f"s{n}", Endpoint(n, 0, 0, 0, State.READY, started_ns=UNIX)) for n in range(500)]
    starts.set_slow_start_times(UNIX + SECOND, ListKind.FULL, "one", entries)
    assert len(starts.known) == 500  # as long as the list is


@pytest.mark.parametrize("clock_offset_ns", [-HOUR, 0, HOUR])
def test_wrong_clock_is_logged_once_with_value_and_expected_range(clock_offset_ns, caplog):
    harness = StartTimesHarness()
    harness.apply_list(UNIX, ListKind.FULL)
    for number in range(20):
        harness.apply_list(UNIX + number, ListKind.DELTA, since=UNIX + clock_offset_ns, name=f"s{number}")
    expected = 1 if clock_offset_ns else 0
    assert len(caplog.records) == expected
    for record in caplog.records:
        text = record.getMessage()
        assert "s0" in text
        assert f"{-clock_offset_ns // SECOND}.000 s old, expected 0 to 1.0 s" in text


# The same with a sidecar and discovery on loopback; it failed before `StartTimes` was added.

CLOCK_STEPS = {
    "an hour backward": -3600,
    "five seconds backward": -5,
    "correct": 0,
    "five seconds forward": 5,
    "an hour forward": 3600,
}


@pytest.mark.parametrize(
    "stepped_clock", ["local clock before start", "local clock while running", "endpoint clock"]
)
@pytest.mark.parametrize("step_s", CLOCK_STEPS.values(), ids=CLOCK_STEPS)
@async_test
async def test_sidecar_slow_starts_only_new_endpoint_with_any_clock(
    step_s, stepped_clock, tmp_path, monkeypatch
):
    """Guards the fourth rule, on slow start: with this clock an hour ahead there was no slow start, and an
    hour behind it lasted an hour."""
    clock = {"step": 0}
    monkeypatch.setattr(System, "time_ns", staticmethod(lambda: time.time_ns() + clock["step"] * SECOND))
    release = asyncio.Event()

    async def handler(message, reader, writer):
        if len(discovery.received) == 1:
            writer.write(http_response(200, json.dumps(list_update(2, snapshot=False)).encode()))
        elif len(discovery.received) == 2:
            await release.wait()
            since_ms = int(time.time() * 1000) + (step_s * 1000 if stepped_clock == "endpoint clock" else 0)
            update = list_update(3, endpoint_entry("s2", f"{HOST}:9", since_ms=since_ms), snapshot=False)
            writer.write(http_response(200, json.dumps(update).encode()))
        else:
            await reader.read()

    discovery = await FakePeer(handler).start()
    if stepped_clock == "local clock before start":
        clock["step"] = step_s
    old_start_ms = int(time.time() * 1000) - 2 * 3600 * 1000
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:9", since_ms=old_start_ms)), discovery.address)
    data["settings"]["rules"] |= {"start-capacity": 0.14, "warm-within-ns": 22 * SECOND}
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool = sidecar.server.pool
        await wait_until(lambda: len(discovery.received) == 2)
        if stepped_clock == "local clock while running":
            clock["step"] = step_s
        release.set()
        await wait_until(lambda: "s2" in pool.endpoint_numbers())
        balancer, numbers = pool.balancer, pool.endpoint_numbers()
        assert pool.settings.warm_within_ns == 22 * SECOND
        old, new = balancer.known_endpoints[numbers["s1"]], balancer.known_endpoints[numbers["s2"]]
        assert balancer.slow_start.capacity_fraction(old) == 1.0
        assert 0.14 <= balancer.slow_start.capacity_fraction(new) < 0.14 + 0.86 * 2 / 22
        notified_ns = balancer.context.now_ns
        balancer.context.now_ns = notified_ns + 11 * SECOND
        assert 0.5 < balancer.slow_start.capacity_fraction(new) < 0.7
        balancer.context.now_ns = notified_ns + 22 * SECOND
        assert balancer.slow_start.capacity_fraction(new) == 1.0
