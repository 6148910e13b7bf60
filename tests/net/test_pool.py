"""A pool by itself: no listener, no client's socket, no node."""

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


class Home:
    """What a process shares, with a count of what is over."""

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
        self.over = []

    def log_exception(self, text):
        raise AssertionError(text)

    def on_request_end(self, asker, call, served):
        self.over.append((call.x_request_id, served))


@dataclass
class Asker:
    client: object = field(
        default_factory=lambda: AdmissionController(ConnectionLimits(8, 8), AddressLimits()).connect(
            "127.0.0.1", 0.0
        )[0]
    )
    answers: list = field(default_factory=list)

    def client_has_closed(self):
        return False

    def respond(self, call, code, headers, body):
        self.answers.append((call.x_request_id, code, body))


def make(home, *entries):
    data = config(list_update(1, *entries))
    settings, transport = nested_settings(data["settings"]), nested_transport(data["settings"])
    names = NameTable(settings.zones, transport.machine_types)
    known = parse_endpoint_update(data["known"], names)
    return Pool(home, PoolConfig(settings, transport, 1, ("127.0.0.1", 9), names, known))


def call(home, ident, within_ms, method=b"GET"):
    line = b"X-Request-Id: %s\r\n" % ident
    due = home.clock.now() + within_ms * MS
    return ParsedRequest(ident, method, b"/lookup/part", [line], b"", 0, 0, 0, due, due, 0, False, True)


def test_a_pool_serves_and_guards_its_requests_without_a_node():
    async def play():
        home, asker = Home(), Asker()
        fake, mute = await FakePeer(respond_ok).start(), await FakePeer(never_respond).start()
        pools = [
            make(home, endpoint_entry("s1", fake.address)),
            make(home, endpoint_entry("s1", mute.address)),
        ]
        before = home.budget.reservations
        for pool, ident, within in ((pools[0], b"aa", 3000), (pools[1], b"bb", 200)):
            assert home.budget.reserve()
            pool.accept(asker, call(home, ident, within))
        async with asyncio.timeout(10):
            while len(asker.answers) < 2:
                await asyncio.sleep(0.005)
        assert sorted(asker.answers)[0] == (b"aa", 200, b"served ")
        assert [(ident, code) for ident, code, _ in sorted(asker.answers)][1] == (b"bb", 503)
        assert sorted(home.over) == [(b"aa", True), (b"bb", False)]
        assert len(fake.received) == len(mute.received) == 1
        assert home.budget.reservations == before
        for pool in pools:
            assert not pool.pending
            assert not pool.attempts
            pool.close()
        home.lag_monitor.close()

    run(play())
