"""Records between processes: failed writes are retried, and records stay until another process has them."""

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


def started_process(tmp_path, machine, **options):
    process = SidecarProcess(tmp_path, machine, FlakyDirectory, **options)
    process.start()
    return process


def test_snapshot_write_is_retried_while_newer_process_waits(tmp_path, machine):
    old = started_process(tmp_path, machine)
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
    assert not [
        name for name in old.directory.written_names if name.startswith("state-")
    ]  # no process waits for it


def test_start_waits_bounded_time_for_snapshot_that_cannot_be_written(tmp_path, machine):
    old = started_process(tmp_path, machine)
    old.directory.failing_prefixes = ("state-",)
    new = SidecarProcess(tmp_path, machine)
    started_ns = machine.mono_ns
    new.start(old)
    assert machine.mono_ns - started_ns <= MAX_CAPACITY_WAIT_NS + 3 * OBSERVATION_INTERVAL_NS


def test_order_received_just_before_exit_stays_recorded(tmp_path, machine):
    old = started_process(tmp_path, machine)
    new = SidecarProcess(tmp_path, machine)
    new.start(old)
    old.tick()
    assert old.server.handing_over
    assert old.carry_out("maint").code == 200
    old.stop()  # before the newer process has observed the order
    new.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_record_of_a_dead_process_stays_until_another_process_has_it(tmp_path, machine):
    old = started_process(tmp_path, machine)
    assert old.carry_out("maint").code == 200
    old.stop(killed=True)
    new = SidecarProcess(tmp_path, machine, FlakyDirectory)
    new.directory.failing_prefixes = ("sign-", "maintenance-")
    new.start()
    for number in range(70):  # beyond the cleanup of records of dead processes
        (tmp_path / "dykefold" / f"foreign-{number}").touch()  # changes the folder, so it is read
        new.tick()
    assert new.out_of_service == ["s0"]
    new.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_unrecorded_maintenance_order_is_reported_and_recorded_later(tmp_path, machine):
    process = started_process(tmp_path, machine)
    process.directory.failing_prefixes = ("maintenance-", "sign-")
    reply = process.carry_out("maint")
    assert reply.code == 500
    assert "newer process would not know" in reply.text
    assert process.out_of_service == ["s0"]
    process.directory.failing_prefixes = ()
    process.tick()
    process.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_single_process_rewrites_an_emptied_or_removed_state_directory(tmp_path, machine):
    process = started_process(tmp_path, machine)
    assert process.carry_out("maint").code == 200
    for path in (tmp_path / "dykefold").iterdir():
        path.unlink()
    for _ in range(12):
        process.tick()
    assert process.state_directory.is_alive(f"sign-{process.hot_restart.machine.name}") is True
    for path in (tmp_path / "dykefold").iterdir():
        path.unlink()
    (tmp_path / "dykefold").rmdir()
    for _ in range(12):
        process.tick()
    process.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS, 0])
def test_wall_clock_step_between_starts_keeps_ages_of_restored_times(tmp_path, machine, step_ns):
    old = started_process(tmp_path, machine)
    balancer = old.server.pool.balancer
    (endpoint, *_) = balancer.endpoints.all.values()
    age_ns = 2 * 10**9
    updated_ns = old.server.clock.now() - age_ns
    endpoint.slow_start_refilled_ns = endpoint.probation_ns = balancer.throughput.updated_ns = updated_ns
    balancer.live_classes[0].typical_updated_ns = updated_ns
    machine.wall_ns += step_ns
    new = SidecarProcess(tmp_path, machine)
    start_ns = machine.mono_ns
    new.start(old)
    elapsed_ns = machine.mono_ns - start_ns
    balancer = new.server.pool.balancer
    endpoint = balancer.endpoints.all[endpoint.id]
    restored = (endpoint.slow_start_refilled_ns, endpoint.probation_ns, balancer.throughput.updated_ns)
    for restored_ns in (*restored, balancer.live_classes[0].typical_updated_ns):
        assert abs(new.server.clock.now() - restored_ns - age_ns - elapsed_ns) < 10**9
    assert endpoint.last_alive_ns == 0
    assert balancer.congestion.cut_ns == 0


