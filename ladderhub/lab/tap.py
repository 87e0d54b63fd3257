"""The tap: stands between two parties, passes bytes on as they are, and records them.  Part of neither.

A recording is a file of records: moment (ns), length of the channel's name, direction, length of the data,
name, data.  Directions: `O` a connection was opened, `>` towards the listener, `<` back, `X` closed.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from ladderhub.lab.ports import own_host
from ladderhub.loop import Listener, Loop, Stream
from ladderhub.loop.stream import Address, connect

_HEAD = struct.Struct(">QIHcI")
CONNECT_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Record:
    """One piece of a recording.  `channel` is what the tap was told when its listener was added."""

    at_ns: int
    connection: int
    channel: str
    direction: str
    data: bytes


class Tap:
    """Listeners that pass on to others, and one file that holds what went by."""

    def __init__(self, loop: Loop, path: Path) -> None:
        self.loop, self.path = loop, path
        self._file = open(path, "wb")  # noqa: SIM115  closed by close()
        self._listeners: list[Listener] = []
        self.pairs: set[_Pair] = set()
        self._count = 0

    def add_listener(self, channel: str, target: Address) -> Address:
        """Listen for `target`; gives the address to be used in its stead."""
        listener = Listener(self.loop, (own_host(), 0), lambda sock: self._accept(channel, target, sock))
        self._listeners.append(listener)
        return listener.address

    def _accept(self, channel: str, target: Address, sock: socket.socket) -> None:
        self._count += 1
        self.pairs.add(_Pair(self, self._count, channel, target, sock))

    def write(self, connection: int, channel: str, direction: str, data: bytes = b"") -> None:
        if not self._file.closed:
            name = channel.encode()
            head = _HEAD.pack(self.loop.now_ns(), connection, len(name), direction.encode(), len(data))
            self._file.write(head + name + data)

    def abort_connections(self, channel: str) -> None:
        """Cut every connection of a channel (all whose name begins so)."""
        for pair in list(self.pairs):
            if pair.channel.startswith(channel):
                pair.end()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for pair in list(self.pairs):
            pair.end()
        self._file.close()


class _Pair:
    """One connection through the tap."""

    def __init__(self, tap: Tap, number: int, channel: str, target: Address, sock: socket.socket) -> None:
        self.tap, self.number, self.channel = tap, number, channel
        tap.write(number, channel, "O")
        self.near = Stream(tap.loop, sock, self)
        self.far = connect(tap.loop, target, self, CONNECT_NS)
        self._over = False

    def on_data(self, stream: Stream, data: bytes) -> None:
        near = stream is self.near
        self.tap.write(self.number, self.channel, ">" if near else "<", data)
        (self.far if near else self.near).write(data)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        if not self._over:
            self._over = True
            self.tap.write(self.number, self.channel, "X")
            # What was written to the other side still leaves before it is closed.
            (self.far if stream is self.near else self.near).close()
            self.tap.pairs.discard(self)

    def end(self) -> None:
        self.near.abort()


def read(path: Path) -> Iterator[Record]:
    """The records of a file in order; ValueError where it is cut off."""
    with open(path, "rb") as file:
        while head := file.read(_HEAD.size):
            if len(head) < _HEAD.size:
                raise ValueError(f"{path}: ends inside a record")
            at, connection, name, direction, size = _HEAD.unpack(head)
            channel, data = file.read(name).decode(), file.read(size)
            if len(data) < size:
                raise ValueError(f"{path}: ends inside a record")
            yield Record(at, connection, channel, direction.decode(), data)
