"""The emulator's servers and arrivals against queueing theory, on a clock of their own."""

import math

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.lab.arrivals import arrival_times, service_times
from dykefold.lab.queueing import QueueingModel, waiting_times
from dykefold.lab.random_streams import generator
from dykefold.lab.scenario import LoadTable, ServiceTable

JOBS = 150_000  # the bounds below are some four standard errors of so many


def played(rate, cores, service, queue_most=10**9, jobs=JOBS, seed=5):
    """Waiting times of jobs, seconds, and the share that was turned away."""
    chance = generator(seed, "theory")
    times = arrival_times(LoadTable(rate=rate), jobs / rate, chance)
    found = waiting_times(
        QueueingModel(cores, queue_most), times.tolist(), service_times(service, len(times), chance).tolist()
    )
    kept = np.array([wait for wait in found if wait is not None])
    return kept, 1 - len(kept) / len(found)


def erlang_c(cores, load):
    """The share of jobs that wait in M/M/c (Erlang, 1917)."""
    top = load**cores / math.factorial(cores) * cores / (cores - load)
    return top / (sum(load**k / math.factorial(k) for k in range(cores)) + top)


@pytest.mark.parametrize(("cores", "use"), [(1, 0.5), (1, 0.7), (4, 0.7)])
def test_exponential_work_waits_as_erlang_says(cores, use):
    mean_s = 0.01
    found, _ = played(cores * use / mean_s, cores, ServiceTable("exponential", mean_s * 1000))
    wanted = erlang_c(cores, cores * use) * mean_s / (cores * (1 - use))
    assert found.mean() == pytest.approx(wanted, rel=0.07)


@pytest.mark.parametrize(
    ("service", "variance"),
    [
        (ServiceTable("constant", 10.0), 0.0),
        (ServiceTable("lognormal", 10.0, 0.5), math.exp(0.25) - 1),
        (ServiceTable("exponential", 10.0), 1.0),
    ],
)
def test_mean_wait_of_general_work_follows_pollaczek_khinchine(service, variance):
    found, _ = played(60.0, 1, service)
    wanted = 0.6 / (1 - 0.6) * (1 + variance) / 2 * 0.01
    assert found.mean() == pytest.approx(wanted, rel=0.07)


def test_queue_without_waiting_room_loses_jobs_by_the_erlang_formula():
    cores, load = 5, 4.0
    _, lost = played(load / 0.01, cores, ServiceTable("exponential", 10.0), queue_most=0)
    terms = [load**k / math.factorial(k) for k in range(cores + 1)]
    assert lost == pytest.approx(terms[-1] / sum(terms), rel=0.05)


@pytest.mark.parametrize(
    "service",
    [
        ServiceTable("constant", 40.0),
        ServiceTable("exponential", 40.0),
        ServiceTable("lognormal", 40.0, 1.0),
        ServiceTable("pareto", 40.0, 3.5),
    ],
)
def test_each_kind_of_work_has_the_mean_that_it_states(service):
    assert service_times(service, 400_000, generator(1, "x")).mean() == pytest.approx(0.04, rel=0.02)


@pytest.mark.parametrize(
    ("load", "wanted"),
    [
        (LoadTable("poisson", 50.0), 50.0),
        (LoadTable("bursty", 50.0, 150.0, 2.0), 50.0),
        (LoadTable("step", 20.0, 80.0, at_s=500.0), 50.0),
        (LoadTable("ramp", 20.0, 80.0), 50.0),
        (LoadTable("sine", 50.0, 90.0, 20.0), 50.0),
    ],
)
def test_each_kind_of_load_has_its_rate_in_the_mean(load, wanted):
    times = arrival_times(load, 1000.0, generator(2, "arrivals"))
    assert len(times) / 1000.0 == pytest.approx(wanted, rel=0.08)
    assert (np.diff(times) >= 0).all()
    assert times[0] >= 0
    assert times[-1] <= 1000.0


@given(st.lists(st.booleans(), max_size=60), st.integers(1, 4), st.integers(0, 5), st.booleans())
def test_queue_never_exceeds_its_cores_and_length(moves, cores, queue_most, lifo):
    station = QueueingModel(cores, queue_most, lifo)
    came, begun, done = [], [], 0
    for number, arrives in enumerate(moves):
        if arrives:
            taken = station.arrive(number)
            if taken is not None:
                came.append(number)
            if taken:
                begun.append(number)
        elif done < len(begun):
            done += 1
            following = station.finish()
            if following is not None:
                waiting = [job for job in came if job not in begun]
                assert following == (waiting[-1] if lifo else waiting[0])
                begun.append(following)
        assert station.busy == len(begun) - done <= cores
        assert len(station.waiting) == len(came) - len(begun) <= queue_most
        assert not station.waiting or station.busy == cores


def test_the_last_that_came_is_first_where_the_file_says_so():
    found = waiting_times(QueueingModel(1, 10, lifo=True), [0.0, 0.1, 0.2], [1.0, 1.0, 1.0])
    assert found == [0.0, pytest.approx(1.9), pytest.approx(0.8)]
