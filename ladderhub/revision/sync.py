"""Synchronization of chosen headers: heads seen on frames, headers fetched in order, the push to others.

A newer head is fetched from a peer that has it.  Each header contains the digest of its parent, so a
scheduler that is behind by less than what its peers keep can verify all headers that it has missed; one that
is further behind, or has no headers, starts at the newest.  A new head is pushed at once to a few random
members (rumor mongering, Demers et al. 1987); the others see it on a later frame."""

from __future__ import annotations

from itertools import pairwise

from ladderhub.revision.content import count_fitting_headers, digest_of, header_fits, shorten
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import MAX_HEADERS, Ledger
from ladderhub.revision.messages import MAX_HEADERS_PER_MESSAGE, FetchHeaders, Head, Header, Headers
from ladderhub.revision.types import MS, Notice, S

PUSH_FAN_OUT = 4  # members to which a new head is pushed at once
SECOND_PUSH_FAN_OUT = 2  # members to which it is pushed a second time
SECOND_PUSH_DELAY_NS = (80 * MS, 160 * MS)
HEADERS_PUSHED = 3  # the newest ones, because an earlier push may have been lost
RETRY_NS = (60 * MS, 100 * MS)
MAX_SOURCES = 16
MAX_TRIES = 8  # requests to a source without a new header in answer
IGNORE_NS = 10 * S  # for which a source is ignored after `MAX_TRIES`
MAX_IGNORED = 256
MAX_ANSWERS = 4  # messages in answer to one request


