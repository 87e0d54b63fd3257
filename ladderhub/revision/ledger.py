"""What one scheduler knows for good: the chosen headers, what it acts by, and as a voter its votes.

All of it is in its `Record`.  `store` asks for that to be written; what a voter answers leaves after it."""

from __future__ import annotations

from ladderhub.revision.content import digest_of
from ladderhub.revision.context import Context
from ladderhub.revision.messages import Ballot, Header
from ladderhub.revision.types import Acceptance, Record, Store

HEADERS_KEPT = 128  # the last chosen ones; who is further behind starts at the newest


class Ledger:
    """The image in memory of the record on disk."""

    def __init__(self, context: Context, stored: Record | None) -> None:
        self._context = context
        kept = stored or Record()
        self.headers = list(kept.headers)
        self.digests = [digest_of(header) for header in self.headers]
        self.body = kept.body
        self.active, self.active_body = kept.active, kept.active_body
        self.promised, self.accepted = kept.promised, kept.accepted
        self.votes_from = kept.votes_from
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
        """The lowest number that is kept; 0 where none is."""
        return self.headers[0].number if self.headers else 0

    def digest_at(self, number: int) -> bytes | None:
        """The digest of a chosen header that is still kept."""
        at = number - self.first_number
        return self.digests[at] if self.headers and 0 <= at < len(self.digests) else None

    def headers_since(self, number: int) -> list[Header]:
        """The chosen headers from this number on, as far as they are kept."""
        return self.headers[max(0, number - self.first_number) :]

    def extends_head(self, header: Header) -> bool:
        """Is it the child of the head?"""
        return header.number == self.head_number + 1 and header.parent == self.head_digest

    def record_chosen(self, header: Header) -> None:
        """It is chosen, and follows the head or replaces all that is known."""
        if not self.extends_head(header):
            self.headers.clear()
            self.digests.clear()
        self.headers.append(header)
        self.digests.append(digest_of(header))
        del self.headers[:-HEADERS_KEPT], self.digests[:-HEADERS_KEPT]
        accepted = self.accepted
        self.body = accepted.body if accepted is not None and accepted.header.body == header.body else None
        self.promised = self.accepted = None
        self._dirty = True

    def put_body(self, body: bytes) -> None:
        """It is that of the head."""
        if self.body is None:
            self.body = body
            self._dirty = True

    def activate(self, header: Header, body: bytes) -> None:
        self.active, self.active_body = header, body
        self._dirty = True

    def find_body(self, digest: bytes) -> bytes | None:
        """Among the bodies that are on disk."""
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

    def vote_from(self, number: int) -> None:
        self.votes_from = number
        self._dirty = True

    # --- on disk ----------------------------------------------------------------------------------------

    def store(self) -> None:
        """Have it written before the actions that follow, where anything has changed."""
        if self._dirty:
            self._dirty = False
            self._context.actions.append(Store(self._build_record()))

    def _build_record(self) -> Record:
        return Record(
            tuple(self.headers), self.body, self.active, self.active_body, self.promised, self.accepted,
            self.votes_from,
        )  # fmt: skip
