"""The endpoint list that each sidecar was last notified of, and its latest call to discovery. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .kernel import NS_PER_MS, NS_PER_S
from .registry import Entry
from .rules import Rules

ListVersion = tuple[int, int]  # Number of the registry, and its version of the list.
FAILED_FACTOR = 4  # After a failed call a sidecar may use its list for this many poll intervals.
POLL_SLACK_NS = 500 * NS_PER_MS  # For the delay of a call, and until the next check.


@dataclass(slots=True)
class NotifiedList:
    """The list that a sidecar has: its version, and its entries by name."""

    version: ListVersion
    entries: dict[str, Entry]


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A complete list or a change that has arrived at a sidecar.

    Attributes:
        current: Whether it comes from discovery's current address, not from one before a move.
        complete: Whether it is a complete list; otherwise a change.
    """

    at_ns: int
    sidecar: str
    version: ListVersion
    current: bool
    complete: bool
    entries: Sequence[Entry]


class NotifiedLists:
    """Tracks the lists that arrive, and notifies the rules of what each sidecar knows."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.lists: dict[str, NotifiedList] = {}

    def begin(self, sidecar: str, version: ListVersion, entries: dict[str, Entry]) -> None:
        """Record the list with which a sidecar starts."""
        self.lists[sidecar] = NotifiedList(version, dict(entries))

    def update(self, update: ListUpdate) -> None:
        """Apply a list or a change that has arrived."""
        known = self.lists[update.sidecar]
        if update.version < known.version:
            return  # Older than the list that it has.
        foreign_change = update.version[0] != known.version[0] and not update.complete
        if not update.current or foreign_change:
            # From a former address, or a change to a list that it never had: the sidecar may apply it or not,
            # so only entries that allow more are counted.
            self._notify(update, (entry for entry in update.entries if entry["status"] == "SERVING"))
            return
        entries = known.entries
        if update.complete:
            self._remove_missing(update, entries)
            entries = {}
        self._notify(update, update.entries)
        for entry in update.entries:
            if entry["status"] == "DELETED":
                entries.pop(entry["name"], None)
            else:
                entries[entry["name"]] = entry
        self.lists[update.sidecar] = NotifiedList(update.version, entries)

    def _notify(self, update: ListUpdate, entries: Iterable[Entry]) -> None:
        for entry in entries:
            serving = entry["status"] == "SERVING"
            self.rules.endpoint_notified(
                update.at_ns, update.sidecar, entry["name"], serving, entry["since_ms"]
            )

    def _remove_missing(self, update: ListUpdate, known: Iterable[str]) -> None:
        names = {entry["name"] for entry in update.entries}
        for name in known:
            if name not in names:
                self.rules.endpoint_notified(update.at_ns, update.sidecar, name, False, 0)

    def encoded(self, sidecar: str) -> dict[str, int | bool | list[Entry]]:
        """Return the list that a sidecar has, in discovery's format."""
        known = self.lists[sidecar]
        return {"index": known.version[1], "snapshot": True, "endpoints": list(known.entries.values())}


@dataclass(slots=True)
class PollRules:
    """The rule that a sidecar watches discovery, or has called it within the poll interval.

    Attributes:
        must_poll_in_ns: Maximum nanoseconds between two calls of a sidecar.
        called_ns: Time in nanoseconds of each sidecar's latest call, or later than that for a failed call.
        changed_ns: Time in nanoseconds of the latest beginning or end of an outage, or move, of discovery.
    """

    rules: Rules
    must_poll_in_ns: int
    called_ns: dict[str, int] = field(default_factory=dict)
    changed_ns: int = 0

    def called(self, now_ns: int, sidecar: str, failed: bool) -> None:
        """Record that a sidecar has called discovery, or watched it until now."""
        more_ns = (FAILED_FACTOR - 1) * self.must_poll_in_ns if failed else 0
        self.called_ns[sidecar] = now_ns + more_ns

    def check(self, now_ns: int, sidecar: str, began_ns: int) -> None:
        """Check a living sidecar that has no open watch, while discovery can be called."""
        since_ns = max(self.called_ns.get(sidecar, 0), began_ns, self.changed_ns)
        if now_ns - since_ns - self.must_poll_in_ns > POLL_SLACK_NS:
            text = f"{sidecar} has not called discovery for {(now_ns - since_ns) / NS_PER_S:.1f} s"
            self.rules.report(now_ns, "lists", text)
