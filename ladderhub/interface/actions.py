"""Actions: what the caller of a scheduler is to carry out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Offer the task to a machine.  Attempts are numbered from 0.  Without a time-out, the deadline holds."""

    task: int
    machine: str
    timeout_ns: int | None = None


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel an attempt; its outcome is still reported."""

    task: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not placed, and asking again is safe, after `stay_away_ns` if given."""

    task: int
    stay_away_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer that makes no claim about whether the task ran."""

    task: int


@dataclass(frozen=True, slots=True)
class Move:
    """Stop a placed task so that its owner asks for it again."""

    task: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` at or after a time."""

    at_ns: int
    timer: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a machine for its load report."""

    machine: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close this scheduler's idle connections to a machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a short message to one other scheduler, or to all of them (`peer` None)."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Follow:
    """Subscribe to changes of the machine list, or unsubscribe."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Request the complete machine list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log for the operator."""

    text: str


Action = Send | Abort | Refuse | Fail | Move | SetTimer | Probe | CloseIdle | Tell | Follow | Fetch | Log
