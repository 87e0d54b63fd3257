"""The journal service's lines: numbered events on the list of machines, and a bare number each second."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ladderhub.signalling.lines import LineSplitter
from ladderhub.signalling.table import SignalError

MAX_EVENT_BYTES = 1024 * 1024  # one event may hold the whole list


class HostRow(msgspec.Struct):
    """One machine as an event has it.  `since_ms` is its late start in Unix milliseconds, or 0; `left_over`
    the cores and the memory that nobody has asked for."""

    name: str
    address: str
    status: str
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: int = 0
    left_over: tuple[float, float] = (0.0, 0.0)


class Hosts(msgspec.Struct):
    snapshot: bool = False
    endpoints: list[msgspec.Raw] = []  # read one by one: a row that can't be used leaves the others in force


class Entry(msgspec.Struct):
    """One event as it stands in the configuration and on a line."""

    pos: int
    hosts: msgspec.Raw = msgspec.Raw()


class _Named(msgspec.Struct):
    name: str = ""


@dataclass(frozen=True, slots=True)
class JournalEvent:
    """Event number `pos`; `rows` None where the line held the last number alone.  `spoilt`: rows that can't
    be used, each by its machine's name, '' where that can't be told, and why."""

    pos: int
    full: bool = False
    rows: tuple[HostRow, ...] | None = None
    invalid_rows: tuple[tuple[str, str], ...] = ()


_FAULTS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
_hosts: msgspec.json.Decoder[Hosts] = msgspec.json.Decoder(Hosts)
_row: msgspec.json.Decoder[HostRow] = msgspec.json.Decoder(HostRow)
_named: msgspec.json.Decoder[_Named] = msgspec.json.Decoder(_Named)
_decoder: msgspec.json.Decoder[Entry | int] = msgspec.json.Decoder(Entry | int)


def decode_entry(entry: Entry) -> JournalEvent:
    if not bytes(entry.hosts):
        return JournalEvent(entry.pos)
    rows: list[HostRow] = []
    spoilt: list[tuple[str, str]] = []
    try:
        hosts = _hosts.decode(entry.hosts)
    except _FAULTS as fault:
        return JournalEvent(entry.pos, False, (), (("", str(fault)),))
    for raw in hosts.endpoints:
        try:
            rows.append(_row.decode(raw))
        except _FAULTS as fault:
            spoilt.append((_name_of(raw), str(fault)))
    return JournalEvent(entry.pos, hosts.snapshot, tuple(rows), tuple(spoilt))


def _name_of(raw: msgspec.Raw) -> str:
    try:
        return _named.decode(raw).name
    except _FAULTS:
        return ""


def decode_event(line: bytes) -> JournalEvent:
    """One line; SignalError where it is none."""
    try:
        row = _decoder.decode(line)
    except _FAULTS as fault:
        raise SignalError(f"not a line of the journal: {fault}") from None
    return JournalEvent(row) if isinstance(row, int) else decode_entry(row)


class JournalReader:
    """Reads lines and keeps to the order of numbers: repeats are dropped, a gap ends the reading.

    `pos` is the last event that came whole; a new connection goes on from there."""

    def __init__(self, pos: int) -> None:
        self.pos = pos
        self._lines = LineSplitter(MAX_EVENT_BYTES)

    def start(self) -> bytes:
        """What to send on a new connection."""
        self._lines = LineSplitter(MAX_EVENT_BYTES)
        return b"tail %d\n" % self.pos

    def pending(self) -> int:
        """Bytes of a line that has not come whole."""
        return self._lines.pending()

    def feed(self, data: bytes) -> tuple[list[JournalEvent], SignalError | None]:
        """The new events in order, and what ended the reading if something did."""
        lines, end = self._lines.feed(data)
        found: list[JournalEvent] = []
        for line in lines:
            try:
                event = decode_event(line)
            except SignalError as fault:
                return found, fault
            if event.rows is None:
                if event.pos > self.pos:
                    return found, SignalError(f"event {self.pos + 1} was left out")
            elif event.pos > self.pos + 1:
                return found, SignalError(f"event {self.pos + 1} was left out")
            elif event.pos == self.pos + 1:
                self.pos = event.pos
                found.append(event)
        return found, end
