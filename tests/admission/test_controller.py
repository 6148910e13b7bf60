"""Which connections are admitted, kept and evicted: the order, the hard cases, and random events."""

from ipaddress import ip_network

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from dykefold.admission import controller, eviction, message_timeouts, working_set
from dykefold.admission.addresses import AddressLimits
from dykefold.admission.client_state import IDLE_STATES, ClientState
from dykefold.admission.controller import AdmissionController
from dykefold.admission.decision import RejectionReason
from dykefold.admission.limits import ConnectionLimits

KNOWN = (ip_network("10.1.0.0/16"),)


def make(connections=8, usable=100, **caps):
    return AdmissionController(ConnectionLimits(connections, usable), AddressLimits(**caps))


def make_limited(max_connections, **caps):
    return AdmissionController(ConnectionLimits(max_connections, 100), AddressLimits(**caps))


def enter(admission, host="10.0.0.1", now=0.0, state=ClientState.NEW):
    """A connection that is let in and gets into a state."""
    client, reason, _ = admission.connect(host, now)
    assert reason is None
    put(admission, client, state, now)
    return client


def put(admission, client, state, now):
    requests = {
        ClientState.NEW: 0,
        ClientState.READING: client.messages,
        ClientState.BUSY: client.messages + 1,
    }
    requests = requests.get(state, 2 if state is ClientState.IDLE_REUSED else 1)
    if state is ClientState.IDLE_REUSED:
        admission.update(client, ClientState.BUSY, False, 2, now)
    admission.update(client, state, state is ClientState.READING, max(requests, client.messages), now)
    assert client.state is state


@pytest.mark.parametrize(
    ("held", "goes"),
    [
        (
            [
                ClientState.BUSY,
                ClientState.IDLE_REUSED,
                ClientState.IDLE_ONCE,
                ClientState.NEW,
                ClientState.CLOSING,
            ],
            ClientState.CLOSING,
        ),
        (
            [ClientState.BUSY, ClientState.IDLE_REUSED, ClientState.IDLE_ONCE, ClientState.NEW],
            ClientState.NEW,
        ),
        ([ClientState.BUSY, ClientState.IDLE_REUSED, ClientState.IDLE_ONCE], ClientState.IDLE_ONCE),
        ([ClientState.BUSY, ClientState.IDLE_REUSED], ClientState.IDLE_REUSED),
    ],
)
def test_connections_are_evicted_in_order(held, goes):
    admission = make(connections=len(held))
    clients = {state: enter(admission, now=0.0, state=state) for state in held}
    client, reason, evicted = admission.connect("10.0.0.2", 10.0)
    assert client is not None
    assert reason is None
    assert evicted is clients[goes]
    assert evicted.state is None
    assert admission.count == len(held)


def test_a_stopped_message_is_evicted_before_idle_connections_and_a_recent_one_after_them():
    for age, goes in ((eviction.STALLED_MESSAGE_S, ClientState.READING), (0.1, ClientState.IDLE_REUSED)):
        admission = make(connections=2)
        clients = {
            state: enter(admission, now=0.0, state=state)
            for state in (ClientState.IDLE_REUSED, ClientState.READING)
        }
        assert admission.connect("10.0.0.2", age)[2] is clients[goes]


def test_a_message_that_keeps_coming_has_not_stopped():
    """Guards clients that need two seconds for a head: four of five were evicted when many connected."""
    admission = make(connections=2)
    idle, slow = (
        enter(admission, now=0.0, state=ClientState.IDLE_REUSED),
        enter(admission, now=0.0, state=ClientState.READING),
    )
    for turn in range(1, 8):
        admission.update(slow, ClientState.READING, True, 0, 0.3 * turn)
    assert admission.connect("10.0.0.2", 2.2)[2] is idle


def test_youngest_message_of_the_largest_address_is_evicted_last():
    admission = make(connections=4)
    enter(admission, "10.0.0.9", 0.0, ClientState.READING)
    greedy = [enter(admission, "10.0.0.1", 0.1 * n, ClientState.READING) for n in range(3)]
    assert admission.connect("10.0.0.2", 0.3)[2] is greedy[-1]


