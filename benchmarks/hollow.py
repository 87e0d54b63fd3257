"""Compares what a real scheduler spends on N hollow peers and on N real peers.

    python benchmarks/hollow.py [--seconds S] [--repeats R] [--hollow] N [N ...]

Not run in CI.  Four real schedulers, three of them voters, are joined by N more, real and hollow in alternate
runs, on loopback without jobs and nodes.  Printed for the non-voter and for the first voter, over S seconds
after leases have settled: bytes and messages of peers a second, and processor time for peers and
configuration.  With `--hollow` the N are only hollow, and the usage of their processes is printed as well.
"""

from __future__ import annotations

import argparse
import json
import signal
import statistics
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ladderhub.lab.fleet import SETTINGS
from ladderhub.lab.ports import free_port
from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult
from ladderhub.lab.scale.measure import ALL_CAUSES, Counters, parse_counters, fetch_page, parse_gauge

VOTERS, BASE_COUNT = 3, 4
SETTLE_S = 25.0  # voters grant nothing for one lease, and slots have a pause before their use
READY_S = 180.0
MAX_HOLLOW_PER_PROCESS = 60  # with more, the process cannot keep up and its members are late
PERIOD, LEASE = "1s", "8s"
OTHER_KINDS = ("client", "node", "directory")
NAME_PREFIX = "peer"
ROLES = ("voter", "no voter")


@dataclass(frozen=True, slots=True)
class Usage:
    """Usage of one scheduler for each second."""

    bytes: float
    messages: float
    processor: float


class Run:
    """A fleet of measured schedulers and their peers."""

    def __init__(self, folder: Path, count: int, hollow: bool) -> None:
        self._folder, self._total = folder, BASE_COUNT + count
        self._hollow_count = count if hollow else 0
        self._addresses = [f"127.0.0.1:{free_port()}" for _ in range(self._total)]
        self._http = [("127.0.0.1", free_port()) for _ in range(self._total)]
        self._processes: list[subprocess.Popen[bytes]] = []
        self._directory = f"127.0.0.1:{free_port()}"

    def start(self) -> None:
        """Start all processes."""
        self._spawn("directory", build_module_command("ladderhub", "directory", "--listen", self._directory))
        real = self._total - self._hollow_count
        for at in range(real):
            self._spawn(
                f"{NAME_PREFIX}{at}",
                build_module_command("ladderhub", "serve", str(self._write_settings(at))),
            )
        for at in range(0, self._hollow_count, MAX_HOLLOW_PER_PROCESS):
            self._start_hollow(at, min(MAX_HOLLOW_PER_PROCESS, self._hollow_count - at))

    def _start_hollow(self, first: int, count: int) -> None:
        voters = self._addresses[:VOTERS]
        plan = HollowPlan(
            "bench", voters, voters, count, PERIOD, LEASE, self._total, 1 + first, "2s",
            f"{NAME_PREFIX}{1 + first // MAX_HOLLOW_PER_PROCESS}",
        )  # fmt: skip
        file, out = self._folder / f"hollow-{first}.json", self._folder / f"hollow-{first}.out"
        file.write_bytes(msgspec.json.encode(plan))
        argv = build_module_command("ladderhub.lab.scale.hollow_schedulers", str(file), str(out))
        self._spawn(f"hollow-{first}", argv)

    def read_hollow_results(self) -> list[HollowResult]:
        """Read the results that the processes of hollow schedulers wrote when they ended."""
        files = sorted(self._folder.glob("hollow-*.out"))
        return [msgspec.json.decode(file.read_bytes(), type=HollowResult) for file in files]

    def _write_settings(self, at: int) -> Path:
        # Names and addresses are as long as those of hollow schedulers, because every frame contains them.
        name = f"{NAME_PREFIX}{at:05d}" if at < BASE_COUNT else f"{NAME_PREFIX}1{at - BASE_COUNT:04d}"
        value = SETTINGS | {
            "server": name, "listen": f"127.0.0.1:{free_port()}", "directory": self._directory,
            "http": "{}:{}".format(*self._http[at]), "spool": str(self._folder / name), "seed": at + 1,
            "schedulers": self._total, "ordinal": at,
            "peers": {
                "listen": self._addresses[at], "seeds": self._addresses[:VOTERS], "cluster": "bench",
                "period": PERIOD, "lease": LEASE, "electors": self._addresses[:VOTERS],
            },
        }  # fmt: skip
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(value))
        return file

    def _spawn(self, name: str, argv: list[str]) -> None:
        with open(self._folder / f"{name}.log", "wb") as log:
            self._processes.append(subprocess.Popen(argv, stdout=log, stderr=log))

    def measure(self, seconds: float) -> list[Usage]:
        """Measure the usage of the first voter and of the non-voter."""
        self._wait_ready()
        time.sleep(SETTLE_S)
        watched = (0, BASE_COUNT - 1)
        before = [self._read_counters(at) for at in watched]
        begun = time.monotonic()
        time.sleep(seconds)
        after = [self._read_counters(at) for at in watched]
        span = time.monotonic() - begun
        return [_get_usage(old, new, span) for old, new in zip(before, after, strict=True)]

    def _wait_ready(self) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            pages = [fetch_page(self._http[at], "/metrics") for at in range(BASE_COUNT)]
            if all(page and parse_gauge(page, "ladderhub_members") == self._total for page in pages):
                return
            time.sleep(0.5)
        raise SystemExit(f"the schedulers did not see all members in time; logs are in {self._folder}")

    def _read_counters(self, at: int) -> Counters:
        page = fetch_page(self._http[at], "/metrics")
        counted = parse_counters(page) if page else None
        if counted is None:
            raise SystemExit(f"scheduler {at} returned no counters in /metrics; logs are in {self._folder}")
        return counted

    def close(self) -> None:
        """Stop all processes."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()


def _get_usage(before: Counters, after: Counters, seconds: float) -> Usage:
    def sum_peer_traffic(counted: Counters, what: str) -> float:
        kinds = getattr(counted, what)
        return sum(
            (each.in_ or 0) + (each.out or 0) for kind, each in kinds.items() if kind not in OTHER_KINDS
        )

    def sum_processor_s(counted: Counters) -> float:
        return counted.processor_s["peers"] + counted.processor_s["configuration"]

    return Usage(
        (sum_peer_traffic(after, "bytes") - sum_peer_traffic(before, "bytes")) / seconds,
        (sum_peer_traffic(after, "messages") - sum_peer_traffic(before, "messages")) / seconds,
        (sum_processor_s(after) - sum_processor_s(before)) / seconds,
    )


def measure_fleet(count: int, hollow: bool, seconds: float) -> list[Usage]:
    """Run one fleet and return the usage; always stop its processes."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), count, hollow)
        try:
            run.start()
            return run.measure(seconds)
        finally:
            run.close()


