"""The rules that the auditor judges by, what it reads from a recording, and its verdict."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

PLACED = "placed"  # the answer that is not final: others may follow it
SERVING, GONE = "serving", "gone"  # stages of a node in the directory's lists
UNKNOWN_NS = -1  # what has not happened
NEVER_NS = 1 << 62
MAX_BREACHES_SHOWN = 5


class Rule(StrEnum):
    """The five rules, as they are named in reports."""

    ANSWER = "one answer in time"
    EFFECT = "no effect twice"
    DRAIN = "drains kept"
    COLD = "no cold node pushed over"
    SPREAD = "spread kept"


RULES = tuple(Rule)


@dataclass(frozen=True, slots=True)
class QueueRules:
    """What the rules say of one queue.  `window_ns`: how long repeats of a keyed job are discarded, by any
    node; `spread_most`: most of a service in one rack by one scheduler, 0 for no bound."""

    effect: str
    limit_ns: int
    window_ns: int = 0
    spread_most: int = 0


@dataclass(frozen=True, slots=True)
class AuditRules:
    """What the rules say of a site."""

    queues: dict[str, QueueRules]
    drain_grace_ns: int
    cold_span_ns: int
    cold_window_ns: int
    cold_safe: int


@dataclass(slots=True)
class Attempt:
    """One offer of a job, as it went over the wire."""

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
    closed_ns: int = UNKNOWN_NS  # its connection ended
    over_ns: int = UNKNOWN_NS  # proof that it does not run (any more)
    stop_ns: int = UNKNOWN_NS  # its node was told to end it
    known_ns: int = UNKNOWN_NS  # its scheduler was told that it runs, by the answer or on asking
    slot: str = ""  # of a copy of a service: which slot and version it is
    version: str = ""

    def proven_over(self, at_ns: int) -> None:
        """The first proof counts."""
        if self.over_ns < 0:
            self.over_ns = at_ns


class Answer(NamedTuple):
    """What a client was told of its job."""

    at_ns: int
    word: str


class NodeNotice(NamedTuple):
    """What a scheduler was told of a node by a list."""

    at_ns: int
    stage: str
    ready_ns: int


@dataclass(slots=True)
class JobSeen:
    """One job that a scheduler took."""

    job: str
    scheduler: str
    queue: str
    accepted_ns: int
    answers: list[Answer] = field(default_factory=list)  # as clients were told, when they changed
    attempts: list[Attempt] = field(default_factory=list)
    deleted_ns: int = UNKNOWN_NS
    released_ns: int = UNKNOWN_NS  # NEVER_NS while it is held


@dataclass(slots=True)
class Verdict:
    """What was checked under each rule, and each breach in words."""

    checked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    breaches: dict[str, list[str]] = field(default_factory=lambda: {rule: [] for rule in RULES})
    accepted: int = 0
    lost_with_scheduler: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    parse_errors: list[str] = field(default_factory=list)

    def is_good(self) -> bool:
        return not any(self.breaches.values())

    def lines(self) -> list[str]:
        lines = []
        for rule in RULES:
            breaches = self.breaches[rule]
            word = "kept" if not breaches else f"BROKEN {len(breaches)} times"
            lines.append(f"{rule:<26} {word:<18} checked {self.checked[rule]}")
            lines += [f"    {breach}" for breach in breaches[:MAX_BREACHES_SHOWN]]
        answers = ", ".join(f"{count} {word}" for word, count in sorted(self.answers.items()))
        lines.append(
            f"{self.accepted} jobs taken: {answers}; {self.lost_with_scheduler} went with a killed scheduler"
        )
        return lines
