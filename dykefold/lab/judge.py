"""Result of a run: outcomes by class, and violations of the rules in the servers' records. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from .scenario import Scenario

MAX_LAG_US = 20_000  # Lateness of the load generator at its 99th percentile; a run with more is invalid.
PERCENTILES = (50.0, 99.0, 99.9)
ENDS = ("in_aim", "late", "refused", "failed", "unanswered", "unsent")


@dataclass(slots=True)
class ClassResult:
    """Result of one class.

    Attributes:
        counts: Number of requests by outcome (`ENDS`).
        latency: Latencies of served requests in microseconds.
        by_second: Number of requests by second of the intended start and by outcome.
    """

    counts: Counter[str]
    latency: HdrHistogram
    by_second: dict[int, Counter[str]]

    def percentiles_ms(self) -> dict[str, float]:
        """Return the latencies in milliseconds at `PERCENTILES`."""
        return {
            f"p{percentile:g}": self.latency.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        }


@dataclass(slots=True)
class RunResult:
    """Result of one run.

    Attributes:
        classes: Result of each class, by name.
        lag_ms: 99th percentile of the load generator's own lateness, in milliseconds.
        violations: Violations of the rules, one sentence each.
        attempts: Number of attempts that reached a server.
        shares: Number of attempts by server.
    """

    classes: dict[str, ClassResult]
    lag_ms: float
    violations: list[str]
    attempts: int
    shares: dict[str, int] = field(default_factory=dict)

    @property
    def valid(self) -> bool:
        """Whether the load generator was late by at most `MAX_LAG_US` and sent every request."""
        unsent = sum(result.counts["unsent"] for result in self.classes.values())
        return self.lag_ms * 1000 <= MAX_LAG_US and not unsent


def judge(scenario: Scenario, reports: list[dict], truth: dict[str, list[dict]]) -> RunResult:
    """Combine the reports of the load processes, and check the rules against the records of the servers.

    Args:
        scenario: The scenario.
        reports: Report that each load process printed.
        truth: Attempts that reached each server, by server name.
    """
    classes = {}
    for name in scenario.classes:
        latency = HdrHistogram(1, 120_000_000, 3)
        counts: Counter[str] = Counter()
        by_second: dict[int, Counter[str]] = {}
        for report in reports:
            entry = report["classes"][name]
            latency.decode_and_add(entry["latency"])
            counts.update(entry["counts"])
            for second, ends in entry["by_second"].items():
                by_second.setdefault(int(second), Counter()).update(ends)
        classes[name] = ClassResult(counts, latency, by_second)
    lag = HdrHistogram(1, 120_000_000, 3)
    for report in reports:
        lag.decode_and_add(report["lag"])
    return RunResult(
        classes,
        lag.get_value_at_percentile(99.0) / 1000,
        _violations(scenario, reports, truth),
        sum(map(len, truth.values())),
        {server: len(arrivals) for server, arrivals in truth.items()},
    )


def _violations(scenario: Scenario, reports: list[dict], truth: dict[str, list[dict]]) -> list[str]:
    executions_by_id: dict[str, list[tuple[float, str]]] = {}
    classes = {}
    for server, arrivals in truth.items():
        for arrival in arrivals:
            classes[arrival["ident"]] = scenario.classes[arrival["cls"]]
            if arrival["began_s"] is not None:
                executions_by_id.setdefault(arrival["ident"], []).append((arrival["began_s"], server))
    violations = []
    for ident, executions in executions_by_id.items():
        effect, window_s = classes[ident].effect, classes[ident].window_ms / 1000
        if len(executions) == 1 or effect == "safe":
            continue
        if effect == "unsafe" or max(executions)[0] - min(executions)[0] > window_s:
            executions_text = ", ".join(f"{server} at {at:.3f} s" for at, server in sorted(executions))
            violations.append(
                f"request {ident} ({effect}) ran {len(executions)} times ({executions_text}); "
                "expected once if unsafe, only within window_ms if keyed"
            )
    for report in reports:
        for name, entry in report["classes"].items():
            violations += [
                f"request {ident} was answered as served, but ran on no server; expected an execution"
                for ident in entry["served"]
                if ident not in executions_by_id
            ]
            if scenario.classes[name].effect == "unsafe":
                violations += [
                    f"unsafe request {ident} was answered as refused, but ran on a server; "
                    "expected no execution"
                    for ident in entry["refused"]
                    if ident in executions_by_id
                ]
    return violations
