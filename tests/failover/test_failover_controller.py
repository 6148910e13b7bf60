"""The controller of the failover: changed settings during a move, samples, the operator's file."""

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
from dykefold.sim.views import Views


class FakePool:
    """A pool of two servers in each of three zones; those of zone 0 may be given up on."""

    def __init__(self) -> None:
        self.on_attempt_end = None
        self.lost = False
        self.homes: list[int] = []

    def ready_by_zone(self) -> dict[int, int]:
        return {0: 2, 1: 2, 2: 2}

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        return {0: (2, 2 if self.lost else 0), 1: (2, 0), 2: (2, 0)}

    def zone_of(self, server: int) -> int | None:
        return server // 2 if server < 6 else None

    def responded_within(self, server: int, duration_ns: int) -> bool:
        return server == 0

    def set_home_zone(self, zone: int) -> None:
        self.homes.append(zone)


def test_changed_settings_keep_a_sidecar_in_its_working_zone() -> None:
    async def play() -> None:
        world = Views(1, 1)
        pool, clock = FakePool(), ManualClock()
        made = FailoverController(
            asyncio.get_running_loop(),
            world.start(0).membership,
            pool,
            FailoverSettings(list("abc"), 0, FailoverOptions(True)),
            clock,  # type: ignore[arg-type]
        )
        made.working_zone = 1
        made.change_settings(FailoverSettings(list("abc"), 0, FailoverOptions(True)))
        assert pool.homes == [1]  # the settings had named the old one again
        made.change_settings(FailoverSettings(list("abc"), 2, FailoverOptions(True)))
        assert (made.settings.home, made.working_zone, made.plan.origin) == (2, 2, 2)
        assert pool.homes == [1]
        made.close()

    run(play())


def test_attempts_are_sampled_by_their_results() -> None:
    async def play() -> None:
        pool, clock = FakePool(), ManualClock()
        made = FailoverController(
            asyncio.get_running_loop(),
            Views(1, 1).start(0).membership,
            pool,
            FailoverSettings(list("abc"), 0, FailoverOptions(True)),
            clock,  # type: ignore[arg-type]
        )
        objective_ns = NS_PER_S
        for server, status, duration_ns in (
            (0, Status.OK, 1), (0, Status.OK, 2 * NS_PER_S), (0, Status.FULL, 1),
            (0, Status.TIMEOUT, NS_PER_S), (0, Status.CANCELLED, 1), (0, Status.NOT_ATTEMPTED, 1),
            (99, Status.OK, 1), (1, Status.TIMEOUT, NS_PER_S), (1, Status.RESET, 1),
        ):  # fmt: skip
            pool.on_attempt_end(server, status, duration_ns, objective_ns)  # type: ignore[misc]
        assert made.sampler.counts == {
            0: {AttemptResult.IN_TIME: 1.0, AttemptResult.LATE: 2.0, AttemptResult.REJECTED: 1.0}
        }  # what is lost is counted by servers
        made.close()

    run(play())


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
