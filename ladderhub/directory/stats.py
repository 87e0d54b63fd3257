"""What the directory spends, as it is written to its statistics file."""

from __future__ import annotations

import msgspec

from ladderhub.usage.traffic import TrafficRow


class DirectoryStats(msgspec.Struct):
    """`traffic` by kind of peer: node, scheduler.  `rows` are the nodes listed at the end, `changes` the new
    versions of rows, `rows_sent` the rows in all lists.  `log_entries_walked` is the work of making lists
    in steps, over `rounds` of pushing and `lists` that were sent."""

    processor_seconds: float
    traffic: dict[str, TrafficRow]
    rows: int
    changes: int
    rounds: int
    lists: int
    rows_sent: int
    log_entries_walked: int
