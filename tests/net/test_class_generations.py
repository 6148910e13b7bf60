"""Class numbers across changes of the settings, and changes of the settings with pending requests."""

import asyncio
import copy
import json

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    gated_handler,
    list_update,
    never_respond,
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


def settings_with(*specs):
    return Settings(list(specs), ["a"], max_attempts=3)


def test_class_keeps_number_until_it_changes_and_used_numbers_are_not_reassigned():
    first = ClassGeneration(settings_with(spec("a"), spec("b")))
    second = first.next(settings_with(spec("b"), spec("a", Effect.UNSAFE)), (), 100)
    assert second.numbers() == {"a": 2, "b": 1}
    assert second.retired == {0: 100}
    assert second.settings.classes[0] == spec("a")  # for requests that use it
    # A class that is added again gets a new number: a request may still use the former one.
    third = second.next(settings_with(spec("a"), spec("b")), (0,), 200)
    assert third.numbers() == {"a": 3, "b": 1}
    assert third.retired == {0: 100, 2: 200}
    # A retired number is free after the linger time, unless a request uses it.
    expired_ns = 200 + RETIRED_CLASS_LINGER_NS
    assert third.next(settings_with(spec("c")), (2,), expired_ns).numbers() == {"c": 0}
    assert third.next(settings_with(spec("c")), (0, 2), expired_ns).numbers() == {"c": 4}


def test_more_classes_than_numbers_are_rejected(monkeypatch):
    monkeypatch.setattr(generations, "MAX_CLASS_NUMBERS", 3)
    first = ClassGeneration(settings_with(spec("a"), spec("b")))
    with pytest.raises(TooManyClassesError, match="more than 3"):
        first.next(settings_with(spec("c"), spec("d")), (), 0)


