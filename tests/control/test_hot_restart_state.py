"""State machine of the hot restart: each failed step is recovered from, and limits are never exceeded."""

import errno
import fcntl
import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykefold.control.hot_restart_state import (
    MAX_CAPACITY_WAIT_NS,
    MAX_HEARTBEAT_AGE_NS,
    NS_PER_MS,
    OBSERVATION_INTERVAL_NS,
    TRANSITIONS,
    HotRestartEvent,
    HotRestartMachine,
    HotRestartState,
)
from dykefold.control.process_records import heartbeat_record, parse_heartbeat, parse_maintenance_orders
from dykefold.control.state_directory import (
    MAX_FILE_BYTES,
    MAX_READ_INTERVAL_NS,
    MIN_UNCHANGED_NS,
    FileStateDirectory,
)
from dykefold.net.service.maintenance import MaintenanceOrder

TOTAL_DESCRIPTORS = 384  # descriptors


class SimulatedProcess:
    """A process that observes and writes heartbeats every `OBSERVATION_INTERVAL_NS`, as `HotRestart` does."""

    def __init__(self, number, now):
        self.machine = HotRestartMachine(f"p{number}", now)
        self.alive = True
        self.memory_divisor = None  # uses 1 / memory_divisor of the memory; None before it serves
        self.in_use = 100
        self.observation = None
        self.heartbeat = self.machine.heartbeat(now)

    def step(self, now, processes):
        self.observe(now, [process.heartbeat for process in processes if process is not self])
        self.write_heartbeat(now)

    def observe(self, now, heartbeats):
        if not self.alive:
            return
        self.claimed, self.starting = (
            self.machine.claimed_descriptors,
            self.machine.state is HotRestartState.STARTING,
        )
        self.observation = self.machine.observe(now, heartbeats, TOTAL_DESCRIPTORS, self.in_use)
        if self.starting and self.observation.may_serve:
            self.machine.on_serving()
            self.memory_divisor = self.observation.process_count
        if self.memory_divisor is not None:
            self.memory_divisor = self.observation.process_count

    def write_heartbeat(self, now):
        # A lone process writes no periodic heartbeat.
        if self.alive and (
            self.starting
            or self.observation.process_count > 1
            or self.machine.claimed_descriptors != self.claimed
        ):
            self.heartbeat = self.machine.heartbeat(now)


def run_steps(processes, now, steps):
    for _ in range(steps):
        now += OBSERVATION_INTERVAL_NS
        for process in processes:
            process.step(now, processes)
    return now


def begin_hot_restart():
    processes = [SimulatedProcess(0, 0)]
    now = run_steps(processes, 0, 10)
    processes.append(SimulatedProcess(1, now))
    return processes, now


