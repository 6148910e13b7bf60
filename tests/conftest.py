"""The order in which tests are given to the cores: the longest first."""

import pytest

# Seconds of one core that a test takes, by the start of its node name; others take under three. A wrong or
# missing entry costs time alone. Times come from `pytest --durations`.
LONG_S = {
    "tests/balancer/test_concurrency_limit.py::test_from_any_state": 25,
    "tests/control/test_state_directory.py::test_whichever_file_call_fails": 20,
    "tests/sim/test_simulation.py::test_a_fixed_set_of_seeds_keeps_every_rule[zones": 8,
    "tests/sim/test_view_world.py::test_a_view_that_never_asks": 12,
    "tests/balancer/test_property.py::test_the_rules_hold": 12,
    "tests/routing/test_services.py::test_a_thousand_pools": 11,
    "tests/sim/test_simulation.py::test_each_mutant_is_found": 10,
    "tests/net/test_aborted_attempts.py::test_a_paused_process": 10,
    "tests/routing/test_reservations.py::TestReservations": 10,
    "tests/sim/test_simulation.py::test_a_fixed_set_of_seeds_keeps_every_rule": 8,
    "tests/control/test_state_directory.py::test_a_kill_at_any_file_call": 8,
    "tests/sim/test_reality.py::test_outcomes": 7,
    "tests/net/test_hostile_messages.py::test_a_body_of_one_byte": 6,
    "tests/control/test_hot_restart_orders.py::test_no_order": 5,
    "tests/admission/test_controller.py::TestAdmission": 5,
    "tests/test_process_kill.py::": 5,
    "tests/sim/test_simulation.py::": 4,
    "tests/sim/test_membership.py::": 4,
    "tests/sim/test_view_world.py::": 4,
    "tests/fleet/test_agent.py::": 4,
}


def cost_s(node: str) -> float:
    """What a test is known to take, in seconds; 0 when it is not among the long ones."""
    return max((cost for start, cost in LONG_S.items() if node.startswith(start)), default=0)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Put the long tests in front, with a short one behind each.

    A worker of pytest-xdist holds two tests at a time: of two long ones the second would wait for the first
    while other workers are idle. The order is the same in every worker, as pytest-xdist needs it.
    """
    long = sorted((item for item in items if cost_s(item.nodeid)), key=lambda item: -cost_s(item.nodeid))
    short = [item for item in items if not cost_s(item.nodeid)]
    paired = [item for pair in zip(long, short, strict=False) for item in pair]
    count = len(paired) // 2
    items[:] = paired + long[count:] + short[count:]
