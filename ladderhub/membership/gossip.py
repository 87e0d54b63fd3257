"""News that ride on messages: what was told least goes first, each some times more the larger the fleet."""

from __future__ import annotations

from ladderhub.membership.messages import Entry
from ladderhub.membership.rings import Id
from ladderhub.membership.table import id_of

BYTES_MOST = 800  # of news in one message, well below a datagram
ENTRY_BYTES = 20  # of an entry beside its name and address, at the most
TIMES, TIMES_LEAST = 1.5, 8  # tellings for each doubling of the fleet, and in the smallest one


def size_of(entry: Entry) -> int:
    return len(entry.name.encode()) + len(entry.address) + ENTRY_BYTES


def packed(entries: list[Entry], most: int = BYTES_MOST) -> list[tuple[Entry, ...]]:
    """Entries in groups that fit into one message each."""
    groups: list[tuple[Entry, ...]] = []
    group: list[Entry] = []
    size = 0
    for entry in entries:
        if group and (size + size_of(entry) > most or len(group) >= 48):
            groups.append(tuple(group))
            group, size = [], 0
        group.append(entry)
        size += size_of(entry)
    return [*groups, tuple(group)] if group else groups


class Gossip:
    """Entries still to be told, by how often they were told.  The newest word of a member replaces others."""

    def __init__(self) -> None:
        self._levels: list[dict[Id, Entry]] = [{}]
        self._at: dict[Id, int] = {}

    def __len__(self) -> int:
        return len(self._at)

    def add(self, entry: Entry) -> None:
        member = id_of(entry)
        if member in self._at:
            del self._levels[self._at[member]][member]
        self._levels[0][member] = entry
        self._at[member] = 0

    def take(self, members: int, first: Entry | None = None) -> tuple[Entry, ...]:
        """News for one message to a fleet of so many."""
        if not self._at:
            return (first,) if first is not None else ()
        most = max(TIMES_LEAST, round(TIMES * members.bit_length()))
        chosen = [first] if first is not None else []
        size = sum(map(size_of, chosen))
        moved: list[tuple[Id, Entry, int]] = []
        for level, waiting in enumerate(self._levels):
            for member, entry in waiting.items():
                if size + size_of(entry) > BYTES_MOST or len(chosen) >= 48:
                    break
                chosen.append(entry)
                size += size_of(entry)
                moved.append((member, entry, level))
            else:
                continue
            break
        for member, entry, level in moved:
            del self._levels[level][member]
            if level + 1 >= most:
                del self._at[member]
                continue
            if level + 1 == len(self._levels):
                self._levels.append({})
            self._levels[level + 1][member] = entry
            self._at[member] = level + 1
        return tuple(chosen)
