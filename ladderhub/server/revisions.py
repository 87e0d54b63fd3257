"""Revisions of the configuration as a part of the daemon.  Loaded only where the settings name voters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ladderhub.errors import LadderhubError
from ladderhub.pbs.batch import Attr
from ladderhub.peers.revisions import RevisionExecutor
from ladderhub.revision import (
    Apply, Notice, Record, Revision, Revisions, RevisionSettings, Tick, decode_record, encode_record,
)  # fmt: skip
from ladderhub.revision.content import body_digest, digest_of
from ladderhub.revision.messages import Head, Header
from ladderhub.revision.types import Acceptance, Event, NoMajority, Outcome
from ladderhub.server.context import DaemonContext, PolicyRevision
from ladderhub.server.peers import PeerService
from ladderhub.server.settings import encode_policy
from ladderhub.server.spool import SpoolError, write_durably
from ladderhub.usage.processor import Cause

S, MS = 1_000_000_000, 1_000_000
NO_REVISION = 0  # the number of the settings file until it, or another policy, is chosen
_LOGGED_ELSEWHERE = (Notice.CHOSEN, Notice.ACTIVE)  # by what is stored and activated, with more detail
_WORDS = {
    Notice.CANNOT_ACTIVATE: "refused", Notice.FILE_DIFFERS: "file differs",
    Notice.FILE_REFUSED: "file refused", Notice.CONFLICT: "conflict", Notice.SKIPPED: "skipped",
    Notice.BEHIND: "behind", Notice.CAUGHT_UP: "caught up", Notice.NOT_VOTING: "not voting",
    Notice.VOTING: "voting",
}  # fmt: skip
_WARNED = (
    Notice.CANNOT_ACTIVATE, Notice.FILE_DIFFERS, Notice.FILE_REFUSED, Notice.CONFLICT, Notice.BEHIND,
    Notice.NOT_VOTING,
)  # fmt: skip


class RevisionFileError(SpoolError):
    """The record of revisions in the spool folder can't be read."""

    remedy = (
        "remove it: the scheduler then fetches what is in force from its peers, and as a voter asks the "
        "others before it votes; an older copy put back at a voter would vote again on what it has voted on"
    )


class RevisionFile:
    """The record in the spool, whole or not at all."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "revisions"

    def load(self) -> Record | None:
        try:
            return decode_record(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except ValueError as fault:
            raise RevisionFileError(str(fault), where=str(self._path)) from None

    def save(self, record: Record) -> None:
        write_durably(self._path, encode_record(record))


@dataclass(frozen=True, slots=True)
class _Request:
    """An operator's request: the digest of its body in hex, author, time, and who waits for its outcome."""

    body: str
    author: str
    made_ms: int
    answer: Callable[[Outcome], None]


