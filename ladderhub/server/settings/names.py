"""Indexes of names.  The decision modules use indexes, so a name keeps its index while the process runs."""

from __future__ import annotations

from collections.abc import Iterable


class NameTable:
    """Names of queues, kinds or tenants by index.  New names are appended; removed names stay, closed."""

    def __init__(self, current: Iterable[str], previous: NameTable | None = None) -> None:
        self.current = list(current)
        earlier = previous.all if previous is not None else []
        self.all: list[str] = earlier + [name for name in self.current if name not in earlier]
        self._index = {name: index for index, name in enumerate(self.all)}
        self._current_names = frozenset(self.current)

    def index(self, name: str) -> int:
        """Return the index of a current or former name; KeyError if it was never known."""
        return self._index[name]

    def is_known(self, name: str) -> bool:
        """Whether the settings of this process have or had the name."""
        return name in self._index

    def is_open(self, name: str) -> bool:
        """Whether the current settings have the name."""
        return name in self._current_names
