"""What all parts of a balancer share: settings, the time of the event, random source, actions to return."""

from __future__ import annotations

import random

from .actions import Action, Log
from .class_stats import ClassStats
from .events import MembershipChanged
from .settings import Effect, Settings

SECOND_NS = 1_000_000_000


class BalancerContext:
    """The state that every part reads; only `Balancer` writes it, but for `actions`, which all append to.

    Attributes:
        settings: in force.
        random: the one source of randomness, from the balancer's seed.
        now_ns: time of the event that is being handled.
        actions: what to do about it, in order.
        classes: all classes by number, retired ones too.
        live_classes: those that new requests may be of.
        has_safe_class: whether one of them may run any number of times.
        shortest_ns: the shortest deadline of them: the unit of most time constants.
        fleet: what is known of the other sidecars; None without a fleet view.
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
        """Begin at time 0 with nothing known of any class."""
        self.random = random.Random(seed)
        self.now_ns = 0
        self.actions: list[Action] = []
        self.classes = [ClassStats(spec) for spec in settings.classes]
        self.fleet: MembershipChanged | None = None
        self.log_due_ns = 0
        self.apply(settings, self.classes)

    def apply(self, settings: Settings, live_classes: list[ClassStats]) -> None:
        """Take settings, with the classes that new requests may be of."""
        self.settings = settings
        self.live_classes = live_classes
        self.has_safe_class = any(stats.spec.effect is Effect.SAFE for stats in live_classes)
        self.shortest_ns = min(stats.spec.deadline_ns for stats in live_classes)

    def sidecar_count(self) -> int:
        """Count the sidecars that carry traffic, this one among them."""
        return self.fleet.live_sidecars if self.fleet else self.settings.fleet_size

    def log(self, text: str) -> None:
        """Add a log action, one line a second at most: the report keeps only a few hundred."""
        if self.now_ns >= self.log_due_ns:
            self.log_due_ns = self.now_ns + SECOND_NS
            self.actions.append(Log(text))
