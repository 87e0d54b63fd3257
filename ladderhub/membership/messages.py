"""Messages between members: plain data with bounds on every field.  `peers` frames and encodes them.

Structs are encoded as arrays with an integer tag: the order of fields and the tags are the wire format."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64
MAX_MESSAGE_ENTRIES = 64
DIGEST_BUCKETS = 64  # parts of a view that anti-entropy compares separately
BUCKET_DIGEST_BYTES = 4
MAX_SLOTS = 4096  # slots among which the cold budget of a fresh node may be divided

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH, pattern=r"^[^:\s]+:[0-9]{1,5}$")]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
UInt31 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]


class Status(IntEnum):
    """Status of a member.  Within one incarnation a higher value overrides a lower one.

    RETURNING: the member itself reports that it is alive to members that considered it gone, and no other
    member has confirmed it yet."""

    RETURNING = 0
    ALIVE = 1
    GONE = 2
    LEFT = 3


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A member as another member knows it."""

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
    """A direct probe.  `digest` and `members` summarise the sender's view; `gossip` is piggybacked."""

    number: UInt31
    digest: UInt63
    members: UInt31
    gossip: Entries = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to the ping with that number."""

    number: UInt31
    digest: UInt63
    members: UInt31
    gossip: Entries = ()


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks a proxy to probe a member that does not answer the sender (`ping-req` in SWIM)."""

    number: UInt31
    target: Entry


class IndirectAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The proxy heard that member `age_ms` ago."""

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
    """Anti-entropy: entries that the receiver may lack or hold in a different version."""

    entries: Entries


class NameConflict(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """This member also claims the receiver's name: the two settle which of them keeps it."""

    holder: Entry


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks a voter to grant or renew leases of these slots.

    `number` grows within a life.  The answer goes to `address`, and lists the free slots if the sender is
    `lacking` some."""

    number: UInt31
    slots: EncodedSlots
    address: Address
    lacking: bool


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A voter's answer to the request with that number: `slots` are granted.

    `free` lists the slots that no holder has, if the request asked for them."""

    number: UInt31
    slots: EncodedSlots
    free: EncodedSlots
    voter: Address


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The sender gives up these slots, as far as granted by requests up to that number."""

    number: UInt31
    slots: EncodedSlots


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
ViewMessage = (
    Ping | Ack | IndirectProbe | IndirectAck | IndirectNack | SyncDigest | SyncEntries | NameConflict
)
Message = ViewMessage | LeaseMessage
