"""Confirmation of the head by a majority, and holding decisions until that happens after a start or a pause.

In each round the voters are asked for their heads.  Once a majority has answered and none has a newer head,
the head of this scheduler was the newest when the round started.  Voters ask each other once a second.  The
time since the last confirmation is sent with the head on every frame, so other schedulers need not ask."""

from __future__ import annotations

from ladderhub.revision.content import shorten
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import AskHead, Head, HeadIs
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import MS, Hold, Notice, Resume, S

ROUND_NS = 1 * S  # between rounds of a voter
ASK_RETRY_NS = 100 * MS  # within a round, while decisions are held
EXTRA_MEMBERS_ASKED = 3  # other than voters, after a start or a pause
MAJORITY_TIMEOUT_NS = 1 * S  # wait for a majority if some member has answered
CATCH_UP_TIMEOUT_NS = 3 * S  # after which decisions resume in any case
AGE_UNKNOWN_MS = (1 << 31) - 1


class Confirmation:
    """Runs the rounds and keeps the time at which a majority last confirmed the head."""

    def __init__(self, context: Context, ledger: Ledger, sync: Sync) -> None:
        self._context, self._ledger, self._sync = context, ledger, sync
        settings = context.settings
        self.is_voter = settings.address in settings.voters
        self.confirmed_ns: int | None = None  # at that time a majority knew no newer head
        self._nonce = -1
        self._round_started_ns = 0
        self.voter_heads: dict[str, int] = {}  # head numbers in this round, by voter
        self.has_any_answer = False
        self.due_ns = 0

    def start_round(self, now: int) -> None:
        """Start a round; answers to the previous one no longer count."""
        self._nonce, self._round_started_ns = self._context.next_nonce(), now
        self.voter_heads.clear()
        self.has_any_answer = False
        if self.is_voter and self._ledger.votes_from is not None:
            self.voter_heads[self._context.settings.address] = self._ledger.head_number
        self.due_ns = now + ROUND_NS
        self.confirm_if_majority()

    def ask_heads(self, extra_members: int) -> None:
        """Ask the voters that have not answered and some other members for their heads.

        While nothing is chosen all voters are asked, because they may since be able to vote on number 1."""
        context, own_address = self._context, self._context.settings.address
        answered = self.voter_heads if self._ledger.head is not None else ()
        voters = [each for each in context.settings.voters if each not in answered]
        for address in [*voters, *context.sample(extra_members, context.settings.voters)]:
            if address != own_address:
                context.send(address, AskHead(self._nonce, own_address))

    def on_head_is(self, now: int, answer: HeadIs) -> bool:
        """Take an answer; return whether it belongs to this round."""
        if answer.nonce != self._nonce:
            return False
        self.has_any_answer = True
        self._sync.add_source(now, answer.sender, answer.number)
        if answer.sender in self._context.settings.voters:
            self.voter_heads[answer.sender] = answer.number
            self.confirm_if_majority()
        return True

    def has_majority(self) -> bool:
        return len(self.voter_heads) >= self._context.settings.majority

    def confirm_if_majority(self) -> None:
        """Confirm the head if a majority has answered and none of it reported a newer head."""
        newest = max(self.voter_heads.values(), default=0)
        if self.has_majority() and newest <= self._ledger.head_number:
            self.confirm(self._round_started_ns)

    def confirm(self, at_ns: int) -> None:
        if self.confirmed_ns is None or at_ns > self.confirmed_ns:
            self.confirmed_ns = at_ns

    def on_head(self, now: int, head: Head) -> None:
        """Take over the confirmation of a peer whose head is not newer: that majority knew no newer head."""
        ledger = self._ledger
        if head.age_ms == AGE_UNKNOWN_MS or head.number > ledger.head_number:
            return
        known = ledger.digest_at(head.number)
        if known is None or shorten(known) == head.digest:
            self.confirm(now - head.age_ms * MS)

    def age_ns(self, now: int) -> int | None:
        return None if self.confirmed_ns is None else max(0, now - self.confirmed_ns)

    def head(self, now: int) -> Head:
        """Return the head to send with every frame."""
        age = self.age_ns(now)
        age_ms = AGE_UNKNOWN_MS if age is None else min(age // MS, AGE_UNKNOWN_MS - 1)
        return Head(self._ledger.head_number, shorten(self._ledger.head_digest), age_ms)


class CatchUp:
    """Holds decisions after a start or a pause until the current revision is known or a timeout passes."""

    def __init__(self, context: Context, ledger: Ledger, sync: Sync, confirmation: Confirmation) -> None:
        self._context, self._ledger, self._sync = context, ledger, sync
        self._confirmation = confirmation
        self.hold_reason: str | None = None  # while decisions are held
        self._started_ns = 0
        self._next_ask_ns = 0

    def start(self, now: int, reason: str) -> None:
        if self.hold_reason is None:
            self._context.actions.append(Hold(reason))
        self.hold_reason = reason
        self._started_ns = now
        self._confirmation.start_round(now)
        self._ask(now)

    def _ask(self, now: int) -> None:
        self._next_ask_ns = now + ASK_RETRY_NS
        self._confirmation.ask_heads(EXTRA_MEMBERS_ASKED)

    def progress(self, now: int, settled: bool) -> None:
        """End the hold if possible.  `settled`: the head is active, or can't be activated here."""
        if self.hold_reason is None:
            return
        confirmation, elapsed = self._confirmation, now - self._started_ns
        caught_up = settled and self._sync.newest_seen_number() <= self._ledger.head_number
        if caught_up and confirmation.has_majority():
            self._end(Notice.CAUGHT_UP, f"a majority confirms revision {self._ledger.head_number}")
        elif caught_up and confirmation.has_any_answer and elapsed >= MAJORITY_TIMEOUT_NS:
            self._end(Notice.BEHIND, self._describe_age(now, "no majority of the voters answers"))
        elif elapsed >= CATCH_UP_TIMEOUT_NS:
            self._end(Notice.BEHIND, self._describe_age(now, self._describe_delay()))
        elif now >= self._next_ask_ns:
            self._ask(now)

    def _describe_delay(self) -> str:
        if not self._confirmation.has_any_answer:
            return "nobody answers"
        return "no revision is chosen yet" if self._ledger.head is None else "catching up has not finished"

    def _describe_age(self, now: int, why: str) -> str:
        age = self._confirmation.age_ns(now)
        age_text = "not in this life" if age is None else f"{age / S:.1f} s ago"
        return f"{why}; revision {self._ledger.head_number}, last confirmed by a majority: {age_text}"

    def _end(self, notice: Notice, text: str) -> None:
        self.hold_reason = None
        self._context.actions.append(Resume())
        self._context.notify(notice, text)

    def due_ns(self) -> int | None:
        return (
            None
            if self.hold_reason is None
            else min(self._next_ask_ns, self._started_ns + CATCH_UP_TIMEOUT_NS)
        )
