"""Who could reach whom at a moment of a mesh day, from the recording alone."""

from __future__ import annotations

from typing import Any

Row = dict[str, Any]


class Reach:
    """Which processes live and are connected, both ways, with a majority of the voters; and since when.

    `voters`: the slots below this number hold the voters."""

    def __init__(self, voters: int) -> None:
        self.voters = voters
        self.since: dict[int, float] = {}  # slots that are reachable, since when
        self._alive: set[int] = set()
        self._paused: set[int] = set()
        self._cut: set[tuple[int, int]] = set()

    def take(self, row: Row) -> None:
        what, slot = row["what"], row.get("slot", -1)
        if what == "life":
            self._alive.add(slot)
        elif what in ("began", "over"):
            self._alive.discard(slot)
            self._paused.discard(slot)
        elif what == "paused":
            self._paused.add(slot)
        elif what == "woken":
            self._paused.discard(slot)
        elif what == "cut":
            self._cut = {(a, b) for a, b in row["pairs"]}
        else:
            return
        self._look(float(row["at"]))

    def _look(self, at: float) -> None:
        component = self._of_majority()
        self.since = {slot: self.since.get(slot, at) for slot in component}

    def _of_majority(self) -> set[int]:
        """The component that holds a majority of the voters, if any."""
        left = self._alive - self._paused
        while left:
            component = self._component(min(left), left)
            if sum(slot < self.voters for slot in component) > self.voters // 2:
                return component
            left = left - component
        return set()

    def _component(self, first: int, slots: set[int]) -> set[int]:
        found, edge = {first}, [first]
        while edge:
            here = edge.pop()
            near = {
                slot
                for slot in slots - found
                if (here, slot) not in self._cut and (slot, here) not in self._cut
            }
            found |= near
            edge += near
        return found
