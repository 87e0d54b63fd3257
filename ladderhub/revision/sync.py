"""Learning what was chosen: heads that are seen, headers that are fetched in order, the push to others.

A head that is newer than ours is fetched from whoever has it.  Headers link each to its parent, so a
scheduler that is behind by less than what others keep verifies all it has missed; one that is further behind,
or has nothing, starts at the newest.  A head that was learned is pushed at once to a few members drawn at
random (Demers et al. 1987); whoever the push misses sees the head on some frame."""

from __future__ import annotations

from itertools import pairwise

from ladderhub.revision.content import digest_of, header_fits, headers_that_fit, shorten
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import HEADERS_KEPT, Ledger
from ladderhub.revision.messages import MAX_HEADERS_PER_MESSAGE, FetchHeaders, Head, Header, Headers
from ladderhub.revision.types import MS, Notice, S

PUSHED_TO = 4  # members that each member tells of a head at once
PUSHED_AGAIN_TO = 2  # and a while later
PUSH_AGAIN_NS = (80 * MS, 160 * MS)
HEADERS_PUSHED = 3  # the newest: one message may have been lost
RETRY_NS = (60 * MS, 100 * MS)
SOURCES_MOST = 16
TRIES_MOST = 8  # requests to a source that teach nothing
IGNORED_NS = 10 * S  # so long a source is left alone after them
IGNORED_MOST = 256
ANSWERS_MOST = 4  # messages in answer to one request


