"""Checks of single fields: each fault names the file, the field, what was found and what was meant."""

from __future__ import annotations

import re

import msgspec

from ladderhub.errors import LadderhubError
from ladderhub.loop import parse_address
from ladderhub.pbs import names
from ladderhub.pbs.resources import GIB, ResourceError, parse_size

_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}
_SPAN = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")


class SettingsError(LadderhubError):
    """The settings can't be used: where, what was found, what was meant."""

    status, code = 2, names.BAD_ATTRIBUTE_VALUE
    remedy = "mend that field; `ladderhub check FILE` says whether the file is good without starting anything"


def span_ns(text: str, where: str) -> int:
    """Nanoseconds of a span with its unit."""
    match = _SPAN.fullmatch(text.strip())
    if match is None:
        raise SettingsError(
            f"found {text!r}", where=where, expected="a time with its unit, as 800ms, 6s or 5m,"
        )
    return round(float(match[1]) * _UNITS[match[2]])


def address_of(text: str, where: str) -> tuple[str, int]:
    """Host and port of an address written HOST:PORT."""
    try:
        return parse_address(text)
    except ValueError as fault:
        raise SettingsError(str(fault), where=where) from None


def wrong_shape(fault: msgspec.ValidationError, source: str) -> SettingsError:
    """A field that is unknown, missing or of another type."""
    text, _, path = str(fault).partition(" - at `$")
    return SettingsError(text, where=f"{source}: {path.rstrip('`').lstrip('.') or 'the file'}")


class Checker:
    """Reads fields of one source, which each fault names."""

    def __init__(self, source: str) -> None:
        self.source = source

    def wrong(self, path: str, found: object, meant: str) -> SettingsError:
        """The fault of a field."""
        return SettingsError(f"found {found!r}", where=f"{self.source}: {path}", expected=meant)

    def require(self, holds: bool, path: str, found: object, meant: str) -> None:
        """Raise the fault of a field unless this holds."""
        if not holds:
            raise self.wrong(path, found, meant)

    def refused(self, fault: ValueError, within: str = "") -> SettingsError:
        """What the settings of a decision module refuse, in their own words."""
        return SettingsError(f"{within}{fault}", where=self.source)

    def span(self, path: str, text: str) -> int:
        """Nanoseconds."""
        return span_ns(text, f"{self.source}: {path}")

    def address(self, path: str, text: str) -> tuple[str, int]:
        """Host and port."""
        return address_of(text, f"{self.source}: {path}")

    def size(self, path: str, text: str) -> float:
        """GiB."""
        try:
            return parse_size(text) / GIB
        except ResourceError:
            raise self.wrong(path, text, "a size with its unit, as 64gb,") from None

    def choice(self, path: str, table: dict[str, str], word: str) -> str:
        """What the word stands for."""
        if word not in table:
            raise self.wrong(path, word, "one of " + ", ".join(table))
        return table[word]
