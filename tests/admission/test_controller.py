"""Admission, eviction and closing of client connections: eviction order, edge cases, and random events."""

from ipaddress import ip_network

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from dykefold.admission import controller, eviction, message_timeouts, working_set
from dykefold.admission.addresses import AddressLimits
from dykefold.admission.client_state import IDLE_STATES, ClientState
from dykefold.admission.controller import AdmissionController
from dykefold.admission.decision import RejectionReason
from dykefold.admission.limits import ConnectionLimits

KNOWN = (ip_network("10.1.0.0/16"),)


def make_controller(max_connections=8, max_with_requests=100, **address_limits):
    return AdmissionController(
        ConnectionLimits(max_connections, max_with_requests), AddressLimits(**address_limits)
    )


def make_with_address_limits(max_connections, **address_limits):
    return AdmissionController(ConnectionLimits(max_connections, 100), AddressLimits(**address_limits))


def admit(admission, host="10.0.0.1", now_s=0.0, state=ClientState.NEW):
    """Admit a connection and put it into a state."""
    client, reason, _ = admission.connect(host, now_s)
    assert reason is None
    set_state(admission, client, state, now_s)
    return client


def set_state(admission, client, state, now_s):
    messages = {
        ClientState.NEW: 0,
        ClientState.READING: client.messages,
        ClientState.BUSY: client.messages + 1,
    }
    messages = messages.get(state, 2 if state is ClientState.IDLE_REUSED else 1)
    if state is ClientState.IDLE_REUSED:
        admission.update(client, ClientState.BUSY, False, 2, now_s)
    admission.update(client, state, state is ClientState.READING, max(messages, client.messages), now_s)
    assert client.state is state


