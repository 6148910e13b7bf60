"""Two processes of the program as one sidecar, with faults between them, judged from the servers' side."""

import asyncio
import contextlib
import json
import os

import pytest
from net_helpers import read_message, request_message, run, wait_until

from dykefold.lab.fleet.judge import Ban, Excuse, judge
from dykefold.lab.fleet.process import call
from dykefold.lab.fleet.upgrades import CLASSES, FAULTS, GRACE_S, READY_TIMEOUT_S, hot_restart_rig

pytestmark = pytest.mark.processes

FREE = 2  # requests that an upgrade may lose (DAYS)


@pytest.mark.parametrize("fault", FAULTS)
def test_under_each_fault_the_rules_hold_and_service_goes_on(tmp_path, fault):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            await FAULTS[fault](rig)
            await rig.wait_for_responses()
            # Whoever is left has all of the limits, and takes the next upgrade as any other.
            (left,) = rig.member.living
            assert await call(left.admin_address, "GET /healthcheck") == 200
            await rig.upgrade()
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= FREE * 2, verdict.lost
        assert all(b"Traceback" not in line.encode() for one in rig.member.processes for line in one.lines)

    run(play())


@pytest.mark.parametrize("dies", ["old", "new"])
@pytest.mark.parametrize("at", ["before the new one starts", "before it is ready", "when it is ready"])
def test_a_ban_at_either_process_holds_whichever_dies_next(tmp_path, dies, at):
    async def play():
        async with hot_restart_rig(tmp_path, rate=100.0) as rig:
            (old,) = rig.member.living
            if at == "before the new one starts":
                await rig.ban(old, "std-0")
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            if at == "before it is ready":
                await rig.ban(new, "std-0")  # the admin API listens before clients are accepted
            await rig.wait_until_ready(new)
            if at == "when it is ready":
                await rig.ban(new if dies == "new" else old, "std-0")
            rig.kill(new if dies == "new" else old)
            await asyncio.sleep(GRACE_S)
            await rig.wait_for_responses()
            await rig.upgrade()
            await rig.wait_for_responses(40)
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= 2 * FREE
        assert rig.truth.arrivals["std-0"], "it was in use before"

    run(play())


def test_new_process_terminated_before_it_is_ready_never_listens(tmp_path):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            old.stop()
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            new.terminate()
            assert await new.ended() == 0
            assert new.address is None
            old.go_on()
            rig.excuses.append(Excuse(0, 0.0, asyncio.get_running_loop().time() + 1.0))
            await rig.wait_for_responses()

    run(play())


def heartbeat_file(rig, process):
    folder = rig.member.folder / "tmp" / "dykefold"
    return next(path for path in folder.glob("sign-*.json") if path.stem.endswith(f"-{process.pid}"))


TORN = [
    ("torn", lambda word: json.dumps(word)[:40]),
    ("of a newer version", lambda word: json.dumps({**word, "version": 99})),
    ("with a state that nobody knows", lambda word: json.dumps({**word, "state": "flying"})),
    ("empty", lambda word: ""),
]


@pytest.mark.parametrize(("what", "spoil"), TORN, ids=[what for what, _ in TORN])
def test_signs_that_can_not_be_read_keep_nobody_from_serving(tmp_path, what, spoil):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            path = heartbeat_file(rig, old)
            path.write_text(spoil(json.loads(path.read_text())))
            new = await rig.member.start()
            await rig.wait_until_ready(new)
            path.write_text(spoil({"name": "x", "version": 1}))
            await rig.end(old)
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= FREE

    run(play())


def test_a_sign_that_a_dead_process_left_counts_for_nothing(tmp_path):
    """Of another boot, with times that are still to come, under a process number that is in use again."""

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            path = heartbeat_file(rig, old)
            word = json.loads(path.read_text())
            born = word["born_ns"] + 10**15
            ghost = f"{born:020d}-{os.getpid()}"
            path.with_name(f"sign-{ghost}.json").write_text(
                json.dumps({**word, "name": ghost, "born_ns": born, "beat_ns": born, "most": 512})
            )
            # A claim of a ghost would leave nothing to those who live.
            await rig.wait_for_responses(100)
            new = await rig.upgrade()
            await rig.wait_for_responses(100)
            assert await call(new.admin_address, "GET /healthcheck") == 200
            assert json.loads(heartbeat_file(rig, new).read_text())["most"] == 512
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= FREE

    run(play())


def test_where_nothing_can_be_written_any_more_upgrades_go_on_and_bans_are_refused(tmp_path):
    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (old,) = rig.member.living
            folder = rig.member.folder / "tmp" / "dykefold"
            # As on a full disk: no name can be made there, neither a sign nor a lock.
            kept = folder.with_name("kept")
            folder.rename(kept)
            folder.write_text("")
            assert await call(old.admin_address, "POST /servers/std-0/maint") == 500
            new = await rig.member.start()
            await rig.wait_until_ready(new)
            await rig.end(old)
            await rig.wait_for_responses()
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) <= FREE

    run(play())


