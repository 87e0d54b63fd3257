"""One proposer: which request is balloted when, what its operator is told, and finishing what others left.

A voter that has accepted a value and hears of nothing chosen for a while begins a ballot of its own to finish
it: the proposer may have died after its value was chosen and its operator was told."""

from __future__ import annotations

from ladderhub.revision.ballots import PaxosInstance
from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Header
from ladderhub.revision.requests import Request, Requests
from ladderhub.revision.types import MS, Applied, LostTo, NoMajority, S, StaleParent, Unchanged

DECIDE_NS = 3 * S  # from when a request is ready: after that a majority is told missing
FINISH_NS = (400 * MS, 800 * MS)  # after an acceptance of which nothing more is heard
FINISH_TRY_NS = 1 * S
FINISH_PAUSE_NS = (1 * S, 3 * S)  # between two tries to finish


class Proposer:
    """At most one decision at a time: for the first request that is ready, or to finish another's."""

    def __init__(self, context: Context, ledger: Ledger, requests: Requests) -> None:
        self._context, self._ledger, self._requests = context, ledger, requests
        self.decision: PaxosInstance | None = None
        self._round = 1  # grows over all decisions of this life: no ballot is used twice
        self._finish_ns: int | None = None  # when to finish what this voter has accepted
        self._give_up_ns = 0  # of a decision that only finishes

    # --- requests ---------------------------------------------------------------------------------------

    def progress(self, now: int, age_ns: int | None) -> None:
        """Answer what is settled, and begin what is next.  `age_ns`: of what is in force, for an answer."""
        self._drop_settled(now)
        while self._requests.waiting:
            request = self._requests.waiting[0]
            if request.ready_ns is None or not self._settle(now, request, age_ns):
                break
        self._drop_orphan()
        front = self._requests.waiting[0] if self._requests.waiting else None
        if front is not None and front.ready_ns is not None:
            if self.decision is None or self.decision.own_header is None:
                self._propose(front)
        elif self.decision is None:
            self._finish(now)

    def _drop_settled(self, now: int) -> None:
        """Of the decision whose number is chosen by now, or that has nothing to do."""
        decision = self.decision
        if decision is None:
            return
        given_up = decision.own_header is None and now >= self._give_up_ns
        if decision.number <= self._ledger.head_number or decision.nothing_begun or given_up:
            self._close_decision()

    def _close_decision(self) -> None:
        if self.decision is not None:
            self._round = max(self._round, self.decision.next_round)
            self.decision = None

    def _drop_orphan(self) -> None:
        """A decision whose request is answered without it ends."""
        decision = self.decision
        if decision is not None and decision.own_header is not None:
            front = self._requests.waiting[0] if self._requests.waiting else None
            if front is None or front.proposed != decision.own_header:
                self._close_decision()

    def _settle(self, now: int, request: Request, age_ns: int | None) -> bool:
        """Is its outcome known?  Then it is answered and off the list."""
        ledger, close = self._ledger, self._requests.close
        decision = self.decision
        if (
            decision is not None
            and decision.own_header is not None
            and decision.own_header == request.proposed
        ):
            request.asked_to_accept = request.asked_to_accept or decision.asked_to_accept
        proposed = request.proposed
        if proposed is not None and request.was_chosen(ledger.digest_at(proposed.number)):
            close(request, Applied(proposed, digest_of(proposed), request.silent_names()))
        elif proposed is not None and proposed.number < ledger.first_number:
            request.asked_to_accept = True  # what was chosen for that number is kept nowhere near
            close(request, self._no_majority(request, age_ns))
        elif ledger.head is not None and request.request is None:
            close(request, Unchanged(ledger.head, ledger.head_digest))  # the first revision: nobody waits
        elif ledger.head is not None and ledger.head.body == request.digest:
            close(request, Unchanged(ledger.head, ledger.head_digest))
        elif request.parent is not None and request.parent != ledger.head_digest:
            winner = self._child_of(request.parent)
            if winner is None:
                close(request, StaleParent(ledger.head, ledger.head_digest))
            else:
                close(request, LostTo(winner, digest_of(winner)))
        elif request.ready_ns is not None and now >= request.ready_ns + DECIDE_NS:
            close(request, self._no_majority(request, age_ns))
        else:
            return False
        return True

    def _child_of(self, parent: bytes) -> Header | None:
        return next((header for header in self._ledger.headers if header.parent == parent), None)

    def _no_majority(self, request: Request, age_ns: int | None) -> NoMajority:
        decision = self.decision
        answered = len(decision.answered_by) if decision is not None else 0
        voters = len(self._context.settings.voters)
        return NoMajority(answered, voters, request.asked_to_accept, age_ns)

    def _propose(self, request: Request) -> None:
        self._close_decision()
        number = self._ledger.head_number + 1
        request.proposed = request.header(number, self._ledger.head_digest)
        request.asked_to_accept = False
        self.decision = PaxosInstance(self._context, number, request.proposed, self._round)

    # --- finishing --------------------------------------------------------------------------------------

    def _finish(self, now: int) -> None:
        """Begin to finish what this voter accepted once that has waited."""
        if self._ledger.accepted is None:
            self._finish_ns = None
        elif self._finish_ns is None:
            self._finish_ns = now + self._context.jitter(*FINISH_NS)
        elif now >= self._finish_ns:
            self._finish_ns = now + FINISH_TRY_NS + self._context.jitter(*FINISH_PAUSE_NS)
            self._give_up_ns = now + FINISH_TRY_NS
            self.decision = PaxosInstance(self._context, self._ledger.head_number + 1, None, self._round)

    def due_ns(self) -> int | None:
        due = [each for each in (self._finish_ns,) if each is not None]
        if self.decision is not None:
            due.append(self.decision.due_ns)
            if self.decision.own_header is None:
                due.append(self._give_up_ns)
        due += [request.ready_ns + DECIDE_NS for request in self._requests.waiting if request.ready_ns]
        return min(due, default=None)
