"""What a real scheduler spends on its peers beside N hollow ones and beside N real ones.

    python benchmarks/hollow.py [--seconds S] [--repeats R] [--hollow] N [N ...]

Outside CI.  Four real schedulers, three of them voters, are joined by N more, real or hollow in turn, on
loopback without jobs and nodes.  Told for the one that is no voter, and for the first voter, over S seconds
once leases are settled: bytes and messages of peers a second, and processor time for peers and configuration.
With `--hollow` the N are hollow alone, and what their process spent is told as well.
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
from ladderhub.lab.process import module
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult
from ladderhub.lab.scale.measure import ALL_CAUSES, Counters, parse_counters, fetch_page, parse_gauge

VOTERS, MEASURED = 3, 4
SETTLE_S = 25.0  # voters are silent for a lease, and slots rest before they are used
READY_S = 180.0
HOLLOW_MOST = 60  # in one process: one that is always late is no scheduler
PERIOD, LEASE = "1s", "8s"
OTHERS = ("client", "node", "directory")
NAME = "peer"
ROLES = ("voter", "no voter")


@dataclass(frozen=True, slots=True)
class Spent:
    """Of one scheduler, by second."""

    bytes: float
    messages: float
    processor: float


class Run:
    """One fleet: the measured schedulers and the peers around them."""

    def __init__(self, folder: Path, count: int, hollow: bool) -> None:
        self._folder, self._total = folder, MEASURED + count
        self._hollow_count = count if hollow else 0
        self._addresses = [f"127.0.0.1:{free_port()}" for _ in range(self._total)]
        self._http = [("127.0.0.1", free_port()) for _ in range(self._total)]
        self._processes: list[subprocess.Popen[bytes]] = []
        self._directory = f"127.0.0.1:{free_port()}"

    def start(self) -> None:
        self._spawn("directory", module("ladderhub", "directory", "--listen", self._directory))
        real = self._total - self._hollow_count
        for at in range(real):
            self._spawn(f"{NAME}{at}", module("ladderhub", "serve", str(self._settings(at))))
        for at in range(0, self._hollow_count, HOLLOW_MOST):
            self._start_hollow(at, min(HOLLOW_MOST, self._hollow_count - at))

    def _start_hollow(self, first: int, count: int) -> None:
        voters = self._addresses[:VOTERS]
        plan = HollowPlan(
            "bench", voters, voters, count, PERIOD, LEASE, self._total, 1 + first, "2s",
            f"{NAME}{1 + first // HOLLOW_MOST}",
        )  # fmt: skip
        file, out = self._folder / f"hollow-{first}.json", self._folder / f"hollow-{first}.out"
        file.write_bytes(msgspec.json.encode(plan))
        argv = module("ladderhub.lab.scale.hollow_schedulers", str(file), str(out))
        self._spawn(f"hollow-{first}", argv)

    def hollow_results(self) -> list[HollowResult]:
        """What the processes of hollow schedulers left at their end."""
        files = sorted(self._folder.glob("hollow-*.out"))
        return [msgspec.json.decode(file.read_bytes(), type=HollowResult) for file in files]

    def _settings(self, at: int) -> Path:
        # Names and addresses are as long as those of the hollow ones: they stand in every frame.
        name = f"{NAME}{at:05d}" if at < MEASURED else f"{NAME}1{at - MEASURED:04d}"
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

    def measure(self, seconds: float) -> list[Spent]:
        """What the first voter and the scheduler that is none spend."""
        self._wait_ready()
        time.sleep(SETTLE_S)
        watched = (0, MEASURED - 1)
        before = [self._read(at) for at in watched]
        begun = time.monotonic()
        time.sleep(seconds)
        after = [self._read(at) for at in watched]
        span = time.monotonic() - begun
        return [_spent(old, new, span) for old, new in zip(before, after, strict=True)]

    def _wait_ready(self) -> None:
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            pages = [fetch_page(self._http[at], "/metrics") for at in range(MEASURED)]
            if all(page and parse_gauge(page, "ladderhub_members") == self._total for page in pages):
                return
            time.sleep(0.5)
        raise SystemExit(f"the schedulers did not come together; see {self._folder}")

    def _read(self, at: int) -> Counters:
        page = fetch_page(self._http[at], "/metrics")
        counted = parse_counters(page) if page else None
        if counted is None:
            raise SystemExit(f"no counters on the page of scheduler {at}; see {self._folder}")
        return counted

    def close(self) -> None:
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            try:
                process.wait(20)
            except subprocess.TimeoutExpired:
                process.kill()


def _spent(before: Counters, after: Counters, seconds: float) -> Spent:
    def passed(counted: Counters, what: str) -> float:
        kinds = getattr(counted, what)
        return sum((each.in_ or 0) + (each.out or 0) for kind, each in kinds.items() if kind not in OTHERS)

    def processor(counted: Counters) -> float:
        return counted.processor_s["peers"] + counted.processor_s["configuration"]

    return Spent(
        (passed(after, "bytes") - passed(before, "bytes")) / seconds,
        (passed(after, "messages") - passed(before, "messages")) / seconds,
        (processor(after) - processor(before)) / seconds,
    )


def play(count: int, hollow: bool, seconds: float) -> list[Spent]:
    """One run, its processes ended whatever happens."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), count, hollow)
        try:
            run.start()
            return run.measure(seconds)
        finally:
            run.close()


def play_hollow(count: int, seconds: float) -> None:
    """One run beside hollow peers alone, by kinds of message, and what these counted."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), count, hollow=True)
        try:
            run.start()
            spent = run.measure(seconds)
        finally:
            run.close()
        results = run.hollow_results()
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


def compare(count: int, seconds: float, repeats: int) -> None:
    """Runs with real and with hollow peers in turn, and the medians beside each other."""
    runs: dict[bool, list[list[Spent]]] = {False: [], True: []}
    for _ in range(repeats):
        for hollow in (False, True):
            runs[hollow].append(play(count, hollow, seconds))
    for at, role in enumerate(ROLES):
        for figure, unit, scale in (("bytes", "B/s", 1), ("messages", "/s", 1), ("processor", "% core", 100)):
            values = {
                hollow: [getattr(run[at], figure) * scale for run in played]
                for hollow, played in runs.items()
            }
            real, hollow = statistics.median(values[False]), statistics.median(values[True])
            told = {kind: " ".join(f"{value:.3f}" for value in each) for kind, each in values.items()}
            print(
                f"N={count} {role}: {figure} {unit}: real {real:.3f} ({told[False]}), "
                f"hollow {hollow:.3f} ({told[True]}), {hollow / real - 1:+.1%}",
                flush=True,
            )


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--seconds", type=float, default=40.0)
    options.add_argument("--repeats", type=int, default=3)
    options.add_argument("--hollow", action="store_true")
    options.add_argument("counts", type=int, nargs="+")
    given = options.parse_args()
    for count in given.counts:
        if given.hollow:
            play_hollow(count, given.seconds)
        else:
            compare(count, given.seconds, given.repeats)


if __name__ == "__main__":
    main()
