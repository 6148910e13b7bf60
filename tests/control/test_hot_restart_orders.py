"""The hand-over over all orders of looks, deaths, stops and ends; and listeners' places by real sockets."""

import contextlib
import itertools
import socket

import pytest
from net_helpers import HOST
from test_hot_restart import count_pending_connections

from dykefold.control import hot_restart_state as handover
from dykefold.control.reuseport_filter import select_by_hash, select_listener
from dykefold.control.reuseport_group import ReuseportGroup
from dykefold.sim.explore import explore
from dykefold.sim.upgrades import Model


@pytest.mark.parametrize(
    ("model", "least"),
    [
        (Model(2, 2, 10), 40_000),
        (Model(2, 3, 60), 42_000),
        (Model(2, 2, 10, locks=False, stops=False), 8_000),
    ],
    ids=["two processes, two faults", "three faults, much held", "no locks, deaths alone"],
)
def test_no_order_breaks_the_hand_over(model, least):
    """Three processes, two million orders: `benchmarks/upgrade.py --orders`."""
    found = explore(model.first(), model.moves, model.wrong)
    assert found.wrong is None, (found.wrong, found.path)
    assert found.whole
    assert found.states > least


class Grasping(handover.HotRestartMachine):
    """It makes no room for a newer one."""

    def observe(self, now_ns, signs, whole, held, living=()):
        most = self.max_descriptors
        view = super().observe(now_ns, signs, whole, held, living)
        self.max_descriptors = max(self.max_descriptors, most)
        return view


def test_a_hand_over_that_makes_no_room_is_found():
    model = Model(2, 1, 10, kind=Grasping)
    found = explore(model.first(), model.moves, model.wrong)
    assert found.wrong is not None
    assert found.wrong.startswith("descriptors")


@pytest.mark.parametrize(
    ("name", "change"),
    [
        (
            "one that ends comes back",
            lambda patch: patch.setitem(
                handover.TRANSITIONS,
                (handover.HotRestartState.ENDING, handover.HotRestartEvent.NEWER_UNRESPONSIVE),
                handover.HotRestartState.TAKING,
            ),
        ),
        (
            "a newer one that is mute keeps the clients",
            lambda patch: patch.delitem(
                handover.TRANSITIONS,
                (handover.HotRestartState.HANDING, handover.HotRestartEvent.NEWER_UNRESPONSIVE),
            ),
        ),
        (
            "nobody is ever mute",
            lambda patch: patch.setattr(handover, "is_responsive", lambda heartbeat, now_ns: True),
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_fault_in_the_hand_over_is_found(monkeypatch, name, change):
    with monkeypatch.context() as patch:
        change(patch)
        model = Model(2, 1, 10)
        found = explore(model.first(), model.moves, model.wrong)
    assert found.wrong is not None, name


@pytest.mark.parametrize("order", list(itertools.permutations(range(3), 2)))
def test_a_place_is_where_the_kernel_has_the_listener(order):
    """By real sockets: three that share an address, two of them closed in this order."""
    with contextlib.ExitStack() as stack:
        first = stack.enter_context(socket.create_server((HOST, 0), backlog=64, reuse_port=True))
        address = first.getsockname()
        more = [socket.create_server(address, backlog=64, reuse_port=True) for _ in range(2)]
        socks = dict(enumerate([first, *(stack.enter_context(sock) for sock in more)]))
        places = {number: ReuseportGroup() for number in socks}
        shown = {}
        for number, place in places.items():
            place.join(dict(shown))
            shown[str(number)] = place.index
        for going in order:
            for number in list(socks):  # each looks, and shows what it has found
                shown[str(number)] = places[number].update(
                    {k: v for k, v in shown.items() if k != str(number)}
                )
            socks.pop(going).close()
            del shown[str(going)]
            for _ in range(2):
                for number in socks:
                    others = {k: v for k, v in shown.items() if k != str(number)}
                    shown[str(number)] = (
                        places[number].update(others) if None not in others.values() else None
                    )
                    shown[str(number)] = places[number].index
            for number, sock in socks.items():
                select_listener(sock, places[number].index)
                for _ in range(8):
                    stack.enter_context(socket.create_connection(address))
                assert count_pending_connections(sock) == 8, (order, going, number)


def test_process_without_a_known_listener_index_uses_no_filter():
    places = ReuseportGroup()
    places.join({"a": 0, "b": 1, "c": 2})
    assert places.update({"a": 0, "b": 1, "c": 2}) == 3
    assert places.update({"c": 2}) is None  # two have left, in an order that nobody saw
    assert places.update({}) is None or places.index == 0
    with socket.create_server((HOST, 0), reuse_port=True) as sock:
        select_by_hash(sock)  # no filter is no error
        select_listener(sock, 0)
        select_by_hash(sock)


def test_a_place_that_another_one_still_shows_is_not_believed_yet():
    places = ReuseportGroup()
    places.join({"a": 0, "b": 1})
    assert places.update({"b": 1}) == 0
    other = ReuseportGroup()
    other.join({"a": 0})
    assert other.update({"a": 0, "c": 1}) is None
    assert other.update({"a": 0, "c": 2}) == 1
