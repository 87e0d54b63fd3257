"""Starts of jobs by class, from what the load sent, what the nodes saw and what the schedulers logged."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from ladderhub.lab.scale.load import Sent
from ladderhub.lab.scale.report import ClassFigures

US = 1_000
LONGEST_US = 600_000_000


class _AnswerRow(msgspec.Struct):
    """The rows of a scheduler's log that tell an answer; others lack these fields."""

    event: str
    job: str = ""
    answer: str = ""


def answers_in(logs: Iterable[Path]) -> dict[str, str]:
    """Each job's answer as the schedulers logged it."""
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


class _Class:
    """What is counted of one class."""

    def __init__(self) -> None:
        self.count = self.refused = self.failed = self.unsubmitted = self.unanswered = 0
        self.started = HdrHistogram(1, LONGEST_US, 3)

    def figures(self) -> ClassFigures:
        some = self.started.get_total_count() > 0
        p50, p99 = (
            round(self.started.get_value_at_percentile(q) / 1000, 2) if some else None for q in (50.0, 99.0)
        )
        missed = self.count - self.started.get_total_count()
        return ClassFigures(
            self.count, p50, p99, self.refused, self.failed, self.unsubmitted, self.unanswered,
            missed / self.count if self.count else 0.0,
        )  # fmt: skip


def starts_by_class(
    classes: Iterable[str], sent: Iterable[Sent], ran: Mapping[str, int], answers: Mapping[str, str],
    since_ns: int, until_ns: int,
) -> dict[str, ClassFigures]:  # fmt: skip
    """Of the jobs that were due in the span: how long after that they ran, and what became of the others."""
    counted = {name: _Class() for name in classes}
    for each in sent:
        for name, due_ns in each.unsubmitted:
            if since_ns <= due_ns < until_ns:
                counted[name].count += 1
                counted[name].unsubmitted += 1
        for job, one in each.jobs.items():
            if not since_ns <= one.due_ns < until_ns:
                continue
            klass = counted[one.klass]
            klass.count += 1
            if job in ran:
                klass.started.record_value(max(1, (ran[job] - one.due_ns) // US))
            elif answers.get(job) == "refused":
                klass.refused += 1
            elif answers.get(job) == "failed":
                klass.failed += 1
            else:
                klass.unanswered += 1
    return {name: klass.figures() for name, klass in counted.items()}
