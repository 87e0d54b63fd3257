"""Which of the owners' connections is closed first where a new caller needs its place."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, TypeVar


class Trust(IntEnum):
    """What a connection has shown of who is behind it; the least goes first where room is short, the most is
    chosen to tell an end whose own connection is lost."""

    NONE = 0
    VALID_MESSAGE = 1  # a whole message that made sense came
    VALID_SETUP = 2  # a set-up that made sense came
    HAD_TASK = 3  # a task of its owner has stood


AnyCaller = TypeVar("AnyCaller")


class EvictionOrder(Generic[AnyCaller]):
    """Callers by what they have shown, the least first, and of those the longest unheard first.  Kept in step
    with what is heard: a crowd comes by the hundred, and each new caller asks for the order."""

    def __init__(self) -> None:
        self._callers: tuple[dict[AnyCaller, None], ...] = tuple({} for _ in Trust)
        self._trust: dict[AnyCaller, Trust] = {}

    def update(self, caller: AnyCaller, trust: Trust) -> None:
        """It came, said something, or has shown more than before."""
        self.remove(caller)
        self._trust[caller] = trust
        self._callers[trust][caller] = None

    def remove(self, caller: AnyCaller) -> None:
        """It is closed."""
        trust = self._trust.pop(caller, None)
        if trust is not None:
            del self._callers[trust][caller]

    def __iter__(self) -> Iterator[AnyCaller]:
        """All of them, the first to go first.  None may be heard or forgotten while this is read on."""
        for callers in self._callers:
            yield from callers
