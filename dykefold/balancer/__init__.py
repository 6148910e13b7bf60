"""Decisions of a sidecar: endpoint choice, retries, load shedding. It maps events to actions, without I/O.

`events`, `settings` and `actions` define input and output. `endpoints`, `class_stats`, `requests` and
`in_flight` define the state. `balancer` dispatches events. Every other module implements one concern and
defines its constants.
Each event carries its time, and random numbers depend only on the seed.

Names of constants end in their unit: `_DEADLINES` stands for the shortest deadline of the live classes,
`_OBJECTIVES` for the latency objective and `_CLASS_MEANS` for the mean latency of the request's class.
"""

from .balancer import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings"]
