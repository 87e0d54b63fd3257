"""Hash rings that assign observers to members (Rapid, section 4.1).

Members with equal views have equal rings.  On each ring a member is monitored by its predecessor.  Each
member thus has a few observers, spread over the group, and monitors about as many members itself, so its cost
does not grow with the group.  A change of one member affects only its neighbours on the rings."""

from __future__ import annotations

from bisect import bisect_left, insort
from hashlib import blake2b

MemberId = tuple[str, int]  # name and life
RINGS = 6
_PREDECESSOR, _SUCCESSOR = -1, +1


class Rings:
    """Sorted hash rings of the living members."""

    def __init__(self) -> None:
        self._rings: list[list[tuple[bytes, MemberId]]] = [[] for _ in range(RINGS)]
        self._positions: dict[MemberId, tuple[bytes, ...]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, member: object) -> bool:
        return member in self._positions

    @staticmethod
    def _compute_positions(member: MemberId) -> tuple[bytes, ...]:
        data = f"{member[0]}/{member[1]}".encode()
        return tuple(blake2b(data, digest_size=8, salt=bytes((ring,))).digest() for ring in range(RINGS))

    def add(self, member: MemberId) -> None:
        if member not in self._positions:
            self._positions[member] = self._compute_positions(member)
            for ring, position in zip(self._rings, self._positions[member], strict=True):
                insort(ring, (position, member))

    def remove(self, member: MemberId) -> None:
        for ring, position in zip(self._rings, self._positions.pop(member, ()), strict=False):
            del ring[bisect_left(ring, (position, member))]

    def _find_neighbours(self, member: MemberId, direction: int) -> list[MemberId]:
        """Find distinct neighbours on all rings; further ones replace those that several rings share."""
        positions = self._positions.get(member) or self._compute_positions(member)
        wanted = min(RINGS, len(self._positions) - (member in self._positions))
        found: dict[MemberId, None] = {}
        for distance in range(1, len(self._positions) + 1):
            for ring, position in zip(self._rings, positions, strict=True):
                index = bisect_left(ring, (position, member))
                if direction == _SUCCESSOR and member not in self._positions:
                    index -= 1  # the member would be inserted before the one at `index`
                other = ring[(index + direction * distance) % len(ring)][1]
                if other != member:
                    found[other] = None
            if len(found) >= wanted:
                break
        return list(found)[:wanted]

    def find_observers(self, member: MemberId) -> list[MemberId]:
        """Find the members that monitor this one, or that would if it were a member."""
        return self._find_neighbours(member, _PREDECESSOR) if self._positions else []

    def find_subjects(self, member: MemberId) -> list[MemberId]:
        """Find the members that this one monitors."""
        return self._find_neighbours(member, _SUCCESSOR) if self._positions else []
