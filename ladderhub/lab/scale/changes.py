"""Changes of configuration during a run: made as by an operator, and timed from the schedulers' logs."""

from __future__ import annotations

import copy
import random
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ladderhub.lab.scale.report import ChangeFigures

LONGEST_MS = 600_000
HOUR_S = 3600.0
QUOTA_STEP = 1e-3  # by how much a team's quota differs from one change to the next


def change_moments(changes_per_h: float, seconds: float, seed: int) -> list[float]:
    """When changes are made in a span: evenly, from a moment that the seed draws."""
    if changes_per_h <= 0:
        return []
    spacing = HOUR_S / changes_per_h
    at_s = random.Random(seed).uniform(0.0, min(spacing, seconds))
    moments = []
    while at_s < seconds:
        moments.append(at_s)
        at_s += spacing
    return moments


def changed_settings(settings: Mapping[str, Any], number: int) -> dict[str, Any]:
    """The settings with one team's quota changed, differently for each number."""
    changed = copy.deepcopy(dict(settings))
    teams = sorted(changed["tenants"])
    changed["tenants"][teams[number % len(teams)]]["quota_cores"] += QUOTA_STEP * (number + 1)
    return changed


class _RevisionRow(msgspec.Struct):
    """A row of a scheduler's log that tells of a revision; `body` is the digest of its policy."""

    event: str
    timestamp: datetime
    what: str = ""
    body: str = ""
    number: int = 0


class _LogOfRevisions:
    """What one scheduler's log tells: when it was asked for a body, and when it acted by which number."""

    def __init__(self, path: Path) -> None:
        self.proposed: dict[str, datetime] = {}
        self.active: list[_RevisionRow] = []
        decoder: msgspec.json.Decoder[_RevisionRow] = msgspec.json.Decoder(_RevisionRow)
        with open(path, "rb") as file:
            for line in file:
                if b'"revision"' not in line:
                    continue
                try:
                    self._take(decoder.decode(line))
                except msgspec.MsgspecError:
                    continue

    def _take(self, row: _RevisionRow) -> None:
        if row.event != "revision":
            return
        if row.what == "proposed":
            self.proposed.setdefault(row.body, row.timestamp)
        elif row.what == "active":
            self.active.append(row)

    def since(self, number: int) -> datetime | None:
        """When this scheduler first acted by that number or a later one."""
        return min((row.timestamp for row in self.active if row.number >= number), default=None)


def times_in_force(logs: Iterable[Path]) -> list[float | None]:
    """For each change that was asked for, the seconds until all schedulers acted by it or a later one; None
    where one never did."""
    told = [_LogOfRevisions(path) for path in logs]
    numbers = {row.body: row.number for log in told for row in log.active}
    times: list[float | None] = []
    for log in told:
        for body, asked_at in log.proposed.items():
            times.append(_span_s(asked_at, told, numbers[body]) if body in numbers else None)
    return times


def _span_s(asked_at: datetime, logs: Sequence[_LogOfRevisions], number: int) -> float | None:
    moments = [log.since(number) for log in logs]
    known = [moment for moment in moments if moment is not None]
    return (max(known) - asked_at).total_seconds() if len(known) == len(moments) else None


def change_figures(asked: int, times: Sequence[float | None]) -> ChangeFigures:
    """The figures of a run in which so many changes were asked for."""
    histogram = HdrHistogram(1, LONGEST_MS, 3)
    known = [span for span in times if span is not None]
    for span in known:
        histogram.record_value(max(1, round(span * 1000)))
    figures = ChangeFigures(count=len(known))
    if known:
        figures.p50 = histogram.get_value_at_percentile(50.0) / 1000
        figures.p99 = histogram.get_value_at_percentile(99.0) / 1000
        figures.most = max(known)
    if asked:
        figures.missed_share = (asked - len(known)) / asked
    return figures
