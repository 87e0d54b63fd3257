"""Decodes the journal service's lines: numbered changes of the list of machines.

Each second the service also sends a line with only the number of its last event.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ladderhub.signalling.lines import LineSplitter
from ladderhub.signalling.table import SignalError

MAX_EVENT_BYTES = 1024 * 1024  # an event may contain the full list of machines


class HostRow(msgspec.Struct):
    """One machine in an event.  `since_ms`: its last start in Unix milliseconds, 0 for long ago.
    `left_over`: the cores and the memory that no task has requested."""

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
    """The machines of an event; `snapshot`: it contains the whole list, not only changes."""

    snapshot: bool = False
    endpoints: list[msgspec.Raw] = []  # decoded one by one: an invalid row does not invalidate the others


class Entry(msgspec.Struct):
    """One event, as encoded in the configuration and on a line."""

    pos: int
    hosts: msgspec.Raw = msgspec.Raw()


class _Named(msgspec.Struct):
    """Only the name, to identify the machine of a row that is otherwise invalid."""

    name: str = ""


@dataclass(frozen=True, slots=True)
class JournalEvent:
    """Event number `pos`.  `full`: it contains the whole list.  `rows`: None if the line contains only the
    number.  `invalid_rows`: for each row that can't be decoded, the machine's name (empty if unknown) and the
    reason."""

    pos: int
    full: bool = False
    rows: tuple[HostRow, ...] | None = None
    invalid_rows: tuple[tuple[str, str], ...] = ()


_DECODE_ERRORS = (msgspec.DecodeError, RecursionError, UnicodeDecodeError)
_hosts_decoder: msgspec.json.Decoder[Hosts] = msgspec.json.Decoder(Hosts)
_row_decoder: msgspec.json.Decoder[HostRow] = msgspec.json.Decoder(HostRow)
_name_decoder: msgspec.json.Decoder[_Named] = msgspec.json.Decoder(_Named)
_line_decoder: msgspec.json.Decoder[Entry | int] = msgspec.json.Decoder(Entry | int)


def decode_entry(entry: Entry) -> JournalEvent:
    """Decode the rows of an event.  Errors are reported in the event, not raised."""
    if not bytes(entry.hosts):
        return JournalEvent(entry.pos)
    rows: list[HostRow] = []
    invalid_rows: list[tuple[str, str]] = []
    try:
        hosts = _hosts_decoder.decode(entry.hosts)
    except _DECODE_ERRORS as error:
        return JournalEvent(entry.pos, False, (), (("", str(error)),))
    for raw in hosts.endpoints:
        try:
            rows.append(_row_decoder.decode(raw))
        except _DECODE_ERRORS as error:
            invalid_rows.append((_extract_name(raw), str(error)))
    return JournalEvent(entry.pos, hosts.snapshot, tuple(rows), tuple(invalid_rows))


def _extract_name(raw: msgspec.Raw) -> str:
    try:
        return _name_decoder.decode(raw).name
    except _DECODE_ERRORS:
        return ""


def decode_event(line: bytes) -> JournalEvent:
    """Decode one line; SignalError if it is invalid."""
    try:
        row = _line_decoder.decode(line)
    except _DECODE_ERRORS as error:
        raise SignalError(f"not a line of the journal: {error}") from None
    return JournalEvent(row) if isinstance(row, int) else decode_entry(row)


class JournalReader:
    """Decodes lines and checks the event numbers: repeated events are dropped, a gap ends the reading.

    `pos` is the number of the last complete event; a new connection continues after it."""

    def __init__(self, pos: int) -> None:
        self.pos = pos
        self._lines = LineSplitter(MAX_EVENT_BYTES)

    def start(self) -> bytes:
        """Reset the buffer for a new connection, and return the request to send on it."""
        self._lines = LineSplitter(MAX_EVENT_BYTES)
        return b"tail %d\n" % self.pos

    def pending(self) -> int:
        """Number of buffered bytes of an incomplete line."""
        return self._lines.pending()

    def feed(self, data: bytes) -> tuple[list[JournalEvent], SignalError | None]:
        """Decode more input: the new events in order, and the error that ends the reading, if any."""
        lines, end_error = self._lines.feed(data)
        events: list[JournalEvent] = []
        for line in lines:
            try:
                event = decode_event(line)
            except SignalError as error:
                return events, error
            if event.rows is None:
                if event.pos > self.pos:
                    return events, SignalError(f"event {self.pos + 1} is missing")
            elif event.pos > self.pos + 1:
                return events, SignalError(f"event {self.pos + 1} is missing")
            elif event.pos == self.pos + 1:
                self.pos = event.pos
                events.append(event)
        return events, end_error
