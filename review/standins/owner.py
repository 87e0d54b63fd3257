"""An owner: asks for tasks on one connection that it holds, and says that it heard each release."""

from __future__ import annotations

import asyncio
import json
import secrets
from dataclasses import dataclass, field
from typing import Any

from review.standins.record import Record, now


@dataclass
class Asked:
    """One set-up: when it was sent and until when its answer is waited for, and what came."""

    task: str
    klass: str
    key: str
    sent: float
    until: float
    answers: list[tuple[float, str, int | None]] = field(default_factory=list)  # when, type, cause
    over: list[tuple[float, str, int | None]] = field(default_factory=list)  # after an answer
    released_at: float | None = None  # when the owner itself ended the task
    heard: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def stands(self) -> bool:
        return any(kind == "answer" for _, kind, _ in self.answers)


class Owner:
    """One owner with one connection."""

    def __init__(self, record: Record, name: str, tenant: str) -> None:
        self.record, self.name, self.tenant = record, name, tenant
        self.asked: dict[str, Asked] = {}
        self.pongs: list[int] = []
        self.confirmed: set[str] = set()  # tasks whose release by the owner the scheduler has heard
        self.ended = False
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        reader, self._writer = await asyncio.open_connection(*address)
        self.ended = False
        self._reading = asyncio.create_task(self._read(reader))

    def _send(self, row: dict[str, Any]) -> None:
        assert self._writer is not None
        if self._writer.transport.is_closing():
            return
        self._writer.write(json.dumps(row).encode() + b"\n")

    def ping(self) -> None:
        self._send({"type": "ping", "id": secrets.token_hex(8), "fields": {}, "cause": 0})

    def ask(
        self, klass: str, service: str, left_ms: int, size: str = "cores:0.5;memory:0.5", key: str = ""
    ) -> Asked:
        """Send a set-up with a new id; `key` names the task if it comes again."""
        task, key = secrets.token_hex(8), key or secrets.token_hex(8)
        fields = {
            "class": klass, "left": str(left_ms), "tenant": self.tenant, "key": key,
            "extras": f"{size};service:{service}",
        }  # fmt: skip
        asked = Asked(task, klass, key, now(), now() + left_ms / 1000)
        self.asked[task] = asked
        self.record.line(self.name, f"asks {task} {klass} key {key} left {left_ms}")
        self._send({"type": "setup", "id": task, "fields": fields, "sdp": f"wants {task}\r\n"})
        return asked

    def release(self, asked: Asked) -> None:
        """End a task that stands."""
        asked.released_at = now()
        self.record.line(self.name, f"ends {asked.task}")
        self._send({"type": "release", "id": asked.task, "fields": {}, "cause": 31})

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                self._handle(json.loads(line))
        except OSError:
            pass
        self.ended = True
        self.record.line(self.name, "its connection has ended")

    def _handle(self, row: dict[str, Any]) -> None:
        kind, task, cause = row["type"], row["id"], row.get("cause")
        if kind == "pong":
            self.pongs.append(cause)
            return
        self.record.line(self.name, f"hears {kind} {task} cause {cause} {row.get('sdp', '').strip()}")
        asked = self.asked.get(task)
        if kind == "released":
            self.confirmed.add(task)
        elif asked is None:
            self.record.line(self.name, f"knows no task {task}")
        elif kind in ("answer", "release", "move") and not asked.stands:
            asked.answers.append((now(), kind, cause))
            asked.heard.set()
        elif kind in ("release", "move"):
            asked.over.append((now(), kind, cause))
            self._send({"type": "released", "id": task, "fields": {}})
        elif kind == "answer":
            asked.answers.append((now(), kind, cause))

    def close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.transport.abort()
