"""The emulator's queueing model and arrival processes against queueing theory, on a virtual clock."""

import math

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.lab.arrivals import arrival_times, service_times
from dykefold.lab.queueing import QueueingModel, waiting_times
from dykefold.lab.random_streams import generator
from dykefold.lab.scenario import LoadTable, ServiceTable

JOBS = 150_000  # The tolerances below are about four standard errors for this number of jobs.


def simulate(rate, cores, service, max_queue=10**9, jobs=JOBS, seed=5):
    """Return the waiting times of the accepted jobs in seconds, and the fraction of rejected jobs."""
    rng = generator(seed, "theory")
    times = arrival_times(LoadTable(rate=rate), jobs / rate, rng)
    waits = waiting_times(
        QueueingModel(cores, max_queue), times.tolist(), service_times(service, len(times), rng).tolist()
    )
    accepted = np.array([wait for wait in waits if wait is not None])
    return accepted, 1 - len(accepted) / len(waits)


def erlang_c(cores, load):
    """Return the fraction of jobs that wait in M/M/c (Erlang, 1917)."""
    waiting_term = load**cores / math.factorial(cores) * cores / (cores - load)
    return waiting_term / (sum(load**k / math.factorial(k) for k in range(cores)) + waiting_term)


@pytest.mark.parametrize(("cores", "utilization"), [(1, 0.5), (1, 0.7), (4, 0.7)])
def test_mean_wait_of_exponential_service_follows_erlang_c(cores, utilization):
    mean_s = 0.01
    waits, _ = simulate(cores * utilization / mean_s, cores, ServiceTable("exponential", mean_s * 1000))
    expected = erlang_c(cores, cores * utilization) * mean_s / (cores * (1 - utilization))
    assert waits.mean() == pytest.approx(expected, rel=0.07)


@pytest.mark.parametrize(
    ("service", "variance"),
    [
        (ServiceTable("constant", 10.0), 0.0),
        (ServiceTable("lognormal", 10.0, 0.5), math.exp(0.25) - 1),
        (ServiceTable("exponential", 10.0), 1.0),
    ],
)
def test_mean_wait_of_general_service_follows_pollaczek_khinchine(service, variance):
    waits, _ = simulate(60.0, 1, service)
    expected = 0.6 / (1 - 0.6) * (1 + variance) / 2 * 0.01
    assert waits.mean() == pytest.approx(expected, rel=0.07)


def test_rejected_fraction_without_queue_follows_erlang_b():
    cores, load = 5, 4.0
    _, rejected_fraction = simulate(load / 0.01, cores, ServiceTable("exponential", 10.0), max_queue=0)
    terms = [load**k / math.factorial(k) for k in range(cores + 1)]
    assert rejected_fraction == pytest.approx(terms[-1] / sum(terms), rel=0.05)


@pytest.mark.parametrize(
    "service",
    [
        ServiceTable("constant", 40.0),
        ServiceTable("exponential", 40.0),
        ServiceTable("lognormal", 40.0, 1.0),
        ServiceTable("pareto", 40.0, 3.5),
    ],
)
def test_service_times_of_each_kind_have_the_configured_mean(service):
    assert service_times(service, 400_000, generator(1, "x")).mean() == pytest.approx(0.04, rel=0.02)


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (LoadTable("poisson", 50.0), 50.0),
        (LoadTable("bursty", 50.0, 150.0, 2.0), 50.0),
        (LoadTable("step", 20.0, 80.0, at_s=500.0), 50.0),
        (LoadTable("ramp", 20.0, 80.0), 50.0),
        (LoadTable("sine", 50.0, 90.0, 20.0), 50.0),
    ],
)
def test_arrivals_of_each_kind_have_the_configured_mean_rate(load, expected):
    times = arrival_times(load, 1000.0, generator(2, "arrivals"))
    assert len(times) / 1000.0 == pytest.approx(expected, rel=0.08)
    assert (np.diff(times) >= 0).all()
    assert times[0] >= 0
    assert times[-1] <= 1000.0


@given(st.lists(st.booleans(), max_size=60), st.integers(1, 4), st.integers(0, 5), st.booleans())
def test_queue_never_exceeds_cores_and_max_queue(arrivals, cores, max_queue, lifo):
    model = QueueingModel(cores, max_queue, lifo)
    accepted, started, finished = [], [], 0
    for number, arrives in enumerate(arrivals):
        if arrives:
            starts_now = model.arrive(number)
            if starts_now is not None:
                accepted.append(number)
            if starts_now:
                started.append(number)
        elif finished < len(started):
            finished += 1
            next_job = model.finish()
            if next_job is not None:
                waiting = [job for job in accepted if job not in started]
                assert next_job == (waiting[-1] if lifo else waiting[0])
                started.append(next_job)
        assert model.busy == len(started) - finished <= cores
        assert len(model.waiting) == len(accepted) - len(started) <= max_queue
        assert not model.waiting or model.busy == cores


def test_lifo_queue_serves_latest_job_first():
    waits = waiting_times(QueueingModel(1, 10, lifo=True), [0.0, 0.1, 0.2], [1.0, 1.0, 1.0])
    assert waits == [0.0, pytest.approx(1.9), pytest.approx(0.8)]
