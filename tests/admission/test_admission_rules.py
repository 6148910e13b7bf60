"""Who is let in, kept and let go: tables of the order, the hard cases, and a machine of random events."""

from ipaddress import ip_network

import pytest
from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from dykefold.admission import rules
from dykefold.admission.addresses import Caps
from dykefold.admission.rules import Admission, Reason, Share, State

KNOWN = (ip_network("10.1.0.0/16"),)


def make(connections=8, usable=100, **caps):
    return Admission(Share(connections, usable), Caps(**caps))


def cap(most, **caps):
    return Admission(Share(most, 100), Caps(**caps))


def enter(admission, host="10.0.0.1", now=0.0, state=State.SILENT):
    """A connection that is let in and gets into a state."""
    client, reason, _ = admission.connect(host, now)
    assert reason is None
    put(admission, client, state, now)
    return client


def put(admission, client, state, now):
    requests = {State.SILENT: 0, State.READING: client.requests, State.BUSY: client.requests + 1}
    requests = requests.get(state, 2 if state is State.KEPT else 1)
    if state is State.KEPT:
        admission.place(client, State.BUSY, False, 2, now)
    admission.place(client, state, state is State.READING, max(requests, client.requests), now)
    assert client.state is state


@pytest.mark.parametrize(
    ("held", "goes"),
    [
        ([State.BUSY, State.KEPT, State.ONCE, State.SILENT, State.LEAVING], State.LEAVING),
        ([State.BUSY, State.KEPT, State.ONCE, State.SILENT], State.SILENT),
        ([State.BUSY, State.KEPT, State.ONCE], State.ONCE),
        ([State.BUSY, State.KEPT], State.KEPT),
    ],
)
def test_the_order_in_which_connections_are_let_go(held, goes):
    admission = make(connections=len(held))
    clients = {state: enter(admission, now=0.0, state=state) for state in held}
    client, reason, victim = admission.connect("10.0.0.2", 10.0)
    assert client is not None and reason is None and victim is clients[goes]
    assert victim.state is None and admission.count == len(held)


def test_a_message_that_stopped_goes_before_idle_ones_and_a_fresh_one_after_them():
    for age, goes in ((rules.STOPPED_AFTER_S, State.READING), (0.1, State.KEPT)):
        admission = make(connections=2)
        clients = {state: enter(admission, now=0.0, state=state) for state in (State.KEPT, State.READING)}
        assert admission.connect("10.0.0.2", age)[2] is clients[goes]


def test_a_message_that_keeps_coming_has_not_stopped():
    """Guards clients that need two seconds for a head: four of five were let go when a crowd came."""
    admission = make(connections=2)
    idle, slow = enter(admission, now=0.0, state=State.KEPT), enter(admission, now=0.0, state=State.READING)
    for turn in range(1, 8):
        admission.place(slow, State.READING, True, 0, 0.3 * turn)
    assert admission.connect("10.0.0.2", 2.2)[2] is idle


def test_the_youngest_message_of_the_greediest_address_is_the_last_to_go():
    admission = make(connections=4)
    enter(admission, "10.0.0.9", 0.0, State.READING)
    greedy = [enter(admission, "10.0.0.1", 0.1 * n, State.READING) for n in range(3)]
    assert admission.connect("10.0.0.2", 0.3)[2] is greedy[-1]


def test_requests_and_answers_on_their_way_are_never_let_go():
    admission = make(connections=3)
    for _ in range(3):
        enter(admission, state=State.BUSY)
    assert admission.connect("10.1.0.1", 9.0) == (None, Reason.FULL, None)
    assert admission.release(9.0) is None


def test_a_silent_one_may_be_about_to_ask_unless_it_is_a_flood():
    admission = make(connections=8)
    kept = [enter(admission, now=0.0, state=State.KEPT) for _ in range(7)]
    young = enter(admission, now=1.0)
    assert admission.connect("10.0.0.2", 1.0)[2] is kept[0]
    admission = make(connections=8)
    for _ in range(4):
        enter(admission, now=0.0, state=State.KEPT)
    young = [enter(admission, now=1.0) for _ in range(4)]
    assert admission.connect("10.0.0.2", 1.0)[2] is young[0]


