"""Connections to nodes: each offer and each request uses a connection of its own, closed afterwards.

On a reused connection, a late or repeated reply could be taken for the reply to the next request.  A refusal
names no job, so it would then be taken as proof that a different job never ran.
"""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import MAX_READ_BYTES, Address
from ladderhub.pbs.batch import Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError
from ladderhub.server.offer import Offer, OfferResult
from ladderhub.usage.accounted import connect_counted
from ladderhub.usage.traffic import TrafficCount


class NodeLinks:
    """All connections of one scheduler to its nodes, and the nodes' addresses."""

    def __init__(self, loop: Loop, connect_timeout_ns: int, traffic: TrafficCount) -> None:
        self.loop, self.connect_timeout_ns, self.traffic = loop, connect_timeout_ns, traffic
        self._addresses: dict[str, Address] = {}
        self.connections: set[NodeConnection] = set()

    def set_address(self, node: str, address: Address) -> None:
        """Set the address at which the node is reached."""
        self._addresses[node] = address

    def send_offer(
        self, node: str, request: Request, script: bytes, timeout_ns: int, done: Callable[[OfferResult], None]
    ) -> OfferCall:
        """Offer a job; `done` is called exactly once."""
        return OfferCall(self, node, Offer(request, script), timeout_ns, done)

    def send_request(
        self, node: str, request: Request, timeout_ns: int, done: Callable[[Reply | None], None]
    ) -> None:
        """Send one request; `done` is called exactly once, with None if no reply came."""
        RequestCall(self, node, request, timeout_ns, done)

    def open_connection(self, node: str, call: OfferCall | RequestCall) -> NodeConnection | None:
        """Open a connection for one call; return None if the node's address is unknown."""
        if node not in self._addresses:
            self.loop.call_soon(call.on_broken, "its address is not known")
            return None
        connection = NodeConnection(self, call, self._addresses[node])
        self.connections.add(connection)
        return connection

    def close(self) -> None:
        for connection in list(self.connections):
            connection.stream.abort()


class NodeConnection:
    """A connection that serves one call.  Replies that arrive after `detach` are not read."""

    def __init__(self, links: NodeLinks, call: OfferCall | RequestCall, address: Address) -> None:
        self._links, self._call = links, call
        self._parser = ReplyParser()
        self._is_detached = False
        self._traffic = links.traffic
        self.stream = connect_counted(
            links.loop, address, self, links.connect_timeout_ns, lambda _: call.on_connected(), self._traffic
        )

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while not self._is_detached and (reply := self._parser.next()) is not None:
                self._traffic.messages_in += 1
                self._call.on_reply(reply)
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._links.connections.discard(self)
        if not self._is_detached:
            self._is_detached = True
            self._call.on_broken(_describe_fault(fault))

    def send(self, *messages: bytes) -> None:
        """Send the messages in one write."""
        self._traffic.messages_out += len(messages)
        self.stream.write(b"".join(messages))

    def read_pending(self) -> None:
        """Read data that has arrived: a reply may be unread if this process was suspended or is behind."""
        self.stream.read_now(MAX_READ_BYTES)

    def detach(self) -> None:
        """Close the connection without a further call of the call's methods."""
        self._is_detached = True
        self.stream.abort()


def _describe_fault(fault: BaseException | None) -> str:
    if fault is None:
        return "the node closed the connection"
    if isinstance(fault, TimeoutError):
        return "no connection in time"
    return getattr(fault, "strerror", None) or str(fault) or type(fault).__name__


class OfferCall:
    """An offer in progress: connects an `Offer` with its connection and its time limit."""

    def __init__(
        self, links: NodeLinks, node: str, offer: Offer, timeout_ns: int, done: Callable[[OfferResult], None]
    ) -> None:
        self.offer, self._done = offer, done
        self._timer: Timer = links.loop.call_later(max(0, timeout_ns), self.on_timeout)
        self._connection = links.open_connection(node, self)

    def on_connected(self) -> None:
        assert self._connection is not None
        self._connection.send(self.offer.on_connected())

    def on_reply(self, reply: Reply) -> None:
        step = self.offer.on_reply(reply)
        if isinstance(step, tuple) and self._connection is not None:
            self._connection.send(*step)
        elif isinstance(step, OfferResult):
            self._finish(step)

    def on_broken(self, text: str) -> None:
        self._finish(self.offer.on_failure(text))

    def on_timeout(self) -> None:
        if self._connection is not None:
            self._connection.read_pending()
        self._finish(self.offer.on_failure("no answer in time", timed_out=True))

    def cancel(self) -> None:
        self._finish(self.offer.on_failure("called off", cancelled=True))

    def cancel_silently(self) -> None:
        """Cancel the offer without a call of `done`: its outcome is already known."""
        self._done = _ignore_result
        self.cancel()

    def _finish(self, result: OfferResult | None) -> None:
        self._timer.cancel()
        if self._connection is not None:
            self._connection.detach()
        if result is not None:
            self._done(result)


class RequestCall:
    """A request in progress, up to its reply or its time limit."""

    def __init__(
        self,
        links: NodeLinks,
        node: str,
        request: Request,
        timeout_ns: int,
        done: Callable[[Reply | None], None],
    ) -> None:
        self._request = request
        self._done: Callable[[Reply | None], None] | None = done
        self._timer: Timer = links.loop.call_later(timeout_ns, self.on_timeout)
        self._connection = links.open_connection(node, self)

    def on_connected(self) -> None:
        assert self._connection is not None
        self._connection.send(encode_request(self._request))

    def on_reply(self, reply: Reply) -> None:
        self._finish(reply)

    def on_broken(self, text: str) -> None:
        self._finish(None)

    def on_timeout(self) -> None:
        if self._connection is not None:
            self._connection.read_pending()
        self._finish(None)

    def _finish(self, reply: Reply | None) -> None:
        self._timer.cancel()
        if self._connection is not None:
            self._connection.detach()
        done, self._done = self._done, None
        if done is not None:
            done(reply)


def _ignore_result(result: OfferResult) -> None:
    return
