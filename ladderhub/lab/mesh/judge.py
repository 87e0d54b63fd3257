"""Judges the views of members from the recording of a mesh day: the faults injected and the processes' logs.

A recording is JSON lines with `at` (wall clock in seconds) and `what`:
- `began` and `over`: a process started or ended (slot, name).
- `life`: the life number of the process in a slot.
- `day`: all views are equal and the faults begin.
- `settled`: the last fault is over.
- `told`: a reported membership change (slot, change, member, life, cause).
- `seats`: leased slots of the cold budget, usable from now on (slot, `slots`, until_ns).
- `trouble`: an error in a log (slot, text)."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from ladderhub.lab.mesh.days import Day

CONVERGENCE_LIMIT_S = 10.0  # after the last fault, all views must be equal within this time
GRACE_S = 0.5  # logs from the moment of a process's end may treat it as over
Row = dict[str, Any]


@dataclass
class Verdict:
    """What a recording showed, and the violations in it."""

    false_gone: list[str] = field(default_factory=list)
    differing_views: list[str] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    doubly_held: list[str] = field(default_factory=list)
    leases_reported: int = 0
    idle_share: float = 0.0  # share of seats and time, from the start of the day, without a holder
    convergence_s: float = -1.0
    report_count: int = 0

    def is_good(self) -> bool:
        """Whether no rule was violated and no log has an error."""
        return not (self.false_gone or self.differing_views or self.troubles or self.doubly_held)

    def lines(self) -> Iterator[str]:
        """Yields the lines of the report."""
        yield (
            f"{self.report_count} changes told; "
            f"living members told gone beyond the rule: {len(self.false_gone)}"
        )
        yield from self.false_gone[:5]
        if not self.differing_views:
            yield f"views equal {self.convergence_s:.1f} s after the last fault"
        yield from self.differing_views[:5]
        if self.leases_reported:
            idle = 100 * self.idle_share
            twice = len(self.doubly_held)
            yield f"seats with two holders within a window: {twice}, unused {idle:.0f} % of the time"
        yield from (*self.doubly_held[:5], *self.troubles[:5])


def read_recording(path: Path) -> list[Row]:
    """Reads the rows of a recording file."""
    with open(path) as file:
        return [json.loads(line) for line in file]


class Replay:
    """Tracks, row by row of a recording, the living processes and the view of each."""

    def __init__(self) -> None:
        self.living: dict[int, tuple[str, int]] = {}  # slot -> name and life; life 0: not yet known
        self.views: dict[int, set[tuple[str, int]]] = {}

    def apply(self, row: Row) -> None:
        """Updates the processes and views from the next row."""
        slot = row.get("slot", -1)
        if row["what"] == "began":
            self.living[slot] = (row["name"], 0)
            self.views[slot] = set()
        elif row["what"] == "over":
            self.living.pop(slot, None)
            self.views.pop(slot, None)
        elif row["what"] == "life" and slot in self.living:
            self.living[slot] = (self.living[slot][0], row["life"])
            self.views[slot] = {self.living[slot]}
        elif row["what"] == "told" and slot in self.views:
            member = (row["member"], row["life"])
            if row["change"] == "alive":
                self.views[slot].add(member)
            elif row["change"] in ("gone", "left"):
                self.views[slot].discard(member)

    def find_differing_views(self, excluded: frozenset[int] = frozenset()) -> list[str]:
        """Describes each view that is not exactly the set of living processes."""
        truth = {member for slot, member in self.living.items() if slot not in excluded}
        return [
            f"slot {slot} ({name}) has otherwise: {sorted(self.views[slot] ^ truth)}"
            for slot, (name, _) in sorted(self.living.items())
            if slot not in excluded and self.views[slot] != truth
        ]


@dataclass(frozen=True, slots=True)
class _LeaseUse:
    """A span of time in which one process could use one seat."""

    seat: int
    begun: float
    ended: float
    slot: int
    life_count: int


def find_lease_uses(rows: list[Row]) -> list[_LeaseUse]:
    """Returns each process's uses of each seat, which end with a new grant, the lease or the process."""
    found: list[_LeaseUse] = []
    open_uses: dict[int, tuple[dict[int, float], float]] = {}  # slot -> start of each seat, and expiry
    life_counts: dict[int, int] = {}

    def end(slot: int, at_s: float, kept: set[int]) -> None:
        seats, expiry_s = open_uses.get(slot, ({}, 0.0))
        end_s = min(at_s, expiry_s)
        for seat in [each for each in seats if each not in kept or expiry_s < at_s]:
            found.append(_LeaseUse(seat, seats.pop(seat), end_s, slot, life_counts[slot]))

    for row in sorted(rows, key=lambda each: float(each["at"])):
        at_s, slot = float(row["at"]), row.get("slot", -1)
        if row["what"] in ("began", "over"):
            end(slot, at_s, set())
            open_uses.pop(slot, None)
            life_counts[slot] = life_counts.get(slot, 0) + (row["what"] == "began")
        elif row["what"] == "seats" and slot in life_counts:
            wanted = set(row["slots"])
            end(slot, at_s, wanted)
            held = open_uses.get(slot, ({}, 0.0))[0]
            open_uses[slot] = (
                held | {seat: at_s for seat in wanted if seat not in held},
                row["until_ns"] / 1e9,
            )
    last_at = max((float(row["at"]) for row in rows), default=0.0)
    for slot in list(open_uses):
        end(slot, last_at, set())
    return found


