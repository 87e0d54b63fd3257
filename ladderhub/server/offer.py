"""One offer of a job to a node, step by step: replies in, bytes or a result out.  No I/O.

Until Commit has left, nothing can have run: whatever goes wrong before proves that.  After it, only a refusal
by the node does.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ladderhub.interface import Outcome, Reason
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, encode_request

OPENING, QUEUEING, SENDING, COMMITTING, OVER = "opening", "queueing", "sending", "committing", "over"
_REASONS = {
    "CORES": Reason.CORES, "MEMORY": Reason.MEMORY, "LINE_FULL": Reason.LINE_FULL,
    "NOT_HERE": Reason.NOT_HERE,
}  # fmt: skip
COMMITTED = (SENDING, COMMITTING)  # Commit has left
# state -> the kind of reply that belongs to it
ANSWERS = {QUEUEING: n.R_QUEUE, SENDING: n.R_NULL, COMMITTING: n.R_COMMIT}


@dataclass(frozen=True, slots=True)
class Result:
    """How an offer ended; `placed` or an outcome, with the node's reason and words."""

    placed: bool
    outcome: Outcome
    reason: Reason = Reason.UNKNOWN
    text: str = ""


class Offer:
    """The steps of one offer.  Each method gives messages to send, a `Result` once, or nothing."""

    def __init__(self, queue_job: Request, script: bytes) -> None:
        self._request, self._script = queue_job, script
        self.state = OPENING

    def connected(self) -> bytes:
        self.state = QUEUEING
        return encode_request(self._request)

    def reply(self, reply: Reply) -> tuple[bytes, ...] | Result | None:
        """What follows from the reply.  One that does not belong to this step proves nothing: it ends the
        offer as a broken connection would."""
        if self.state == OVER:
            return None
        if reply.code and self.state == SENDING:
            return self.broke("the node refused the script")  # its Commit is on the way: the node is asked
        if reply.code:
            refused = self._refused(reply)
            self.state = OVER
            return refused
        choice = ANSWERS[self.state]
        if reply.choice != choice or (choice != n.R_NULL and reply.job != self._request.job):
            return self.broke("the node answered out of turn")
        if self.state == QUEUEING:
            # Script and Commit leave together; from here on something may run.
            self.state = SENDING if self._script else COMMITTING
            return tuple(self._messages())
        if self.state == SENDING:
            self.state = COMMITTING
            return None
        self.state = OVER
        return Result(True, Outcome.DONE)

    def _messages(self) -> Iterator[bytes]:
        job, user = self._request.job, self._request.user
        if self._script:
            yield encode_request(Request(n.JOB_SCRIPT, user, job, data=self._script))
        yield encode_request(Request(n.COMMIT, user, job))

    def _refused(self, reply: Reply) -> Result:
        word, _, rest = reply.text.partition(" ")
        reason = _REASONS.get(word, Reason.UNKNOWN)
        text = rest if reason is not Reason.UNKNOWN else reply.text
        return Result(False, Outcome.REFUSED, reason, text or n.ERRORS.get(reply.code, str(reply.code)))

    def broke(self, text: str, timed_out: bool = False, called_off: bool = False) -> Result | None:
        """The connection ended, time ran out, or the offer is called off."""
        if self.state == OVER:
            return None
        committed = self.state in COMMITTED
        self.state = OVER
        if called_off:
            return Result(False, Outcome.CANCELLED if committed else Outcome.NEVER_SENT, text=text)
        if not committed:
            return Result(False, Outcome.UNREACHABLE, text=text)
        return Result(False, Outcome.TIMED_OUT if timed_out else Outcome.LOST, text=text)
