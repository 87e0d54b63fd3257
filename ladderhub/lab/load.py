"""Load: what one daemon sustains, what it adds to a start, and what its jobs and commands cost.

One scheduler process, emulated nodes in some processes, the load from another.  Figures come from emulated
work on
loopback: they tell of the daemon, not of machines.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from ladderhub.lab import tap
from ladderhub.lab.auditor import Verdict, audit
from ladderhub.lab.client import BatchClient, Submission
from ladderhub.lab.day import audit_rules
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.generator import QUEUES, Sent, submission
from ladderhub.lab.nodehost import HostPlan, NodePlan
from ladderhub.lab.process import module
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings
from ladderhub.pbs.batch import Reply

MS, S = 1_000_000, 1_000_000_000
QUICK = EmulatedSettings(warm_ns=20 * MS, cold_times=4.0, life_ns=(1 * S, 2 * S))
_TICK = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """User and system time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICK


def memory_kib(pid: int) -> int:
    """Resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"process {pid} tells no VmRSS")


class Load(msgspec.Struct):
    """One run of load.  From the planned moment of a submission (new connection, three requests): `commit_ms`
    to its acknowledgement, `added_ms` to the offer's arrival at its node, which is what the daemon adds to a
    start, `start_ms` to the job's running there.  Quantiles 50, 99 and 99.9."""

    rate: float
    seconds: float
    submitted: int
    placed: int
    refused: int
    failed: int
    cores: float
    commit_ms: list[float]
    start_ms: list[float]
    added_ms: list[float]


HOSTS = 4


