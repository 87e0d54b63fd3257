"""Revisions of the configuration: the component of the daemon.  Loaded only if the settings name voters."""

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
NO_REVISION = 0  # number of the settings file's policy while no revision is chosen
_LOGGED_ELSEWHERE = (Notice.CHOSEN, Notice.ACTIVE)  # by `store` and `activate`, with more detail
_NOTICE_NAMES = {
    Notice.CANNOT_ACTIVATE: "refused", Notice.FILE_DIFFERS: "file differs",
    Notice.FILE_REFUSED: "file refused", Notice.CONFLICT: "conflict", Notice.SKIPPED: "skipped",
    Notice.BEHIND: "behind", Notice.CAUGHT_UP: "caught up", Notice.NOT_VOTING: "not voting",
    Notice.VOTING: "voting",
}  # fmt: skip
_WARNING_NOTICES = (
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
    """The record of revisions in the spool folder; it is replaced atomically."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "revisions"

    def load(self) -> Record | None:
        """Return the record, None if there is none; raises RevisionFileError if it can't be read."""
        try:
            return decode_record(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except ValueError as fault:
            raise RevisionFileError(str(fault), where=str(self._path)) from None

    def save(self, record: Record) -> None:
        """Replace the record; raises OSError on failure."""
        write_durably(self._path, encode_record(record))


@dataclass(frozen=True, slots=True)
class _Request:
    """An operator's request that has no outcome yet.  `body_hex`: the digest of its body."""

    body_hex: str
    author: str
    made_ms: int
    on_outcome: Callable[[Outcome], None]


class RevisionService:
    """Executes the revision decisions, and reports them in the log, in gauges and in the server's status.

    `record.headers` of a stored record are chosen revisions; each is logged when it is first stored."""

    def __init__(self, context: DaemonContext, peers: PeerService) -> None:
        self._context, self._peers = context, peers
        self._file = RevisionFile(context.folder)
        record = self._file.load()
        own_body = encode_policy(context.settings.file)
        settings = RevisionSettings(context.name, peers.life, peers.address, peers.voters, own_body)
        self.revisions = Revisions(settings, record, context.settings.file.seed)
        context.revision = PolicyRevision(NO_REVISION, body_digest(own_body))
        self._tell: Callable[[Event], None] | None = None
        self._executor: RevisionExecutor | None = None
        self._pending_requests: dict[int, _Request] = {}
        self._next_request_id = 1
        self._last_logged_number = record.headers[-1].number if record is not None and record.headers else 0
        self._last_accepted: Acceptance | None = record.accepted if record is not None else None
        context.status_sources.append(self.build_status_rows)
        gauge = context.metrics.add_gauge
        gauge("revision_active", "Number of the revision that is acted by", self._get_active_number)
        gauge("revision_age_seconds", "Since a majority confirmed it; -1: not in this life", self._get_age_s)

    # --- component of the daemon ------------------------------------------------------------------------

    def start(self) -> None:
        executor = RevisionExecutor(self._peers.transport, self.revisions, self)
        self._executor = executor
        tell = self._context.dispatcher.register(self.revisions, executor)
        self._tell = self._context.processor.bind(Cause.CONFIGURATION, tell)
        self._context.before_event = self._check_staleness
        executor.join(self._tell)

    def stop(self, now: bool) -> None:
        return

    def count_unsettled(self) -> int:
        return 0

    def close(self) -> None:
        self._context.before_event = None
        if self._executor is not None:
            self._executor.close()

    def _check_staleness(self) -> None:
        """Pass a tick to the revision decisions first if this process was suspended.

        They then hold decisions on jobs, which would be made by settings that may be outdated."""
        context = self._context
        if (
            self._tell is not None
            and not context.hold_reason
            and self.revisions.is_stale(context.loop.now_ns())
        ):
            self._tell(Tick())

    # --- operators' requests ----------------------------------------------------------------------------

    def apply(
        self, body: bytes, parent: bytes | None, author: str, reason: str, made_ms: int,
        on_outcome: Callable[[Outcome], None],
    ) -> None:  # fmt: skip
        """Propose this policy; `on_outcome` is called once with the outcome."""
        assert self._tell is not None
        request_id, self._next_request_id = self._next_request_id, self._next_request_id + 1
        request = self._pending_requests[request_id] = _Request(
            body_digest(body).hex(), author, made_ms, on_outcome
        )
        self._log_request("proposed", request, reason=reason, parent=parent.hex() if parent else "")
        self._tell(Apply(request_id, parent, author, reason, made_ms, body))

    def _log_request(self, what: str, request: _Request, **more: object) -> None:
        body, author, made_ms = request.body_hex, request.author, request.made_ms
        self._context.log.info("revision", what=what, body=body, author=author, made_ms=made_ms, **more)

    def get_heads(self) -> dict[str, tuple[Head, int]]:
        """Return the newest revision that each member reported, with its time of arrival, by name."""
        return self._executor.heads if self._executor is not None else {}

    def get_member_names(self) -> list[str]:
        """Return the names of the schedulers in the membership view."""
        return self._peers.get_member_names()

    def build_status_rows(self) -> list[Attr]:
        """Return the rows on revisions for the server's status."""
        status = self.revisions.status(self._context.loop.now_ns())
        number, digest = self._context.revision.number, self._context.revision.digest
        age = "unknown" if status.age_ns is None else f"{status.age_ns / S:.1f}"
        rows = [Attr("revision", f"{number} {digest.hex()}"), Attr("revision_age", age)]
        rows.append(Attr("revision_state", self._describe_state(status.hold_reason, status.fault)))
        return [*rows, Attr("settings_file", "differs" if status.file_differs else "in force")]

    def _describe_state(self, hold_reason: str | None, fault: str | None) -> str:
        if hold_reason is not None:
            return f"catching up: {hold_reason}"
        return f"cannot act by the newest: {fault}" if fault is not None else "in force"

    def _get_active_number(self) -> float:
        return float(self._context.revision.number)

    def _get_age_s(self) -> float:
        age = self.revisions.status(self._context.loop.now_ns()).age_ns
        return -1.0 if age is None else age / S

    # --- host of the executor ---------------------------------------------------------------------------

    def store(self, record: Record) -> None:
        """Store the record, and log the revisions that it adds as accepted or chosen."""
        try:
            self._file.save(record)
        except OSError as fault:
            self._context.log.error("revision", what="not stored", text=str(fault))
            raise
        accepted = record.accepted
        if accepted is not None and accepted != self._last_accepted:
            ballot = f"{accepted.ballot.round}/{accepted.ballot.proposer}"
            self._log_header("accepted", accepted.header, ballot=ballot)
        self._last_accepted = accepted
        for header in record.headers:
            if header.number > self._last_logged_number:
                self._last_logged_number = header.number
                self._log_header("chosen", header)

    def _log_header(self, what: str, header: Header, **more: object) -> None:
        age = self.revisions.status(self._context.loop.now_ns()).age_ns
        self._context.log.info(
            "revision", what=what, number=header.number, digest=digest_of(header).hex(),
            parent=header.parent.hex(), body=header.body.hex(), author=header.author, made_ms=header.made_ms,
            age_ms=-1 if age is None else age // MS, **more,
        )  # fmt: skip

    def check_body(self, body: bytes) -> str | None:
        """Return why this scheduler can't act by the body, None if it can."""
        fault: str | None = None
        try:
            self._context.settings.with_policy(body, "policy")
        except LadderhubError as error:
            fault = str(error)
        self._context.log.info("revision", what="checked", body=body_digest(body).hex(), fault=fault or "")
        return fault

    def activate(self, revision: Revision) -> None:
        header = revision.header
        loaded = self._context.get_newest_settings().with_policy(revision.body, f"revision {header.number}")
        self._log_header("active", header)
        self._context.change_settings(loaded, header.number, revision.digest)

    def answer(self, request_id: int, outcome: Outcome) -> None:
        request = self._pending_requests.pop(request_id)
        may_follow = isinstance(outcome, NoMajority) and outcome.may_follow
        self._log_request("answered", request, outcome=type(outcome).__name__, may_follow=may_follow)
        request.on_outcome(outcome)

    def hold(self, reason: str) -> None:
        self._context.log.info("revision", what="held", text=reason)
        self._context.hold(f"catching up with the configuration: {reason}")

    def resume(self) -> None:
        self._context.log.info("revision", what="resumed")
        self._context.resume()

    def notify(self, notice: Notice, text: str) -> None:
        if notice in _LOGGED_ELSEWHERE:
            return
        log = self._context.log.warning if notice in _WARNING_NOTICES else self._context.log.info
        log("revision", what=_NOTICE_NAMES[notice], text=text)
