"""Records that processes leave each other: written until they stand, kept until another has them."""

import json
from dataclasses import replace

import pytest
from helpers import MS
from hot_restart_rig import FlakyDirectory, ManualClocks, SidecarProcess, balancer_estimates

from dykefold.control.balancer_snapshot import restore
from dykefold.control.file_system import FileSystem
from dykefold.control.hot_restart_state import MAX_CAPACITY_WAIT_NS, OBSERVATION_INTERVAL_NS
from dykefold.control.process_records import parse_heartbeat, parse_maintenance_orders

HOUR_NS = 3_600 * 10**9


@pytest.fixture
def machine():
    return ManualClocks()


def running(tmp_path, machine, **more):
    member = SidecarProcess(tmp_path, machine, FlakyDirectory, **more)
    member.start()
    return member


def test_estimates_are_written_until_they_stand_for_a_newer_process_that_waits(tmp_path, machine):
    old = running(tmp_path, machine)
    old.server.pool.balancer.throughput.answers_per_s = 7.5
    old.directory.failing_prefixes = ("state-",)
    new = SidecarProcess(tmp_path, machine)
    new.hot_restart.write_records()
    for _ in range(3):
        old.tick()
    assert old.directory.read(f"state-{old.hot_restart.machine.name}") is None
    old.directory.failing_prefixes = ()
    new.start(old)
    assert new.server.pool.balancer.throughput.answers_per_s == 7.5
    old.directory.written_names.clear()
    for _ in range(5):
        old.tick()
    assert not [name for name in old.directory.written_names if name.startswith("state-")]  # no longer wanted


def test_estimates_that_can_not_be_written_hold_up_the_start_for_a_bounded_time(tmp_path, machine):
    old = running(tmp_path, machine)
    old.directory.failing_prefixes = ("state-",)
    new = SidecarProcess(tmp_path, machine)
    born_ns = machine.mono_ns
    new.start(old)
    assert machine.mono_ns - born_ns <= MAX_CAPACITY_WAIT_NS + 3 * OBSERVATION_INTERVAL_NS


def test_an_order_that_came_just_before_the_end_is_not_taken_away_with_the_record_of_it(tmp_path, machine):
    old = running(tmp_path, machine)
    new = SidecarProcess(tmp_path, machine)
    new.start(old)
    old.tick()
    assert old.server.handing_over
    assert old.carry_out("maint").code == 200
    old.stop()  # before the newer process has looked
    new.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_record_of_a_dead_process_stays_until_another_process_has_it(tmp_path, machine):
    old = running(tmp_path, machine)
    assert old.carry_out("maint").code == 200
    old.stop(killed=True)
    new = SidecarProcess(tmp_path, machine, FlakyDirectory)
    new.directory.failing_prefixes = ("sign-", "maintenance-")
    new.start()
    for number in range(70):  # past the moment at which leftovers are taken away
        (tmp_path / "dykefold" / f"foreign-{number}").touch()  # something to look at
        new.tick()
    assert new.out_of_service == ["s0"]
    new.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_unrecorded_maintenance_order_is_reported_and_recorded_later(tmp_path, machine):
    one = running(tmp_path, machine)
    one.directory.failing_prefixes = ("maintenance-", "sign-")
    reply = one.carry_out("maint")
    assert reply.code == 500
    assert "newer process would not know" in reply.text
    assert one.out_of_service == ["s0"]
    one.directory.failing_prefixes = ()
    one.tick()
    one.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_single_process_rewrites_an_emptied_or_removed_state_directory(tmp_path, machine):
    one = running(tmp_path, machine)
    assert one.carry_out("maint").code == 200
    for path in (tmp_path / "dykefold").iterdir():
        path.unlink()
    for _ in range(12):
        one.tick()
    assert one.state_directory.is_alive(f"sign-{one.hot_restart.machine.name}") is True
    for path in (tmp_path / "dykefold").iterdir():
        path.unlink()
    (tmp_path / "dykefold").rmdir()
    for _ in range(12):
        one.tick()
    one.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS, 0])
