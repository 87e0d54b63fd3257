"""Settings, events and actions of the membership decisions.  Times are nanoseconds of one steady clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ladderhub.membership.messages import MAX_NAME_LENGTH, MAX_SLOTS, Message

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What one member is given at its start.

    `life`: grows over all lives of a name, from the wall clock and what the last life left on disk.  `seeds`
    and `known`: addresses to begin with, from the settings and from an earlier life.  All time-outs of the
    protocol are multiples of `period_ns`."""

    name: str
    life: int
    address: str
    seeds: tuple[str, ...] = ()
    known: tuple[str, ...] = ()
    period_ns: int = SECOND_NS

    def __post_init__(self) -> None:
        if not self.name or len(self.name) > MAX_NAME_LENGTH:
            raise ValueError("name: 1 to 64 characters are meant")
        if self.life <= 0 or self.period_ns <= 0:
            raise ValueError("life and period_ns: must be above 0")


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """What one lease holder is given at its start.

    `slots`: over how many slots the cold budget is dealt.  `voters`: addresses, the same on all schedulers.
    `window_ns`: the cold window, for which offers count at a node."""

    name: str
    life: int
    address: str
    slots: int
    voters: tuple[str, ...]
    lease_ns: int
    window_ns: int

    def __post_init__(self) -> None:
        if not 0 < self.slots <= MAX_SLOTS:
            raise ValueError(f"slots: 1 to {MAX_SLOTS} are meant")
        if not self.voters or len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: at least one address is meant, each once")
        if self.lease_ns <= 0 or self.window_ns < 0:
            raise ValueError("lease_ns: must be above 0; window_ns: must not be negative")


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came from the process that calls itself so."""

    name: str
    life: int
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The moment that `WakeAt` asked for, or a later one."""


@dataclass(frozen=True, slots=True)
class Stop:
    """This scheduler ends: it leaves the group."""


Event = MessageReceived | Tick | Stop


class Change(Enum):
    """What has changed about a member.  The values stand in the log, where operators look for them."""

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
    """Call with `Tick` at this moment; replaces an earlier one."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A change of the view, with its cause, for the operator and for those who go by the view."""

    change: Change
    name: str
    life: int
    cause: str


@dataclass(frozen=True, slots=True)
class MembershipSummary:
    """The view as the lease holder needs it, told at every tick: the number of members, our rank among
    them by name, and whether peers confirm the view."""

    member_count: int
    rank: int
    confirmed: bool


@dataclass(frozen=True, slots=True)
class LeasesHeld:
    """From now on these slots and no others may be used, and none of them from `until_ns` on."""

    slots: tuple[int, ...]
    until_ns: int


Action = SendMessage | WakeAt | MemberChanged | LeasesHeld
