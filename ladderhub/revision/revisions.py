"""One scheduler's part in the revisions of the fleet: hears events, gives actions."""

from __future__ import annotations

from ladderhub.revision.activation import Activation
from ladderhub.revision.bodies import Bodies, Downloads, offer_pieces
from ladderhub.revision.confirm import CatchUp, Confirmation
from ladderhub.revision.content import body_digest, header_fits
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import (
    Accept, Accepted, AskHead, FetchHeaders, FetchPieces, Head, Header, HeadIs, Headers, Lacking, Opinion,
    Piece, Prepare, Promise, Proposal, Rejected, RevisionMessage,
)  # fmt: skip
from ladderhub.revision.opinions import Opinions
from ladderhub.revision.proposer import Proposer
from ladderhub.revision.requests import Requests
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import (
    MS, Action, Answer, Apply, BodyChecked, Event, HeadSeen, MembersChanged, MessageReceived, Notice, Record,
    RevisionSettings, S, StaleParent, Status, Tick, WakeAt,
)  # fmt: skip
from ladderhub.revision.voter import Voter

IDLE_NS = 500 * MS  # the longest span between two ticks
PAUSE_NS = 2 * S  # a longer one between two events: this scheduler stood still
LEAST_WAIT_NS = 5 * MS
FIRST_STEP_NS = 300 * MS  # by which voters wait for each other, in their order, to propose the first
FIRST_AGAIN_NS = (3 * S, 6 * S)
FIRST_REASON = "the settings file"
BODY_SOURCES = 2  # members drawn to fetch a body from, beside whoever told of it