class Sync:
    """Heads seen, and the way to them."""

    def __init__(self, context: Context, ledger: Ledger) -> None:
        self._context, self._ledger = context, ledger
        self._sources: dict[str, int] = {}  # addresses whose head is newer than ours, and its number
        self._tries: dict[str, int] = {}
        self._ignored: dict[str, int] = {}  # sources that taught nothing, and until when
        self._ask_ns = 0  # no request before
        self._push_again_ns: int | None = None
        self._conflicts: set[int] = set()

    def newest_seen(self) -> int:
        return max([self._ledger.head_number, *self._sources.values()])

    # --- what others have -------------------------------------------------------------------------------

    def on_head(self, now: int, address: str, head: Head) -> None:
        if head.number > self._ledger.head_number:
            self.note(now, address, head.number)
            return
        known = self._ledger.digest_at(head.number)
        if known is not None and shorten(known) != head.digest:
            self._conflict(head.number, address)

    def note(self, now: int, address: str, number: int) -> None:
        """Somebody's head is newer than ours: ask, unless that is under way."""
        if number <= self._ledger.head_number or not address or address == self._context.settings.address:
            return
        if now < self._ignored.get(address, 0):
            return
        if address not in self._sources and len(self._sources) >= SOURCES_MOST:
            del self._sources[next(iter(self._sources))]
        self._sources[address] = max(number, self._sources.get(address, 0))
        if now >= self._ask_ns:
            self._ask(now, address)

    def _ask(self, now: int, address: str) -> None:
        self._ask_ns = now + self._context.jitter(*RETRY_NS)
        self._tries[address] = self._tries.get(address, 0) + 1
        start = self._ledger.head_number + 1 if self._ledger.head is not None else 0
        self._context.send(address, FetchHeaders(start, self._context.settings.address))

    def tick(self, now: int) -> None:
        if self._sources and now >= self._ask_ns:
            for address, number in list(self._sources.items()):
                if self._tries.get(address, 0) >= TRIES_MOST:
                    self._ignore(now, address)
                elif number <= self._ledger.head_number:
                    del self._sources[address]
            self._tries = {each: tries for each, tries in self._tries.items() if each in self._sources}
            if self._sources:
                self._ask(now, self._context.random.choice(sorted(self._sources)))
        if self._push_again_ns is not None and now >= self._push_again_ns:
            self._push_again_ns = None
            self._push_to(self._context.sample(PUSHED_AGAIN_TO))

    def _ignore(self, now: int, address: str) -> None:
        """It says that its head is newer, and does not show it or shows another chain."""
        del self._sources[address]
        if len(self._ignored) >= IGNORED_MOST:
            del self._ignored[next(iter(self._ignored))]
        self._ignored[address] = now + IGNORED_NS

    def due_ns(self) -> int | None:
        due = [self._ask_ns] if self._sources else []
        return min([*due, *([] if self._push_again_ns is None else [self._push_again_ns])], default=None)

    # --- headers ----------------------------------------------------------------------------------------

    def on_headers(self, now: int, source: str, message: Headers) -> bool:
        """Take what follows ours.  True where our head has changed."""
        before = self._ledger.head_number
        if not _is_linked(message.headers):
            return False
        for header in message.headers:
            if not self._take(now, source, message.first, header):
                break
        if self._ledger.head_number == before:
            return False
        self._ask_ns = now  # whoever has more is asked at once
        self._tries.clear()
        return True

    def _take(self, now: int, source: str, first: int, header: Header) -> bool:
        ledger = self._ledger
        if header.number <= ledger.head_number:
            known = ledger.digest_at(header.number)
            if known is not None and known != digest_of(header):
                self._conflict(header.number, source)
                return False
            return True
        if ledger.extends_head(header):
            ledger.record_chosen(header)
            return True
        if header.number == ledger.head_number + 1 and ledger.head is not None:
            self._conflict(ledger.head_number, source)
            return False
        if ledger.head is None or first > ledger.head_number + 1:
            self._skip_to(header)
            return True
        self.note(now, source, header.number)
        return False

    def _skip_to(self, header: Header) -> None:
        """Nobody keeps what links our head to this one, or we have none."""
        if self._ledger.head is not None:
            self._context.tell(Notice.SKIPPED, f"from revision {self._ledger.head_number} to {header.number}")
        self._ledger.record_chosen(header)

    def _conflict(self, number: int, source: str) -> None:
        if number not in self._conflicts and len(self._conflicts) < HEADERS_KEPT:
            self._conflicts.add(number)
            self._context.tell(Notice.CONFLICT, f"revision {number} of {source or 'a peer'} is not ours")

    def on_fetch(self, fetch: FetchHeaders) -> None:
        """Answer with what follows; the newest where that is not kept, or not asked for."""
        ledger = self._ledger
        if fetch.start > ledger.head_number:
            return
        newest_only = fetch.start < max(1, ledger.first_number)
        headers = ledger.headers[-HEADERS_PUSHED:] if newest_only else ledger.headers_since(fetch.start)
        for _ in range(ANSWERS_MOST):
            count = headers_that_fit(headers[:MAX_HEADERS_PER_MESSAGE])
            if count:
                told = Headers(ledger.first_number, tuple(headers[:count]))
                self._context.send(fetch.reply_to, told)
            headers = headers[count:]

    # --- the push ---------------------------------------------------------------------------------------

    def push(self, now: int, to: tuple[str, ...] = ()) -> None:
        """Our head is new: tell some at once, and some others a little later; `to`: these too."""
        self._push_to([*to, *self._context.sample(PUSHED_TO, to)])
        self._push_again_ns = now + self._context.jitter(*PUSH_AGAIN_NS)

    def _push_to(self, addresses: list[str]) -> None:
        headers = self._ledger.headers[-HEADERS_PUSHED:]
        newest = headers[len(headers) - headers_that_fit(headers[::-1]) :]
        for address in addresses:
            self._context.send(address, Headers(self._ledger.first_number, tuple(newest)))


def _is_linked(headers: tuple[Header, ...]) -> bool:
    """Does each fit into a message, and follow the one before?"""
    linked = all(b.number == a.number + 1 and b.parent == digest_of(a) for a, b in pairwise(headers))
    return linked and all(header.number > 0 and header_fits(header) for header in headers)
