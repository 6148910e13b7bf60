"""The decisions of a sidecar: which endpoint, whether to retry, what to shed. Events in, actions out, no I/O.

`events`, `settings` and `actions` define input and output. `endpoints`, `class_stats`, `requests` and
`in_flight` define the state. `balancer` dispatches events. Every other module is one concern with its own
constants.
The time comes with each event, and random numbers depend on the seed alone.

Units at the end of the names of constants: `_DEADLINES` are shortest deadlines of the live classes,
`_OBJECTIVES` latency objectives and `_CLASS_MEANS` mean latencies of the request's class.
"""

from .balancer import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings"]
