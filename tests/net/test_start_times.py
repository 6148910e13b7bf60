"""Slow start by the monotonic clock: what a wrong wall clock, here or elsewhere, may change of it."""

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
WARM, COLD = make_settings().warm_within_ns, make_settings().start_capacity
UNIX = 10 * HOUR  # what the module's clock says when the tables below begin


class Told:
    """A sidecar's lists, as `Pool` hands them to `StartTimes`, and the ramp that the module makes of them."""

    def __init__(self):
        self.starts = StartTimes()
        self.balancer, _ = make_balancer(endpoints=[])

    def hear(self, now, kind, since=None, source="one", name="new"):
        entry = make_endpoint(7, started_ns=since or 0)
        entries = [] if since is None else [(name, entry)]
        self.starts.place(now, kind, source, entries)
        return entry

    def ramp(self, now, entry):
        self.balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [entry]))
        return self.ramp_at(now)

    def ramp_at(self, now):
        self.balancer.context.now_ns = now
        return self.balancer.slow_start.capacity_fraction(self.balancer.known_endpoints[7])


# How far the clock that stamped the start is ahead of this sidecar's: negative where it is behind. A step
# here before the process began, at the server, or at discovery, all come down to this difference. A step here
# while it runs changes nothing here, for the scale of the process is anchored once.
APART = {
    "an hour behind": -HOUR,
    "a minute behind": -60 * SECOND,
    "five seconds behind": -5 * SECOND,
    "right": 0,
    "five seconds ahead": 5 * SECOND,
    "a minute ahead": 60 * SECOND,
    "an hour ahead": HOUR,
}


