"""Unsolicited messages of a node to one scheduler: updates and obituaries of jobs."""

from __future__ import annotations

from ladderhub.loop import Loop, Stream, parse_address
from ladderhub.pbs.batch import ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError
from ladderhub.usage.accounted import connect_counted
from ladderhub.usage.traffic import TrafficCount

MS, S = 1_000_000, 1_000_000_000
CONNECT_TIMEOUT_NS = 1 * S
FIRST_RETRY_NS = 200 * MS
MAX_RETRY_NS = 5 * S


class Outbox:
    """Sends requests to one scheduler in order, and repeats each until it is acknowledged."""

    def __init__(self, loop: Loop, address: str, traffic: TrafficCount | None = None) -> None:
        self._traffic = traffic or TrafficCount()
        self._loop, self._address = loop, parse_address(address)
        self._queue: list[Request] = []  # not acknowledged yet
        self._sent_count = 0  # how many of them were sent on this connection
        self._stream: Stream | None = None
        self._parser = ReplyParser()
        self._retry_ns = FIRST_RETRY_NS
        self._closed = False

    def send(self, request: Request) -> None:
        """Queue a request and send it as soon as there is a connection."""
        self._queue.append(request)
        if self._stream is None:
            self._connect()
        elif self._stream.connected:
            self._send_queued()

    def count_unacknowledged(self) -> int:
        """Return the number of requests that are not acknowledged yet."""
        return len(self._queue)

    def _connect(self) -> None:
        if self._closed or self._stream is not None or not self._queue:
            return
        self._parser, self._sent_count = ReplyParser(), 0
        self._stream = connect_counted(
            self._loop, self._address, self, CONNECT_TIMEOUT_NS, lambda _: self._send_queued(), self._traffic
        )

    def _send_queued(self) -> None:
        while self._sent_count < len(self._queue) and self._stream is not None:
            self._stream.write(encode_request(self._queue[self._sent_count]))
            self._traffic.messages_out += 1
            self._sent_count += 1

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._parser.next() is not None:
                self._traffic.messages_in += 1
                self._acknowledge()
        except DisError as fault:
            stream.abort(fault)

    def _acknowledge(self) -> None:
        """Remove the oldest request, also on an error reply: that scheduler does not know the run."""
        if not self._sent_count:
            raise DisError("reply without an outstanding request")
        del self._queue[0]
        self._sent_count -= 1
        self._retry_ns = FIRST_RETRY_NS

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream = None
        if not self._closed and self._queue:
            self._loop.call_later(self._retry_ns, self._connect)
            self._retry_ns = min(MAX_RETRY_NS, 2 * self._retry_ns)

    def close(self) -> None:
        """Close the connection and stop sending."""
        self._closed = True
        if self._stream is not None:
            self._stream.abort()