def check_leases(verdict: Verdict, rows: list[Row], window_s: float, count: int) -> None:
    """Checks that no seat has two holders within a window.

    Within the window, nodes still count the offers of the previous holder."""
    spans = sorted(find_lease_uses(rows), key=lambda use: (use.seat, use.begun))
    verdict.leases_reported = sum(row["what"] == "seats" for row in rows)
    for earlier, later in pairwise(spans):
        is_same_process = (earlier.slot, earlier.life_count) == (later.slot, later.life_count)
        if earlier.seat == later.seat and not is_same_process and later.begun - earlier.ended < window_s:
            first_use = f"slot {earlier.slot} until {earlier.ended:.2f}"
            second_use = f"slot {later.slot} from {later.begun:.2f}"
            verdict.doubly_held.append(f"seat {later.seat}: {first_use}, {second_use}")
    began_at = next((float(row["at"]) for row in rows if row["what"] == "day"), 0.0)
    last_at = max(float(row["at"]) for row in rows)
    used = sum(max(0.0, use.ended - max(began_at, use.begun)) for use in spans)
    verdict.idle_share = 1 - used / (count * (last_at - began_at)) if last_at > began_at else 0.0


def judge(rows: list[Row], day: Day, seats: int = 0, window_s: float = 0.0) -> Verdict:
    """Judges a recording, with rows in any order.  `seats`: the number of leased seats; 0 for no leases."""
    verdict, replay = Verdict(), Replay()
    if seats:
        check_leases(verdict, rows, window_s, seats)
    ended_at: dict[tuple[str, int], float] = {}
    has_begun, settled_at, equal_since = False, -1.0, -1.0
    for row in sorted(rows, key=lambda each: float(each["at"])):
        at_s, what = float(row["at"]), row["what"]
        if what == "over" and row["slot"] in replay.living:
            ended_at[replay.living[row["slot"]]] = at_s
        elif what == "day":
            has_begun = True
        elif what == "settled":
            settled_at = at_s
        elif what == "trouble":
            verdict.troubles.append(f"slot {row['slot']}: {row['text']}")
        elif what == "told" and has_begun:
            verdict.report_count += 1
            if row["change"] in ("gone", "left"):
                _check_gone_report(verdict, replay, row, day)
        replay.apply(row)
        if settled_at >= 0:
            is_equal = not replay.find_differing_views(day.excluded)
            equal_since = (at_s if equal_since < 0 else equal_since) if is_equal else -1.0
    verdict.differing_views = replay.find_differing_views(day.excluded)
    if settled_at < 0:
        verdict.differing_views.append("the recording ends before the last fault is over")
    elif not verdict.differing_views:
        verdict.convergence_s = max(0.0, equal_since - settled_at)
        if verdict.convergence_s > CONVERGENCE_LIMIT_S:
            verdict.differing_views.append(f"equal only {verdict.convergence_s:.1f} s after the last fault")
    return verdict


def _check_gone_report(verdict: Verdict, replay: Replay, row: Row, day: Day) -> None:
    member = (row["member"], row["life"])
    subject = next((slot for slot, lives in replay.living.items() if lives == member), None)
    if subject is None or subject in day.excluded:
        return
    if not day.may_report_gone(row["slot"], subject):
        verdict.false_gone.append(f"slot {row['slot']} says {member[0]} is {row['change']}: {row['cause']}")
