"""The auditor: checks the five rules against the recorded bytes alone.

Its input is the rules (`AuditRules`) and the recorded traffic: clients' and nodes' requests to schedulers
(channel `sched:NAME`), schedulers' requests to nodes (`node:NAME`), the directory's lists (`list:NAME`), and
notes on what the laboratory did to a process (`note:`).  What a daemon states about its own decisions is not
used, except the answers that it sends to its clients.

`model` defines the rules, the data read from a recording and the verdict; `reader` reads a recording, `judge`
judges it.
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
    """Read the records of a recording in their order."""
    reader = RecordingReader()
    for record in records:
        reader.read_record(record)
    return reader


def audit(records: Iterable[Record], rules: AuditRules) -> Verdict:
    """Read a recording and judge it."""
    return Judge(read(records), rules).judge()
