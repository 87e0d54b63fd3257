"""Checks of single fields.  Each error names the file, the field, the value found and what is expected."""

from __future__ import annotations

import re

import msgspec

from ladderhub.errors import LadderhubError
from ladderhub.loop import parse_address
from ladderhub.pbs import names
from ladderhub.pbs.resources import GIB, ResourceError, parse_size

_UNIT_NS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")


class SettingsError(LadderhubError):
    """Invalid settings: the field, the value found and what is expected."""

    status, code = 2, names.BAD_ATTRIBUTE_VALUE
    remedy = "mend that field; `ladderhub check FILE` says whether the file is good without starting anything"


def parse_duration_ns(text: str, where: str) -> int:
    """Return the nanoseconds of a duration written with its unit."""
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise SettingsError(
            f"found {text!r}", where=where, expected="a time with its unit, as 800ms, 6s or 5m,"
        )
    return round(float(match[1]) * _UNIT_NS[match[2]])


def parse_setting_address(text: str, where: str) -> tuple[str, int]:
    """Return host and port of an address written HOST:PORT."""
    try:
        return parse_address(text)
    except ValueError as fault:
        raise SettingsError(str(fault), where=where) from None


def make_validation_error(fault: msgspec.ValidationError, source: str) -> SettingsError:
    """Return the error for a field that is unknown, missing or of the wrong type."""
    text, _, path = str(fault).partition(" - at `$")
    return SettingsError(text, where=f"{source}: {path.rstrip('`').lstrip('.') or 'the file'}")


class Checker:
    """Parses and checks fields of one source; each error names the source."""

    def __init__(self, source: str) -> None:
        self.source = source

    def make_error(self, path: str, found: object, expected: str) -> SettingsError:
        """Return the error for the value of a field."""
        return SettingsError(f"found {found!r}", where=f"{self.source}: {path}", expected=expected)

    def require(self, condition: bool, path: str, found: object, expected: str) -> None:
        """Raise the error for a field unless the condition is met."""
        if not condition:
            raise self.make_error(path, found, expected)

    def make_module_error(self, fault: ValueError, prefix: str = "") -> SettingsError:
        """Return the error for a value that the settings class of a decision module rejects."""
        return SettingsError(f"{prefix}{fault}", where=self.source)

    def parse_duration_ns(self, path: str, text: str) -> int:
        """Return the duration of a field in nanoseconds."""
        return parse_duration_ns(text, f"{self.source}: {path}")

    def parse_address(self, path: str, text: str) -> tuple[str, int]:
        """Return host and port of a field."""
        return parse_setting_address(text, f"{self.source}: {path}")

    def parse_size_gib(self, path: str, text: str) -> float:
        """Return the memory size of a field in GiB."""
        try:
            return parse_size(text) / GIB
        except ResourceError:
            raise self.make_error(path, text, "a size with its unit, as 64gb,") from None

    def parse_choice(self, path: str, table: dict[str, str], choice: str) -> str:
        """Return the table's value for the choice written in a field."""
        if choice not in table:
            raise self.make_error(path, choice, "one of " + ", ".join(table))
        return table[choice]