@pytest.mark.parametrize(
    ("states", "evicted_state"),
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
def test_connections_are_evicted_in_order_of_state(states, evicted_state):
    admission = make_controller(max_connections=len(states))
    clients = {state: admit(admission, now_s=0.0, state=state) for state in states}
    client, reason, evicted = admission.connect("10.0.0.2", 10.0)
    assert client is not None
    assert reason is None
    assert evicted is clients[evicted_state]
    assert evicted.state is None
    assert admission.count == len(states)


def test_stalled_message_is_evicted_before_idle_connections_and_recent_one_after():
    for age_s, evicted_state in (
        (eviction.STALLED_MESSAGE_S, ClientState.READING),
        (0.1, ClientState.IDLE_REUSED),
    ):
        admission = make_controller(max_connections=2)
        clients = {
            state: admit(admission, now_s=0.0, state=state)
            for state in (ClientState.IDLE_REUSED, ClientState.READING)
        }
        assert admission.connect("10.0.0.2", age_s)[2] is clients[evicted_state]


def test_slowly_arriving_message_is_not_stalled():
    """Clients that need two seconds for a head were evicted, four of five of them, when many connected."""
    admission = make_controller(max_connections=2)
    idle, slow = (
        admit(admission, now_s=0.0, state=ClientState.IDLE_REUSED),
        admit(admission, now_s=0.0, state=ClientState.READING),
    )
    for turn in range(1, 8):
        admission.update(slow, ClientState.READING, True, 0, 0.3 * turn)
    assert admission.connect("10.0.0.2", 2.2)[2] is idle


def test_youngest_message_of_the_largest_address_is_evicted_last():
    admission = make_controller(max_connections=4)
    admit(admission, "10.0.0.9", 0.0, ClientState.READING)
    of_largest = [admit(admission, "10.0.0.1", 0.1 * n, ClientState.READING) for n in range(3)]
    assert admission.connect("10.0.0.2", 0.3)[2] is of_largest[-1]


def test_busy_connections_are_never_evicted():
    admission = make_controller(max_connections=3)
    for _ in range(3):
        admit(admission, state=ClientState.BUSY)
    assert admission.connect("10.1.0.1", 9.0) == (None, RejectionReason.ALL_CONNECTIONS, None)
    assert admission.evict(9.0) is None


def test_new_connection_has_grace_period_except_in_flood():
    admission = make_controller(max_connections=8)
    idle = [admit(admission, now_s=0.0, state=ClientState.IDLE_REUSED) for _ in range(7)]
    new = admit(admission, now_s=1.0)
    assert admission.connect("10.0.0.2", 1.0)[2] is idle[0]
    admission = make_controller(max_connections=8)
    for _ in range(4):
        admit(admission, now_s=0.0, state=ClientState.IDLE_REUSED)
    new = [admit(admission, now_s=1.0) for _ in range(4)]
    assert admission.connect("10.0.0.2", 1.0)[2] is new[0]


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
def test_connections_with_unread_input_are_not_evicted_and_checks_are_bounded(state):
    admission = make_controller(max_connections=40)
    clients = [admit(admission, f"10.0.0.{n}", 0.0, state) for n in range(40)]
    checked = []

    def has_unread_input(client):
        checked.append(client)
        return client not in clients[-1:]

    assert admission.connect("10.0.1.1", 9.0, has_unread_input) == (
        None,
        RejectionReason.ALL_CONNECTIONS,
        None,
    )
    assert len(checked) == len(set(checked)) == eviction.MAX_SKIPPED + 1
    # The next new connections check other clients: the only one without unread input is evicted.
    evicted = [
        admission.connect("10.0.1.1", 9.0, lambda client: client is not clients[3])[2] for _ in range(4)
    ]
    assert evicted.count(clients[3]) == 1
    assert evicted.count(None) == 3
    assert all(client.state is state for client in clients if client is not clients[3])
    assert admission.count == 40


def test_flooding_address_loses_its_own_connections_first():
    admission = make_controller(max_connections=50)
    other = admit(admission, "10.0.0.2")
    for number in range(5000):
        client, _, evicted = admission.connect("10.0.0.1", 0.001 * number)
        assert client is not None
        assert evicted is not other
    assert admission.count == 50
    assert other.state is ClientState.NEW


def test_connections_per_address_are_limited():
    admission = make_with_address_limits(50, connections=3)
    first = [admit(admission, "10.0.0.1") for _ in range(3)]
    assert admission.connect("10.0.0.1", 0.0) == (None, RejectionReason.CONNECTIONS_OF_ADDRESS, None)
    admit(admission, "10.0.0.2")
    admission.remove(first[0])
    admit(admission, "10.0.0.1")


def test_known_address_has_its_own_connection_limit():
    admission = make_with_address_limits(50, connections=3, known_connections=40, known=KNOWN)
    for _ in range(40):
        admit(admission, "10.1.0.1")
    assert admission.connect("10.1.0.1", 0.0)[1] is RejectionReason.CONNECTIONS_OF_ADDRESS


def test_rapid_reconnecting_does_not_reset_connection_rate_limit():
    admission = make_with_address_limits(50, new_per_s=10.0, new_burst=5.0)
    admitted = 0
    for number in range(1000):
        client, reason, _ = admission.connect("10.0.0.1", number * 0.001)
        if client is not None:
            admitted += 1
            admission.remove(client)
        else:
            assert reason is RejectionReason.NEW_CONNECTIONS_OF_ADDRESS
    assert admitted == 5 + 9  # the burst, then ten per second
    assert admission.count == 0
    assert not admission.addresses.active


def test_connection_rejected_at_total_limit_counts_towards_rate():
    admission = make_with_address_limits(1, new_per_s=1.0, new_burst=3.0)
    admit(admission, "10.0.0.9", state=ClientState.BUSY)
    reasons = [admission.connect("10.0.0.1", 0.0)[1] for _ in range(5)]
    assert reasons == [RejectionReason.ALL_CONNECTIONS] * 3 + [RejectionReason.NEW_CONNECTIONS_OF_ADDRESS] * 2


def test_known_clients_reconnecting_after_restart_are_all_admitted():
    admission = make_with_address_limits(60, new_per_s=1.0, new_burst=1.0, known=KNOWN, reserve=30)
    for number in range(60):  # unknown clients first, all at once
        admission.connect(f"10.0.0.{number}", 0.0)
    assert admission.eviction.groups[False].count == 30
    for _ in range(60):  # all from one address
        assert admission.connect("10.1.0.1", 0.0)[0] is not None
    assert admission.eviction.groups[True].count == 60
    assert not admission.eviction.groups[False].count


def test_unknown_clients_neither_use_reserve_nor_evict_known_ones():
    admission = make_with_address_limits(10, known=KNOWN, reserve=4)
    known = [admit(admission, "10.1.0.1", state=ClientState.IDLE_REUSED) for _ in range(4)]
    for number in range(100):
        client, _, evicted = admission.connect(f"10.0.0.{number}", 1.0 + number)
        assert client is not None
        assert evicted not in known
    assert admission.eviction.groups[False].count == 6
    busy = make_with_address_limits(10, known=KNOWN, reserve=4)
    for number in range(6):
        admit(busy, f"10.0.0.{number}", state=ClientState.BUSY)
    assert (
        busy.connect("10.0.0.99", 1.0)[1] is RejectionReason.ALL_CONNECTIONS
    )  # four connections are left, reserved for known clients
    assert busy.connect("10.1.0.1", 1.0)[0] is not None


def test_reserve_above_limit_still_admits_one_unknown_client():
    assert make_with_address_limits(5, reserve=100).connect("10.0.0.1", 0.0)[0] is not None


def test_learned_address_that_floods_becomes_unknown():
    admission = make_with_address_limits(
        40, learn_requests=50, learn_after_s=60.0, connections=8, known_connections=8, reserve=8
    )
    learned = admit(admission, "10.0.0.1")
    for second in range(70):
        admission.open_request(learned, float(second))
        admission.close_request(learned, True, second + 0.1)
    assert learned.address.known
    outcomes = [admission.connect("10.0.0.1", 70.0)[1] for _ in range(20)]
    assert outcomes.count(RejectionReason.CONNECTIONS_OF_ADDRESS) == 13
    assert not learned.address.known
    for number in range(100):  # its next connections count as those of an unknown client
        admission.connect(f"10.0.1.{number}", 71.0)
    assert admission.eviction.groups[False].count <= 32


def test_open_requests_and_unfinished_bytes_per_address_are_limited():
    admission = make_with_address_limits(10, open_requests=2, unfinished_bytes=1000)
    one, two = admit(admission), admit(admission)
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
    admission = make_controller(open_requests=1)
    client = admit(admission)
    admission.open_request(client, 0.0)
    admission.remove(client)
    reconnected = admit(admission)
    assert reconnected.address is client.address
    assert admission.open_request(reconnected, 0.0) is RejectionReason.OPEN_REQUESTS_OF_ADDRESS
    admission.close_request(client, False, 1.0)
    admission.remove(reconnected)
    assert not admission.addresses.active


def test_idle_connections_beyond_working_set_are_closed_unused_ones_first():
    admission = make_controller(max_connections=400, max_with_requests=120)
    reused = [admit(admission, now_s=0.0, state=ClientState.IDLE_REUSED) for _ in range(10)]
    once = [admit(admission, now_s=0.0, state=ClientState.IDLE_ONCE) for _ in range(100)]
    assert admission.remove_unneeded(0.01) == []  # their clients may still send another request
    removed = []
    while batch := admission.remove_unneeded(30.0):
        assert len(batch) <= controller.MAX_CLOSED_PER_EVENT
        removed += batch
    # One was busy at a time: the working set is twice that, plus `MIN_CONNECTIONS`.
    assert removed == once[: len(removed)]
    assert admission.working_set.with_requests == 2 * 1 + working_set.MIN_CONNECTIONS
    assert all(client.state is ClientState.IDLE_REUSED for client in reused)


def test_idle_connection_with_unread_input_stays_open():
    admission = make_controller(max_connections=400, max_with_requests=120)
    once = [admit(admission, now_s=0.0, state=ClientState.IDLE_ONCE) for _ in range(100)]
    unread = set(once[:6])
    removed = []
    for _ in range(100):  # each call closes a few, although the first ones have unread input
        batch = admission.remove_unneeded(30.0, unread.__contains__)
        assert len(batch) <= controller.MAX_CLOSED_PER_EVENT
        removed += batch
    assert not unread.intersection(removed)
    assert len(removed) == 100 - admission.working_set.with_requests
    assert admission.working_set.with_requests == admission.working_set.limit


def test_idle_connections_within_working_set_stay_open():
    admission = make_controller(max_connections=400, max_with_requests=120)
    clients = [admit(admission, now_s=0.0, state=ClientState.BUSY) for _ in range(30)]
    for client in clients:
        admission.update(client, ClientState.IDLE_ONCE, False, 1, 0.1)
    assert admission.remove_unneeded(1.9) == []


def test_gap_between_requests_is_estimated():
    admission = make_controller(max_connections=400, max_with_requests=20)
    client = admit(admission, state=ClientState.IDLE_ONCE)
    now_s = 0.0
    for number in range(2, 200):
        now_s += 0.5  # a slow client
        admission.update(client, ClientState.BUSY, False, number, now_s)
        admission.update(client, ClientState.IDLE_REUSED, False, number, now_s)
    assert 0.45 < admission.request_gaps.mean_s < 0.55
    for _ in range(50):
        admit(admission, now_s=now_s, state=ClientState.IDLE_ONCE)
    assert admission.remove_unneeded(now_s + 0.4) == []
    assert admission.remove_unneeded(now_s + 2.0)


def test_lowered_limit_evicts_only_connections_that_are_not_busy():
    admission = make_controller(max_connections=40)
    busy = [admit(admission, state=ClientState.BUSY) for _ in range(10)]
    for _ in range(30):
        admit(admission, state=ClientState.IDLE_REUSED)
    assert len(admission.resize(ConnectionLimits(15, 5), AddressLimits(), 1.0)) == 25
    assert len(admission.resize(ConnectionLimits(5, 5), AddressLimits(), 1.0)) == 5
    assert admission.count == 10
    assert all(client.state is ClientState.BUSY for client in busy)
    assert admission.connect("10.0.0.9", 1.0)[1] is RejectionReason.ALL_CONNECTIONS


def test_messages_and_idle_connections_time_out():
    admission = make_controller(max_connections=20)
    silent, reading = admit(admission, now_s=0.0), admit(admission, now_s=1.0, state=ClientState.READING)
    idle = admit(admission, now_s=0.5, state=ClientState.IDLE_ONCE)
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S - 0.1) == []
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S) == [silent]
    assert admission.message_timeouts.pop_overdue(message_timeouts.MAX_HEAD_S) == []  # reported once
    admission.message_timeouts.restart(silent, 2.0)
    assert admission.message_timeouts.pop_overdue(1.1 + message_timeouts.MAX_HEAD_S) == [reading]
    assert admission.message_timeouts.pop_overdue(2.1 + message_timeouts.MAX_HEAD_S) == [silent]
    assert admission.find_idle_expired(0.4 + controller.MAX_IDLE_S) == []
    assert admission.find_idle_expired(2.5) == [idle]


