"""Bodies by digest: a bounded cache of the last ones, and downloads in pieces from other schedulers.

A download asks one source at a time and only takes pieces with its own nonce.  A complete body that does not
match the digest is discarded and requested from the next source."""

from __future__ import annotations

from collections.abc import Iterable

from ladderhub.revision.content import from_pieces, to_pieces
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_PIECES_PER_REQUEST, FetchPieces, Lacking, Piece
from ladderhub.revision.types import MS

MAX_BODIES = 32
MAX_CACHE_BYTES = 4 * 1024 * 1024  # of all cached bodies; the active one is kept elsewhere
MAX_SPLIT_BODIES = 8  # bodies whose compressed pieces are cached
MAX_DOWNLOADS = 32
MAX_SOURCES = 16
RETRY_NS = (60 * MS, 90 * MS)
SLOW_RETRY_NS = (400 * MS, 600 * MS)  # after `FAST_TRIES`
MAX_TRIES_PER_SOURCE = 3  # requests to one source without a new piece
FAST_TRIES = 30  # requests in total, after which the retry interval grows


class BodyCache:
    """The last bodies that were seen, chosen or not."""

    def __init__(self) -> None:
        self._bodies: dict[bytes, bytes] = {}
        self._pieces: dict[bytes, tuple[bytes, ...]] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self._bodies.get(digest)

    def put(self, digest: bytes, body: bytes) -> None:
        self._bodies.pop(digest, None)
        self._bodies[digest] = body
        size = sum(map(len, self._bodies.values()))
        while len(self._bodies) > 1 and (len(self._bodies) > MAX_BODIES or size > MAX_CACHE_BYTES):
            size -= len(self._bodies.pop(next(iter(self._bodies))))

    def get_pieces(self, digest: bytes, body: bytes) -> tuple[bytes, ...]:
        if digest not in self._pieces:
            self._pieces[digest] = to_pieces(body)
            while len(self._pieces) > MAX_SPLIT_BODIES:
                del self._pieces[next(iter(self._pieces))]
        return self._pieces[digest]


class _Download:
    """The download of one body."""

    def __init__(self, expires_ns: int | None) -> None:
        self.expires_ns = expires_ns  # when the download is cancelled; None: never
        self.sources: list[str] = []
        self.source = ""
        self.nonce = 0
        self.total = 0
        self.pieces: dict[int, bytes] = {}
        self.asked: tuple[int, ...] = ()  # piece indexes in the last request
        self.due_ns = 0
        # All requests, and those to the current source since the last new piece.
        self.tries = self.tries_without_progress = 0

    def add_sources(self, sources: Iterable[str]) -> None:
        """Put the newest sources first, since they are known to have the body."""
        for source in sources:
            if source not in self.sources:
                self.sources.insert(0, source)
        del self.sources[MAX_SOURCES:]

    def missing_pieces(self) -> tuple[int, ...]:
        total = self.total or MAX_PIECES_PER_REQUEST
        return tuple(index for index in range(total) if index not in self.pieces)[:MAX_PIECES_PER_REQUEST]


