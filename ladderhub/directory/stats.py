"""The statistics of the directory, as written to its statistics file."""

from __future__ import annotations

import msgspec

from ladderhub.usage.traffic import TrafficRow


class DirectoryStats(msgspec.Struct):
    """Resource usage and work of a directory process.

    `traffic` is by kind of peer: node, scheduler.  `rows` is the number of nodes listed at the end, `changes`
    that of new versions of rows, `rounds` that of pushes, `lists` that of lists sent, `rows_sent` that of
    rows in these lists.  `log_entries_walked` measures the work of building lists: the kept changes that were
    read."""

    processor_seconds: float
    traffic: dict[str, TrafficRow]
    rows: int
    changes: int
    rounds: int
    lists: int
    rows_sent: int
    log_entries_walked: int
