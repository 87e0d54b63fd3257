"""The configuration of a scheduler: three environment variables and one file.

The file is read and checked as a whole.  ConfigError says what is wrong, where, and what was expected."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from ladderhub import interface as api
from ladderhub.errors.base import BAD_VALUE, LadderhubError
from ladderhub.loop import parse_address
from ladderhub.loop.stream import Address
from ladderhub.platform.mapping import NameIndex
from ladderhub.signalling.journal import Entry, JournalEvent, decode_entry
from ladderhub.translate import FieldError, read_object, read_settings

MS = 1_000_000
MB = 1_000_000
NEVER_NS = 1 << 62
OWN_DESCRIPTORS = 12  # listener, selector, wake-up, standard streams, journal, a file
MIN_SOCKETS = 4 * OWN_DESCRIPTORS  # a quarter then goes to machines, half to owners


class ConfigError(LadderhubError):
    """The configuration can't be used."""

    status, code = 2, BAD_VALUE
    remedy = "mend the variable or the field that is named; nothing was started, or the old one is in force"


class _Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1024


class _Known(msgspec.Struct):
    pos: int = 0
    entries: list[Entry] = []


class _File(msgspec.Struct):
    journal: str
    settings: dict[str, Any]
    name: str = ""
    listen: str = ""
    seed: str | int = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: _Known = msgspec.field(default_factory=_Known)


@dataclass(frozen=True, slots=True)
class Config:
    """A complete, checked configuration."""

    name: str
    listen: Address
    journal: Address
    seed: int
    sockets: int
    memory_bytes: int  # the limit of this process; 0 if there is none
    settings: api.Settings
    names: NameIndex
    known: tuple[JournalEvent, ...]
    pos: int
    connect_timeout_ns: int
    idle_timeout_ns: int  # machines close connections that were idle for this long
    has_connection_price: bool  # new connections to machines have a price


def read_address(text: str, where: str) -> Address:
    """Parse HOST:PORT; ConfigError names the place that it was read from."""
    try:
        return parse_address(text)
    except ValueError as fault:
        raise ConfigError(str(fault), where=where) from None


def load_config(environment: Mapping[str, str]) -> Config:
    """Read the file that PROXY_CONFIG names; PROXY_NAME and PROXY_LISTEN override its fields."""
    path = environment.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("not set", where="PROXY_CONFIG", expected="the path of the configuration file")
    try:
        data = Path(path).read_bytes()
    except OSError as fault:
        raise ConfigError(str(fault.strerror), where=f"PROXY_CONFIG: {path}") from None
    try:
        file: _File = msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise ConfigError(str(fault), where=path) from None
    listen = environment.get("PROXY_LISTEN") or file.listen
    if not listen:
        raise ConfigError("not set", where="PROXY_LISTEN", expected="the address for owners, HOST:PORT,")
    try:
        settings, names = read_settings(file.settings), NameIndex(file.settings)
        limits, prices = read_object(file.settings, "ceilings"), read_object(file.settings, "prices")
    except (FieldError, ValueError, TypeError, AttributeError) as fault:
        raise ConfigError(str(fault), where=f"{path}: settings") from None
    # A failed dial does not count as an attempt, since no machine received the set-up.
    settings = replace(settings, unreached_count=False)
    if file.limits.sockets < MIN_SOCKETS:
        where, meant = f"{path}: limits.sockets", f"at least {MIN_SOCKETS}"
        raise ConfigError(f"found {file.limits.sockets}", where=where, expected=meant)
    return Config(
        name=environment.get("PROXY_NAME") or file.name,
        listen=read_address(listen, "PROXY_LISTEN"),
        journal=read_address(file.journal, f"{path}: journal"),
        seed=_parse_seed(file.seed, path),
        sockets=file.limits.sockets,
        memory_bytes=round(file.limits.memory_mb * MB),
        settings=settings,
        names=names,
        known=tuple(decode_entry(entry) for entry in file.known.entries),
        pos=file.known.pos,
        has_connection_price=bool(prices.get("handshake")),
        connect_timeout_ns=int(limits.get("dial-timeout-ns") or 250 * MS),
        idle_timeout_ns=int(limits.get("conn-idle-ns") or NEVER_NS),
    )


def _parse_seed(value: str | int, path: str) -> int:
    try:
        return value if isinstance(value, int) else int(value or "0", 16)
    except ValueError:
        raise ConfigError(f"found {value!r}", where=f"{path}: seed", expected="a hex number") from None
