"""Quotas of tenants: what a tenant asks beyond its quota is the first to be shed."""

from __future__ import annotations

import struct

from .actions import SendToPeer
from .context import SECOND_NS, BalancerContext
from .events import PeerMessage

# Bursts rise within seconds.
CHECK_INTERVAL_DEADLINES = 0.5
# Weight of the latest interval in the smoothed rates.
RATE_SMOOTHING = 0.5
# Without messages of all peers, a tenant is within its quota up to this factor on the median tenant's use.
TYPICAL_USE_FACTOR = 1.3
# A peer's message counts for this many check intervals.
PEER_TIMEOUT_INTERVALS = 6.0
# Resolution of the rates in a message to peers.
STEPS_PER_REQUEST_PER_S = 64
MAX_RATE_STEPS = 0xFFFFFFFF


class Quotas:
    """Counts first attempts by tenant, here and at the peers.

    Attributes:
        over_quota: by tenant, the part of its traffic that is over its quota; empty until judged.
        rates: first attempts a second by tenant, smoothed.
        judged_ns: when they were judged last.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.judged_ns = 0
        self.apply_settings()

    def apply_settings(self) -> None:
        """Begin anew with the tenants of the settings."""
        tenants = len(self.context.settings.tenants)
        self.counts = [0.0] * tenants  # since they were judged
        self.rates = [0.0] * tenants
        self.over_quota: list[float] = []
        self.peer_rates: dict[int, tuple[int, list[float]]] = {}  # with the time of the message
        self.message = struct.Struct(f"<{tenants}I")  # first attempts a second by tenant

    def count_request(self, tenant: int) -> None:
        """Count a first attempt; now and then work out what of each tenant's traffic is over its quota."""
        self.counts[tenant] += 1.0
        context = self.context
        elapsed = context.now_ns - self.judged_ns
        if elapsed < CHECK_INTERVAL_DEADLINES * context.shortest_ns:
            return
        known, self.judged_ns = self.judged_ns, context.now_ns
        if known:  # the first interval has no beginning
            for number, count in enumerate(self.counts):
                rate = count * SECOND_NS / elapsed
                self.rates[number] += RATE_SMOOTHING * (rate - self.rates[number])
        self.counts = [0.0] * len(self.counts)
        if context.settings.can_message_peers and context.settings.fleet_size > 1:
            steps = [min(int(rate * STEPS_PER_REQUEST_PER_S), MAX_RATE_STEPS) for rate in self.rates]
            context.actions.append(SendToPeer(self.message.pack(*steps)))
        self._judge()

    def on_peer(self, event: PeerMessage) -> None:
        """Take a peer's rates by tenant; a message of another length is not ours and skipped."""
        context = self.context
        if len(event.data) == self.message.size and event.sender < context.settings.fleet_size:
            rates = [value / STEPS_PER_REQUEST_PER_S for value in self.message.unpack(event.data)]
            self.peer_rates[event.sender] = (context.now_ns, rates)

    def _judge(self) -> None:
        tenants = self.context.settings.tenants
        fresh = (
            self.context.now_ns - PEER_TIMEOUT_INTERVALS * CHECK_INTERVAL_DEADLINES * self.context.shortest_ns
        )
        peers = [rates for when, rates in self.peer_rates.values() if when >= fresh]
        if len(peers) + 1 >= self.context.sidecar_count():
            # All are heard: the quotas are known as they are stated, over all sidecars together.
            part = 1.0
            asked = [sum(rates) for rates in zip(self.rates, *peers, strict=True)]
        else:
            # Only own traffic is seen: the own part of each quota is guessed from the tenants' middle.
            asked = self.rates
            pairs = zip(asked, tenants, strict=True)
            used = sorted(rate / tenant.quota_per_s for rate, tenant in pairs if tenant.quota_per_s > 0.0)
            part = used[(len(used) - 1) // 2] * TYPICAL_USE_FACTOR if used else 0.0
        self.over_quota = [
            1.0 - tenant.quota_per_s * part / rate if rate > tenant.quota_per_s * part > 0.0 else 0.0
            for rate, tenant in zip(asked, tenants, strict=True)
        ]
