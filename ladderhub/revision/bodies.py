"""Bodies by digest: a bounded store of the last ones, and downloads in pieces from whoever has one.

A download asks one source at a time and takes pieces that carry its own nonce; what does not match the digest
in the end is dropped whole and asked of the next source."""

from __future__ import annotations

from collections.abc import Iterable

from ladderhub.revision.content import from_pieces, to_pieces
from ladderhub.revision.context import Context
from ladderhub.revision.messages import MAX_PIECES_PER_REQUEST, FetchPieces, Lacking, Piece
from ladderhub.revision.types import MS

BODIES_KEPT = 32
BODIES_BYTES = 4 * 1024 * 1024  # of all that are kept beside the one that is acted by
PACKED_KEPT = 8  # bodies whose pieces are kept for those who ask
DOWNLOADS_MOST = 32
SOURCES_MOST = 16
RETRY_NS = (60 * MS, 90 * MS)
SLOW_RETRY_NS = (400 * MS, 600 * MS)
PATIENCE = 3  # requests to one source without a new piece
QUICK_TRIES = 30  # requests in all, after which they come slower


class Bodies:
    """The last bodies that were seen, whatever became of them."""

    def __init__(self) -> None:
        self._bodies: dict[bytes, bytes] = {}
        self._packed: dict[bytes, tuple[bytes, ...]] = {}

    def get(self, digest: bytes) -> bytes | None:
        return self._bodies.get(digest)

    def put(self, digest: bytes, body: bytes) -> None:
        self._bodies.pop(digest, None)
        self._bodies[digest] = body
        size = sum(map(len, self._bodies.values()))
        while len(self._bodies) > 1 and (len(self._bodies) > BODIES_KEPT or size > BODIES_BYTES):
            size -= len(self._bodies.pop(next(iter(self._bodies))))

    def pieces(self, digest: bytes, body: bytes) -> tuple[bytes, ...]:
        if digest not in self._packed:
            self._packed[digest] = to_pieces(body)
            while len(self._packed) > PACKED_KEPT:
                del self._packed[next(iter(self._packed))]
        return self._packed[digest]


class _Download:
    """One body on its way."""

    def __init__(self, until_ns: int | None) -> None:
        self.until_ns = until_ns  # after which nobody needs it; None: needed until it is here
        self.sources: list[str] = []
        self.source = ""
        self.nonce = 0
        self.total = 0
        self.pieces: dict[int, bytes] = {}
        self.asked: tuple[int, ...] = ()  # in the last request
        self.due_ns = 0
        self.tries = self.vain = 0  # requests in all, and to this source without a new piece since

    def add(self, sources: Iterable[str]) -> None:
        """The newest sources first: they have it."""
        for source in sources:
            if source not in self.sources:
                self.sources.insert(0, source)
        del self.sources[SOURCES_MOST:]

    def missing(self) -> tuple[int, ...]:
        total = self.total or MAX_PIECES_PER_REQUEST
        return tuple(at for at in range(total) if at not in self.pieces)[:MAX_PIECES_PER_REQUEST]


