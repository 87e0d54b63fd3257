"""The voter (Paxos acceptor): promises and acceptances for the number after its head.

Numbers are decided one after the other.  A voter that does not know the revision before the requested number
only asks the proposer for the missing headers, so its single promise and single acceptance always refer to
the number after its head.  Every promise and acceptance is on disk before the answer is sent.

A voter that starts without its record does not know how it voted, so it must not vote on any number on which
it may have voted in an earlier life.  If it voted on a number, the number before that was chosen, hence a
majority had accepted a value for it.  Asked after the start, a sufficient number of other voters that have
their records includes a member of that majority.  If too many voters have lost their records, all others must
answer; if none of them has accepted anything, the fleet is new.

Nothing is chosen before number 1, so for number 1 a promise counts as an acceptance: a majority makes
promises before any voter accepts.  Also, a voter takes part in number 1 only once it knows of a majority that
may vote on it.  Otherwise a voter of a new fleet that asks the others later could not tell whether it is new
or has lost its record."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Accept, Accepted, FetchHeaders, HeadIs, Prepare, Promise, Rejected
from ladderhub.revision.types import Notice


class Voter:
    """Answers ballots if this scheduler is one of the voters; otherwise it never answers."""

    def __init__(self, context: Context, ledger: Ledger) -> None:
        self._context, self._ledger = context, ledger
        voters = context.settings.voters
        self.is_voter = context.settings.address in voters
        # Any set of this many other voters overlaps with every majority that included this voter.
        self._others_needed = min(len(voters) - context.settings.majority + 1, len(voters) - 1)
        self._accepted_by_others: dict[str, int | None] = {}
        self.pending_accept: Accept | None = None  # whose body is being fetched

    def accepted_number(self) -> int | None:
        """Return the highest number for which this voter may have accepted, or knows to be chosen, a value.

        None if this scheduler is no voter or does not know yet on which numbers it may vote."""
        ledger = self._ledger
        if not self.is_voter or ledger.votes_from is None:
            return None
        promised_first = ledger.head_number == 0 and ledger.promised is not None
        known = ledger.head_number + (promised_first or ledger.accepted is not None)
        return max(known, ledger.votes_from - 1)  # may have voted on lower numbers in a lost record

    def start(self) -> None:
        """Start this life; without a record, a single voter may vote at once and others wait for answers."""
        if self.is_voter and self._ledger.votes_from is None:
            self._context.notify(Notice.NOT_VOTING, "no record of earlier votes: the other voters are asked")
            self._determine_votes_from()

    def on_head_is(self, answer: HeadIs) -> None:
        """Handle an answer to a question that this scheduler asked in this life."""
        settings = self._context.settings
        is_other_voter = answer.sender in settings.voters and answer.sender != settings.address
        if not is_other_voter or not self.is_voter:
            return
        self._accepted_by_others[answer.sender] = answer.accepted
        if self._ledger.votes_from is None:
            self._determine_votes_from()

    def _determine_votes_from(self) -> None:
        others = len(self._context.settings.voters) - 1
        known = [number for number in self._accepted_by_others.values() if number is not None]
        if len(known) < self._others_needed and len(self._accepted_by_others) < others:
            return
        highest = max([*known, self._ledger.head_number])
        self._ledger.set_votes_from(highest + 2 if highest else 1)
        self._ledger.store()
        self._context.notify(Notice.VOTING, f"from revision {self._ledger.votes_from} on")

    def _may_vote(self, number: int) -> bool:
        votes_from = self._ledger.votes_from
        return self.is_voter and votes_from is not None and number >= votes_from

    def may_start_ballot(self, number: int) -> bool:
        """Return whether a ballot on this number may start; number 1 needs a majority that may vote on it."""
        first_voters = sum(known is not None and known <= 1 for known in self._accepted_by_others.values())
        return number > 1 or 1 + first_voters >= self._context.settings.majority

    def _check_is_next(self, number: int, reply_to: str) -> bool:
        """Return whether this is the number after the head; if headers before it are missing, fetch them."""
        if number > self._ledger.head_number + 1:
            fetch = FetchHeaders(self._ledger.head_number + 1, self._context.settings.address)
            self._context.send(reply_to, fetch)
        return number == self._ledger.head_number + 1

    def on_prepare(self, prepare: Prepare) -> None:
        ledger, context = self._ledger, self._context
        if not self._check_is_next(prepare.number, prepare.reply_to) or not self._may_vote(prepare.number):
            return
        if ledger.promised is not None and prepare.ballot < ledger.promised:
            context.send(prepare.reply_to, Rejected(prepare.number, prepare.ballot, ledger.promised))
            return
        ledger.record_promise(prepare.ballot)
        ledger.store()
        voter, accepted = context.settings.address, ledger.accepted
        if accepted is None:
            promise = Promise(prepare.number, prepare.ballot, voter)
        else:
            promise = Promise(prepare.number, prepare.ballot, voter, accepted.ballot, accepted.header)
        context.send(prepare.reply_to, promise)

    def on_accept(self, accept: Accept, body: bytes | None) -> None:
        """Accept the value, or keep the request until its body arrives if `body` is None."""
        ledger, context, number = self._ledger, self._context, accept.header.number
        if not self._check_is_next(number, accept.reply_to) or not self._may_vote(number):
            return
        if accept.header.parent != ledger.head_digest:
            return  # a correct proposer that knows the head never sends this
        if ledger.promised is not None and accept.ballot < ledger.promised:
            context.send(accept.reply_to, Rejected(number, accept.ballot, ledger.promised))
            return
        accepted = ledger.accepted
        if accepted is not None and accepted.ballot == accept.ballot and accepted.header != accept.header:
            return  # two values in one ballot: a correct proposer never sends this
        if body is None:
            self.pending_accept = accept
            return
        if accepted is None or accepted.ballot != accept.ballot:
            ledger.record_acceptance(accept.ballot, accept.header, body)
            ledger.store()
        if self.pending_accept is not None and self.pending_accept.ballot <= accept.ballot:
            self.pending_accept = None
        context.send(accept.reply_to, Accepted(number, accept.ballot, context.settings.address))
