"""The order in which a client may send requests on one connection: a state machine without I/O, as h11.

A job is submitted over one connection as Queue Job, any number of Job Script, optionally Ready to Commit, and
Commit.  `TRANSITIONS` lists every valid step.  An uncommitted submission is lost with its connection.
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

# (state of the connection's submission, request) -> state after the request succeeded
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
    (COMMITTED, n.COMMIT): COMMITTED,  # repeated by a client that missed the reply; names the same job
    (IDLE, n.COMMIT): IDLE,  # repeated over a new connection; the identifier names the job
}
SUBMISSION_REQUESTS = frozenset((n.QUEUE_JOB, n.JOB_SCRIPT, n.READY_TO_COMMIT, n.COMMIT))


class Draft:
    """A job whose submission is not committed yet."""

    __slots__ = ("job", "request", "script")

    def __init__(self, job: str, request: Request) -> None:
        self.job, self.request, self.script = job, request, bytearray()


class Exchange:
    """A request and, later, its reply.  After the reply of a `last` exchange the connection is closed."""

    __slots__ = ("last", "reply", "request")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.reply: bytes | Iterator[bytes] | None = None
        self.last = False


class ServerConnection:
    """The server's side.  `receive` returns requests; `answer` returns the exchanges whose replies can be
    sent now, in the order of the requests.

    Every request gets its answer, whatever follows it: Disconnect and the error reply to invalid bytes
    (`protocol_error` holds the reason) are exchanges in the same queue, marked `last`."""

    def __init__(self) -> None:
        self._parser = RequestParser()
        self._exchanges: deque[Exchange] = deque()
        self.state = IDLE
        self.draft: Draft | None = None
        self.protocol_error: str | None = None

    def receive(self, data: bytes) -> list[Exchange]:
        """Returns an exchange for each request that is complete with these bytes."""
        if self.protocol_error is not None or self.state == CLOSED:
            return []
        self._parser.feed(data)
        received = []
        try:
            while (request := self._parser.next()) is not None:
                received.append(Exchange(request))
        except DisError as fault:
            self.protocol_error = str(fault)
        self._exchanges.extend(received)
        if self.protocol_error is not None:
            error_exchange = Exchange(Request(n.DISCONNECT))
            error_exchange.reply = encode_reply(
                Reply(n.PROTOCOL_ERROR, n.R_TEXT, text=f"Protocol error: {self.protocol_error}")
            )
            error_exchange.last = True
            self._exchanges.append(error_exchange)
        return received

    def count_unanswered(self) -> int:
        """Returns the number of exchanges whose replies were not taken yet."""
        return len(self._exchanges)

    def is_allowed(self, request: Request) -> bool:
        """Whether the request is valid in this state.  Only the steps of a submission depend on it."""
        if request.type not in SUBMISSION_REQUESTS:
            return True
        if (self.state, request.type) not in TRANSITIONS:
            return False
        other_job = self.draft is not None and request.type != n.QUEUE_JOB and request.job != self.draft.job
        return not (other_job and self.state != COMMITTED)

    def record_success(self, request: Request) -> None:
        """Records that the request succeeded and moves the submission to its next state."""
        if request.type in SUBMISSION_REQUESTS:
            self.state = TRANSITIONS[self.state, request.type]
            if self.state in (IDLE, COMMITTED):
                self.draft = None
        elif request.type == n.DISCONNECT:
            self.state, self.draft = CLOSED, None

    def drop_draft(self) -> None:
        """Ends a submission that can't be completed; its later requests become invalid."""
        self.state, self.draft = IDLE, None

    def answer(self, exchange: Exchange, reply: Reply | Iterator[bytes]) -> list[Exchange]:
        """Answers one request, by a reply or by the pieces of a long one, and returns the exchanges whose
        replies can be sent now, in order.  Each request is answered once."""
        if exchange.reply is not None:
            raise RuntimeError(f"{n.REQUESTS[exchange.request.type]} is answered already")
        exchange.reply = encode_reply(reply) if isinstance(reply, Reply) else reply
        return self.take_ready()

    def disconnect(self, exchange: Exchange) -> list[Exchange]:
        """Handles Disconnect, which has no reply; the connection ends once earlier requests are answered."""
        self.record_success(exchange.request)
        exchange.reply, exchange.last = b"", True
        return self.take_ready()

    def take_ready(self) -> list[Exchange]:
        """Takes the exchanges whose replies can be sent now.  Must be called once after invalid bytes."""
        ready = []
        while self._exchanges and self._exchanges[0].reply is not None:
            ready.append(self._exchanges.popleft())
        return ready