def test_body_below_minimum_rate_times_out():
    """Slow clients that keep the minimum rate stay connected; those that stop or trickle are closed."""
    admission = make_controller(max_connections=20)
    slow, stopped, trickling = (admit(admission, now_s=0.0, state=ClientState.READING) for _ in range(3))
    overdue_at_s = {slow: 0.0, stopped: 0.0, trickling: 0.0}
    now_s = 0.0
    while now_s < 20.0:
        now_s += 0.25
        for client, size in ((slow, 16_000), (stopped, 60_000 if now_s < 1.0 else 0), (trickling, 1_000)):
            if size and client.state is not None:
                admission.message_timeouts.record_body(client, size, now_s)
        for client in admission.message_timeouts.pop_overdue(now_s):
            overdue_at_s[client] = now_s
            admission.remove(client)
    assert not overdue_at_s[slow]
    assert message_timeouts.MAX_HEAD_S <= overdue_at_s[stopped] <= 3.0
    assert message_timeouts.MAX_HEAD_S <= overdue_at_s[trickling] <= 3.0
    # A body that is not read, since its endpoint is slow, does not time out, nor does the next message.
    admission.message_timeouts.restart(slow, now_s)
    assert admission.message_timeouts.pop_overdue(now_s + 2.0) == []
    admission.update(slow, ClientState.BUSY, False, 1, now_s + 2.0)
    assert admission.message_timeouts.pop_overdue(now_s + 9.0) == []
    assert not admission.message_timeouts.body_timeouts


