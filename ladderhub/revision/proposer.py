"""The proposer: runs a Paxos instance for each request in turn and answers the operators.

A voter that has accepted a value but does not learn of a chosen one for a while starts a ballot of its own to
complete it, because the proposer may have died after its value was chosen and its operator was answered."""

from __future__ import annotations

from ladderhub.revision.ballots import PaxosInstance
from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Header
from ladderhub.revision.requests import Request, Requests
from ladderhub.revision.types import MS, Applied, LostTo, NoMajority, S, StaleParent, Unchanged

DECISION_TIMEOUT_NS = 3 * S  # from when a request is ready; after that the answer is `NoMajority`
FINISH_DELAY_NS = (400 * MS, 800 * MS)  # from an acceptance to the attempt to complete it
FINISH_TIMEOUT_NS = 1 * S
FINISH_RETRY_DELAY_NS = (1 * S, 3 * S)  # between two attempts to complete a value


class Proposer:
    """Runs at most one instance at a time: for the first ready request, or to complete another's value."""

    def __init__(self, context: Context, ledger: Ledger, requests: Requests) -> None:
        self._context, self._ledger, self._requests = context, ledger, requests
        self.instance: PaxosInstance | None = None
        self._next_round = 1  # grows over all instances of this life, so that no ballot is used twice
        self._finish_at_ns: int | None = None  # when to complete the value that this voter has accepted
        self._give_up_at_ns = 0  # of an instance without an own header

    # --- requests ---------------------------------------------------------------------------------------

    def progress(self, now: int, age_ns: int | None) -> None:
        """Answer the requests whose outcome is known and start the next instance.

        `age_ns`: the time since the head was last confirmed, for the answer `NoMajority`."""
        self._close_finished_instance(now)
        while self._requests.waiting:
            request = self._requests.waiting[0]
            if request.ready_ns is None or not self._answer_if_settled(now, request, age_ns):
                break
        self._close_orphaned_instance()
        first_request = self._requests.waiting[0] if self._requests.waiting else None
        if first_request is not None and first_request.ready_ns is not None:
            if self.instance is None or self.instance.own_header is None:
                self._propose(first_request)
        elif self.instance is None:
            self._start_finishing(now)

    def _close_finished_instance(self, now: int) -> None:
        """Close the instance if its number has been decided, or if it has nothing left to do."""
        instance = self.instance
        if instance is None:
            return
        given_up = instance.own_header is None and now >= self._give_up_at_ns
        if instance.number <= self._ledger.head_number or instance.nothing_to_finish or given_up:
            self._close_instance()

    def _close_instance(self) -> None:
        if self.instance is not None:
            self._next_round = max(self._next_round, self.instance.next_round)
            self.instance = None

    def _close_orphaned_instance(self) -> None:
        """Close the instance if its request has already been answered."""
        instance = self.instance
        if instance is not None and instance.own_header is not None:
            first_request = self._requests.waiting[0] if self._requests.waiting else None
            if first_request is None or first_request.proposed != instance.own_header:
                self._close_instance()

    def _answer_if_settled(self, now: int, request: Request, age_ns: int | None) -> bool:
        """Answer and remove the request if its outcome is known; return whether it is."""
        ledger, close = self._ledger, self._requests.close
        instance = self.instance
        if (
            instance is not None
            and instance.own_header is not None
            and instance.own_header == request.proposed
        ):
            request.asked_to_accept = request.asked_to_accept or instance.asked_to_accept
        proposed = request.proposed
        if proposed is not None and request.was_chosen(ledger.digest_at(proposed.number)):
            close(request, Applied(proposed, digest_of(proposed), request.silent_names()))
        elif proposed is not None and proposed.number < ledger.first_number:
            request.asked_to_accept = True  # the headers kept here no longer show what was chosen
            close(request, self._make_no_majority(request, age_ns))
        elif ledger.head is not None and request.request_id is None:
            # The initial proposal: no operator waits for an answer.
            close(request, Unchanged(ledger.head, ledger.head_digest))
        elif ledger.head is not None and ledger.head.body == request.digest:
            close(request, Unchanged(ledger.head, ledger.head_digest))
        elif request.parent is not None and request.parent != ledger.head_digest:
            winner = self._find_child(request.parent)
            if winner is None:
                close(request, StaleParent(ledger.head, ledger.head_digest))
            else:
                close(request, LostTo(winner, digest_of(winner)))
        elif request.ready_ns is not None and now >= request.ready_ns + DECISION_TIMEOUT_NS:
            close(request, self._make_no_majority(request, age_ns))
        else:
            return False
        return True

    def _find_child(self, parent: bytes) -> Header | None:
        return next((header for header in self._ledger.headers if header.parent == parent), None)

    def _make_no_majority(self, request: Request, age_ns: int | None) -> NoMajority:
        instance = self.instance
        answered = len(instance.answered_by) if instance is not None else 0
        voters = len(self._context.settings.voters)
        return NoMajority(answered, voters, request.asked_to_accept, age_ns)

    def _propose(self, request: Request) -> None:
        self._close_instance()
        number = self._ledger.head_number + 1
        request.proposed = request.make_header(number, self._ledger.head_digest)
        request.asked_to_accept = False
        self.instance = PaxosInstance(self._context, number, request.proposed, self._next_round)

    # --- completion -------------------------------------------------------------------------------------

    def _start_finishing(self, now: int) -> None:
        """Start an instance that completes the value this voter accepted, once a delay has passed."""
        if self._ledger.accepted is None:
            self._finish_at_ns = None
        elif self._finish_at_ns is None:
            self._finish_at_ns = now + self._context.draw_delay_ns(*FINISH_DELAY_NS)
        elif now >= self._finish_at_ns:
            self._finish_at_ns = now + FINISH_TIMEOUT_NS + self._context.draw_delay_ns(*FINISH_RETRY_DELAY_NS)
            self._give_up_at_ns = now + FINISH_TIMEOUT_NS
            self.instance = PaxosInstance(self._context, self._ledger.head_number + 1, None, self._next_round)

    def due_ns(self) -> int | None:
        due = [each for each in (self._finish_at_ns,) if each is not None]
        if self.instance is not None:
            due.append(self.instance.due_ns)
            if self.instance.own_header is None:
                due.append(self._give_up_at_ns)
        due += [
            request.ready_ns + DECISION_TIMEOUT_NS for request in self._requests.waiting if request.ready_ns
        ]
        return min(due, default=None)
