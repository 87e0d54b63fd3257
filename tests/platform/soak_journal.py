"""A journal service for soaks: it stores its events, serves `tail N`, and can disconnect or fall silent."""

from __future__ import annotations

import json
from typing import Any

from ladderhub.lab.ports import own_host
from ladderhub.loop import Listener, Loop, Stream, Timer
from tests.platform.bed import S, event

MAX_EVENT_DELAY_NS = 4 * S  # after an outage an event counts as announced after this at the latest
MAX_OUTAGE_NS = 3 * S  # so that delayed events are sent by then


class SoakJournal:
    """Stores events from the second on; the first is in the scheduler's configuration."""

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
        """Add an event; return the time from which on it counts as announced."""
        self.events.append(json.dumps(event(len(self.events) + 2, row)).encode() + b"\n")
        self._write(self.events[-1])
        now = self.loop.now_ns()
        return now if self.broken_since_ns is None else max(now, self.broken_since_ns + MAX_EVENT_DELAY_NS)

    def fail(self, resets: bool) -> None:
        """Fall silent; with `resets`, also abort the connections."""
        self.broken_since_ns = self.loop.now_ns()
        self._recovery_timer = self.loop.call_later(MAX_OUTAGE_NS, self.recover)
        for stream in list(self._requests) if resets else []:
            stream.abort()

    def recover(self) -> None:
        """Serve again: connected followers get the events that they missed."""
        if self._recovery_timer is not None:
            self._recovery_timer.cancel()
        self.broken_since_ns, self.up_since_ns = None, self.loop.now_ns()
        for stream, request in list(self._requests.items()):
            if stream in self._subscribers:
                stream.abort()  # what it received is unknown: it must ask again
            elif request.endswith(b"\n"):
                self._serve(stream)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        for stream in list(self._requests):
            stream.abort()