class PendingRequestsMachine(RuleBasedStateMachine):
    """Requests begin and end while settings change; the class of a request's number never changes."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.generation = ClassGeneration(settings_with(spec("a"), spec("b")))
        self.pending = []  # Class number and class of each pending request.

    @rule(
        specs=st.dictionaries(
            st.sampled_from("abcd"), st.tuples(st.sampled_from(list(Effect)), st.integers(1, 2)), min_size=1
        ),
        elapsed_ns=st.integers(0, 2 * RETIRED_CLASS_LINGER_NS),
    )
    def change_settings(self, specs, elapsed_ns):
        self.now += elapsed_ns
        new_classes = [spec(name, effect, seconds * SECOND) for name, (effect, seconds) in specs.items()]
        self.generation = self.generation.next(
            settings_with(*new_classes), {number for number, _ in self.pending}, self.now
        )
        numbers = self.generation.numbers()
        assert {name: self.generation.settings.classes[n] for name, n in numbers.items()} == {
            spec.name: spec for spec in new_classes
        }

    @rule(index=st.integers(0, 9))
    def begin_request(self, index):
        numbers = list(self.generation.numbers().values())
        number = numbers[index % len(numbers)]
        self.pending.append((number, self.generation.settings.classes[number]))

    @rule(index=st.integers(0, 9))
    def end_request(self, index):
        if self.pending:
            self.pending.pop(index % len(self.pending))

    @invariant()
    def pending_requests_keep_their_class(self):
        assert all(self.generation.settings.classes[number] == spec for number, spec in self.pending)


TestGenerations = PendingRequestsMachine.TestCase
TestGenerations.settings = hypothesis_settings(
    max_examples=60, derandomize=True, database=None, stateful_step_count=20, deadline=None
)


def test_missing_keys_of_changed_file_are_named():
    data = config(list_update(1, endpoint_entry("s1", "127.0.0.1:1")))
    shape = shape_of(data)
    assert missing_keys(shape, data) == []
    bad = copy.deepcopy(data)
    del bad["seed"], bad["settings"]["ceilings"]["send-cap"], bad["settings"]["classes"][1]["window-ns"]
    bad["settings"]["classes"].append({"name": "new"})
    missing = missing_keys(shape, bad)
    assert missing[:3] == ["seed", "settings.ceilings.send-cap", "settings.classes.1.window-ns"]
    assert "settings.classes.3.deadline-ns" in missing


def set_value(data, path, value):
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
def test_all_invalid_values_are_named_at_once(tmp_path, path, value, named):
    data = config(list_update(1))
    set_value(data, path, value)
    data["seed"] = "no hex"
    (tmp_path / "c").write_text(json.dumps(data))
    with pytest.raises(ConfigError) as error:
        read_config(str(tmp_path / "c"))
    assert named in str(error.value)
    assert "seed: " in str(error.value)


def write_config(tmp_path, data):
    (tmp_path / "c").write_text(data if isinstance(data, str) else json.dumps(data))


def with_classes(data, **retry_modes):
    """Return the configuration with these classes instead, each a copy of the first with this retry mode."""
    changed = copy.deepcopy(data)
    template = data["settings"]["classes"][0]
    changed["settings"]["classes"] = [
        {**template, "name": name, "repeat": retry_mode} for name, retry_mode in retry_modes.items()
    ]
    return changed


def post_message(path, request_id, *lines):
    head = [f"POST /{path}/part HTTP/1.1", f"X-Request-Id: {request_id}", "Content-Length: 0", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def test_changed_classes_apply_at_once_and_former_ones_linger(tmp_path, monkeypatch):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server = sidecar.server
            assert (await send_request(sidecar.port, post_message("stock", "a0"))).code == 404
            write_config(
                tmp_path, with_classes(data, lookup="side_effect", hold="token", stock="side_effect")
            )
            sidecar.reload()
            assert (await send_request(sidecar.port, post_message("stock", "a1"))).code == 200
            assert (await send_request(sidecar.port, post_message("lookup", "a2"))).code == 200
            # Clients apply new settings later: requests of the former classes are still accepted as such.
            assert (await send_request(sidecar.port, request_message("lookup", "a3"))).code == 200
            assert (await send_request(sidecar.port, request_message("order", "a4"))).code == 200
            # A keyed request without a key is rejected under both settings.
            assert (await send_request(sidecar.port, post_message("hold", "a5"))).code == 400
            sidecar_server.parser.previous.fallback_until_ns = 0
            assert (await send_request(sidecar.port, request_message("lookup", "a6"))).code == 405
            assert (await send_request(sidecar.port, request_message("order", "a7"))).code == 404
            assert sidecar_server.parser.previous is None

    run(scenario())


def test_pending_request_keeps_settings_under_which_it_was_accepted(tmp_path):
    """Guards against retries by the wrong settings: a lookup whose class became unsafe after it was sent may
    still be retried, an order whose class became safe may not, and attempts that were allowed still are."""

    async def scenario():
        release = asyncio.Event()

        async def handler(message, reader, writer):
            if len(fake.received) <= 2:
                await release.wait()
                writer.transport.abort()  # The request may have been processed.
            else:
                await respond_ok(message, reader, writer)

        fake = await FakePeer(handler).start()
        other = await FakePeer(handler).start()
        other.received = fake.received
        data = config(list_update(1, endpoint_entry("s1", fake.address), endpoint_entry("s2", other.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            lookup = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "read")))
            await wait_until(lambda: len(fake.received) == 1)
            order = asyncio.create_task(send_request(sidecar.port, request_message("order", "write")))
            await wait_until(lambda: len(fake.received) == 2)
            changed = with_classes(data, lookup="side_effect", order="pure")
            changed["settings"]["ceilings"]["send-cap"] = 1
            write_config(tmp_path, changed)
            sidecar.reload()
            sidecar.reload()  # A second reload has no effect.
            release.set()
            assert (await lookup).code == 200
            assert (await order).code == 502
            sent = [message.headers["x-request-id"] for message in fake.received]
            assert sent.count("read") == 2
            assert sent.count("write") == 1

    run(scenario())


def test_shorter_endpoint_idle_timeout_applies_if_nothing_else_changed(tmp_path):
    """Guards against requests on an idle connection that the endpoint may already have closed."""

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "one"))).code == 200
            data["settings"]["ceilings"]["conn-idle-ns"] //= 60  # 1 s
            write_config(tmp_path, data)
            sidecar.reload()
            assert fake.closed_connections == 0
            await wait_until(
                lambda: fake.closed_connections == 1, "the idle connection is closed after the new timeout"
            )
            assert (await send_request(sidecar.port, request_message("order", "two"))).code == 200
        assert [message.connection for message in fake.received] == [1, 2]

    run(scenario())


def test_dropped_class_with_longest_deadline_does_not_delay_shutdown(tmp_path):
    """Guards against requests that are unanswered at the kill, whose time the dropped class postponed."""

    async def scenario():
        fake = await FakePeer(never_respond).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        for spec_data in data["settings"]["classes"]:
            spec_data["deadline-ns"] = 3000 * MS if spec_data["name"] == "hold" else 1000 * MS
        kill_after_s = 1.7  # the longest deadline that is left, and 0.7 s
        async with Sidecar(tmp_path / "c", data) as sidecar:
            data["settings"]["classes"] = [
                spec_data for spec_data in data["settings"]["classes"] if spec_data["name"] != "hold"
            ]
            write_config(tmp_path, data)
            sidecar.reload()
            loop = asyncio.get_running_loop()
            connections = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(12)]
            started_s = loop.time()
            sidecar.server.drain()

            async def answered_after_s(number):
                reader, writer = connections[number]
                await asyncio.sleep(0.1 * number)  # requests keep coming, up to 1.1 s
                writer.write(request_message("lookup", f"late{number}"))
                await reader.read()  # the answer, or a close if the request came too late
                writer.close()
                return loop.time() - started_s

            answered_s = await asyncio.gather(*map(answered_after_s, range(len(connections))))
            assert fake.received
            assert max(answered_s) < kill_after_s

    run(scenario())


def test_own_zone_is_kept_if_settings_reorder_zones(tmp_path):
    async def scenario():
        local, remote = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        data = config(
            list_update(
                1,
                endpoint_entry("s1", local.address, zone="a"),
                endpoint_entry("s2", remote.address, zone="b"),
            )
        )
        data["settings"]["prices"] = {"cross-zone": 0.5}
        async with Sidecar(tmp_path / "c", data) as sidecar:
            for number in range(10):
                assert (
                    await send_request(sidecar.port, request_message("lookup", f"one{number}"))
                ).code == 200
            data["settings"] |= {"dcs": ["b", "a", "c"], "my-zone": 1}
            write_config(tmp_path, data)
            sidecar.reload()
            for number in range(10):
                assert (
                    await send_request(sidecar.port, request_message("lookup", f"two{number}"))
                ).code == 200
        assert (len(local.received), len(remote.received)) == (20, 0)

    run(scenario())


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda data: "",
        lambda data: json.dumps(data)[:-40],
        lambda data: {key: value for key, value in data.items() if key != "seed"},
        lambda data: with_classes(data, stock="sometimes"),
        lambda data: {**data, "known": None},
    ],
    ids=["empty", "truncated", "missing-key", "unknown-retry-mode", "no-endpoint-list"],
)
def test_rejected_file_changes_nothing(tmp_path, corrupt):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server = sidecar.server

            def state():
                return (
                    sidecar_server.generation,
                    sidecar_server.parser,
                    sidecar_server.pool.discovery.address,
                    sidecar_server.total_descriptors,
                )

            before = state()
            changed = with_classes(data, stock="pure")
            changed["discovery"], changed["limits"] = "127.0.0.1:7", {"sockets": 100}
            write_config(tmp_path, corrupt(changed))
            sidecar.reload()
            assert before == (
                sidecar_server.generation,
                sidecar_server.parser,
                sidecar_server.pool.discovery.address,
                sidecar_server.total_descriptors,
            )
            assert (await send_request(sidecar.port, request_message("lookup", "a"))).code == 200

    run(scenario())


def test_estimates_and_limits_are_kept_across_reload(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            balancer = sidecar.server.pool.balancer
            for number in range(20):
                await send_request(sidecar.port, request_message("lookup", f"a{number}"))
            rate = balancer.throughput.answers_per_s
            before = balancer.classes[0].mean_latency_ns, balancer.limit.limit, rate
            write_config(tmp_path, with_classes(data, lookup="side_effect", order="side_effect"))
            sidecar.reload()
            (request_class,) = [
                request_class
                for request_class in balancer.live_classes
                if request_class.spec.name == "lookup"
            ]
            assert request_class.spec.effect is Effect.UNSAFE
            assert before == (
                request_class.mean_latency_ns,
                balancer.limit.limit,
                balancer.throughput.answers_per_s,
            )

    run(scenario())


def test_class_number_of_waiting_request_is_not_reassigned(tmp_path, monkeypatch):
    """Guards requests that were read and wait behind another request on their connection."""
    monkeypatch.setattr(generations, "RETIRED_CLASS_LINGER_NS", 0)
    monkeypatch.setattr(sidecar_module, "RETIRED_CLASS_LINGER_NS", 0)

    async def scenario():
        release, handler = gated_handler()
        fake = await FakePeer(handler).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            _, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            writer.write(request_message("order", "first") + request_message("lookup", "behind"))
            await wait_until(lambda: fake.received)
            write_config(tmp_path, with_classes(data, one="side_effect"))
            sidecar.reload()
            write_config(tmp_path, with_classes(data, two="side_effect"))
            sidecar.reload()
            classes = sidecar.server.generation.settings.classes
            assert classes[0].name == "lookup"
            assert classes[0].effect is Effect.SAFE
            assert classes[2].name == "order"
            release.set()
            await wait_until(lambda: len(fake.received) == 2)
            writer.close()

    run(scenario())