@pytest.mark.parametrize("state", [State.LEAVING, State.SILENT, State.ONCE, State.KEPT, State.READING])
def test_one_that_has_come_back_makes_no_room_and_the_looks_are_bounded(state):
    admission = make(connections=40)
    clients = [enter(admission, f"10.0.0.{n}", 0.0, state) for n in range(40)]
    looked = []

    def asks(client):
        looked.append(client)
        return client not in clients[-1:]

    assert admission.connect("10.0.1.1", 9.0, asks) == (None, Reason.FULL, None)
    assert len(looked) == len(set(looked)) == rules.PASSED_OVER_MOST + 1
    # The next newcomers look at others: the one that has not come back is found.
    found = [admission.connect("10.0.1.1", 9.0, lambda one: one is not clients[3])[2] for _ in range(4)]
    assert found.count(clients[3]) == 1 and found.count(None) == 3
    assert (
        all(client.state is state for client in clients if client is not clients[3]) and admission.count == 40
    )


def test_thousands_of_silent_connections_of_one_address_go_before_a_single_one_of_another():
    admission = make(connections=50)
    desk = enter(admission, "10.0.0.2")
    for number in range(5000):
        client, _, victim = admission.connect("10.0.0.1", 0.001 * number)
        assert client is not None and victim is not desk
    assert admission.count == 50 and desk.state is State.SILENT


def test_caps_on_connections_of_one_address():
    admission = cap(50, connections=3)
    first = [enter(admission, "10.0.0.1") for _ in range(3)]
    assert admission.connect("10.0.0.1", 0.0) == (None, Reason.CONNECTIONS, None)
    enter(admission, "10.0.0.2")
    admission.leave(first[0])
    enter(admission, "10.0.0.1")


def test_a_known_address_may_stand_for_a_whole_site_behind_nat():
    admission = cap(50, connections=3, known_connections=40, known=KNOWN)
    for _ in range(40):
        enter(admission, "10.1.0.1")
    assert admission.connect("10.1.0.1", 0.0)[1] is Reason.CONNECTIONS


def test_opening_and_closing_as_fast_as_it_can_does_not_renew_the_cap():
    admission = cap(50, new_per_s=10.0, new_burst=5.0)
    let_in = 0
    for number in range(1000):
        client, reason, _ = admission.connect("10.0.0.1", number * 0.001)
        if client is not None:
            let_in += 1
            admission.leave(client)
        else:
            assert reason is Reason.NEW_CONNECTIONS
    assert let_in == 5 + 9  # the burst, then ten a second
    assert admission.count == 0 and not admission.addresses.active


def test_who_is_refused_for_want_of_room_has_spent_its_new_connection_all_the_same():
    admission = cap(1, new_per_s=1.0, new_burst=3.0)
    enter(admission, "10.0.0.9", state=State.BUSY)
    reasons = [admission.connect("10.0.0.1", 0.0)[1] for _ in range(5)]
    assert reasons == [Reason.FULL] * 3 + [Reason.NEW_CONNECTIONS] * 2


def test_known_desks_that_come_together_after_a_restart_are_all_let_in():
    admission = cap(60, new_per_s=1.0, new_burst=1.0, known=KNOWN, reserve=30)
    for number in range(60):  # strangers first, as fast as they can
        admission.connect(f"10.0.0.{number}", 0.0)
    assert admission.sides[False].count == 30
    for _ in range(60):  # all behind one address
        assert admission.connect("10.1.0.1", 0.0)[0] is not None
    assert admission.sides[True].count == 60 and not admission.sides[False].count


def test_strangers_never_hold_the_reserve_nor_push_out_known_desks():
    admission = cap(10, known=KNOWN, reserve=4)
    desks = [enter(admission, "10.1.0.1", state=State.KEPT) for _ in range(4)]
    for number in range(100):
        client, _, victim = admission.connect(f"10.0.0.{number}", 1.0 + number)
        assert client is not None and victim not in desks
    assert admission.sides[False].count == 6
    busy = cap(10, known=KNOWN, reserve=4)
    for number in range(6):
        enter(busy, f"10.0.0.{number}", state=State.BUSY)
    assert busy.connect("10.0.0.99", 1.0)[1] is Reason.FULL  # four places are free, for known desks
    assert busy.connect("10.1.0.1", 1.0)[0] is not None


def test_a_reserve_of_everything_still_lets_one_stranger_in():
    assert cap(5, reserve=100).connect("10.0.0.1", 0.0)[0] is not None


def test_who_behaves_well_for_a_minute_and_then_floods_is_a_stranger_again():
    admission = cap(40, learn_requests=50, learn_after_s=60.0, connections=8, known_connections=8, reserve=8)
    good = enter(admission, "10.0.0.1")
    for second in range(70):
        admission.open_request(good, float(second))
        admission.close_request(good, True, second + 0.1)
    assert good.address.known
    outcomes = [admission.connect("10.0.0.1", 70.0)[1] for _ in range(20)]
    assert outcomes.count(Reason.CONNECTIONS) == 13 and not good.address.known
    for number in range(100):  # what it holds counts as a stranger's from the next connection on
        admission.connect(f"10.0.1.{number}", 71.0)
    assert admission.sides[False].count <= 32