class Downloads:
    """All bodies that are being fetched."""

    def __init__(self, context: Context, bodies: Bodies) -> None:
        self._context, self._bodies = context, bodies
        self._running: dict[bytes, _Download] = {}
        self.spoilt = 0  # bodies that did not match their digest

    def want(self, now: int, digest: bytes, sources: Iterable[str], until_ns: int | None = None) -> None:
        """Fetch it, or go on, knowing more sources; whoever needs it longest says until when."""
        download = self._running.get(digest)
        if download is None:
            if len(self._running) >= DOWNLOADS_MOST and not self._make_room():
                return
            download = self._running[digest] = _Download(until_ns)
        if until_ns is None or (download.until_ns is not None and until_ns > download.until_ns):
            download.until_ns = until_ns
        mine = self._context.settings.address
        download.add(source for source in sources if source != mine)
        if not download.source:
            self._next_source(now, digest, download)

    def _make_room(self) -> bool:
        """Drop the oldest that nobody needs for good."""
        for digest, download in self._running.items():
            if download.until_ns is not None:
                del self._running[digest]
                return True
        return False

    def drop_all_but(self, digests: set[bytes]) -> None:
        """Bodies that are needed for good change with the head: older ones are needed no more."""
        for digest in [each for each, download in self._running.items() if download.until_ns is None]:
            if digest not in digests:
                del self._running[digest]

    def _next_source(self, now: int, digest: bytes, download: _Download) -> None:
        if download.sources:
            download.source = download.sources.pop(0)
            download.sources.append(download.source)
        else:
            download.source = next(iter(self._context.sample(1)), "")
        download.total, download.vain = 0, 0
        download.pieces.clear()
        download.nonce = self._context.nonce()
        self._ask(now, digest, download)

    def _ask(self, now: int, digest: bytes, download: _Download) -> None:
        quick = download.tries < QUICK_TRIES
        download.due_ns = now + self._context.jitter(*(RETRY_NS if quick else SLOW_RETRY_NS))
        download.tries += 1
        download.vain += 1
        download.asked = download.missing()
        if download.source:
            mine = self._context.settings.address
            self._context.send(download.source, FetchPieces(download.nonce, digest, download.asked, mine))

    def tick(self, now: int) -> None:
        for digest, download in list(self._running.items()):
            if download.until_ns is not None and now >= download.until_ns:
                del self._running[digest]
            elif now >= download.due_ns:
                if download.vain >= PATIENCE or not download.source:
                    self._next_source(now, digest, download)
                else:
                    self._ask(now, digest, download)

    def due_ns(self) -> int | None:
        return min((download.due_ns for download in self._running.values()), default=None)

    def _with_nonce(self, nonce: int) -> tuple[bytes, _Download] | None:
        return next((each for each in self._running.items() if each[1].nonce == nonce), None)

    def on_lacking(self, now: int, lacking: Lacking) -> None:
        found = self._with_nonce(lacking.nonce)
        if found is not None:
            self._drop_source(now, *found)

    def _drop_source(self, now: int, digest: bytes, download: _Download) -> None:
        """It has not this body, or sent something else: the others, or whoever is drawn at the next look."""
        if download.source in download.sources:
            download.sources.remove(download.source)
        if download.sources:
            self._next_source(now, digest, download)
        else:
            download.source, download.nonce, download.total = "", self._context.nonce(), 0
            download.pieces.clear()

    def on_piece(self, now: int, piece: Piece) -> bytes | None:
        """The digest of the body that is whole with this piece."""
        found = self._with_nonce(piece.nonce)
        if found is None:
            return None
        digest, download = found
        if piece.index >= piece.total or (download.total and piece.total != download.total):
            return None
        if piece.index not in download.pieces:
            download.vain = 0
        download.total = piece.total
        download.pieces[piece.index] = piece.data
        if len(download.pieces) < download.total:
            if all(at in download.pieces or at >= download.total for at in download.asked):
                self._ask(now, digest, download)
            return None
        body = from_pieces([download.pieces[at] for at in range(download.total)], digest)
        if body is None:
            self.spoilt += 1
            self._drop_source(now, digest, download)
            return None
        del self._running[digest]
        self._bodies.put(digest, body)
        return digest


def offer_pieces(context: Context, bodies: Bodies, body: bytes | None, fetch: FetchPieces) -> None:
    """Answer a request for pieces."""
    if body is None:
        context.send(fetch.reply_to, Lacking(fetch.nonce))
        return
    pieces = bodies.pieces(fetch.body, body)
    for at in sorted(set(fetch.pieces)):
        if at < len(pieces):
            context.send(fetch.reply_to, Piece(fetch.nonce, at, len(pieces), pieces[at]))