class Revisions:
    """Decides for one life of one scheduler.  The first event is a `Tick`."""

    def __init__(self, settings: RevisionSettings, stored: Record | None, seed: int) -> None:
        self.settings = settings
        self._context = context = Context(settings, seed)
        self._ledger = ledger = Ledger(context, stored)
        self._bodies = Bodies()
        self._downloads = Downloads(context, self._bodies)
        self._opinions = Opinions(context, self._downloads)
        self._requests = Requests(context, self._bodies, self._opinions)
        self._proposer = Proposer(context, ledger, self._requests)
        self._voter = Voter(context, ledger)
        self._sync = Sync(context, ledger)
        self._confirmation = Confirmation(context, ledger, self._sync)
        self._catch_up = CatchUp(context, ledger, self._sync, self._confirmation)
        self._activation = Activation(context, ledger, self._opinions)
        self._first_digest = body_digest(settings.initial_body)
        self._first_ns: int | None = None  # when to propose the settings file
        self._file_told = False
        self._last_ns: int | None = None  # of the last event
        self._wake_ns = 0  # the moment asked for last

    # --- for whoever asks -------------------------------------------------------------------------------

    def head(self, now_ns: int) -> Head:
        """What rides on every frame to a peer."""
        return self._confirmation.head(now_ns)

    def is_stale(self, now_ns: int) -> bool:
        """Must nothing be decided now?  Also true, before any event says so, after a pause of our own."""
        late = self._last_ns is None or now_ns - self._last_ns > PAUSE_NS
        return late or self._catch_up.reason is not None

    def status(self, now_ns: int) -> Status:
        ledger, head = self._ledger, self._ledger.head
        differs = head is not None and head.body != self._first_digest
        return Status(
            head, ledger.head_digest, self._activation.acting, self._confirmation.age_ns(now_ns),
            self._catch_up.reason, self._activation.fault, differs, tuple(ledger.headers),
        )  # fmt: skip

    def body_of(self, header: Header) -> bytes | None:
        """The body of a revision, where it is still kept here."""
        return self._find_body(header.body)

    # --- events -----------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event and give the actions it calls for."""
        context = self._context
        context.actions = []
        self._watch_clock(now_ns)
        if isinstance(event, MessageReceived):
            self._on_message(now_ns, event.name, event.message)
        elif isinstance(event, HeadSeen):
            self._sync.on_head(now_ns, event.address, event.head)
            self._confirmation.on_head(now_ns, event.head)
        elif isinstance(event, BodyChecked):
            self._opinions.on_checked(now_ns, event.digest, event.fault)
            self._requests.on_own_opinion(event.digest)
        elif isinstance(event, MembersChanged):
            mine = self.settings.name
            context.addresses = {name: at for name, at in event.addresses.items() if name != mine}
        elif isinstance(event, Apply):
            self._on_apply(now_ns, event)
        self._tick(now_ns)
        self._drain(now_ns)
        self._progress(now_ns)
        self._ledger.store()
        self._wake(now_ns, isinstance(event, Tick))
        return context.actions

    def _watch_clock(self, now: int) -> None:
        last, self._last_ns = self._last_ns, now
        if last is None:
            self._voter.start()
            self._catch_up.begin(now, "started")
        elif now - last > PAUSE_NS:
            self._requests.shift(now - last)
            self._catch_up.begin(now, f"stood still for {(now - last) / S:.1f} s")

    def _on_apply(self, now: int, apply: Apply) -> None:
        ledger, parent = self._ledger, apply.parent
        if parent is not None and parent != ledger.head_digest and not self._may_follow(parent):
            self._context.actions.append(
                Answer(apply.request_id, StaleParent(ledger.head, ledger.head_digest))
            )
        else:
            self._requests.add(now, apply)

    def _may_follow(self, parent: bytes) -> bool:
        """Could this be the digest of a revision that we are about to learn of?"""
        behind = self._sync.newest_seen() > self._ledger.head_number or self._catch_up.reason is not None
        return behind and parent not in self._ledger.digests

    def _drain(self, now: int) -> None:
        """What we said to ourselves."""
        inbox = self._context.inbox
        while inbox:
            self._on_message(now, self.settings.name, inbox.popleft())

    def _tick(self, now: int) -> None:
        self._requests.tick(now)
        self._downloads.tick(now)
        self._sync.tick(now)
        if self._proposer.decision is not None:
            self._proposer.decision.tick(now)
        if self._confirmation.is_voter and self._catch_up.reason is None and now >= self._confirmation.due_ns:
            self._confirmation.begin(now)
            self._confirmation.ask(0)

    def _progress(self, now: int) -> None:
        """All that follows from what is known now."""
        while True:
            decision = self._proposer.decision
            if decision is not None and decision.chosen is not None:
                self._on_decided(now, decision.chosen)
            self._activation.progress()
            self._propose_first(now)
            self._proposer.progress(now, self._confirmation.age_ns(now))
            if self._proposer.decision is None or self._proposer.decision is decision:
                break
            self._proposer.decision.tick(now)
            self._drain(now)  # a single voter decides at once
        self._catch_up.progress(now, self._activation.is_settled())
        self._tell_file()

    def _wake(self, now: int, woken: bool) -> None:
        """A moment that comes too early does no harm: the timer is set anew only for an earlier one."""
        due = self._next_ns(now)
        if woken or due < self._wake_ns or now >= self._wake_ns:
            self._wake_ns = due
            self._context.actions.append(WakeAt(due))

    def _next_ns(self, now: int) -> int:
        parts = (self._requests, self._downloads, self._sync, self._proposer, self._catch_up)
        due = [each for each in (part.due_ns() for part in parts) if each is not None]
        if self._confirmation.is_voter:
            due.append(self._confirmation.due_ns)
        if self._first_ns is not None:
            due.append(self._first_ns)
        return max(now + LEAST_WAIT_NS, min([now + IDLE_NS, *due]))

    # --- messages ---------------------------------------------------------------------------------------

    def _on_message(self, now: int, name: str, message: RevisionMessage) -> None:
        address = self._context.addresses.get(name, "")
        if isinstance(message, Headers):
            if self._sync.on_headers(now, address, message):
                self._on_head_changed(now, address, ())
        elif isinstance(message, FetchHeaders):
            self._sync.on_fetch(message)
        elif isinstance(message, FetchPieces):
            offer_pieces(self._context, self._bodies, self._find_body(message.body), message)
        elif isinstance(message, Piece):
            self._on_piece(now, message)
        elif isinstance(message, Lacking):
            self._downloads.on_lacking(now, message)
        elif isinstance(message, AskHead):
            head = HeadIs(
                message.nonce, self.settings.address, self._ledger.head_number, self._voter.accepted_number()
            )
            self._context.send(message.reply_to, head)
        elif isinstance(message, HeadIs):
            if self._confirmation.on_head_is(now, message):
                self._voter.on_head_is(message)
        elif isinstance(message, Proposal):
            self._opinions.on_proposal(now, message, self._find_body(message.body))
        elif isinstance(message, Opinion):
            self._requests.on_opinion(name, message)
        else:
            self._on_ballot(now, message)

    def _on_ballot(self, now: int, message: Prepare | Accept | Promise | Accepted | Rejected) -> None:
        decision = self._proposer.decision
        if isinstance(message, Prepare):
            told = self._tell_chosen(message.number, message.reply_to)
            if not told and self._voter.may_begin(message.number):
                self._voter.on_prepare(message)
        elif isinstance(message, Accept):
            header = message.header
            if header_fits(header) and not self._tell_chosen(header.number, message.reply_to):
                self._on_accept(now, message)
        elif decision is None:
            return
        elif isinstance(message, Promise):
            if message.header is None or header_fits(message.header):
                decision.on_promise(now, message)
        elif isinstance(message, Accepted):
            decision.on_accepted(message)
        else:
            decision.on_rejected(now, message)

    def _tell_chosen(self, number: int, address: str) -> bool:
        """To a proposer that does not know yet what was chosen for its number."""
        if number > self._ledger.head_number:
            return False
        self._sync.on_fetch(FetchHeaders(number, address))
        return True

    def _on_accept(self, now: int, accept: Accept) -> None:
        digest = accept.header.body
        self._voter.on_accept(accept, self._find_body(digest))
        if self._voter.waiting is accept:
            sources = (*self.settings.voters, accept.reply_to, accept.holder)
            self._downloads.want(now, digest, sources, now + 5 * S)

    # --- bodies -----------------------------------------------------------------------------------------

    def _find_body(self, digest: bytes) -> bytes | None:
        found = self._ledger.find_body(digest)
        if found is None:
            found = self._requests.find_body(digest)
        return self._bodies.get(digest) if found is None else found

    def _on_piece(self, now: int, piece: Piece) -> None:
        digest = self._downloads.on_piece(now, piece)
        body = self._bodies.get(digest) if digest is not None else None
        if digest is None or body is None:
            return
        head, waiting = self._ledger.head, self._voter.waiting
        if head is not None and head.body == digest:
            self._ledger.put_body(body)
        if waiting is not None and waiting.header.body == digest:
            self._voter.on_accept(waiting, body)
        self._opinions.on_body(digest, body)

    # --- what is chosen ---------------------------------------------------------------------------------

    def _on_decided(self, now: int, header: Header) -> None:
        """Our ballot has its majority."""
        self._confirmation.confirm(now)
        if self._ledger.extends_head(header):
            self._ledger.record_chosen(header)
            others = tuple(each for each in self.settings.voters if each != self.settings.address)
            self._on_head_changed(now, "", others)

    def _on_head_changed(self, now: int, source: str, to: tuple[str, ...]) -> None:
        """Our head is new, told by `source`; some of the others, and `to`, hear of it from us."""
        head = self._ledger.head
        assert head is not None
        self._context.tell(Notice.CHOSEN, f"revision {head.number} by {head.author}: {head.reason}")
        self._confirmation.settle()
        self._activation.on_chosen()
        self._sync.push(now, to)
        body = self._find_body(head.body)
        if body is not None:
            self._ledger.put_body(body)
            self._downloads.drop_all_but(set())
            return
        self._downloads.drop_all_but({head.body})
        some = self._context.sample(BODY_SOURCES)
        sources = [*self.settings.voters, *some, *([source] if source else [])]
        self._downloads.want(now, head.body, sources)

    # --- the first revision -----------------------------------------------------------------------------

    def _propose_first(self, now: int) -> None:
        """A voter that finds nothing chosen proposes its settings file, each later than those before it."""
        votes_from = self._ledger.votes_from
        if self._ledger.head is not None or votes_from != 1 or not self._confirmation.is_voter:
            self._first_ns = None
            return
        if not self._confirmation.heard_majority() and self._first_ns is None:
            return
        if self._first_ns is None:
            rank = self.settings.voters.index(self.settings.address)
            self._first_ns = now + rank * FIRST_STEP_NS
        if now >= self._first_ns and not self._requests.waiting:
            self._first_ns = now + self._context.jitter(*FIRST_AGAIN_NS)
            first, name = self.settings.initial_body, self.settings.name
            self._requests.add_first(now, Apply(0, None, name, FIRST_REASON, 0, first))

    def _tell_file(self) -> None:
        """Once in a life, when it is known: the file is not what is in force."""
        head = self._ledger.head
        if self._file_told or head is None or self._catch_up.reason is not None:
            return
        self._file_told = True
        if head.body != self._first_digest:
            same = [each.number for each in self._ledger.headers if each.body == self._first_digest]
            was = f"revision {same[-1]}" if same else "no revision that is known here"
            self._context.tell(Notice.FILE_DIFFERS, f"the file is {was}; revision {head.number} is in force")