def test_both_processes_together_stay_within_half_the_limits(tmp_path):
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


def test_upgrades_in_a_row_lose_next_to_nothing(tmp_path):
    """`benchmarks/upgrade.py` plays twenty, alone and under each fault."""

    async def play():
        async with hot_restart_rig(tmp_path, new_share=1.0) as rig:
            for _ in range(6):
                await rig.upgrade()
            assert len(rig.member.processes) == 7
            assert len(rig.member.living) == 1
        verdict = rig.verdict()
        assert not verdict.violations
        assert len(verdict.lost) + verdict.counts.get("unsent", 0) <= FREE * 6

    run(play())


def test_the_judge_finds_what_was_lost_doubled_late_or_went_to_a_banned_server():
    """Guards against a rig that sees no fault."""
    from dykefold.lab.emulator.server import Arrival
    from dykefold.lab.fleet.client import ClientRequest, RequestEnd

    def asked(ident, cls, end, sent_s=1.0, body=None):
        return ClientRequest(ident, cls, 0, sent_s, sent_s + 0.1, end, 200, ident if body is None else body)

    all_requests = [
        asked("twice", "order", RequestEnd.SERVED),
        asked("lost", "lookup", RequestEnd.LOST),
        asked("held", "lookup", RequestEnd.LOST, 5.0),
        asked("else", "lookup", RequestEnd.SERVED, body="other"),
        asked("refused", "order", RequestEnd.REFUSED),
        asked("crossed", "order", RequestEnd.CROSSED),
        asked("unread", "order", RequestEnd.CROSSED),
        asked("window", "hold", RequestEnd.SERVED),
        asked("heldback", "hold", RequestEnd.SERVED),
        asked("banned", "lookup", RequestEnd.SERVED, 9.0),
        asked("copies", "lookup", RequestEnd.SERVED),
    ]
    arrivals = {
        "a": [Arrival(i, "x", 1.0, 1.0) for i in ("twice", "else", "refused", "crossed", "window", "copies")],
        # What a cut held back runs late, and was sent in time.
        "b": [
            Arrival("twice", "order", 1.2, 1.2),
            Arrival("window", "hold", 2.0, 2.0),
            Arrival("heldback", "hold", 1.1, 9.0),
            Arrival("heldback", "hold", 1.3, 1.3),
        ],
        "c": [Arrival("banned", "lookup", 9.0, 9.0), Arrival("copies", "lookup", 1.0, None, overlaps=True)],
    }
    found = judge(all_requests, arrivals, CLASSES, [Excuse(0, 5.0, 5.2)], [Ban(0, "c", 8.0)])
    assert found.lost == ["lost", "crossed"]
    assert found.excused == 1
    assert [line.split()[0] for line in found.violations] == [
        "twice", "else", "refused", "window", "copies", "banned",
    ]  # fmt: skip


def test_a_process_that_never_says_yes_is_noticed(tmp_path):
    """Guards against a rig that waits for ever, or takes silence for a yes."""

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            new = await rig.member.start()
            await new.wait_for_line("admin API listens: address=")
            new.stop()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await rig.wait_until_ready(new)
                raise AssertionError("a stopped process said yes")
            rig.kill(new)
            await wait_until(lambda: not new.alive)
            assert READY_TIMEOUT_S > 1.0

    run(play())


def test_a_server_whose_return_can_not_be_written_down_stays_out(tmp_path):
    """Guards the refusal of the admin API against a server that is used all the same."""

    async def play():
        async with hot_restart_rig(tmp_path) as rig:
            (process,) = rig.member.living
            await rig.ban(process, "std-0")
            folder = rig.member.folder / "tmp" / "dykefold"
            folder.rename(folder.with_name("kept"))
            folder.write_text("")
            assert await call(process.admin_address, "POST /servers/std-0/ready") == 500
            await asyncio.sleep(GRACE_S)
            await rig.wait_for_responses(40)
        assert not rig.verdict().violations

    run(play())


@pytest.mark.fleet
@pytest.mark.parametrize("used", [False, True], ids=["fresh", "used"])
def test_a_request_that_came_while_the_process_stood_still_is_answered(tmp_path, used):
    """Guards what has not been read yet against the end of its connection's idleness."""

    async def play():
        async with hot_restart_rig(tmp_path, rate=20.0) as rig:
            (process,) = rig.member.living
            reader, writer = await asyncio.open_connection(*process.address)
            for number in range(int(used)):
                writer.write(request_message("lookup", f"w{number}"))
                assert (await read_message(reader)).code == 200
            process.stop()
            writer.write(request_message("lookup", "q", "9000m"))
            began = asyncio.get_running_loop().time()
            await asyncio.sleep(3.0)
            process.go_on()
            rig.excuses.append(Excuse(0, began - 0.2, began + 3.5))
            assert (await read_message(reader)).code == 200
            writer.close()

    run(play())
