"""Log lines of the process as structured events: key=value or JSON lines."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Any

import structlog


class LogFormat(StrEnum):
    """Format of log lines; the values are options of the command line."""

    TEXT = "text"
    JSON = "json"


def configure_logging(log_format: LogFormat) -> None:
    """Write all log lines of the process to standard error in one format."""
    processors_before_rendering: list[Any] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format is LogFormat.JSON
        else structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "logger", "event"])
    )
    handler = logging.StreamHandler()
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=processors_before_rendering,
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