def test_busy_connections_are_never_evicted():
    admission = make(connections=3)
    for _ in range(3):
        enter(admission, state=ClientState.BUSY)
    assert admission.connect("10.1.0.1", 9.0) == (None, RejectionReason.ALL_CONNECTIONS, None)
    assert admission.evict(9.0) is None


def test_a_new_connection_is_spared_for_a_moment_unless_there_is_a_flood():
    admission = make(connections=8)
    kept = [enter(admission, now=0.0, state=ClientState.IDLE_REUSED) for _ in range(7)]
    young = enter(admission, now=1.0)
    assert admission.connect("10.0.0.2", 1.0)[2] is kept[0]
    admission = make(connections=8)
    for _ in range(4):
        enter(admission, now=0.0, state=ClientState.IDLE_REUSED)
    young = [enter(admission, now=1.0) for _ in range(4)]
    assert admission.connect("10.0.0.2", 1.0)[2] is young[0]


@pytest.mark.parametrize(
    "state",
    [
        ClientState.CLOSING,
        ClientState.NEW,
        ClientState.IDLE_ONCE,
        ClientState.IDLE_REUSED,
        ClientState.READING,
    ],
)
def test_connections_with_unread_input_are_not_evicted_and_the_checks_are_bounded(state):
    admission = make(connections=40)
    clients = [enter(admission, f"10.0.0.{n}", 0.0, state) for n in range(40)]
    looked = []

    def asks(client):
        looked.append(client)
        return client not in clients[-1:]

    assert admission.connect("10.0.1.1", 9.0, asks) == (None, RejectionReason.ALL_CONNECTIONS, None)
    assert len(looked) == len(set(looked)) == eviction.MAX_SKIPPED + 1
    # The next newcomers look at others: the one that has not come back is found.
    found = [admission.connect("10.0.1.1", 9.0, lambda one: one is not clients[3])[2] for _ in range(4)]
    assert found.count(clients[3]) == 1
    assert found.count(None) == 3
    assert all(client.state is state for client in clients if client is not clients[3])
    assert admission.count == 40


def test_thousands_of_new_connections_of_one_address_are_evicted_before_one_of_another():
    admission = make(connections=50)
    other = enter(admission, "10.0.0.2")
    for number in range(5000):
        client, _, evicted = admission.connect("10.0.0.1", 0.001 * number)
        assert client is not None
        assert evicted is not other
    assert admission.count == 50
    assert other.state is ClientState.NEW


def test_caps_on_connections_of_one_address():
    admission = make_limited(50, connections=3)
    first = [enter(admission, "10.0.0.1") for _ in range(3)]
    assert admission.connect("10.0.0.1", 0.0) == (None, RejectionReason.CONNECTIONS_OF_ADDRESS, None)
    enter(admission, "10.0.0.2")
    admission.remove(first[0])
    enter(admission, "10.0.0.1")


def test_a_known_address_may_stand_for_a_whole_site_behind_nat():
    admission = make_limited(50, connections=3, known_connections=40, known=KNOWN)
    for _ in range(40):
        enter(admission, "10.1.0.1")
    assert admission.connect("10.1.0.1", 0.0)[1] is RejectionReason.CONNECTIONS_OF_ADDRESS


def test_opening_and_closing_as_fast_as_it_can_does_not_renew_the_cap():
    admission = make_limited(50, new_per_s=10.0, new_burst=5.0)
    let_in = 0
    for number in range(1000):
        client, reason, _ = admission.connect("10.0.0.1", number * 0.001)
        if client is not None:
            let_in += 1
            admission.remove(client)
        else:
            assert reason is RejectionReason.NEW_CONNECTIONS_OF_ADDRESS
    assert let_in == 5 + 9  # the burst, then ten a second
    assert admission.count == 0
    assert not admission.addresses.active


def test_a_connection_rejected_at_the_limit_of_all_counts_towards_the_rate():
    admission = make_limited(1, new_per_s=1.0, new_burst=3.0)
    enter(admission, "10.0.0.9", state=ClientState.BUSY)
    reasons = [admission.connect("10.0.0.1", 0.0)[1] for _ in range(5)]
    assert reasons == [RejectionReason.ALL_CONNECTIONS] * 3 + [RejectionReason.NEW_CONNECTIONS_OF_ADDRESS] * 2


