"""The clients' door: batch connections of people and nodes, and which room serves which request.

`ClientListener.handlers` holds the requests that are served; rooms join it.  Bytes that are no protocol get
one error reply and a closed connection.
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
RequestHandler = Callable[
    [ServerConnection, Request, ReplyCallback], None
]  # calls the answer exactly once, now or later
PENDING_MOST = 1000
OUT_MOST = 50  # replies that wait to leave, above which no further request is read


class ClientListener:
    """The part of the daemon that holds all client connections."""

    def __init__(self, context: DaemonContext) -> None:
        self.context = context
        self.clients: set[_Client] = set()
        self.handlers: dict[int, RequestHandler] = {n.CONNECT: _connect}
        self.listener: Listener | None = None
        context.metrics.add_gauge("connections", "Clients connected", lambda: len(self.clients))

    def register(self, handlers: dict[int, RequestHandler]) -> None:
        """A room serves these requests; ValueError where another one does already."""
        for kind in handlers:
            if kind in self.handlers:
                raise ValueError(f"{n.REQUESTS[kind]} is served already")
        self.handlers |= handlers

    # --- as a part ------------------------------------------------------------------------------------------

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

    def leave(self) -> None:
        """Every client is let go once it has its replies."""
        for client in list(self.clients):
            client.stream.close()

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    def accept(self, sock: socket.socket) -> None:
        if len(self.clients) >= self.context.settings.file.most_connections:
            self.context.metrics.rejected += 1
            sock.close()
            return
        self.clients.add(_Client(self, sock))


def _connect(connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
    answer(Reply())


class _Client:
    """One connection."""

    def __init__(self, door: ClientListener, sock: socket.socket) -> None:
        self._door = door
        self.connection = ServerConnection()
        self._out: deque[bytes | Iterator[bytes]] = deque()
        self._pumping = self._last = False
        # Nodes report over the same door: the first request tells which of the two this connection is.
        self._count: TrafficCount | None = None
        self.stream = CountedStream(door.context.loop, sock, self, door.context.traffic.of(CLIENT))
        self.stream.on_drained = self._pump

    def on_data(self, stream: Stream, data: bytes) -> None:
        exchanges = self.connection.receive(data)
        self._count_requests(exchanges)
        for exchange in exchanges:
            self._serve(exchange)
        if self.connection.protocol_error is not None:
            self._door.context.metrics.rejected += 1
            self._leave(self.connection.take_ready())
        elif self.connection.count_unanswered() > PENDING_MOST:
            stream.abort(BufferError("too many requests without an answer"))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._door.clients.discard(self)

    def _count_requests(self, exchanges: list[Exchange]) -> None:
        if self._count is None and exchanges:
            of_node = exchanges[0].request.user.startswith(n.NODE_USER_PREFIX)
            self._count = self.stream.count = self._door.context.traffic.of(NODE if of_node else CLIENT)
        self.stream.count.messages_in += len(exchanges)

    def _serve(self, exchange: Exchange) -> None:
        request, connection = exchange.request, self.connection
        if request.type == n.DISCONNECT:
            self._leave(connection.disconnect(exchange))
            return
        serve = self._door.handlers.get(request.type)
        if serve is None or not connection.is_allowed(request):
            words = n.REQUESTS.get(request.type, str(request.type))
            code = n.UNKNOWN_REQUEST if serve is None else n.PROTOCOL_ERROR
            self._answer(exchange, refusal(code, f"{words} has no place here"))
            return
        serve(connection, request, lambda reply: self._answer(exchange, reply))

    def _answer(self, exchange: Exchange, reply: Reply | Iterator[bytes]) -> None:
        if not isinstance(reply, Reply) or reply.code == 0:
            self.connection.record_success(exchange.request)
        else:
            self._door.context.metrics.rejected += 1
        self._leave(self.connection.answer(exchange, reply))

    def _leave(self, ready: list[Exchange]) -> None:
        """These replies may leave now."""
        if self.stream.closed:
            return
        for exchange in ready:
            if exchange.reply:
                self.stream.count.messages_out += 1
                self._out.append(exchange.reply)
            self._last = self._last or exchange.last
        self._pump()

    def _pump(self) -> None:
        """Write replies in order.  A long one goes piece by piece: others have their turn between two pieces,
        and a client that reads slowly is waited for."""
        self.stream.pause(self._last or len(self._out) > OUT_MOST)
        while self._out and not self.stream.closed and not self.stream.backed_up():
            reply = self._out[0]
            if isinstance(reply, bytes):
                self.stream.write(reply)
                self._out.popleft()
                continue
            piece = next(reply, None)
            if piece is None:
                self._out.popleft()
                continue
            self.stream.write(piece)
            if not self._pumping:
                self._pumping = True
                self._door.context.loop.call_soon(self._pump_on)
            return
        if self._last and not self._out:
            self.stream.close()

    def _pump_on(self) -> None:
        self._pumping = False
        self._pump()
