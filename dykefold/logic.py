"""Names of `dykefold.balancer` for callers that know it as one module."""

from .balancer.balancer import Balancer
from .balancer.endpoints import EndpointGroup as Group
from .balancer.latency import LEARNING_ANSWERS as USUAL_FIRST

__all__ = ["USUAL_FIRST", "Balancer", "Group"]
