"""Class numbers across changes of the settings, and new settings on a sidecar with requests open."""

import asyncio
import copy
import json

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from net_helpers import (
    MS,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    gated_handler,
    list_update,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold.balancer.settings import Effect, RequestClass, Settings
from dykefold.net import class_generations as generations
from dykefold.net import sidecar as sidecar_module
from dykefold.net.class_generations import RETIRED_CLASS_LINGER_NS, ClassGeneration, TooManyClassesError
from dykefold.sidecar_config import ConfigError, missing_keys, read_config, shape_of

SECOND = 1000 * MS


def spec(name, effect=Effect.SAFE, deadline=SECOND):
    return RequestClass(name, deadline // 3, deadline, 1.0, 0.0, effect)


def having(*specs):
    return Settings(list(specs), ["a"], max_attempts=3)


def test_a_class_keeps_its_number_until_it_changes_and_no_number_changes_its_meaning():
    first = ClassGeneration(having(spec("a"), spec("b")))
    second = first.next(having(spec("b"), spec("a", Effect.UNSAFE)), (), 100)
    assert second.numbers() == {"a": 2, "b": 1}
    assert second.retired == {0: 100}
    assert second.settings.classes[0] == spec("a")  # for requests that hold it
    # One that comes back as it was is another class: its number may be held still.
    third = second.next(having(spec("a"), spec("b")), (0,), 200)
    assert third.numbers() == {"a": 3, "b": 1}
    assert third.retired == {0: 100, 2: 200}
    # Out of time and held by nobody a number is free; held by somebody it is not.
    later = 200 + RETIRED_CLASS_LINGER_NS
    assert third.next(having(spec("c")), (2,), later).numbers() == {"c": 0}
    assert third.next(having(spec("c")), (0, 2), later).numbers() == {"c": 4}


def test_more_classes_than_numbers_are_turned_down(monkeypatch):
    monkeypatch.setattr(generations, "MAX_CLASS_NUMBERS", 3)
    first = ClassGeneration(having(spec("a"), spec("b")))
    with pytest.raises(TooManyClassesError, match="more than 3"):
        first.next(having(spec("c"), spec("d")), (), 0)


class Machine(RuleBasedStateMachine):
    """Requests come and go while settings change; what a request's number means never changes."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.generation = ClassGeneration(having(spec("a"), spec("b")))
        self.open = []  # number and what it meant

    @rule(
        specs=st.dictionaries(
            st.sampled_from("abcd"), st.tuples(st.sampled_from(list(Effect)), st.integers(1, 2)), min_size=1
        ),
        passed=st.integers(0, 2 * RETIRED_CLASS_LINGER_NS),
    )
    def retune(self, specs, passed):
        self.now += passed
        wanted = [spec(name, effect, seconds * SECOND) for name, (effect, seconds) in specs.items()]
        self.generation = self.generation.next(having(*wanted), {number for number, _ in self.open}, self.now)
        numbers = self.generation.numbers()
        assert {name: self.generation.settings.classes[n] for name, n in numbers.items()} == {
            one.name: one for one in wanted
        }

    @rule(which=st.integers(0, 9))
    def asks(self, which):
        numbers = list(self.generation.numbers().values())
        number = numbers[which % len(numbers)]
        self.open.append((number, self.generation.settings.classes[number]))

    @rule(which=st.integers(0, 9))
    def ends(self, which):
        if self.open:
            self.open.pop(which % len(self.open))

    @invariant()
    def open_requests_keep_their_class(self):
        assert all(self.generation.settings.classes[number] == meant for number, meant in self.open)


TestGenerations = Machine.TestCase
TestGenerations.settings = hypothesis_settings(
    max_examples=60, derandomize=True, database=None, stateful_step_count=20, deadline=None
)


def test_what_a_later_file_leaves_out_is_named():
    data = config(list_update(1, endpoint_entry("s1", "127.0.0.1:1")))
    shape = shape_of(data)
    assert missing_keys(shape, data) == []
    bad = copy.deepcopy(data)
    del bad["seed"], bad["settings"]["ceilings"]["send-cap"], bad["settings"]["classes"][1]["window-ns"]
    bad["settings"]["classes"].append({"name": "new"})
    found = missing_keys(shape, bad)
    assert found[:3] == ["seed", "settings.ceilings.send-cap", "settings.classes.1.window-ns"]
    assert "settings.classes.3.deadline-ns" in found


def change(data, path, value):
    *parts, last = path
    for part in parts:
        data = data[part]
    data[last] = value


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("settings", "classes", 0, "deadline-ns"), 0, "classes.0.deadline-ns"),
        (("settings", "classes", 0, "deadline-ns"), -5, "classes.0.deadline-ns"),
        (("settings", "classes", 0, "deadline-ns"), "4000000000", "classes.0.deadline-ns"),
        (("settings", "classes", 0, "deadline-ns"), True, "classes.0.deadline-ns"),
        (("settings", "classes", 0, "deadline-ns"), None, "classes.0.deadline-ns"),
        (("settings", "classes", 0, "deadline-ns"), float("nan"), "classes.0.deadline-ns"),
        (("settings", "ceilings", "send-cap"), 0, "ceilings.send-cap"),
        (("settings", "ceilings", "send-cap"), "three", "ceilings.send-cap"),
        (("settings", "ceilings", "send-cap"), [], "ceilings.send-cap"),
        (("settings", "classes"), [], "classes.count"),
        (("settings", "classes", 1, "name"), "lookup", "comes twice"),
        (("settings", "my-zone"), 9, "my-zone"),
        (("limits", "sockets"), 0, "sockets"),
        (("discovery",), "nowhere", "discovery"),
        (("known",), {}, "known"),
    ],
)
def test_each_thing_that_is_wrong_is_named_and_all_at_once(tmp_path, path, value, named):
    data = config(list_update(1))
    change(data, path, value)
    data["seed"] = "no hex"
    (tmp_path / "c").write_text(json.dumps(data))
    with pytest.raises(ConfigError) as caught:
        read_config(str(tmp_path / "c"))
    assert named in str(caught.value)
    assert "seed: " in str(caught.value)


def rewrite(tmp_path, data):
    (tmp_path / "c").write_text(data if isinstance(data, str) else json.dumps(data))


def with_classes(data, **effects):
    """The same configuration with these classes, by name."""
    new = copy.deepcopy(data)
    pattern = data["settings"]["classes"][0]
    new["settings"]["classes"] = [
        {**pattern, "name": name, "repeat": effect} for name, effect in effects.items()
    ]
    return new


def post(path, ident, *lines):
    head = [f"POST /{path}/part HTTP/1.1", f"X-Request-Id: {ident}", "Content-Length: 0", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def test_classes_come_change_and_go_and_the_old_form_lingers(tmp_path, monkeypatch):
    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server = sidecar.server
            assert (await send_request(sidecar.port, post("stock", "a0"))).code == 404
            rewrite(tmp_path, with_classes(data, lookup="side_effect", hold="token", stock="side_effect"))
            sidecar.reload()
            assert (await send_request(sidecar.port, post("stock", "a1"))).code == 200
            assert (await send_request(sidecar.port, post("lookup", "a2"))).code == 200
            # Clients turn to new settings later: the forms that were are read as what they were.
            assert (await send_request(sidecar.port, request_message("lookup", "a3"))).code == 200
            assert (await send_request(sidecar.port, request_message("order", "a4"))).code == 200
            # without its key, then as now
            assert (await send_request(sidecar.port, post("hold", "a5"))).code == 400
            sidecar_server.parser.previous.fallback_until_ns = 0
            assert (await send_request(sidecar.port, request_message("lookup", "a6"))).code == 405
            assert (await send_request(sidecar.port, request_message("order", "a7"))).code == 404
            assert sidecar_server.parser.previous is None

    run(play())


def test_an_open_request_goes_on_by_the_settings_that_it_was_taken_under(tmp_path):
    """Guards the rule on effects: a lookup that became unsafe was one when it was sent, and may be repeated;
    an order that became safe may not, and attempts that were allowed still are."""

    async def play():
        go = asyncio.Event()

        async def act(got, reader, writer):
            if len(fake.received) <= 2:
                await go.wait()
                writer.transport.abort()  # it may have run
            else:
                await respond_ok(got, reader, writer)

        fake = await FakePeer(act).start()
        other = await FakePeer(act).start()
        other.received = fake.received
        data = config(list_update(1, endpoint_entry("s1", fake.address), endpoint_entry("s2", other.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            lookup = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "read")))
            await wait_until(lambda: len(fake.received) == 1)
            order = asyncio.create_task(send_request(sidecar.port, request_message("order", "write")))
            await wait_until(lambda: len(fake.received) == 2)
            changed = with_classes(data, lookup="side_effect", order="pure")
            changed["settings"]["ceilings"]["send-cap"] = 1
            rewrite(tmp_path, changed)
            sidecar.reload()
            sidecar.reload()  # twice in a row is once
            go.set()
            assert (await lookup).code == 200
            assert (await order).code == 502
            sent = [got.headers["x-request-id"] for got in fake.received]
            assert sent.count("read") == 2
            assert sent.count("write") == 1

    run(play())


def test_a_shorter_idle_time_of_servers_holds_where_nothing_else_has_changed(tmp_path):
    """Guards requests against a connection that its server may close by now."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "one"))).code == 200
            data["settings"]["ceilings"]["conn-idle-ns"] //= 60  # one second
            rewrite(tmp_path, data)
            sidecar.reload()
            assert fake.closed_connections == 0
            await wait_until(lambda: fake.closed_connections == 1, "the idle connection goes in time")
            assert (await send_request(sidecar.port, request_message("order", "two"))).code == 200
        assert [got.connection for got in fake.received] == [1, 2]

    run(play())


def test_the_own_zone_stays_where_new_settings_name_zones_in_another_order(tmp_path):
    async def play():
        near, far = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        data = config(
            list_update(
                1, endpoint_entry("s1", near.address, zone="a"), endpoint_entry("s2", far.address, zone="b")
            )
        )
        data["settings"]["prices"] = {"cross-zone": 0.5}
        async with Sidecar(tmp_path / "c", data) as sidecar:
            for number in range(10):
                assert (
                    await send_request(sidecar.port, request_message("lookup", f"one{number}"))
                ).code == 200
            data["settings"] |= {"dcs": ["b", "a", "c"], "my-zone": 1}
            rewrite(tmp_path, data)
            sidecar.reload()
            for number in range(10):
                assert (
                    await send_request(sidecar.port, request_message("lookup", f"two{number}"))
                ).code == 200
        assert (len(near.received), len(far.received)) == (20, 0)

    run(play())


@pytest.mark.parametrize(
    "spoil",
    [
        lambda data: "",
        lambda data: json.dumps(data)[:-40],
        lambda data: {key: value for key, value in data.items() if key != "seed"},
        lambda data: with_classes(data, stock="sometimes"),
        lambda data: {**data, "known": None},
    ],
    ids=["empty", "cut", "key", "effect", "known"],
)
def test_a_bad_file_changes_nothing_at_all(tmp_path, spoil):
    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server = sidecar.server

            def state():
                return (
                    sidecar_server.generation,
                    sidecar_server.parser,
                    sidecar_server.pool.discovery.address,
                    sidecar_server.sockets,
                )

            before = state()
            changed = with_classes(data, stock="pure")
            changed["discovery"], changed["limits"] = "127.0.0.1:7", {"sockets": 100}
            rewrite(tmp_path, spoil(changed))
            sidecar.reload()
            assert before == (
                sidecar_server.generation,
                sidecar_server.parser,
                sidecar_server.pool.discovery.address,
                sidecar_server.sockets,
            )
            assert (await send_request(sidecar.port, request_message("lookup", "a"))).code == 200

    run(play())


def test_estimates_and_limits_survive_a_reload(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            balancer = sidecar.server.pool.balancer
            for number in range(20):
                await send_request(sidecar.port, request_message("lookup", f"a{number}"))
            rate = balancer.throughput.answers_per_s
            before = balancer.classes[0].mean_latency_ns, balancer.limit.limit, rate
            rewrite(tmp_path, with_classes(data, lookup="side_effect", order="side_effect"))
            sidecar.reload()
            (work,) = [work for work in balancer.live_classes if work.spec.name == "lookup"]
            assert work.spec.effect is Effect.UNSAFE
            assert before == (work.mean_latency_ns, balancer.limit.limit, balancer.throughput.answers_per_s)

    run(play())


def test_a_number_in_a_waiting_request_is_not_given_to_another_class(tmp_path, monkeypatch):
    """Guards requests that were read and wait behind another one on their connection."""
    monkeypatch.setattr(generations, "RETIRED_CLASS_LINGER_NS", 0)
    monkeypatch.setattr(sidecar_module, "RETIRED_CLASS_LINGER_NS", 0)

    async def play():
        go, act = gated_handler()
        fake = await FakePeer(act).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            _, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            writer.write(request_message("order", "first") + request_message("lookup", "behind"))
            await wait_until(lambda: fake.received)
            rewrite(tmp_path, with_classes(data, one="side_effect"))
            sidecar.reload()
            rewrite(tmp_path, with_classes(data, two="side_effect"))
            sidecar.reload()
            classes = sidecar.server.generation.settings.classes
            assert classes[0].name == "lookup"
            assert classes[0].effect is Effect.SAFE
            assert classes[2].name == "order"
            go.set()
            await wait_until(lambda: len(fake.received) == 2)
            writer.close()

    run(play())
