"""A proposer's ballots for one number: the two phases of Paxos, retried with a higher ballot if rejected.

In phase one a majority of the voters makes a promise.  If any of them has already accepted a value for this
number, the proposer has to propose the value with the highest ballot instead of its own, because that value
may already be chosen.  In phase two the value is chosen once a majority has accepted it in this ballot."""

from __future__ import annotations

from ladderhub.revision.context import Context
from ladderhub.revision.messages import Accept, Accepted, Ballot, Header, Prepare, Promise, Rejected
from ladderhub.revision.types import MS

RESEND_NS = (50 * MS, 80 * MS)  # to voters that have not answered
BACK_OFF_NS = (15 * MS, 50 * MS)  # after a rejection; doubled with each further rejection
BACK_OFF_DOUBLINGS = 4


class PaxosInstance:
    """The ballots of one proposer for one number, until a value is chosen or the proposer gives up.

    `own_header`: the header to propose if no voter has accepted another one; with None the instance only
    completes a value that another proposer has started."""

    def __init__(self, context: Context, number: int, own_header: Header | None, first_round: int) -> None:
        self._context = context
        self.number, self.own_header = number, own_header
        self.next_round = first_round
        self.answered_by: set[str] = set()  # voters that have answered at all
        self.asked_to_accept = False  # whether a voter may have accepted the own header
        self.nothing_to_finish = False  # no voter has accepted a value and there is no own header
        self.chosen: Header | None = None
        self.due_ns = 0
        self._ballot: Ballot | None = None  # None: waiting to start the next ballot
        self._promises: dict[str, Promise] = {}
        self._value: Header | None = None  # the proposed value; set in phase two
        self._holder = ""  # the address of a scheduler that has the body of the value
        self._accepted_by: set[str] = set()
        self._rejections = 0

    def _is_current_ballot(self, number: int, ballot: Ballot) -> bool:
        return number == self.number and ballot == self._ballot and self.chosen is None

    def tick(self, now: int) -> None:
        if now < self.due_ns or self.chosen is not None or self.nothing_to_finish:
            return
        if self._ballot is None:
            self._ballot = Ballot(self.next_round, self._context.proposer_id)
            self.next_round += 1
            self._promises.clear()
            self._accepted_by.clear()
            self._value = None
        self._send_requests(now)

    def _send_requests(self, now: int) -> None:
        """Send the request of the current phase to the voters that have not answered it."""
        ballot = self._ballot
        assert ballot is not None
        self.due_ns = now + self._context.draw_delay_ns(*RESEND_NS)
        own_address = self._context.settings.address
        for voter in self._context.settings.voters:
            if self._value is None and voter not in self._promises:
                self._context.send(voter, Prepare(self.number, ballot, own_address))
            elif self._value is not None and voter not in self._accepted_by:
                self._context.send(voter, Accept(ballot, self._value, own_address, self._holder))

    def on_promise(self, now: int, promise: Promise) -> None:
        settings = self._context.settings
        if promise.voter not in settings.voters or not self._is_current_ballot(
            promise.number, promise.ballot
        ):
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
            highest = max(accepted, key=lambda each: each.accepted or Ballot(0, 0))
            self._value, self._holder = highest.header, highest.voter
        else:
            self._value, self._holder = self.own_header, self._context.settings.address
        if self._value is None:
            self.nothing_to_finish = True
            return
        self.asked_to_accept = self.asked_to_accept or self._value == self.own_header
        self._send_requests(now)

    def on_accepted(self, accepted: Accepted) -> None:
        settings = self._context.settings
        if accepted.voter not in settings.voters or not self._is_current_ballot(
            accepted.number, accepted.ballot
        ):
            return
        self.answered_by.add(accepted.voter)
        if self._value is None:
            return
        self._accepted_by.add(accepted.voter)
        if len(self._accepted_by) >= settings.majority:
            self.chosen = self._value

    def on_rejected(self, now: int, rejected: Rejected) -> None:
        """Another proposer has a higher ballot: back off, then retry with a still higher one."""
        if not self._is_current_ballot(rejected.number, rejected.ballot):
            return
        self.next_round = max(self.next_round, rejected.promised.round + 1)
        self._ballot = None
        self._rejections += 1
        min_ns, max_ns = BACK_OFF_NS
        self.due_ns = now + (
            self._context.draw_delay_ns(min_ns, max_ns) << min(self._rejections - 1, BACK_OFF_DOUBLINGS)
        )