class Bench:
    """A daemon under load, its nodes spread over some processes."""

    def __init__(self, nodes: int, seed: int = 1, hosts: int = HOSTS) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="ladderhub-load-")
        self.folder = Path(self._folder.name)
        self.loop = Loop()
        self.random = random.Random(seed)
        self.fleet = Fleet(self.loop, self.folder, nodes=0, schedulers=1, seed=seed)
        self._hosts: list[tuple[subprocess.Popen[bytes], Path, list[int]]] = []
        rules = self.fleet.settings["nodes"]
        plans = []
        for at in range(nodes):
            kind = "large" if at % 3 == 1 else "small"
            size = self.fleet.settings["kinds"][kind]
            memory = float(size["memory"].removesuffix("gb"))
            plans.append(NodePlan(f"node-{at:03d}", kind, size["cores"], memory, f"rack-{at % 9}", seed + at))
        for host in range(hosts):
            plan, out = self.folder / f"host-{host}.json", self.folder / f"host-{host}.out"
            mine = HostPlan(
                self.fleet.directory.address, plans[host::hosts], rules["admit_cores"], rules["admit_memory"],
                QUICK.warm_ns, QUICK.cold_times,
            )  # fmt: skip
            plan.write_bytes(msgspec.json.encode(mine))
            ended: list[int] = []
            argv = module("ladderhub.lab.nodehost", str(plan), str(out))
            self._hosts.append((self.loop.spawn(argv, ended.append), out, ended))
        if not self.fleet.run_until(lambda: len(self.fleet.directory.entries) == nodes, 20 * S):
            raise RuntimeError("nodes did not register")
        self.fleet.start()
        self.scheduler = self.fleet.schedulers["sched0"]

    def began(self) -> dict[str, tuple[int, int]]:
        """End the nodes: for each job, when its offer came to a node and when it ran there."""
        seen: dict[str, tuple[int, int]] = {}
        for process, out, ended in self._hosts:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            if not self.fleet.run_until(partial(bool, ended), 10 * S):
                raise RuntimeError("a process of nodes did not end")
            found: dict[str, tuple[int, int]] = msgspec.json.decode(
                out.read_bytes(), type=dict[str, tuple[int, int]]
            )
            seen |= found
        return seen

    def close(self) -> None:
        self.fleet.close()
        for process, _, _ in self._hosts:
            if process.poll() is None:
                process.kill()
        self._folder.cleanup()

    def pid(self) -> int:
        assert self.scheduler.process is not None
        return self.scheduler.process.pid

    def submit(self, life_s: float, done: Callable[[str, str], None], held: bool = False) -> None:
        queue, attrs = submission(self.random, life_s, held)
        Submission(self.loop, self.scheduler.public, queue, attrs, b"#!/bin/sh\nexec true\n", done)

    def load(self, rate: float, seconds: float) -> Load:
        """Submit at a rate, open loop, and watch every job to its start."""
        commit, start, added = (HdrHistogram(1, 60_000_000, 3) for _ in range(3))
        out = self.folder / "sent.json"
        host, port = self.scheduler.public
        ended: list[int] = []
        argv = module("ladderhub.lab.generator", host, str(port), str(rate), str(seconds))
        self.loop.spawn([*argv, str(self.random.randrange(1 << 30)), str(out)], ended.append)
        before, at = cpu_s(self.pid()), time.monotonic()
        self.fleet.run_for(round(seconds * S))
        cores = (cpu_s(self.pid()) - before) / (time.monotonic() - at)
        if not self.fleet.run_until(lambda: bool(ended), 30 * S) or ended != [0]:
            raise RuntimeError("the load generator did not end well")
        sent: Sent = msgspec.json.decode(out.read_bytes(), type=Sent)
        rows: dict[str, str] = {}
        client = BatchClient(self.loop, self.scheduler.public)

        def told(reply: Reply | None) -> None:
            for row in reply.rows if reply else ():
                if row.get("placement"):
                    rows[row.name] = row.get("placement")

        def all_told() -> bool:
            if len(rows) < len(sent.jobs):
                client.status(told, names=("placement",))
                self.fleet.run_for(300 * MS)
            return len(rows) >= len(sent.jobs)

        self.fleet.run_until(all_told, 30 * S)
        client.close()
        began = self.began()
        for job, (planned, acknowledged) in sent.jobs.items():
            commit.record_value(max(1, (acknowledged - planned) // 1000))
            if job in began:
                offered, ran = began[job]
                start.record_value(max(1, (ran - planned) // 1000))
                added.record_value(max(1, (offered - planned) // 1000))
        words = list(rows.values())
        return Load(
            rate, seconds, sent.submitted, words.count("placed"), words.count("refused"),
            words.count("failed"), round(cores, 3), quantiles(commit), quantiles(start), quantiles(added),
        )  # fmt: skip


def quantiles(histogram: HdrHistogram) -> list[float]:
    """Milliseconds at 50, 99 and 99.9 per cent of a histogram of microseconds."""
    return [round(histogram.get_value_at_percentile(q) / 1000, 2) for q in (50.0, 99.0, 99.9)]


class Weight(msgspec.Struct):
    """What many waiting jobs weigh."""

    jobs: int
    bytes_a_job: int
    qstat_s: float
    qstat_full_s: float
    held_up_ms: float


def weigh(jobs: int) -> Weight:
    """`jobs` held jobs in one daemon: memory for each, and how long `qstat` takes."""
    bench = Bench(3, hosts=1)
    try:
        bench.fleet.run_for(500 * MS)
        before = memory_kib(bench.pid())
        taken: list[str] = []
        count = 0
        while count < jobs:
            for _ in range(min(64, jobs - count)):
                bench.submit(1, lambda job, _: taken.append(job), held=True)
                count += 1
            held = partial(_as_many, taken, count)
            bench.fleet.run_until(held, 30 * S)
        after = memory_kib(bench.pid())
        spans = []
        for argv in (["qstat"], ["qstat", "-f"]):
            at = time.monotonic()
            status, out = bench.fleet.command("sched0", argv, most_ns=120 * S)
            spans.append(time.monotonic() - at)
            if status or out.count("\n") < jobs:
                raise RuntimeError(f"{argv}: status {status}, {out.count(chr(10))} lines")
        worst = _held_up(bench)
        return Weight(jobs, (after - before) * 1024 // jobs, round(spans[0], 3), round(spans[1], 3), worst)
    finally:
        bench.close()


def _as_many(things: list[str], count: int) -> bool:
    return len(things) == count


def _held_up(bench: Bench) -> float:
    """Longest wait of a small request (ms) while another process asks for everything, five times."""
    small = BatchClient(bench.loop, bench.scheduler.public)
    got: list[int] = []
    ended: list[int] = []
    argv = [str(Path(sys.executable).with_name("qstat")), "-f"]
    environment = bench.fleet.environment("sched0")

    def ask() -> None:
        at = bench.loop.now_ns()

        def told(_: Reply | None) -> None:
            got.append(bench.loop.now_ns() - at)
            if len(ended) < 5:
                bench.loop.call_later(2 * MS, ask)

        small.status(told, job="1.sched0", names=("job_state",))

    ask()
    for _ in range(5):
        before = len(ended)
        bench.loop.spawn(argv, ended.append, stdout=subprocess.DEVNULL, env=environment)
        bench.fleet.run_until(partial(_more, ended, before), 60 * S)
    small.close()
    return round(max(got, default=0) / MS, 1)


def _more(things: list[int], than: int) -> bool:
    return len(things) > than


def start_ratio(runs: int = 15) -> tuple[float, float]:
    """Median seconds of `qsub --version`-like starts and of a bare interpreter's."""

    def median(argv: list[str]) -> float:
        spans = []
        for _ in range(runs):
            at = time.monotonic()
            subprocess.run(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
            spans.append(time.monotonic() - at)
        return sorted(spans)[runs // 2]

    return median(module("ladderhub.commands.qsub", "-Z")), median([sys.executable, "-P", "-c", "pass"])


class Submits(msgspec.Struct):
    """A run of real `qsub` processes against flaky nodes, counted from the recording and from `qstat`."""

    acknowledged: int
    failed_commands: int
    by_recording: dict[str, int]
    by_qstat: dict[str, int]
    agree: bool
    verdict: Verdict


def thousand(
    count: int, seed: int, say: Callable[[str], None], side: int = 8, keep: Path | None = None
) -> Submits:
    """`count` submissions by the real `qsub`, `side` at a time, while nodes lose, cut, repeat and refuse."""
    chance = random.Random(seed)
    loop = Loop()
    with tempfile.TemporaryDirectory(prefix="ladderhub-submits-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(
            loop, folder, nodes=12, schedulers=2, seed=seed, record=folder / "recording.tap",
            emulated=EmulatedSettings(warm_ns=20 * MS, cold_times=4.0, life_ns=(S // 2, 2 * S)),
        )  # fmt: skip
        try:
            fleet.start()
            for at, agent in enumerate(fleet.nodes.values()):
                agent.lose, agent.cut, agent.repeat = 0.05, 0.05, 0.1
                # The nodes that billing needs turn one tenant away, wrongly; so does every fourth other one.
                wrong = agent.settings.kind == "large" or at % 4 == 0
                agent.full_for = frozenset({"south"}) if wrong else frozenset()
            silent = next(agent for agent in fleet.nodes.values() if agent.settings.kind == "large")
            loop.call_later(3 * S, silent.stall, 60 * S)
            jobs: list[str] = []
            failed: list[str] = []
            running = 0
            begun = 0
            pollers = {n: BatchClient(loop, s.public, "poller") for n, s in fleet.schedulers.items()}
            told: dict[str, str] = {}

            def poll(scheduler: str) -> None:
                def heard(reply: Reply | None) -> None:
                    for row in reply.rows if reply else ():
                        if row.get("placement"):
                            told[row.name] = row.get("placement")
                    loop.call_later(400 * MS, poll, scheduler)

                pollers[scheduler].status(heard, names=("placement",))

            for scheduler in fleet.schedulers:
                poll(scheduler)

            def begin() -> None:
                nonlocal running, begun
                begun += 1
                running += 1
                path = folder / f"out-{begun}"
                scheduler = chance.choice(list(fleet.schedulers))
                number = chance.randrange(12)
                queue = QUEUES[number % len(QUEUES)]
                argv = [
                    "qsub", "-q", queue, "-N", f"{queue}-{number}", "-A", chance.choice(("north", "south")),
                    "-l", "ncpus=1,mem=1gb", str(folder / "job.sh"),
                ]  # fmt: skip

                def ended(status: int) -> None:
                    nonlocal running
                    running -= 1
                    text = path.read_text().strip()
                    (failed if status else jobs).append(text)
                    path.unlink()

                with open(path, "wb") as out:
                    environment = fleet.environment(scheduler)
                    argv[0] = str(Path(sys.executable).with_name("qsub"))
                    loop.spawn(argv, ended, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=environment)

            (folder / "job.sh").write_text("#!/bin/sh\n#PBS -j oe\nexec true\n")
            while begun < count or running:
                while running < side and begun < count:
                    begin()
                loop.run_once(10 * MS)
            say(f"{len(jobs)} of {count} acknowledged; settling")
            fleet.run_until(lambda: all(job in told for job in jobs), 60 * S)
            fleet.run_for(1 * S)
        finally:
            fleet.close()
        verdict = audit(tap.read(folder / "recording.tap"), audit_rules(fleet.settings))
    by_qstat: dict[str, int] = {}
    for job in jobs:
        word = told.get(job, "not told")
        by_qstat[word] = by_qstat.get(word, 0) + 1
    agree = by_qstat == verdict.answers and verdict.accepted == len(jobs) and not failed
    return Submits(len(jobs), len(failed), verdict.answers, by_qstat, agree, verdict)