def test_caps_on_open_requests_and_unfinished_bytes():
    admission = cap(10, open_requests=2, unfinished_bytes=1000)
    one, two = enter(admission), enter(admission)
    assert admission.open_request(one, 0.0) is None and admission.open_request(two, 0.0) is None
    assert admission.open_request(two, 0.0) is Reason.OPEN_REQUESTS
    admission.close_request(one, True, 1.0)
    assert admission.open_request(two, 1.0) is None
    assert admission.hold(one, 600, 0.0) and not admission.hold(two, 600, 0.0)
    admission.free(one, 600)
    assert admission.hold(two, 600, 0.0)


def test_an_address_whose_request_outlives_its_connection_is_kept_until_it_ends():
    admission = make(open_requests=1)
    client = enter(admission)
    admission.open_request(client, 0.0)
    admission.leave(client)
    again = enter(admission)
    assert again.address is client.address and admission.open_request(again, 0.0) is Reason.OPEN_REQUESTS
    admission.close_request(client, False, 1.0)
    admission.leave(again)
    assert not admission.addresses.active


def test_idle_ones_beyond_the_working_set_go_and_never_reused_ones_first():
    admission = make(connections=400, usable=120)
    reused = [enter(admission, now=0.0, state=State.KEPT) for _ in range(10)]
    once = [enter(admission, now=0.0, state=State.ONCE) for _ in range(100)]
    assert admission.surplus(0.01) == []  # they may come back yet
    gone = []
    while found := admission.surplus(30.0):
        assert len(found) <= rules.SURPLUS_AT_ONCE
        gone += found
    # Ten were open at once of late: the working set is twice that and a few.
    assert gone == once[: len(gone)] and admission.asked == 2 * 1 + rules.WORKING_LEAST
    assert all(client.state is State.KEPT for client in reused)


def test_an_idle_one_whose_next_request_is_there_stays_and_the_others_go():
    admission = make(connections=400, usable=120)
    once = [enter(admission, now=0.0, state=State.ONCE) for _ in range(100)]
    back = set(once[:6])
    gone = []
    for _ in range(100):  # each asks for some, however many of the first have come back
        found = admission.surplus(30.0, back.__contains__)
        assert len(found) <= rules.SURPLUS_AT_ONCE
        gone += found
    assert not back.intersection(gone) and len(gone) == 100 - admission.asked
    assert admission.asked == admission.working


def test_idle_ones_within_the_working_set_stay():
    admission = make(connections=400, usable=120)
    clients = [enter(admission, now=0.0, state=State.BUSY) for _ in range(30)]
    for client in clients:
        admission.place(client, State.ONCE, False, 1, 0.1)
    assert admission.surplus(1.9) == []


def test_the_gap_that_clients_leave_is_learned():
    admission = make(connections=400, usable=20)
    client = enter(admission, state=State.ONCE)
    now = 0.0
    for number in range(2, 200):
        now += 0.5  # slow desks
        admission.place(client, State.BUSY, False, number, now)
        admission.place(client, State.KEPT, False, number, now)
    assert 0.45 < admission.gap_s < 0.55
    for _ in range(50):
        enter(admission, now=now, state=State.ONCE)
    assert admission.surplus(now + 0.4) == []
    assert admission.surplus(now + 2.0)


def test_a_lower_limit_lets_go_of_all_that_may_leave_and_nothing_else():
    admission = make(connections=40)
    busy = [enter(admission, state=State.BUSY) for _ in range(10)]
    for _ in range(30):
        enter(admission, state=State.KEPT)
    assert len(admission.resize(Share(15, 5), Caps(), 1.0)) == 25
    assert len(admission.resize(Share(5, 5), Caps(), 1.0)) == 5
    assert admission.count == 10 and all(client.state is State.BUSY for client in busy)
    assert admission.connect("10.0.0.9", 1.0)[1] is Reason.FULL


def test_messages_and_idle_connections_have_their_time():
    admission = make(connections=20)
    silent, reading = enter(admission, now=0.0), enter(admission, now=1.0, state=State.READING)
    idle = enter(admission, now=0.5, state=State.ONCE)
    assert admission.late(rules.HEAD_MOST_S - 0.1) == []
    assert admission.late(rules.HEAD_MOST_S) == [silent]
    assert admission.late(rules.HEAD_MOST_S) == []  # told once
    admission.wait_again(silent, 2.0)
    assert admission.late(1.1 + rules.HEAD_MOST_S) == [reading]
    assert admission.late(2.1 + rules.HEAD_MOST_S) == [silent]
    assert admission.unused(0.4 + rules.IDLE_MOST_S) == [] and admission.unused(2.5) == [idle]


