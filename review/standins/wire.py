"""The encoding of the machines, written anew from the protocol page, so that no code judges itself."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

SETUP, ANSWER, RELEASE, RELEASED, NOTE, MOVE, PING, PONG = 1, 9, 12, 16, 44, 51, 52, 53
CLASS, KEY, NOTED, CAUSE, DESCRIPTION = 180, 184, 187, 194, 195


@dataclass
class Message:
    """One binary message: its type, the task, and its parameters by code."""

    type: int
    task: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        value = self.parameters.get(CAUSE)
        return value[0] if value else None

    def encode(self) -> bytes:
        body = bytes([self.type]) + bytes.fromhex(self.task)
        for code, value in self.parameters.items():
            body += struct.pack(">BH", code, len(value)) + value
        return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> Message:
    """Decode what follows the length of one message."""
    message = Message(body[0], body[1:9].hex())
    at = 9
    while at < len(body):
        code, size = struct.unpack_from(">BH", body, at)
        message.parameters[code] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return message
