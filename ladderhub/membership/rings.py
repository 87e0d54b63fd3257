"""Who watches whom: a few rings on which members stand by hashes that all reckon alike (Rapid, §4.1).

On each ring a member is watched by its predecessor, so it has some observers spread over the fleet and
watches about as many itself, however large the fleet: the cost a member is flat.  A change of one member
moves the watches next to it and no others."""

from __future__ import annotations

from bisect import bisect_left, insort
from hashlib import blake2b

Id = tuple[str, int]  # name and life
RINGS = 6


class Rings:
    """Sorted rings of the members that are in."""

    def __init__(self) -> None:
        self._rings: list[list[tuple[bytes, Id]]] = [[] for _ in range(RINGS)]
        self._places: dict[Id, tuple[bytes, ...]] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, member: object) -> bool:
        return member in self._places

    @staticmethod
    def _places_of(member: Id) -> tuple[bytes, ...]:
        data = f"{member[0]}/{member[1]}".encode()
        return tuple(blake2b(data, digest_size=8, salt=bytes((ring,))).digest() for ring in range(RINGS))

    def add(self, member: Id) -> None:
        if member not in self._places:
            self._places[member] = self._places_of(member)
            for ring, place in zip(self._rings, self._places[member], strict=True):
                insort(ring, (place, member))

    def remove(self, member: Id) -> None:
        for ring, place in zip(self._rings, self._places.pop(member, ()), strict=False):
            del ring[bisect_left(ring, (place, member))]

    def _beside(self, member: Id, step: int) -> list[Id]:
        """Distinct neighbours on all rings; where rings name one twice, the next ones fill up."""
        places = self._places.get(member) or self._places_of(member)
        wanted = min(RINGS, len(self._places) - (member in self._places))
        found: dict[Id, None] = {}
        for reach in range(1, len(self._places) + 1):
            for ring, place in zip(self._rings, places, strict=True):
                at = bisect_left(ring, (place, member))
                if step > 0 and member not in self._places:
                    at -= 1  # it would stand before the one that is there now
                other = ring[(at + step * reach) % len(ring)][1]
                if other != member:
                    found[other] = None
            if len(found) >= wanted:
                break
        return list(found)[:wanted]

    def observers(self, member: Id) -> list[Id]:
        """Those who watch it, or would if it were in."""
        return self._beside(member, -1) if self._places else []

    def subjects(self, member: Id) -> list[Id]:
        """Those whom it watches."""
        return self._beside(member, +1) if self._places else []
