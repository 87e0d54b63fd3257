"""Load tests of a daemon: its sustained rate, the delay it adds to a start, the cost of jobs and commands.

One process runs the scheduler, a few run emulated nodes, and another one submits.  Jobs are emulated and all
traffic is on loopback, so the figures describe the daemon and not the machines.
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
from ladderhub.lab.day import build_audit_rules
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.generator import QUEUES, Sent, build_submission
from ladderhub.lab.nodehost import HostPlan, NodePlan
from ladderhub.lab.process import build_module_command
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings
from ladderhub.pbs.batch import Reply

MS, S = 1_000_000, 1_000_000_000
EMULATED = EmulatedSettings(warm_ns=20 * MS, cold_times=4.0, life_ns=(1 * S, 2 * S))
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def read_cpu_s(pid: int) -> float:
    """Read the user and system time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_memory_kib(pid: int) -> int:
    """Read the resident memory of a process, in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    raise ValueError(f"/proc/{pid}/status has no line VmRSS")


class LoadResult(msgspec.Struct):
    """The result of one load test.

    Delays are counted from the planned time of a submission (a new connection and three requests):
    `commit_ms` until its acknowledgement, `added_ms` until its offer arrives at the node, which is the delay
    that the daemon adds to a start, and `start_ms` until the job runs.  Each holds the percentiles 50, 99 and
    99.9.
    """

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


HOSTS = 4  # processes over which the nodes are spread


class LoadTest:
    """A daemon under load, with its nodes spread over `hosts` processes."""

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
            host_plan = HostPlan(
                self.fleet.directory.address, plans[host::hosts], rules["admit_cores"], rules["admit_memory"],
                EMULATED.warm_ns, EMULATED.cold_times,
            )  # fmt: skip
            plan.write_bytes(msgspec.json.encode(host_plan))
            ended: list[int] = []
            argv = build_module_command("ladderhub.lab.nodehost", str(plan), str(out))
            self._hosts.append((self.loop.spawn(argv, ended.append), out, ended))
        if not self.fleet.run_until(lambda: len(self.fleet.directory.entries) == nodes, 20 * S):
            raise RuntimeError(f"{nodes} nodes did not register at the directory within 20 s")
        self.fleet.start()
        self.scheduler = self.fleet.schedulers["sched0"]

    def stop_nodes(self) -> dict[str, tuple[int, int]]:
        """Stop the nodes; return for each job the times (ns) of its offer at a node and of its start."""
        seen: dict[str, tuple[int, int]] = {}
        for process, out, ended in self._hosts:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            if not self.fleet.run_until(partial(bool, ended), 10 * S):
                raise RuntimeError("a node process did not end within 10 s of SIGTERM")
            found: dict[str, tuple[int, int]] = msgspec.json.decode(
                out.read_bytes(), type=dict[str, tuple[int, int]]
            )
            seen |= found
        return seen

    def close(self) -> None:
        """Stop all processes and remove the files."""
        self.fleet.close()
        for process, _, _ in self._hosts:
            if process.poll() is None:
                process.kill()
        self._folder.cleanup()

    def get_pid(self) -> int:
        """Return the process number of the daemon."""
        assert self.scheduler.process is not None
        return self.scheduler.process.pid

    def submit(self, life_s: float, on_done: Callable[[str, str], None], held: bool = False) -> None:
        """Submit a random job; `on_done` is called as for `Submission`."""
        queue, attrs = build_submission(self.random, life_s, held)
        Submission(self.loop, self.scheduler.public, queue, attrs, b"#!/bin/sh\nexec true\n", on_done)

    def run(self, rate: float, seconds: float) -> LoadResult:
        """Submit jobs in an open loop and measure the delay of each until its start."""
        commit, start, added = (HdrHistogram(1, 60_000_000, 3) for _ in range(3))
        out = self.folder / "sent.json"
        host, port = self.scheduler.public
        ended: list[int] = []
        argv = build_module_command("ladderhub.lab.generator", host, str(port), str(rate), str(seconds))
        self.loop.spawn([*argv, str(self.random.randrange(1 << 30)), str(out)], ended.append)
        before, at = read_cpu_s(self.get_pid()), time.monotonic()
        self.fleet.run_for(round(seconds * S))
        cores = (read_cpu_s(self.get_pid()) - before) / (time.monotonic() - at)
        if not self.fleet.run_until(lambda: bool(ended), 30 * S) or ended != [0]:
            raise RuntimeError(f"the load generator failed or did not end within 30 s: exit status {ended}")
        sent: Sent = msgspec.json.decode(out.read_bytes(), type=Sent)
        rows: dict[str, str] = {}
        client = BatchClient(self.loop, self.scheduler.public)

        def on_reply(reply: Reply | None) -> None:
            for row in reply.rows if reply else ():
                if row.get("placement"):
                    rows[row.name] = row.get("placement")

        def has_all_answers() -> bool:
            if len(rows) < len(sent.jobs):
                client.status(on_reply, names=("placement",))
                self.fleet.run_for(300 * MS)
            return len(rows) >= len(sent.jobs)

        self.fleet.run_until(has_all_answers, 30 * S)
        client.close()
        began = self.stop_nodes()
        for job, (planned, acknowledged) in sent.jobs.items():
            commit.record_value(max(1, (acknowledged - planned) // 1000))
            if job in began:
                offered, ran = began[job]
                start.record_value(max(1, (ran - planned) // 1000))
                added.record_value(max(1, (offered - planned) // 1000))
        answers = list(rows.values())
        return LoadResult(
            rate, seconds, sent.submitted, answers.count("placed"), answers.count("refused"),
            answers.count("failed"), round(cores, 3), get_quantiles_ms(commit),
            get_quantiles_ms(start), get_quantiles_ms(added),
        )  # fmt: skip


def get_quantiles_ms(histogram: HdrHistogram) -> list[float]:
    """Return the percentiles 50, 99 and 99.9 in milliseconds of a histogram of microseconds."""
    return [round(histogram.get_value_at_percentile(q) / 1000, 2) for q in (50.0, 99.0, 99.9)]


class HeldJobsResult(msgspec.Struct):
    """The cost of many held jobs in one daemon."""

    jobs: int
    bytes_a_job: int
    qstat_s: float
    qstat_full_s: float
    held_up_ms: float


def measure_held_jobs(jobs: int) -> HeldJobsResult:
    """Measure the memory of each of `jobs` held jobs in one daemon, and the duration of `qstat`."""
    load_test = LoadTest(3, hosts=1)
    try:
        load_test.fleet.run_for(500 * MS)
        before = read_memory_kib(load_test.get_pid())
        accepted: list[str] = []
        count = 0
        while count < jobs:
            for _ in range(min(64, jobs - count)):
                load_test.submit(1, lambda job, _: accepted.append(job), held=True)
                count += 1
            held = partial(_has_count, accepted, count)
            load_test.fleet.run_until(held, 30 * S)
        after = read_memory_kib(load_test.get_pid())
        spans = []
        for argv in (["qstat"], ["qstat", "-f"]):
            at = time.monotonic()
            status, out = load_test.fleet.run_command("sched0", argv, timeout_ns=120 * S)
            spans.append(time.monotonic() - at)
            if status or out.count("\n") < jobs:
                raise RuntimeError(f"{argv}: status {status}, {out.count(chr(10))} lines")
        longest_wait_ms = _measure_longest_wait_ms(load_test)
        return HeldJobsResult(
            jobs, (after - before) * 1024 // jobs, round(spans[0], 3), round(spans[1], 3), longest_wait_ms
        )
    finally:
        load_test.close()


def _has_count(things: list[str], count: int) -> bool:
    return len(things) == count


def _measure_longest_wait_ms(load_test: LoadTest) -> float:
    """Measure the longest wait of a small request while `qstat -f` lists all jobs five times."""
    client = BatchClient(load_test.loop, load_test.scheduler.public)
    got: list[int] = []
    ended: list[int] = []
    argv = [str(Path(sys.executable).with_name("qstat")), "-f"]
    environment = load_test.fleet.build_environment("sched0")

    def ask() -> None:
        at = load_test.loop.now_ns()

        def on_reply(_: Reply | None) -> None:
            got.append(load_test.loop.now_ns() - at)
            if len(ended) < 5:
                load_test.loop.call_later(2 * MS, ask)

        client.status(on_reply, job="1.sched0", names=("job_state",))

    ask()
    for _ in range(5):
        before = len(ended)
        load_test.loop.spawn(argv, ended.append, stdout=subprocess.DEVNULL, env=environment)
        load_test.fleet.run_until(partial(_has_more, ended, before), 60 * S)
    client.close()
    return round(max(got, default=0) / MS, 1)


def _has_more(things: list[int], than: int) -> bool:
    return len(things) > than


def measure_start_times(runs: int = 15) -> tuple[float, float]:
    """Measure the median seconds of a start of `qsub` with an invalid option, and of a bare interpreter."""

    def median(argv: list[str]) -> float:
        spans = []
        for _ in range(runs):
            at = time.monotonic()
            subprocess.run(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False)
            spans.append(time.monotonic() - at)
        return sorted(spans)[runs // 2]

    return median(build_module_command("ladderhub.commands.qsub", "-Z")), median(
        [sys.executable, "-P", "-c", "pass"]
    )


class SubmissionsResult(msgspec.Struct):
    """The result of a run of real `qsub` processes: answers counted in the recording and in `qstat`."""

    acknowledged: int
    failed_commands: int
    by_recording: dict[str, int]
    by_qstat: dict[str, int]
    agree: bool
    verdict: Verdict


def run_submissions(
    count: int, seed: int, report: Callable[[str], None], concurrency: int = 8, keep: Path | None = None
) -> SubmissionsResult:
    """Submit `count` jobs by real `qsub` processes, `concurrency` at a time, to nodes with faults.

    Nodes lose, truncate and repeat replies, and some wrongly refuse one tenant.
    """
    rng = random.Random(seed)
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
                # All large nodes, which billing needs, and every fourth other node wrongly refuse one tenant.
                refuses = agent.settings.kind == "large" or at % 4 == 0
                agent.full_for = frozenset({"south"}) if refuses else frozenset()
            stalled = next(agent for agent in fleet.nodes.values() if agent.settings.kind == "large")
            loop.call_later(3 * S, stalled.stall, 60 * S)
            jobs: list[str] = []
            failed: list[str] = []
            running = 0
            begun = 0
            pollers = {n: BatchClient(loop, s.public, "poller") for n, s in fleet.schedulers.items()}
            answers: dict[str, str] = {}

            def poll(scheduler: str) -> None:
                def on_reply(reply: Reply | None) -> None:
                    for row in reply.rows if reply else ():
                        if row.get("placement"):
                            answers[row.name] = row.get("placement")
                    loop.call_later(400 * MS, poll, scheduler)

                pollers[scheduler].status(on_reply, names=("placement",))

            for scheduler in fleet.schedulers:
                poll(scheduler)

            def begin() -> None:
                nonlocal running, begun
                begun += 1
                running += 1
                path = folder / f"out-{begun}"
                scheduler = rng.choice(list(fleet.schedulers))
                number = rng.randrange(12)
                queue = QUEUES[number % len(QUEUES)]
                argv = [
                    "qsub", "-q", queue, "-N", f"{queue}-{number}", "-A", rng.choice(("north", "south")),
                    "-l", "ncpus=1,mem=1gb", str(folder / "job.sh"),
                ]  # fmt: skip

                def on_ended(status: int) -> None:
                    nonlocal running
                    running -= 1
                    text = path.read_text().strip()
                    (failed if status else jobs).append(text)
                    path.unlink()

                with open(path, "wb") as out:
                    environment = fleet.build_environment(scheduler)
                    argv[0] = str(Path(sys.executable).with_name("qsub"))
                    loop.spawn(
                        argv, on_ended, stdin=subprocess.DEVNULL, stdout=out, stderr=out, env=environment
                    )

            (folder / "job.sh").write_text("#!/bin/sh\n#PBS -j oe\nexec true\n")
            while begun < count or running:
                while running < concurrency and begun < count:
                    begin()
                loop.run_once(10 * MS)
            report(f"{len(jobs)} of {count} acknowledged; settling")
            fleet.run_until(lambda: all(job in answers for job in jobs), 60 * S)
            fleet.run_for(1 * S)
        finally:
            fleet.close()
        verdict = audit(tap.read(folder / "recording.tap"), build_audit_rules(fleet.settings))
    by_qstat: dict[str, int] = {}
    for job in jobs:
        answer = answers.get(job, "not told")
        by_qstat[answer] = by_qstat.get(answer, 0) + 1
    agree = by_qstat == verdict.answers and verdict.accepted == len(jobs) and not failed
    return SubmissionsResult(len(jobs), len(failed), verdict.answers, by_qstat, agree, verdict)
