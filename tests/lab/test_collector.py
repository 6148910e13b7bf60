"""The garbage collector stays out of what a rig measures."""

import gc

import pytest
from net_helpers import async_test

from dykefold.lab.fleet.collector import collector_paused
from dykefold.lab.fleet.run import rigged
from dykefold.lab.fleet.scenario import FleetScenario, FleetTable


@async_test
async def test_no_collection_begins_while_a_rig_is_measured():
    async with rigged(FleetScenario(FleetTable(members=1))):
        assert not gc.isenabled()
    assert gc.isenabled()


def test_what_is_garbage_before_the_span_is_collected_ahead_of_it():
    cycle = []
    cycle.append(cycle)
    del cycle
    with collector_paused():
        assert gc.collect() == 0


def test_a_caller_that_had_paused_it_finds_it_paused():
    gc.disable()
    try:
        with collector_paused():
            pass
        assert not gc.isenabled()
    finally:
        gc.enable()


def test_it_goes_on_after_an_error():
    with pytest.raises(ValueError, match="broken"), collector_paused():
        raise ValueError("broken")
    assert gc.isenabled()
