"""Incarnations derive from the wall clock, which may be set back or ahead before a restart."""

import pytest
from fleet_helpers import converged_fleet

from dykefold.fleet.member_state import State
from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.fleet.record_store import Topic
from dykefold.sim.views import SimulatedFleet

HOUR_MS = 3_600_000
SIZE = 12


def restart(fleet: SimulatedFleet, number: int, offset_ms: int, graceful: bool) -> None:
    if graceful:
        fleet.begin_shutdown(number)
        fleet.run(NS_PER_S)
        fleet.living[number].leave(fleet.now_ns, last=True)
        fleet._flush(fleet.living[number], number)
    fleet.kill(number)
    fleet.clock_off_ms[number] = offset_ms
    fleet.start(number)


@pytest.mark.parametrize("offset_ms", [-HOUR_MS, -5_000, 5_000, HOUR_MS])
@pytest.mark.parametrize("graceful", [False, True], ids=["killed", "graceful"])
@pytest.mark.parametrize("restart_count", [1, SIZE // 2, SIZE - 1])
def test_restarted_members_override_former_incarnations_at_any_clock_offset(
    restart_count: int, graceful: bool, offset_ms: int
) -> None:
    """Guards against a clock offset that delays convergence or makes peers drop records after a restart."""
    fleet = converged_fleet(SIZE, 5)
    former_incarnations = {
        number: protocol.membership.incarnation for number, protocol in fleet.living.items()
    }
    fleet.living[0].membership.publish(fleet.now_ns, Topic.ENDPOINT_FAILED, 77, 1)
    fleet.run(NS_PER_S)
    for number in range(restart_count):
        restart(fleet, number, offset_ms, graceful)
    assert fleet.run(fleet.pace.settled_ns(SIZE), lambda: fleet.has_converged() and fleet.states_equal())
    for number in range(restart_count):
        assert fleet.living[number].membership.incarnation > former_incarnations[number]
        assert all(fleet.state(number, by) is State.ALIVE for by in fleet.living)
    fleet.living[0].membership.publish(fleet.now_ns, Topic.ENDPOINT_FAILED, 77, 2)
    fleet.run(5 * NS_PER_S)
    records = [
        protocol.membership.records.records.get((Topic.ENDPOINT_FAILED, 0, 77))
        for protocol in fleet.living.values()
    ]
    assert sum(record is not None and record[0].value == 2 for record in records) >= SIZE * 3 // 4
