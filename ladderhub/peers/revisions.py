"""Carries out the actions of the revision decisions: messages and one timer here, the rest by its host."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ladderhub.loop import Timer
from ladderhub.peers.carrier import PeerCarrier
from ladderhub.revision import (
    Activate, Answer, CheckBody, HeadSeen, Hold, MembersChanged, Notify, Record, Resume, Revision, Revisions,
    Send, Store, Tick, WakeAt,
)  # fmt: skip
from ladderhub.revision.messages import Head
from ladderhub.revision.types import Action, BodyChecked, Event, Notice, Outcome

STORE_RETRY_NS = 500_000_000


class RevisionHost(Protocol):
    """What a scheduler does by the revision decisions."""

    def store(self, record: Record) -> None:
        """Keep it in place of the record before, on disk when this returns; OSError where that fails."""

    def check_body(self, body: bytes) -> str | None:
        """What keeps this scheduler from acting by the body, or None."""

    def activate(self, revision: Revision) -> None:
        """Act by it from now on."""

    def answer(self, request: int, outcome: Outcome) -> None:
        """What became of an operator's request."""

    def hold(self, reason: str) -> None:
        """Decide nothing on new jobs until `resume`."""

    def resume(self) -> None:
        """Decide again."""

    def notify(self, notice: Notice, text: str) -> None:
        """For the log."""


class RevisionCarrier:
    """Stands between the revision decisions, the peers and the host.

    Nothing that follows a record that could not be kept is done before it is kept: messages are dropped,
    as if the network had lost them, and all else waits."""

    def __init__(self, peers: PeerCarrier, revisions: Revisions, host: RevisionHost) -> None:
        self._peers, self._revisions, self._host = peers, revisions, host
        self._tell: Callable[[Event], None] = _not_joined
        self.heads: dict[str, tuple[Head, int]] = {}  # by member: the last that it sent, and when
        self._tick_timer: Timer | None = None
        self._store_timer: Timer | None = None
        self._unkept: Record | None = None
        self._waiting: deque[Action] = deque()  # what follows that record

    def join(self, tell: Callable[[Event], None]) -> None:
        """Begin: events go to `tell`, which brings them to the decisions."""
        self._tell = tell
        peers, loop = self._peers, self._peers.loop
        peers.tell_revisions = self._on_event
        peers.get_head = lambda: self._revisions.head(loop.now_ns())
        peers.on_members = self._on_members
        self._on_members()
        tell(Tick())

    def _on_event(self, event: Event, sender: str) -> None:
        if isinstance(event, HeadSeen):
            self.heads[sender] = (event.head, self._peers.loop.now_ns())
        self._tell(event)

    def _on_members(self) -> None:
        addresses = {entry.name: entry.address for entry in self._peers.view.members()}
        self.heads = {name: seen for name, seen in self.heads.items() if name in addresses}
        self._tell(MembersChanged(addresses))

    # --- as a carrier -----------------------------------------------------------------------------------

    def execute(self, now_ns: int, action: Action) -> None:
        if isinstance(action, WakeAt):
            if self._tick_timer is not None:
                self._tick_timer.cancel()
            self._tick_timer = self._peers.loop.call_at(action.at_ns, self._peers.call_when_read, self._tick)
        elif isinstance(action, Store):
            self._unkept = action.record
            self._store()
        elif self._unkept is None:
            self._carry_kept(action)
        elif not isinstance(action, Send):
            self._waiting.append(action)

    def _tick(self) -> None:
        self._tell(Tick())

    def on_handled(self, event: Event) -> None:
        return

    def _store(self) -> None:
        """Each record holds all that those before it held: the last one is enough."""
        record = self._unkept
        if record is None:
            return
        try:
            self._host.store(record)
        except OSError:
            if self._store_timer is None:
                self._store_timer = self._peers.loop.call_later(STORE_RETRY_NS, self._store_again)
            return
        self._unkept = None
        while self._waiting:
            self._carry_kept(self._waiting.popleft())

    def _store_again(self) -> None:
        self._store_timer = None
        self._store()

    def _carry_kept(self, action: Action) -> None:
        host = self._host
        match action:
            case Send(address, message):
                self._peers.send(address, message)
            case CheckBody(digest, body):
                self._tell(BodyChecked(digest, host.check_body(body)))
            case Activate(revision):
                host.activate(revision)
            case Answer(request, outcome):
                host.answer(request, outcome)
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
    raise RuntimeError("the carrier has not joined")
