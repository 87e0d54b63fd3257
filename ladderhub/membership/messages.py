"""Messages between members.  Plain data with bounds on every field; framing and bytes are in `peers`.

Structs are encoded as arrays with an integer tag: the order of fields and the tags are the wire format."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
MAX_MESSAGE_ENTRIES = 64
DIGEST_BUCKETS = 64  # parts of a view that anti-entropy compares
BUCKET_DIGEST_BYTES = 4
MAX_SLOTS = 4096  # slots over which the cold budget of a fresh node may be dealt

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH, pattern=r"^[^:\s]+:[0-9]{1,5}$")]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
UInt31 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]


class Status(IntEnum):
    """In the order in which reports of one incarnation override each other.  RETURNING: the member itself
    says that it is alive, to those who had it as gone, and nobody has confirmed it."""

    RETURNING = 0
    ALIVE = 1
    GONE = 2
    LEFT = 3


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A member as somebody knows it."""

    name: Name
    life: UInt63
    address: Address
    incarnation: UInt31
    status: Status


EncodedSlots = Annotated[bytes, msgspec.Meta(max_length=MAX_SLOTS // 8 + 1)]
Entries = Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_MESSAGE_ENTRIES)]
EncodedDigests = Annotated[
    bytes,
    msgspec.Meta(
        min_length=BUCKET_DIGEST_BYTES * DIGEST_BUCKETS, max_length=BUCKET_DIGEST_BYTES * DIGEST_BUCKETS
    ),
]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A direct probe.  `digest` and `members` sum up the sender's view; `gossip` rides along."""

    number: UInt31
    digest: UInt63
    members: UInt31
    gossip: Entries = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ping of that number."""

    number: UInt31
    digest: UInt63
    members: UInt31
    gossip: Entries = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a proxy to probe a member that does not answer the sender (`ping-req` in SWIM)."""

    number: UInt31
    target: Entry


class IndirectAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The proxy has heard that member so long ago."""

    number: UInt31
    name: Name
    life: UInt63
    age_ms: UInt31


class IndirectNack(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """That member did not answer the proxy either."""

    number: UInt31
    name: Name
    life: UInt63


class SyncDigest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Anti-entropy: digests of the buckets of the sender's view."""

    bucket_digests: EncodedDigests


class SyncEntries(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Anti-entropy: entries that the receiver seems to lack, or has otherwise."""

    entries: Entries


class NameConflict(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The receiver's name is held by this member: the two are to settle who stays."""

    holder: Entry


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """To a voter: grant or renew leases of these slots.  Numbers grow within a life; the answer goes to
    `address`, and names free slots where the sender is `lacking` some."""

    number: UInt31
    slots: EncodedSlots
    address: Address
    lacking: bool


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A voter's answer to the request of that number: these are granted; `free`, where asked for, are
    held by nobody."""

    number: UInt31
    slots: EncodedSlots
    free: EncodedSlots
    voter: Address


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The sender no longer uses these slots, by any request up to that number."""

    number: UInt31
    slots: EncodedSlots


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
ViewMessage = (
    Ping | Ack | IndirectProbe | IndirectAck | IndirectNack | SyncDigest | SyncEntries | NameConflict
)
Message = ViewMessage | LeaseMessage