@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS])
def test_later_maintenance_order_wins_despite_wall_clock_step(tmp_path, machine, step_ns):
    old = started_process(tmp_path, machine)
    machine.wall_ns += step_ns
    new = SidecarProcess(tmp_path, machine)
    new.start(old)
    first, second = (old, new) if step_ns < 0 else (new, old)
    assert first.carry_out("maint").code == first.carry_out("ready").code == 200
    machine.advance(MS)
    assert second.carry_out("maint").code == 200  # before it has observed the other orders
    for process in (second, first, second):
        process.tick()
    assert first.out_of_service == second.out_of_service == ["s0"]
    first.stop(killed=True)
    second.stop(killed=True)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


class BootFileSystem(FileSystem):
    """File system of a machine with a given boot id."""

    def __init__(self, boot):
        self.boot = boot

    def boot_id(self):
        return self.boot


@pytest.mark.parametrize("boot", ["a", "b"])
@pytest.mark.parametrize("step_ns", [HOUR_NS, -HOUR_NS])
def test_start_is_compared_with_an_order_on_the_clock_of_the_reading_process(
    tmp_path, machine, step_ns, boot
):
    """Guards against comparing times of two clocks: the order is older than a clock step or the boot."""
    old = started_process(tmp_path, machine, files=BootFileSystem("a"))
    assert old.carry_out("maint").code == old.carry_out("ready").code == 200
    earlier_ns = old.server.clock.now() - MS + step_ns
    old.stop(killed=True)
    machine.wall_ns += step_ns
    if boot == "b":
        machine.mono_ns = 20 * 10**9
        machine.wall_ns += 60 * 10**9
    new = SidecarProcess(tmp_path, machine, files=BootFileSystem(boot))
    new.start()
    pool = new.server.pool
    later_ns = pool.now() + MS
    # How far the wall clock of an earlier boot was behind is unknown.
    starts = [(later_ns, True)] if boot == "b" and step_ns > 0 else [(earlier_ns, False), (later_ns, True)]
    for started_ns, counts_as_restart in starts:
        entry = pool.maintenance.listed["s0"]
        entry = replace(entry, endpoint=replace(entry.endpoint, started_ns=started_ns))
        (updated,) = pool.maintenance.apply_update([entry], False)
        assert (updated.endpoint.started_ns == started_ns) is counts_as_restart


IMPOSSIBLE_VALUES = [
    ("most", float("inf")),
    ("beat_ns", float("nan")),
    ("place", 2**40),
    ("place", -1),
    ("sees", [["a"]]),
    ("state", []),
]


@pytest.mark.parametrize(
    ("key", "value"), IMPOSSIBLE_VALUES, ids=[f"{key}-{value}" for key, value in IMPOSSIBLE_VALUES]
)
def test_record_with_impossible_value_is_handled(tmp_path, machine, key, value):
    process = started_process(tmp_path, machine)
    other_name = "99999999999999999999-1"
    own_record = process.directory.read(f"sign-{process.hot_restart.machine.name}")
    record = {**own_record, "name": other_name, "beat_ns": machine.mono_ns + 10**8, key: value}
    (tmp_path / "dykefold" / f"sign-{other_name}.json").write_text(json.dumps(record))
    process.tick()
    heartbeat = parse_heartbeat(record)
    assert heartbeat is None or heartbeat.listener_index is None or 0 <= heartbeat.listener_index < 2**16
    assert parse_maintenance_orders({"said": {"s0": [10**40, True], "s1": [-5, True]}}) == {}


def test_snapshot_with_invalid_machine_type_is_rejected(tmp_path, machine):
    process = started_process(tmp_path, machine)
    pool = process.server.pool
    for machine_type in ([], {}, 3):
        values = {**balancer_estimates(process), "groups": [{"kind": machine_type, "far": False, "rel": 1.0}]}
        assert not restore(pool.balancer, pool.names, values)
