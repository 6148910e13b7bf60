"""The hand-over as a state table: every step that fails has an end, and parts never exceed the whole."""

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

WHOLE = 384  # descriptors


class Life:
    """A process of a sidecar: it looks every `OBSERVATION_INTERVAL_NS` and shows itself as the edge does."""

    def __init__(self, number, now):
        self.handover = HotRestartMachine(f"p{number}", now)
        self.alive = True
        self.parts = None  # of the memory it takes one in so many; None: it takes none yet
        self.held = 100
        self.view = None
        self.shown = self.handover.heartbeat(now)

    def look(self, now, lives):
        self.read(now, [life.shown for life in lives if life is not self])
        self.show(now)

    def read(self, now, signs):
        if not self.alive:
            return
        self.claimed, self.starting = (
            self.handover.claimed_descriptors,
            self.handover.state is HotRestartState.STARTING,
        )
        self.view = self.handover.observe(now, signs, WHOLE, self.held)
        if self.starting and self.view.may_serve:
            self.handover.on_serving()
            self.parts = self.view.process_count
        if self.parts is not None:
            self.parts = self.view.process_count

    def show(self, now):
        # One that is alone has nobody to show itself to.
        if self.alive and (
            self.starting or self.view.process_count > 1 or self.handover.claimed_descriptors != self.claimed
        ):
            self.shown = self.handover.heartbeat(now)


def play(lives, now, steps):
    for _ in range(steps):
        now += OBSERVATION_INTERVAL_NS
        for life in lives:
            life.look(now, lives)
    return now


def upgraded():
    lives = [Life(0, 0)]
    now = play(lives, 0, 10)
    lives.append(Life(1, now))
    return lives, now


