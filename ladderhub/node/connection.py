"""The serving end of one connection to a node: requests in, replies out in the order of the requests."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ladderhub.loop import Loop, Stream
from ladderhub.node.admission import RunKey
from ladderhub.node.jobs import run_of
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import SUBMITTING, Exchange, ServerConnection
from ladderhub.usage.accounted import CountedStream
from ladderhub.usage.traffic import SCHEDULER, Traffic

MAX_UNSERVED_BYTES = 2 * n.SCRIPT_MOST
Answer = Callable[[Reply], None]


class JobService(Protocol):
    """What a connection asks of its node."""

    loop: Loop
    traffic: Traffic

    def queue_job(self, request: Request, answer: Answer) -> None:
        """Queue Job; answered once the node has admitted or refused the job."""

    def set_script(self, key: RunKey, script: bytes) -> None:
        """The whole script of an offered job."""

    def committed(self, key: RunKey, answer: Answer) -> None:
        """Commit of an offered job."""

    def withdraw(self, key: RunKey) -> None:
        """The offer is not committed any more."""

    def answer_of(self, request: Request) -> Reply:
        """The reply to any other request."""

    def connection_closed(self, connection: AgentConnection) -> None:
        """This connection has ended."""


class AgentConnection:
    """One connection to the agent.

    The steps of an offer wait until its Queue Job is answered: what they mean follows from that answer."""

    def __init__(self, jobs: JobService, sock: socket.socket) -> None:
        self._jobs, self._connection = jobs, ServerConnection()
        self._offer: RunKey | None = None  # the offer that is under way here
        self._script = bytearray()
        self._admitting = False  # its Queue Job is not answered yet
        self._serving = False  # inside `_serve_next`
        self._unserved: deque[Exchange] = deque()
        self._count = jobs.traffic.of(SCHEDULER)
        self.stream = CountedStream(jobs.loop, sock, self, self._count)

    def on_data(self, stream: Stream, data: bytes) -> None:
        for exchange in self._connection.receive(data):
            self._count.messages_in += 1
            self._unserved.append(exchange)
        self._serve_next()
        if self._connection.trouble is not None:
            self._write(self._connection.ready())
        elif sum(len(exchange.request.data) for exchange in self._unserved) > MAX_UNSERVED_BYTES:
            stream.abort(BufferError("too much was sent without waiting for an answer"))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._jobs.connection_closed(self)
        if self._offer is not None:
            self._jobs.withdraw(self._offer)

    def _serve_next(self) -> None:
        if self._serving:
            return
        self._serving = True
        try:
            while self._unserved and not self.stream.closed:
                if self._admitting and self._unserved[0].request.type in SUBMITTING:
                    return
                exchange = self._unserved.popleft()
                if exchange.request.type == n.DISCONNECT:
                    self._write(self._connection.disconnect(exchange))
                else:
                    self._serve(exchange.request, partial(self._answer, exchange))
        finally:
            self._serving = False

    def _serve(self, request: Request, answer: Answer) -> None:
        if request.type == n.QUEUE_JOB:
            self._on_queue_job(request, answer)
        elif request.type == n.JOB_SCRIPT:
            answer(self._on_job_script(request))
        elif request.type == n.COMMIT:
            self._on_commit(request, answer)
        else:
            answer(self._jobs.answer_of(request))

    # --- the steps of an offer --------------------------------------------------------------------------

    def _on_queue_job(self, request: Request, answer: Answer) -> None:
        if self._offer is not None:
            self._jobs.withdraw(self._offer)
        self._offer, self._script = (request.job, run_of(request)), bytearray()
        self._admitting = True
        self._jobs.queue_job(request, partial(self._on_admitted, answer))

    def _on_admitted(self, answer: Answer, reply: Reply) -> None:
        """Queue Job has its answer: the steps behind it have their turn."""
        self._admitting = False
        if reply.code:
            self._offer = None
        answer(reply)
        self._serve_next()

    def _on_job_script(self, request: Request) -> Reply:
        self._script += request.data
        if self._offer is not None and len(self._script) <= n.SCRIPT_MOST:
            return Reply()
        if self._offer is not None:
            self._jobs.withdraw(self._offer)  # a Commit behind it must not start half a script
            self._offer = None
        return refusal(n.BAD_SCRIPT)

    def _on_commit(self, request: Request, answer: Answer) -> None:
        key, self._offer = self._offer, None
        if key is None or key[0] != request.job:
            answer(refusal(n.UNKNOWN_JOB))
            return
        self._jobs.set_script(key, bytes(self._script))
        self._jobs.committed(key, answer)

    # --- replies ----------------------------------------------------------------------------------------

    def _answer(self, exchange: Exchange, reply: Reply) -> None:
        self._write(self._connection.answer(exchange, reply))

    def _write(self, ready: list[Exchange]) -> None:
        for exchange in ready:
            if self.stream.closed:
                return
            assert isinstance(exchange.reply, bytes)  # nodes have no long replies
            if exchange.reply:
                self._count.messages_out += 1
                self.send(exchange.request, exchange.reply)
            if exchange.last:
                self.stream.close()

    def send(self, request: Request, data: bytes) -> None:
        """Write one reply; stand-ins with faults lose, cut or repeat it here."""
        self.stream.write(data)
