"""The fleet's log: one event per line, under names that must not change (docs/operating/fleet-log.md)."""

from __future__ import annotations

import logging
import sys

import structlog


def logger(output_format: str = "console", **bound_fields: object) -> structlog.typing.FilteringBoundLogger:
    """Returns a logger that writes to standard error.

    Args:
        output_format: "console" for people, "json" for programs.
        **bound_fields: Fields that every line has.
    """
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if output_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False, pad_event_to=0)
    )
    unbound: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
    )
    return unbound.bind(**bound_fields)
