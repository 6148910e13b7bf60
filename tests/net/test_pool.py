"""A pool on its own: without a listener, a client socket or a sidecar server."""

import asyncio
from dataclasses import dataclass, field

from net_helpers import MS, FakePeer, config, endpoint_entry, list_update, never_respond, respond_ok, run

from dykefold.admission.addresses import AddressLimits
from dykefold.admission.budget import DescriptorBudget
from dykefold.admission.controller import AdmissionController
from dykefold.admission.limits import ConnectionLimits
from dykefold.net.clock import Clock
from dykefold.net.discovery.codec import NameTable, parse_endpoint_update
from dykefold.net.downstream.request_parser import ParsedRequest
from dykefold.net.loop_lag import LoopLagMonitor
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.read_scheduler import ReadScheduler
from dykefold.net.service.pool import Pool
from dykefold.net.service.pool_config import PoolConfig
from dykefold.net.timer_wheel import TimerWheel
from dykefold.settings import nested_settings, nested_transport
from dykefold.system import SYSTEM


class Host:
    """What the pools of a process share; records the requests that have ended.

    Attributes:
        ended: Id of each ended request, and whether it was served.
    """

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.system = SYSTEM
        self.clock = Clock()
        self.budget = DescriptorBudget(256)
        self.memory = MemoryBudget(64 * MB)
        self.lag_monitor = LoopLagMonitor(self.loop)
        self.read_scheduler = ReadScheduler(self.loop, self.lag_monitor)
        self.timer_wheel = TimerWheel(self.loop)
        self.peers = None
        self.ended = []

    def log_exception(self, text):
        raise AssertionError(text)

    def on_request_end(self, sink, request, served):
        self.ended.append((request.x_request_id, served))


@dataclass
class RecordingSink:
    """A client connection that records the answers to its requests."""

    client: object = field(
        default_factory=lambda: AdmissionController(ConnectionLimits(8, 8), AddressLimits()).connect(
            "127.0.0.1", 0.0
        )[0]
    )
    answers: list = field(default_factory=list)

    def client_has_closed(self):
        return False

    def respond(self, request, code, headers, body):
        self.answers.append((request.x_request_id, code, body))


def make_pool(host, *entries):
    data = config(list_update(1, *entries))
    settings, transport = nested_settings(data["settings"]), nested_transport(data["settings"])
    names = NameTable(settings.zones, transport.machine_types)
    known = parse_endpoint_update(data["known"], names)
    return Pool(host, PoolConfig(settings, transport, 1, ("127.0.0.1", 9), names, known))


def make_request(host, request_id, timeout_ms, method=b"GET"):
    line = b"X-Request-Id: %s\r\n" % request_id
    deadline_ns = host.clock.now() + timeout_ms * MS
    return ParsedRequest(
        request_id, method, b"/lookup/part", [line], b"", 0, 0, 0, deadline_ns, deadline_ns, 0, False, True
    )


def test_pool_without_server_gives_each_request_one_final_answer():
    async def scenario():
        host, sink = Host(), RecordingSink()
        responsive, unresponsive = await FakePeer(respond_ok).start(), await FakePeer(never_respond).start()
        pools = [
            make_pool(host, endpoint_entry("s1", responsive.address)),
            make_pool(host, endpoint_entry("s1", unresponsive.address)),
        ]
        reservations_before = host.budget.reservations
        for pool, request_id, timeout_ms in ((pools[0], b"aa", 3000), (pools[1], b"bb", 200)):
            assert host.budget.reserve()
            pool.accept(sink, make_request(host, request_id, timeout_ms))
        async with asyncio.timeout(10):
            while len(sink.answers) < 2:
                await asyncio.sleep(0.005)
        assert sorted(sink.answers)[0] == (b"aa", 200, b"served ")
        assert [(request_id, code) for request_id, code, _ in sorted(sink.answers)][1] == (b"bb", 503)
        assert sorted(host.ended) == [(b"aa", True), (b"bb", False)]
        assert len(responsive.received) == len(unresponsive.received) == 1
        assert host.budget.reservations == reservations_before
        for pool in pools:
            assert not pool.pending
            assert not pool.attempts
            pool.close()
        host.lag_monitor.close()

    run(scenario())
