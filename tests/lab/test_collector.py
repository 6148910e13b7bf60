"""A rig runs no full garbage collection during a measurement, which would make it late itself."""

import gc

import pytest
from net_helpers import async_test

from dykefold.lab.fleet.collector import collector_paused
from dykefold.lab.fleet.run import open_rig
from dykefold.lab.fleet.scenario import FleetScenario, FleetTable


@async_test
async def test_collector_is_disabled_while_rig_is_open():
    async with open_rig(FleetScenario(FleetTable(members=1))):
        assert not gc.isenabled()
    assert gc.isenabled()


def test_earlier_garbage_is_collected_before_block_begins():
    cycle = []
    cycle.append(cycle)
    del cycle
    with collector_paused():
        assert gc.collect() == 0


def test_collector_disabled_by_caller_stays_disabled():
    gc.disable()
    try:
        with collector_paused():
            pass
        assert not gc.isenabled()
    finally:
        gc.enable()


def test_collector_is_enabled_again_after_error_in_block():
    with pytest.raises(ValueError, match="broken"), collector_paused():
        raise ValueError("broken")
    assert gc.isenabled()
