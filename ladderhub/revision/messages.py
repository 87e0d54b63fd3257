"""What schedulers tell each other of revisions.  Plain data with bounds on every part; `peers` has the bytes.

Headers are small and travel whole; bodies are fetched by digest, compressed, in pieces.  Requests carry the
address that the answer goes to."""

from __future__ import annotations

from typing import Annotated

import msgspec

DIGEST_BYTES = 16
SHORT_DIGEST_BYTES = 8  # of a digest that rides on every frame
MAX_AUTHOR_BYTES, MAX_REASON_BYTES, MAX_FAULT_BYTES = 64, 200, 200  # of UTF-8
PIECE_BYTES = 800  # beside the longest name and address it fits into a datagram of 1,200 bytes
MAX_PACKED_BYTES = 64 * 1024  # of a compressed body
MAX_BODY_BYTES = 1024 * 1024  # of a body
MAX_PIECES = (MAX_PACKED_BYTES + PIECE_BYTES - 1) // PIECE_BYTES
MAX_PIECES_PER_REQUEST = 16  # in one request
MAX_HEADERS_PER_MESSAGE = 6  # in one message

Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
ShortDigest = Annotated[bytes, msgspec.Meta(min_length=SHORT_DIGEST_BYTES, max_length=SHORT_DIGEST_BYTES)]
Address = Annotated[str, msgspec.Meta(max_length=64, pattern=r"^[^:\s]+:[0-9]{1,5}$")]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]
PieceIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_PIECES)]


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The newest chosen revision that a scheduler knows: its number, the begin of its digest, and how long
    ago a majority of the voters confirmed it, as far as the sender knows.  Number 0: none yet."""

    number: Count
    digest: ShortDigest
    age_ms: Count


class Header(msgspec.Struct, frozen=True, array_like=True):
    """A revision without its body.  `parent`: the digest of the header before; of zeros for number 1."""

    number: Count
    parent: Digest
    author: Annotated[str, msgspec.Meta(max_length=MAX_AUTHOR_BYTES)]
    made_ms: UInt63
    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_BYTES)]
    body: Digest


class Ballot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Ordered; `proposer` stands for one life of one scheduler, so no two have the same ballot."""

    round: Count
    proposer: UInt63


# --- what was chosen ------------------------------------------------------------------------------------


class AskHead(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """What is the newest that you know?"""

    nonce: UInt63
    reply_to: Address


class HeadIs(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The answer.  `sender`: its own address; `accepted`: of a voter the highest number for which it has
    accepted a value or knows the chosen one; None where it has no record of that, or is no voter."""

    nonce: UInt63
    sender: Address
    number: Count
    accepted: Count | None


class FetchHeaders(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Tell me the chosen headers from this number on; 0: the newest alone."""

    start: Count
    reply_to: Address


class Headers(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Chosen headers, in order, without gaps; `first` is the lowest number that the sender still keeps."""

    first: Count
    headers: Annotated[tuple[Header, ...], msgspec.Meta(max_length=MAX_HEADERS_PER_MESSAGE)]


class FetchPieces(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Tell me these pieces of the compressed body with this digest."""

    nonce: UInt63
    body: Digest
    pieces: Annotated[tuple[PieceIndex, ...], msgspec.Meta(max_length=MAX_PIECES_PER_REQUEST)]
    reply_to: Address


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """One of `total` pieces; the nonce is that of the request."""

    nonce: UInt63
    index: PieceIndex
    total: Annotated[int, msgspec.Meta(ge=1, le=MAX_PIECES)]
    data: Annotated[bytes, msgspec.Meta(max_length=PIECE_BYTES)]


class Lacking(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """The answer to a request for pieces of a body that the receiver does not have."""

    nonce: UInt63


# --- the check before a ballot --------------------------------------------------------------------------


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """Could you act by this body?  Tell the proposer.  `holder`: where the body can be fetched."""

    body: Digest
    proposer: Address
    holder: Address


class Opinion(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """The answer; an empty `fault` says yes."""

    body: Digest
    fault: Annotated[str, msgspec.Meta(max_length=MAX_FAULT_BYTES)]


# --- the ballot: Paxos, one decision a number -----------------------------------------------------------


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """To a voter: promise me to accept nothing below this ballot."""

    number: Count
    ballot: Ballot
    reply_to: Address


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Promised; and what this voter has accepted for the number, with its ballot."""

    number: Count
    ballot: Ballot
    voter: Address
    accepted: Ballot | None = None
    header: Header | None = None


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """To a voter: accept this revision.  `holder`: where its body can be fetched."""

    ballot: Ballot
    header: Header
    reply_to: Address
    holder: Address


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Accepted, with its body, and kept on disk."""

    number: Count
    ballot: Ballot
    voter: Address


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """The ballot is below one that this voter has promised."""

    number: Count
    ballot: Ballot
    promised: Ballot


RevisionMessage = (
    AskHead | HeadIs | FetchHeaders | Headers | FetchPieces | Piece | Lacking | Proposal | Opinion
    | Prepare | Promise | Accept | Accepted | Rejected
)  # fmt: skip
