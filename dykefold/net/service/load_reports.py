"""Load reports: what servers say of themselves, as figures that the module can use."""

from __future__ import annotations

import re

from ...settings import canonical_column

REPORT_MOST = 1024  # bytes: four figures need a hundred, and each pair costs a look-up
FIGURE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # plain numbers: no sign, no exponent, nothing endless


class LoadReportParser:
    """Reads load reports by the names of their fields, in the order that the module expects."""

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns
        self.places = {column.encode(): place for place, column in enumerate(columns)}

    def read(self, text: bytes) -> tuple[float, ...]:
        """The figures; none at all if one is missing, comes twice or is unreadable."""
        if len(text) > REPORT_MOST:
            return ()
        values: list[float | None] = [None] * len(self.columns)
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            name = name.strip()
            place = self.places.get(name)
            if place is None:
                place = self.places.get(canonical_column(name.decode("latin-1")).encode())
            if place is not None:
                if values[place] is not None or not FIGURE.fullmatch(value.strip()):
                    return ()
                values[place] = float(value)
        known = [value for value in values if value is not None]
        return tuple(known) if len(known) == len(values) else ()
