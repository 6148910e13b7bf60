"""Hot restarts in all orders of observations, deaths, stops and shutdowns; indexes of real listeners."""

import contextlib
import itertools
import socket

import pytest
from net_helpers import HOST
from test_hot_restart import count_pending_connections

from dykefold.control import hot_restart_state as hot_restart
from dykefold.control.reuseport_filter import select_by_hash, select_listener
from dykefold.control.reuseport_group import ReuseportGroup
from dykefold.sim.explore import explore
from dykefold.sim.upgrades import Model


@pytest.mark.parametrize(
    ("model", "min_states"),
    [
        (Model(2, 2, 10), 40_000),
        (Model(2, 3, 60), 42_000),
        (Model(2, 2, 10, locks=False, stops=False), 8_000),
    ],
    ids=["two processes, two faults", "three faults, many descriptors in use", "no locks, only deaths"],
)
def test_no_order_of_events_violates_hot_restart_rules(model, min_states):
    """Guards the rules in all orders; `benchmarks/upgrade.py --orders` has two million of three processes."""
    result = explore(model.initial_state(), model.transitions, model.violation)
    assert result.violation is None, (result.violation, result.path)
    assert result.complete
    assert result.states > min_states


class NeverReleasing(hot_restart.HotRestartMachine):
    """A faulty machine that releases no descriptors to a newer process."""

    def observe(self, now_ns, heartbeats, total_descriptors, needed_descriptors, alive=()):
        before = self.max_descriptors
        observation = super().observe(now_ns, heartbeats, total_descriptors, needed_descriptors, alive)
        self.max_descriptors = max(self.max_descriptors, before)
        return observation


def test_explorer_finds_process_that_releases_no_descriptors():
    model = Model(2, 1, 10, kind=NeverReleasing)
    result = explore(model.initial_state(), model.transitions, model.violation)
    assert result.violation is not None
    assert result.violation.startswith("descriptors")


@pytest.mark.parametrize(
    ("name", "change"),
    [
        (
            "process in shutdown leads again",
            lambda patch: patch.setitem(
                hot_restart.TRANSITIONS,
                (hot_restart.HotRestartState.SHUTTING_DOWN, hot_restart.HotRestartEvent.NEWER_UNRESPONSIVE),
                hot_restart.HotRestartState.LEADING,
            ),
        ),
        (
            "unresponsive newer process keeps the clients",
            lambda patch: patch.delitem(
                hot_restart.TRANSITIONS,
                (hot_restart.HotRestartState.HANDING_OVER, hot_restart.HotRestartEvent.NEWER_UNRESPONSIVE),
            ),
        ),
        (
            "every process counts as responsive",
            lambda patch: patch.setattr(hot_restart, "is_responsive", lambda heartbeat, now_ns: True),
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_explorer_finds_faulty_hot_restart_rule(monkeypatch, name, change):
    with monkeypatch.context() as patch:
        change(patch)
        model = Model(2, 1, 10)
        result = explore(model.initial_state(), model.transitions, model.violation)
    assert result.violation is not None, name


@pytest.mark.parametrize("order", list(itertools.permutations(range(3), 2)))
def test_listener_index_matches_kernel_order(order):
    """Guards the derived indexes: three real sockets share an address, and two close in this order."""
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(socket.create_server((HOST, 0), backlog=64, reuse_port=True))
        address = first.getsockname()
        more = [socket.create_server(address, backlog=64, reuse_port=True) for _ in range(2)]
        socks = dict(enumerate([first, *(stack.enter_context(sock) for sock in more)]))
        groups = {number: ReuseportGroup() for number in socks}
        published = {}
        for number, group in groups.items():
            group.join(dict(published))
            published[str(number)] = group.index
        for closing in order:
            for number in list(socks):  # each process observes, and publishes its index
                published[str(number)] = groups[number].update(
                    {k: v for k, v in published.items() if k != str(number)}
                )
            socks.pop(closing).close()
            del published[str(closing)]
            for _ in range(2):
                for number in socks:
                    others = {k: v for k, v in published.items() if k != str(number)}
                    published[str(number)] = (
                        groups[number].update(others) if None not in others.values() else None
                    )
                    published[str(number)] = groups[number].index
            for number, sock in socks.items():
                select_listener(sock, groups[number].index)
                for _ in range(8):
                    stack.enter_context(socket.create_connection(address))
                assert count_pending_connections(sock) == 8, (order, closing, number)


def test_process_without_a_known_listener_index_uses_no_filter():
    group = ReuseportGroup()
    group.join({"a": 0, "b": 1, "c": 2})
    assert group.update({"a": 0, "b": 1, "c": 2}) == 3
    assert group.update({"c": 2}) is None  # two have closed, in an unknown order
    assert group.update({}) is None or group.index == 0
    with socket.create_server((HOST, 0), reuse_port=True) as sock:
        select_by_hash(sock)  # removing a missing filter raises nothing
        select_listener(sock, 0)
        select_by_hash(sock)


def test_listener_index_is_unknown_while_another_process_reports_it():
    group = ReuseportGroup()
    group.join({"a": 0, "b": 1})
    assert group.update({"b": 1}) == 0
    other_group = ReuseportGroup()
    other_group.join({"a": 0})
    assert other_group.update({"a": 0, "c": 1}) is None
    assert other_group.update({"a": 0, "c": 2}) == 1
