"""The machines' encoding: `length:2 type:1 task:8`, then parameters `code:1 length:2 value`, big-endian."""

from __future__ import annotations

import struct

from ladderhub.signalling.table import MAX_MESSAGE_BYTES, Code, Kind, Message, SignalError

_HEAD = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
_LENGTH_SIZE = 2
_BARE = _HEAD.size - _LENGTH_SIZE  # what a message without parameters counts
_KINDS = {int(kind): kind for kind in Kind}


def encode_binary(message: Message) -> bytes:
    """One message; SignalError where it would be longer than a message may be."""
    parts = []
    for code, text in message.values.items():
        value = text.encode()
        parts.append(_PARAMETER.pack(code, min(len(value), 0xFFFF)) + value)
    if message.cause is not None:
        parts.append(_PARAMETER.pack(Code.CAUSE, 1) + bytes((message.cause,)))
    if message.description is not None:
        value = message.description.encode()
        parts.append(_PARAMETER.pack(Code.DESCRIPTION, min(len(value), 0xFFFF)) + value)
    body = b"".join(parts)
    if _HEAD.size + len(body) > MAX_MESSAGE_BYTES:
        raise SignalError("the message is too long", message.id)
    return _HEAD.pack(_BARE + len(body), message.kind, bytes.fromhex(message.id)) + body


class BinaryReader:
    """Gathers at most one message.  After a SignalError it is of no further use."""

    def __init__(self) -> None:
        self._rest = b""

    def pending(self) -> int:
        """Bytes of a message that has not come whole."""
        return len(self._rest)

    def feed(self, data: bytes) -> tuple[list[Message], SignalError | None]:
        """The messages that came whole, and what ended the reading if something did."""
        data, found, at = self._rest + data, [], 0
        self._rest = b""
        try:
            while len(data) - at >= _LENGTH_SIZE:
                size = int.from_bytes(data[at : at + _LENGTH_SIZE], "big")
                if not _BARE <= size <= MAX_MESSAGE_BYTES - _LENGTH_SIZE:
                    raise SignalError(f"a message can't be {size} bytes long")
                if len(data) - at > _LENGTH_SIZE and data[at + _LENGTH_SIZE] not in _KINDS:
                    raise SignalError(f"unknown message type {data[at + _LENGTH_SIZE]}")
                end = at + _LENGTH_SIZE + size
                if len(data) < end:
                    break
                found.append(_read(data[at:end]))
                at = end
        except SignalError as fault:
            return found, fault
        self._rest = data[at:]
        return found, None


def _read(data: bytes) -> Message:
    _, kind, number = _HEAD.unpack_from(data)
    message = Message(_KINDS[kind], number.hex())
    at = _HEAD.size
    while at < len(data):
        if len(data) - at < _PARAMETER.size:
            raise SignalError("a parameter is cut short", message.id)
        code, size = _PARAMETER.unpack_from(data, at)
        at += _PARAMETER.size
        value = data[at : at + size]
        at += size
        if len(value) < size:
            raise SignalError("a parameter is longer than its message", message.id)
        if code == Code.CAUSE:
            if size != 1:
                raise SignalError("a cause must be one byte", message.id)
            message.cause = value[0]
            continue
        try:
            text = value.decode()
        except UnicodeDecodeError:
            raise SignalError(f"parameter {code} is not text", message.id) from None
        if code == Code.DESCRIPTION:
            message.description = text
        else:
            message.values[code] = text
    return message