@pytest.mark.parametrize("kind", [ListKind.DELTA, ListKind.FULL])
@pytest.mark.parametrize("apart", APART.values(), ids=APART)
def test_start_reported_on_a_live_watch_begins_cold_and_ends_warm_with_any_clocks(apart, kind):
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    now = UNIX + SECOND
    ramp = told.ramp(now, told.hear(now, kind, since=now - 50 * MS + apart))
    assert COLD <= ramp <= COLD + (1 - COLD) * LIST_LAG_NS / WARM
    half = told.ramp_at(now + WARM // 2)
    assert half == pytest.approx(COLD + (1 - COLD) / 2, abs=0.1)
    assert told.ramp_at(now + WARM) == 1.0


@pytest.mark.parametrize("apart", [-HOUR, -5 * SECOND, 0, 5 * SECOND, HOUR])
def test_start_after_a_broken_watch_is_no_older_than_the_break(apart):
    """With right clocks all of its age counts; what no start in that break can have is not believed."""
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    told.starts.watch_failed()
    now = UNIX + 6 * SECOND
    age = 3 * SECOND
    entry = told.hear(now, ListKind.DELTA, since=now - age + apart)
    believed = age - apart if 0 <= age - apart <= 6 * SECOND + LIST_LAG_NS else 0
    assert told.ramp(now, entry) == pytest.approx(COLD + (1 - COLD) * believed / WARM)
    assert told.ramp_at(now + WARM) == 1.0


@pytest.mark.parametrize(
    "kind, since, ramp",
    [
        (ListKind.CACHED, UNIX - HOUR, 1.0),
        (ListKind.FULL, UNIX - HOUR, 1.0),
        (ListKind.CACHED, 0, 1.0),
        (ListKind.FULL, UNIX - WARM // 2, COLD + (1 - COLD) / 2),
        (ListKind.FULL, UNIX + HOUR, COLD),
        (ListKind.FULL, UNIX + 5 * SECOND, COLD),
    ],
)
def test_a_first_list_is_believed_but_for_a_future(kind, since, ramp):
    """A restarted sidecar must not take each old server for a cold one; and none stays cold for an hour."""
    told = Told()
    assert told.ramp(UNIX, told.hear(UNIX, kind, since=since)) == pytest.approx(ramp)
    assert told.ramp_at(UNIX + WARM) == 1.0


FLEET = {
    # ages in seconds of the servers of a first list, how far this clock is behind, the ramps of them
    "an hour behind, all replaced lately": ([0, 5, 600, 900], 3600, [COLD, 0.6, 1.0, 1.0]),
    "five seconds behind, one just started": ([0, 600, 900, 1200], 5, [COLD, 1.0, 1.0, 1.0]),
    "an hour behind, one replaced lately": ([60, 7200, 7200, 7200], 3600, [COLD, 1.0, 1.0, 1.0]),
    "right, all just started": ([0, 5, 8, 10], 0, [COLD, 0.6, 0.84, 1.0]),
}


@pytest.mark.parametrize("ages, behind, ramps", FLEET.values(), ids=FLEET)
def test_a_restarted_sidecar_whose_clock_is_behind_has_servers_to_send_to(ages, behind, ramps, caplog):
    """With all of them cold it would refuse every request until the first is warm."""
    now = UNIX
    fleet = [make_endpoint(n + 1, started_ns=now + (behind - age) * SECOND) for n, age in enumerate(ages)]
    StartTimes().place(now, ListKind.CACHED, "one", [(f"s{one.number}", one) for one in fleet])
    balancer, _ = make_balancer(endpoints=[])
    balancer.handle(now, EndpointListUpdate(ListKind.CACHED, 1, fleet))
    found = [balancer.slow_start.capacity_fraction(balancer.known_endpoints[one.number]) for one in fleet]
    assert found == pytest.approx(ramps)
    assert len(caplog.records) == (1 if behind else 0)


def test_the_first_answer_after_a_cached_list_is_a_first_list_too():
    told = Told()
    told.hear(UNIX, ListKind.CACHED, since=UNIX - HOUR, name="other")
    now = UNIX + 20 * MS
    assert told.ramp(now, told.hear(now, ListKind.DELTA, since=now - 60 * SECOND)) == 1.0


@pytest.mark.parametrize("apart, believed", [(0, 3 * SECOND), (HOUR, 0), (-HOUR, 0), (5 * SECOND, 0)])
def test_start_delayed_by_a_pause_between_calls_has_its_reported_age_within_the_pause(apart, believed):
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    now = UNIX + 4 * SECOND
    new = make_endpoint(7, started_ns=now - 3 * SECOND + apart)
    told.starts.place(now, ListKind.DELTA, "one", [("new", new)], called_ns=now - 20 * MS)
    assert told.ramp(now, new) == pytest.approx(COLD + (1 - COLD) * believed / WARM)


def test_a_whole_list_of_another_discovery_is_a_first_list():
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    now = UNIX + SECOND
    assert told.ramp(now, told.hear(now, ListKind.FULL, since=now - HOUR, source="two")) == 1.0


def test_a_server_that_left_the_list_and_is_back_with_its_old_start_is_as_warm_as_it_was():
    told = Told()
    told.hear(UNIX, ListKind.FULL, since=UNIX - HOUR)
    told.hear(UNIX + SECOND, ListKind.FULL)
    now = UNIX + 60 * SECOND
    assert told.ramp(now, told.hear(now, ListKind.DELTA, since=UNIX - HOUR)) == 1.0


def test_age_of_a_start_counts_from_its_first_report():
    """Told again and again, by changes and whole lists, it is one start."""
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    for after in range(0, 30, 5):
        now = UNIX + (1 + after) * SECOND
        entry = told.hear(now, ListKind.FULL if after % 2 else ListKind.DELTA, since=UNIX + HOUR)
        expected = min(COLD + (1 - COLD) * after * SECOND / WARM, 1.0)
        assert told.ramp(now, entry) == pytest.approx(expected)


@pytest.mark.parametrize("apart", [-HOUR, 0, HOUR])
def test_a_server_put_back_by_operators_is_cold_from_then(apart):
    """The call was stamped by this process, or by another one of the machine whose scale is another."""
    told = Told()
    told.hear(UNIX, ListKind.FULL, since=UNIX - 2 * HOUR)
    now = UNIX + 2 * SECOND
    ramp = told.ramp(now, told.hear(now, ListKind.LOCAL, since=now + apart))
    assert ramp == pytest.approx(COLD)
    assert told.ramp_at(now + WARM) == 1.0


def test_what_is_remembered_of_starts_has_a_bound():
    starts = StartTimes(max_starts=100)
    starts.place(UNIX, ListKind.FULL, "one", [])
    for number in range(1000):
        entry = Endpoint(number, 0, 0, 0, State.READY, started_ns=UNIX)
        starts.place(UNIX + number, ListKind.DELTA, "one", [(f"s{number}", entry)])
    assert len(starts.known) == 100
    listed = [(f"s{n}", Endpoint(n, 0, 0, 0, State.READY, started_ns=UNIX)) for n in range(500)]
    starts.place(UNIX + SECOND, ListKind.FULL, "one", listed)
    assert len(starts.known) == 500  # as long as the list is


@pytest.mark.parametrize("apart", [-HOUR, 0, HOUR])
def test_a_wrong_clock_is_one_line_of_the_log_with_the_value_and_what_was_expected(apart, caplog):
    told = Told()
    told.hear(UNIX, ListKind.FULL)
    for number in range(20):
        told.hear(UNIX + number, ListKind.DELTA, since=UNIX + apart, name=f"s{number}")
    wanted = 1 if apart else 0
    assert len(caplog.records) == wanted
    for record in caplog.records:
        text = record.getMessage()
        assert "s0" in text
        assert f"{-apart // SECOND}.000 s old, expected 0 to 1.0 s" in text


# The same through a whole sidecar and a discovery on loopback, red before starts were placed.

WALL = {"an hour back": -3600, "five seconds back": -5, "right": 0, "five seconds on": 5, "an hour on": 3600}


@pytest.mark.parametrize("where", ["here before the start", "here while running", "at the server"])
@pytest.mark.parametrize("step", WALL.values(), ids=WALL)
@async_test
async def test_a_new_start_is_cold_and_old_ones_are_not_through_a_whole_sidecar(
    step, where, tmp_path, monkeypatch
):
    """Guards the fourth rule: an hour ahead there was no slow start, an hour behind it lasted an hour."""
    wall = {"step": 0}
    monkeypatch.setattr(System, "time_ns", staticmethod(lambda: time.time_ns() + wall["step"] * SECOND))
    tell = asyncio.Event()

    async def act(message, reader, writer):
        if len(listing.received) == 1:
            writer.write(http_response(200, json.dumps(list_update(2, snapshot=False)).encode()))
        elif len(listing.received) == 2:
            await tell.wait()
            since_ms = int(time.time() * 1000) + (step * 1000 if where == "at the server" else 0)
            told = list_update(3, endpoint_entry("s2", f"{HOST}:9", since_ms=since_ms), snapshot=False)
            writer.write(http_response(200, json.dumps(told).encode()))
        else:
            await reader.read()

    listing = await FakePeer(act).start()
    if where == "here before the start":
        wall["step"] = step
    old_ms = int(time.time() * 1000) - 2 * 3600 * 1000
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:9", since_ms=old_ms)), listing.address)
    data["settings"]["rules"] |= {"start-capacity": 0.14, "warm-within-ns": 22 * SECOND}
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool = sidecar.server.pool
        await wait_until(lambda: len(listing.received) == 2)
        if where == "here while running":
            wall["step"] = step
        tell.set()
        await wait_until(lambda: "s2" in pool.endpoint_numbers())
        balancer, named = pool.balancer, pool.endpoint_numbers()
        assert pool.settings.warm_within_ns == 22 * SECOND
        old, new = balancer.known_endpoints[named["s1"]], balancer.known_endpoints[named["s2"]]
        assert balancer.slow_start.capacity_fraction(old) == 1.0
        assert 0.14 <= balancer.slow_start.capacity_fraction(new) < 0.14 + 0.86 * 2 / 22
        told_ns = balancer.context.now_ns
        balancer.context.now_ns = told_ns + 11 * SECOND
        assert 0.5 < balancer.slow_start.capacity_fraction(new) < 0.7
        balancer.context.now_ns = told_ns + 22 * SECOND
        assert balancer.slow_start.capacity_fraction(new) == 1.0
