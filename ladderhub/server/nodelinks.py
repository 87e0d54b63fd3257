"""Connections to nodes: offers and single requests, over connections that are kept for the next one."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Loop, Stream, Timer
from ladderhub.loop.stream import Address, connect
from ladderhub.pbs.batch import Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError
from ladderhub.server.offer import OPENING, QUEUEING, Offer, Result

IDLE_MOST = 8


class NodeLinks:
    """All connections of one scheduler to its nodes."""

    def __init__(self, loop: Loop, connect_ns: int) -> None:
        self.loop, self.connect_ns = loop, connect_ns
        self._addresses: dict[str, Address] = {}
        self._idle: dict[str, list[_Wire]] = {}
        self._all: set[_Wire] = set()

    def place(self, node: str, address: Address) -> None:
        """The node is to be found there."""
        if self._addresses.get(node) != address:
            self._addresses[node] = address
            for wire in self._idle.pop(node, []):
                wire.stream.abort()

    def offer(
        self, node: str, request: Request, script: bytes, timeout_ns: int, done: Callable[[Result], None]
    ) -> OfferCall:
        """Offer a job; `done` is called exactly once."""
        call = OfferCall(self, node, Offer(request, script), done)
        call.timer = self.loop.call_later(max(0, timeout_ns), call.time_over)
        call.begin()
        return call

    def ask(self, node: str, request: Request, timeout_ns: int, done: Callable[[Reply | None], None]) -> None:
        """Send one request; `done` is called exactly once, with None where no answer came."""
        Query(self, node, request, timeout_ns, done)

    def take(self, node: str, user: OfferCall | Query, fresh: bool = False) -> _Wire | None:
        """A connection for one use; None where nobody knows the node's address."""
        idle = self._idle.get(node, [])
        while idle and not fresh:
            wire = idle.pop()
            if not wire.stream.closed:
                wire.user = user
                return wire
        if node not in self._addresses:
            return None
        wire = _Wire(self, node, user, self._addresses[node])
        self._all.add(wire)
        return wire

    def give_back(self, wire: _Wire) -> None:
        wire.user, wire.used = None, True
        idle = self._idle.setdefault(wire.node, [])
        if len(idle) < IDLE_MOST and not wire.stream.closed:
            idle.append(wire)
        else:
            wire.stream.abort()

    def dropped(self, wire: _Wire) -> None:
        self._all.discard(wire)
        idle = self._idle.get(wire.node, [])
        if wire in idle:
            idle.remove(wire)

    def close(self) -> None:
        for wire in list(self._all):
            wire.stream.abort()


class _Wire:
    """One connection, lent to one user at a time."""

    def __init__(self, links: NodeLinks, node: str, user: OfferCall | Query, address: Address) -> None:
        self.links, self.node, self.user, self.used = links, node, user, False
        self._parser = ReplyParser()
        self.user = user
        self.stream = connect(links.loop, address, self, links.connect_ns, self._connected)

    user: OfferCall | Query | None

    def _connected(self, _: Stream) -> None:
        if self.user is not None:
            self.user.connected()

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while (reply := self._parser.next()) is not None:
                if self.user is None:
                    # A node that answers twice, or what nobody asked: nothing further from it can be trusted.
                    raise DisError("an answer that nothing was asked for")
                self.user.reply(reply)
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.links.dropped(self)
        user, self.user = self.user, None
        if user is not None:
            user.broke(_words(fault))


def _words(fault: BaseException | None) -> str:
    if fault is None:
        return "the node closed the connection"
    if isinstance(fault, TimeoutError):
        return "no connection in time"
    return getattr(fault, "strerror", None) or str(fault) or type(fault).__name__


class OfferCall:
    """An offer on its way."""

    def __init__(self, links: NodeLinks, node: str, steps: Offer, done: Callable[[Result], None]) -> None:
        self._links, self._node, self.steps, self._done = links, node, steps, done
        self._wire: _Wire | None = None
        self.timer: Timer | None = None

    def begin(self, fresh: bool = False) -> None:
        self._wire = self._links.take(self._node, self, fresh)
        if self._wire is None:
            self._links.loop.call_soon(self.broke, "its address is not known")
        elif self._wire.stream.connected:
            self.connected()

    def connected(self) -> None:
        assert self._wire is not None
        self._wire.stream.write(self.steps.connected())

    def reply(self, reply: Reply) -> None:
        step = self.steps.reply(reply)
        wire = self._wire
        if isinstance(step, bytes) and wire is not None:
            wire.stream.write(step)
        elif isinstance(step, Result):
            self._wire = None
            if wire is not None:
                self._links.give_back(wire)
            self._end(step)

    def broke(self, text: str) -> None:
        wire, self._wire = self._wire, None
        if wire is not None and wire.used and self.steps.state in (OPENING, QUEUEING):
            # A kept connection that the node had closed: nothing was committed, so a fresh one may try.
            self.steps.state = OPENING
            self.begin(fresh=True)
            return
        self._end(self.steps.broke(text))

    def time_over(self) -> None:
        self._leave(self.steps.broke("no answer in time", timed_out=True))

    def call_off(self) -> None:
        self._leave(self.steps.broke("called off", called_off=True))

    def drop(self) -> None:
        """What became of the offer is known already: nothing more is told."""
        self._done = _no_result
        self.call_off()

    def _leave(self, result: Result | None) -> None:
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.user = None
            wire.stream.abort()
        self._end(result)

    def _end(self, result: Result | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if result is not None:
            self._done(result)


class Query:
    """One request and its reply."""

    def __init__(
        self,
        links: NodeLinks,
        node: str,
        request: Request,
        timeout_ns: int,
        done: Callable[[Reply | None], None],
    ) -> None:
        self._links, self._node, self._request, self._done = links, node, request, done
        self._timer = links.loop.call_later(timeout_ns, self._time_over)
        self._wire: _Wire | None = None
        self._begin(False)

    def _begin(self, fresh: bool) -> None:
        self._wire = self._links.take(self._node, self, fresh)
        if self._wire is None:
            self._links.loop.call_soon(self._end, None)
        elif self._wire.stream.connected:
            self.connected()

    def connected(self) -> None:
        assert self._wire is not None
        self._wire.stream.write(encode_request(self._request))

    def reply(self, reply: Reply) -> None:
        wire, self._wire = self._wire, None
        if wire is not None:
            self._links.give_back(wire)
        self._end(reply)

    def broke(self, text: str) -> None:
        wire, self._wire = self._wire, None
        if wire is not None and wire.used:
            self._begin(fresh=True)
        else:
            self._end(None)

    def _time_over(self) -> None:
        wire, self._wire = self._wire, None
        if wire is not None:
            wire.user = None
            wire.stream.abort()
        self._end(None)

    def _end(self, reply: Reply | None) -> None:
        self._timer.cancel()
        done, self._done = self._done, _nobody
        done(reply)


def _nobody(reply: Reply | None) -> None:
    return


def _no_result(result: Result) -> None:
    return
