"""What a scheduler says is to be done."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Offer the task to a machine; attempts of a task count 0, 1, 2 ...  No time-out means the deadline."""

    task: int
    machine: str
    timeout_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Abort:
    """Stop waiting for an attempt; its outcome still comes."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not placed, and asking again does no harm."""

    task: int
    stay_away_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that promises nothing of what happened."""

    task: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task so that its owner asks again."""

    task: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after a moment."""

    at_ns: int
    timer: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its report."""

    machine: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this scheduler's idle connections to a machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class Tell:
    """A short message to one other scheduler, or to all (`peer` None)."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask discovery for changes from now on, or to stop."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask discovery for the complete list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operator."""

    text: str


Action = Send | Abort | Refuse | Fail | Move | SetTimer | Probe | CloseIdle | Tell | Follow | Fetch | Log
