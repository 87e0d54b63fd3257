"""The rules that the auditor checks, the data that it reads from a recording, and its verdict."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

PLACED = "placed"  # the only answer that is not final: another may follow it
SERVING, GONE = "serving", "gone"  # stages of a node in the directory's lists
UNKNOWN_NS = -1  # the event is not in the recording
NEVER_NS = 1 << 62  # later than any event
MAX_BREACHES_SHOWN = 5


class Rule(StrEnum):
    """The five rules; the values are their names in reports."""

    ANSWER = "one answer in time"
    EFFECT = "no effect twice"
    DRAIN = "drains kept"
    COLD = "no cold node pushed over"
    SPREAD = "spread kept"


RULES = tuple(Rule)


@dataclass(frozen=True, slots=True)
class QueueRules:
    """The rules for one queue.  `window_ns`: how long every node discards repeats of a keyed job;
    `spread_most`: how many jobs of a service one scheduler may have in one rack, 0 for no limit."""

    effect: str
    limit_ns: int
    window_ns: int = 0
    spread_most: int = 0


@dataclass(frozen=True, slots=True)
class AuditRules:
    """The rules for one cluster.  `cold_safe`: offers per window that any cold node can take."""

    queues: dict[str, QueueRules]
    drain_grace_ns: int
    cold_span_ns: int
    cold_window_ns: int
    cold_safe: int


@dataclass(slots=True)
class Attempt:
    """One offer of a job to a node, as recorded."""

    job: str
    run: str
    scheduler: str
    node: str
    connection: int
    service: str
    queue: str
    offered_ns: int
    committed_ns: int = UNKNOWN_NS
    accepted_ns: int = UNKNOWN_NS
    closed_ns: int = UNKNOWN_NS  # its connection was closed
    over_ns: int = UNKNOWN_NS  # proof that it does not run, or no longer
    stop_ns: int = UNKNOWN_NS  # its node was told to end it
    known_ns: int = UNKNOWN_NS  # its scheduler learned that it runs, from a reply to an offer or query
    slot: str = ""  # slot and version of a copy of a service, "" for other jobs
    version: str = ""

    def mark_over(self, at_ns: int) -> None:
        """Set the time of the proof that it does not run, unless there is an earlier one."""
        if self.over_ns < 0:
            self.over_ns = at_ns


class Answer(NamedTuple):
    """What a scheduler told a client about its job."""

    at_ns: int
    outcome: str


class NodeNotice(NamedTuple):
    """What a list told a scheduler about a node."""

    at_ns: int
    stage: str
    ready_ns: int


@dataclass(slots=True)
class ObservedJob:
    """One job that a scheduler accepted."""

    job: str
    scheduler: str
    queue: str
    accepted_ns: int
    answers: list[Answer] = field(default_factory=list)  # as told to clients, without repetitions
    attempts: list[Attempt] = field(default_factory=list)
    deleted_ns: int = UNKNOWN_NS
    released_ns: int = UNKNOWN_NS  # NEVER_NS while it is held


@dataclass(slots=True)
class Verdict:
    """Number of checks and descriptions of the breaches, by rule."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    breaches: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})
    accepted: int = 0
    lost_with_scheduler: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    parse_errors: list[str] = field(default_factory=list)

    def is_good(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.breaches.values())

    def lines(self) -> list[str]:
        """Format the verdict for people."""
        lines = []
        for rule in RULES:
            breaches = self.breaches[rule]
            result = "kept" if not breaches else f"BROKEN {len(breaches)} times"
            lines.append(f"{rule:<26} {result:<18} checked {self.checked[rule]}")
            lines += [f"    {breach}" for breach in breaches[:MAX_BREACHES_SHOWN]]
        answers = ", ".join(f"{count} {outcome}" for outcome, count in sorted(self.answers.items()))
        lines.append(
            f"{self.accepted} jobs taken: {answers}; {self.lost_with_scheduler} went with a killed scheduler"
        )
        return lines
