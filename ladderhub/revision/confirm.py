"""How old what we know may be, and holding decisions until that is settled after a start or a pause.

A round asks for heads; once a majority of the voters has answered and none knew a newer one, ours was the
newest when the round began.  Voters ask each other each second; how long ago a majority was heard rides with
the head on every frame, so all others know it without asking."""

from __future__ import annotations

from ladderhub.revision.content import shorten
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import AskHead, Head, HeadIs
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import MS, Hold, Notice, Resume, S

ROUND_NS = 1 * S  # between rounds of a voter
ASK_AGAIN_NS = 100 * MS  # within a round, while decisions are held
ASKED_BESIDE = 3  # members asked beside the voters after a start or a pause
REACH_NS = 1 * S  # so long a majority is waited for where somebody else has answered
ALONE_NS = 3 * S  # so long anybody is waited for
AGE_UNKNOWN_MS = (1 << 31) - 1


class Confirmation:
    """Rounds of questions, and when a majority last confirmed our head."""

    def __init__(self, context: Context, ledger: Ledger, sync: Sync) -> None:
        self._context, self._ledger, self._sync = context, ledger, sync
        settings = context.settings
        self.is_voter = settings.address in settings.voters
        self.confirmed_ns: int | None = None  # then a majority knew of nothing newer than our head
        self._nonce = -1
        self._begun_ns = 0
        self.voters_heard: dict[str, int] = {}  # of this round, and their heads
        self.anybody_heard = False
        self.due_ns = 0

    def begin(self, now: int) -> None:
        """A new round; answers to the one before count no more."""
        self._nonce, self._begun_ns = self._context.nonce(), now
        self.voters_heard.clear()
        self.anybody_heard = False
        if self.is_voter and self._ledger.votes_from is not None:
            self.voters_heard[self._context.settings.address] = self._ledger.head_number
        self.due_ns = now + ROUND_NS
        self.settle()

    def ask(self, beside: int) -> None:
        """Ask the voters that have not answered, and some others.

        While nothing is chosen all are asked: whether they may vote on the first revision changes soon."""
        context, mine = self._context, self._context.settings.address
        heard = self.voters_heard if self._ledger.head is not None else ()
        voters = [each for each in context.settings.voters if each not in heard]
        for address in [*voters, *context.sample(beside, context.settings.voters)]:
            if address != mine:
                context.send(address, AskHead(self._nonce, mine))

    def on_head_is(self, now: int, answer: HeadIs) -> bool:
        """True where it is an answer to this round."""
        if answer.nonce != self._nonce:
            return False
        self.anybody_heard = True
        self._sync.note(now, answer.sender, answer.number)
        if answer.sender in self._context.settings.voters:
            self.voters_heard[answer.sender] = answer.number
            self.settle()
        return True

    def heard_majority(self) -> bool:
        return len(self.voters_heard) >= self._context.settings.majority

    def settle(self) -> None:
        """Has a majority answered, and none of it with a newer head than ours is by now?"""
        newest = max(self.voters_heard.values(), default=0)
        if self.heard_majority() and newest <= self._ledger.head_number:
            self.confirm(self._begun_ns)

    def confirm(self, at_ns: int) -> None:
        if self.confirmed_ns is None or at_ns > self.confirmed_ns:
            self.confirmed_ns = at_ns

    def on_head(self, now: int, head: Head) -> None:
        """A peer says how long ago a majority knew of nothing newer than its head, nor then than ours."""
        ledger = self._ledger
        if head.age_ms == AGE_UNKNOWN_MS or head.number > ledger.head_number:
            return
        known = ledger.digest_at(head.number)
        if known is None or shorten(known) == head.digest:
            self.confirm(now - head.age_ms * MS)

    def age_ns(self, now: int) -> int | None:
        return None if self.confirmed_ns is None else max(0, now - self.confirmed_ns)

    def head(self, now: int) -> Head:
        """What rides on every frame."""
        age = self.age_ns(now)
        age_ms = AGE_UNKNOWN_MS if age is None else min(age // MS, AGE_UNKNOWN_MS - 1)
        return Head(self._ledger.head_number, shorten(self._ledger.head_digest), age_ms)


class CatchUp:
    """Holds decisions after a start or a pause until we know what is in force, if anybody is reached."""

    def __init__(self, context: Context, ledger: Ledger, sync: Sync, confirmation: Confirmation) -> None:
        self._context, self._ledger, self._sync = context, ledger, sync
        self._confirmation = confirmation
        self.reason: str | None = None  # while decisions are held
        self._begun_ns = 0
        self._ask_ns = 0

    def begin(self, now: int, reason: str) -> None:
        if self.reason is None:
            self._context.actions.append(Hold(reason))
        self.reason = reason
        self._begun_ns = now
        self._confirmation.begin(now)
        self._ask(now)

    def _ask(self, now: int) -> None:
        self._ask_ns = now + ASK_AGAIN_NS
        self._confirmation.ask(ASKED_BESIDE)

    def progress(self, now: int, settled: bool) -> None:
        """`settled`: what is known to be chosen is acted by, or known not to be possible here."""
        if self.reason is None:
            return
        confirmation, spent = self._confirmation, now - self._begun_ns
        caught_up = settled and self._sync.newest_seen() <= self._ledger.head_number
        if caught_up and confirmation.heard_majority():
            self._end(Notice.CAUGHT_UP, f"a majority confirms revision {self._ledger.head_number}")
        elif caught_up and confirmation.anybody_heard and spent >= REACH_NS:
            self._end(Notice.BEHIND, self._by_age(now, "no majority of the voters answers"))
        elif spent >= ALONE_NS:
            self._end(Notice.BEHIND, self._by_age(now, self._why_late()))
        elif now >= self._ask_ns:
            self._ask(now)

    def _why_late(self) -> str:
        if not self._confirmation.anybody_heard:
            return "nobody answers"
        return "no revision is chosen yet" if self._ledger.head is None else "not all is fetched"

    def _by_age(self, now: int, why: str) -> str:
        age = self._confirmation.age_ns(now)
        told = "not in this life" if age is None else f"{age / S:.1f} s ago"
        return f"{why}; revision {self._ledger.head_number}, last confirmed by a majority: {told}"

    def _end(self, notice: Notice, text: str) -> None:
        self.reason = None
        self._context.actions.append(Resume())
        self._context.tell(notice, text)

    def due_ns(self) -> int | None:
        return None if self.reason is None else min(self._ask_ns, self._begun_ns + ALONE_NS)
