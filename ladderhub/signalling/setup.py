"""The states of a set-up on one leg, owner to scheduler or scheduler to machine, in one table."""

from __future__ import annotations

from enum import Enum

from ladderhub.signalling.table import SignalError


class State(Enum):
    """Where a set-up is: not begun, asked and unanswered, answered and running, ended."""

    IDLE = "idle"
    SET_UP = "set up"
    ESTABLISHED = "stands"
    OVER = "over"


class Step(Enum):
    """What moves it.  `at` set-ups stand from the start; a give-up and a release differ only by state."""

    SETUP = "set-up"
    ADOPT = "set-up of a task that stands"
    ANSWER = "answer"
    RELEASE = "release"
    MOVE = "move"


TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.IDLE, Step.SETUP): State.SET_UP,
    (State.IDLE, Step.ADOPT): State.ESTABLISHED,
    (State.SET_UP, Step.ANSWER): State.ESTABLISHED,
    (State.SET_UP, Step.RELEASE): State.OVER,
    (State.ESTABLISHED, Step.RELEASE): State.OVER,
    (State.ESTABLISHED, Step.MOVE): State.OVER,
}


class Leg:
    """One set-up's state."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = State.IDLE

    def can_step(self, step: Step) -> bool:
        return (self.state, step) in TRANSITIONS

    def step(self, step: Step) -> None:
        """Take a step; SignalError where the state has no such step."""
        if not self.can_step(step):
            raise SignalError(f"no {step.value} where a set-up is {self.state.value}")
        self.state = TRANSITIONS[self.state, step]
