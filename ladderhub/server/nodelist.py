"""Client of the directory: follows the node list, reconnects, and reloads the last list after a restart."""

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

# Each dial that times out doubles the time for the next one, so that a slow directory is reached in the end.
CONNECT_TIMEOUT_RANGE_NS = (1_000_000_000, 16_000_000_000)
RETRY_DELAY_RANGE_NS = (200_000_000, 5_000_000_000)
SAVE_INTERVAL_NS = 2_000_000_000
ListHandler = Callable[[ListKind, int, list[Entry]], None]


class NodeList:
    """Follows the directory and passes on every list; saves the latest on disk for the next start."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        scheduler: str,
        folder: Path,
        on_list: ListHandler,
        count: TrafficCount,
    ) -> None:
        self._loop, self._address, self._scheduler, self._on_list = loop, address, scheduler, on_list
        self._count = count
        self._path = folder / "node-list.json"
        self.entries: dict[str, Entry] = {}
        self.version = 0
        self.connected = False
        self._stream: Stream | None = None
        self._decoder = MessageDecoder()
        self._retry_delay_ns = RETRY_DELAY_RANGE_NS[0]
        self._connect_timeout_ns = CONNECT_TIMEOUT_RANGE_NS[0]
        self._closed = self._dirty = False

    def start(self) -> None:
        """Pass on the saved list, then connect to the directory."""
        with contextlib.suppress(FileNotFoundError, msgspec.MsgspecError):
            recalled: list[Entry] = msgspec.json.decode(self._path.read_bytes(), type=list[Entry])
            self.entries = {entry.name: entry for entry in recalled}
            self._on_list(ListKind.RECALLED, 0, recalled)
        self._connect()
        self._save()

    def _connect(self) -> None:
        if not self._closed:
            self._decoder = MessageDecoder()
            self._stream = connect_counted(
                self._loop, self._address, self, self._connect_timeout_ns, self._on_connected, self._count
            )

    def _on_connected(self, stream: Stream) -> None:
        self.connected = True
        self._connect_timeout_ns = CONNECT_TIMEOUT_RANGE_NS[0]
        self._retry_delay_ns = RETRY_DELAY_RANGE_NS[0]
        self._count.messages_out += 1
        stream.write(encode(Watch(self._scheduler, self.version)))

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            for message in self._decoder.feed(data):
                self._count.messages_in += 1
                if not isinstance(message, Listed) or message.kind not in ("full", "changes"):
                    raise DirectoryError("only lists are expected from the directory")
                self._apply_list(message)
        except DirectoryError as fault:
            stream.abort(fault)

    def _apply_list(self, message: Listed) -> None:
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
        self._on_list(kind, message.version, message.entries)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        if not self.connected and isinstance(fault, TimeoutError):
            self._connect_timeout_ns = min(CONNECT_TIMEOUT_RANGE_NS[1], 2 * self._connect_timeout_ns)
        self._stream, self.connected = None, False
        if not self._closed:
            self._on_list(ListKind.FAILED, self.version, [])
            self._loop.call_later(self._retry_delay_ns, self._connect)
            self._retry_delay_ns = min(RETRY_DELAY_RANGE_NS[1], 2 * self._retry_delay_ns)

    def _save(self) -> None:
        if self._closed:
            return
        if self._dirty:
            self._dirty = False
            fresh = self._path.with_suffix(".new")
            fresh.write_bytes(msgspec.json.encode(list(self.entries.values())))
            os.replace(fresh, self._path)
        self._loop.call_later(SAVE_INTERVAL_NS, self._save)

    def close(self) -> None:
        self._closed = True
        if self._stream is not None:
            self._stream.abort()
