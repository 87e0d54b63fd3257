"""The durable state of one scheduler: the chosen headers, the active revision and, for a voter, its votes.

All of it is in the `Record`.  `store` requests that the record be written; a voter's answers are sent after
that."""

from __future__ import annotations

from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.messages import Ballot, Header
from ladderhub.revision.types import Acceptance, Record, Store

MAX_HEADERS = 128  # the last chosen ones; a scheduler that is further behind starts at the newest


class Ledger:
    """The in-memory state of the record on disk."""

    def __init__(self, context: Context, stored: Record | None) -> None:
        self._context = context
        record = stored or Record()
        self.headers = list(record.headers)
        self.digests = [digest_of(header) for header in self.headers]
        self.body = record.body
        self.active, self.active_body = record.active, record.active_body
        self.promised, self.accepted = record.promised, record.accepted
        self.votes_from = record.votes_from
        self._dirty = False

    # --- chosen revisions -------------------------------------------------------------------------------

    @property
    def head(self) -> Header | None:
        return self.headers[-1] if self.headers else None

    @property
    def head_number(self) -> int:
        return self.headers[-1].number if self.headers else 0

    @property
    def head_digest(self) -> bytes:
        return self.digests[-1] if self.digests else digest_of(None)

    @property
    def first_number(self) -> int:
        """The lowest number whose header is kept; 0 if none is."""
        return self.headers[0].number if self.headers else 0

    def digest_at(self, number: int) -> bytes | None:
        """Return the digest of a chosen header, or None if it is not kept."""
        index = number - self.first_number
        return self.digests[index] if self.headers and 0 <= index < len(self.digests) else None

    def headers_since(self, number: int) -> list[Header]:
        """Return the chosen headers from this number on, as far as they are kept."""
        return self.headers[max(0, number - self.first_number) :]

    def extends_head(self, header: Header) -> bool:
        """Return whether this header is the child of the head."""
        return header.number == self.head_number + 1 and header.parent == self.head_digest

    def record_chosen(self, header: Header) -> None:
        """Record a chosen header; if it does not extend the head, it replaces all headers."""
        if not self.extends_head(header):
            self.headers.clear()
            self.digests.clear()
        self.headers.append(header)
        self.digests.append(digest_of(header))
        del self.headers[:-MAX_HEADERS], self.digests[:-MAX_HEADERS]
        accepted = self.accepted
        self.body = accepted.body if accepted is not None and accepted.header.body == header.body else None
        self.promised = self.accepted = None
        self._dirty = True

    def set_head_body(self, body: bytes) -> None:
        """Set the body of the head."""
        if self.body is None:
            self.body = body
            self._dirty = True

    def set_active(self, header: Header, body: bytes) -> None:
        self.active, self.active_body = header, body
        self._dirty = True

    def find_body(self, digest: bytes) -> bytes | None:
        """Look up a body among those in the record."""
        if self.head is not None and self.head.body == digest and self.body is not None:
            return self.body
        if self.active is not None and self.active.body == digest:
            return self.active_body
        if self.accepted is not None and self.accepted.header.body == digest:
            return self.accepted.body
        return None

    # --- votes ------------------------------------------------------------------------------------------

    def record_promise(self, ballot: Ballot) -> None:
        if ballot != self.promised:
            self.promised = ballot
            self._dirty = True

    def record_acceptance(self, ballot: Ballot, header: Header, body: bytes) -> None:
        self.promised = ballot
        self.accepted = Acceptance(ballot, header, body)
        self._dirty = True

    def set_votes_from(self, number: int) -> None:
        self.votes_from = number
        self._dirty = True

    # --- on disk ----------------------------------------------------------------------------------------

    def store(self) -> None:
        """Request that the record be written before later actions, if anything has changed."""
        if self._dirty:
            self._dirty = False
            self._context.actions.append(Store(self._build_record()))

    def _build_record(self) -> Record:
        return Record(
            tuple(self.headers), self.body, self.active, self.active_body, self.promised, self.accepted,
            self.votes_from,
        )  # fmt: skip
