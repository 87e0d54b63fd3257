"""Connections to nodes: one for each offer and each question, closed after it.

A kept connection could carry a late or repeated answer over to the next question, and a refusal names no job:
it would be taken for proof that something else never ran.
"""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import READ_MOST, Address
from ladderhub.pbs.batch import Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError
from ladderhub.server.offer import Offer, Result
from ladderhub.usage.accounted import connect_counted
from ladderhub.usage.traffic import TrafficCount


class NodeLinks:
    """All connections of one scheduler to its nodes."""

    def __init__(self, loop: Loop, connect_timeout_ns: int, count: TrafficCount) -> None:
        self.loop, self.connect_timeout_ns, self.count = loop, connect_timeout_ns, count
        self._addresses: dict[str, Address] = {}
        self.connections: set[Wire] = set()

    def place(self, node: str, address: Address) -> None:
        """The node is to be found there."""
        self._addresses[node] = address

    def offer(
        self, node: str, request: Request, script: bytes, timeout_ns: int, done: Callable[[Result], None]
    ) -> OfferCall:
        """Offer a job; `done` is called exactly once."""
        return OfferCall(self, node, Offer(request, script), timeout_ns, done)

    def ask(self, node: str, request: Request, timeout_ns: int, done: Callable[[Reply | None], None]) -> None:
        """Send one request; `done` is called exactly once, with None where no answer came."""
        Question(self, node, request, timeout_ns, done)

    def take(self, node: str, user: OfferCall | Question) -> Wire | None:
        """A connection for one use; None where nobody knows the node's address."""
        if node not in self._addresses:
            self.loop.call_soon(user.broke, "its address is not known")
            return None
        wire = Wire(self, user, self._addresses[node])
        self.connections.add(wire)
        return wire

    def close(self) -> None:
        for wire in list(self.connections):
            wire.stream.abort()


class Wire:
    """One connection for one use.  What comes after its user has left is not read."""

    def __init__(self, links: NodeLinks, user: OfferCall | Question, address: Address) -> None:
        self._links, self._user = links, user
        self._parser = ReplyParser()
        self._left = False
        self._count = links.count
        self.stream = connect_counted(
            links.loop, address, self, links.connect_timeout_ns, lambda _: user.connected(), self._count
        )

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while not self._left and (reply := self._parser.next()) is not None:
                self._count.messages_in += 1
                self._user.reply(reply)
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._links.connections.discard(self)
        if not self._left:
            self._left = True
            self._user.broke(_words(fault))

    def send(self, *messages: bytes) -> None:
        """These leave together."""
        self._count.messages_out += len(messages)
        self.stream.write(b"".join(messages))

    def look(self) -> None:
        """Take what has come: a reply may lie there unread, since this process stood still or is behind."""
        self.stream.read_now(READ_MOST)

    def leave(self) -> None:
        self._left = True
        self.stream.abort()


def _words(fault: BaseException | None) -> str:
    if fault is None:
        return "the node closed the connection"
    if isinstance(fault, TimeoutError):
        return "no connection in time"
    return getattr(fault, "strerror", None) or str(fault) or type(fault).__name__


class OfferCall:
    """An offer on its way."""

    def __init__(
        self, links: NodeLinks, node: str, steps: Offer, timeout_ns: int, done: Callable[[Result], None]
    ) -> None:
        self.steps, self._done = steps, done
        self._timer: Timer = links.loop.call_later(max(0, timeout_ns), self.time_over)
        self._wire = links.take(node, self)

    def connected(self) -> None:
        assert self._wire is not None
        self._wire.send(self.steps.connected())

    def reply(self, reply: Reply) -> None:
        step = self.steps.reply(reply)
        if isinstance(step, tuple) and self._wire is not None:
            self._wire.send(*step)
        elif isinstance(step, Result):
            self._end(step)

    def broke(self, text: str) -> None:
        self._end(self.steps.broke(text))

    def time_over(self) -> None:
        if self._wire is not None:
            self._wire.look()
        self._end(self.steps.broke("no answer in time", timed_out=True))

    def call_off(self) -> None:
        self._end(self.steps.broke("called off", called_off=True))

    def drop(self) -> None:
        """What became of the offer is known already: nothing more is told."""
        self._done = _no_result
        self.call_off()

    def _end(self, result: Result | None) -> None:
        self._timer.cancel()
        if self._wire is not None:
            self._wire.leave()
        if result is not None:
            self._done(result)


class Question:
    """One request and its reply."""

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
        self._timer: Timer = links.loop.call_later(timeout_ns, self.time_over)
        self._wire = links.take(node, self)

    def connected(self) -> None:
        assert self._wire is not None
        self._wire.send(encode_request(self._request))

    def reply(self, reply: Reply) -> None:
        self._end(reply)

    def broke(self, text: str) -> None:
        self._end(None)

    def time_over(self) -> None:
        if self._wire is not None:
            self._wire.look()
        self._end(None)

    def _end(self, reply: Reply | None) -> None:
        self._timer.cancel()
        if self._wire is not None:
            self._wire.leave()
        done, self._done = self._done, None
        if done is not None:
            done(reply)


def _no_result(result: Result) -> None:
    return