class Sync:
    """Fetches the headers up to the newest head seen, and pushes new heads."""

    def __init__(self, context: Context, ledger: Ledger) -> None:
        self._context, self._ledger = context, ledger
        self._sources: dict[str, int] = {}  # newer head numbers, by address
        self._tries: dict[str, int] = {}
        self._ignored: dict[str, int] = {}  # until when, by address of a source
        self._next_fetch_ns = 0  # no request before this time
        self._second_push_ns: int | None = None
        self._conflicts: set[int] = set()

    def newest_seen_number(self) -> int:
        return max([self._ledger.head_number, *self._sources.values()])

    # --- heads of others --------------------------------------------------------------------------------

    def on_head(self, now: int, address: str, head: Head) -> None:
        if head.number > self._ledger.head_number:
            self.add_source(now, address, head.number)
            return
        known = self._ledger.digest_at(head.number)
        if known is not None and shorten(known) != head.digest:
            self._report_conflict(head.number, address)

    def add_source(self, now: int, address: str, number: int) -> None:
        """Add a peer whose head may be newer, and fetch from it unless a request is in progress."""
        if number <= self._ledger.head_number or not address or address == self._context.settings.address:
            return
        if now < self._ignored.get(address, 0):
            return
        if address not in self._sources and len(self._sources) >= MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self._sources[address] = max(number, self._sources.get(address, 0))
        if now >= self._next_fetch_ns:
            self._send_fetch(now, address)

    def _send_fetch(self, now: int, address: str) -> None:
        self._next_fetch_ns = now + self._context.draw_delay_ns(*RETRY_NS)
        self._tries[address] = self._tries.get(address, 0) + 1
        start = self._ledger.head_number + 1 if self._ledger.head is not None else 0
        self._context.send(address, FetchHeaders(start, self._context.settings.address))

    def tick(self, now: int) -> None:
        if self._sources and now >= self._next_fetch_ns:
            for address, number in list(self._sources.items()):
                if self._tries.get(address, 0) >= MAX_TRIES:
                    self._ignore(now, address)
                elif number <= self._ledger.head_number:
                    del self._sources[address]
            self._tries = {each: tries for each, tries in self._tries.items() if each in self._sources}
            if self._sources:
                self._send_fetch(now, self._context.random.choice(sorted(self._sources)))
        if self._second_push_ns is not None and now >= self._second_push_ns:
            self._second_push_ns = None
            self._push_to(self._context.sample(SECOND_PUSH_FAN_OUT))

    def _ignore(self, now: int, address: str) -> None:
        """Ignore a source that claims a newer head but does not send it, or sends another chain."""
        del self._sources[address]
        if len(self._ignored) >= MAX_IGNORED:
            del self._ignored[next(iter(self._ignored))]
        self._ignored[address] = now + IGNORE_NS

    def due_ns(self) -> int | None:
        due = [self._next_fetch_ns] if self._sources else []
        return min([*due, *([] if self._second_push_ns is None else [self._second_push_ns])], default=None)

    # --- headers ----------------------------------------------------------------------------------------

    def on_headers(self, now: int, source: str, message: Headers) -> bool:
        """Add the headers that extend the head; return whether the head has changed."""
        before = self._ledger.head_number
        if not _is_valid_chain(message.headers):
            return False
        for header in message.headers:
            if not self._add_header(now, source, message.first, header):
                break
        if self._ledger.head_number == before:
            return False
        self._next_fetch_ns = now  # another source with more headers is asked at once
        self._tries.clear()
        return True

    def _add_header(self, now: int, source: str, first: int, header: Header) -> bool:
        ledger = self._ledger
        if header.number <= ledger.head_number:
            known = ledger.digest_at(header.number)
            if known is not None and known != digest_of(header):
                self._report_conflict(header.number, source)
                return False
            return True
        if ledger.extends_head(header):
            ledger.record_chosen(header)
            return True
        if header.number == ledger.head_number + 1 and ledger.head is not None:
            self._report_conflict(ledger.head_number, source)
            return False
        if ledger.head is None or first > ledger.head_number + 1:
            self._skip_to(header)
            return True
        self.add_source(now, source, header.number)
        return False

    def _skip_to(self, header: Header) -> None:
        """Replace the headers: there are none here, or the source lacks the ones between."""
        if self._ledger.head is not None:
            self._context.notify(
                Notice.SKIPPED, f"from revision {self._ledger.head_number} to {header.number}"
            )
        self._ledger.record_chosen(header)

    def _report_conflict(self, number: int, source: str) -> None:
        if number not in self._conflicts and len(self._conflicts) < MAX_HEADERS:
            self._conflicts.add(number)
            self._context.notify(
                Notice.CONFLICT, f"revision {number} of {source or 'a peer'} differs from ours"
            )

    def on_fetch(self, fetch: FetchHeaders) -> None:
        """Send the requested headers, or only the newest if the others are not requested or not kept."""
        ledger = self._ledger
        if fetch.start > ledger.head_number:
            return
        newest_only = fetch.start < max(1, ledger.first_number)
        headers = ledger.headers[-HEADERS_PUSHED:] if newest_only else ledger.headers_since(fetch.start)
        for _ in range(MAX_ANSWERS):
            count = count_fitting_headers(headers[:MAX_HEADERS_PER_MESSAGE])
            if count:
                message = Headers(ledger.first_number, tuple(headers[:count]))
                self._context.send(fetch.reply_to, message)
            headers = headers[count:]

    # --- the push ---------------------------------------------------------------------------------------

    def push(self, now: int, to: tuple[str, ...] = ()) -> None:
        """Push the new head to `to` and some random members now, and to some others a little later."""
        self._push_to([*to, *self._context.sample(PUSH_FAN_OUT, to)])
        self._second_push_ns = now + self._context.draw_delay_ns(*SECOND_PUSH_DELAY_NS)

    def _push_to(self, addresses: list[str]) -> None:
        headers = self._ledger.headers[-HEADERS_PUSHED:]
        newest = headers[len(headers) - count_fitting_headers(headers[::-1]) :]
        for address in addresses:
            self._context.send(address, Headers(self._ledger.first_number, tuple(newest)))


def _is_valid_chain(headers: tuple[Header, ...]) -> bool:
    """Return whether each header fits into a message and is the child of the one before."""
    linked = all(b.number == a.number + 1 and b.parent == digest_of(a) for a, b in pairwise(headers))
    return linked and all(header.number > 0 and header_fits(header) for header in headers)
