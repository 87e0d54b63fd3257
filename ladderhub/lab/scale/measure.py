"""Reads processes: what the system tells of them, and what they count themselves."""

from __future__ import annotations

import os
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from ladderhub.directory.stats import DirectoryStats
from ladderhub.lab.load import cpu_s
from ladderhub.usage import traffic as usage

PAGE_S = 10.0
FILE_LOOK_S = 0.01
NS = 1_000_000_000
PROCESSOR, BYTES, MESSAGES = "ladderhub_processor_seconds", "ladderhub_bytes", "ladderhub_messages"
IN, OUT = "in", "out"
ALL_CAUSES = "whole"  # the cause where time is not told apart


class Traffic(msgspec.Struct):
    """An amount in each direction; None where nobody counted it."""

    in_: float | None = msgspec.field(default=None, name="in")
    out: float | None = None

    def divided(self, share: int) -> Traffic:
        """The part of one of so many."""
        return Traffic(
            None if self.in_ is None else self.in_ / share, None if self.out is None else self.out / share
        )


class Counters(msgspec.Struct):
    """What a process counted since its start: seconds by cause, bytes and messages by kind, work in steps."""

    processor_s: dict[str, float] = {}
    bytes: dict[str, Traffic] = {}
    messages: dict[str, Traffic] = {}
    work: dict[str, float] = {}

    def divided(self, share: int) -> Counters:
        """The part of one of so many members of the process."""
        return Counters(
            {cause: spent / share for cause, spent in self.processor_s.items()},
            {kind: amount.divided(share) for kind, amount in self.bytes.items()},
            {kind: amount.divided(share) for kind, amount in self.messages.items()},
        )


class Reading(msgspec.Struct):
    """One process at one moment."""

    at_s: float
    processor_s: float
    waited_s: float  # in which it could have run and no processor was free
    memory_bytes: int
    descriptors: int
    counted: Counters | None = None
    connections: float | None = None  # of clients, where the process has a door for them


def memory_bytes(pid: int) -> int:
    """Resident memory of a process, 0 where it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    for line in lines:
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def waited_s(pid: int) -> float:
    """How long a process was ready to run and waited for a processor."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS


def descriptors(pid: int) -> int:
    """Open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def read_process(pid: int, counted: Counters | None = None, connections: float | None = None) -> Reading:
    """A process as the system tells it, beside what it counted itself."""
    return Reading(
        time.monotonic(), cpu_s(pid), waited_s(pid), memory_bytes(pid), descriptors(pid), counted, connections
    )


def read_scheduler(pid: int, http: tuple[str, int]) -> Reading:
    """A `serve` process with what its metrics page tells."""
    page = fetch_page(http, "/metrics")
    if page is None:
        return read_process(pid)
    return read_process(pid, parse_counters(page), parse_gauge(page, "ladderhub_connections"))


def fetch_page(address: tuple[str, int], path: str) -> str | None:
    """A page of a process; None where it does not answer well."""
    host, port = address
    try:
        with urllib.request.urlopen(f"http://{host}:{port}{path}", timeout=PAGE_S) as page:
            return bytes(page.read()).decode()
    except (OSError, urllib.error.URLError):
        return None


def counted_by(processor_s: float, traffic: usage.Traffic) -> Counters:
    """What a process of the laboratory counted; its processor time has no causes."""
    counted = Counters({ALL_CAUSES: processor_s})
    for kind, count in traffic.kinds.items():
        counted.bytes[kind] = Traffic(count.bytes_in, count.bytes_out)
        counted.messages[kind] = Traffic(count.messages_in, count.messages_out)
    return counted


def parse_counters(page: str) -> Counters | None:
    """The counters on a metrics page; None where it has none of them."""
    counted = Counters()
    for family in text_string_to_metric_families(page):
        for sample in family.samples:
            if not sample.name.endswith("_total"):
                continue
            if family.name == PROCESSOR:
                counted.processor_s[sample.labels["cause"]] = sample.value
            elif family.name in (BYTES, MESSAGES):
                table = counted.bytes if family.name == BYTES else counted.messages
                traffic = table.setdefault(sample.labels["kind"], Traffic(0.0, 0.0))
                if sample.labels["direction"] == IN:
                    traffic.in_ = sample.value
                else:
                    traffic.out = sample.value
    found = counted.processor_s or counted.bytes or counted.messages
    return counted if found else None


def counted_by_directory(file: Path) -> Counters:
    """The statistics file of a directory."""
    stats: DirectoryStats = msgspec.json.decode(file.read_bytes(), type=DirectoryStats)
    counted = Counters({ALL_CAUSES: stats.processor_seconds})
    for kind, row in stats.traffic.items():
        counted.bytes[kind] = Traffic(row["bytes_in"], row["bytes_out"])
        counted.messages[kind] = Traffic(row["messages_in"], row["messages_out"])
    for name in ("changes", "rounds", "lists", "rows_sent", "log_entries_walked"):
        counted.work[name] = float(getattr(stats, name))
    return counted


def written_anew(file: Path, ask: Callable[[], None]) -> bool:
    """Ask for a statistics file; whether it came in time."""
    file.unlink(missing_ok=True)
    ask()
    until = time.monotonic() + PAGE_S
    while not file.exists():
        if time.monotonic() > until:
            return False
        time.sleep(FILE_LOOK_S)
    return True


def parse_gauge(page: str, name: str) -> float | None:
    """A single value on a metrics page."""
    for line in page.splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return None