class RevisionService:
    """Carries out what the decisions on revisions say, and tells of it in the log, gauges and the status.

    `record.headers` in what is stored are chosen revisions, so each is logged as it comes to be stored."""

    def __init__(self, context: DaemonContext, peers: PeerService) -> None:
        self._context, self._peers = context, peers
        self._file = RevisionFile(context.folder)
        record = self._file.load()
        own_body = encode_policy(context.settings.file)
        settings = RevisionSettings(context.name, peers.life, peers.address, peers.voters, own_body)
        self.revisions = Revisions(settings, record, context.settings.file.seed)
        context.revision = PolicyRevision(NO_REVISION, body_digest(own_body))
        self._tell: Callable[[Event], None] | None = None
        self._carrier: RevisionExecutor | None = None
        self._waiting: dict[int, _Request] = {}
        self._next_request = 1
        self._logged = record.headers[-1].number if record is not None and record.headers else 0
        self._accepted: Acceptance | None = record.accepted if record is not None else None
        context.status_sources.append(self.build_status_rows)
        gauge = context.metrics.add_gauge
        gauge("revision_active", "Number of the revision that is acted by", self._active_number)
        gauge("revision_age_seconds", "Since a majority confirmed it; -1: not in this life", self._age_s)

    # --- as a part --------------------------------------------------------------------------------------

    def start(self) -> None:
        carrier = RevisionExecutor(self._peers.transport, self.revisions, self)
        self._carrier = carrier
        tell = self._context.dispatcher.register(self.revisions, carrier)
        self._tell = self._context.processor.bind(Cause.CONFIGURATION, tell)
        self._context.before_event = self._check_clock
        carrier.join(self._tell)

    def stop(self, now: bool) -> None:
        return

    def count_unsettled(self) -> int:
        return 0

    def close(self) -> None:
        self._context.before_event = None
        if self._carrier is not None:
            self._carrier.close()

    def _check_clock(self) -> None:
        """A process that stood still hears of that before it decides anything."""
        context = self._context
        if (
            self._tell is not None
            and not context.hold_reason
            and self.revisions.is_stale(context.loop.now_ns())
        ):
            self._tell(Tick())

    # --- for operators ----------------------------------------------------------------------------------

    def apply(
        self, body: bytes, parent: bytes | None, author: str, reason: str, made_ms: int,
        answer: Callable[[Outcome], None],
    ) -> None:  # fmt: skip
        """Have this policy chosen; `answer` hears what became of it."""
        assert self._tell is not None
        number, self._next_request = self._next_request, self._next_request + 1
        request = self._waiting[number] = _Request(body_digest(body).hex(), author, made_ms, answer)
        self._log_request("proposed", request, reason=reason, parent=parent.hex() if parent else "")
        self._tell(Apply(number, parent, author, reason, made_ms, body))

    def _log_request(self, what: str, request: _Request, **more: object) -> None:
        body, author, made_ms = request.body, request.author, request.made_ms
        self._context.log.info("revision", what=what, body=body, author=author, made_ms=made_ms, **more)

    def get_heads(self) -> dict[str, tuple[Head, int]]:
        """By the name of a member: the newest revision that it knew, and when it said so."""
        return self._carrier.heads if self._carrier is not None else {}

    def get_member_names(self) -> list[str]:
        return self._peers.get_member_names()

    def build_status_rows(self) -> list[Attr]:
        """Rows of the server's status."""
        status = self.revisions.status(self._context.loop.now_ns())
        number, digest = self._context.revision.number, self._context.revision.digest
        age = "unknown" if status.age_ns is None else f"{status.age_ns / S:.1f}"
        rows = [Attr("revision", f"{number} {digest.hex()}"), Attr("revision_age", age)]
        rows.append(Attr("revision_state", self._state_word(status.hold_reason, status.fault)))
        return [*rows, Attr("settings_file", "differs" if status.file_differs else "in force")]

    def _state_word(self, held: str | None, fault: str | None) -> str:
        if held is not None:
            return f"catching up: {held}"
        return f"cannot act by the newest: {fault}" if fault is not None else "in force"

    def _active_number(self) -> float:
        return float(self._context.revision.number)

    def _age_s(self) -> float:
        age = self.revisions.status(self._context.loop.now_ns()).age_ns
        return -1.0 if age is None else age / S

    # --- as the host of the carrier ---------------------------------------------------------------------

    def store(self, record: Record) -> None:
        try:
            self._file.save(record)
        except OSError as fault:
            self._context.log.error("revision", what="not stored", text=str(fault))
            raise
        accepted = record.accepted
        if accepted is not None and accepted != self._accepted:
            ballot = f"{accepted.ballot.round}/{accepted.ballot.proposer}"
            self._log_header("accepted", accepted.header, ballot=ballot)
        self._accepted = accepted
        for header in record.headers:
            if header.number > self._logged:
                self._logged = header.number
                self._log_header("chosen", header)

    def _log_header(self, what: str, header: Header, **more: object) -> None:
        age = self.revisions.status(self._context.loop.now_ns()).age_ns
        self._context.log.info(
            "revision", what=what, number=header.number, digest=digest_of(header).hex(),
            parent=header.parent.hex(), body=header.body.hex(), author=header.author, made_ms=header.made_ms,
            age_ms=-1 if age is None else age // MS, **more,
        )  # fmt: skip

    def check_body(self, body: bytes) -> str | None:
        fault: str | None = None
        try:
            self._context.settings.with_policy(body, "policy")
        except LadderhubError as found:
            fault = str(found)
        self._context.log.info("revision", what="checked", body=body_digest(body).hex(), fault=fault or "")
        return fault

    def activate(self, revision: Revision) -> None:
        header = revision.header
        loaded = self._context.get_newest_settings().with_policy(revision.body, f"revision {header.number}")
        self._log_header("active", header)
        self._context.change_settings(loaded, header.number, revision.digest)

    def answer(self, request: int, outcome: Outcome) -> None:
        waiting = self._waiting.pop(request)
        may_follow = isinstance(outcome, NoMajority) and outcome.may_follow
        self._log_request("answered", waiting, outcome=type(outcome).__name__, may_follow=may_follow)
        waiting.answer(outcome)

    def hold(self, reason: str) -> None:
        self._context.log.info("revision", what="held", text=reason)
        self._context.hold(f"catching up with the configuration: {reason}")

    def resume(self) -> None:
        self._context.log.info("revision", what="resumed")
        self._context.resume()

    def notify(self, notice: Notice, text: str) -> None:
        if notice in _LOGGED_ELSEWHERE:
            return
        log = self._context.log.warning if notice in _WARNED else self._context.log.info
        log("revision", what=_WORDS[notice], text=text)