def test_known_clients_that_connect_together_after_a_restart_are_all_admitted():
    admission = make_limited(60, new_per_s=1.0, new_burst=1.0, known=KNOWN, reserve=30)
    for number in range(60):  # unknown clients first, as fast as they can
        admission.connect(f"10.0.0.{number}", 0.0)
    assert admission.eviction.groups[False].count == 30
    for _ in range(60):  # all behind one address
        assert admission.connect("10.1.0.1", 0.0)[0] is not None
    assert admission.eviction.groups[True].count == 60
    assert not admission.eviction.groups[False].count


def test_unknown_clients_never_hold_the_reserve_nor_evict_known_ones():
    admission = make_limited(10, known=KNOWN, reserve=4)
    known = [enter(admission, "10.1.0.1", state=ClientState.IDLE_REUSED) for _ in range(4)]
    for number in range(100):
        client, _, evicted = admission.connect(f"10.0.0.{number}", 1.0 + number)
        assert client is not None
        assert evicted not in known
    assert admission.eviction.groups[False].count == 6
    busy = make_limited(10, known=KNOWN, reserve=4)
    for number in range(6):
        enter(busy, f"10.0.0.{number}", state=ClientState.BUSY)
    assert (
        busy.connect("10.0.0.99", 1.0)[1] is RejectionReason.ALL_CONNECTIONS
    )  # four connections are left, for known clients
    assert busy.connect("10.1.0.1", 1.0)[0] is not None


def test_a_reserve_of_everything_still_admits_one_unknown_client():
    assert make_limited(5, reserve=100).connect("10.0.0.1", 0.0)[0] is not None


def test_learned_address_that_floods_becomes_unknown():
    admission = make_limited(
        40, learn_requests=50, learn_after_s=60.0, connections=8, known_connections=8, reserve=8
    )
    good = enter(admission, "10.0.0.1")
    for second in range(70):
        admission.open_request(good, float(second))
        admission.close_request(good, True, second + 0.1)
    assert good.address.known
    outcomes = [admission.connect("10.0.0.1", 70.0)[1] for _ in range(20)]
    assert outcomes.count(RejectionReason.CONNECTIONS_OF_ADDRESS) == 13
    assert not good.address.known
    for number in range(100):  # what it holds counts as an unknown client's from the next connection on
        admission.connect(f"10.0.1.{number}", 71.0)
    assert admission.eviction.groups[False].count <= 32


def test_caps_on_open_requests_and_unfinished_bytes():
    admission = make_limited(10, open_requests=2, unfinished_bytes=1000)
    one, two = enter(admission), enter(admission)
    assert admission.open_request(one, 0.0) is None
    assert admission.open_request(two, 0.0) is None
    assert admission.open_request(two, 0.0) is RejectionReason.OPEN_REQUESTS_OF_ADDRESS
    admission.close_request(one, True, 1.0)
    assert admission.open_request(two, 1.0) is None
    assert admission.reserve_unfinished(one, 600, 0.0)
    assert not admission.reserve_unfinished(two, 600, 0.0)
    admission.release_unfinished(one, 600)
    assert admission.reserve_unfinished(two, 600, 0.0)


def test_address_is_remembered_until_its_last_request_ends():
    admission = make(open_requests=1)
    client = enter(admission)
    admission.open_request(client, 0.0)
    admission.remove(client)
    again = enter(admission)
    assert again.address is client.address
    assert admission.open_request(again, 0.0) is RejectionReason.OPEN_REQUESTS_OF_ADDRESS
    admission.close_request(client, False, 1.0)
    admission.remove(again)
    assert not admission.addresses.active


def test_idle_connections_beyond_the_working_set_are_closed_and_never_reused_ones_first():
    admission = make(connections=400, usable=120)
    reused = [enter(admission, now=0.0, state=ClientState.IDLE_REUSED) for _ in range(10)]
    once = [enter(admission, now=0.0, state=ClientState.IDLE_ONCE) for _ in range(100)]
    assert admission.remove_unneeded(0.01) == []  # they may come back yet
    gone = []
    while found := admission.remove_unneeded(30.0):
        assert len(found) <= controller.MAX_CLOSED_PER_EVENT
        gone += found
    # Ten were open at once of late: the working set is twice that and a few.
    assert gone == once[: len(gone)]
    assert admission.working_set.with_requests == 2 * 1 + working_set.MIN_CONNECTIONS
    assert all(client.state is ClientState.IDLE_REUSED for client in reused)


