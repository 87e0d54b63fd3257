"""A journal service for soaks: it keeps its events, serves `tail N`, and can break off or fall silent."""

from __future__ import annotations

import json
from typing import Any

from ladderhub.lab.ports import own_host
from ladderhub.loop import Listener, Loop, Stream, Timer
from tests.platform.bed import S, event

MAX_EVENT_DELAY_NS = 4 * S  # an event counts as told so long after a break of the service at the latest
MAX_OUTAGE_NS = 3 * S  # so no break lasts longer, and what it held back is told by then


class SoakJournal:
    """Events are kept from the second on; the first is in the scheduler's configuration."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.events: list[bytes] = []
        self.broken_since_ns: int | None = None
        self.up_since_ns = loop.now_ns()
        self._recovery_timer: Timer | None = None
        self._subscribers: list[Stream] = []
        self._requests: dict[Stream, bytes] = {}
        self.listeners = [Listener(loop, (own_host(), 0), self._accept) for _ in range(2)]
        self.addresses = [":".join(map(str, listener.address)) for listener in self.listeners]
        loop.call_later(S, self._on_second)

    def _accept(self, sock: Any) -> None:
        self._requests[Stream(self.loop, sock, self)] = b""

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._requests[stream] += data
        if self.broken_since_ns is None and self._requests[stream].endswith(b"\n"):
            self._serve(stream)

    def _serve(self, stream: Stream) -> None:
        last = int(self._requests[stream].split()[-1])
        self._subscribers.append(stream)
        for line in self.events[max(0, last - 1) :]:
            stream.write(line)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._requests.pop(stream, None)
        if stream in self._subscribers:
            self._subscribers.remove(stream)

    def _on_second(self) -> None:
        self.loop.call_later(S, self._on_second)
        self._write(b"%d\n" % (len(self.events) + 1))

    def _write(self, line: bytes) -> None:
        if self.broken_since_ns is None:
            for stream in list(self._subscribers):
                stream.write(line)

    def add_event(self, row: dict[str, Any]) -> int:
        """Add an event; the time by which it counts as told."""
        self.events.append(json.dumps(event(len(self.events) + 2, row)).encode() + b"\n")
        self._write(self.events[-1])
        now = self.loop.now_ns()
        return now if self.broken_since_ns is None else max(now, self.broken_since_ns + MAX_EVENT_DELAY_NS)

    def fail(self, resets: bool) -> None:
        """Fall silent; with `resets`, break off the connections too."""
        self.broken_since_ns = self.loop.now_ns()
        self._recovery_timer = self.loop.call_later(MAX_OUTAGE_NS, self.recover)
        for stream in list(self._requests) if resets else []:
            stream.abort()

    def recover(self) -> None:
        """Serve again: whoever is connected gets what it missed."""
        if self._recovery_timer is not None:
            self._recovery_timer.cancel()
        self.broken_since_ns, self.up_since_ns = None, self.loop.now_ns()
        for stream, asked in list(self._requests.items()):
            if stream in self._subscribers:
                stream.abort()  # what it was told is not known any more: it asks again
            elif asked.endswith(b"\n"):
                self._serve(stream)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        for stream in list(self._requests):
            stream.abort()
