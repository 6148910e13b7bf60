"""Incarnations start with wall time; a member restarted with an earlier clock overrides its former one."""

import pytest
from fleet_helpers import converged_fleet

from dykefold.fleet.member_state import State
from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.fleet.record_store import Topic
from dykefold.sim.views import Views

HOUR_MS = 3_600_000
SIZE = 12


def restart(world: Views, number: int, off_ms: int, planned: bool) -> None:
    if planned:
        world.end(number)
        world.run(NS_PER_S)
        world.living[number].leave(world.now_ns, last=True)
        world._flush(world.living[number], number)
    world.kill(number)
    world.clock_off_ms[number] = off_ms
    world.start(number)


@pytest.mark.parametrize("off_ms", [-HOUR_MS, -5_000, 5_000, HOUR_MS])
@pytest.mark.parametrize("planned", [False, True], ids=["killed", "planned"])
@pytest.mark.parametrize("restarted", [1, SIZE // 2, SIZE - 1])
def test_restarted_members_override_their_former_incarnations(
    restarted: int, planned: bool, off_ms: int
) -> None:
    """As fast with a clock an hour back as with one an hour ahead, and their records count from then on."""
    world = converged_fleet(SIZE, 5)
    before = {number: protocol.membership.incarnation for number, protocol in world.living.items()}
    world.living[0].membership.publish(world.now_ns, Topic.ENDPOINT_FAILED, 77, 1)
    world.run(NS_PER_S)
    for number in range(restarted):
        restart(world, number, off_ms, planned)
    assert world.run(world.pace.settled_ns(SIZE), lambda: world.has_converged() and world.states_equal())
    for number in range(restarted):
        assert world.living[number].membership.incarnation > before[number]
        assert all(world.state(number, by) is State.ALIVE for by in world.living)
    world.living[0].membership.publish(world.now_ns, Topic.ENDPOINT_FAILED, 77, 2)
    world.run(5 * NS_PER_S)
    records = [
        protocol.membership.records.records.get((Topic.ENDPOINT_FAILED, 0, 77))
        for protocol in world.living.values()
    ]
    assert sum(record is not None and record[0].value == 2 for record in records) >= SIZE * 3 // 4
