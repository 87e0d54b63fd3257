"""What members tell each other.  Plain data with bounds on every part; framing and bytes are in `peers`."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

NAME_MOST = 64
NEWS_MOST = 64  # entries in one message
BUCKETS = 64  # parts of a view that are compared
SLOTS_MOST = 4096  # over which the safe number at a fresh node may be dealt

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
Address = Annotated[str, msgspec.Meta(max_length=NAME_MOST, pattern=r"^[^:\s]+:[0-9]{1,5}$")]
Word64 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 31)]


class Status(IntEnum):
    """In the order in which word of one incarnation overrides other word of it.  RETURNING: the member
    itself says that it is alive, to those who had it as gone, and nobody has confirmed it."""

    RETURNING = 0
    ALIVE = 1
    GONE = 2
    LEFT = 3


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A member as somebody knows it."""

    name: Name
    life: Word64
    address: Address
    incarnation: Count
    status: Status


Bits = Annotated[bytes, msgspec.Meta(max_length=SLOTS_MOST // 8 + 1)]
News = Annotated[tuple[Entry, ...], msgspec.Meta(max_length=NEWS_MOST)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there?  `digest` and `members` sum up the sender's view."""

    number: Count
    digest: Word64
    members: Count
    news: News = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """I am: the answer to a ping of that number."""

    number: Count
    digest: Word64
    members: Count
    news: News = ()


class Seek(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """I can't reach this member; can you?"""

    number: Count
    target: Entry


class Found(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """I heard that member so long ago."""

    number: Count
    name: Name
    life: Word64
    age_ms: Count


class Missed(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """That member did not answer me either."""

    number: Count
    name: Name
    life: Word64


class Compare(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Sums of the parts of the sender's view, four bytes each."""

    sums: Annotated[bytes, msgspec.Meta(min_length=4 * BUCKETS, max_length=4 * BUCKETS)]


class Part(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Entries that the receiver seems not to have, or has otherwise."""

    entries: News


class Taken(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Your name is held by this member: settle with it who stays."""

    holder: Entry


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """To an elector: grant me these slots.  Numbers grow within a life; the answer goes to `address`, and
    tells of free slots to one that lacks some."""

    number: Count
    slots: Bits
    address: Address
    lacking: bool


class Granted(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Of the claim of that number these are granted; `free`, where asked for, anybody may have."""

    number: Count
    slots: Bits
    free: Bits
    elector: Address


class Release(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """I use these no more: all that I claimed up to that number."""

    number: Count
    slots: Bits


SeatMessage = Claim | Granted | Release
Message = Ping | Ack | Seek | Found | Missed | Compare | Part | Taken | SeatMessage
