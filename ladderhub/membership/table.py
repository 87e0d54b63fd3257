"""The entries of one member's view and their digests.

Entries may be merged in any order and repeatedly, with the same result.  Of two entries for one member the
one with the higher rank wins: a member's own departure is final, then the incarnation counts, then the
status.  Entries of departed members are kept for a while so that late reports do not revive them."""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

from ladderhub.membership.messages import BUCKET_DIGEST_BYTES, DIGEST_BUCKETS, Entry, Status
from ladderhub.membership.rings import MemberId, Rings

MAX_ENTRIES = 4096  # of living members, and as many of departed ones
FORGET_PERIODS = 600  # after which the entry of a departed member is dropped
_BUCKET_DIGEST_MASK = 0xFFFF_FFFF


def member_id(entry: Entry) -> MemberId:
    return entry.name, entry.life


def is_alive(entry: Entry) -> bool:
    return entry.status is Status.ALIVE


def _compute_rank(entry: Entry) -> tuple[bool, int, int]:
    return entry.status is Status.LEFT, entry.incarnation, entry.status


def overrides(new: Entry, old: Entry) -> bool:
    """Whether `new` outranks `old`, another entry for the same member."""
    return _compute_rank(new) > _compute_rank(old)


def compute_bucket(entry: Entry) -> int:
    """Index of the digest bucket to which an entry belongs."""
    return crc32(entry.name.encode()) % DIGEST_BUCKETS


class MemberTable:
    """Holds all entries, the rings of the living members, and the digests for comparing two views."""

    def __init__(self) -> None:
        self.entries: dict[MemberId, Entry] = {}
        self.departed: dict[MemberId, int] = {}  # members that are not alive, and since when
        self.rings = Rings()
        self.by_name: dict[str, MemberId] = {}  # of living members
        self.by_address: dict[str, MemberId] = {}
        self.digest = 0
        self.bucket_digests = [0] * DIGEST_BUCKETS

    def get(self, member: MemberId) -> Entry | None:
        return self.entries.get(member)

    def members(self) -> list[Entry]:
        """The living members."""
        return [self.entries[member] for member in self.by_name.values()]

    def _toggle_digest(self, entry: Entry) -> None:
        """Add an entry to the digests or remove it from them: both are the same XOR."""
        data = f"{entry.name}/{entry.life}/{entry.incarnation}/{int(entry.status)}/{entry.address}".encode()
        entry_hash = int.from_bytes(blake2b(data, digest_size=8).digest(), "big") >> 1
        self.digest ^= entry_hash
        self.bucket_digests[compute_bucket(entry)] ^= entry_hash & _BUCKET_DIGEST_MASK

    def put(self, now: int, entry: Entry) -> bool:
        """Store an entry in place of the previous one for its member; return False if the table is full."""
        member = member_id(entry)
        old = self.entries.get(member)
        if old is None and len(self.by_name if is_alive(entry) else self.departed) >= MAX_ENTRIES:
            return False
        if old is not None:
            self._toggle_digest(old)
            self._unindex(member, old)
        self.entries[member] = entry
        self._toggle_digest(entry)
        if is_alive(entry):
            self.departed.pop(member, None)
            self.rings.add(member)
            self.by_name[entry.name] = self.by_address[entry.address] = member
        else:
            self.departed.setdefault(member, now)
        return True

    def _unindex(self, member: MemberId, old: Entry) -> None:
        if is_alive(old):
            self.rings.remove(member)
            if self.by_name.get(old.name) == member:
                del self.by_name[old.name]
            if self.by_address.get(old.address) == member:
                del self.by_address[old.address]

    def forget(self, before: int) -> None:
        """Drop the entries of members that departed before that time."""
        for member in [each for each, since in self.departed.items() if since < before]:
            del self.departed[member]
            self._toggle_digest(self.entries.pop(member))

    def get_bucket_entries(self, index: int) -> list[Entry]:
        return [entry for entry in self.entries.values() if compute_bucket(entry) == index]

    def encode_bucket_digests(self) -> bytes:
        return b"".join(digest.to_bytes(BUCKET_DIGEST_BYTES, "big") for digest in self.bucket_digests)

    def find_differing_buckets(self, encoded: bytes) -> list[int]:
        """Find the buckets whose digests differ from these encoded digests of another view."""
        starts = range(0, BUCKET_DIGEST_BYTES * DIGEST_BUCKETS, BUCKET_DIGEST_BYTES)
        theirs = [int.from_bytes(encoded[start : start + BUCKET_DIGEST_BYTES], "big") for start in starts]
        return [index for index, ours in enumerate(self.bucket_digests) if ours != theirs[index]]
