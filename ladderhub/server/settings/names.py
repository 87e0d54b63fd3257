"""Names and their indexes: what the decision modules know by index keeps it for the life of the process."""

from __future__ import annotations

from collections.abc import Iterable


class NameTable:
    """Names of queues, kinds or tenants by index.  New ones are appended; one that vanished stays, closed."""

    def __init__(self, current: Iterable[str], known: NameTable | None = None) -> None:
        self.current = list(current)
        before = known.all if known is not None else []
        self.all: list[str] = before + [name for name in self.current if name not in before]
        self._index = {name: at for at, name in enumerate(self.all)}
        self._open = frozenset(self.current)

    def index(self, name: str) -> int:
        """The index of a name that is or was known; KeyError where it never was."""
        return self._index[name]

    def is_known(self, name: str) -> bool:
        """Whether it is or was among the settings of this process."""
        return name in self._index

    def is_open(self, name: str) -> bool:
        """Whether it is among the settings of now."""
        return name in self._open
