"""Whole runs of small scenarios, and a scenario file with several things wrong."""

import asyncio
import json
from dataclasses import asdict

import pytest
from net_helpers import FakePeer, run
from typer.testing import CliRunner

from dykefold.cli import app
from dykefold.lab.emulator.server import Arrival
from dykefold.lab.judge import judge
from dykefold.lab.load.client import Load, histogram
from dykefold.lab.run import play
from dykefold.lab.scenario import read_scenario
from dykefold.service_config import ServiceError

pytestmark = pytest.mark.processes

SMALL = """
seed = 3
span_s = 2.0
[[servers]]
name = "std"
count = 3
cores = 2
[classes.lookup]
share = 2.0
aim_ms = 400
deadline_ms = 1000
service = {{ kind = "exponential", mean_ms = 5.0 }}
[classes.order]
effect = "unsafe"
aim_ms = 400
deadline_ms = 1000
service = {{ kind = "constant", mean_ms = 5.0 }}
[load]
rate = {rate}
retries = 1
{more}
"""
LOST = '[[faults]]\nkind = "{kind}"\nat_s = 0.3\nfor_s = 1.0\nservers = ["std-0"]\nshare = 0.5\n'


def scenario_file(tmp_path, rate=60.0, more=""):
    path = tmp_path / "scenario.toml"
    path.write_text(SMALL.format(rate=rate, more=more))
    return path


@pytest.mark.parametrize("kind", ["crash", "silence", "reset", "lost", "garbage", "full"])
def test_a_run_through_the_sidecar_keeps_the_rules_under_each_fault(tmp_path, kind):
    path = scenario_file(tmp_path, more=LOST.format(kind=kind))
    result = play(path)
    assert not result.violations
    ends = sum((one.counts for one in result.classes.values()), start=type(result.classes["order"].counts)())
    assert 60 <= sum(ends.values()) <= 200
    assert ends["in_aim"] > 0.5 * sum(ends.values())
    assert len(result.shares) == 3
    assert sum(result.shares.values()) == result.attempts


def test_a_stall_shows_in_the_percentiles_of_the_open_loop(tmp_path):
    """A closed loop would send one request into the stall and leave out those that waited behind it."""
    scenario = read_scenario(str(scenario_file(tmp_path, rate=100.0)))

    async def act(message, reader, writer):
        now = loop().time()
        if stalled[0] is None:
            stalled[0] = now + 1.0
        await asyncio.sleep(max(stalled[0] - now, 0.0))
        ident = message.headers["x-request-id"].encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ident), ident))

    def loop():
        return asyncio.get_running_loop()

    async def measured():
        fake = await FakePeer(act).start()
        load = Load(scenario, fake.port, 0, 1)
        await load.play()
        return load

    stalled = [None]
    load = run(measured())
    lookups = load.results["lookup"]
    assert lookups.latency.get_value_at_percentile(75) > 300_000  # half of the span stood still
    assert load.lag.get_value_at_percentile(50) < 100_000
    assert sum(lookups.counts.values()) + sum(load.results["order"].counts.values()) == len(load.requests)


def test_the_judge_finds_what_ran_twice_never_or_was_refused(tmp_path):
    scenario = read_scenario(str(scenario_file(tmp_path)))

    def arrival(ident, cls, began_s):
        return {"ident": ident, "cls": cls, "came_s": 0.0, "began_s": began_s, "ended_s": 1.0, "answer": ""}

    truth = {
        "std-0": [arrival("a", "order", 0.1), arrival("b", "lookup", 0.1), arrival("c", "order", 0.2)],
        "std-1": [arrival("a", "order", 0.4), arrival("b", "lookup", 0.4), arrival("e", "order", None)],
    }
    empty = histogram().encode().decode()

    def told(served, refused):
        return {"latency": empty, "counts": {}, "by_second": {}, "served": served, "refused": refused}

    seen = [{"lag": empty, "classes": {"lookup": told(["b"], []), "order": told(["d"], ["c", "e"])}}]
    found = judge(scenario, seen, truth).violations
    assert found == [
        "a (unsafe) ran 2 times: std-0 at 0.100 s, std-1 at 0.400 s",
        "d was served and never ran",
        "c was refused and ran",
    ]


def test_work_begun_before_the_time_line_counts_as_run(tmp_path):
    """Load and emulator start their clocks one after the other: the first request may come before."""
    first = Arrival("0-0", "order", came_s=9.8, began_s=9.9)
    first.shift(10.0)
    unstarted = Arrival("0-1", "order", came_s=9.8)
    unstarted.shift(10.0)
    assert first.began_s == pytest.approx(-0.1)
    assert unstarted.began_s is None
    empty = histogram().encode().decode()
    ends = {"latency": empty, "counts": {}, "by_second": {}, "served": ["0-0"], "refused": ["0-1"]}
    none = {**ends, "served": [], "refused": []}
    seen = [{"lag": empty, "classes": {"lookup": none, "order": ends}}]
    truth = {"std-0": [asdict(first), asdict(unstarted)]}
    scenario = read_scenario(str(scenario_file(tmp_path)))
    assert judge(scenario, seen, truth).violations == []


def test_a_scenario_file_tells_all_that_is_wrong_at_once(tmp_path):
    path = tmp_path / "scenario.toml"
    path.write_text(
        'seed = -1\nsapn_s = 3\n[[servers]]\nname = "std"\ncores = 0\n[classes.a]\neffect = "sage"\n'
        '[load]\nkind = "pulse"\n[[faults]]\nkind = "crash"\nat_s = 1.0\nservers = []\n'
    )
    with pytest.raises(ServiceError) as error:
        read_scenario(str(path))
    places = [problem.split(" ")[0].rstrip(":") for problem in error.value.problems]
    assert sorted(places) == [
        "classes.a.effect",
        "faults[0].for_s",
        "load.kind",
        "sapn_s",
        "seed",
        "servers[0].cores",
    ]
    got = CliRunner().invoke(app, ["lab", "check", str(path)])
    assert got.exit_code == 2
    assert len(got.stderr.splitlines()) == 6


def test_contradictory_values_are_reported(tmp_path):
    more = '[[faults]]\nkind = "slow"\nat_s = 1.0\nfor_s = 1.0\nservers = ["big"]\n'
    with pytest.raises(ServiceError, match=r"faults\[0\].servers: big: expected std or NAME-NUMBER"):
        read_scenario(str(scenario_file(tmp_path, more=more)))


def test_the_command_plays_a_scenario_and_tells_it_as_json(tmp_path):
    got = CliRunner().invoke(app, ["lab", "run", str(scenario_file(tmp_path)), "--json"])
    told = json.loads(got.stdout)
    assert told["violations"] == []
    assert set(told["classes"]) == {"lookup", "order"}
    assert got.exit_code == (0 if told["valid"] else 1)
