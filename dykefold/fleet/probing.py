"""SWIM probe rounds, indirect probes through helpers, and suspicions after failed probes. No I/O."""

from __future__ import annotations

from .datagrams import Datagram, Kind
from .failure_detector import (
    MAX_OPEN_PROBES,
    MAX_OPEN_RELAYED_PROBES,
    NONCE_COUNT,
    Probe,
    ProbeOrder,
    RelayedProbe,
)
from .member_state import State
from .membership import Membership
from .outbox import Outbox
from .rate_limits import (
    HELPERS_PER_RETRY,
    PROBE_RETRY_PERIODS,
    PROBE_TIMEOUT_PERIODS,
    RELAY_TIMEOUT_PERIODS,
    RETRIES_PER_HELPER_CHANGE,
)


class Prober:
    """Failure detector of SWIM: probes one member per period.

    Args:
        membership: Membership whose members are probed.
        outbox: Queue of datagrams to send.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        probes: Pending probes, by nonce.
        relayed: Pending probes on behalf of others, by nonce.
        next_round_ns: Monotonic time in nanoseconds at which the next member is probed.
    """

    def __init__(self, membership: Membership, outbox: Outbox, now_ns: int) -> None:
        """Schedule the first round at a random time in the first period."""
        self.membership, self.outbox, self.limits = membership, outbox, membership.limits
        self._nonce = membership.rng.randrange(NONCE_COUNT)
        self.next_round_ns = now_ns + membership.rng.randrange(self.limits.period_ns)
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedProbe] = {}
        self.reset()

    def reset(self) -> None:
        """Start again after a change of the address list."""
        self.order = ProbeOrder(self.membership.own_number, self.membership.rng)
        self.probes = {}
        self.relayed = {}

    def next_ns(self) -> int:
        """Return the monotonic time in nanoseconds of the next action."""
        due = [self.next_round_ns]
        due += [min(probe.retry_ns, probe.timeout_ns) for probe in self.probes.values()]
        due += [relayed.timeout_ns for relayed in self.relayed.values()]
        suspicion_ns = self.membership.suspicions.next_ns(self._timeout_ns())
        if suspicion_ns is not None:
            due.append(suspicion_ns)
        return min(due)

    def forget_probes(self) -> None:
        """Drop the pending probes: their answers may have been lost during a delay of this process."""
        self.probes.clear()

    # Probes

    def run_round(self, now_ns: int) -> None:
        """Probe the next member if a round is due."""
        if self.next_round_ns > now_ns:
            return
        period_ns = self.limits.period_ns
        self.next_round_ns = max(self.next_round_ns + period_ns, now_ns + period_ns // 2)
        target = self.order.next(self.membership.table)
        if target is not None:
            self._probe(now_ns, target)

    def _timeout_ns(self) -> int:
        return self.limits.ns(PROBE_TIMEOUT_PERIODS * self.membership.health.timeout_factor)

    def _retry_ns(self) -> int:
        return self.limits.ns(PROBE_RETRY_PERIODS * self.membership.health.timeout_factor)

    def _next_nonce(self) -> int:
        self._nonce = (self._nonce + 1) % NONCE_COUNT
        return self._nonce

    def _probe(self, now_ns: int, target: int) -> None:
        if len(self.probes) >= MAX_OPEN_PROBES:
            return
        nonce = self._next_nonce()
        retry_ns, timeout_ns = now_ns + self._retry_ns(), now_ns + self._timeout_ns()
        self.probes[nonce] = Probe(target, now_ns, retry_ns, timeout_ns)
        self.outbox.send(now_ns, target, Kind.PING, nonce)

    def _retry(self, now_ns: int, nonce: int, probe: Probe) -> None:
        probe.retry_ns += self._retry_ns()
        self.outbox.send(now_ns, probe.target, Kind.PING, nonce)
        probe.retries += 1
        if probe.retries % RETRIES_PER_HELPER_CHANGE != 1:
            return
        helpers = self.membership.random_live_members(HELPERS_PER_RETRY, (probe.target, *probe.helpers))
        probe.helpers += helpers
        for helper in helpers:
            self.outbox.send(now_ns, helper, Kind.PROBE_REQUEST, nonce, probe.target)

    def check_timeouts(self, now_ns: int) -> None:
        """Retry or fail pending probes, and handle expired suspicions."""
        self._expire_relayed(now_ns)
        for nonce, probe in list(self.probes.items()):
            if probe.timeout_ns <= now_ns:
                del self.probes[nonce]
                self.on_probe_failed(now_ns, probe)
            elif probe.retry_ns <= now_ns:
                self._retry(now_ns, nonce, probe)
        self._check_suspicions(now_ns)

    def _expire_relayed(self, now_ns: int) -> None:
        expired = [nonce for nonce, relayed in self.relayed.items() if relayed.timeout_ns <= now_ns]
        for nonce in expired:
            relayed = self.relayed.pop(nonce)
            self.outbox.send(now_ns, relayed.requester, Kind.NACK, relayed.requester_nonce, relayed.target)

    def on_probe_failed(self, now_ns: int, probe: Probe) -> None:
        """Suspect the target of a probe, unless the fault is more likely this member's own."""
        membership = self.membership
        if membership.received_ns.get(probe.target, -1) >= probe.started_ns:
            membership.health.improve()
            return  # it sends datagrams, if no ACK: a one-way partition raises no suspicion
        if membership.last_received_ns < probe.started_ns:
            membership.health.degrade()
            return  # nothing was received from any member
        # Helpers that can't reach the target send a NACK; without any, this member may be the one that is cut
        # off. One NACK suffices: when many members fail at once, most helpers don't answer either.
        if probe.helpers and not probe.nacks:
            membership.health.degrade()
        if membership.table.state(probe.target) in (State.ALIVE, State.UNKNOWN):
            membership.conclude(now_ns, probe.target, State.SUSPECT)
        membership.suspicions.shorten(probe.target, now_ns + membership.suspicion_ns(own=True))

    def _check_suspicions(self, now_ns: int) -> None:
        membership = self.membership
        suspicions = membership.suspicions
        if not suspicions.expiry_ns or membership.isolated:
            return
        # The refutation may have been lost on its way here: the ACK of another probe carries it.
        for number in suspicions.take_reprobes(now_ns + self._timeout_ns()):
            self._probe(now_ns, number)
        for number in suspicions.expired(now_ns):
            received_ns = membership.received_ns.get(number, membership.started_ns - 1)
            if now_ns - received_ns >= self.limits.period_ns:  # otherwise its refutation is on its way
                membership.conclude(now_ns, number, State.GONE)

    # Datagrams

    def on_ping(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Answer a probe."""
        self.outbox.send(now_ns, sender, Kind.ACK, datagram.nonce)

    def on_probe_request(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Probe a member on behalf of the sender."""
        target = datagram.subject
        if target >= len(self.membership.addresses) or target == self.membership.own_number:
            return
        if len(self.relayed) >= MAX_OPEN_RELAYED_PROBES:
            return
        nonce = self._next_nonce()
        timeout_ns = now_ns + self.limits.ns(RELAY_TIMEOUT_PERIODS)
        self.relayed[nonce] = RelayedProbe(sender, datagram.nonce, target, timeout_ns)
        self.outbox.send(now_ns, target, Kind.PING, nonce)

    def on_ack(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Handle the ACK of a probe, from the target or through a helper."""
        nonce = datagram.nonce
        relayed = self.relayed.get(nonce)
        if relayed is not None and relayed.target == sender:
            del self.relayed[nonce]
            self.outbox.send(now_ns, relayed.requester, Kind.ACK, relayed.requester_nonce)
        probe = self.probes.get(nonce)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            del self.probes[nonce]
            self.membership.health.improve()

    def on_nack(self, _now_ns: int, sender: int, datagram: Datagram) -> None:
        """Count the NACK of a helper that has no answer yet."""
        probe = self.probes.get(datagram.nonce)
        if probe is not None and sender in probe.helpers:
            probe.nacks += 1
