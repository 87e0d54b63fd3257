"""A proposer's ballots for one number: the two phases of Paxos, begun anew above whoever was first.

In phase one a majority of the voters promises; where any of them has accepted a value for this number, the
one of the highest ballot is proposed in place of the proposer's own, since it may be chosen already.  In
phase two the value is chosen once a majority has accepted it in this ballot."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.messages import Accept, Accepted, Ballot, Header, Prepare, Promise, Rejected
from ladderhub.revision.types import MS

RESEND_NS = (50 * MS, 80 * MS)  # to voters that have not answered
BACK_OFF_NS = (15 * MS, 50 * MS)  # after a rejection, doubled with each further one
BACK_OFF_DOUBLINGS = 4


class PaxosInstance:
    """One proposer and one number, until something is chosen or it is given up.

    `own_header`: the header that is proposed where no voter has accepted another; None only finishes what
    another proposer has begun."""

    def __init__(self, context: Context, number: int, own_header: Header | None, least_round: int) -> None:
        self._context = context
        self.number, self.own_header = number, own_header
        self.next_round = least_round  # the lowest that may be used
        self.answered_by: set[str] = set()  # voters that have said anything
        self.asked_to_accept = False  # a voter may have accepted our own header
        self.nothing_begun = False  # there is nothing to finish
        self.chosen: Header | None = None
        self.due_ns = 0
        self._ballot: Ballot | None = None  # None: waiting to begin the next
        self._promises: dict[str, Promise] = {}
        self._value: Header | None = None  # in phase two
        self._holder = ""
        self._accepted_by: set[str] = set()
        self._rejections = 0

    def _is_ours(self, number: int, ballot: Ballot) -> bool:
        return number == self.number and ballot == self._ballot and self.chosen is None

    def tick(self, now: int) -> None:
        if now < self.due_ns or self.chosen is not None or self.nothing_begun:
            return
        if self._ballot is None:
            self._ballot = Ballot(self.next_round, self._context.proposer_id)
            self.next_round += 1
            self._promises.clear()
            self._accepted_by.clear()
            self._value = None
        self._ask(now)

    def _ask(self, now: int) -> None:
        """Ask the voters that have not answered in this phase."""
        ballot = self._ballot
        assert ballot is not None
        self.due_ns = now + self._context.jitter(*RESEND_NS)
        mine = self._context.settings.address
        for voter in self._context.settings.voters:
            if self._value is None and voter not in self._promises:
                self._context.send(voter, Prepare(self.number, ballot, mine))
            elif self._value is not None and voter not in self._accepted_by:
                self._context.send(voter, Accept(ballot, self._value, mine, self._holder))

    def on_promise(self, now: int, promise: Promise) -> None:
        settings = self._context.settings
        if promise.voter not in settings.voters or not self._is_ours(promise.number, promise.ballot):
            return
        self.answered_by.add(promise.voter)
        if self._value is not None:
            return
        self._promises[promise.voter] = promise
        if len(self._promises) >= settings.majority:
            self._select_value(now)

    def _select_value(self, now: int) -> None:
        accepted = [each for each in self._promises.values() if each.accepted is not None]
        if accepted:
            latest = max(accepted, key=lambda each: each.accepted or Ballot(0, 0))
            self._value, self._holder = latest.header, latest.voter
        else:
            self._value, self._holder = self.own_header, self._context.settings.address
        if self._value is None:
            self.nothing_begun = True
            return
        self.asked_to_accept = self.asked_to_accept or self._value == self.own_header
        self._ask(now)

    def on_accepted(self, accepted: Accepted) -> None:
        settings = self._context.settings
        if accepted.voter not in settings.voters or not self._is_ours(accepted.number, accepted.ballot):
            return
        self.answered_by.add(accepted.voter)
        if self._value is None:
            return
        self._accepted_by.add(accepted.voter)
        if len(self._accepted_by) >= settings.majority:
            self.chosen = self._value

    def on_rejected(self, now: int, rejected: Rejected) -> None:
        """Another proposer is above us: let it finish, then begin above it."""
        if not self._is_ours(rejected.number, rejected.ballot):
            return
        self.next_round = max(self.next_round, rejected.promised.round + 1)
        self._ballot = None
        self._rejections += 1
        least, most = BACK_OFF_NS
        self.due_ns = now + (
            self._context.jitter(least, most) << min(self._rejections - 1, BACK_OFF_DOUBLINGS)
        )
