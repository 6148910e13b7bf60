"""Decision logic of the dykefold sidecar load balancer, without I/O."""

from .balancer.balancer import Balancer
from .balancer.settings import Settings

__all__ = ["Balancer", "Settings"]