def test_a_wall_clock_that_was_stepped_between_two_starts_moves_no_time_that_is_handed_over(
    tmp_path, machine, step_ns
):
    old = running(tmp_path, machine)
    balancer = old.server.pool.balancer
    (server, *_) = balancer.endpoints.all.values()
    age_ns = 2 * 10**9
    then = old.server.clock.now() - age_ns
    server.slow_start_refilled_ns = server.probation_ns = balancer.throughput.updated_ns = then
    balancer.live_classes[0].typical_updated_ns = then
    machine.wall_ns += step_ns
    new = SidecarProcess(tmp_path, machine)
    began_ns = machine.mono_ns
    new.start(old)
    passed_ns = machine.mono_ns - began_ns
    balancer = new.server.pool.balancer
    server = balancer.endpoints.all[server.id]
    moved = (server.slow_start_refilled_ns, server.probation_ns, balancer.throughput.updated_ns)
    for at in (*moved, balancer.live_classes[0].typical_updated_ns):
        assert abs(new.server.clock.now() - at - age_ns - passed_ns) < 10**9
    assert server.last_alive_ns == 0
    assert balancer.congestion.cut_ns == 0


@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS])
def test_the_later_of_two_orders_holds_though_the_wall_clock_was_stepped_between(tmp_path, machine, step_ns):
    old = running(tmp_path, machine)
    machine.wall_ns += step_ns
    new = SidecarProcess(tmp_path, machine)
    new.start(old)
    first, second = (old, new) if step_ns < 0 else (new, old)
    assert first.carry_out("maint").code == first.carry_out("ready").code == 200
    machine.advance(MS)
    assert second.carry_out("maint").code == 200  # before it has looked
    for member in (second, first, second):
        member.tick()
    assert first.out_of_service == second.out_of_service == ["s0"]
    first.stop(killed=True)
    second.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


class OfBoot(FileSystem):
    """Files of a machine in one of its boots."""

    def __init__(self, boot):
        self.boot = boot

    def boot_id(self):
        return self.boot


@pytest.mark.parametrize("boot", ["a", "b"])
@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS])
def test_start_is_compared_with_an_order_on_the_clock_of_the_reading_process(
    tmp_path, machine, step_ns, boot
):
    """An order of another process, given before a step of the wall clock; in the same boot, or before it."""
    old = running(tmp_path, machine, files=OfBoot("a"))
    assert old.carry_out("maint").code == old.carry_out("ready").code == 200
    before_ns = old.server.clock.now() - MS + step_ns
    old.stop(killed=True)
    machine.wall_ns += step_ns
    if boot == "b":
        machine.mono_ns = 20 * 10**9
        machine.wall_ns += 60 * 10**9
    new = SidecarProcess(tmp_path, machine, files=OfBoot(boot))
    new.start()
    pool = new.server.pool
    again_ns = pool.now() + MS
    # By how much the wall clock of an earlier boot was behind, nothing tells.
    starts = [(again_ns, True)] if boot == "b" and step_ns > 0 else [(before_ns, False), (again_ns, True)]
    for started_ns, anew in starts:
        entry = pool.maintenance.listed["s0"]
        entry = replace(entry, endpoint=replace(entry.endpoint, started_ns=started_ns))
        (told,) = pool.maintenance.apply_update([entry], False)
        assert (told.endpoint.started_ns == started_ns) is anew


STRANGE = [
    ("most", float("inf")),
    ("beat_ns", float("nan")),
    ("place", 2**40),
    ("place", -1),
    ("sees", [["a"]]),
    ("state", []),
]


@pytest.mark.parametrize(("key", "value"), STRANGE, ids=[f"{key}-{value}" for key, value in STRANGE])
def test_a_record_with_values_that_can_not_be_is_no_crash(tmp_path, machine, key, value):
    one = running(tmp_path, machine)
    ghost = "99999999999999999999-1"
    sign = one.directory.read(f"sign-{one.hot_restart.machine.name}")
    word = {**sign, "name": ghost, "beat_ns": machine.mono_ns + 10**8, key: value}
    (tmp_path / "dykefold" / f"sign-{ghost}.json").write_text(json.dumps(word))
    one.tick()
    found = parse_heartbeat(word)
    assert found is None or found.listener_index is None or 0 <= found.listener_index < 2**16
    assert parse_maintenance_orders({"said": {"s0": [10**40, True], "s1": [-5, True]}}) == {}


def test_estimates_with_names_that_are_none_are_left(tmp_path, machine):
    one = running(tmp_path, machine)
    pool = one.server.pool
    for kind in ([], {}, 3):
        values = {**balancer_estimates(one), "groups": [{"kind": kind, "far": False, "rel": 1.0}]}
        assert not restore(pool.balancer, pool.names, values)
