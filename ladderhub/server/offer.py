"""State machine for one offer of a job to a node: takes replies, returns bytes to send or a result.  No I/O.

The node runs nothing before it receives Commit, so a failure before Commit is sent proves that the job did
not run.  After that, only a refusal by the node proves it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ladderhub.interface import Outcome, Reason
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, encode_request

OPENING, QUEUEING, SENDING, COMMITTING, FINISHED = "opening", "queueing", "sending", "committing", "over"
_REFUSAL_REASONS = {
    "CORES": Reason.CORES, "MEMORY": Reason.MEMORY, "LINE_FULL": Reason.LINE_FULL,
    "NOT_HERE": Reason.NOT_HERE,
}  # fmt: skip
COMMITTED_STATES = (SENDING, COMMITTING)  # Commit was sent
# state -> the kind of reply expected in it
EXPECTED_REPLIES = {QUEUEING: n.R_QUEUE, SENDING: n.R_NULL, COMMITTING: n.R_COMMIT}


@dataclass(frozen=True, slots=True)
class OfferResult:
    """How an offer ended: `placed`, or an outcome with the node's reason and explanation."""

    placed: bool
    outcome: Outcome
    reason: Reason = Reason.UNKNOWN
    text: str = ""


class Offer:
    """One offer.  Each method returns messages to send, an `OfferResult` (once), or None."""

    def __init__(self, queue_job: Request, script: bytes) -> None:
        self._request, self._script = queue_job, script
        self.state = OPENING

    def on_connected(self) -> bytes:
        self.state = QUEUEING
        return encode_request(self._request)

    def on_reply(self, reply: Reply) -> tuple[bytes, ...] | OfferResult | None:
        """Process a reply.  An unexpected one proves nothing about the run and ends the offer like a broken
        connection."""
        if self.state == FINISHED:
            return None
        if reply.code and self.state == SENDING:
            # Commit was sent already, so the node must be queried.
            return self.on_failure("the node refused the script")
        if reply.code:
            refused = self._build_refusal(reply)
            self.state = FINISHED
            return refused
        choice = EXPECTED_REPLIES[self.state]
        if reply.choice != choice or (choice != n.R_NULL and reply.job != self._request.job):
            return self.on_failure("the node answered out of turn")
        if self.state == QUEUEING:
            # Script and Commit are sent together; from here on the job may run.
            self.state = SENDING if self._script else COMMITTING
            return tuple(self._encode_commit_messages())
        if self.state == SENDING:
            self.state = COMMITTING
            return None
        self.state = FINISHED
        return OfferResult(True, Outcome.DONE)

    def _encode_commit_messages(self) -> Iterator[bytes]:
        job, user = self._request.job, self._request.user
        if self._script:
            yield encode_request(Request(n.JOB_SCRIPT, user, job, data=self._script))
        yield encode_request(Request(n.COMMIT, user, job))

    def _build_refusal(self, reply: Reply) -> OfferResult:
        reason_name, _, explanation = reply.text.partition(" ")
        reason = _REFUSAL_REASONS.get(reason_name, Reason.UNKNOWN)
        text = explanation if reason is not Reason.UNKNOWN else reply.text
        return OfferResult(False, Outcome.REFUSED, reason, text or n.ERRORS.get(reply.code, str(reply.code)))

    def on_failure(self, text: str, timed_out: bool = False, cancelled: bool = False) -> OfferResult | None:
        """End the offer: the connection broke, the time limit passed, or the offer was cancelled."""
        if self.state == FINISHED:
            return None
        committed = self.state in COMMITTED_STATES
        self.state = FINISHED
        if cancelled:
            return OfferResult(False, Outcome.CANCELLED if committed else Outcome.NEVER_SENT, text=text)
        if not committed:
            return OfferResult(False, Outcome.UNREACHABLE, text=text)
        return OfferResult(False, Outcome.TIMED_OUT if timed_out else Outcome.LOST, text=text)
