"""The users' signalling protocol as PROTOCOL.md words it, for the stand-ins of this review."""

from __future__ import annotations

import json
import struct
from typing import Any

SETUP, PROGRESS, ANSWER, RELEASE, RELEASED, NOTE, MOVE, PING, PONG = 1, 6, 9, 12, 16, 44, 51, 52, 53
CODE_CLASS, CODE_WAIT, CODE_KEY, CODE_CAUSE, CODE_DESCRIPTION = 180, 181, 184, 194, 195


def pack(kind: int, task: str, cause: int | None = None, description: str | None = None) -> bytes:
    """One binary message, as machines send it."""
    body = b""
    if cause is not None:
        body += struct.pack(">BHB", CODE_CAUSE, 1, cause)
    if description is not None:
        text = description.encode()
        body += struct.pack(">BH", CODE_DESCRIPTION, len(text)) + text
    return struct.pack(">HB8s", 9 + len(body), kind, bytes.fromhex(task)) + body


def unpack(buffer: bytearray) -> list[tuple[int, str, dict[int, bytes]]]:
    """Take the complete binary messages out of the buffer."""
    found = []
    while len(buffer) >= 2:
        size = 2 + int.from_bytes(buffer[:2], "big")
        if len(buffer) < size:
            break
        data, parameters, at = bytes(buffer[:size]), {}, 11
        del buffer[:size]
        while at < size:
            code, length = struct.unpack_from(">BH", data, at)
            parameters[code] = data[at + 3 : at + 3 + length]
            at += 3 + length
        found.append((data[2], data[3:11].hex(), parameters))
    return found


def line(kind: str, task: str, **more: Any) -> bytes:
    """One JSON line, as owners send it."""
    return json.dumps({"type": kind, "id": task, "fields": {}} | more).encode() + b"\n"