def print_hollow_usage(count: int, seconds: float) -> None:
    """Run one fleet with hollow peers; print its usage and that of the hollow processes."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), count, hollow=True)
        try:
            run.start()
            spent = run.measure(seconds)
        finally:
            run.close()
        results = run.read_hollow_results()
    for role, each in zip(ROLES, spent, strict=True):
        print(
            f"N={count} {role}: {each.bytes:.0f} B/s, {each.messages:.1f} messages/s, "
            f"{100 * each.processor:.2f} % of a core"
        )
    for result in results:
        whole = result.counted.processor_s[ALL_CAUSES] / result.seconds
        seen = result.members_seen
        print(
            f"N={count} process of {result.count}: members seen {seen.least} to {seen.most}; leases held "
            f"{result.leases_held}; revision {result.revision_least}; "
            f"{100 * whole / result.count:.3f} % of a core a member; "
            f"{result.datagrams_unsent} datagrams unsent, {result.troubles} troubles",
            flush=True,
        )


def compare_peers(count: int, seconds: float, repeats: int) -> None:
    """Run fleets with real and hollow peers alternately and print the medians."""
    runs: dict[bool, list[list[Usage]]] = {False: [], True: []}
    for _ in range(repeats):
        for hollow in (False, True):
            runs[hollow].append(measure_fleet(count, hollow, seconds))
    for at, role in enumerate(ROLES):
        for figure, unit, scale in (("bytes", "B/s", 1), ("messages", "/s", 1), ("processor", "% core", 100)):
            values = {
                hollow: [getattr(run[at], figure) * scale for run in results]
                for hollow, results in runs.items()
            }
            real, hollow = statistics.median(values[False]), statistics.median(values[True])
            listed = {kind: " ".join(f"{value:.3f}" for value in each) for kind, each in values.items()}
            print(
                f"N={count} {role}: {figure} {unit}: real {real:.3f} ({listed[False]}), "
                f"hollow {hollow:.3f} ({listed[True]}), {hollow / real - 1:+.1%}",
                flush=True,
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--hollow", action="store_true")
    parser.add_argument("counts", type=int, nargs="+")
    given = parser.parse_args()
    for count in given.counts:
        if given.hollow:
            print_hollow_usage(count, given.seconds)
        else:
            compare_peers(count, given.seconds, given.repeats)


if __name__ == "__main__":
    main()