class AdmissionMachine(RuleBasedStateMachine):
    """Random connections from random addresses; after each step the rules hold and the counts are correct."""

    @initialize(
        max_connections=st.integers(2, 12),
        reserve=st.integers(0, 4),
        per_address=st.one_of(st.none(), st.integers(1, 5)),
        max_with_requests=st.integers(2, 12),
    )
    def create(self, max_connections, reserve, per_address, max_with_requests):
        self.admission = AdmissionController(
            ConnectionLimits(max_connections, max_with_requests),
            AddressLimits(known=KNOWN, reserve=reserve, connections=per_address, open_requests=3),
        )
        self.now_s = 0.0
        self.max_allowed = max_connections
        self.clients = []

    @rule(site=st.integers(0, 1), host=st.integers(0, 3))
    def connect(self, site, host):
        before = {client: client.state for client in self.clients}
        client, reason, evicted = self.admission.connect(f"10.{site}.0.{host}", self.now_s)
        assert (client is None) == (reason is not None)
        if evicted is not None:
            assert before[evicted] is not ClientState.BUSY
            assert evicted.state is None
            assert site == 1 or not evicted.known, "an unknown client evicted a known one"
            self.clients.remove(evicted)
        if client is not None:
            self.clients.append(client)

    @precondition(lambda self: self.clients)
    @rule(index=st.integers(0, 99), state=st.sampled_from(list(ClientState)), has_new_message=st.booleans())
    def change_state(self, index, state, has_new_message):
        client = self.clients[index % len(self.clients)]
        messages = client.messages + has_new_message
        if state in IDLE_STATES or state is ClientState.BUSY:
            messages = max(messages, 1)
        elif state is ClientState.NEW and messages:
            state = ClientState.IDLE_ONCE
        self.admission.update(client, state, state is ClientState.READING, messages, self.now_s)

    @precondition(lambda self: self.clients)
    @rule(index=st.integers(0, 99))
    def disconnect(self, index):
        self.admission.remove(self.clients.pop(index % len(self.clients)))

    @rule(elapsed_s=st.floats(0.0, 1.5))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s
        for client in self.admission.remove_unneeded(self.now_s):
            self.clients.remove(client)
        for client in self.admission.find_idle_expired(self.now_s):
            self.clients.remove(client)
            self.admission.remove(client)
        self.admission.message_timeouts.pop_overdue(self.now_s)

    @rule(max_connections=st.integers(2, 12))
    def resize(self, max_connections):
        for client in self.admission.resize(
            ConnectionLimits(max_connections, max_connections), self.admission.address_limits, self.now_s
        ):
            self.clients.remove(client)
        # Connections beyond the limit have open requests.
        self.max_allowed = max(max_connections, len(self.clients))

    @invariant()
    def counts_match_connections(self):
        if not hasattr(self, "clients"):
            return
        admission = self.admission
        assert admission.count == len(self.clients)
        evictable = [client for client in self.clients if client.state is not ClientState.BUSY]
        self.max_allowed = max(admission.limits.connections, min(self.max_allowed, admission.count))
        assert admission.count <= self.max_allowed
        assert admission.working_set.busy == len(self.clients) - len(evictable)
        assert admission.working_set.with_requests == sum(1 for client in self.clients if client.messages)
        assert len(admission.message_timeouts.head_timeouts) <= len(self.clients)
        for known, group in admission.eviction.groups.items():
            queued = [client for queue in group.queues for client in queue.added_at_s]
            assert sorted(map(id, queued)) == sorted(id(c) for c in evictable if c.known is known)
        for address in admission.addresses.active.values():
            assert address.connections == sum(1 for c in self.clients if c.address is address) > 0

    def teardown(self):
        for client in getattr(self, "clients", []):
            self.admission.remove(client)
        if hasattr(self, "admission"):
            assert not self.admission.count
            assert not self.admission.message_timeouts.head_timeouts
            assert not self.admission.working_set.with_requests
            assert not self.admission.addresses.active


AdmissionMachine.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=60, derandomize=True
)
TestAdmission = AdmissionMachine.TestCase
