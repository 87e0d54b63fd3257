"""Gossip piggybacked on messages: the least transmitted entries go first.

The number of transmissions per entry grows with the logarithm of the number of members.
"""

from __future__ import annotations

from ladderhub.membership.messages import Entry
from ladderhub.membership.rings import MemberId
from ladderhub.membership.table import member_id

MAX_GOSSIP_BYTES = 800  # entries in one message, well below the size of a datagram
MAX_GOSSIP_ENTRIES = 48  # in one message
ENTRY_OVERHEAD_BYTES = 20  # upper bound for an entry without its name and address
RETRANSMIT_FACTOR = 1.5  # transmissions of an entry per doubling of the number of members
MIN_RETRANSMITS = 8


def estimate_entry_size(entry: Entry) -> int:
    """Upper bound of the encoded size of an entry, in bytes."""
    return len(entry.name.encode()) + len(entry.address) + ENTRY_OVERHEAD_BYTES


def pack_entries(entries: list[Entry], max_bytes: int = MAX_GOSSIP_BYTES) -> list[tuple[Entry, ...]]:
    """Split entries into groups that fit into one message each."""
    groups: list[tuple[Entry, ...]] = []
    group: list[Entry] = []
    size = 0
    for entry in entries:
        if group and (size + estimate_entry_size(entry) > max_bytes or len(group) >= MAX_GOSSIP_ENTRIES):
            groups.append(tuple(group))
            group, size = [], 0
        group.append(entry)
        size += estimate_entry_size(entry)
    return [*groups, tuple(group)] if group else groups


class Gossip:
    """Entries still to be sent, ordered by number of transmissions.

    A newer entry for a member replaces the older one."""

    def __init__(self) -> None:
        self._levels: list[dict[MemberId, Entry]] = [{}]  # by number of transmissions so far
        self._level_of: dict[MemberId, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, entry: Entry) -> None:
        """Queue an entry for transmission, in place of an older one for the same member."""
        member = member_id(entry)
        if member in self._level_of:
            del self._levels[self._level_of[member]][member]
        self._levels[0][member] = entry
        self._level_of[member] = 0

    def take(self, member_count: int, first: Entry | None = None) -> tuple[Entry, ...]:
        """Take entries for one message, `first` before all others, in a group of `member_count` members."""
        if not self._level_of:
            return (first,) if first is not None else ()
        chosen = [first] if first is not None else []
        size = sum(map(estimate_entry_size, chosen))
        sent: list[tuple[MemberId, Entry, int]] = []
        for level, waiting in enumerate(self._levels):
            for member, entry in waiting.items():
                if size + estimate_entry_size(entry) > MAX_GOSSIP_BYTES or len(chosen) >= MAX_GOSSIP_ENTRIES:
                    break
                chosen.append(entry)
                size += estimate_entry_size(entry)
                sent.append((member, entry, level))
            else:
                continue
            break
        max_transmits = max(MIN_RETRANSMITS, round(RETRANSMIT_FACTOR * member_count.bit_length()))
        for member, entry, level in sent:
            self._move_up(member, entry, level, max_transmits)
        return tuple(chosen)

    def _move_up(self, member: MemberId, entry: Entry, level: int, max_transmits: int) -> None:
        """Count one more transmission of the entry; drop it after the last one."""
        del self._levels[level][member]
        if level + 1 >= max_transmits:
            del self._level_of[member]
            return
        if level + 1 == len(self._levels):
            self._levels.append({})
        self._levels[level + 1][member] = entry
        self._level_of[member] = level + 1
