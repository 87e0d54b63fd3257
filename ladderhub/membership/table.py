"""One member's view: entries by name and life, merged in any order, any number of times, and its sums.

An entry's incarnation and status only grow (`_rank`); a departure by a member's own word is for good.  What
is over is kept for a while, so that late word of it undoes nothing, and then forgotten."""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

from ladderhub.membership.messages import BUCKETS, Entry, Status
from ladderhub.membership.rings import Id, Rings

ENTRIES_MOST = 4096  # of those that are in; as many that are over
FORGET_PERIODS = 600


def id_of(entry: Entry) -> Id:
    return entry.name, entry.life


def is_in(entry: Entry) -> bool:
    return entry.status is Status.ALIVE


def _rank(entry: Entry) -> tuple[bool, int, int]:
    return entry.status is Status.LEFT, entry.incarnation, entry.status


def overrides(new: Entry, old: Entry) -> bool:
    return _rank(new) > _rank(old)


class Table:
    """All entries, the rings of those that are in, and sums by which two views are compared."""

    def __init__(self) -> None:
        self.entries: dict[Id, Entry] = {}
        self.over: dict[Id, int] = {}  # entries that are not in, since when
        self.rings = Rings()
        self.by_name: dict[str, Id] = {}  # of those that are in
        self.by_address: dict[str, Id] = {}
        self.digest = 0
        self.sums = [0] * BUCKETS

    def get(self, member: Id) -> Entry | None:
        return self.entries.get(member)

    def members(self) -> list[Entry]:
        """Those that are in."""
        return [self.entries[member] for member in self.by_name.values()]

    def _mix(self, entry: Entry) -> None:
        data = f"{entry.name}/{entry.life}/{entry.incarnation}/{int(entry.status)}/{entry.address}".encode()
        mixed = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> 1
        self.digest ^= mixed
        self.sums[bucket_of(entry)] ^= mixed & 0xFFFF_FFFF

    def put(self, now: int, entry: Entry) -> bool:
        """Keep this entry in place of what was kept of that member; False where there is no room."""
        member = id_of(entry)
        old = self.entries.get(member)
        if old is None and len(self.by_name if is_in(entry) else self.over) >= ENTRIES_MOST:
            return False
        if old is not None:
            self._mix(old)
            self._drop(member, old)
        self.entries[member] = entry
        self._mix(entry)
        if is_in(entry):
            self.over.pop(member, None)
            self.rings.add(member)
            self.by_name[entry.name] = self.by_address[entry.address] = member
        else:
            self.over.setdefault(member, now)
        return True

    def _drop(self, member: Id, old: Entry) -> None:
        if is_in(old):
            self.rings.remove(member)
            if self.by_name.get(old.name) == member:
                del self.by_name[old.name]
            if self.by_address.get(old.address) == member:
                del self.by_address[old.address]

    def forget(self, before: int) -> None:
        """Drop what has been over for long."""
        for member in [each for each, since in self.over.items() if since < before]:
            del self.over[member]
            self._mix(self.entries.pop(member))

    def bucket(self, at: int) -> list[Entry]:
        return [entry for entry in self.entries.values() if bucket_of(entry) == at]

    def sums_bytes(self) -> bytes:
        return b"".join(each.to_bytes(4, "big") for each in self.sums)

    def differing(self, sums: bytes) -> list[int]:
        """Parts of the view that another's sums have otherwise."""
        theirs = [int.from_bytes(sums[at : at + 4], "big") for at in range(0, 4 * BUCKETS, 4)]
        return [at for at, mine in enumerate(self.sums) if mine != theirs[at]]


def bucket_of(entry: Entry) -> int:
    return crc32(entry.name.encode()) % BUCKETS
