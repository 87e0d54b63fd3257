"""Reads processes: resource usage from the operating system, and the counters that they publish."""

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
from ladderhub.lab.load import read_cpu_s
from ladderhub.usage import traffic as usage

PAGE_TIMEOUT_S = 10.0
FILE_POLL_S = 0.01
NS = 1_000_000_000
PROCESSOR, BYTES, MESSAGES = (
    "ladderhub_processor_seconds",
    "ladderhub_bytes",
    "ladderhub_messages",
)
IN, OUT = "in", "out"
ALL_CAUSES = "whole"  # cause of the processor time of processes that do not divide it by cause


class Traffic(msgspec.Struct):
    """An amount in each direction; None if it was not counted."""

    in_: float | None = msgspec.field(default=None, name="in")
    out: float | None = None

    def divide(self, share: int) -> Traffic:
        """Return the amount per member of `share` members."""
        return Traffic(
            None if self.in_ is None else self.in_ / share, None if self.out is None else self.out / share
        )


class Counters(msgspec.Struct):
    """Counters of a process since its start: seconds by cause, bytes and messages by kind, steps of work."""

    processor_s: dict[str, float] = {}
    bytes: dict[str, Traffic] = {}
    messages: dict[str, Traffic] = {}
    work: dict[str, float] = {}

    def divide(self, share: int) -> Counters:
        """Return the counters per member of a process that hosts `share` members, without `work`."""
        return Counters(
            {cause: seconds / share for cause, seconds in self.processor_s.items()},
            {kind: amount.divide(share) for kind, amount in self.bytes.items()},
            {kind: amount.divide(share) for kind, amount in self.messages.items()},
        )


class Reading(msgspec.Struct):
    """Resource usage and counters of one process at one moment."""

    at_s: float
    processor_s: float
    waited_s: float  # time in which it was ready to run and no processor was free
    memory_bytes: int
    descriptors: int
    counted: Counters | None = None
    connections: float | None = None  # of clients, if the process accepts any


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    for line in lines:
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def read_waited_s(pid: int) -> float:
    """Return how long a process was ready to run and waited for a processor."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def read_process(pid: int, counted: Counters | None = None, connections: float | None = None) -> Reading:
    """Read the resource usage of a process and combine it with the given counters."""
    return Reading(
        time.monotonic(),
        read_cpu_s(pid),
        read_waited_s(pid),
        read_memory_bytes(pid),
        count_descriptors(pid),
        counted,
        connections,
    )


def read_scheduler(pid: int, http: tuple[str, int]) -> Reading:
    """Read a `serve` process and its metrics page."""
    page = fetch_page(http, "/metrics")
    if page is None:
        return read_process(pid)
    return read_process(pid, parse_counters(page), parse_gauge(page, "ladderhub_connections"))


def fetch_page(address: tuple[str, int], path: str) -> str | None:
    """Fetch an HTTP page of a process; None if the request fails."""
    host, port = address
    try:
        with urllib.request.urlopen(f"http://{host}:{port}{path}", timeout=PAGE_TIMEOUT_S) as page:
            return bytes(page.read()).decode()
    except (OSError, urllib.error.URLError):
        return None


def collect_counters(processor_s: float, traffic: usage.Traffic) -> Counters:
    """Return the counters of a laboratory process, whose processor time is not divided by cause."""
    counted = Counters({ALL_CAUSES: processor_s})
    for kind, count in traffic.kinds.items():
        counted.bytes[kind] = Traffic(count.bytes_in, count.bytes_out)
        counted.messages[kind] = Traffic(count.messages_in, count.messages_out)
    return counted


def parse_counters(page: str) -> Counters | None:
    """Parse the counters on a metrics page; None if it has none of them."""
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


def read_directory_counters(file: Path) -> Counters:
    """Read the counters from the statistics file of a directory."""
    stats: DirectoryStats = msgspec.json.decode(file.read_bytes(), type=DirectoryStats)
    counted = Counters({ALL_CAUSES: stats.processor_seconds})
    for kind, row in stats.traffic.items():
        counted.bytes[kind] = Traffic(row["bytes_in"], row["bytes_out"])
        counted.messages[kind] = Traffic(row["messages_in"], row["messages_out"])
    for name in ("changes", "rounds", "lists", "rows_sent", "log_entries_walked"):
        counted.work[name] = float(getattr(stats, name))
    return counted


def request_file(file: Path, request: Callable[[], None]) -> bool:
    """Request a new statistics file and return whether it was written in time."""
    file.unlink(missing_ok=True)
    request()
    deadline = time.monotonic() + PAGE_TIMEOUT_S
    while not file.exists():
        if time.monotonic() > deadline:
            return False
        time.sleep(FILE_POLL_S)
    return True


def parse_gauge(page: str, name: str) -> float | None:
    """Parse a gauge without labels on a metrics page; None if it is missing."""
    for line in page.splitlines():
        if line.startswith(f"{name} "):
            return float(line.split()[1])
    return None
