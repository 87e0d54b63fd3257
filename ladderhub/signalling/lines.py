"""The encoding used with owners: one JSON object per line."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from ladderhub.signalling.table import MAX_MESSAGE_BYTES, Kind, Message, SignalError, is_id

_KINDS_BY_NAME = {kind.name.lower(): kind for kind in Kind}
_KIND_NAMES = {kind: name for name, kind in _KINDS_BY_NAME.items()}


_Byte = Annotated[int, msgspec.Meta(ge=0, le=255)]  # the range of a cause in the binary encoding


class _Line(msgspec.Struct):
    type: str
    id: str = ""
    fields: dict[str, str | int | float] = {}
    cause: _Byte | None = None
    sdp: str | None = None


class _Named(msgspec.Struct):
    """Only the task id, to identify the task of a message that is otherwise invalid."""

    id: str


_line_decoder: msgspec.json.Decoder[_Line] = msgspec.json.Decoder(_Line)
_id_decoder: msgspec.json.Decoder[_Named] = msgspec.json.Decoder(_Named)
_encoder = msgspec.json.Encoder()


def encode_line(message: Message) -> bytes:
    """Encode one message, with its line feed."""
    row: dict[str, object] = {"type": _KIND_NAMES[message.kind], "id": message.id, "fields": message.fields}
    if message.cause is not None:
        row["cause"] = int(message.cause)
    if message.description is not None:
        row["sdp"] = message.description
    return _encoder.encode(row) + b"\n"


class LineSplitter:
    """Splits bytes into lines and buffers at most `max_line_bytes` of one."""

    def __init__(self, max_line_bytes: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer, self._max_line_bytes = b"", max_line_bytes

    def pending(self) -> int:
        return len(self._buffer)

    def feed(self, data: bytes) -> tuple[list[bytes], SignalError | None]:
        """Add input: the lines completed by it, and the error that ends the reading, if any."""
        *lines, rest = (self._buffer + data).split(b"\n")
        self._buffer = b""
        for index, line in enumerate(lines):
            if len(line) > self._max_line_bytes:
                return lines[:index], SignalError("the line is too long")
        if len(rest) > self._max_line_bytes:
            return lines, SignalError("the line is too long")
        self._buffer = rest
        return lines, None


def decode_line(line: bytes) -> Message:
    """Decode an owner's message; SignalError if it is invalid, with the task id if that is known."""
    try:
        row = _line_decoder.decode(line)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise SignalError(f"not a message: {error}", _extract_id(line)) from None
    if row.type not in _KINDS_BY_NAME:
        raise SignalError("unknown message type", row.id if is_id(row.id) else "")
    if not is_id(row.id):
        raise SignalError("a message must name a task by 16 hex digits")
    for value in row.fields.values():
        if isinstance(value, float) and not math.isfinite(value):
            raise SignalError("a field is not a finite number", row.id)
    return Message(_KINDS_BY_NAME[row.type], row.id, row.cause, row.sdp, row.fields)


def _extract_id(line: bytes) -> str:
    try:
        task_id = _id_decoder.decode(line).id
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return ""
    return task_id if is_id(task_id) else ""


class LineReader:
    """Decodes an owner's lines.  An invalid line with a task id is returned as a SignalError among the
    messages, so that its sender can be notified; an invalid line without one ends the reading."""

    def __init__(self) -> None:
        self._lines = LineSplitter()

    def pending(self) -> int:
        return self._lines.pending()

    def feed(self, data: bytes) -> tuple[list[Message | SignalError], SignalError | None]:
        lines, end_error = self._lines.feed(data)
        messages: list[Message | SignalError] = []
        for line in lines:
            try:
                messages.append(decode_line(line))
            except SignalError as error:
                if not error.id:
                    return messages, error
                messages.append(error)
        return messages, end_error
