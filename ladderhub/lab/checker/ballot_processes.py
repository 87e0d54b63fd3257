"""The processes that the search of ballots runs: voters by their records, and operators' proposers."""

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
LATE = 1 << 60  # every timer is due


@dataclass(frozen=True)
class CheckedClasses:
    """The classes that are checked."""

    ledger: type[Ledger] = Ledger
    voter: type[Voter] = Voter
    decision: type[PaxosInstance] = PaxosInstance


@dataclass(frozen=True)
class Bounds:
    """`numbers`: revisions that are decided; `ballots`: of each operator's proposer, in all its lives;
    `restarts`: of each proposer; `states`: after which the search ends without having seen all."""

    numbers: int = 1
    ballots: tuple[int, int] = (1, 1)
    restarts: int = 0
    states: int = 1_000_000


@dataclass(frozen=True)
class VoterState:
    """What it has in memory and on disk."""

    memory: Record
    disk: Record


class Proposing:
    """One life of an operator's process: its change goes on top of whatever is current."""

    def __init__(
        self, classes: CheckedClasses, bounds: Bounds, address: str, life: int, begun: int = 0
    ) -> None:
        self.classes, self.bounds, self.life, self.begun = classes, bounds, life, begun
        self.ballots = bounds.ballots[OPERATORS.index(address)]
        self.context = Context(RevisionSettings(address, life, address, VOTERS, b""), life)
        self.ledger = classes.ledger(self.context, None)
        self._rounds = 0  # begun in this life
        self.decision: PaxosInstance | None = self._next()

    def _next(self) -> PaxosInstance | None:
        number = self.ledger.head_number + 1
        if number > self.bounds.numbers:
            return None
        name = self.context.settings.name
        own = Header(
            number,
            self.ledger.head_digest,
            name,
            0,
            f"change {number}, life {self.life}",
            body_digest(name.encode()),
        )
        return self.classes.decision(self.context, number, own, 1)

    def can_begin(self) -> bool:
        open_yet = self.decision is not None and self.decision.chosen is None
        return open_yet and self.begun < self.ballots

    def begin(self) -> None:
        """A ballot above the last one: after a rejection, or given up for any other reason."""
        assert self.decision is not None
        self.decision._ballot = None
        self.begun += 1
        self._rounds += 1
        self.decision.next_round = max(self.decision.next_round, self._rounds)
        self.decision.tick(LATE)

    def receive(self, message: Any) -> None:
        decision = self.decision
        if isinstance(message, Headers):
            if Sync(self.context, self.ledger).on_headers(0, "", message):
                self.decision = self._next()
        elif isinstance(message, FetchHeaders):
            Sync(self.context, self.ledger).on_fetch(message)
        elif decision is None:
            return
        elif isinstance(message, Promise):
            decision.on_promise(0, message)
        elif isinstance(message, Accepted):
            decision.on_accepted(message)
        elif isinstance(message, Rejected):
            decision.on_rejected(0, message)
        if decision is not None and decision.chosen is not None and self.ledger.extends_head(decision.chosen):
            self.ledger.record_chosen(decision.chosen)
            self.decision = self._next()
            if self.decision is not None:  # nothing is asked for after the last number
                for address in PROCESSES:
                    self.context.send(address, Headers(self.ledger.first_number, tuple(self.ledger.headers)))

    def key(self) -> Hashable:
        """All that its further steps rest on."""
        decision = self.decision
        if decision is None:
            return self.life, self.begun, self._rounds, tuple(self.ledger.headers)
        promises = tuple(sorted(decision._promises.items())) if decision._value is None else ()
        return (
            self.life, self.begun, self._rounds, tuple(self.ledger.headers), decision.number,
            decision.next_round, decision._ballot, promises, decision._value,
            frozenset(decision._accepted_by), decision.chosen,
        )  # fmt: skip

    def copied(self) -> Proposing:
        """A copy to go on with; what is only read is shared."""
        other = copy.copy(self)
        other.context = copy.copy(self.context)
        other.context.actions = []
        other.ledger = copy.deepcopy(self.ledger, {id(self.context): other.context})
        if self.decision is not None:
            other.decision = copy.copy(self.decision)
            other.decision._context = other.context
            other.decision._promises = dict(self.decision._promises)
            other.decision._accepted_by = set(self.decision._accepted_by)
            other.decision.answered_by = set()
        return other

    def rename(self, names: dict[str, str]) -> None:
        """Have it know the voters by other names."""
        decision = self.decision
        if decision is not None:
            promises = decision._promises.items()
            decision._promises = {names[voter]: replace(told, voter=names[voter]) for voter, told in promises}
            decision._accepted_by = {names[voter] for voter in decision._accepted_by}
