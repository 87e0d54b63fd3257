"""Who monitors whom: a few hash rings, the same for all who have the same members (Rapid, section 4.1).

On each ring a member is monitored by its predecessor.  It has therefore a few observers spread over the
fleet and monitors about as many members itself, so its cost does not grow with the fleet.  A change of one
member affects its neighbours on the rings and nobody else."""

from __future__ import annotations

from bisect import bisect_left, insort
from hashlib import blake2b

MemberId = tuple[str, int]  # name and life
RINGS = 6
_PREDECESSOR, _SUCCESSOR = -1, +1


class Rings:
    """Sorted rings of the living members."""

    def __init__(self) -> None:
        self._rings: list[list[tuple[bytes, MemberId]]] = [[] for _ in range(RINGS)]
        self._positions: dict[MemberId, tuple[bytes, ...]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, member: object) -> bool:
        return member in self._positions

    @staticmethod
    def _positions_of(member: MemberId) -> tuple[bytes, ...]:
        data = f"{member[0]}/{member[1]}".encode()
        return tuple(blake2b(data, digest_size=8, salt=bytes((ring,))).digest() for ring in range(RINGS))

    def add(self, member: MemberId) -> None:
        if member not in self._positions:
            self._positions[member] = self._positions_of(member)
            for ring, position in zip(self._rings, self._positions[member], strict=True):
                insort(ring, (position, member))

    def remove(self, member: MemberId) -> None:
        for ring, position in zip(self._rings, self._positions.pop(member, ()), strict=False):
            del ring[bisect_left(ring, (position, member))]

    def _neighbours(self, member: MemberId, direction: int) -> list[MemberId]:
        """Distinct neighbours on all rings; where rings name one twice, the next ones fill up."""
        positions = self._positions.get(member) or self._positions_of(member)
        wanted = min(RINGS, len(self._positions) - (member in self._positions))
        found: dict[MemberId, None] = {}
        for distance in range(1, len(self._positions) + 1):
            for ring, position in zip(self._rings, positions, strict=True):
                index = bisect_left(ring, (position, member))
                if direction == _SUCCESSOR and member not in self._positions:
                    index -= 1  # it would stand before the one that is there now
                other = ring[(index + direction * distance) % len(ring)][1]
                if other != member:
                    found[other] = None
            if len(found) >= wanted:
                break
        return list(found)[:wanted]

    def observers(self, member: MemberId) -> list[MemberId]:
        """Those who monitor it, or would if it were a member."""
        return self._neighbours(member, _PREDECESSOR) if self._positions else []

    def subjects(self, member: MemberId) -> list[MemberId]:
        """Those whom it monitors."""
        return self._neighbours(member, _SUCCESSOR) if self._positions else []
