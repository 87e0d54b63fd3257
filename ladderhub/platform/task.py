"""One set-up of an owner, as it was asked for and as it stands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ladderhub.loop import Timer
from ladderhub.platform.conn import Offer
from ladderhub.signalling import Leg, Message, State


class TaskOwner(Protocol):
    """An owner's connection, as tasks see it."""

    alive: bool

    def send(self, message: Message) -> None: ...

    def read_pending(self) -> None:
        """Take what has come from the owner and was not read yet: it may have gone, or want no answer."""


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A set-up that was read whole and makes sense.  `machine` is where the task stands already, or ''."""

    id: str
    klass: int
    klass_name: str
    tenant: int
    key: str
    service: str
    cores: float
    memory: float
    left_ns: int
    description: str
    machine: str


class Task:
    """One set-up of an owner, from its arrival until its last attempt has ended."""

    __slots__ = (
        "attempt_count", "deadline_timer", "leg", "number", "offer", "owner", "queued", "request", "until_ns",
        "withdrawing",
    )  # fmt: skip

    def __init__(self, number: int, request: SetupRequest, owner: TaskOwner, until_ns: int) -> None:
        self.number, self.request, self.owner, self.until_ns = number, request, owner, until_ns
        self.leg = Leg()  # towards the owner
        self.offer: Offer | None = None
        self.attempt_count = 0
        self.deadline_timer: Timer | None = None
        self.withdrawing = False  # the module has not heard yet that no answer is owed
        self.queued = False  # the module has not heard of it yet

    def is_waiting(self) -> bool:
        """Whether it is still to be placed."""
        return self.queued and self.leg.state is State.SET_UP
