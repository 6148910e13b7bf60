"""Complete runs of small scenarios, the judge, and invalid scenario files."""

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

SCENARIO = """
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
{extra_toml}
"""
FAULT = '[[faults]]\nkind = "{kind}"\nat_s = 0.3\nfor_s = 1.0\nservers = ["std-0"]\nshare = 0.5\n'


def scenario_file(tmp_path, rate=60.0, extra_toml=""):
    path = tmp_path / "scenario.toml"
    path.write_text(SCENARIO.format(rate=rate, extra_toml=extra_toml))
    return path


@pytest.mark.parametrize("kind", ["crash", "silence", "reset", "lost", "garbage", "full"])
def test_run_through_sidecar_has_no_violations_under_each_fault(tmp_path, kind):
    path = scenario_file(tmp_path, extra_toml=FAULT.format(kind=kind))
    result = play(path)
    assert not result.violations
    ends = sum(
        (outcome.counts for outcome in result.classes.values()), start=type(result.classes["order"].counts)()
    )
    assert 60 <= sum(ends.values()) <= 200
    assert ends["in_aim"] > 0.5 * sum(ends.values())
    assert len(result.shares) == 3
    assert sum(result.shares.values()) == result.attempts


def test_open_loop_latency_includes_requests_delayed_by_stall(tmp_path):
    """Guards against coordinated omission: a closed loop would send only one request into the stall."""
    scenario = read_scenario(str(scenario_file(tmp_path, rate=100.0)))

    async def answer_after_stall(message, reader, writer):
        now = loop().time()
        if stall_end_s[0] is None:
            stall_end_s[0] = now + 1.0
        await asyncio.sleep(max(stall_end_s[0] - now, 0.0))
        ident = message.headers["x-request-id"].encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(ident), ident))

    def loop():
        return asyncio.get_running_loop()

    async def run_load():
        peer = await FakePeer(answer_after_stall).start()
        load = Load(scenario, peer.port, 0, 1)
        await load.play()
        return load

    stall_end_s = [None]
    load = run(run_load())
    lookups = load.results["lookup"]
    assert lookups.latency.get_value_at_percentile(75) > 300_000  # The stall lasts half of the span.
    assert load.lag.get_value_at_percentile(50) < 100_000
    assert sum(lookups.counts.values()) + sum(load.results["order"].counts.values()) == len(load.requests)


def test_judge_reports_duplicate_missing_and_refused_executions(tmp_path):
    scenario = read_scenario(str(scenario_file(tmp_path)))

    def arrival(ident, cls, began_s):
        return {"ident": ident, "cls": cls, "came_s": 0.0, "began_s": began_s, "ended_s": 1.0, "answer": ""}

    truth = {
        "std-0": [arrival("a", "order", 0.1), arrival("b", "lookup", 0.1), arrival("c", "order", 0.2)],
        "std-1": [arrival("a", "order", 0.4), arrival("b", "lookup", 0.4), arrival("e", "order", None)],
    }
    empty = histogram().encode().decode()

    def class_report(served, refused):
        return {"latency": empty, "counts": {}, "by_second": {}, "served": served, "refused": refused}

    reports = [
        {
            "lag": empty,
            "classes": {"lookup": class_report(["b"], []), "order": class_report(["d"], ["c", "e"])},
        }
    ]
    violations = judge(scenario, reports, truth).violations
    assert violations == [
        "request a (unsafe) ran 2 times (std-0 at 0.100 s, std-1 at 0.400 s); "
        "expected once if unsafe, only within window_ms if keyed",
        "request d was answered as served, but ran on no server; expected an execution",
        "unsafe request c was answered as refused, but ran on a server; expected no execution",
    ]


def test_judge_counts_work_begun_before_clock_start(tmp_path):
    """Guards against a false violation if the load starts its clock, and sends, before the emulator's."""
    first = Arrival("0-0", "order", came_s=9.8, began_s=9.9)
    first.shift(10.0)
    never_started = Arrival("0-1", "order", came_s=9.8)
    never_started.shift(10.0)
    assert first.began_s == pytest.approx(-0.1)
    assert never_started.began_s is None
    empty = histogram().encode().decode()
    ends = {"latency": empty, "counts": {}, "by_second": {}, "served": ["0-0"], "refused": ["0-1"]}
    no_ends = {**ends, "served": [], "refused": []}
    reports = [{"lag": empty, "classes": {"lookup": no_ends, "order": ends}}]
    truth = {"std-0": [asdict(first), asdict(never_started)]}
    scenario = read_scenario(str(scenario_file(tmp_path)))
    assert judge(scenario, reports, truth).violations == []


def test_invalid_scenario_file_reports_all_problems(tmp_path):
    path = tmp_path / "scenario.toml"
    path.write_text(
        'seed = -1\nsapn_s = 3\n[[servers]]\nname = "std"\ncores = 0\n[classes.a]\neffect = "sage"\n'
        '[load]\nkind = "pulse"\n[[faults]]\nkind = "crash"\nat_s = 1.0\nservers = []\n'
    )
    with pytest.raises(ServiceError) as error:
        read_scenario(str(path))
    keys = [problem.split(" ")[0].rstrip(":") for problem in error.value.problems]
    assert sorted(keys) == [
        "classes.a.effect",
        "faults[0].for_s",
        "load.kind",
        "sapn_s",
        "seed",
        "servers[0].cores",
    ]
    result = CliRunner().invoke(app, ["lab", "check", str(path)])
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 6


def test_contradictory_values_are_reported(tmp_path):
    extra_toml = '[[faults]]\nkind = "slow"\nat_s = 1.0\nfor_s = 1.0\nservers = ["big"]\n'
    with pytest.raises(ServiceError, match=r"faults\[0\].servers: big: expected std or NAME-NUMBER"):
        read_scenario(str(scenario_file(tmp_path, extra_toml=extra_toml)))


def test_lab_run_command_prints_report_as_json(tmp_path):
    result = CliRunner().invoke(app, ["lab", "run", str(scenario_file(tmp_path)), "--json"])
    report = json.loads(result.stdout)
    assert report["violations"] == []
    assert set(report["classes"]) == {"lookup", "order"}
    assert result.exit_code == (0 if report["valid"] else 1)
