"""The tap: a TCP proxy that forwards bytes unchanged and records them.

A recording is a file of records: time (ns), number of the connection, length of the channel's name,
direction, length of the data, name, data.  Directions: `O` a connection was opened, `>` data to the target,
`<` data from the target, `X` the connection was closed.
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

_HEADER = struct.Struct(">QIHcI")
CONNECT_TIMEOUT_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Record:
    """One record.  `channel` is the name that was given when the listener was added."""

    at_ns: int
    connection: int
    channel: str
    direction: str
    data: bytes


class Tap:
    """Forwards connections to their targets and records all of them in one file."""

    def __init__(self, loop: Loop, path: Path) -> None:
        self.loop, self.path = loop, path
        self._file = open(path, "wb")  # noqa: SIM115  closed by close()
        self._listeners: list[Listener] = []
        self.connections: set[_ProxiedConnection] = set()
        self._count = 0

    def add_listener(self, channel: str, target: Address) -> Address:
        """Listen on behalf of `target`; return the address to connect to instead."""
        listener = Listener(self.loop, (own_host(), 0), lambda sock: self._accept(channel, target, sock))
        self._listeners.append(listener)
        return listener.address

    def _accept(self, channel: str, target: Address, sock: socket.socket) -> None:
        self._count += 1
        self.connections.add(_ProxiedConnection(self, self._count, channel, target, sock))

    def write(self, connection: int, channel: str, direction: str, data: bytes = b"") -> None:
        if not self._file.closed:
            name = channel.encode()
            header = _HEADER.pack(self.loop.now_ns(), connection, len(name), direction.encode(), len(data))
            self._file.write(header + name + data)

    def abort_connections(self, channel: str) -> None:
        """Abort every connection of the channels whose name begins with `channel`."""
        for connection in list(self.connections):
            if connection.channel.startswith(channel):
                connection.abort()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for connection in list(self.connections):
            connection.abort()
        self._file.close()


class _ProxiedConnection:
    """One connection through the tap: a stream to the client and one to the target."""

    def __init__(self, tap: Tap, number: int, channel: str, target: Address, sock: socket.socket) -> None:
        self.tap, self.number, self.channel = tap, number, channel
        tap.write(number, channel, "O")
        self.client_stream = Stream(tap.loop, sock, self)
        self.target_stream = connect(tap.loop, target, self, CONNECT_TIMEOUT_NS)
        self._closed = False

    def on_data(self, stream: Stream, data: bytes) -> None:
        from_client = stream is self.client_stream
        self.tap.write(self.number, self.channel, ">" if from_client else "<", data)
        (self.target_stream if from_client else self.client_stream).write(data)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        if not self._closed:
            self._closed = True
            self.tap.write(self.number, self.channel, "X")
            # Data written to the other stream is still sent before it closes.
            (self.target_stream if stream is self.client_stream else self.client_stream).close()
            self.tap.connections.discard(self)

    def abort(self) -> None:
        self.client_stream.abort()


def read(path: Path) -> Iterator[Record]:
    """Yield the records of a file in order; ValueError if it ends inside a record."""
    with open(path, "rb") as file:
        while header := file.read(_HEADER.size):
            if len(header) < _HEADER.size:
                raise ValueError(f"{path}: ends inside a record")
            at, connection, name, direction, size = _HEADER.unpack(header)
            channel, data = file.read(name).decode(), file.read(size)
            if len(data) < size:
                raise ValueError(f"{path}: ends inside a record")
            yield Record(at, connection, channel, direction.decode(), data)
