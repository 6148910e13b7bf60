"""Estimates of this sidecar for the requests of one class."""

from __future__ import annotations

from .settings import RequestClass

# The initial guess of a class's mean latency.
INITIAL_LATENCY_OBJECTIVES = 0.25


class ClassStats:
    """Estimates of one request class; latencies in nanoseconds.

    Args:
        spec: Settings of the class; its latency objective determines the initial estimates.

    Attributes:
        spec: Settings of the class.
        mean_latency_ns: Smoothed latency of successful attempts.
        latency_deviation_ns: Smoothed mean deviation from `mean_latency_ns`.
        answers: Number of successful attempts.
        typical_latency_ns: Smoothed latency without congestion, which changes slowly.
        typical_updated_ns: Time of the latest update of `typical_latency_ns`; 0 for never.
        first_timeout_ns: Timeout that most clients state for their first attempt.
        first_timeout_votes: Recent first attempts that stated `first_timeout_ns`, minus those that did not.
        limit_fraction: Fraction of the concurrency limit that the class may use.
    """

    __slots__ = (
        "answers",
        "first_timeout_ns",
        "first_timeout_votes",
        "latency_deviation_ns",
        "limit_fraction",
        "mean_latency_ns",
        "spec",
        "typical_latency_ns",
        "typical_updated_ns",
    )

    def __init__(self, spec: RequestClass) -> None:
        self.spec = spec
        self.mean_latency_ns = spec.objective_ns * INITIAL_LATENCY_OBJECTIVES
        self.latency_deviation_ns = self.mean_latency_ns / 2
        self.answers = 0
        self.typical_latency_ns = self.mean_latency_ns
        self.typical_updated_ns = 0
        self.first_timeout_ns = 0
        self.first_timeout_votes = 0
        self.limit_fraction = 1.0
