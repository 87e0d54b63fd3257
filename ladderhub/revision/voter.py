"""A voter: what it promises and accepts, for the number after its head and for no other.

Numbers are decided one after the other: a voter that has not learned what was chosen before asks the proposer
for it and says nothing else, so its one promise and its one acceptance always speak of the number after its
head.  Every promise and acceptance is on disk before the answer leaves.

A voter that starts without its record has forgotten what it voted.  It votes on no number on which it may
have voted before: the number before that one was chosen, so a majority had accepted a value for it, and
enough of the other voters that have their records, asked after its start, include one of those.  Where too
many have none, all others have to answer; where nobody has accepted anything, the fleet is new.

Nothing was chosen before number 1, so there a promise counts as an acceptance: a majority promises before
anybody accepts.  And nobody votes on number 1 before it knows of a majority that may, since a voter of a new
fleet that asks only then can't tell itself from one that has forgotten its vote."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Accept, Accepted, FetchHeaders, HeadIs, Prepare, Promise, Rejected
from ladderhub.revision.types import Notice


class Voter:
    """Votes where this scheduler is one of the voters; otherwise it never answers."""

    def __init__(self, context: Context, ledger: Ledger) -> None:
        self._context, self._ledger = context, ledger
        voters = context.settings.voters
        self.is_voter = context.settings.address in voters
        # So many of the others meet every majority that this voter was part of.
        self._others_enough = min(len(voters) - context.settings.majority + 1, len(voters) - 1)
        self._others_accepted: dict[str, int | None] = {}
        self.waiting: Accept | None = None  # its body is not here yet

    def accepted_number(self) -> int | None:
        """The highest number for which this voter may have accepted a value, or knows the chosen one."""
        ledger = self._ledger
        if not self.is_voter or ledger.votes_from is None:
            return None
        promised_first = ledger.head_number == 0 and ledger.promised is not None
        known = ledger.head_number + (promised_first or ledger.accepted is not None)
        return max(known, ledger.votes_from - 1)  # what is below, it may have forgotten

    def start(self) -> None:
        """Without its record a voter asks the others; where it is the only one there is nothing to ask."""
        if self.is_voter and self._ledger.votes_from is None:
            self._context.tell(Notice.NOT_VOTING, "no record of earlier votes: the other voters are asked")
            self._settle_votes()

    def on_head_is(self, answer: HeadIs) -> None:
        """The answer to a question of this life."""
        settings = self._context.settings
        others = answer.sender in settings.voters and answer.sender != settings.address
        if not others or not self.is_voter:
            return
        self._others_accepted[answer.sender] = answer.accepted
        if self._ledger.votes_from is None:
            self._settle_votes()

    def _settle_votes(self) -> None:
        others = len(self._context.settings.voters) - 1
        known = [number for number in self._others_accepted.values() if number is not None]
        if len(known) < self._others_enough and len(self._others_accepted) < others:
            return
        highest = max([*known, self._ledger.head_number])
        self._ledger.vote_from(highest + 2 if highest else 1)
        self._ledger.store()
        self._context.tell(Notice.VOTING, f"from revision {self._ledger.votes_from} on")

    def _may_vote(self, number: int) -> bool:
        votes_from = self._ledger.votes_from
        return self.is_voter and votes_from is not None and number >= votes_from

    def may_begin(self, number: int) -> bool:
        """May ballots on it begin: for number 1, do we know of a majority that may vote on it?"""
        able = sum(known is not None and known <= 1 for known in self._others_accepted.values())
        return number > 1 or 1 + able >= self._context.settings.majority

    def _is_next(self, number: int, reply_to: str) -> bool:
        """Only the number after the head is voted on; what was chosen before it is asked for."""
        if number > self._ledger.head_number + 1:
            fetch = FetchHeaders(self._ledger.head_number + 1, self._context.settings.address)
            self._context.send(reply_to, fetch)
        return number == self._ledger.head_number + 1

    def on_prepare(self, prepare: Prepare) -> None:
        ledger, context = self._ledger, self._context
        if not self._is_next(prepare.number, prepare.reply_to) or not self._may_vote(prepare.number):
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
        """`body`: where it is here already; otherwise the acceptance waits for it."""
        ledger, context, number = self._ledger, self._context, accept.header.number
        if not self._is_next(number, accept.reply_to) or not self._may_vote(number):
            return
        if accept.header.parent != ledger.head_digest:
            return  # no proposer that knows what was chosen asks for this
        if ledger.promised is not None and accept.ballot < ledger.promised:
            context.send(accept.reply_to, Rejected(number, accept.ballot, ledger.promised))
            return
        accepted = ledger.accepted
        if accepted is not None and accepted.ballot == accept.ballot and accepted.header != accept.header:
            return  # two values in one ballot: no proposer of ours does that
        if body is None:
            self.waiting = accept
            return
        if accepted is None or accepted.ballot != accept.ballot:
            ledger.record_acceptance(accept.ballot, accept.header, body)
            ledger.store()
        if self.waiting is not None and self.waiting.ballot <= accept.ballot:
            self.waiting = None
        context.send(accept.reply_to, Accepted(number, accept.ballot, context.settings.address))
