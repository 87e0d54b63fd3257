"""Settings, events, actions and outcomes of the revision decisions.

Times are nanoseconds of one monotonic clock, except `made_ms`, which is wall clock time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from ladderhub.revision.messages import Ballot, Head, Header, RevisionMessage

MS, S = 1_000_000, 1_000_000_000  # in nanoseconds


@dataclass(frozen=True, slots=True)
class RevisionSettings:
    """The start parameters of one scheduler.

    `life` grows with each life of a name.  `voters`: the addresses of the voters, the same on all schedulers;
    this scheduler is a voter if its `address` is among them.  `initial_body`: the body from its settings
    file, proposed as revision 1 if nothing is chosen yet."""

    name: str
    life: int
    address: str
    voters: tuple[str, ...]
    initial_body: bytes

    def __post_init__(self) -> None:
        if not self.voters or len(set(self.voters)) != len(self.voters):
            raise ValueError("voters: expected at least one address and no duplicates")
        if self.life <= 0:
            raise ValueError("life: must be greater than 0")

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
    """The value that a voter has accepted for the number after its head."""

    ballot: Ballot
    header: Header
    body: bytes


@dataclass(frozen=True, slots=True)
class Record:
    """The state that must survive a restart; it is stored atomically.

    `headers`: the last chosen headers, in order.  `body`: the body of the last header, or None until it has
    been fetched.  `active` and `active_body`: the revision last activated, which can be older than the last
    of `headers`.  `promised` and `accepted` refer to the number after the last header.  `votes_from`: the
    lowest number on which this voter may vote; None until that is known."""

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
    """An operator requests that this body come into force.

    `parent`: the digest of the revision that the body was edited from; None: whichever revision is current.
    Answered by exactly one `Answer` with the same `request_id`."""

    request_id: int
    parent: bytes | None
    author: str
    reason: str
    made_ms: int
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyChecked:
    """The result of `CheckBody`.  `fault`: why this scheduler can't act by the body, or None if it can."""

    digest: bytes
    fault: str | None


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived; `name` and `life` are those that the sender claims."""

    name: str
    life: int
    message: RevisionMessage


@dataclass(frozen=True, slots=True)
class HeadSeen:
    """A frame arrived from the peer at this address and carried its head."""

    address: str
    head: Head


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members in the membership view have changed.  `addresses`: by member name."""

    addresses: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Tick:
    """The time requested by `WakeAt` has been reached."""


Event = Apply | BodyChecked | MessageReceived | HeadSeen | MembersChanged | Tick


# --- outcomes of an `Apply` -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Applied:
    """The body was chosen.  `silent`: members that did not report in time whether they can act by it."""

    header: Header
    digest: bytes
    silent: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The current revision already has this body."""

    header: Header
    digest: bytes


@dataclass(frozen=True, slots=True)
class StaleParent:
    """The requested parent is not the current revision.  `current`: None if nothing is chosen yet."""

    current: Header | None
    digest: bytes


@dataclass(frozen=True, slots=True)
class LostTo:
    """Another child of the same parent was chosen first."""

    winner: Header
    digest: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """A member can't act by the body, so it does not come into force anywhere."""

    member: str
    fault: str


@dataclass(frozen=True, slots=True)
class NoMajority:
    """Too few voters answered.

    `may_follow`: some voters may have accepted the body, so it can still be chosen later.  `age_ns`: the time
    since a majority last confirmed the head of this scheduler; None: never in this life."""

    answered: int
    voters: int
    may_follow: bool
    age_ns: int | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request is malformed, or too many requests are already queued."""

    fault: str


Outcome = Applied | Unchanged | StaleParent | LostTo | Refused | NoMajority | Invalid


# --- actions, to be carried out in the order given ------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to an address, without guarantee of delivery."""

    address: str
    message: RevisionMessage


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call `handle` with a `Tick` at this time; replaces the previous request."""

    at_ns: int


@dataclass(frozen=True, slots=True)
class CheckBody:
    """Check whether this scheduler can act by this body; answer with `BodyChecked`, now or later."""

    digest: bytes
    body: bytes


@dataclass(frozen=True, slots=True)
class Store:
    """Write this record to disk in place of the previous one; later actions wait until that is done."""

    record: Record


@dataclass(frozen=True, slots=True)
class Activate:
    """Act by this revision from now on."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of an `Apply`."""

    request_id: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Hold:
    """Make no decisions on new jobs until `Resume`, because the active revision may be outdated."""

    reason: str


@dataclass(frozen=True, slots=True)
class Resume:
    """Make decisions again, by the active revision."""


class Notice(Enum):
    """The kinds of notices to the operator."""

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
    """Log a notice."""

    notice: Notice
    text: str


Action = Send | WakeAt | CheckBody | Store | Activate | Answer | Hold | Resume | Notify


@dataclass(frozen=True, slots=True)
class Status:
    """The state of revisions on this scheduler.

    `age_ns`: the time since a majority of the voters last confirmed the head, as far as this scheduler knows.
    `hold_reason`: why decisions are held, or None.  `fault`: why this scheduler can't act by the head, or
    None.  `file_differs`: the settings file differs from the head."""

    head: Header | None
    digest: bytes
    active: Header | None
    age_ns: int | None
    hold_reason: str | None = None
    fault: str | None = None
    file_differs: bool = False
    history: tuple[Header, ...] = field(default_factory=tuple)
