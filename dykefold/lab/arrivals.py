"""When requests come and how long their work takes. No I/O: all is drawn before a run begins."""

from __future__ import annotations

import math

import numpy as np

from .scenario import LoadTable, ServiceTable

BURST_PART = 0.2  # of the time is a burst, where load is bursty


def arrival_times(load: LoadTable, span_s: float, generator: np.random.Generator) -> np.ndarray:
    """Times of arrivals from 0 to `span_s`, seconds, in order.

    A Poisson process whose rate may change, by thinning (Lewis and Shedler, 1979): candidates come at the
    highest rate, and one at time t is kept with probability rate(t) / highest.
    """
    highest = load.rate if load.kind == "poisson" else max(load.rate, load.peak)
    count = generator.poisson(highest * span_s)
    times = np.sort(generator.uniform(0.0, span_s, count))
    if load.kind == "poisson":
        return times
    rates = _rates(load, span_s, times, generator)
    return times[generator.uniform(0.0, highest, count) < rates]


def _rates(load: LoadTable, span_s: float, times: np.ndarray, generator: np.random.Generator) -> np.ndarray:
    if load.kind == "step":
        return np.where(times >= load.at_s, load.peak, load.rate)
    if load.kind == "ramp":
        return load.rate + (load.peak - load.rate) * times / span_s
    if load.kind == "sine":
        height = load.peak - load.rate
        return np.maximum(load.rate + height * np.sin(2 * math.pi * times / load.period_s), 0.0)
    # Bursty: two states that last an exponential time each (a Markov-modulated Poisson process).
    quiet = max((load.rate - BURST_PART * load.peak) / (1 - BURST_PART), 0.0)
    edges, at_s, bursts = [0.0], 0.0, [False]
    while at_s < span_s:
        part = BURST_PART if bursts[-1] else 1 - BURST_PART
        at_s += generator.exponential(load.period_s * part)
        edges.append(at_s)
        bursts.append(not bursts[-1])
    inside = np.searchsorted(edges, times, side="right") - 1
    return np.where(np.array(bursts)[inside], load.peak, quiet)


def service_times(table: ServiceTable, count: int, generator: np.random.Generator) -> np.ndarray:
    """So many service times on a core of speed 1, seconds; each kind has the mean that the table states."""
    mean_s = table.mean_ms / 1000.0
    if table.kind == "constant":
        return np.full(count, mean_s)
    if table.kind == "exponential":
        return generator.exponential(mean_s, count)
    if table.kind == "lognormal":
        return generator.lognormal(math.log(mean_s) - table.shape**2 / 2, table.shape, count)
    minimum_s = mean_s * (table.shape - 1) / table.shape
    return minimum_s * (1 + generator.pareto(table.shape, count))
