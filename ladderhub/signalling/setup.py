"""The state machine of a set-up on one leg: from owner to scheduler, or from scheduler to machine."""

from __future__ import annotations

from enum import Enum

from ladderhub.signalling.table import SignalError


class State(Enum):
    """State of a set-up: not sent, sent and unanswered, answered with the task running, ended."""

    IDLE = "idle"
    SET_UP = "set up"
    ESTABLISHED = "stands"
    OVER = "over"


class Step(Enum):
    """Events that change the state.  A set-up with a field `at` is for a task that runs already, so it is
    established from the start.  A release before the answer withdraws the set-up; it is the same step."""

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
    """The state of one set-up on one leg."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = State.IDLE

    def can_step(self, step: Step) -> bool:
        """Whether the step is allowed in the current state."""
        return (self.state, step) in TRANSITIONS

    def step(self, step: Step) -> None:
        """Change the state; SignalError if the step is not allowed in the current state."""
        if not self.can_step(step):
            raise SignalError(f"{step.value} is not allowed in state '{self.state.value}'")
        self.state = TRANSITIONS[self.state, step]
