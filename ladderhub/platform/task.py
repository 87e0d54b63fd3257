"""An owner's set-up as it was requested, and its current state."""

from __future__ import annotations

from dataclasses import dataclass

from ladderhub.loop import Timer
from ladderhub.platform.conn import Offer
from ladderhub.platform.task_owner import TaskOwner
from ladderhub.signalling import Leg, Message, State


# What one set-up takes besides its description: itself, its attempt, and what the decision module keeps.
SETUP_BYTES = 4096


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A complete and valid set-up.  `machine` is the machine on which the task already runs, or ''."""

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

    def estimate_bytes(self) -> int:
        """About how many bytes of memory it takes until its last attempt has ended."""
        return SETUP_BYTES + len(self.description)


def estimate_bytes(message: Message) -> int:
    """As `SetupRequest.estimate_bytes`, of the message that it will be parsed from."""
    return SETUP_BYTES + len(message.description or "")


class Task:
    """One set-up of an owner, from its arrival until its last attempt has ended."""

    __slots__ = (
        "attempt_count", "deadline_timer", "leg", "number", "offer", "owner", "payer", "queued", "request",
        "until_ns", "withdrawing",
    )  # fmt: skip

    def __init__(self, number: int, request: SetupRequest, owner: TaskOwner, until_ns: int) -> None:
        self.number, self.request, self.owner, self.until_ns = number, request, owner, until_ns
        self.payer = owner  # its memory counts as this owner's, also after it has come on another connection
        self.leg = Leg()  # the exchange with the owner
        self.offer: Offer | None = None
        self.attempt_count = 0
        self.deadline_timer: Timer | None = None
        self.withdrawing = False  # the decision module was not told yet that no answer is needed
        self.queued = False  # the decision module was not told of it yet

    def is_waiting(self) -> bool:
        """Whether it still has to be placed."""
        return self.queued and self.leg.state is State.SET_UP
