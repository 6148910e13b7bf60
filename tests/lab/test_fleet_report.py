"""The keys of the rig's JSON report are read by other programs, so they must stay."""

from dykefold.lab.fleet.judge import SlowStartLoad, Verdict
from dykefold.lab.fleet.report import (
    ConnectionStats,
    FleetRunResult,
    LagStats,
    ListServiceStats,
    LoadStats,
    MembershipStats,
    SlowStartStats,
    ZoneStats,
)

KEYS = [
    "valid",
    "rig_lag_s",
    "rig_lag_at_start_s",
    "requests",
    "lost",
    "excused",
    "violations",
    "gap_s",
    "ready",
    "ready_s",
    "list_calls",
    "list_calls_most_in_a_second",
    "list_calls_by_second",
    "list_calls_turned_away",
    "handshakes",
    "handshakes_worst_server_worst_second",
    "listed",
    "listed_s",
    "crossed_by_second",
    "moves",
    "cold_load",
    "cold_fall",
    "slow_start",
    "slow_start_notified",
    "slow_start_short",
    "datagrams",
    "datagram_bytes",
    "view_settled_s",
    "asked_by_second",
    "served_by_second",
    "faults",
]
SLOW_START_KEYS = ["load", "age_s", "allowed", "calls", "notified", "sidecars", "openers", "repeats", "most"]


def test_json_report_has_stable_keys_and_values():
    load = SlowStartLoad(0.5, 1.0, 8.0, 9, 6, 3, 2, 1, 4)
    result = FleetRunResult(
        Verdict(counts={"served": 2}),
        [0.25, None, 0.5],
        [],
        LagStats(start_s=0.1, load_s=0.2),
        ListServiceStats([3, 5], 1, [0.125, 0.5]),
        ConnectionStats(7, 2),
        LoadStats([1, 2], [1, 1]),
        ZoneStats([0.0, 0.5], 1),
        SlowStartStats(0.3, 0.2, load, load, load),
        MembershipStats(11, 99, [], 1.5),
    )
    report = result.as_json()
    assert list(report) == KEYS
    assert report["slow_start"] == dict(zip(SLOW_START_KEYS, (0.5, 1.0, 8.0, 9, 6, 3, 2, 1, 4), strict=True))
    assert (report["valid"], report["rig_lag_s"], report["rig_lag_at_start_s"]) == (True, 0.2, 0.1)
    assert (report["ready"], report["ready_s"], report["listed_s"]) == (2, [0.5, 0.5], [0.5, 0.5])
    assert (report["list_calls"], report["list_calls_most_in_a_second"]) == (8, 5)
    assert (report["asked_by_second"], report["served_by_second"]) == ([1, 2], [1, 1])
    assert not result.passed  # The second member never listened.
