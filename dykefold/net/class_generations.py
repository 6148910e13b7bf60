"""Numbers request classes across changes of the settings. No I/O.

The balancer knows classes by number, and a request keeps the number that it was read under. So a number never
comes to mean another class while a request may hold it:

1. A class that is unchanged keeps its number.
2. A class that changed in any way, or is new, gets a number that no request holds.
3. The number of a class that was dropped or changed keeps what it meant: pending requests of it go on by it,
   and until `LINGER_NS` have passed new ones are still read as it (clients turn to new settings later
   than their sidecar does).
4. Such a number is free again when it is out of that time and no request holds it.
5. There are at most `MAX_CLASS_NUMBERS`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ..balancer.settings import RequestClass, Settings

LINGER_NS = 4_000_000_000  # clients turn to new settings some time after SIGHUP: 1.2 s on the platform
MAX_CLASS_NUMBERS = 256


class TooManyClassesError(ValueError):
    """New settings would need more class numbers at once than there are.

    Attributes:
        limit: how many there are.
    """

    def __init__(self, limit: int) -> None:
        """Make the error; `limit` as in the attribute."""
        super().__init__(f"classes: more than {limit} would be in use at once")
        self.limit = limit


@dataclass(frozen=True, slots=True)
class ClassGeneration:
    """The settings as they are now.

    Attributes:
        settings: with the classes by number, those that are retired at theirs.
        retired: numbers that new settings don't name, and when that began, on the clock (nanoseconds).
    """

    settings: Settings
    retired: dict[int, int] = field(default_factory=dict)

    def numbers(self) -> dict[str, int]:
        """Return the numbers of the classes that the settings name, by class name."""
        named = enumerate(self.settings.classes)
        return {spec.name: number for number, spec in named if number not in self.retired}

    def next(self, wanted: Settings, held: Collection[int], now_ns: int) -> ClassGeneration:
        """Return the settings after a change.

        Args:
            wanted: new settings, their classes in any order.
            held: numbers that some pending request holds.
            now_ns: on the clock.

        Raises:
            TooManyClassesError: more classes would be in use at once than there are numbers.
        """
        classes = list(self.settings.classes)
        retired = dict(self.retired)
        added, kept = self._compare(wanted)
        for number in self.numbers().values():
            if number not in kept:
                retired[number] = now_ns
        expired = (number for number, since_ns in retired.items() if now_ns - since_ns >= LINGER_NS)
        free = sorted(number for number in expired if number not in held)
        for spec in added:
            if free:
                number = free.pop(0)
                del retired[number]
                classes[number] = spec
            elif len(classes) < MAX_CLASS_NUMBERS:
                classes.append(spec)
            else:
                raise TooManyClassesError(MAX_CLASS_NUMBERS)
        return ClassGeneration(replace(wanted, classes=classes), retired)

    def _compare(self, wanted: Settings) -> tuple[list[RequestClass], set[int]]:
        """Return the classes that are new or changed, and the numbers of those that stay as they are."""
        numbers = self.numbers()
        added: list[RequestClass] = []
        kept: set[int] = set()
        for spec in wanted.classes:
            number = numbers.get(spec.name)
            if number is not None and self.settings.classes[number] == spec:
                kept.add(number)
            else:
                added.append(spec)
        return added, kept
