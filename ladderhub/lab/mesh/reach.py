"""Computes from the recording of a mesh day which schedulers could reach each other at a time."""

from __future__ import annotations

from typing import Any

Row = dict[str, Any]


class Reachability:
    """Tracks which running processes are connected, in both directions, with a majority of the voters.

    `voters`: the number of voters, which are in the first slots."""

    def __init__(self, voters: int) -> None:
        self.voters = voters
        self.reachable_since: dict[int, float] = {}  # slots that are reachable now
        self._alive: set[int] = set()
        self._paused: set[int] = set()
        self._cut: set[tuple[int, int]] = set()

    def apply(self, row: Row) -> None:
        """Updates the state from the next row of the recording."""
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
        self._update(float(row["at"]))

    def _update(self, at_s: float) -> None:
        component = self._find_majority_component()
        self.reachable_since = {slot: self.reachable_since.get(slot, at_s) for slot in component}

    def _find_majority_component(self) -> set[int]:
        """Returns the connected component with a majority of the voters, or an empty set."""
        remaining = self._alive - self._paused
        while remaining:
            component = self._find_component(min(remaining), remaining)
            if sum(slot < self.voters for slot in component) > self.voters // 2:
                return component
            remaining = remaining - component
        return set()

    def _find_component(self, first: int, slots: set[int]) -> set[int]:
        found, frontier = {first}, [first]
        while frontier:
            current = frontier.pop()
            neighbours = {
                slot
                for slot in slots - found
                if (current, slot) not in self._cut and (slot, current) not in self._cut
            }
            found |= neighbours
            frontier += neighbours
        return found
