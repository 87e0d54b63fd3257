"""Judges revisions in emulated fleets: one order everywhere, only chosen revisions active, and the delay."""

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

IN_FORCE_LIMIT_NS = 4 * S  # a change is in force on all reachable schedulers within this time


class Judge:
    """Checks the invariants on every record stored, revision activated and answer given."""

    def __init__(self, voters: tuple[str, ...]) -> None:
        self.voters = voters
        self.violations: list[str] = []
        self.chosen: dict[int, Header] = {}
        self.outcomes: dict[int, Outcome] = {}
        self.notices: Counter[Notice] = Counter()
        self._accepted: dict[tuple[int, Any, bytes], set[str]] = {}

    def on_stored(self, voter: str, record: Record) -> None:
        """Notes a stored record; a revision is chosen once a majority accepted it in one ballot."""
        accepted = record.accepted
        if accepted is None or voter not in self.voters:
            return
        header = accepted.header
        voters = self._accepted.setdefault((header.number, accepted.ballot, digest_of(header)), set())
        voters.add(voter)
        if len(voters) > len(self.voters) // 2:
            earlier = self.chosen.setdefault(header.number, header)
            if earlier != header:
                self.violations.append(f"revision {header.number} was chosen twice")
            parent = self.chosen.get(header.number - 1)
            if digest_of(parent) != header.parent:
                self.violations.append(f"revision {header.number} is no child of the one before")

    def on_activated(self, name: str, numbers: list[int], header: Header) -> None:
        """Checks an activation.  `numbers`: all revisions that this life has activated, in order."""
        if self.chosen.get(header.number) != header:
            self.violations.append(f"{name} acts by revision {header.number}, which was not chosen")
        if numbers != sorted(set(numbers)):
            self.violations.append(f"{name} acted by {numbers[-2:]} in one life")

    def on_answered(self, answer: Answer) -> None:
        """Checks an answer: one per request, and `Applied` only for a chosen revision."""
        if answer.request_id in self.outcomes:
            self.violations.append(f"request {answer.request_id} was answered twice")
        self.outcomes[answer.request_id] = answer.outcome
        if isinstance(answer.outcome, Applied):
            header = answer.outcome.header
            if self.chosen.get(header.number) != header:
                self.violations.append(f"request {answer.request_id} was told applied and was not chosen")


@dataclass
class RevisionVerdict:
    """What a simulation showed."""

    schedulers: int
    changes: int
    outcomes: dict[str, int]
    violations: list[str]
    unanswered: int  # requests to lives that were not killed
    differing: int  # schedulers whose active revision at the end is not the last chosen
    in_force_ns: list[int] = field(default_factory=list)  # of each applied change, on each one reachable
    first_ns: list[int] = field(default_factory=list)  # of each applied change, on the first scheduler
    bytes_per_s: float = 0.0
    max_bytes_per_s: float = 0.0  # of the scheduler that sent the most
    messages_per_s: float = 0.0

    def is_good(self) -> bool:
        """Whether no rule was violated and each change was in force in time."""
        is_late = self.get_max_in_force_s() > IN_FORCE_LIMIT_NS / S
        return not (self.violations or self.unanswered or self.differing or is_late)

    def get_max_in_force_s(self) -> float:
        """Returns the longest time until a change was in force on a reachable scheduler."""
        return max(self.in_force_ns, default=0) / S

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(self.outcomes.items()))
        yield f"{self.schedulers} schedulers, {self.changes} changes asked for: {outcomes}"
        yield f"first in force anywhere in s, p50 p99 most: {_format_quantiles(self.first_ns)}"
        yield f"in force on all that are reachable in s, p50 p99 most: {_format_quantiles(self.in_force_ns)}"
        yield (
            f"{self.bytes_per_s:.0f} bytes and {self.messages_per_s:.1f} messages a second "
            "sent by a scheduler"
        )
        yield f"{self.max_bytes_per_s:.0f} bytes a second sent by the one that sent most"
        yield f"without an answer: {self.unanswered}, without the last revision: {self.differing}"
        yield from self.violations[:5]


def _format_quantiles(spans_ns: list[int]) -> str:
    ordered = sorted(spans_ns) or [0]
    found = [
        ordered[len(ordered) // 2],
        ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)],
        ordered[-1],
    ]
    return " ".join(f"{span / S:.2f}" for span in found)
