"""Quotas of tenants: requests over the quota of their tenant are shed first."""

from __future__ import annotations

import struct

from .actions import SendToPeer
from .context import SECOND_NS, BalancerContext
from .events import PeerMessage

# Bursts develop within seconds.
CHECK_INTERVAL_DEADLINES = 0.5
# Weight of the latest interval in the smoothed rates.
RATE_SMOOTHING = 0.5
# Without messages of all peers, a tenant may exceed the quota use of the median tenant by this factor.
TYPICAL_USE_FACTOR = 1.3
# Number of check intervals for which a peer's message is used.
PEER_TIMEOUT_INTERVALS = 6.0
# Resolution of the rates in a message to peers.
STEPS_PER_REQUEST_PER_S = 64
MAX_RATE_STEPS = 0xFFFFFFFF


class Quotas:
    """Counts first attempts by tenant, at this sidecar and at its peers.

    Args:
        context: State that all parts share.

    Attributes:
        over_quota: Fraction of its traffic that is over its quota, by tenant; empty until the first check.
        counts: First attempts since the latest check, by tenant.
        rates: Smoothed first attempts per second, by tenant.
        peer_rates: Time of the latest message, and the rates in it, by peer.
        message: Format of a message to peers, with the rates by tenant.
        checked_ns: Time of the latest check.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.checked_ns = 0
        self.apply_settings()

    def apply_settings(self) -> None:
        """Apply the tenants of the settings, and discard all rates."""
        tenants = len(self.context.settings.tenants)
        self.counts = [0.0] * tenants
        self.rates = [0.0] * tenants
        self.over_quota: list[float] = []
        self.peer_rates: dict[int, tuple[int, list[float]]] = {}
        self.message = struct.Struct(f"<{tenants}I")

    def count_request(self, tenant: int) -> None:
        """Count a first attempt, and periodically compare the rates of all tenants with their quotas."""
        self.counts[tenant] += 1.0
        context = self.context
        elapsed = context.now_ns - self.checked_ns
        if elapsed < CHECK_INTERVAL_DEADLINES * context.shortest_ns:
            return
        previous_ns, self.checked_ns = self.checked_ns, context.now_ns
        if previous_ns:  # The start of the first interval is unknown.
            for number, count in enumerate(self.counts):
                rate = count * SECOND_NS / elapsed
                self.rates[number] += RATE_SMOOTHING * (rate - self.rates[number])
        self.counts = [0.0] * len(self.counts)
        if context.settings.can_message_peers and context.settings.fleet_size > 1:
            steps = [min(int(rate * STEPS_PER_REQUEST_PER_S), MAX_RATE_STEPS) for rate in self.rates]
            context.actions.append(SendToPeer(self.message.pack(*steps)))
        self._update_over_quota()

    def on_peer(self, event: PeerMessage) -> None:
        """Record the rates of a peer by tenant; a message of another length is ignored."""
        context = self.context
        if len(event.data) == self.message.size and event.sender < context.settings.fleet_size:
            rates = [value / STEPS_PER_REQUEST_PER_S for value in self.message.unpack(event.data)]
            self.peer_rates[event.sender] = (context.now_ns, rates)

    def _update_over_quota(self) -> None:
        tenants = self.context.settings.tenants
        timeout_ns = PEER_TIMEOUT_INTERVALS * CHECK_INTERVAL_DEADLINES * self.context.shortest_ns
        oldest_ns = self.context.now_ns - timeout_ns
        peers = [rates for received_ns, rates in self.peer_rates.values() if received_ns >= oldest_ns]
        if len(peers) + 1 >= self.context.sidecar_count():
            # The rates of all sidecars are known, so the full quotas apply.
            quota_fraction = 1.0
            total_rates = [sum(rates) for rates in zip(self.rates, *peers, strict=True)]
        else:
            # Only this sidecar's traffic is known; the median tenant determines its fraction of each quota.
            total_rates = self.rates
            pairs = zip(total_rates, tenants, strict=True)
            used = sorted(rate / tenant.quota_per_s for rate, tenant in pairs if tenant.quota_per_s > 0.0)
            quota_fraction = used[(len(used) - 1) // 2] * TYPICAL_USE_FACTOR if used else 0.0
        self.over_quota = [
            1.0 - tenant.quota_per_s * quota_fraction / rate
            if rate > tenant.quota_per_s * quota_fraction > 0.0
            else 0.0
            for rate, tenant in zip(total_rates, tenants, strict=True)
        ]
