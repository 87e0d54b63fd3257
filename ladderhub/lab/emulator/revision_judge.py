"""The judge of emulated fleets: one order everywhere, nothing acted by that was not chosen, and how soon."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from ladderhub.lab.emulator.net import S
from ladderhub.revision import Answer, Record
from ladderhub.revision.content import digest_of
from ladderhub.revision.messages import Header
from ladderhub.revision.types import Applied, Notice, Outcome

IN_FORCE_NS = 4 * S


class Judge:
    """What must hold, held against what was stored, activated and answered."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters = voters
        self.violations: list[str] = []
        self.chosen: dict[int, Header] = {}
        self.outcomes: dict[int, Outcome] = {}
        self.notices: Counter[Notice] = Counter()
        self._accepted: dict[tuple[int, Any, bytes], set[str]] = {}

    def stored(self, voter: str, record: Record) -> None:
        """What a majority of the voters has accepted in one ballot, with its body, is chosen."""
        accepted = record.accepted
        if accepted is None or voter not in self.voters:
            return
        header = accepted.header
        voters = self._accepted.setdefault((header.number, accepted.ballot, digest_of(header)), set())
        voters.add(voter)
        if len(voters) > len(self.voters) // 2:
            before = self.chosen.setdefault(header.number, header)
            if before != header:
                self.violations.append(f"revision {header.number} was chosen twice")
            parent = self.chosen.get(header.number - 1)
            if digest_of(parent) != header.parent:
                self.violations.append(f"revision {header.number} is no child of the one before")

    def activated(self, name: str, numbers: list[int], header: Header) -> None:
        """`numbers`: of all that this life has acted by, in order."""
        if self.chosen.get(header.number) != header:
            self.violations.append(f"{name} acts by revision {header.number}, which was not chosen")
        if numbers != sorted(set(numbers)):
            self.violations.append(f"{name} acted by {numbers[-2:]} in one life")

    def answered(self, answer: Answer) -> None:
        if answer.request_id in self.outcomes:
            self.violations.append(f"request {answer.request_id} was answered twice")
        self.outcomes[answer.request_id] = answer.outcome
        if isinstance(answer.outcome, Applied):
            header = answer.outcome.header
            if self.chosen.get(header.number) != header:
                self.violations.append(f"request {answer.request_id} was told applied and was not chosen")


@dataclass
class RevisionVerdict:
    """What a play showed."""

    schedulers: int
    changes: int
    outcomes: dict[str, int]
    violations: list[str]
    unanswered: int  # requests of lives that were not killed
    differing: int  # schedulers whose head is not the last chosen one at the end
    in_force_ns: list[int] = field(default_factory=list)  # of each applied change on each reachable one
    first_ns: list[int] = field(default_factory=list)
    bytes_per_s: float = 0.0
    bytes_s_most: float = 0.0  # of the scheduler that sent most
    messages_s: float = 0.0

    def is_good(self) -> bool:
        late = self.most_s() > IN_FORCE_NS / S
        return not (self.violations or self.unanswered or self.differing or late)

    def most_s(self) -> float:
        return max(self.in_force_ns, default=0) / S

    def lines(self) -> Iterator[str]:
        told = ", ".join(f"{count} {name}" for name, count in sorted(self.outcomes.items()))
        yield f"{self.schedulers} schedulers, {self.changes} changes asked for: {told}"
        yield f"first in force anywhere in s, p50 p99 most: {_spans(self.first_ns)}"
        yield f"in force on all that are reachable in s, p50 p99 most: {_spans(self.in_force_ns)}"
        yield f"{self.bytes_per_s:.0f} bytes and {self.messages_s:.1f} messages a second sent by a scheduler"
        yield f"{self.bytes_s_most:.0f} bytes a second sent by the one that sent most"
        yield f"without an answer: {self.unanswered}, without the last revision: {self.differing}"
        yield from self.violations[:5]


def _spans(spans_ns: list[int]) -> str:
    ordered = sorted(spans_ns) or [0]
    at = [ordered[len(ordered) // 2], ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)], ordered[-1]]
    return " ".join(f"{span / S:.2f}" for span in at)
