"""The decisions of a sidecar: which endpoint, whether to retry, what to shed. Values in, actions out, no I/O.

`events`, `actions` and `settings` are what goes in and out; `endpoints` and `requests` are the state;
`balancer` dispatches events; every other module is one concern with its own state and its own constants.
Time comes in with each event, randomness from the seed.
"""

from .balancer import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings"]
