"""What a client may ask on one connection, in what order: one table, no I/O (as h11 does for HTTP).

A job is submitted over one connection as Queue Job, any number of Job Script, optionally Ready to Commit, and
Commit.  `TRANSITIONS` holds every step.  A submission that is not committed is gone with its connection.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, RequestParser, encode_reply
from ladderhub.pbs.dis import DisError

IDLE, QUEUED, SCRIPTED, READY, COMMITTED, CLOSED = (
    "idle",
    "queued",
    "scripted",
    "ready",
    "committed",
    "closed",
)

# (state of the connection's submission, request) -> state after the request was granted
TRANSITIONS = {
    (IDLE, n.QUEUE_JOB): QUEUED,
    (COMMITTED, n.QUEUE_JOB): QUEUED,
    (QUEUED, n.JOB_SCRIPT): SCRIPTED,
    (SCRIPTED, n.JOB_SCRIPT): SCRIPTED,
    (QUEUED, n.READY_TO_COMMIT): READY,
    (SCRIPTED, n.READY_TO_COMMIT): READY,
    (QUEUED, n.COMMIT): COMMITTED,
    (SCRIPTED, n.COMMIT): COMMITTED,
    (READY, n.COMMIT): COMMITTED,
    (COMMITTED, n.COMMIT): COMMITTED,  # repeated: a client that missed the reply; it means the same job
    (IDLE, n.COMMIT): IDLE,  # the same over a new connection: told by the job's identifier
}
SUBMITTING = frozenset((n.QUEUE_JOB, n.JOB_SCRIPT, n.READY_TO_COMMIT, n.COMMIT))


class Draft:
    """A job that is being submitted."""

    __slots__ = ("job", "request", "script")

    def __init__(self, job: str, request: Request) -> None:
        self.job, self.request, self.script = job, request, bytearray()


class Exchange:
    """One request and, later, its reply.  After the reply of a `last` one the connection is closed."""

    __slots__ = ("last", "reply", "request")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.reply: bytes | Iterator[bytes] | None = None
        self.last = False


class ServerConnection:
    """The serving end: `receive` gives requests, `answer` the exchanges whose replies may leave now, in order
    of asking.

    Every request gets its answer, whatever comes behind it: Disconnect, and the error reply to bytes that are
    no protocol (`trouble` says why), are exchanges in the same line, `last` ones."""

    def __init__(self) -> None:
        self._parser = RequestParser()
        self._open: deque[Exchange] = deque()
        self.state = IDLE
        self.draft: Draft | None = None
        self.trouble: str | None = None

    def receive(self, data: bytes) -> list[Exchange]:
        if self.trouble is not None or self.state == CLOSED:
            return []
        self._parser.feed(data)
        fresh = []
        try:
            while (request := self._parser.next()) is not None:
                fresh.append(Exchange(request))
        except DisError as fault:
            self.trouble = str(fault)
        self._open.extend(fresh)
        if self.trouble is not None:
            farewell = Exchange(Request(n.DISCONNECT))
            farewell.reply = encode_reply(
                Reply(n.PROTOCOL_ERROR, n.R_TEXT, text=f"Protocol error: {self.trouble}")
            )
            farewell.last = True
            self._open.append(farewell)
        return fresh

    def waiting(self) -> int:
        """Requests without an answer."""
        return len(self._open)

    def may(self, request: Request) -> bool:
        """Whether the request has its place now; all but a submission's steps always have."""
        if request.type not in SUBMITTING:
            return True
        if (self.state, request.type) not in TRANSITIONS:
            return False
        others = self.draft is not None and request.type != n.QUEUE_JOB and request.job != self.draft.job
        return not (others and self.state != COMMITTED)

    def granted(self, request: Request) -> None:
        """The request was carried out with success."""
        if request.type in SUBMITTING:
            self.state = TRANSITIONS[self.state, request.type]
            if self.state in (IDLE, COMMITTED):
                self.draft = None
        elif request.type == n.DISCONNECT:
            self.state, self.draft = CLOSED, None

    def drop_draft(self) -> None:
        """The submission can't be completed: what of it is still on the way has no place any more."""
        self.state, self.draft = IDLE, None

    def answer(self, exchange: Exchange, reply: Reply | Iterator[bytes]) -> list[Exchange]:
        """Answer one request, by a reply or by the pieces of one that is long; gives the exchanges whose
        replies may leave now, in order.  One answer each."""
        if exchange.reply is not None:
            raise RuntimeError(f"{n.REQUESTS[exchange.request.type]} is answered already")
        exchange.reply = encode_reply(reply) if isinstance(reply, Reply) else reply
        return self.ready()

    def disconnect(self, exchange: Exchange) -> list[Exchange]:
        """Disconnect has no reply; the connection ends once what was asked before it is answered."""
        self.granted(exchange.request)
        exchange.reply, exchange.last = b"", True
        return self.ready()

    def ready(self) -> list[Exchange]:
        """The exchanges whose replies may leave now; after trouble, ask for them once."""
        ready = []
        while self._open and self._open[0].reply is not None:
            ready.append(self._open.popleft())
        return ready
