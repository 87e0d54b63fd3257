"""The interface of an owner's connection that tasks use."""

from __future__ import annotations

from typing import Protocol

from ladderhub.signalling import Message


class TaskOwner(Protocol):
    """A connection of the owner of a task."""

    alive: bool

    def __hash__(self) -> int: ...

    def send(self, message: Message) -> None: ...

    def read_pending(self) -> None:
        """Read and handle what has arrived from the owner: it may have closed, or cancelled its set-up."""

    def has_unread(self) -> bool:
        """Whether the owner has sent more than was handled."""

    def has_left(self) -> bool:
        """Whether the owner has closed, also if what it sent before that is still unread."""
