"""Judges views from the recording of a mesh day alone: what was done, and what each process logged.

A recording is JSON lines with `at` (seconds, wall clock) and `what`: `began` and `over` (slot and name of a
process), `life` (the number that the process in a slot took), `day` (all views were equal, the faults begin),
`settled` (the last fault is over), `told` (slot, change, member, life, cause), `seats` (slot, `slots` of the
cold budget that may be used from now on, until_ns), `trouble` (slot, text)."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from ladderhub.lab.mesh.days import Day

EQUAL_S = 10.0  # after the last fault all views are equal within this
GRACE_S = 0.5  # what was logged in the moment of a process's end speaks of it as over
Row = dict[str, Any]


@dataclass
class Verdict:
    false_gone: list[str] = field(default_factory=list)
    unequal: list[str] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    doubly_held: list[str] = field(default_factory=list)
    leases_reported: int = 0
    idle_share: float = 0.0  # share of seats and time, from the day's begin on, in which nobody could use one
    equal_s: float = -1.0
    told: int = 0

    def is_good(self) -> bool:
        return not (self.false_gone or self.unequal or self.troubles or self.doubly_held)

    def lines(self) -> Iterator[str]:
        yield f"{self.told} changes told; living members told gone beyond the rule: {len(self.false_gone)}"
        yield from self.false_gone[:5]
        if not self.unequal:
            yield f"views equal {self.equal_s:.1f} s after the last fault"
        yield from self.unequal[:5]
        if self.leases_reported:
            idle = 100 * self.idle_share
            twice = len(self.doubly_held)
            yield f"seats with two holders within a window: {twice}, unused {idle:.0f} % of the time"
        yield from (*self.doubly_held[:5], *self.troubles[:5])


def read_recording(path: Path) -> list[Row]:
    with open(path) as file:
        return [json.loads(line) for line in file]


class Replay:
    """Who lives, and what each living process has in its view, as a recording goes on."""

    def __init__(self) -> None:
        self.living: dict[int, tuple[str, int]] = {}  # slot -> name and life, 0 before it is known
        self.views: dict[int, set[tuple[str, int]]] = {}

    def take(self, row: Row) -> None:
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

    def otherwise(self, out: frozenset[int] = frozenset()) -> list[str]:
        """Whose view is not exactly who lives."""
        truth = {member for slot, member in self.living.items() if slot not in out}
        return [
            f"slot {slot} ({name}) has otherwise: {sorted(self.views[slot] ^ truth)}"
            for slot, (name, _) in sorted(self.living.items())
            if slot not in out and self.views[slot] != truth
        ]


@dataclass(frozen=True, slots=True)
class _Use:
    """One process could use one seat from then to then."""

    seat: int
    begun: float
    ended: float
    slot: int
    birth: int


def find_lease_uses(rows: list[Row]) -> list[_Use]:
    """Each process's spans of each seat: until it is told otherwise, the lease runs out, or it is over."""
    found: list[_Use] = []
    now: dict[int, tuple[dict[int, float], float]] = {}  # slot -> seats with their begin, and until when
    births: dict[int, int] = {}

    def end(slot: int, at: float, kept: set[int]) -> None:
        seats, until = now.get(slot, ({}, 0.0))
        stop = min(at, until)
        for seat in [each for each in seats if each not in kept or until < at]:
            found.append(_Use(seat, seats.pop(seat), stop, slot, births[slot]))

    for row in sorted(rows, key=lambda each: float(each["at"])):
        at, slot = float(row["at"]), row.get("slot", -1)
        if row["what"] in ("began", "over"):
            end(slot, at, set())
            now.pop(slot, None)
            births[slot] = births.get(slot, 0) + (row["what"] == "began")
        elif row["what"] == "seats" and slot in births:
            wanted = set(row["slots"])
            end(slot, at, wanted)
            held = now.get(slot, ({}, 0.0))[0]
            now[slot] = (held | {seat: at for seat in wanted if seat not in held}, row["until_ns"] / 1e9)
    last = max((float(row["at"]) for row in rows), default=0.0)
    for slot in list(now):
        end(slot, last, set())
    return found


def check_leases(verdict: Verdict, rows: list[Row], window_s: float, count: int) -> None:
    """No seat has two holders within a window: the node still counts what the last one sent."""
    spans = sorted(find_lease_uses(rows), key=lambda use: (use.seat, use.begun))
    verdict.leases_reported = sum(row["what"] == "seats" for row in rows)
    for before, after in pairwise(spans):
        same = (before.slot, before.birth) == (after.slot, after.birth)
        if before.seat == after.seat and not same and after.begun - before.ended < window_s:
            first = f"slot {before.slot} until {before.ended:.2f}"
            second = f"slot {after.slot} from {after.begun:.2f}"
            verdict.doubly_held.append(f"seat {after.seat}: {first}, {second}")
    begun = next((float(row["at"]) for row in rows if row["what"] == "day"), 0.0)
    last = max(float(row["at"]) for row in rows)
    used = sum(max(0.0, use.ended - max(begun, use.begun)) for use in spans)
    verdict.idle_share = 1 - used / (count * (last - begun)) if last > begun else 0.0


def judge(rows: list[Row], day: Day, seats: int = 0, window_s: float = 0.0) -> Verdict:
    """Replay a recording; rows may come in any order.  `seats`: how many there are, 0 if none are dealt."""
    verdict, replay = Verdict(), Replay()
    if seats:
        check_leases(verdict, rows, window_s, seats)
    ended: dict[tuple[str, int], float] = {}
    begun, settled, since = False, -1.0, -1.0
    for row in sorted(rows, key=lambda each: float(each["at"])):
        at, what = float(row["at"]), row["what"]
        if what == "over" and row["slot"] in replay.living:
            ended[replay.living[row["slot"]]] = at
        elif what == "day":
            begun = True
        elif what == "settled":
            settled = at
        elif what == "trouble":
            verdict.troubles.append(f"slot {row['slot']}: {row['text']}")
        elif what == "told" and begun:
            verdict.told += 1
            if row["change"] in ("gone", "left"):
                _check(verdict, replay, row, day)
        replay.take(row)
        if settled >= 0:
            equal = not replay.otherwise(day.out)
            since = (at if since < 0 else since) if equal else -1.0
    verdict.unequal = replay.otherwise(day.out)
    if settled < 0:
        verdict.unequal.append("the recording ends before the last fault is over")
    elif not verdict.unequal:
        verdict.equal_s = max(0.0, since - settled)
        if verdict.equal_s > EQUAL_S:
            verdict.unequal.append(f"equal only {verdict.equal_s:.1f} s after the last fault")
    return verdict


def _check(verdict: Verdict, replay: Replay, row: Row, day: Day) -> None:
    member = (row["member"], row["life"])
    subject = next((slot for slot, lives in replay.living.items() if lives == member), None)
    if subject is None or subject in day.out:
        return
    if not day.may_go(row["slot"], subject):
        verdict.false_gone.append(f"slot {row['slot']} says {member[0]} is {row['change']}: {row['cause']}")
