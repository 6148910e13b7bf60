"""Classes by number across changes of the settings. No I/O.

The module knows classes by number, and a request keeps the number that it was read under. So a number never
comes to mean another class while a request may hold it:

1. A class that is unchanged keeps its number.
2. A class that changed in any way, or is new, gets a number that nobody holds.
3. The number of a class that was dropped or changed keeps what it meant: requests of it that are open go on
   by it, and until `LINGER_NS` have passed new ones are still read as it (clients turn to new settings later
   than their sidecar does).
4. Such a number is free again when it is out of that time and no request holds it.
5. There are at most `NUMBERS_MOST`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ..balancer.settings import RequestClass, Settings

LINGER_NS = 4_000_000_000  # clients turn to new settings some time after SIGHUP: 1.2 s on the platform
NUMBERS_MOST = 256


@dataclass(frozen=True, slots=True)
class ClassGeneration:
    """The settings as they are now.

    Attributes:
        settings: with the classes by number, those that are retired at theirs.
        retired: numbers that new settings don't name, and when that began, on the clock.
    """

    settings: Settings
    retired: dict[int, int] = field(default_factory=dict)

    def numbers(self) -> dict[str, int]:
        """The numbers of the classes that the settings name."""
        named = enumerate(self.settings.classes)
        return {spec.name: number for number, spec in named if number not in self.retired}

    def next(self, wanted: Settings, held: Collection[int], now_ns: int) -> ClassGeneration:
        """The settings after a change.

        Args:
            wanted: new settings, their classes in any order.
            held: numbers that some request holds.

        Raises:
            ValueError: more classes would have to be told apart than there are numbers.
        """
        classes: list[RequestClass] = list(self.settings.classes)
        numbers = self.numbers()
        retired = dict(self.retired)
        named: set[int] = set()
        new: list[RequestClass] = []
        for spec in wanted.classes:
            number = numbers.get(spec.name)
            if number is not None and classes[number] == spec:
                named.add(number)
            else:
                new.append(spec)
        for number in numbers.values():
            if number not in named:
                retired[number] = now_ns
        free = sorted(n for n, since in retired.items() if now_ns - since >= LINGER_NS and n not in held)
        for spec in new:
            if free:
                number = free.pop(0)
                del retired[number]
                classes[number] = spec
            elif len(classes) < NUMBERS_MOST:
                classes.append(spec)
            else:
                raise ValueError(f"classes: more than {NUMBERS_MOST} would be in use at once")
        return ClassGeneration(replace(wanted, classes=classes), retired)