def test_an_idle_connection_with_unread_input_stays_and_the_others_are_closed():
    admission = make(connections=400, usable=120)
    once = [enter(admission, now=0.0, state=ClientState.IDLE_ONCE) for _ in range(100)]
    back = set(once[:6])
    gone = []
    for _ in range(100):  # each asks for some, however many of the first have come back
        found = admission.remove_unneeded(30.0, back.__contains__)
        assert len(found) <= controller.MAX_CLOSED_PER_EVENT
        gone += found
    assert not back.intersection(gone)
    assert len(gone) == 100 - admission.working_set.with_requests
    assert admission.working_set.with_requests == admission.working_set.limit


def test_idle_connections_within_the_working_set_stay():
    admission = make(connections=400, usable=120)
    clients = [enter(admission, now=0.0, state=ClientState.BUSY) for _ in range(30)]
    for client in clients:
        admission.update(client, ClientState.IDLE_ONCE, False, 1, 0.1)
    assert admission.remove_unneeded(1.9) == []


def test_the_gap_that_clients_leave_is_learned():
    admission = make(connections=400, usable=20)
    client = enter(admission, state=ClientState.IDLE_ONCE)
    now = 0.0
    for number in range(2, 200):
        now += 0.5  # slow clients
        admission.update(client, ClientState.BUSY, False, number, now)
        admission.update(client, ClientState.IDLE_REUSED, False, number, now)
    assert 0.45 < admission.request_gaps.mean_s < 0.55
    for _ in range(50):
        enter(admission, now=now, state=ClientState.IDLE_ONCE)
    assert admission.remove_unneeded(now + 0.4) == []
    assert admission.remove_unneeded(now + 2.0)


def test_a_lower_limit_evicts_all_connections_but_busy_ones():
    admission = make(connections=40)
    busy = [enter(admission, state=ClientState.BUSY) for _ in range(10)]
    for _ in range(30):
        enter(admission, state=ClientState.IDLE_REUSED)
    assert len(admission.resize(ConnectionLimits(15, 5), AddressLimits(), 1.0)) == 25
    assert len(admission.resize(ConnectionLimits(5, 5), AddressLimits(), 1.0)) == 5
    assert admission.count == 10
    assert all(client.state is ClientState.BUSY for client in busy)
    assert admission.connect("10.0.0.9", 1.0)[1] is RejectionReason.ALL_CONNECTIONS


def test_messages_and_idle_connections_have_a_timeout():
    admission = make(connections=20)
    silent, reading = enter(admission, now=0.0), enter(admission, now=1.0, state=ClientState.READING)
    idle = enter(admission, now=0.5, state=ClientState.IDLE_ONCE)
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S - 0.1) == []
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S) == [silent]
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S) == []  # told once
    admission.message_timeouts.restart(silent, 2.0)
    assert admission.message_timeouts.pop_overdue(1.1 + message_timeouts.MAX_HEAD_S) == [reading]
    assert admission.message_timeouts.pop_overdue(2.1 + message_timeouts.MAX_HEAD_S) == [silent]
    assert admission.find_idle_expired(0.4 + controller.MAX_IDLE_S) == []
    assert admission.find_idle_expired(2.5) == [idle]


def test_a_body_is_late_by_the_rate_at_which_it_comes():
    """Guards honest clients that are slow, and everybody else against those that stop or trickle."""
    admission = make(connections=20)
    slow, stopped, trickles = (enter(admission, now=0.0, state=ClientState.READING) for _ in range(3))
    last = {slow: 0.0, stopped: 0.0, trickles: 0.0}
    now = 0.0
    while now < 20.0:
        now += 0.25
        for client, size in ((slow, 16_000), (stopped, 60_000 if now < 1.0 else 0), (trickles, 1_000)):
            if size and client.state is not None:
                admission.message_timeouts.record_body(client, size, now)
        for client in admission.message_timeouts.pop_overdue(now):
            last[client] = now
            admission.remove(client)
    assert not last[slow]
    assert message_timeouts.MAX_HEAD_S <= last[stopped] <= 3.0
    assert message_timeouts.MAX_HEAD_S <= last[trickles] <= 3.0
    # A body that nobody reads, since its server is slow, owes nothing; nor does the next message for it.
    admission.message_timeouts.restart(slow, now)
    assert admission.message_timeouts.pop_overdue(now + 2.0) == []
    admission.update(slow, ClientState.BUSY, False, 1, now + 2.0)
    assert admission.message_timeouts.pop_overdue(now + 9.0) == []
    assert not admission.message_timeouts.within_body_time


