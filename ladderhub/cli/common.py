"""What the groups share: the log, the loop, settings, addresses, and how a command ends on an error."""

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


def _encode(row: object, **_: object) -> bytes:
    return msgspec.json.encode(row, enc_hook=repr)


def set_up_log(form: str, level: str, processor: ProcessorTime | None = None) -> Any:
    """Structured lines on standard error, as JSON or for people; with `processor` their time is accounted."""
    last: Any = structlog.dev.ConsoleRenderer()
    factory: Any = structlog.PrintLoggerFactory(sys.stderr)
    if form == "json":
        # Bytes straight from the encoder: at hundreds of jobs a second log lines are a cost that shows.
        last = structlog.processors.JSONRenderer(serializer=_encode)
        factory = structlog.BytesLoggerFactory(sys.stderr.buffer)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=_logger_class(level, processor),
        logger_factory=factory,
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def _logger_class(level: str, processor: ProcessorTime | None) -> Any:
    plain: Any = structlog.make_filtering_bound_logger(_LEVELS[level])
    if processor is None:
        return plain
    run = processor.run

    class AccountedLogger(plain):  # type: ignore[misc]
        """Lines that the level lets through are made and written on the account of the log."""

        def _proxy_to_logger(self, name: str, event: str | None = None, /, *args: Any, **row: Any) -> Any:
            proxy = super()._proxy_to_logger
            return run(Cause.LOG_METRICS, proxy, name, event, *args, **row)

    return AccountedLogger


def make_loop(log: Any) -> Loop:
    return Loop(trouble=lambda where, fault: log.error("trouble", where=where, exc_info=fault))


def fail(fault: LadderhubError, name: str = "ladderhub") -> NoReturn:
    """One message with what can be done about it, and the exit status of the error's type."""
    click.echo(f"{name}: {fault} ({fault.remedy})", err=True)
    sys.exit(fault.status)


def load_settings(file: Path) -> Any:
    """The checked settings in a file; ends the command with one message where they can't be used."""
    from ladderhub.server.settings import load

    try:
        return load(file)
    except LadderhubError as fault:
        fail(fault)


def address_option(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    """Reads an option that is HOST:PORT."""
    from ladderhub.server.settings import SettingsError, parse_setting_address

    try:
        return parse_setting_address(text, str(option.name))
    except SettingsError as fault:
        raise click.BadParameter(str(fault)) from None
