"""Settings, events and actions of the membership decisions.  Times are nanoseconds of a monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ladderhub.membership.messages import MAX_NAME_LENGTH, MAX_SLOTS, Message

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one member.

    `life`: increases with each life of a name, from the wall clock and the number stored by the last life.
    `seeds` and `known`: addresses to contact first, from the settings and from an earlier life.  All timeouts
    of the protocol are multiples of `period_ns`."""

    name: str
    life: int
    address: str
    seeds: tuple[str, ...] = ()
    known: tuple[str, ...] = ()
    period_ns: int = SECOND_NS

    def __post_init__(self) -> None:
        if not self.name or len(self.name) > MAX_NAME_LENGTH:
            raise ValueError("name: must have 1 to 64 characters")
        if self.life <= 0 or self.period_ns <= 0:
            raise ValueError("life and period_ns: must be greater than 0")


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings of one lease holder.

    `slots`: number of slots among which the cold budget is divided.  `voters`: addresses, the same on all
    schedulers.  `window_ns`: the cold window, for which an offer counts at a node."""

    name: str
    life: int
    address: str
    slots: int
    voters: tuple[str, ...]
    lease_ns: int
    window_ns: int

    def __post_init__(self) -> None:
        if not 0 < self.slots <= MAX_SLOTS:
            raise ValueError(f"slots: must be between 1 and {MAX_SLOTS}")
        if not self.voters or len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: must be distinct addresses, at least one")
        if self.lease_ns <= 0 or self.window_ns < 0:
            raise ValueError("lease_ns: must be greater than 0; window_ns: must not be negative")


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received; the sender gave this name, life and incarnation."""

    name: str
    life: int
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time requested by `WakeAt` has come; the event may be late."""


@dataclass(frozen=True, slots=True)
class Stop:
    """This scheduler stops and leaves the group."""


Event = MessageReceived | Tick | Stop


class Change(Enum):
    """Kinds of changes of a member.  The values are written to the log, where operators search for them."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    CLEARED = "cleared"
    GONE = "gone"
    LEFT = "left"
    REPORTED_GONE = "told that we are gone"
    DUPLICATE = "another process has our name"
    YIELDED = "yielded to the elder process of our name"
    RESUMED = "the elder process of our name is over"
    PAUSED = "woke from a pause"
    UNCONFIRMED = "nobody confirms our view"
    CONFIRMED = "view confirmed"


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to an address; it may be lost."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Deliver a `Tick` at this time; replaces an earlier request."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A change of the view and its cause, for the log and for users of the view."""

    change: Change
    name: str
    life: int
    cause: str


@dataclass(frozen=True, slots=True)
class MembershipSummary:
    """Summary of the view that the lease holder gets at every tick.

    It holds the number of members, our rank among them by name, and whether peers confirm the view."""

    member_count: int
    rank: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class LeasesHeld:
    """Exactly these slots may be used, until `until_ns`; replaces the previous set."""

    slots: tuple[int, ...]
    until_ns: int


Action = SendMessage | WakeAt | MemberChanged | LeasesHeld