def test_a_body_has_its_time_by_the_rate_at_which_it_comes():
    """Guards honest clients that are slow, and everybody else against those that stop or trickle."""
    admission = make(connections=20)
    slow, stopped, trickles = (enter(admission, now=0.0, state=State.READING) for _ in range(3))
    last = {slow: 0.0, stopped: 0.0, trickles: 0.0}
    now = 0.0
    while now < 20.0:
        now += 0.25
        for client, size in ((slow, 16_000), (stopped, 60_000 if now < 1.0 else 0), (trickles, 1_000)):
            if size and client.state is not None:
                admission.progress(client, size, now)
        for client in admission.late(now):
            last[client] = now
            admission.leave(client)
    assert not last[slow]
    assert rules.HEAD_MOST_S <= last[stopped] <= 3.0 and rules.HEAD_MOST_S <= last[trickles] <= 3.0
    # A body that nobody reads, since its server is slow, owes nothing; nor does the next message for it.
    admission.wait_again(slow, now)
    assert admission.late(now + 2.0) == []
    admission.place(slow, State.BUSY, False, 1, now + 2.0)
    assert admission.late(now + 9.0) == [] and not admission.bodies


class Machine(RuleBasedStateMachine):
    """Random connections of random addresses; after every step the rules hold and the counts are true."""

    @initialize(
        most=st.integers(2, 12),
        reserve=st.integers(0, 4),
        cap=st.one_of(st.none(), st.integers(1, 5)),
        usable=st.integers(2, 12),
    )
    def begin(self, most, reserve, cap, usable):
        self.admission = Admission(
            Share(most, usable), Caps(known=KNOWN, reserve=reserve, connections=cap, open_requests=3)
        )
        self.now = 0.0
        self.allowed = most
        self.clients = []

    @rule(site=st.integers(0, 1), host=st.integers(0, 3))
    def connect(self, site, host):
        before = {client: client.state for client in self.clients}
        client, reason, victim = self.admission.connect(f"10.{site}.0.{host}", self.now)
        assert (client is None) == (reason is not None)
        if victim is not None:
            assert before[victim] is not State.BUSY and victim.state is None
            assert site == 1 or not victim.known, "a stranger pushed a known desk out"
            self.clients.remove(victim)
        if client is not None:
            self.clients.append(client)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 99), state=st.sampled_from(list(State)), more=st.booleans())
    def place(self, pick, state, more):
        client = self.clients[pick % len(self.clients)]
        requests = client.requests + more
        if state in rules.IDLE or state is State.BUSY:
            requests = max(requests, 1)
        elif state is State.SILENT and requests:
            state = State.ONCE
        self.admission.place(client, state, state is State.READING, requests, self.now)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 99))
    def leave(self, pick):
        self.admission.leave(self.clients.pop(pick % len(self.clients)))

    @rule(passed=st.floats(0.0, 1.5))
    def wait(self, passed):
        self.now += passed
        for client in self.admission.surplus(self.now):
            self.clients.remove(client)
        for client in self.admission.unused(self.now):
            self.clients.remove(client)
            self.admission.leave(client)
        self.admission.late(self.now)

    @rule(most=st.integers(2, 12))
    def resize(self, most):
        for client in self.admission.resize(Share(most, most), self.admission.caps, self.now):
            self.clients.remove(client)
        self.allowed = max(most, len(self.clients))  # requests are open on all beyond it

    @invariant()
    def counts_are_true(self):
        if not hasattr(self, "clients"):
            return
        admission = self.admission
        assert admission.count == len(self.clients)
        movable = [client for client in self.clients if client.state is not State.BUSY]
        self.allowed = max(admission.share.connections, min(self.allowed, admission.count))
        assert admission.count <= self.allowed
        assert admission.busy == len(self.clients) - len(movable)
        assert admission.asked == sum(1 for client in self.clients if client.requests)
        assert len(admission.unfinished) <= len(self.clients)
        for known, side in admission.sides.items():
            queued = [client for queue in side.queues for client in queue.since]
            assert sorted(map(id, queued)) == sorted(id(c) for c in movable if c.known is known)
        for address in admission.addresses.active.values():
            assert address.connections == sum(1 for c in self.clients if c.address is address) > 0

    def teardown(self):
        for client in getattr(self, "clients", []):
            self.admission.leave(client)
        if hasattr(self, "admission"):
            assert not self.admission.count and not self.admission.unfinished and not self.admission.asked
            assert not self.admission.addresses.active


Machine.TestCase.settings = limits(max_examples=150, stateful_step_count=60, derandomize=True)
TestMachine = Machine.TestCase
