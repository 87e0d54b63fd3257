"""The order in which owners' connections are closed to make room for new ones."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, TypeVar


class Trust(IntEnum):
    """What a connection has shown about its peer.  The least trusted is closed first to make room; the most
    trusted is used to report the end of a task whose own connection is lost."""

    NONE = 0
    VALID_MESSAGE = 1  # sent a complete, valid message
    VALID_SETUP = 2  # sent a valid set-up
    HAD_TASK = 3  # a task of its owner has run


AnyCaller = TypeVar("AnyCaller")


class EvictionOrder(Generic[AnyCaller]):
    """Callers ordered by trust, least trusted first, then by when they were last heard, longest ago first.

    The order is updated with each message, because hundreds of callers may connect at once and each of them
    reads it."""

    def __init__(self) -> None:
        self._callers: tuple[dict[AnyCaller, None], ...] = tuple({} for _ in Trust)
        self._trust: dict[AnyCaller, Trust] = {}

    def update(self, caller: AnyCaller, trust: Trust) -> None:
        """Record that it connected, sent something, or gained trust."""
        self.remove(caller)
        self._trust[caller] = trust
        self._callers[trust][caller] = None

    def remove(self, caller: AnyCaller) -> None:
        """Remove a closed connection."""
        trust = self._trust.pop(caller, None)
        if trust is not None:
            del self._callers[trust][caller]

    def __iter__(self) -> Iterator[AnyCaller]:
        """All callers, the first to close first.  The order must not change during the iteration."""
        for callers in self._callers:
            yield from callers
