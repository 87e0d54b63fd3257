"""A node's connection to the directory: registers the node and reports its free resources at intervals."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.directory.wire import Entry, Register, Room, State, encode
from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import Address
from ladderhub.usage.accounted import connect_counted
from ladderhub.usage.traffic import TrafficCount

MS, S = 1_000_000, 1_000_000_000
CONNECT_TIMEOUT_NS = 1 * S
RECONNECT_NS = 200 * MS
ROOM_INTERVAL_NS = 500 * MS


class DirectoryLink:
    """Keeps the node registered and reconnects after a connection is lost.

    `get_entry` returns the node's current row, `get_free` its free cores and memory."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        get_entry: Callable[[], Entry],
        get_free: Callable[[], tuple[float, float]],
        traffic: TrafficCount,
    ) -> None:
        self._traffic = traffic
        self._loop, self._address, self._get_entry, self._get_free = loop, address, get_entry, get_free
        self._stream: Stream | None = None
        self._room_timer: Timer | None = None
        self._last_sent: Room | None = None
        self._closed = False
        self._connect()

    def _connect(self) -> None:
        if not self._closed:
            self._stream = connect_counted(
                self._loop, self._address, self, CONNECT_TIMEOUT_NS, self._on_connected, self._traffic
            )

    def _on_connected(self, stream: Stream) -> None:
        self._traffic.messages_out += 1
        stream.write(encode(Register(self._get_entry())))
        self._send_room()

    def _send_room(self) -> None:
        room = Room(*self._get_free())
        if room != self._last_sent:
            self._last_sent = room
            self.send(room)
        self._room_timer = self._loop.call_later(ROOM_INTERVAL_NS, self._send_room)

    def send(self, message: Room | State) -> None:
        """Send a message if there is a connection; the next registration brings a lost one up to date."""
        if self._stream is not None and self._stream.connected:
            self._traffic.messages_out += 1
            self._stream.write(encode(message))

    def on_data(self, stream: Stream, data: bytes) -> None:
        return  # the directory sends nothing to nodes

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream, self._last_sent = None, None
        if self._room_timer is not None:
            self._room_timer.cancel()
        if not self._closed:
            self._loop.call_later(RECONNECT_NS, self._connect)

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._closed = True
        if self._room_timer is not None:
            self._room_timer.cancel()
        if self._stream is not None:
            self._stream.abort()
