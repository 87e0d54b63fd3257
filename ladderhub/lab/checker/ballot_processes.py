"""State of the processes in the ballot search: voters, given by their records, and operators' proposers."""

from __future__ import annotations

import copy
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from ladderhub.revision.ballots import PaxosInstance
from ladderhub.revision.content import body_digest
from ladderhub.revision.context import Context
from ladderhub.revision.ledger import Ledger
from ladderhub.revision.messages import Accepted, FetchHeaders, Header, Headers, Promise, Rejected
from ladderhub.revision.sync import Sync
from ladderhub.revision.types import Record, RevisionSettings
from ladderhub.revision.voter import Voter

VOTERS = ("v0:1", "v1:1", "v2:1")
OPERATORS = ("p0:1", "p1:1")
PROCESSES = (*VOTERS, *OPERATORS)
FAR_FUTURE_NS = 1 << 60  # later than every timer


@dataclass(frozen=True)
class CheckedClasses:
    """The classes under test; tests replace them to inject faults."""

    ledger: type[Ledger] = Ledger
    voter: type[Voter] = Voter
    instance: type[PaxosInstance] = PaxosInstance


@dataclass(frozen=True)
class Bounds:
    """Limits of the search.

    `numbers`: how many revisions are decided.  `ballots`: how many ballots each operator's proposer may begin
    over all its lives.  `restarts`: how often each proposer may restart.  `states`: after how many states the
    search stops, even if it is not complete."""

    numbers: int = 1
    ballots: tuple[int, int] = (1, 1)
    restarts: int = 0
    states: int = 1_000_000


@dataclass(frozen=True)
class VoterState:
    """A voter's record in memory and on disk."""

    memory: Record
    disk: Record


class ProposerProcess:
    """One life of an operator's process, which proposes a change on top of the current revision."""

    def __init__(
        self, classes: CheckedClasses, bounds: Bounds, address: str, life: int, ballots_begun: int = 0
    ) -> None:
        self.classes, self.bounds, self.life, self.ballots_begun = classes, bounds, life, ballots_begun
        self.max_ballots = bounds.ballots[OPERATORS.index(address)]
        self.context = Context(RevisionSettings(address, life, address, VOTERS, b""), life)
        self.ledger = classes.ledger(self.context, None)
        self._rounds_begun = 0
        self.instance: PaxosInstance | None = self._create_next_instance()

    def _create_next_instance(self) -> PaxosInstance | None:
        number = self.ledger.head_number + 1
        if number > self.bounds.numbers:
            return None
        name = self.context.settings.name
        own_header = Header(
            number,
            self.ledger.head_digest,
            name,
            0,
            f"change {number}, life {self.life}",
            body_digest(name.encode()),
        )
        return self.classes.instance(self.context, number, own_header, 1)

    def can_begin_ballot(self) -> bool:
        """Whether its revision is still undecided and it has ballots left."""
        is_undecided = self.instance is not None and self.instance.chosen is None
        return is_undecided and self.ballots_begun < self.max_ballots

    def begin_ballot(self) -> None:
        """Begins a ballot above the last one, whether that was rejected or abandoned."""
        assert self.instance is not None
        self.instance._ballot = None
        self.ballots_begun += 1
        self._rounds_begun += 1
        self.instance.next_round = max(self.instance.next_round, self._rounds_begun)
        self.instance.tick(FAR_FUTURE_NS)

    def receive(self, message: Any) -> None:
        """Handles one message and records its revision once that is chosen."""
        instance = self.instance
        if isinstance(message, Headers):
            if Sync(self.context, self.ledger).on_headers(0, "", message):
                self.instance = self._create_next_instance()
        elif isinstance(message, FetchHeaders):
            Sync(self.context, self.ledger).on_fetch(message)
        elif instance is None:
            return
        elif isinstance(message, Promise):
            instance.on_promise(0, message)
        elif isinstance(message, Accepted):
            instance.on_accepted(message)
        elif isinstance(message, Rejected):
            instance.on_rejected(0, message)
        if instance is not None and instance.chosen is not None and self.ledger.extends_head(instance.chosen):
            self.ledger.record_chosen(instance.chosen)
            self.instance = self._create_next_instance()
            if self.instance is not None:  # nobody fetches headers after the last number
                for address in PROCESSES:
                    self.context.send(address, Headers(self.ledger.first_number, tuple(self.ledger.headers)))

    def build_state_key(self) -> Hashable:
        """Returns everything that determines the process's future steps."""
        instance = self.instance
        if instance is None:
            return self.life, self.ballots_begun, self._rounds_begun, tuple(self.ledger.headers)
        promises = tuple(sorted(instance._promises.items())) if instance._value is None else ()
        return (
            self.life, self.ballots_begun, self._rounds_begun, tuple(self.ledger.headers), instance.number,
            instance.next_round, instance._ballot, promises, instance._value,
            frozenset(instance._accepted_by), instance.chosen,
        )  # fmt: skip

    def clone(self) -> ProposerProcess:
        """Returns a copy that can run independently; data that is only read is shared."""
        other = copy.copy(self)
        other.context = copy.copy(self.context)
        other.context.actions = []
        other.ledger = copy.deepcopy(self.ledger, {id(self.context): other.context})
        if self.instance is not None:
            other.instance = copy.copy(self.instance)
            other.instance._context = other.context
            other.instance._promises = dict(self.instance._promises)
            other.instance._accepted_by = set(self.instance._accepted_by)
            other.instance.answered_by = set()
        return other

    def rename_voters(self, names: dict[str, str]) -> None:
        """Replaces voters' names in the proposer's state."""
        instance = self.instance
        if instance is not None:
            promises = instance._promises.items()
            instance._promises = {
                names[voter]: replace(promise, voter=names[voter]) for voter, promise in promises
            }
            instance._accepted_by = {names[voter] for voter in instance._accepted_by}
