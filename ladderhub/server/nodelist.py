"""The scheduler's end of the directory: lists as they come, recalled after a restart, followed over cuts."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.directory.wire import DirectoryError, Entry, Listed, MessageDecoder, Watch, encode
from ladderhub.interface import ListKind
from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address
from ladderhub.usage.accounted import connect_counted
from ladderhub.usage.traffic import TrafficCount

CONNECT_NS = 1_000_000_000
RETRY_NS = (200_000_000, 5_000_000_000)
SAVE_NS = 2_000_000_000
Taker = Callable[[ListKind, int, list[Entry]], None]


class NodeList:
    """Follows the directory and hands every list on; keeps the last one on disk for the next start."""

    def __init__(
        self, loop: Loop, address: Address, scheduler: str, folder: Path, take: Taker, count: TrafficCount
    ) -> None:
        self._loop, self._address, self._scheduler, self._take = loop, address, scheduler, take
        self._count = count
        self._path = folder / "node-list.json"
        self.entries: dict[str, Entry] = {}
        self.version = 0
        self.connected = False
        self._stream: Stream | None = None
        self._lines = MessageDecoder()
        self._span = RETRY_NS[0]
        self._closed = self._dirty = False

    def start(self) -> None:
        with contextlib.suppress(FileNotFoundError, msgspec.MsgspecError):
            recalled: list[Entry] = msgspec.json.decode(self._path.read_bytes(), type=list[Entry])
            self.entries = {entry.name: entry for entry in recalled}
            self._take(ListKind.RECALLED, 0, recalled)
        self._connect()
        self._save()

    def _connect(self) -> None:
        if not self._closed:
            self._lines = MessageDecoder()
            self._stream = connect_counted(
                self._loop, self._address, self, CONNECT_NS, self._connected, self._count
            )

    def _connected(self, stream: Stream) -> None:
        self.connected = True
        self._span = RETRY_NS[0]
        self._count.messages_out += 1
        stream.write(encode(Watch(self._scheduler, self.version)))

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            for message in self._lines.feed(data):
                self._count.messages_in += 1
                if not isinstance(message, Listed) or message.kind not in ("full", "changes"):
                    raise DirectoryError("only lists are expected from the directory")
                self._listed(message)
        except DirectoryError as fault:
            stream.abort(fault)

    def _listed(self, message: Listed) -> None:
        self.version, self._dirty = message.version, True
        if message.kind == "full":
            self.entries = {entry.name: entry for entry in message.entries}
        else:
            for entry in message.entries:
                if entry.stage == "gone":
                    self.entries.pop(entry.name, None)
                else:
                    self.entries[entry.name] = entry
        kind = ListKind.FULL if message.kind == "full" else ListKind.CHANGES
        self._take(kind, message.version, message.entries)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream, self.connected = None, False
        if not self._closed:
            self._take(ListKind.FAILED, self.version, [])
            self._loop.call_later(self._span, self._connect)
            self._span = min(RETRY_NS[1], 2 * self._span)

    def _save(self) -> None:
        if self._closed:
            return
        if self._dirty:
            self._dirty = False
            fresh = self._path.with_suffix(".new")
            fresh.write_bytes(msgspec.json.encode(list(self.entries.values())))
            os.replace(fresh, self._path)
        self._loop.call_later(SAVE_NS, self._save)

    def close(self) -> None:
        self._closed = True
        if self._stream is not None:
            self._stream.abort()
