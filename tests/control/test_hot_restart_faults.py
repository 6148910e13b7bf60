"""Hot restarts of the real program under faults, judged by what reached the servers."""

import asyncio
import contextlib
import json
import os

import pytest
from net_helpers import read_message, request_message, run, wait_until

from dykefold.lab.fleet.judge import FaultInterval, OutOfServiceInterval, judge
from dykefold.lab.fleet.process import call
from dykefold.lab.fleet.upgrades import CLASSES, FAULTS, GRACE_S, READY_TIMEOUT_S, hot_restart_rig

pytestmark = pytest.mark.processes

MAX_LOST_PER_RESTART = 2  # requests that one hot restart may lose


@pytest.mark.parametrize("fault", FAULTS)
def test_hot_restart_under_fault_keeps_rules_and_service(tmp_path, fault):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            await FAULTS[fault](rig)
            await rig.wait_for_responses()
            # The remaining process has all of the limits, and can be restarted like any other.
            (remaining,) = rig.member.living
            assert await call(remaining.admin_address, "GET /healthcheck") == 200
            await rig.upgrade()
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= MAX_LOST_PER_RESTART * 2, verdict.lost
        assert all(
            b"Traceback" not in line.encode() for process in rig.member.processes for line in process.lines
        )

    run(play())


@pytest.mark.parametrize("killed", ["old", "new"])
@pytest.mark.parametrize("moment", ["before the new one starts", "before it is ready", "when it is ready"])
def test_maintenance_order_at_either_process_survives_death_of_one(tmp_path, killed, moment):
    async def play():
        async with hot_restart_rig(tmp_path, rate=100.0) as rig:
            (old,) = rig.member.living
            if moment == "before the new one starts":
                await rig.take_out_of_service(old, "std-0")
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            if moment == "before it is ready":
                # the admin API listens before clients are accepted
                await rig.take_out_of_service(new, "std-0")
            await rig.wait_until_ready(new)
            if moment == "when it is ready":
                await rig.take_out_of_service(new if killed == "new" else old, "std-0")
            rig.kill(new if killed == "new" else old)
            await asyncio.sleep(GRACE_S)
            await rig.wait_for_responses()
            await rig.upgrade()
            await rig.wait_for_responses(40)
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= 2 * MAX_LOST_PER_RESTART
        assert rig.truth.arrivals["std-0"], "the endpoint got no request before the order"

    run(play())


def test_new_process_terminated_before_it_is_ready_never_listens(tmp_path):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            old.stop()
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            new.terminate()
            assert await new.wait_until_ended() == 0
            assert new.address is None
            old.resume()
            rig.fault_intervals.append(FaultInterval(0, 0.0, asyncio.get_running_loop().time() + 1.0))
            await rig.wait_for_responses()

    run(play())


def heartbeat_file(rig, process):
    folder = rig.member.folder / "tmp" / "dykefold"
    return next(path for path in folder.glob("sign-*.json") if path.stem.endswith(f"-{process.pid}"))


CORRUPTIONS = [
    ("torn", lambda record: json.dumps(record)[:40]),
    ("newer version", lambda record: json.dumps({**record, "version": 99})),
    ("unknown state", lambda record: json.dumps({**record, "state": "flying"})),
    ("empty", lambda record: ""),
]


@pytest.mark.parametrize(("name", "corrupt"), CORRUPTIONS, ids=[name for name, _ in CORRUPTIONS])
def test_unreadable_heartbeat_does_not_block_hot_restart(tmp_path, name, corrupt):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            path = heartbeat_file(rig, old)
            path.write_text(corrupt(json.loads(path.read_text())))
            new = await rig.member.start()
            await rig.wait_until_ready(new)
            path.write_text(corrupt({"name": "x", "version": 1}))
            await rig.end(old)
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= MAX_LOST_PER_RESTART

    run(play())


def test_heartbeat_of_dead_process_is_ignored(tmp_path):
    """Guards against a claim that leaves the live processes nothing.

    The record is of another boot, with times in the future and a process id that is in use again.
    """

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            path = heartbeat_file(rig, old)
            record = json.loads(path.read_text())
            started_ns = record["born_ns"] + 10**15
            dead_name = f"{started_ns:020d}-{os.getpid()}"
            path.with_name(f"sign-{dead_name}.json").write_text(
                json.dumps(
                    {**record, "name": dead_name, "born_ns": started_ns, "beat_ns": started_ns, "most": 512}
                )
            )
            await rig.wait_for_responses(100)
            new = await rig.upgrade()
            await rig.wait_for_responses(100)
            assert await call(new.admin_address, "GET /healthcheck") == 200
            assert json.loads(heartbeat_file(rig, new).read_text())["most"] == 512
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= MAX_LOST_PER_RESTART

    run(play())


def test_unwritable_state_directory_allows_hot_restart_and_rejects_orders(tmp_path):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            folder = rig.member.folder / "tmp" / "dykefold"
            # As on a full disk: neither a heartbeat nor a lock file can be created.
            moved = folder.with_name("kept")
            folder.rename(moved)
            folder.write_text("")
            assert await call(old.admin_address, "POST /servers/std-0/maint") == 500
            new = await rig.member.start()
            await rig.wait_until_ready(new)
            await rig.end(old)
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= MAX_LOST_PER_RESTART

    run(play())


