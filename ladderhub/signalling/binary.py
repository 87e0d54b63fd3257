"""The encoding used with machines: `length:2 type:1 task:8`, then parameters `code:1 length:2 value`.

Sizes are in bytes; integers are big-endian.
"""

from __future__ import annotations

import struct

from ladderhub.signalling.table import MAX_MESSAGE_BYTES, Code, Kind, Message, SignalError

_HEADER = struct.Struct(">HB8s")
_PARAMETER = struct.Struct(">BH")
_LENGTH_SIZE = 2
_MIN_LENGTH = _HEADER.size - _LENGTH_SIZE  # length field of a message without parameters
_KINDS_BY_TYPE = {int(kind): kind for kind in Kind}


def encode_binary(message: Message) -> bytes:
    """Encode one message; SignalError if the result exceeds the maximum length."""
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
    if _HEADER.size + len(body) > MAX_MESSAGE_BYTES:
        raise SignalError("the message is too long", message.id)
    return _HEADER.pack(_MIN_LENGTH + len(body), message.kind, bytes.fromhex(message.id)) + body


class BinaryReader:
    """Incremental decoder that buffers at most one message.  It can't be used after a SignalError."""

    def __init__(self) -> None:
        self._buffer = b""

    def pending(self) -> int:
        """Number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> tuple[list[Message], SignalError | None]:
        """Decode more input: the messages completed by it, and the error that ends the reading, if any."""
        data, messages, offset = self._buffer + data, [], 0
        self._buffer = b""
        try:
            while len(data) - offset >= _LENGTH_SIZE:
                size = int.from_bytes(data[offset : offset + _LENGTH_SIZE], "big")
                if not _MIN_LENGTH <= size <= MAX_MESSAGE_BYTES - _LENGTH_SIZE:
                    raise SignalError(f"invalid message length: {size} bytes")
                if len(data) - offset > _LENGTH_SIZE and data[offset + _LENGTH_SIZE] not in _KINDS_BY_TYPE:
                    raise SignalError(f"unknown message type {data[offset + _LENGTH_SIZE]}")
                end = offset + _LENGTH_SIZE + size
                if len(data) < end:
                    break
                messages.append(_decode_message(data[offset:end]))
                offset = end
        except SignalError as error:
            return messages, error
        self._buffer = data[offset:]
        return messages, None


def _decode_message(data: bytes) -> Message:
    _, kind, task_id = _HEADER.unpack_from(data)
    message = Message(_KINDS_BY_TYPE[kind], task_id.hex())
    offset = _HEADER.size
    while offset < len(data):
        if len(data) - offset < _PARAMETER.size:
            raise SignalError("truncated parameter", message.id)
        code, size = _PARAMETER.unpack_from(data, offset)
        offset += _PARAMETER.size
        value = data[offset : offset + size]
        offset += size
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
            raise SignalError(f"parameter {code} is not valid UTF-8", message.id) from None
        if code == Code.DESCRIPTION:
            message.description = text
        else:
            message.values[code] = text
    return message
