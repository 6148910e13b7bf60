"""Load reports of endpoints, parsed into the figures that the balancer expects."""

from __future__ import annotations

import re

from ...settings import canonical_column

# Four figures need a hundred bytes, and each pair costs a look-up.
MAX_REPORT_BYTES = 1024
FIGURE = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # a plain number: no sign, exponent, infinity or NaN


class LoadReportParser:
    """Parses load reports by field name, in the order of the configured columns.

    Args:
        columns: Canonical names of the expected columns.
    """

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns
        self.positions = {column.encode(): position for position, column in enumerate(columns)}

    def read(self, text: bytes) -> tuple[float, ...]:
        """Parse `name=figure` pairs that are separated by commas.

        Returns:
            One figure for each column; empty if a column is missing, comes twice or is unreadable.
        """
        if len(text) > MAX_REPORT_BYTES:
            return ()
        values: list[float | None] = [None] * len(self.columns)
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            position = self._position(name.strip())
            if position is None:
                continue
            if values[position] is not None or not FIGURE.fullmatch(value.strip()):
                return ()
            values[position] = float(value)
        known = [value for value in values if value is not None]
        return tuple(known) if len(known) == len(values) else ()

    def _position(self, name: bytes) -> int | None:
        position = self.positions.get(name)
        if position is None:
            position = self.positions.get(canonical_column(name.decode("latin-1")).encode())
        return position
