"""Maintenance orders on top of endpoint lists, checked against a model of the rules."""

from dataclasses import dataclass, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykefold.balancer.events import Endpoint, State
from dykefold.net.service import maintenance as module
from dykefold.net.service.maintenance import Maintenance

NAMES = ["s0", "s1", "s2", "s3"]


@dataclass
class Entry:
    name: str
    endpoint: Endpoint
    since_ms: int = 0


def list_entry(name, state=State.READY, started_ns=0):
    return Entry(name, Endpoint(NAMES.index(name), 0, 0, 0, state, 1.0, started_ns))


def make_maintenance():
    return Maintenance(lambda entry, endpoint: replace(entry, endpoint=endpoint))


def summaries(entries):
    return [(entry.name, entry.endpoint.state, entry.endpoint.started_ns) for entry in entries]


def test_endpoint_taken_out_twice_stays_draining_through_list_updates_until_one_return():
    maintenance = make_maintenance()
    maintenance.apply_update([list_entry("s0"), list_entry("s1")], True)
    assert summaries(maintenance.apply_order("s0", True, 100)) == [("s0", State.DRAINING, 0)]
    assert maintenance.apply_order("s0", True, 150) == []
    for entries, complete in (
        ([list_entry("s0"), list_entry("s1")], True),
        ([list_entry("s0", started_ns=170)], False),
    ):
        assert ("s0", State.DRAINING) in [
            (name, state) for name, state, _ in summaries(maintenance.apply_update(entries, complete))
        ]
    maintenance.apply_update([list_entry("s0", State.GONE)], False)
    assert maintenance.is_known("s0")  # it can be returned to service although it is gone
    assert summaries(maintenance.apply_update([list_entry("s0")], False)) == [("s0", State.DRAINING, 0)]
    assert summaries(maintenance.apply_order("s0", False, 200)) == [("s0", State.READY, 200)]
    assert maintenance.apply_order("s0", False, 210) == []


def test_endpoint_returned_to_service_counts_as_started_then_until_it_restarts():
    maintenance = make_maintenance()
    maintenance.apply_update([list_entry("s0", started_ns=50)], True)
    maintenance.apply_order("s0", True, 100)
    assert summaries(maintenance.apply_order("s0", False, 200)) == [("s0", State.READY, 200)]
    assert summaries(maintenance.apply_update([list_entry("s0", started_ns=150)], True)) == [
        ("s0", State.READY, 200)
    ]
    assert summaries(maintenance.apply_update([list_entry("s0", started_ns=250)], True)) == [
        ("s0", State.READY, 250)
    ]
    # The state that discovery lists now applies, not the one at the time when it was taken out of service.
    maintenance.apply_order("s0", True, 300)
    maintenance.apply_update([list_entry("s0", State.DRAINING)], False)
    assert summaries(maintenance.apply_order("s0", False, 400)) == [("s0", State.DRAINING, 400)]


def test_unlisted_endpoint_is_unknown_and_remembered_orders_are_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_OUT_OF_SERVICE", 2)
    monkeypatch.setattr(module, "MAX_REMEMBERED_RETURNS", 1)
    maintenance = make_maintenance()
    assert not maintenance.is_known("s0")
    maintenance.apply_update([list_entry(name) for name in NAMES], True)
    for name in NAMES[:2]:
        maintenance.apply_order(name, True, 1)
    assert maintenance.would_exceed_limit("s2")
    assert not maintenance.would_exceed_limit("s0")
    for name in NAMES[:2]:
        maintenance.apply_order(name, False, 2)
    assert list(maintenance.orders) == ["s1"]


def test_later_order_of_two_processes_takes_effect_in_both():
    first, second = make_maintenance(), make_maintenance()
    for maintenance in (first, second):
        maintenance.apply_update([list_entry("s0"), list_entry("s1")], True)
    first.apply_order("s0", True, 100)
    second.merge(first.orders)
    assert second.is_out_of_service("s0")
    second.apply_order("s0", False, 200)
    first.apply_order("s1", True, 210)
    assert summaries(first.merge(second.orders)) == [("s0", State.READY, 200)]
    second.merge(first.orders)
    assert first.orders == second.orders
    assert first.merge(second.orders) == []


class MaintenanceMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.maintenance = make_maintenance()
        self.now_ns = 0
        self.listed_states = {}
        self.out_of_service = set()
        self.notified = {}  # by name: endpoint as the balancer was last notified of it

    def notify(self, entries):
        for entry in entries:
            self.notified[entry.name] = entry.endpoint

    @rule(names=st.sets(st.sampled_from(NAMES)), state=st.sampled_from([State.READY, State.DRAINING]))
    def apply_complete_list(self, names, state):
        self.listed_states = dict.fromkeys(names, state)
        self.notified = {}
        self.notify(self.maintenance.apply_update([list_entry(name, state) for name in names], True))

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(list(State)))
    def apply_change(self, name, state):
        self.listed_states.pop(name, None)
        if state is not State.GONE:
            self.listed_states[name] = state
        self.notify(self.maintenance.apply_update([list_entry(name, state)], False))

    @rule(name=st.sampled_from(NAMES), take_out=st.booleans())
    def apply_order(self, name, take_out):
        self.now_ns += 1
        if self.maintenance.is_known(name):
            (self.out_of_service.add if take_out else self.out_of_service.discard)(name)
            self.notify(self.maintenance.apply_order(name, take_out, self.now_ns))

    @invariant()
    def balancer_is_notified_as_the_rules_say(self):
        for name, state in self.listed_states.items():
            expected = State.DRAINING if name in self.out_of_service else state
            assert self.notified[name].state is expected
        assert set(self.maintenance.names_out_of_service()) == self.out_of_service


TestMaintenance = MaintenanceMachine.TestCase
TestMaintenance.settings = settings(
    max_examples=60, derandomize=True, database=None, stateful_step_count=30, deadline=None
)