class AdmissionMachine(RuleBasedStateMachine):
    """Random connections of random addresses; after every step the rules hold and the counts are true."""

    @initialize(
        max_connections=st.integers(2, 12),
        reserve=st.integers(0, 4),
        cap=st.one_of(st.none(), st.integers(1, 5)),
        usable=st.integers(2, 12),
    )
    def begin(self, max_connections, reserve, cap, usable):
        self.admission = AdmissionController(
            ConnectionLimits(max_connections, usable),
            AddressLimits(known=KNOWN, reserve=reserve, connections=cap, open_requests=3),
        )
        self.now = 0.0
        self.allowed = max_connections
        self.clients = []

    @rule(site=st.integers(0, 1), host=st.integers(0, 3))
    def connect(self, site, host):
        before = {client: client.state for client in self.clients}
        client, reason, evicted = self.admission.connect(f"10.{site}.0.{host}", self.now)
        assert (client is None) == (reason is not None)
        if evicted is not None:
            assert before[evicted] is not ClientState.BUSY
            assert evicted.state is None
            assert site == 1 or not evicted.known, "an unknown client evicted a known one"
            self.clients.remove(evicted)
        if client is not None:
            self.clients.append(client)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 99), state=st.sampled_from(list(ClientState)), more=st.booleans())
    def place(self, pick, state, more):
        client = self.clients[pick % len(self.clients)]
        requests = client.messages + more
        if state in IDLE_STATES or state is ClientState.BUSY:
            requests = max(requests, 1)
        elif state is ClientState.NEW and requests:
            state = ClientState.IDLE_ONCE
        self.admission.update(client, state, state is ClientState.READING, requests, self.now)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 99))
    def leave(self, pick):
        self.admission.remove(self.clients.pop(pick % len(self.clients)))

    @rule(passed=st.floats(0.0, 1.5))
    def wait(self, passed):
        self.now += passed
        for client in self.admission.remove_unneeded(self.now):
            self.clients.remove(client)
        for client in self.admission.find_idle_expired(self.now):
            self.clients.remove(client)
            self.admission.remove(client)
        self.admission.message_timeouts.pop_overdue(self.now)

    @rule(max_connections=st.integers(2, 12))
    def resize(self, max_connections):
        for client in self.admission.resize(
            ConnectionLimits(max_connections, max_connections), self.admission.address_limits, self.now
        ):
            self.clients.remove(client)
        self.allowed = max(max_connections, len(self.clients))  # requests are open on all beyond it

    @invariant()
    def counts_are_true(self):
        if not hasattr(self, "clients"):
            return
        admission = self.admission
        assert admission.count == len(self.clients)
        movable = [client for client in self.clients if client.state is not ClientState.BUSY]
        self.allowed = max(admission.limits.connections, min(self.allowed, admission.count))
        assert admission.count <= self.allowed
        assert admission.working_set.busy == len(self.clients) - len(movable)
        assert admission.working_set.with_requests == sum(1 for client in self.clients if client.messages)
        assert len(admission.message_timeouts.within_head_time) <= len(self.clients)
        for known, group in admission.eviction.groups.items():
            queued = [client for queue in group.queues for client in queue.added_at_s]
            assert sorted(map(id, queued)) == sorted(id(c) for c in movable if c.known is known)
        for address in admission.addresses.active.values():
            assert address.connections == sum(1 for c in self.clients if c.address is address) > 0

    def teardown(self):
        for client in getattr(self, "clients", []):
            self.admission.remove(client)
        if hasattr(self, "admission"):
            assert not self.admission.count
            assert not self.admission.message_timeouts.within_head_time
            assert not self.admission.working_set.with_requests
            assert not self.admission.addresses.active


AdmissionMachine.TestCase.settings = limits(max_examples=150, stateful_step_count=60, derandomize=True)
TestAdmission = AdmissionMachine.TestCase
