"""Code shared by the command groups: log, loop, settings, addresses, and the exit on an error."""

from __future__ import annotations

import logging
import sys
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
import structlog

from ladderhub.errors import LadderhubError
from ladderhub.loop import Loop
from ladderhub.usage.processor import Cause, ProcessorTime

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def _encode_row(row: object, **_: object) -> bytes:
    return msgspec.json.encode(row, enc_hook=repr)


def set_up_log(log_format: str, level: str, processor: ProcessorTime | None = None) -> Any:
    """Sets up structured logging to standard error, as JSON or in a form for reading.

    With `processor`, the processor time of log lines is counted."""
    renderer: Any = structlog.dev.ConsoleRenderer()
    logger_factory: Any = structlog.PrintLoggerFactory(sys.stderr)
    if log_format == "json":
        # Writes the encoder's bytes directly, since logging cost is noticeable at hundreds of jobs a second.
        renderer = structlog.processors.JSONRenderer(serializer=_encode_row)
        logger_factory = structlog.BytesLoggerFactory(sys.stderr.buffer)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=_make_logger_class(level, processor),
        logger_factory=logger_factory,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def _make_logger_class(level: str, processor: ProcessorTime | None) -> Any:
    base_class: Any = structlog.make_filtering_bound_logger(_LEVELS[level])
    if processor is None:
        return base_class
    run = processor.run

    class AccountedLogger(base_class):  # type: ignore[misc]
        """Counts the processor time of lines at or above the level as that of logging."""

        def _proxy_to_logger(self, name: str, event: str | None = None, /, *args: Any, **row: Any) -> Any:
            proxy = super()._proxy_to_logger
            return run(Cause.LOG_METRICS, proxy, name, event, *args, **row)

    return AccountedLogger


def make_loop(log: Any) -> Loop:
    """Returns a loop that logs the errors of its callbacks."""
    return Loop(trouble=lambda where, fault: log.error("trouble", where=where, exc_info=fault))


def fail(fault: LadderhubError, name: str = "ladderhub") -> NoReturn:
    """Prints the error with its remedy and exits with the status of its type."""
    click.echo(f"{name}: {fault} ({fault.remedy})", err=True)
    sys.exit(fault.status)


def load_settings(file: Path) -> Any:
    """Loads and checks a settings file; invalid settings end the command with one message."""
    from ladderhub.server.settings import load

    try:
        return load(file)
    except LadderhubError as fault:
        fail(fault)


def parse_address_option(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    """Parses an option of the form HOST:PORT."""
    from ladderhub.server.settings import SettingsError, parse_setting_address

    try:
        return parse_setting_address(text, str(option.name))
    except SettingsError as fault:
        raise click.BadParameter(str(fault)) from None