class Downloads:
    """All downloads in progress."""

    def __init__(self, context: Context, bodies: BodyCache) -> None:
        self._context, self._bodies = context, bodies
        self._downloads: dict[bytes, _Download] = {}
        self.corrupt_count = 0  # bodies that did not match their digest

    def fetch(self, now: int, digest: bytes, sources: Iterable[str], expires_ns: int | None = None) -> None:
        """Start a download, or add sources to a running one and extend its expiry time."""
        download = self._downloads.get(digest)
        if download is None:
            if len(self._downloads) >= MAX_DOWNLOADS and not self._evict_expiring():
                return
            download = self._downloads[digest] = _Download(expires_ns)
        if expires_ns is None or (download.expires_ns is not None and expires_ns > download.expires_ns):
            download.expires_ns = expires_ns
        own_address = self._context.settings.address
        download.add_sources(source for source in sources if source != own_address)
        if not download.source:
            self._switch_source(now, digest, download)

    def _evict_expiring(self) -> bool:
        """Cancel the oldest download that has an expiry time; return whether there was one."""
        for digest, download in self._downloads.items():
            if download.expires_ns is not None:
                del self._downloads[digest]
                return True
        return False

    def cancel_all_except(self, digests: set[bytes]) -> None:
        """Cancel the downloads without an expiry time except for these digests, after the head changed."""
        for digest in [each for each, download in self._downloads.items() if download.expires_ns is None]:
            if digest not in digests:
                del self._downloads[digest]

    def _switch_source(self, now: int, digest: bytes, download: _Download) -> None:
        if download.sources:
            download.source = download.sources.pop(0)
            download.sources.append(download.source)
        else:
            download.source = next(iter(self._context.sample(1)), "")
        download.total, download.tries_without_progress = 0, 0
        download.pieces.clear()
        download.nonce = self._context.next_nonce()
        self._send_request(now, digest, download)

    def _send_request(self, now: int, digest: bytes, download: _Download) -> None:
        fast = download.tries < FAST_TRIES
        download.due_ns = now + self._context.draw_delay_ns(*(RETRY_NS if fast else SLOW_RETRY_NS))
        download.tries += 1
        download.tries_without_progress += 1
        download.asked = download.missing_pieces()
        if download.source:
            own_address = self._context.settings.address
            self._context.send(
                download.source, FetchPieces(download.nonce, digest, download.asked, own_address)
            )

    def tick(self, now: int) -> None:
        for digest, download in list(self._downloads.items()):
            if download.expires_ns is not None and now >= download.expires_ns:
                del self._downloads[digest]
            elif now >= download.due_ns:
                if download.tries_without_progress >= MAX_TRIES_PER_SOURCE or not download.source:
                    self._switch_source(now, digest, download)
                else:
                    self._send_request(now, digest, download)

    def due_ns(self) -> int | None:
        return min((download.due_ns for download in self._downloads.values()), default=None)

    def _find_by_nonce(self, nonce: int) -> tuple[bytes, _Download] | None:
        return next((each for each in self._downloads.items() if each[1].nonce == nonce), None)

    def on_lacking(self, now: int, lacking: Lacking) -> None:
        found = self._find_by_nonce(lacking.nonce)
        if found is not None:
            self._drop_source(now, *found)

    def _drop_source(self, now: int, digest: bytes, download: _Download) -> None:
        """Drop a source that lacks the body or sent a wrong one.

        Without another known source, the next tick draws a member at random."""
        if download.source in download.sources:
            download.sources.remove(download.source)
        if download.sources:
            self._switch_source(now, digest, download)
        else:
            download.source, download.nonce, download.total = "", self._context.next_nonce(), 0
            download.pieces.clear()

    def on_piece(self, now: int, piece: Piece) -> bytes | None:
        """Take a piece; return the digest of the body if this piece completes it."""
        found = self._find_by_nonce(piece.nonce)
        if found is None:
            return None
        digest, download = found
        if piece.index >= piece.total or (download.total and piece.total != download.total):
            return None
        if piece.index not in download.pieces:
            download.tries_without_progress = 0
        download.total = piece.total
        download.pieces[piece.index] = piece.data
        if len(download.pieces) < download.total:
            if all(index in download.pieces or index >= download.total for index in download.asked):
                self._send_request(now, digest, download)
            return None
        body = from_pieces([download.pieces[index] for index in range(download.total)], digest)
        if body is None:
            self.corrupt_count += 1
            self._drop_source(now, digest, download)
            return None
        del self._downloads[digest]
        self._bodies.put(digest, body)
        return digest


def send_pieces(context: Context, bodies: BodyCache, body: bytes | None, fetch: FetchPieces) -> None:
    """Answer a request for pieces; `body`: None if this scheduler does not have it."""
    if body is None:
        context.send(fetch.reply_to, Lacking(fetch.nonce))
        return
    pieces = bodies.get_pieces(fetch.body, body)
    for index in sorted(set(fetch.pieces)):
        if index < len(pieces):
            context.send(fetch.reply_to, Piece(fetch.nonce, index, len(pieces), pieces[index]))
