"""The auditor: judges the five rules from recorded bytes alone.

It knows the rules (`AuditRules`) and what went over the sockets: clients' and nodes' requests to schedulers
(channel `sched:NAME`), schedulers' requests to nodes (`node:NAME`), the directory's lists (`list:NAME`), and
notes of what the laboratory did to a process (`note:`).  No word of a daemon on its own decisions counts,
but for the answers that it tells its clients.

`model` has the rules and what is read and found, `reader` reads a recording, `judge` judges it.
"""

from __future__ import annotations

from collections.abc import Iterable

from ladderhub.lab.auditor.judge import Judge
from ladderhub.lab.auditor.model import RULES, Attempt, AuditRules, QueueRules, Rule, Verdict
from ladderhub.lab.auditor.reader import RecordingReader
from ladderhub.lab.tap import Record

__all__ = [
    "RULES",
    "Attempt",
    "AuditRules",
    "QueueRules",
    "RecordingReader",
    "Rule",
    "Verdict",
    "audit",
    "read",
]


def read(records: Iterable[Record]) -> RecordingReader:
    """All that a recording tells, in the order of its records."""
    reader = RecordingReader()
    for record in records:
        reader.take(record)
    return reader


def audit(records: Iterable[Record], rules: AuditRules) -> Verdict:
    """Read a recording and judge it."""
    return Judge(read(records), rules).verdict()
