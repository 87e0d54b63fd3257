"""Settings, events and actions of the membership decisions.  Times are nanoseconds of one steady clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ladderhub.membership.messages import Message

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What one member is told at its start.

    `life`: grows over all lives of a name, from the wall clock and what the last life left on disk.  `seeds`
    and `known`: addresses to begin with, from the settings and from an earlier life.  All spans of the
    protocol are multiples of `period_ns`."""

    name: str
    life: int
    address: str
    seeds: tuple[str, ...] = ()
    known: tuple[str, ...] = ()
    period_ns: int = S

    def __post_init__(self) -> None:
        if not self.name or len(self.name) > 64:
            raise ValueError("name: 1 to 64 characters are meant")
        if self.life <= 0 or self.period_ns <= 0:
            raise ValueError("life and period_ns: must be above 0")


@dataclass(frozen=True, slots=True)
class Heard:
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
    """This scheduler ends: it takes its leave."""


Event = Heard | Tick | Stop


class Change(Enum):
    """What is told of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    CLEARED = "cleared"
    GONE = "gone"
    LEFT = "left"
    SELF_GONE = "told that we are gone"
    DUPLICATE = "another process has our name"
    YIELDED = "yielded to the elder process of our name"
    RESUMED = "the elder process of our name is over"
    WOKE = "woke from a pause"
    UNSURE = "nobody confirms our view"
    SURE = "view confirmed"


@dataclass(frozen=True, slots=True)
class Say:
    """Send a message to an address; it may be lost."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call with `Tick` at this moment; replaces an earlier one."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class Told:
    """A change, with its cause, for the operator and for those who go by the view."""

    change: Change
    name: str
    life: int
    cause: str


@dataclass(frozen=True, slots=True)
class Share:
    """For seats: how many members the view has, the how-manieth we are by name, and whether peers confirm it.
    Told at every look."""

    members: int
    rank: int
    sure: bool


@dataclass(frozen=True, slots=True)
class SeatsHeld:
    """From now on these slots and no others may be used, and none of them from `until_ns` on."""

    slots: tuple[int, ...]
    until_ns: int


Action = Say | WakeAt | Told | SeatsHeld
