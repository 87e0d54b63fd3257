"""Carries out the actions of the revision decisions: messages and a timer here, all others by the host."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ladderhub.loop import Timer
from ladderhub.peers.transport import PeerTransport
from ladderhub.revision import (
    Activate, Answer, CheckBody, HeadSeen, Hold, MembersChanged, Notify, Record, Resume, Revision, Revisions,
    Send, Store, Tick, WakeAt,
)  # fmt: skip
from ladderhub.revision.messages import Head
from ladderhub.revision.types import Action, BodyChecked, Event, Notice, Outcome

STORE_RETRY_NS = 500_000_000


class RevisionHost(Protocol):
    """The operations that a scheduler provides for the revision decisions."""

    def store(self, record: Record) -> None:
        """Replace the record on disk before returning; raises OSError on failure."""

    def check_body(self, body: bytes) -> str | None:
        """Return why this scheduler can't act by the body, or None if it can."""

    def activate(self, revision: Revision) -> None:
        """Act by this revision from now on."""

    def answer(self, request_id: int, outcome: Outcome) -> None:
        """Answer an operator's request with its outcome."""

    def hold(self, reason: str) -> None:
        """Make no decisions on new jobs until `resume`."""

    def resume(self) -> None:
        """Make decisions again."""

    def notify(self, notice: Notice, text: str) -> None:
        """Log a notice."""


class RevisionExecutor:
    """Connects the revision decisions with the peers and the host.

    While a record could not be stored, later messages are dropped as if the network had lost them, and all
    other later actions are deferred until the record is stored."""

    def __init__(self, peers: PeerTransport, revisions: Revisions, host: RevisionHost) -> None:
        self._peers, self._revisions, self._host = peers, revisions, host
        self._dispatch: Callable[[Event], None] = _not_joined
        self.heads: dict[str, tuple[Head, int]] = {}  # last head and time of arrival, by member
        self._tick_timer: Timer | None = None
        self._store_timer: Timer | None = None
        self._unsaved_record: Record | None = None  # to be stored again
        self._deferred_actions: deque[Action] = deque()  # until that record is stored

    def join(self, dispatch: Callable[[Event], None]) -> None:
        """Start; `dispatch` passes events to the revision decisions."""
        self._dispatch = dispatch
        peers, loop = self._peers, self._peers.loop
        peers.tell_revisions = self._on_event
        peers.get_head = lambda: self._revisions.head(loop.now_ns())
        peers.on_members = self._on_members
        self._on_members()
        dispatch(Tick())

    def _on_event(self, event: Event, sender: str) -> None:
        if isinstance(event, HeadSeen):
            self.heads[sender] = (event.head, self._peers.loop.now_ns())
        self._dispatch(event)

    def _on_members(self) -> None:
        addresses = {entry.name: entry.address for entry in self._peers.view.members()}
        self.heads = {name: seen for name, seen in self.heads.items() if name in addresses}
        self._dispatch(MembersChanged(addresses))

    # --- as an action executor --------------------------------------------------------------------------

    def execute(self, now_ns: int, action: Action) -> None:
        if isinstance(action, WakeAt):
            if self._tick_timer is not None:
                self._tick_timer.cancel()
            self._tick_timer = self._peers.loop.call_at(action.at_ns, self._peers.call_when_read, self._tick)
        elif isinstance(action, Store):
            self._unsaved_record = action.record
            self._store()
        elif self._unsaved_record is None:
            self._execute_now(action)
        elif not isinstance(action, Send):
            self._deferred_actions.append(action)

    def _tick(self) -> None:
        self._dispatch(Tick())

    def on_handled(self, event: Event) -> None:
        return

    def _store(self) -> None:
        """Store the last record, which supersedes earlier ones, and then execute the deferred actions."""
        record = self._unsaved_record
        if record is None:
            return
        try:
            self._host.store(record)
        except OSError:
            if self._store_timer is None:
                self._store_timer = self._peers.loop.call_later(STORE_RETRY_NS, self._retry_store)
            return
        self._unsaved_record = None
        while self._deferred_actions:
            self._execute_now(self._deferred_actions.popleft())

    def _retry_store(self) -> None:
        self._store_timer = None
        self._store()

    def _execute_now(self, action: Action) -> None:
        host = self._host
        match action:
            case Send(address, message):
                self._peers.send(address, message)
            case CheckBody(digest, body):
                self._dispatch(BodyChecked(digest, host.check_body(body)))
            case Activate(revision):
                host.activate(revision)
            case Answer(request_id, outcome):
                host.answer(request_id, outcome)
            case Hold(reason):
                host.hold(reason)
            case Resume():
                host.resume()
            case Notify(notice, text):
                host.notify(notice, text)

    def close(self) -> None:
        for timer in (self._tick_timer, self._store_timer):
            if timer is not None:
                timer.cancel()
        self._peers.tell_revisions = self._peers.get_head = self._peers.on_members = None


def _not_joined(event: Event) -> None:
    raise RuntimeError("event before RevisionExecutor.join")