def test_an_upgrade_takes_its_steps():
    lives, now = upgraded()
    old, new = lives
    assert old.handover.state is HotRestartState.TAKING
    assert old.parts == 1
    new.look(now, lives)
    assert new.parts is None  # it waits until there is room
    old.held = 250
    now = play(lives, now, 2)
    assert (old.parts, new.parts) == (2, 2)
    assert (old.view.max_descriptors, new.view.max_descriptors) == (
        250,
        WHOLE - 250,
    )  # its clients keep their connections
    now = play(lives, now, 1)
    assert old.handover.state is HotRestartState.HANDING
    assert old.view.newer_serves
    old.held = 80
    now = play(lives, now, 2)
    assert (old.view.max_descriptors, new.view.max_descriptors) == (80, WHOLE - 80)
    old.held = 200
    now = play(lives, now, 2)
    assert old.view.max_descriptors == 80  # what it gave away it does not take back
    old.handover.on_shutdown()
    now = play(lives, now, 3)
    assert old.handover.state is HotRestartState.ENDING
    old.alive = False
    play(lives, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert new.parts == 1
    assert new.handover.state is HotRestartState.TAKING


def test_a_new_one_that_dies_before_its_yes_leaves_all_to_the_old_one():
    lives, now = upgraded()
    lives[0].look(now, lives)
    assert lives[0].handover.state is HotRestartState.SHARING
    assert lives[0].parts == 2
    lives[1].alive = False
    play(lives, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert lives[0].handover.state is HotRestartState.TAKING
    assert lives[0].parts == 1


def test_a_new_one_that_dies_after_its_yes_gives_its_clients_back():
    lives, now = upgraded()
    now = play(lives, now, 3)
    assert lives[0].handover.state is HotRestartState.HANDING
    lives[1].alive = False
    play(lives, now, MAX_HEARTBEAT_AGE_NS // OBSERVATION_INTERVAL_NS + 2)
    assert lives[0].handover.state is HotRestartState.TAKING
    assert not lives[0].view.newer_serves


def test_an_old_one_that_was_killed_is_not_waited_for_long():
    lives, now = upgraded()
    lives[0].alive = False
    play(lives, now, MAX_CAPACITY_WAIT_NS // OBSERVATION_INTERVAL_NS + 1)
    assert lives[1].parts == 1
    assert lives[1].handover.state is HotRestartState.TAKING


def test_two_upgrades_at_once_share_and_the_newest_takes():
    lives, now = upgraded()
    lives.append(Life(2, now + 1))
    now = play(lives, now, 4)
    assert [life.parts for life in lives] == [3, 3, 3]
    assert lives[0].view.newer_serves
    assert lives[1].view.newer_serves
    assert not lives[2].view.newer_serves


def test_one_that_stands_still_before_it_shows_its_claim_takes_nothing_of_it():
    """Guards the whole against two that grow at once: each has read before the other has written."""
    one, other = Life(0, 0), Life(1, NS_PER_MS)
    one.read(NS_PER_MS, [])  # nobody else is there yet; now it is stopped
    now = NS_PER_MS
    while other.parts is None:
        now += OBSERVATION_INTERVAL_NS
        other.look(now, [one, other])
    assert other.view.max_descriptors == WHOLE
    one.show(now)
    for _ in range(6):  # it goes on
        now += OBSERVATION_INTERVAL_NS
        for life in (one, other):
            life.look(now, [one, other])
            assert one.view.max_descriptors + other.view.max_descriptors <= WHOLE
    assert other.view.max_descriptors == WHOLE - one.view.max_descriptors
    assert other.handover.state is HotRestartState.TAKING


def test_process_that_shuts_down_never_accepts_clients_later():
    assert all(
        TRANSITIONS.get((HotRestartState.ENDING, event), HotRestartState.ENDING) is HotRestartState.ENDING
        for event in HotRestartEvent
    )


class Machine(RuleBasedStateMachine):
    """Processes that start, die and end at any time; loops are late by less than they may be."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.lives = [Life(0, 0)]
        self.number = 1
        play(self.lives, 0, 10)
        self.now = 10 * OBSERVATION_INTERVAL_NS

    @rule()
    def starts(self):
        gone = [
            life
            for life in self.lives
            if not life.alive and self.now - life.shown.written_ns > 9 * MAX_HEARTBEAT_AGE_NS
        ]
        self.lives = [life for life in self.lives if life not in gone]
        if len(self.lives) < 6:
            self.lives.append(Life(self.number, self.now))
            self.number += 1

    @rule(which=st.integers(0, 9))
    def dies(self, which):
        if self.lives:
            self.lives[which % len(self.lives)].alive = False

    @rule(which=st.integers(0, 9))
    def ends(self, which):
        if self.lives:
            self.lives[which % len(self.lives)].handover.on_shutdown()

    @rule(which=st.integers(0, 9), held=st.integers(0, WHOLE))
    def holds(self, which, held):
        if self.lives:
            life = self.lives[which % len(self.lives)]
            life.held = min(held, life.view.max_descriptors if life.view else WHOLE)

    @rule(steps=st.integers(1, 20))
    def time_passes(self, steps):
        self.now = play(self.lives, self.now, steps)

    @rule(order=st.randoms())
    def looks_in_any_order(self, order):
        lives = list(self.lives)
        order.shuffle(lives)
        self.now += NS_PER_MS
        for life in lives:
            life.look(self.now, self.lives)

    @rule()
    def looks_at_once(self):
        """All have read before any has written."""
        self.now += NS_PER_MS
        signs = [life.shown for life in self.lives]
        for life in self.lives:
            life.read(self.now, [sign for sign in signs if sign is not life.shown])
        for life in self.lives:
            life.show(self.now)

    @invariant()
    def what_is_taken_is_no_more_than_the_whole(self):
        serving = [life for life in self.lives if life.alive and life.parts]
        assert sum(1 / life.parts for life in serving) < 1.0 + 1e-9
        assert sum(life.view.max_descriptors for life in serving) <= WHOLE


TestHandover = Machine.TestCase
TestHandover.settings = settings(
    max_examples=150, derandomize=True, database=None, stateful_step_count=30, deadline=None
)


def test_signs_are_read_as_they_were_written_and_nothing_else_is(tmp_path):
    board = FileStateDirectory(str(tmp_path))
    sign = HotRestartMachine("a", 5).heartbeat(7)
    said = {"s1": MaintenanceOrder(9, True), "s2": MaintenanceOrder(8, False)}
    assert board.write("sign-a", heartbeat_record(sign, said))
    (word,) = board.read_all("sign-").values()
    assert parse_heartbeat(word) == sign
    assert parse_maintenance_orders(word) == said
    assert parse_heartbeat({"name": "a"}) is None
    assert parse_heartbeat({**word, "state": "flying"}) is None
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
    ids=["empty", "torn", "newer", "list", "bytes", "deep", "huge"],
)
def test_what_can_not_be_read_counts_as_not_there(tmp_path, data):
    board = FileStateDirectory(str(tmp_path))
    (tmp_path / "dykefold" / "sign-a.json").write_bytes(data)
    board.write("sign-b", {"name": "b"})
    assert list(board.read_all("sign-")) == ["sign-b"]
    assert board.read("sign-a") is None


def test_directory_change_is_detected_and_failed_write_is_reported(tmp_path):
    now_ns = [0]
    board = FileStateDirectory(str(tmp_path), monotonic_ns=lambda: now_ns[0])

    def settle():
        # A change of the same tick would leave the same time: it is read once more after that.
        board.read_all("sign-")
        assert board.changed()
        now_ns[0] += MIN_UNCHANGED_NS
        board.read_all("sign-")
        assert not board.changed()

    settle()
    assert board.write("sign-a", {})
    assert board.changed()
    settle()
    now_ns[0] += MAX_READ_INTERVAL_NS
    assert board.changed()  # whatever the folder's time says
    settle_again = board.read_all("sign-")
    assert list(settle_again) == ["sign-a"]
    assert not board.changed()
    board.remove("sign-a")
    assert board.changed()
    assert board.read("sign-a") is None
    (tmp_path / "dykefold").rmdir()
    assert not board.write("sign-a", {})
    assert board.read_all("sign-") == {}


def test_who_can_not_show_its_claim_takes_half_until_it_has_shown_it_for_a_while():
    one, other = HotRestartMachine("a", 0), HotRestartMachine("b", 1)
    views = {}
    for now in range(0, 2 * MAX_CAPACITY_WAIT_NS, OBSERVATION_INTERVAL_NS):
        for handover in (one, other):
            views[handover.name] = handover.observe(now, [], WHOLE, 0)
            handover.wrote_heartbeat(now, False)
    assert [view.max_descriptors for view in views.values()] == [WHOLE // 2] * 2
    last = now
    one.wrote_heartbeat(now + 1, True)
    assert one.observe(last + OBSERVATION_INTERVAL_NS, [], WHOLE, 0).max_descriptors == WHOLE // 2
    assert one.observe(last + 5 * OBSERVATION_INTERVAL_NS, [], WHOLE, 0).max_descriptors == WHOLE


def test_locks_tell_who_lives_and_one_that_can_not_be_had_leaves_nothing(tmp_path, monkeypatch):
    board = FileStateDirectory(str(tmp_path))
    assert board.is_alive("sign-a") is None
    assert board.lock("sign-a")
    assert board.is_alive("sign-a") is True
    os.close(board.lock_descriptor)  # as when its process ends
    assert board.is_alive("sign-a") is False

    def refused(*_):
        raise OSError(errno.ENOLCK, "no locks")

    monkeypatch.setattr(fcntl, "flock", refused)
    before = len(os.listdir("/proc/self/fd"))
    assert not any(board.lock("sign-b") for _ in range(20))
    assert board.is_alive("sign-b") is None
    assert len(os.listdir("/proc/self/fd")) == before
