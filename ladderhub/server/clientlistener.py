"""Batch connections of users and nodes, and the table of request handlers.

Components register handlers in `ClientListener.handlers`.  Bytes that are not of the protocol get one error
reply, then the connection is closed.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Iterator

from ladderhub.loop import Listener, Stream
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import Exchange, ServerConnection
from ladderhub.server.context import DaemonContext
from ladderhub.usage.accounted import CountedStream
from ladderhub.usage.processor import Cause
from ladderhub.usage.traffic import CLIENT, NODE, TrafficCount

ReplyCallback = Callable[[Reply | Iterator[bytes]], None]
RequestHandler = Callable[[ServerConnection, Request, ReplyCallback], None]  # calls back exactly once
MAX_PENDING_REQUESTS = 1000
MAX_QUEUED_REPLIES = 50  # replies not yet written, above which no further request is read


class ClientListener:
    """Accepts client connections and passes their requests to the registered handlers."""

    def __init__(self, context: DaemonContext) -> None:
        self.context = context
        self.clients: set[_ClientConnection] = set()
        self.handlers: dict[int, RequestHandler] = {n.CONNECT: _answer_connect}
        self.listener: Listener | None = None
        context.metrics.add_gauge("connections", "Clients connected", lambda: len(self.clients))

    def register(self, handlers: dict[int, RequestHandler]) -> None:
        """Register handlers by request type; ValueError if a type has one already."""
        for kind in handlers:
            if kind in self.handlers:
                raise ValueError(f"{n.REQUESTS[kind]} is served already")
        self.handlers |= handlers

    # --- component of the daemon ----------------------------------------------------------------------------

    def start(self) -> None:
        with self.context.processor.section(Cause.JOBS):
            self.listener = Listener(self.context.loop, self.context.settings.listen, self.accept)
        self.context.advertise = self.context.settings.file.advertise or "{}:{}".format(
            *self.listener.address
        )

    def stop(self, now: bool) -> None:
        return

    def count_unsettled(self) -> int:
        return 0

    def close_clients(self) -> None:
        """Close each client connection once its replies are written."""
        for client in list(self.clients):
            client.stream.close()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def accept(self, sock: socket.socket) -> None:
        """Serve a new connection, or close it at `most_connections`."""
        if len(self.clients) >= self.context.settings.file.most_connections:
            self.context.metrics.rejected += 1
            sock.close()
            return
        self.clients.add(_ClientConnection(self, sock))


def _answer_connect(connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
    answer(Reply())


class _ClientConnection:
    """One connection of a client."""

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        self._listener = listener
        self.connection = ServerConnection()
        self._queued_replies: deque[bytes | Iterator[bytes]] = deque()
        self._write_scheduled = self._close_when_written = False
        # Nodes report over the same listener; the first request tells clients and nodes apart.
        self._count: TrafficCount | None = None
        self.stream = CountedStream(listener.context.loop, sock, self, listener.context.traffic.of(CLIENT))
        self.stream.on_drained = self._write_replies

    def on_data(self, stream: Stream, data: bytes) -> None:
        exchanges = self.connection.receive(data)
        self._count_requests(exchanges)
        for exchange in exchanges:
            self._handle(exchange)
        if self.connection.protocol_error is not None:
            self._listener.context.metrics.rejected += 1
            self._queue_replies(self.connection.take_ready())
        elif self.connection.count_unanswered() > MAX_PENDING_REQUESTS:
            stream.abort(BufferError("too many requests without an answer"))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._listener.clients.discard(self)

    def _count_requests(self, exchanges: list[Exchange]) -> None:
        if self._count is None and exchanges:
            of_node = exchanges[0].request.user.startswith(n.NODE_USER_PREFIX)
            self._count = self.stream.count = self._listener.context.traffic.of(NODE if of_node else CLIENT)
        self.stream.count.messages_in += len(exchanges)

    def _handle(self, exchange: Exchange) -> None:
        request, connection = exchange.request, self.connection
        if request.type == n.DISCONNECT:
            self._queue_replies(connection.disconnect(exchange))
            return
        handler = self._listener.handlers.get(request.type)
        if handler is None or not connection.is_allowed(request):
            name = n.REQUESTS.get(request.type, str(request.type))
            code = n.UNKNOWN_REQUEST if handler is None else n.PROTOCOL_ERROR
            self._answer(exchange, refusal(code, f"{name} has no place here"))
            return
        handler(connection, request, lambda reply: self._answer(exchange, reply))

    def _answer(self, exchange: Exchange, reply: Reply | Iterator[bytes]) -> None:
        if not isinstance(reply, Reply) or reply.code == 0:
            self.connection.record_success(exchange.request)
        else:
            self._listener.context.metrics.rejected += 1
        self._queue_replies(self.connection.answer(exchange, reply))

    def _queue_replies(self, ready: list[Exchange]) -> None:
        """Queue the replies of these exchanges and write what the stream takes."""
        if self.stream.closed:
            return
        for exchange in ready:
            if exchange.reply:
                self.stream.count.messages_out += 1
                self._queued_replies.append(exchange.reply)
            self._close_when_written = self._close_when_written or exchange.last
        self._write_replies()

    def _write_replies(self) -> None:
        """Write replies in order.  A long reply is written in pieces, so that the loop serves others between
        two pieces and a slow reader is waited for."""
        self.stream.pause(self._close_when_written or len(self._queued_replies) > MAX_QUEUED_REPLIES)
        while self._queued_replies and not self.stream.closed and not self.stream.is_backed_up():
            reply = self._queued_replies[0]
            if isinstance(reply, bytes):
                self.stream.write(reply)
                self._queued_replies.popleft()
                continue
            piece = next(reply, None)
            if piece is None:
                self._queued_replies.popleft()
                continue
            self.stream.write(piece)
            if not self._write_scheduled:
                self._write_scheduled = True
                self._listener.context.loop.call_soon(self._continue_writing)
            return
        if self._close_when_written and not self._queued_replies:
            self.stream.close()

    def _continue_writing(self) -> None:
        self._write_scheduled = False
        self._write_replies()
