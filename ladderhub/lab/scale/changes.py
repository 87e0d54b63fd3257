"""Configuration changes during a run: when they are made, and how long they take by the schedulers' logs."""

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

MAX_RECORDED_MS = 600_000
HOUR_S = 3600.0
QUOTA_STEP = 1e-3  # difference of a team's quota between one change and the next


def draw_change_times(changes_per_h: float, seconds: float, seed: int) -> list[float]:
    """Return the times of changes in a span, evenly spaced from a random first one."""
    if changes_per_h <= 0:
        return []
    spacing = HOUR_S / changes_per_h
    at_s = random.Random(seed).uniform(0.0, min(spacing, seconds))
    times = []
    while at_s < seconds:
        times.append(at_s)
        at_s += spacing
    return times


def make_changed_settings(settings: Mapping[str, Any], number: int) -> dict[str, Any]:
    """Return the settings with one team's quota changed, differently for each number."""
    changed = copy.deepcopy(dict(settings))
    teams = sorted(changed["tenants"])
    changed["tenants"][teams[number % len(teams)]]["quota_cores"] += QUOTA_STEP * (number + 1)
    return changed


class _RevisionRow(msgspec.Struct):
    """A `revision` row of a scheduler's log; `body` is the digest of its policy."""

    event: str
    timestamp: datetime
    what: str = ""
    body: str = ""
    number: int = 0


class _RevisionLog:
    """The revisions in one scheduler's log: when bodies were proposed and numbers became active."""

    def __init__(self, path: Path) -> None:
        self.proposed: dict[str, datetime] = {}
        self.active: list[_RevisionRow] = []
        decoder: msgspec.json.Decoder[_RevisionRow] = msgspec.json.Decoder(_RevisionRow)
        with open(path, "rb") as file:
            for line in file:
                if b'"revision"' not in line:
                    continue
                try:
                    self._add_row(decoder.decode(line))
                except msgspec.MsgspecError:
                    continue

    def _add_row(self, row: _RevisionRow) -> None:
        if row.event != "revision":
            return
        if row.what == "proposed":
            self.proposed.setdefault(row.body, row.timestamp)
        elif row.what == "active":
            self.active.append(row)

    def find_active_since(self, number: int) -> datetime | None:
        """Return when that number or a later one first became active on this scheduler, or None."""
        return min((row.timestamp for row in self.active if row.number >= number), default=None)


def compute_activation_times(logs: Iterable[Path]) -> list[float | None]:
    """Return the seconds from each proposed change until it or a later one was active on all schedulers.

    None stands for a change that some scheduler never activated."""
    parsed_logs = [_RevisionLog(path) for path in logs]
    numbers = {row.body: row.number for log in parsed_logs for row in log.active}
    times: list[float | None] = []
    for log in parsed_logs:
        for body, proposed_at in log.proposed.items():
            times.append(
                _compute_activation_time(proposed_at, parsed_logs, numbers[body]) if body in numbers else None
            )
    return times


def _compute_activation_time(
    proposed_at: datetime, logs: Sequence[_RevisionLog], number: int
) -> float | None:
    active_times = [log.find_active_since(number) for log in logs]
    known = [active_at for active_at in active_times if active_at is not None]
    return (max(known) - proposed_at).total_seconds() if len(known) == len(active_times) else None


def compute_change_figures(requested: int, times: Sequence[float | None]) -> ChangeFigures:
    """Compute the figures of a run in which `requested` changes were requested."""
    histogram = HdrHistogram(1, MAX_RECORDED_MS, 3)
    known = [span for span in times if span is not None]
    for span in known:
        histogram.record_value(max(1, round(span * 1000)))
    figures = ChangeFigures(count=len(known))
    if known:
        figures.p50 = histogram.get_value_at_percentile(50.0) / 1000
        figures.p99 = histogram.get_value_at_percentile(99.0) / 1000
        figures.most = max(known)
    if requested:
        figures.missed_share = (requested - len(known)) / requested
    return figures
