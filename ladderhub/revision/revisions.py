"""The revision decisions of one scheduler: takes events and returns actions."""

from __future__ import annotations

from ladderhub.revision.activation import Activation
from ladderhub.revision.bodies import BodyCache, Downloads, send_pieces
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

MAX_TICK_INTERVAL_NS = 500 * MS
PAUSE_THRESHOLD_NS = 2 * S  # a longer gap between two events means that this process was paused
MIN_WAIT_NS = 5 * MS
INITIAL_PROPOSAL_STEP_NS = 300 * MS  # each voter waits so much longer than the one before it
INITIAL_PROPOSAL_RETRY_NS = (3 * S, 6 * S)
INITIAL_REASON = "the settings file"
EXTRA_BODY_SOURCES = 2  # random members, besides the voters and the source of the header


class Revisions:
    """Decides for one life of a scheduler.  The first event is a `Tick`."""

    def __init__(self, settings: RevisionSettings, stored: Record | None, seed: int) -> None:
        self.settings = settings
        self._context = context = Context(settings, seed)
        self._ledger = ledger = Ledger(context, stored)
        self._bodies = BodyCache()
        self._downloads = Downloads(context, self._bodies)
        self._opinions = Opinions(context, self._downloads)
        self._requests = Requests(context, self._bodies, self._opinions)
        self._proposer = Proposer(context, ledger, self._requests)
        self._voter = Voter(context, ledger)
        self._sync = Sync(context, ledger)
        self._confirmation = Confirmation(context, ledger, self._sync)
        self._catch_up = CatchUp(context, ledger, self._sync, self._confirmation)
        self._activation = Activation(context, ledger, self._opinions)
        self._initial_digest = body_digest(settings.initial_body)
        self._propose_initial_ns: int | None = None  # when to propose the settings file
        self._file_reported = False
        self._last_event_ns: int | None = None
        self._timer_ns = 0  # the time of the last `WakeAt`

    # --- queries ----------------------------------------------------------------------------------------

    def head(self, now_ns: int) -> Head:
        """Return the head to send with every frame to a peer."""
        return self._confirmation.head(now_ns)

    def is_stale(self, now_ns: int) -> bool:
        """Return whether decisions must be held, also after a pause that no event has reported yet."""
        paused = self._last_event_ns is None or now_ns - self._last_event_ns > PAUSE_THRESHOLD_NS
        return paused or self._catch_up.hold_reason is not None

    def status(self, now_ns: int) -> Status:
        ledger, head = self._ledger, self._ledger.head
        file_differs = head is not None and head.body != self._initial_digest
        return Status(
            head, ledger.head_digest, self._activation.active, self._confirmation.age_ns(now_ns),
            self._catch_up.hold_reason, self._activation.fault, file_differs, tuple(ledger.headers),
        )  # fmt: skip

    def body_of(self, header: Header) -> bytes | None:
        """Return the body of a revision, or None if it is not kept here."""
        return self._find_body(header.body)

    # --- events -----------------------------------------------------------------------------------------

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        context = self._context
        context.actions = []
        self._detect_pause(now_ns)
        if isinstance(event, MessageReceived):
            self._on_message(now_ns, event.name, event.message)
        elif isinstance(event, HeadSeen):
            self._sync.on_head(now_ns, event.address, event.head)
            self._confirmation.on_head(now_ns, event.head)
        elif isinstance(event, BodyChecked):
            self._opinions.on_checked(now_ns, event.digest, event.fault)
            self._requests.on_own_opinion(event.digest)
        elif isinstance(event, MembersChanged):
            own_name = self.settings.name
            context.addresses = {name: at for name, at in event.addresses.items() if name != own_name}
        elif isinstance(event, Apply):
            self._on_apply(now_ns, event)
        self._tick(now_ns)
        self._handle_own_messages(now_ns)
        self._progress(now_ns)
        self._ledger.store()
        self._set_timer(now_ns, isinstance(event, Tick))
        return context.actions

    def _detect_pause(self, now: int) -> None:
        last, self._last_event_ns = self._last_event_ns, now
        if last is None:
            self._voter.start()
            self._catch_up.start(now, "started")
        elif now - last > PAUSE_THRESHOLD_NS:
            self._requests.postpone(now - last)
            self._catch_up.start(now, f"stood still for {(now - last) / S:.1f} s")

    def _on_apply(self, now: int, apply: Apply) -> None:
        ledger, parent = self._ledger, apply.parent
        if parent is not None and parent != ledger.head_digest and not self._may_become_known(parent):
            self._context.actions.append(
                Answer(apply.request_id, StaleParent(ledger.head, ledger.head_digest))
            )
        else:
            self._requests.add(now, apply)

    def _may_become_known(self, parent: bytes) -> bool:
        """Return whether this may be the digest of a newer revision that is not known here yet."""
        behind = (
            self._sync.newest_seen_number() > self._ledger.head_number
            or self._catch_up.hold_reason is not None
        )
        return behind and parent not in self._ledger.digests

    def _handle_own_messages(self, now: int) -> None:
        """Handle the messages that this scheduler has sent to itself."""
        inbox = self._context.inbox
        while inbox:
            self._on_message(now, self.settings.name, inbox.popleft())

    def _tick(self, now: int) -> None:
        self._requests.tick(now)
        self._downloads.tick(now)
        self._sync.tick(now)
        if self._proposer.instance is not None:
            self._proposer.instance.tick(now)
        if (
            self._confirmation.is_voter
            and self._catch_up.hold_reason is None
            and now >= self._confirmation.due_ns
        ):
            self._confirmation.start_round(now)
            self._confirmation.ask_heads(0)

    def _progress(self, now: int) -> None:
        """Take all steps that are possible with the current state."""
        while True:
            instance = self._proposer.instance
            if instance is not None and instance.chosen is not None:
                self._on_decided(now, instance.chosen)
            self._activation.progress()
            self._propose_initial(now)
            self._proposer.progress(now, self._confirmation.age_ns(now))
            if self._proposer.instance is None or self._proposer.instance is instance:
                break
            self._proposer.instance.tick(now)
            self._handle_own_messages(now)  # a single voter decides at once
        self._catch_up.progress(now, self._activation.is_settled())
        self._report_file_difference()

    def _set_timer(self, now: int, timer_fired: bool) -> None:
        """Reset the timer if it has fired or has to fire earlier; firing too early is harmless."""
        due = self._next_due_ns(now)
        if timer_fired or due < self._timer_ns or now >= self._timer_ns:
            self._timer_ns = due
            self._context.actions.append(WakeAt(due))

    def _next_due_ns(self, now: int) -> int:
        parts = (self._requests, self._downloads, self._sync, self._proposer, self._catch_up)
        due = [each for each in (part.due_ns() for part in parts) if each is not None]
        if self._confirmation.is_voter:
            due.append(self._confirmation.due_ns)
        if self._propose_initial_ns is not None:
            due.append(self._propose_initial_ns)
        return max(now + MIN_WAIT_NS, min([now + MAX_TICK_INTERVAL_NS, *due]))

    # --- messages ---------------------------------------------------------------------------------------

    def _on_message(self, now: int, name: str, message: RevisionMessage) -> None:
        address = self._context.addresses.get(name, "")
        if isinstance(message, Headers):
            if self._sync.on_headers(now, address, message):
                self._on_head_changed(now, address, ())
        elif isinstance(message, FetchHeaders):
            self._sync.on_fetch(message)
        elif isinstance(message, FetchPieces):
            send_pieces(self._context, self._bodies, self._find_body(message.body), message)
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
        instance = self._proposer.instance
        if isinstance(message, Prepare):
            already_chosen = self._send_chosen(message.number, message.reply_to)
            if not already_chosen and self._voter.may_start_ballot(message.number):
                self._voter.on_prepare(message)
        elif isinstance(message, Accept):
            header = message.header
            if header_fits(header) and not self._send_chosen(header.number, message.reply_to):
                self._on_accept(now, message)
        elif instance is None:
            return
        elif isinstance(message, Promise):
            if message.header is None or header_fits(message.header):
                instance.on_promise(now, message)
        elif isinstance(message, Accepted):
            instance.on_accepted(message)
        else:
            instance.on_rejected(now, message)

    def _send_chosen(self, number: int, address: str) -> bool:
        """Send the chosen headers to a proposer if its number is already decided; return whether it is."""
        if number > self._ledger.head_number:
            return False
        self._sync.on_fetch(FetchHeaders(number, address))
        return True

    def _on_accept(self, now: int, accept: Accept) -> None:
        digest = accept.header.body
        self._voter.on_accept(accept, self._find_body(digest))
        if self._voter.pending_accept is accept:
            sources = (*self.settings.voters, accept.reply_to, accept.holder)
            self._downloads.fetch(now, digest, sources, now + 5 * S)

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
        head, pending = self._ledger.head, self._voter.pending_accept
        if head is not None and head.body == digest:
            self._ledger.set_head_body(body)
        if pending is not None and pending.header.body == digest:
            self._voter.on_accept(pending, body)
        self._opinions.on_body(digest, body)

    # --- chosen revisions -------------------------------------------------------------------------------

    def _on_decided(self, now: int, header: Header) -> None:
        """Record the value that a ballot of this scheduler has chosen."""
        self._confirmation.confirm(now)
        if self._ledger.extends_head(header):
            self._ledger.record_chosen(header)
            others = tuple(each for each in self.settings.voters if each != self.settings.address)
            self._on_head_changed(now, "", others)

    def _on_head_changed(self, now: int, source: str, to: tuple[str, ...]) -> None:
        """Handle a new head received from `source`; push it to `to` and some other members."""
        head = self._ledger.head
        assert head is not None
        self._context.notify(Notice.CHOSEN, f"revision {head.number} by {head.author}: {head.reason}")
        self._confirmation.confirm_if_majority()
        self._activation.on_head_changed()
        self._sync.push(now, to)
        body = self._find_body(head.body)
        if body is not None:
            self._ledger.set_head_body(body)
            self._downloads.cancel_all_except(set())
            return
        self._downloads.cancel_all_except({head.body})
        extra = self._context.sample(EXTRA_BODY_SOURCES)
        sources = [*self.settings.voters, *extra, *([source] if source else [])]
        self._downloads.fetch(now, head.body, sources)

    # --- the first revision -----------------------------------------------------------------------------

    def _propose_initial(self, now: int) -> None:
        """Propose the settings file if nothing is chosen; voters do so one after the other."""
        votes_from = self._ledger.votes_from
        if self._ledger.head is not None or votes_from != 1 or not self._confirmation.is_voter:
            self._propose_initial_ns = None
            return
        if not self._confirmation.has_majority() and self._propose_initial_ns is None:
            return
        if self._propose_initial_ns is None:
            rank = self.settings.voters.index(self.settings.address)
            self._propose_initial_ns = now + rank * INITIAL_PROPOSAL_STEP_NS
        if now >= self._propose_initial_ns and not self._requests.waiting:
            self._propose_initial_ns = now + self._context.draw_delay_ns(*INITIAL_PROPOSAL_RETRY_NS)
            body, name = self.settings.initial_body, self.settings.name
            self._requests.add_initial(now, Apply(0, None, name, INITIAL_REASON, 0, body))

    def _report_file_difference(self) -> None:
        """Report, once in a life, that the settings file differs from the head."""
        head = self._ledger.head
        if self._file_reported or head is None or self._catch_up.hold_reason is not None:
            return
        self._file_reported = True
        if head.body != self._initial_digest:
            numbers = [each.number for each in self._ledger.headers if each.body == self._initial_digest]
            matching = f"revision {numbers[-1]}" if numbers else "no revision that is known here"
            self._context.notify(
                Notice.FILE_DIFFERS,
                f"the settings file matches {matching}; revision {head.number} is in force",
            )
