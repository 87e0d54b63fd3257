"""The owners' encoding: one JSON object a line."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from ladderhub.signalling.table import MAX_MESSAGE_BYTES, Kind, Message, SignalError, is_id

_KINDS = {kind.name.lower(): kind for kind in Kind}
_NAMES = {kind: name for name, kind in _KINDS.items()}


_Byte = Annotated[int, msgspec.Meta(ge=0, le=255)]  # as the binary encoding has it


class _Line(msgspec.Struct):
    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}
    cause: _Byte | None = None
    sdp: str | None = None


class _Named(msgspec.Struct):
    """The least that tells whose message it was, where the rest makes no sense."""

    id: str


_whole: msgspec.json.Decoder[_Line] = msgspec.json.Decoder(_Line)
_named: msgspec.json.Decoder[_Named] = msgspec.json.Decoder(_Named)
_encoder = msgspec.json.Encoder()


def encode_line(message: Message) -> bytes:
    """One message and its line feed."""
    row: dict[str, object] = {"type": _NAMES[message.kind], "id": message.id, "fields": message.fields}
    if message.cause is not None:
        row["cause"] = int(message.cause)
    if message.description is not None:
        row["sdp"] = message.description
    return _encoder.encode(row) + b"\n"


class LineSplitter:
    """Cuts bytes into lines, and gathers no line over `most`."""

    def __init__(self, most: int = MAX_MESSAGE_BYTES) -> None:
        self._rest, self._most = b"", most

    def pending(self) -> int:
        return len(self._rest)

    def feed(self, data: bytes) -> tuple[list[bytes], SignalError | None]:
        """The lines that came whole, and what ended the reading if something did."""
        *lines, rest = (self._rest + data).split(b"\n")
        self._rest = b""
        for at, line in enumerate(lines):
            if len(line) > self._most:
                return lines[:at], SignalError("the line is too long")
        if len(rest) > self._most:
            return lines, SignalError("the line is too long")
        self._rest = rest
        return lines, None


def decode_line(line: bytes) -> Message:
    """One owner's message; SignalError, with the task's id where it can be told, if it is none."""
    try:
        row = _whole.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise SignalError(f"not a message: {fault}", _id_of(line)) from None
    if row.type not in _KINDS:
        raise SignalError("unknown message type", row.id if is_id(row.id) else "")
    if not is_id(row.id):
        raise SignalError("a message must name a task by 16 hex digits")
    for value in row.fields.values():
        if isinstance(value, float) and not math.isfinite(value):
            raise SignalError("a field is not a finite number", row.id)
    return Message(_KINDS[row.type], row.id, row.cause, row.sdp, row.fields)


def _id_of(line: bytes) -> str:
    try:
        name = _named.decode(line).id
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return ""
    return name if is_id(name) else ""


class LineReader:
    """Reads an owner's lines.  A line that is no message but names a task is given as a SignalError among
    the messages, so that its sender can be told; what can't be told ends the reading."""

    def __init__(self) -> None:
        self._lines = LineSplitter()

    def pending(self) -> int:
        return self._lines.pending()

    def feed(self, data: bytes) -> tuple[list[Message | SignalError], SignalError | None]:
        lines, end = self._lines.feed(data)
        found: list[Message | SignalError] = []
        for line in lines:
            try:
                found.append(decode_line(line))
            except SignalError as fault:
                if not fault.id:
                    return found, fault
                found.append(fault)
        return found, end
