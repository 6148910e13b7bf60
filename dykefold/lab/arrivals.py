"""Arrival times and service times of requests. No I/O: everything is drawn before a run starts."""

from __future__ import annotations

import math

import numpy as np

from .scenario import LoadTable, ServiceTable

BURST_FRACTION = 0.2  # Fraction of the time that `bursty` load spends in bursts.


def arrival_times(load: LoadTable, span_s: float, generator: np.random.Generator) -> np.ndarray:
    """Return the arrival times from 0 to `span_s`, in seconds and in ascending order.

    Draws a Poisson process with a variable rate by thinning (Lewis and Shedler, 1979): candidates arrive at
    the maximum rate, and a candidate at time t is accepted with probability rate(t) / maximum rate.
    """
    max_rate = load.rate if load.kind == "poisson" else max(load.rate, load.peak)
    count = generator.poisson(max_rate * span_s)
    times = np.sort(generator.uniform(0.0, span_s, count))
    if load.kind == "poisson":
        return times
    rates = _rates_at(load, span_s, times, generator)
    return times[generator.uniform(0.0, max_rate, count) < rates]


def _rates_at(
    load: LoadTable, span_s: float, times: np.ndarray, generator: np.random.Generator
) -> np.ndarray:
    if load.kind == "step":
        return np.where(times >= load.at_s, load.peak, load.rate)
    if load.kind == "ramp":
        return load.rate + (load.peak - load.rate) * times / span_s
    if load.kind == "sine":
        amplitude = load.peak - load.rate
        return np.maximum(load.rate + amplitude * np.sin(2 * math.pi * times / load.period_s), 0.0)
    # Bursty: two states, each of exponential duration (a Markov-modulated Poisson process).
    quiet_rate = max((load.rate - BURST_FRACTION * load.peak) / (1 - BURST_FRACTION), 0.0)
    state_starts_s, at_s, burst_states = [0.0], 0.0, [False]
    while at_s < span_s:
        fraction = BURST_FRACTION if burst_states[-1] else 1 - BURST_FRACTION
        at_s += generator.exponential(load.period_s * fraction)
        state_starts_s.append(at_s)
        burst_states.append(not burst_states[-1])
    state_indexes = np.searchsorted(state_starts_s, times, side="right") - 1
    return np.where(np.array(burst_states)[state_indexes], load.peak, quiet_rate)


def service_times(table: ServiceTable, count: int, generator: np.random.Generator) -> np.ndarray:
    """Return `count` service times in seconds on a core of speed 1; each kind has the mean of the table."""
    mean_s = table.mean_ms / 1000.0
    if table.kind == "constant":
        return np.full(count, mean_s)
    if table.kind == "exponential":
        return generator.exponential(mean_s, count)
    if table.kind == "lognormal":
        return generator.lognormal(math.log(mean_s) - table.shape**2 / 2, table.shape, count)
    minimum_s = mean_s * (table.shape - 1) / table.shape
    return minimum_s * (1 + generator.pareto(table.shape, count))
