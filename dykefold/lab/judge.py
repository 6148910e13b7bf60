"""What a run shows: service by class, and the rules judged from the servers' truth. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .scenario import Scenario

MAX_LAG_US = (
    20_000  # of the load tool at its 99th percentile; beyond it a run says nothing of what it measured
)
PERCENTILES = (50.0, 99.0, 99.9)
ENDS = ("in_aim", "late", "refused", "failed", "unanswered", "unsent")


@dataclass(slots=True)
class ClassResult:
    """Of one class; `counts` by how its requests ended."""

    counts: Counter[str]
    latency: HdrHistogram
    by_second: dict[int, Counter[str]]

    def percentiles_ms(self) -> dict[str, float]:
        return {f"p{at:g}": self.latency.get_value_at_percentile(at) / 1000 for at in PERCENTILES}


@dataclass(slots=True)
class RunResult:
    """Of one run.

    Attributes:
        lag_ms: 99th percentile of the load tool's own lateness.
        valid: whether that is within its bound, and the tool has sent all that it should have.
        violations: of the rules, a line each.
        shares: attempts by server.
    """

    classes: dict[str, ClassResult]
    lag_ms: float
    violations: list[str]
    attempts: int
    shares: dict[str, int] = field(default_factory=dict)

    @property
    def valid(self) -> bool:
        unsent = sum(one.counts["unsent"] for one in self.classes.values())
        return self.lag_ms * 1000 <= MAX_LAG_US and not unsent


def judge(scenario: Scenario, seen: list[dict], truth: dict[str, list[dict]]) -> RunResult:
    """Put together what the load processes saw and what the servers know.

    Args:
        seen: what each load process has printed.
        truth: the arrivals at each server, by its name.
    """
    classes = {}
    for name in scenario.classes:
        latency = HdrHistogram(1, 120_000_000, 3)
        counts: Counter[str] = Counter()
        by_second: dict[int, Counter[str]] = {}
        for one in seen:
            told = one["classes"][name]
            latency.decode_and_add(told["latency"])
            counts.update(told["counts"])
            for second, ends in told["by_second"].items():
                by_second.setdefault(int(second), Counter()).update(ends)
        classes[name] = ClassResult(counts, latency, by_second)
    lag = HdrHistogram(1, 120_000_000, 3)
    for one in seen:
        lag.decode_and_add(one["lag"])
    return RunResult(
        classes,
        lag.get_value_at_percentile(99.0) / 1000,
        _violations(scenario, seen, truth),
        sum(map(len, truth.values())),
        {server: len(arrivals) for server, arrivals in truth.items()},
    )


def _violations(scenario: Scenario, seen: list[dict], truth: dict[str, list[dict]]) -> list[str]:
    runs: dict[str, list[tuple[float, str]]] = {}
    classes = {}
    for server, arrivals in truth.items():
        for arrival in arrivals:
            classes[arrival["ident"]] = scenario.classes[arrival["cls"]]
            if arrival["began_s"] is not None:
                runs.setdefault(arrival["ident"], []).append((arrival["began_s"], server))
    found = []
    for ident, places in runs.items():
        effect, window_s = classes[ident].effect, classes[ident].window_ms / 1000
        if len(places) < 2 or effect == "safe":
            continue
        if effect == "unsafe" or max(places)[0] - min(places)[0] > window_s:
            where = ", ".join(f"{server} at {at:.3f} s" for at, server in sorted(places))
            found.append(f"{ident} ({effect}) ran {len(places)} times: {where}")
    for one in seen:
        for name, told in one["classes"].items():
            found += [f"{ident} was served and never ran" for ident in told["served"] if ident not in runs]
            if scenario.classes[name].effect == "unsafe":
                found += [f"{ident} was refused and ran" for ident in told["refused"] if ident in runs]
    return found
