"""Computes job starts by class from the results of load and nodes, and from the logs of the schedulers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from ladderhub.lab.scale.load import LoadResult
from ladderhub.lab.scale.report import ClassFigures

US = 1_000
MAX_RECORDED_US = 600_000_000


class _AnswerRow(msgspec.Struct):
    """An `answer` row of a scheduler's log; other rows lack these fields."""

    event: str
    job: str = ""
    answer: str = ""


def read_answers(logs: Iterable[Path]) -> dict[str, str]:
    """Return each job's answer as logged by the schedulers."""
    decoder: msgspec.json.Decoder[_AnswerRow] = msgspec.json.Decoder(_AnswerRow)
    answers: dict[str, str] = {}
    for path in logs:
        with open(path, "rb") as file:
            for line in file:
                if b'"answer"' not in line:
                    continue
                try:
                    row = decoder.decode(line)
                except msgspec.MsgspecError:
                    continue
                if row.event == "answer":
                    answers[row.job] = row.answer
    return answers


class _ClassCounter:
    """Counts the jobs of one class."""

    def __init__(self) -> None:
        self.count = self.refused = self.failed = self.unsubmitted = self.unanswered = 0
        self.started = HdrHistogram(1, MAX_RECORDED_US, 3)

    def compute_figures(self) -> ClassFigures:
        has_started = self.started.get_total_count() > 0
        p50, p99 = (
            round(self.started.get_value_at_percentile(q) / 1000, 2) if has_started else None
            for q in (50.0, 99.0)
        )
        missed = self.count - self.started.get_total_count()
        return ClassFigures(
            self.count, p50, p99, self.refused, self.failed, self.unsubmitted, self.unanswered,
            missed / self.count if self.count else 0.0,
        )  # fmt: skip


def compute_start_figures(
    classes: Iterable[str], loads: Iterable[LoadResult], ran: Mapping[str, int], answers: Mapping[str, str],
    since_ns: int, until_ns: int,
) -> dict[str, ClassFigures]:  # fmt: skip
    """For jobs that were due in the span, compute the delay until they ran; count the others by outcome."""
    counters = {name: _ClassCounter() for name in classes}
    for result in loads:
        for name, due_ns in result.unsubmitted:
            if since_ns <= due_ns < until_ns:
                counters[name].count += 1
                counters[name].unsubmitted += 1
        for job, sent in result.jobs.items():
            if not since_ns <= sent.due_ns < until_ns:
                continue
            klass = counters[sent.klass]
            klass.count += 1
            if job in ran:
                klass.started.record_value(max(1, (ran[job] - sent.due_ns) // US))
            elif answers.get(job) == "refused":
                klass.refused += 1
            elif answers.get(job) == "failed":
                klass.failed += 1
            else:
                klass.unanswered += 1
    return {name: klass.compute_figures() for name, klass in counters.items()}
