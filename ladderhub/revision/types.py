"""Settings, events, actions and outcomes.  Times are nanoseconds of one steady clock, except `made_ms`."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ladderhub.revision.messages import Ballot, Head, Header, RevisionMessage

MS, S = 1_000_000, 1_000_000_000


@dataclass(frozen=True, slots=True)
class RevisionSettings:
    """What one scheduler is told at its start.

    `life` grows over all lives of a name.  `voters`: addresses, the same on all schedulers; this scheduler is
    one where its `address` is among them.  `initial_body`: the body that its settings file gives, proposed as
    revision 1 where nothing is chosen yet."""

    name: str
    life: int
    address: str
    voters: tuple[str, ...]
    initial_body: bytes

    def __post_init__(self) -> None:
        if not self.voters or len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: at least one address is meant, each once")
        if self.life <= 0:
            raise ValueError("life: must be above 0")

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True, slots=True)
class Revision:
    """A chosen revision with its body; `digest` is that of its header."""

    header: Header
    digest: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Acceptance:
    """What a voter has accepted for the number after its head."""

    ballot: Ballot
    header: Header
    body: bytes


@dataclass(frozen=True, slots=True)
class Record:
    """What has to outlast the process, all of it or nothing.

    `headers`: the last chosen ones, in order.  `body`: of the last of them, or None while it is fetched.
    `active`, `active_body`: the header acted by, where that is not the last of `headers`.  `promised` and
    `accepted` speak of the number after the last header.  `votes_from`: the lowest number this voter may
    vote on; None until that is known."""

    headers: tuple[Header, ...] = ()
    body: bytes | None = None
    active: Header | None = None
    active_body: bytes | None = None
    promised: Ballot | None = None
    accepted: Acceptance | None = None
    votes_from: int | None = None


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Apply:
    """An operator wants this body to be in force.  `parent`: the digest of the revision that it was made
    from; None: on top of whatever is current.  Answered by one `Answer` with the same `request_id`."""

    request_id: int
    parent: bytes | None
    author: str
    reason: str
    made_ms: int
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyChecked:
    """The answer to `CheckBody`: what keeps this scheduler from acting by it, or None."""

    digest: bytes
    fault: str | None


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came from the process that calls itself so."""

    name: str
    life: int
    message: RevisionMessage


@dataclass(frozen=True, slots=True)
class HeadSeen:
    """A frame came from the peer at this address, and this was its head."""

    address: str
    head: Head


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The other schedulers in the view, names and addresses."""

    addresses: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Tick:
    """The moment that `WakeAt` asked for, or a later one."""


Event = Apply | BodyChecked | MessageReceived | HeadSeen | MembersChanged | Tick


# --- outcomes of an `Apply` -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Applied:
    """Chosen.  `silent`: members that did not say in time whether they can act by it."""

    header: Header
    digest: bytes
    silent: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The revision in force has this body already."""

    header: Header
    digest: bytes


@dataclass(frozen=True, slots=True)
class StaleParent:
    """It was made from a revision that is not current; this one is (None: nothing is chosen yet)."""

    current: Header | None
    digest: bytes


@dataclass(frozen=True, slots=True)
class LostTo:
    """Another revision was chosen first."""

    winner: Header
    digest: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """A member can't act by it; it is in force nowhere."""

    member: str
    fault: str


@dataclass(frozen=True, slots=True)
class NoMajority:
    """Too few voters answered.  `may_follow`: some may have accepted it, so it may yet be chosen.  `age_ns`:
    since a majority last confirmed what is in force here; None: never in this life."""

    answered: int
    voters: int
    may_follow: bool
    age_ns: int | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request itself makes no sense here, or too many wait already."""

    fault: str


Outcome = Applied | Unchanged | StaleParent | LostTo | Refused | NoMajority | Invalid


# --- actions, to be carried out in the order given ------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address; it may be lost."""

    address: str
    message: RevisionMessage


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call with `Tick` at this moment; replaces an earlier one."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class CheckBody:
    """Could this scheduler act by this body?  Answer with `BodyChecked`, at once or later."""

    digest: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Store:
    """Keep this on disk in place of the record before; carry out no later action until it is there."""

    record: Record


@dataclass(frozen=True, slots=True)
class Activate:
    """Act by this revision from now on."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Answer:
    """What became of an `Apply`."""

    request_id: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Hold:
    """Decide nothing on new jobs until `Resume`: what is active may be old."""

    reason: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Decide again, by what is active."""


class Notice(Enum):
    """What is told to the operator."""

    CHOSEN = "chosen"
    ACTIVE = "active"
    CANNOT_ACTIVATE = "cannot act by the chosen revision"
    FILE_DIFFERS = "the settings file is not what is in force"
    FILE_REFUSED = "a member cannot act by the settings file, so it is not the first revision"
    CONFLICT = "two chosen revisions of one number"
    SKIPPED = "revisions skipped while catching up"
    BEHIND = "going on by a revision that may be old"
    CAUGHT_UP = "caught up"
    NOT_VOTING = "a voter without its record does not vote yet"
    VOTING = "this voter votes"


@dataclass(frozen=True, slots=True)
class Notify:
    """For the log."""

    notice: Notice
    text: str


Action = Send | WakeAt | CheckBody | Store | Activate | Answer | Hold | Resume | Notify


@dataclass(frozen=True, slots=True)
class Status:
    """For whoever asks.  `age_ns`: since a majority of the voters last confirmed the head, as far as known
    here.  `fault`: why the head is not acted by."""

    head: Header | None
    digest: bytes
    active: Header | None
    age_ns: int | None
    hold_reason: str | None = None
    fault: str | None = None
    file_differs: bool = False
    history: tuple[Header, ...] = field(default_factory=tuple)
