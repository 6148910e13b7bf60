"""Parsing of load reports of endpoints into the values that the balancer expects."""

from __future__ import annotations

import re

from ...settings import canonical_column

# A report of four values needs a hundred bytes; the limit bounds the look-ups, one for each pair.
MAX_REPORT_BYTES = 1024
# A plain decimal number: no sign, exponent, infinity or NaN.
DECIMAL_NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")


class LoadReportParser:
    """Parses load reports into values in the order of the configured columns.

    Args:
        columns: Canonical names of the expected columns.
    """

    def __init__(self, columns: tuple[str, ...]) -> None:
        self.columns = columns
        self.positions = {column.encode(): position for position, column in enumerate(columns)}

    def parse(self, text: bytes) -> tuple[float, ...]:
        """Parse comma-separated `name=value` pairs.

        Returns:
            One value for each column; empty if a column is missing, duplicated or malformed.
        """
        if len(text) > MAX_REPORT_BYTES:
            return ()
        values: list[float | None] = [None] * len(self.columns)
        for pair in text.split(b","):
            name, _, value = pair.partition(b"=")
            position = self._position(name.strip())
            if position is None:
                continue
            if values[position] is not None or not DECIMAL_NUMBER.fullmatch(value.strip()):
                return ()
            values[position] = float(value)
        present = [value for value in values if value is not None]
        return tuple(present) if len(present) == len(values) else ()

    def _position(self, name: bytes) -> int | None:
        position = self.positions.get(name)
        if position is None:
            position = self.positions.get(canonical_column(name.decode("latin-1")).encode())
        return position
