"""The server side of one connection to a node: reads requests and sends the replies in the same order."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ladderhub.loop import Loop, Stream
from ladderhub.node.admission import RunKey
from ladderhub.node.jobs import parse_run
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import SUBMISSION_REQUESTS, Exchange, ServerConnection
from ladderhub.usage.accounted import CountedStream
from ladderhub.usage.traffic import SCHEDULER, Traffic

MAX_UNSERVED_BYTES = 2 * n.MAX_SCRIPT_BYTES
ReplyCallback = Callable[[Reply], None]


class JobService(Protocol):
    """The operations of a node that its connections call."""

    loop: Loop
    traffic: Traffic

    def queue_job(self, request: Request, answer: ReplyCallback) -> None:
        """Handle Queue Job.  It is answered once the node has admitted or refused the job."""

    def set_script(self, key: RunKey, script: bytes) -> None:
        """Store the whole script of an offered job."""

    def commit_job(self, key: RunKey, answer: ReplyCallback) -> None:
        """Handle Commit of an offered job."""

    def withdraw(self, key: RunKey) -> None:
        """Discard an offer that will not be committed."""

    def handle_request(self, request: Request) -> Reply:
        """Return the reply to any other request."""

    def on_connection_closed(self, connection: AgentConnection) -> None:
        """Forget a connection that has ended."""


class AgentConnection:
    """One connection to the agent.

    The steps of an offer (Queue Job, Job Script, Commit) wait until the Queue Job before them is answered,
    because their effect depends on that answer."""

    def __init__(self, service: JobService, sock: socket.socket) -> None:
        self._service, self._connection = service, ServerConnection()
        self._offer: RunKey | None = None  # the offer that is not committed yet
        self._script = bytearray()
        self._admitting = False  # the Queue Job of the offer is not answered yet
        self._serving = False  # set while `_serve_next` runs; callbacks call it again
        self._unserved: deque[Exchange] = deque()
        self._traffic = service.traffic.of(SCHEDULER)
        self.stream = CountedStream(service.loop, sock, self, self._traffic)

    def on_data(self, stream: Stream, data: bytes) -> None:
        for exchange in self._connection.receive(data):
            self._traffic.messages_in += 1
            self._unserved.append(exchange)
        self._serve_next()
        if self._connection.protocol_error is not None:
            self._write(self._connection.take_ready())
        elif sum(len(exchange.request.data) for exchange in self._unserved) > MAX_UNSERVED_BYTES:
            stream.abort(BufferError(f"unserved requests exceed {MAX_UNSERVED_BYTES} bytes"))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._service.on_connection_closed(self)
        if self._offer is not None:
            self._service.withdraw(self._offer)

    def _serve_next(self) -> None:
        if self._serving:
            return
        self._serving = True
        try:
            while self._unserved and not self.stream.closed:
                if self._admitting and self._unserved[0].request.type in SUBMISSION_REQUESTS:
                    return
                exchange = self._unserved.popleft()
                if exchange.request.type == n.DISCONNECT:
                    self._write(self._connection.disconnect(exchange))
                else:
                    self._serve(exchange.request, partial(self._answer, exchange))
        finally:
            self._serving = False

    def _serve(self, request: Request, answer: ReplyCallback) -> None:
        if request.type == n.QUEUE_JOB:
            self._on_queue_job(request, answer)
        elif request.type == n.JOB_SCRIPT:
            answer(self._on_job_script(request))
        elif request.type == n.COMMIT:
            self._on_commit(request, answer)
        else:
            answer(self._service.handle_request(request))

    # --- the steps of an offer --------------------------------------------------------------------------

    def _on_queue_job(self, request: Request, answer: ReplyCallback) -> None:
        if self._offer is not None:
            self._service.withdraw(self._offer)
        self._offer, self._script = (request.job, parse_run(request)), bytearray()
        self._admitting = True
        self._service.queue_job(request, partial(self._on_admitted, answer))

    def _on_admitted(self, answer: ReplyCallback, reply: Reply) -> None:
        """Answer Queue Job, then serve the requests that waited for it."""
        self._admitting = False
        if reply.code:
            self._offer = None
        answer(reply)
        self._serve_next()

    def _on_job_script(self, request: Request) -> Reply:
        self._script += request.data
        if self._offer is not None and len(self._script) <= n.MAX_SCRIPT_BYTES:
            return Reply()
        if self._offer is not None:
            self._service.withdraw(self._offer)  # a following Commit must not start a partial script
            self._offer = None
        return refusal(n.BAD_SCRIPT)

    def _on_commit(self, request: Request, answer: ReplyCallback) -> None:
        key, self._offer = self._offer, None
        if key is None or key[0] != request.job:
            answer(refusal(n.UNKNOWN_JOB))
            return
        self._service.set_script(key, bytes(self._script))
        self._service.commit_job(key, answer)

    # --- replies ----------------------------------------------------------------------------------------

    def _answer(self, exchange: Exchange, reply: Reply) -> None:
        self._write(self._connection.answer(exchange, reply))

    def _write(self, ready: list[Exchange]) -> None:
        for exchange in ready:
            if self.stream.closed:
                return
            assert isinstance(exchange.reply, bytes)  # only long replies are iterators, and nodes send none
            if exchange.reply:
                self._traffic.messages_out += 1
                self.send(exchange.request, exchange.reply)
            if exchange.last:
                self.stream.close()

    def send(self, request: Request, data: bytes) -> None:
        """Write one reply.  Fault-injecting subclasses lose, cut or repeat it."""
        self.stream.write(data)
