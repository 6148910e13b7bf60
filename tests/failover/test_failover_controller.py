"""Failover controller: changed settings while the sidecar is away, sampled attempts, the settings file."""

from __future__ import annotations

import asyncio

import pytest
from fleet_helpers import ManualClock
from net_helpers import run

from dykefold.balancer.events import Status
from dykefold.failover.controller import FailoverController
from dykefold.failover.health_samples import AttemptResult
from dykefold.failover.settings import FailoverSettings
from dykefold.fleet.options import FailoverOptions
from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.service_config import ServiceError, read_service
from dykefold.sim.views import SimulatedFleet


class FakePool:
    """A pool with two endpoints in each of three zones; `zone_0_ejected` ejects those of zone 0."""

    def __init__(self) -> None:
        self.on_attempt_end = None
        self.zone_0_ejected = False
        self.home_zones: list[int] = []

    def ready_by_zone(self) -> dict[int, int]:
        return {0: 2, 1: 2, 2: 2}

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        return {0: (2, 2 if self.zone_0_ejected else 0), 1: (2, 0), 2: (2, 0)}

    def zone_of(self, endpoint_number: int) -> int | None:
        return endpoint_number // 2 if endpoint_number < 6 else None

    def responded_within(self, endpoint_number: int, duration_ns: int) -> bool:
        return endpoint_number == 0

    def set_home_zone(self, zone: int) -> None:
        self.home_zones.append(zone)


def test_changed_settings_keep_working_zone() -> None:
    async def scenario() -> None:
        views = SimulatedFleet(1, 1)
        pool, clock = FakePool(), ManualClock()
        controller = FailoverController(
            asyncio.get_running_loop(),
            views.start(0).membership,
            pool,
            FailoverSettings(list("abc"), 0, FailoverOptions(True)),
            clock,  # type: ignore[arg-type]
        )
        controller.working_zone = 1
        controller.change_settings(FailoverSettings(list("abc"), 0, FailoverOptions(True)))
        assert pool.home_zones == [1]  # Applying the settings had reset the pool to zone 0.
        controller.change_settings(FailoverSettings(list("abc"), 2, FailoverOptions(True)))
        assert (controller.settings.home, controller.working_zone, controller.plan.origin) == (2, 2, 2)
        assert pool.home_zones == [1]
        controller.close()

    run(scenario())


def test_attempts_are_sampled_by_their_results() -> None:
    async def scenario() -> None:
        pool, clock = FakePool(), ManualClock()
        controller = FailoverController(
            asyncio.get_running_loop(),
            SimulatedFleet(1, 1).start(0).membership,
            pool,
            FailoverSettings(list("abc"), 0, FailoverOptions(True)),
            clock,  # type: ignore[arg-type]
        )
        objective_ns = NS_PER_S
        for endpoint_number, status, duration_ns in (
            (0, Status.OK, 1), (0, Status.OK, 2 * NS_PER_S), (0, Status.FULL, 1),
            (0, Status.TIMEOUT, NS_PER_S), (0, Status.CANCELLED, 1), (0, Status.NOT_ATTEMPTED, 1),
            (99, Status.OK, 1), (1, Status.TIMEOUT, NS_PER_S), (1, Status.RESET, 1),
        ):  # fmt: skip
            pool.on_attempt_end(endpoint_number, status, duration_ns, objective_ns)  # type: ignore[misc]
        assert controller.sampler.counts == {
            0: {AttemptResult.IN_TIME: 1.0, AttemptResult.LATE: 2.0, AttemptResult.REJECTED: 1.0}
        }  # Resets and timeouts of endpoints without other responses count by ejection only.
        controller.close()

    run(scenario())


def test_all_problems_of_the_failover_table_are_reported(tmp_path) -> None:
    path = tmp_path / "service.toml"
    path.write_text('[failover]\non = true\nout = "a"\n')
    with pytest.raises(ServiceError) as error:
        read_service(str(path))
    assert [problem.partition(":")[0] for problem in error.value.problems] == [
        "failover.out = 'a'",
        "failover.on",
    ]
    path.write_text('[fleet]\nview = true\n[failover]\non = true\nout = ["a"]\nregions = {a = "x"}\n')
    assert read_service(str(path)).fleet.failover == FailoverOptions(True, {"a": "x"}, frozenset({"a"}))
