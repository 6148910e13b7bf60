"""State that all parts of a balancer share: settings, time of the event, random generator and actions."""

from __future__ import annotations

import random

from .actions import Action, Log
from .class_stats import ClassStats
from .events import MembershipChanged
from .settings import Effect, Settings

SECOND_NS = 1_000_000_000


class BalancerContext:
    """State that all parts read. Only `Balancer` writes it, but all parts append to `actions`.

    Args:
        settings: Initial settings.
        seed: Seed of the random generator.

    Attributes:
        settings: Current settings.
        random: The only source of randomness.
        now_ns: Time of the current event.
        actions: Actions of the current event, in order.
        classes: Statistics of all classes by number, including retired ones.
        live_classes: Statistics of the classes that new requests may have.
        has_safe_class: True if requests of a live class may run any number of times.
        shortest_ns: Shortest deadline of the live classes, the unit of constants that end in `_DEADLINES`.
        fleet: Membership of the sidecars; None if there is no membership.
        log_due_ns: Earliest time at which the next line may be logged.
    """

    __slots__ = (
        "actions",
        "classes",
        "fleet",
        "has_safe_class",
        "live_classes",
        "log_due_ns",
        "now_ns",
        "random",
        "settings",
        "shortest_ns",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ns = 0
        self.actions: list[Action] = []
        self.classes = [ClassStats(spec) for spec in settings.classes]
        self.fleet: MembershipChanged | None = None
        self.log_due_ns = 0
        self.apply(settings, self.classes)

    def apply(self, settings: Settings, live_classes: list[ClassStats]) -> None:
        """Apply settings, with the statistics of the classes that new requests may have."""
        self.settings = settings
        self.live_classes = live_classes
        self.has_safe_class = any(stats.spec.effect is Effect.SAFE for stats in live_classes)
        self.shortest_ns = min(stats.spec.deadline_ns for stats in live_classes)

    def sidecar_count(self) -> int:
        """Return the number of sidecars that carry traffic, this one included."""
        return self.fleet.live_sidecars if self.fleet else self.settings.fleet_size

    def log(self, text: str) -> None:
        """Add a log action, at most one per second, because reports keep only a few hundred lines."""
        if self.now_ns >= self.log_due_ns:
            self.log_due_ns = self.now_ns + SECOND_NS
            self.actions.append(Log(text))