def test_hot_restart_passes_through_its_states():
    processes, now = begin_hot_restart()
    old, new = processes
    assert old.machine.state is HotRestartState.LEADING
    assert old.memory_divisor == 1
    new.step(now, processes)
    assert new.memory_divisor is None  # waits for capacity
    old.in_use = 250
    now = run_steps(processes, now, 2)
    assert (old.memory_divisor, new.memory_divisor) == (2, 2)
    assert (old.observation.max_descriptors, new.observation.max_descriptors) == (
        250,
        TOTAL_DESCRIPTORS - 250,
    )  # clients of the older process keep their connections
    now = run_steps(processes, now, 1)
    assert old.machine.state is HotRestartState.HANDING_OVER
    assert old.observation.newer_serves
    old.in_use = 80
    now = run_steps(processes, now, 2)
    assert (old.observation.max_descriptors, new.observation.max_descriptors) == (80, TOTAL_DESCRIPTORS - 80)
    old.in_use = 200
    now = run_steps(processes, now, 2)
    assert old.observation.max_descriptors == 80  # released descriptors are not claimed again
    old.machine.on_shutdown()
    now = run_steps(processes, now, 3)
    assert old.machine.state is HotRestartState.SHUTTING_DOWN
    old.alive = False
    run_steps(processes, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert new.memory_divisor == 1
    assert new.machine.state is HotRestartState.LEADING


def test_older_process_keeps_all_when_newer_one_dies_before_it_serves():
    processes, now = begin_hot_restart()
    processes[0].step(now, processes)
    assert processes[0].machine.state is HotRestartState.SHARING
    assert processes[0].memory_divisor == 2
    processes[1].alive = False
    run_steps(processes, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert processes[0].machine.state is HotRestartState.LEADING
    assert processes[0].memory_divisor == 1


def test_older_process_gets_clients_back_when_serving_newer_one_dies():
    processes, now = begin_hot_restart()
    now = run_steps(processes, now, 3)
    assert processes[0].machine.state is HotRestartState.HANDING_OVER
    processes[1].alive = False
    run_steps(processes, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert processes[0].machine.state is HotRestartState.LEADING
    assert not processes[0].observation.newer_serves


def test_wait_for_killed_older_process_is_bounded():
    processes, now = begin_hot_restart()
    processes[0].alive = False
    run_steps(processes, now, MAX_CAPACITY_WAIT_NS // OBSERVATION_INTERVAL_NS + 1)
    assert processes[1].memory_divisor == 1
    assert processes[1].machine.state is HotRestartState.LEADING


def test_concurrent_hot_restarts_share_limits_and_newest_leads():
    processes, now = begin_hot_restart()
    processes.append(SimulatedProcess(2, now + 1))
    now = run_steps(processes, now, 4)
    assert [process.memory_divisor for process in processes] == [3, 3, 3]
    assert processes[0].observation.newer_serves
    assert processes[1].observation.newer_serves
    assert not processes[2].observation.newer_serves


def test_process_stopped_before_writing_its_claim_uses_none_of_it():
    """Guards the limit when two processes grow at once: each has read before the other has written."""
    one, other = SimulatedProcess(0, 0), SimulatedProcess(1, NS_PER_MS)
    one.observe(NS_PER_MS, [])  # sees no other process, and is then stopped
    now = NS_PER_MS
    while other.memory_divisor is None:
        now += OBSERVATION_INTERVAL_NS
        other.step(now, [one, other])
    assert other.observation.max_descriptors == TOTAL_DESCRIPTORS
    one.write_heartbeat(now)
    for _ in range(6):  # the stopped process continues
        now += OBSERVATION_INTERVAL_NS
        for process in (one, other):
            process.step(now, [one, other])
            assert one.observation.max_descriptors + other.observation.max_descriptors <= TOTAL_DESCRIPTORS
    assert other.observation.max_descriptors == TOTAL_DESCRIPTORS - one.observation.max_descriptors
    assert other.machine.state is HotRestartState.LEADING


def test_process_that_shuts_down_never_accepts_clients_later():
    assert all(
        TRANSITIONS.get((HotRestartState.SHUTTING_DOWN, event), HotRestartState.SHUTTING_DOWN)
        is HotRestartState.SHUTTING_DOWN
        for event in HotRestartEvent
    )


class HotRestartProcesses(RuleBasedStateMachine):
    """Processes that start, die and shut down at any time; no loop is late by more than the rules allow."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.processes = [SimulatedProcess(0, 0)]
        self.next_number = 1
        run_steps(self.processes, 0, 10)
        self.now = 10 * OBSERVATION_INTERVAL_NS

    @rule()
    def start_process(self):
        removed = [
            process
            for process in self.processes
            if not process.alive and self.now - process.heartbeat.written_ns > 9 * MAX_HEARTBEAT_AGE_NS
        ]
        self.processes = [process for process in self.processes if process not in removed]
        if len(self.processes) < 6:
            self.processes.append(SimulatedProcess(self.next_number, self.now))
            self.next_number += 1

    @rule(index=st.integers(0, 9))
    def kill_process(self, index):
        if self.processes:
            self.processes[index % len(self.processes)].alive = False

    @rule(index=st.integers(0, 9))
    def shut_down_process(self, index):
        if self.processes:
            self.processes[index % len(self.processes)].machine.on_shutdown()

    @rule(index=st.integers(0, 9), in_use=st.integers(0, TOTAL_DESCRIPTORS))
    def use_descriptors(self, index, in_use):
        if self.processes:
            process = self.processes[index % len(self.processes)]
            process.in_use = min(
                in_use, process.observation.max_descriptors if process.observation else TOTAL_DESCRIPTORS
            )

    @rule(steps=st.integers(1, 20))
    def advance_time(self, steps):
        self.now = run_steps(self.processes, self.now, steps)

    @rule(order=st.randoms())
    def observe_in_any_order(self, order):
        processes = list(self.processes)
        order.shuffle(processes)
        self.now += NS_PER_MS
        for process in processes:
            process.step(self.now, self.processes)

    @rule()
    def observe_simultaneously(self):
        """Let each process read before any of them writes."""
        self.now += NS_PER_MS
        heartbeats = [process.heartbeat for process in self.processes]
        for process in self.processes:
            process.observe(
                self.now, [heartbeat for heartbeat in heartbeats if heartbeat is not process.heartbeat]
            )
        for process in self.processes:
            process.write_heartbeat(self.now)

    @invariant()
    def limits_are_not_exceeded(self):
        serving = [process for process in self.processes if process.alive and process.memory_divisor]
        assert sum(1 / process.memory_divisor for process in serving) < 1.0 + 1e-9
        assert sum(process.observation.max_descriptors for process in serving) <= TOTAL_DESCRIPTORS


TestHotRestartProcesses = HotRestartProcesses.TestCase
TestHotRestartProcesses.settings = settings(
    max_examples=150, derandomize=True, database=None, stateful_step_count=30, deadline=None
)


def test_heartbeat_and_orders_are_read_back_and_invalid_ones_ignored(tmp_path):
    directory = FileStateDirectory(str(tmp_path))
    heartbeat = HotRestartMachine("a", 5).heartbeat(7)
    orders = {"s1": MaintenanceOrder(9, True), "s2": MaintenanceOrder(8, False)}
    assert directory.write("sign-a", heartbeat_record(heartbeat, orders))
    (record,) = directory.read_all("sign-").values()
    assert parse_heartbeat(record) == heartbeat
    assert parse_maintenance_orders(record) == orders
    assert parse_heartbeat({"name": "a"}) is None
    assert parse_heartbeat({**record, "state": "flying"}) is None
    assert parse_maintenance_orders({"said": {"s1": [1], "s2": "x", "s3": [1, 2], "s4": [5, True]}}) == {
        "s4": MaintenanceOrder(5, True)
    }


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'{"version": 1, "name": "a", "bo',
        b'{"version": 2, "name": "a"}',
        b"[]",
        b"\xff\xfe",
        b"[" * 100_000,
        b'"' + b"x" * (MAX_FILE_BYTES + 10) + b'"',
    ],
    ids=["empty", "torn", "newer version", "list", "not UTF-8", "deeply nested", "too large"],
)
def test_unreadable_record_counts_as_missing(tmp_path, data):
    directory = FileStateDirectory(str(tmp_path))
    (tmp_path / "dykefold" / "sign-a.json").write_bytes(data)
    directory.write("sign-b", {"name": "b"})
    assert list(directory.read_all("sign-")) == ["sign-b"]
    assert directory.read("sign-a") is None


def test_directory_change_is_detected_and_failed_write_is_reported(tmp_path):
    now_ns = [0]
    directory = FileStateDirectory(str(tmp_path), monotonic_ns=lambda: now_ns[0])

    def settle():
        # A change within the same clock tick leaves the same time, so the folder is read once more later.
        directory.read_all("sign-")
        assert directory.changed()
        now_ns[0] += MIN_UNCHANGED_NS
        directory.read_all("sign-")
        assert not directory.changed()

    settle()
    assert directory.write("sign-a", {})
    assert directory.changed()
    settle()
    now_ns[0] += MAX_READ_INTERVAL_NS
    assert directory.changed()  # whatever the modification time of the folder says
    records = directory.read_all("sign-")
    assert list(records) == ["sign-a"]
    assert not directory.changed()
    directory.remove("sign-a")
    assert directory.changed()
    assert directory.read("sign-a") is None
    (tmp_path / "dykefold").rmdir()
    assert not directory.write("sign-a", {})
    assert directory.read_all("sign-") == {}


def test_process_that_cannot_write_its_claim_uses_half_until_claim_is_seen():
    one, other = HotRestartMachine("a", 0), HotRestartMachine("b", 1)
    observations = {}
    for now in range(0, 2 * MAX_CAPACITY_WAIT_NS, OBSERVATION_INTERVAL_NS):
        for machine in (one, other):
            observations[machine.name] = machine.observe(now, [], TOTAL_DESCRIPTORS, 0)
            machine.wrote_heartbeat(now, False)
    assert [observation.max_descriptors for observation in observations.values()] == [
        TOTAL_DESCRIPTORS // 2
    ] * 2
    last = now
    one.wrote_heartbeat(now + 1, True)
    assert (
        one.observe(last + OBSERVATION_INTERVAL_NS, [], TOTAL_DESCRIPTORS, 0).max_descriptors
        == TOTAL_DESCRIPTORS // 2
    )
    assert (
        one.observe(last + 5 * OBSERVATION_INTERVAL_NS, [], TOTAL_DESCRIPTORS, 0).max_descriptors
        == TOTAL_DESCRIPTORS
    )


def test_lock_shows_live_process_and_failed_lock_leaks_no_descriptor(tmp_path, monkeypatch):
    directory = FileStateDirectory(str(tmp_path))
    assert directory.is_alive("sign-a") is None
    assert directory.lock("sign-a")
    assert directory.is_alive("sign-a") is True
    os.close(directory.lock_descriptor)  # as when its process ends
    assert directory.is_alive("sign-a") is False

    def refused(*_):
        raise OSError(errno.ENOLCK, "no locks")

    monkeypatch.setattr(fcntl, "flock", refused)
    descriptor_count = len(os.listdir("/proc/self/fd"))
    assert not any(directory.lock("sign-b") for _ in range(20))
    assert directory.is_alive("sign-b") is None
    assert len(os.listdir("/proc/self/fd")) == descriptor_count
