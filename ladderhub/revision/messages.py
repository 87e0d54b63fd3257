"""Messages between schedulers about revisions: plain data with limits on every field; `peers` encodes them.

Headers are small and are sent whole; bodies are fetched by digest, as compressed pieces.  Requests contain
the address to which the answer is sent."""

from __future__ import annotations

from typing import Annotated

import msgspec

DIGEST_BYTES = 16
SHORT_DIGEST_BYTES = 8  # of the digest in the head that is sent with every frame
MAX_AUTHOR_BYTES, MAX_REASON_BYTES, MAX_FAULT_BYTES = 64, 200, 200  # of UTF-8
PIECE_BYTES = 800  # fits, with the longest name and address, into a datagram of 1,200 bytes
MAX_PACKED_BYTES = 64 * 1024  # of a compressed body
MAX_BODY_BYTES = 1024 * 1024  # of a body before compression
MAX_PIECES = (MAX_PACKED_BYTES + PIECE_BYTES - 1) // PIECE_BYTES
MAX_PIECES_PER_REQUEST = 16
MAX_HEADERS_PER_MESSAGE = 6

Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
ShortDigest = Annotated[bytes, msgspec.Meta(min_length=SHORT_DIGEST_BYTES, max_length=SHORT_DIGEST_BYTES)]
Address = Annotated[str, msgspec.Meta(max_length=64, pattern=r"^[^:\s]+:[0-9]{1,5}$")]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]
PieceIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_PIECES)]


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The newest chosen revision that a scheduler knows.

    `number`: 0 if there is none yet.  `digest`: the first bytes of its digest.  `age_ms`: the time since a
    majority of the voters confirmed it, as far as the sender knows."""

    number: Count
    digest: ShortDigest
    age_ms: Count


class Header(msgspec.Struct, frozen=True, array_like=True):
    """A revision without its body.

    `parent`: the digest of the previous header, or zeros for number 1.  `body`: the digest of the body."""

    number: Count
    parent: Digest
    author: Annotated[str, msgspec.Meta(max_length=MAX_AUTHOR_BYTES)]
    made_ms: UInt63
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_BYTES)]
    body: Digest


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The ordered number of a ballot.

    `proposer` identifies one life of one scheduler, so two proposers never use the same ballot."""

    round: Count
    proposer: UInt63


# --- chosen revisions -----------------------------------------------------------------------------------


class AskHead(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Request the head that the receiver knows."""

    nonce: UInt63
    reply_to: Address


class HeadIs(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The answer to `AskHead`.

    `sender`: the address of the sender.  `accepted`: the highest number for which the sender, a voter, may
    have accepted a value or knows the chosen one; None if it has no record of its votes or is no voter."""

    nonce: UInt63
    sender: Address
    number: Count
    accepted: Count | None


class FetchHeaders(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Request the chosen headers from number `start` on; 0: only the newest."""

    start: Count
    reply_to: Address


class Headers(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Chosen headers in order, without gaps.  `first`: the lowest number that the sender still keeps."""

    first: Count
    headers: Annotated[tuple[Header, ...], msgspec.Meta(max_length=MAX_HEADERS_PER_MESSAGE)]


class FetchPieces(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Request pieces of the compressed body with this digest."""

    nonce: UInt63
    body: Digest
    pieces: Annotated[tuple[PieceIndex, ...], msgspec.Meta(max_length=MAX_PIECES_PER_REQUEST)]
    reply_to: Address


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """One of `total` pieces, with the nonce of the request."""

    nonce: UInt63
    index: PieceIndex
    total: Annotated[int, msgspec.Meta(ge=1, le=MAX_PIECES)]
    data: Annotated[bytes, msgspec.Meta(max_length=PIECE_BYTES)]


class Lacking(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The answer to `FetchPieces` of a scheduler that does not have the body."""

    nonce: UInt63


# --- check before the ballots ---------------------------------------------------------------------------


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Ask whether the receiver can act by this body; it answers the proposer.

    `holder`: the address from which the body can be fetched."""

    body: Digest
    proposer: Address
    holder: Address


class Opinion(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The answer to `Proposal`.  `fault`: why the sender can't act by the body; empty if it can."""

    body: Digest
    fault: Annotated[str, msgspec.Meta(max_length=MAX_FAULT_BYTES)]


# --- ballots: one Paxos instance per number -------------------------------------------------------------


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Phase one, to a voter: request a promise to accept no lower ballot than this one."""

    number: Count
    ballot: Ballot
    reply_to: Address


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """A voter's promise, with the value that it has accepted for the number and the ballot of that value."""

    number: Count
    ballot: Ballot
    voter: Address
    accepted: Ballot | None = None
    header: Header | None = None


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Phase two, to a voter: accept this revision.

    `holder`: the address from which its body can be fetched."""

    ballot: Ballot
    header: Header
    reply_to: Address
    holder: Address


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """A voter has accepted the revision and stored it with its body on disk."""

    number: Count
    ballot: Ballot
    voter: Address


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """A voter rejects a ballot that is lower than the one in its promise."""

    number: Count
    ballot: Ballot
    promised: Ballot


RevisionMessage = (
    AskHead | HeadIs | FetchHeaders | Headers | FetchPieces | Piece | Lacking | Proposal | Opinion
    | Prepare | Promise | Accept | Accepted | Rejected
)  # fmt: skip
