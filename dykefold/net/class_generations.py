"""Numbers request classes across changes of the settings. No I/O.

The balancer identifies classes by number, and a request keeps the number that it was parsed with. Therefore a
number is not reassigned to another class while a request may use it:

1. A class that is unchanged keeps its number.
2. A class that changed in any way, or is new, gets a number that no request uses.
3. The number of a class that was dropped or changed is retired, and keeps its meaning for pending requests.
   For `RETIRED_CLASS_LINGER_NS`, new requests may still belong to it, since clients change their settings
   later than their sidecar does.
4. A retired number can be reassigned when that time is over and no request uses it.
5. There are at most `MAX_CLASS_NUMBERS` numbers.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from ..balancer.settings import RequestClass, Settings

# New requests may still belong to a retired class for this time: the platform's clients change their settings
# 1.2 s after SIGHUP.
RETIRED_CLASS_LINGER_NS = 4_000_000_000
MAX_CLASS_NUMBERS = 256


class TooManyClassesError(ValueError):
    """New settings need more than `MAX_CLASS_NUMBERS` class numbers at once.

    Attributes:
        limit: Maximum number of class numbers.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"classes: more than {limit} would be in use at once")
        self.limit = limit


@dataclass(frozen=True, slots=True)
class ClassGeneration:
    """Settings with numbered request classes.

    Attributes:
        settings: Settings whose list of classes is indexed by class number, retired classes included.
        retired: Time at which each retired number was retired, nanoseconds on the clock, by number.
    """

    settings: Settings
    retired: dict[int, int] = field(default_factory=dict)

    def numbers(self) -> dict[str, int]:
        """Return the numbers of the classes that are not retired, by class name."""
        numbered = enumerate(self.settings.classes)
        return {spec.name: number for number, spec in numbered if number not in self.retired}

    def next(self, new_settings: Settings, in_use: Collection[int], now_ns: int) -> ClassGeneration:
        """Return the generation after a change of the settings.

        Args:
            new_settings: New settings, with their classes in any order.
            in_use: Class numbers that pending requests use.
            now_ns: Current time, nanoseconds on the clock.

        Raises:
            TooManyClassesError: More classes would be in use at once than `MAX_CLASS_NUMBERS`.
        """
        classes = list(self.settings.classes)
        retired = dict(self.retired)
        added, unchanged = self._compare(new_settings)
        for number in self.numbers().values():
            if number not in unchanged:
                retired[number] = now_ns
        expired = (
            number for number, retired_ns in retired.items() if now_ns - retired_ns >= RETIRED_CLASS_LINGER_NS
        )
        free = sorted(number for number in expired if number not in in_use)
        for spec in added:
            if free:
                number = free.pop(0)
                del retired[number]
                classes[number] = spec
            elif len(classes) < MAX_CLASS_NUMBERS:
                classes.append(spec)
            else:
                raise TooManyClassesError(MAX_CLASS_NUMBERS)
        return ClassGeneration(replace(new_settings, classes=classes), retired)

    def _compare(self, new_settings: Settings) -> tuple[list[RequestClass], set[int]]:
        """Return the classes that are new or changed, and the numbers of the unchanged ones."""
        numbers = self.numbers()
        added: list[RequestClass] = []
        unchanged: set[int] = set()
        for spec in new_settings.classes:
            number = numbers.get(spec.name)
            if number is not None and self.settings.classes[number] == spec:
                unchanged.add(number)
            else:
                added.append(spec)
        return added, unchanged
