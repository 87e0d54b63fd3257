"""A voter: what it promises and accepts, for the number after its head and for no other.

Numbers are decided one after the other: a voter that has not learned what was chosen before asks the proposer
for it and says nothing else, so its one promise and its one acceptance always speak of the number after its
head.  Every promise and acceptance is on disk before the answer leaves.

A voter that starts without its record has forgotten what it voted.  It votes on no number on which it may
have voted before: such a number follows one that a majority had accepted, and enough of the other voters that
have their records, asked after its start, include one of those.  Where too many have none, all others have to
answer; where nobody has voted on anything, the fleet is new.

Nobody votes on number 1 before a majority may: a voter of a new fleet that asks only then could not tell
itself from one that has forgotten its vote, and number 1 would never have its majority."""

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
        self._others_voted: dict[str, int | None] = {}
        self.waiting: Accept | None = None  # its body is not here yet

    def voted(self) -> int | None:
        """The highest number on which this voter may have voted, or that it knows to be chosen."""
        ledger = self._ledger
        if not self.is_voter or ledger.votes_from is None:
            return None
        voted_on_next = ledger.promised is not None or ledger.accepted is not None
        return max(ledger.number + voted_on_next, ledger.votes_from - 1)

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
        self._others_voted[answer.sender] = answer.voted
        if self._ledger.votes_from is None:
            self._settle_votes()

    def _settle_votes(self) -> None:
        others = len(self._context.settings.voters) - 1
        known = [voted for voted in self._others_voted.values() if voted is not None]
        if len(known) < self._others_enough and len(self._others_voted) < others:
            return
        highest = max([*known, self._ledger.number])
        self._ledger.vote_from(highest + 2 if highest else 1)
        self._ledger.store()
        self._context.tell(Notice.VOTING, f"from revision {self._ledger.votes_from} on")

    def _may_vote(self, number: int) -> bool:
        votes_from = self._ledger.votes_from
        if not self.is_voter or votes_from is None or number < votes_from:
            return False
        return number > 1 or self._first_may_be_decided()

    def _first_may_be_decided(self) -> bool:
        """Do we know of a majority that may vote on number 1?"""
        able = sum(voted is not None and voted <= 1 for voted in self._others_voted.values())
        return 1 + able >= self._context.settings.majority

    def _is_next(self, number: int, reply_to: str) -> bool:
        """Only the number after the head is voted on; what was chosen before it is asked for."""
        if number > self._ledger.number + 1:
            fetch = FetchHeaders(self._ledger.number + 1, self._context.settings.address)
            self._context.send(reply_to, fetch)
        return number == self._ledger.number + 1

    def on_prepare(self, prepare: Prepare) -> None:
        ledger, context = self._ledger, self._context
        if not self._is_next(prepare.number, prepare.reply_to) or not self._may_vote(prepare.number):
            return
        if ledger.promised is not None and prepare.ballot < ledger.promised:
            context.send(prepare.reply_to, Rejected(prepare.number, prepare.ballot, ledger.promised))
            return
        ledger.promise(prepare.ballot)
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
        if accept.header.parent != ledger.digest:
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
            ledger.accept(accept.ballot, accept.header, body)
            ledger.store()
        if self.waiting is not None and self.waiting.ballot <= accept.ballot:
            self.waiting = None
        context.send(accept.reply_to, Accepted(number, accept.ballot, context.settings.address))