def test_both_processes_together_stay_within_halved_limits(tmp_path):
    async def play():
        async with hot_restart_rig(tmp_path, rate=250.0, memory_mb=96, sockets=256) as rig:
            for _ in range(2):
                await rig.upgrade()
                await rig.wait_for_responses(60)
            await FAULTS["new killed after it has served"](rig)
            await rig.wait_for_responses(60)
        assert 0 < rig.member.peak.descriptors <= 256
        assert 0 < rig.member.peak.memory_bytes <= 96 * 2**20
        assert not rig.verdict().violations

    run(play())


def test_consecutive_hot_restarts_lose_few_requests(tmp_path):
    """Guards against losses in each restart; `benchmarks/upgrade.py` has twenty, also under each fault."""

    async def play():
        async with hot_restart_rig(tmp_path, new_connection_fraction=1.0) as rig:
            for _ in range(6):
                await rig.upgrade()
            assert len(rig.member.processes) == 7
            assert len(rig.member.living) == 1
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) + verdict.counts.get("unsent", 0) <= MAX_LOST_PER_RESTART * 6

    run(play())


def test_judge_reports_lost_duplicate_late_and_out_of_service_requests():
    """Guards against a judge that overlooks faults."""
    from dykefold.lab.emulator.server import Arrival
    from dykefold.lab.fleet.client import ClientRequest, RequestEnd

    def client_request(ident, cls, end, sent_s=1.0, body=None):
        return ClientRequest(ident, cls, 0, sent_s, sent_s + 0.1, end, 200, ident if body is None else body)

    all_requests = [
        client_request("duplicate", "order", RequestEnd.SERVED),
        client_request("lost", "lookup", RequestEnd.LOST),
        client_request("excused", "lookup", RequestEnd.LOST, 5.0),
        client_request("wrong-body", "lookup", RequestEnd.SERVED, body="other"),
        client_request("refused", "order", RequestEnd.REFUSED),
        client_request("crossed", "order", RequestEnd.CROSSED),
        client_request("unread", "order", RequestEnd.CROSSED),
        client_request("window", "hold", RequestEnd.SERVED),
        client_request("delayed", "hold", RequestEnd.SERVED),
        client_request("out-of-service", "lookup", RequestEnd.SERVED, 9.0),
        client_request("overlapping", "lookup", RequestEnd.SERVED),
    ]
    arrivals = {
        "a": [
            Arrival(i, "x", 1.0, 1.0)
            for i in ("duplicate", "wrong-body", "refused", "crossed", "window", "overlapping")
        ],
        # The window counts between arrivals: a cut delayed the start of this attempt, which arrived in time.
        "b": [
            Arrival("duplicate", "order", 1.2, 1.2),
            Arrival("window", "hold", 2.0, 2.0),
            Arrival("delayed", "hold", 1.1, 9.0),
            Arrival("delayed", "hold", 1.3, 1.3),
        ],
        "c": [
            Arrival("out-of-service", "lookup", 9.0, 9.0),
            Arrival("overlapping", "lookup", 1.0, None, overlaps=True),
        ],
    }
    verdict = judge(
        all_requests, arrivals, CLASSES, [FaultInterval(0, 5.0, 5.2)], [OutOfServiceInterval(0, "c", 8.0)]
    )
    assert verdict.lost == ["lost", "crossed"]
    assert verdict.excused == 1
    assert [line.split()[1] for line in verdict.violations] == [
        "duplicate", "wrong-body", "refused", "window", "overlapping", "out-of-service",
    ]  # fmt: skip


def test_rig_detects_process_that_never_becomes_ready(tmp_path):
    """Guards against a rig that waits forever, or takes no response for readiness."""

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            new.stop()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await rig.wait_until_ready(new)
                raise AssertionError("a stopped process became ready")
            rig.kill(new)
            await wait_until(lambda: not new.alive)
            assert READY_TIMEOUT_S > 1.0

    run(play())


def test_endpoint_whose_return_cannot_be_recorded_stays_out_of_service(tmp_path):
    """Guards against requests to an endpoint whose return the admin API answered with an error."""

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (process,) = rig.member.living
            await rig.take_out_of_service(process, "std-0")
            folder = rig.member.folder / "tmp" / "dykefold"
            folder.rename(folder.with_name("kept"))
            folder.write_text("")
            assert await call(process.admin_address, "POST /servers/std-0/ready") == 500
            await asyncio.sleep(GRACE_S)
            await rig.wait_for_responses(40)
        assert not rig.verdict().violations

    run(play())


@pytest.mark.fleet
@pytest.mark.parametrize("reused", [False, True], ids=["fresh", "used"])
def test_request_received_while_process_is_stopped_is_answered(tmp_path, reused):
    """Guards against an idle timeout that closes a connection with a request that has not been read yet."""

    async def play():
        async with hot_restart_rig(tmp_path, rate=20.0) as rig:
            (process,) = rig.member.living
            reader, writer = await asyncio.open_connection(*process.address)
            for number in range(int(reused)):
                writer.write(request_message("lookup", f"w{number}"))
                assert (await read_message(reader)).code == 200
            process.stop()
            writer.write(request_message("lookup", "q", "9000m"))
            stopped_at_s = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            process.resume()
            rig.fault_intervals.append(FaultInterval(0, stopped_at_s - 0.2, stopped_at_s + 3.5))
            assert (await read_message(reader)).code == 200
            writer.close()

    run(play())
