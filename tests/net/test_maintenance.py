"""Maintenance on top of discovery, against a model that keeps no more than the rules say."""

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


def listed(name, state=State.READY, started=0):
    return Entry(name, Endpoint(NAMES.index(name), 0, 0, 0, state, 1.0, started))


def make():
    return Maintenance(lambda entry, endpoint: replace(entry, endpoint=endpoint))


def told(entries):
    return [(entry.name, entry.endpoint.state, entry.endpoint.started_ns) for entry in entries]


def test_a_ban_outlives_every_list_and_two_calls_out_need_one_back():
    keeper = make()
    keeper.apply_update([listed("s0"), listed("s1")], True)
    assert told(keeper.apply_order("s0", True, 100)) == [("s0", State.DRAINING, 0)]
    assert keeper.apply_order("s0", True, 150) == []
    for entries, complete in (([listed("s0"), listed("s1")], True), ([listed("s0", started=170)], False)):
        assert ("s0", State.DRAINING) in [
            (name, state) for name, state, _ in told(keeper.apply_update(entries, complete))
        ]
    keeper.apply_update([listed("s0", State.GONE)], False)
    assert keeper.knows("s0")  # it can be put back though it is gone
    assert told(keeper.apply_update([listed("s0")], False)) == [("s0", State.DRAINING, 0)]
    assert told(keeper.apply_order("s0", False, 200)) == [("s0", State.READY, 200)]
    assert keeper.apply_order("s0", False, 210) == []


def test_endpoint_returned_to_service_is_cold_until_it_restarts():
    keeper = make()
    keeper.apply_update([listed("s0", started=50)], True)
    keeper.apply_order("s0", True, 100)
    assert told(keeper.apply_order("s0", False, 200)) == [("s0", State.READY, 200)]
    assert told(keeper.apply_update([listed("s0", started=150)], True)) == [("s0", State.READY, 200)]
    assert told(keeper.apply_update([listed("s0", started=250)], True)) == [("s0", State.READY, 250)]
    # What discovery says now counts, not what it said when the server was taken out.
    keeper.apply_order("s0", True, 300)
    keeper.apply_update([listed("s0", State.DRAINING)], False)
    assert told(keeper.apply_order("s0", False, 400)) == [("s0", State.DRAINING, 400)]


def test_what_nobody_knows_is_not_known_and_the_sets_are_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_OUT_OF_SERVICE", 2)
    monkeypatch.setattr(module, "MAX_REMEMBERED_RETURNS", 1)
    keeper = make()
    assert not keeper.knows("s0")
    keeper.apply_update([listed(name) for name in NAMES], True)
    for name in NAMES[:2]:
        keeper.apply_order(name, True, 1)
    assert keeper.is_full("s2")
    assert not keeper.is_full("s0")
    for name in NAMES[:2]:
        keeper.apply_order(name, False, 2)
    assert list(keeper.orders) == ["s1"]


def test_of_two_processes_the_later_call_holds_in_both():
    one, two = make(), make()
    for keeper in (one, two):
        keeper.apply_update([listed("s0"), listed("s1")], True)
    one.apply_order("s0", True, 100)
    two.merge(one.orders)
    assert two.is_out("s0")
    two.apply_order("s0", False, 200)
    one.apply_order("s1", True, 210)
    assert told(one.merge(two.orders)) == [("s0", State.READY, 200)]
    two.merge(one.orders)
    assert one.orders == two.orders
    assert one.merge(two.orders) == []


class Machine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.keeper = make()
        self.now = 0
        self.list = {}
        self.banned = set()
        self.seen = {}  # name -> what the module was last told

    def hear(self, entries):
        for entry in entries:
            self.seen[entry.name] = entry.endpoint

    @rule(names=st.sets(st.sampled_from(NAMES)), state=st.sampled_from([State.READY, State.DRAINING]))
    def whole_list(self, names, state):
        self.list = dict.fromkeys(names, state)
        self.seen = {}
        self.hear(self.keeper.apply_update([listed(name, state) for name in names], True))

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from(list(State)))
    def change(self, name, state):
        self.list.pop(name, None)
        if state is not State.GONE:
            self.list[name] = state
        self.hear(self.keeper.apply_update([listed(name, state)], False))

    @rule(name=st.sampled_from(NAMES), out=st.booleans())
    def call(self, name, out):
        self.now += 1
        if self.keeper.knows(name):
            (self.banned.add if out else self.banned.discard)(name)
            self.hear(self.keeper.apply_order(name, out, self.now))

    @invariant()
    def the_module_is_told_what_the_rules_say(self):
        for name, state in self.list.items():
            wanted = State.DRAINING if name in self.banned else state
            assert self.seen[name].state is wanted
        assert set(self.keeper.out_of_service()) == self.banned


TestMaintenance = Machine.TestCase
TestMaintenance.settings = settings(
    max_examples=60, derandomize=True, database=None, stateful_step_count=30, deadline=None
)
