"""Measures the cost of a configuration change: `python benchmarks/rolling_restart.py [SEED] [--apply]`.

Seven real `serve` processes with membership and leases use emulated nodes; jobs are submitted in an open loop
to random schedulers, without retries.  Each scheduler in turn gets SIGTERM, ends, and is started with the new
file; the next one follows as soon as it listens.  With `--apply` the change is made by `ladderhub policy
apply` instead.  Printed: the time until the change is in force on all, the answers and starts before, during
and after it, and the jobs that schedulers no longer list.  Not run in CI; takes two minutes on loopback.
"""

from __future__ import annotations

import json
import os
import random
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from functools import partial
from pathlib import Path
from typing import Any

from ladderhub.lab.client import BatchClient, Submission, build_job_attributes
from ladderhub.lab.mesh.days import Step
from ladderhub.lab.mesh.fleet import Mesh
from ladderhub.lab.mesh.judge import Verdict, check_leases
from ladderhub.loop import Loop
from ladderhub.node.admission import Admission, Offer

S = 1_000_000_000
SCHEDULERS, NODES, RATE, SERVICES = 7, 21, 50.0, 240
LIFE_S = (2.0, 8.0)
WARM_UP_S, SPAN_S, SETTLE_S = 20, 20, 22
MAX_RESTART_NS = 20 * S
CHANGE_S = 10  # shortest time for which the change is observed
PHASES = ("before", "change", "after")


@dataclass
class Job:
    """One submission: its phase, its planned wall-clock time, and its result."""

    phase: str
    planned: float
    scheduler: str
    identifier: str = ""
    refusal: str = ""
    answered: bool = False


class RollingRestart:
    """One fleet with its load and its measurements."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.loop = Loop()
        self.mesh = Mesh(self.loop, folder, SCHEDULERS, seed, nodes=NODES)
        self.fleet, self.random, self.folder = self.mesh.fleet, random.Random(seed), folder
        self.jobs: list[Job] = []
        self.phase = "warm-up"
        self.starts: dict[str, Counter[bool]] = {}
        self.in_force: list[float] = []

    # --- the load -----------------------------------------------------------------------------------------

    def watch_starts(self) -> None:
        """Count the nodes' starts, warm and cold, in each phase."""
        for agent in self.fleet.nodes.values():
            self._watch(agent.admission)

    def _watch(self, admission: Admission) -> None:
        begin_next_start = admission.begin_next_start

        def begin_and_count() -> tuple[Offer, bool] | None:
            start = begin_next_start()
            if start is not None:
                self.starts.setdefault(self.phase, Counter())[start[1]] += 1
            return start

        admission.begin_next_start = begin_and_count  # type: ignore[method-assign]

    def submit(self) -> None:
        """Submit a random job and schedule the next submission."""
        self.loop.call_later(round(S / RATE * self.random.expovariate(1.0)), self.submit)
        number = self.random.randrange(SERVICES)
        queue = list(self.fleet.settings["queues"])[number % len(self.fleet.settings["queues"])]
        tenant = self.random.choice(list(self.fleet.settings["tenants"]))
        attrs = build_job_attributes(
            f"job{len(self.jobs)}", f"{queue}-{number}", 1.0, 1.0, self.random.uniform(*LIFE_S), tenant
        )
        name = self.random.choice(list(self.fleet.schedulers))
        job = Job(self.phase, datetime.now().timestamp(), name)
        self.jobs.append(job)

        def on_done(identifier: str, text: str) -> None:
            job.answered, job.identifier, job.refusal = True, identifier, "" if identifier else text

        Submission(self.loop, self.fleet.schedulers[name].public, queue, attrs, b"#!/bin/sh\ntrue\n", on_done)

    # --- the restarts -------------------------------------------------------------------------------------

    def restart_all(self) -> float:
        """Restart all schedulers; return the seconds until all use the changed file."""
        begun = self.loop.now_ns()
        for slot, scheduler in enumerate(self.fleet.schedulers.values()):
            self.mesh.execute_step(Step(0, "leave", slot))
            old = scheduler.process
            assert old is not None
            if not self.fleet.run_until(partial(_has_ended, old), MAX_RESTART_NS):
                raise RuntimeError(f"{scheduler.name} did not end within 20 s of SIGTERM")
            settings = json.loads(scheduler.file.read_text())
            settings["queues"]["web"]["aim"] = "700ms"
            scheduler.file.write_text(json.dumps(settings))
            self.mesh.execute_step(Step(0, "start", slot))
            if not self.fleet.run_until(partial(self.fleet.is_up, scheduler.name), MAX_RESTART_NS):
                raise RuntimeError(f"{scheduler.name} did not restart within 20 s")
            self.in_force.append((self.loop.now_ns() - begun) / S)
        return self.in_force[-1]

    def apply_all(self) -> float:
        """Apply the policy; return the seconds from the start of the command until it is in force on all."""
        begun, start = datetime.now().timestamp(), self.loop.now_ns()
        settings = json.loads(self.fleet.schedulers["sched0"].file.read_text())
        settings["queues"]["web"]["aim"] = "700ms"
        file = self.folder / "changed.json"
        file.write_text(json.dumps(settings))
        status, text = self.fleet.run_command("sched0", ["ladderhub", "policy", "apply", str(file)])
        if status:
            raise RuntimeError(f"the change was not applied: {text}")
        self.fleet.run_for(max(0, CHANGE_S * S - (self.loop.now_ns() - start)))
        rows = [row for name in self.fleet.schedulers for row in self.read_log(name)]
        self.in_force = sorted(
            datetime.fromisoformat(row["timestamp"]).timestamp() - begun
            for row in rows
            if row["event"] == "policy" and row["revision"] == 2
        )
        if len(self.in_force) != SCHEDULERS:
            raise RuntimeError(f"the change is in force on {len(self.in_force)} of {SCHEDULERS} schedulers")
        return self.in_force[-1]

    def count_known_jobs(self) -> int:
        """Count the jobs that the schedulers list, finished ones too."""
        counts: list[int] = []
        clients = [BatchClient(self.loop, each.public) for each in self.fleet.schedulers.values()]
        for client in clients:
            client.status(lambda reply: counts.append(len(reply.rows) if reply else 0), names=("job_state",))
        self.fleet.run_until(lambda: len(counts) == len(clients), 10 * S)
        for client in clients:
            client.close()
        return sum(counts)

    def run(self, apply: bool) -> Iterator[str]:
        """Start the fleet and the load, make the change, and yield the lines of the report."""
        self.mesh.start()
        self.watch_starts()
        self.submit()
        self.fleet.run_for(WARM_UP_S * S)
        self.phase = "before"
        self.fleet.run_for(SPAN_S * S)
        known = self.count_known_jobs()
        self.mesh.note("day")
        self.phase = "change"
        took = self.apply_all() if apply else self.restart_all()
        forgotten = known - self.count_known_jobs()
        self.phase = "after"
        self.fleet.run_for(SPAN_S * S)
        self.mesh.note("settled")
        self.phase = "settling"
        self.fleet.run_for(SETTLE_S * S)
        yield f"in force on all after {took:.2f} s: one after another at {_format_list(self.in_force)} s"
        yield from self.build_report()
        yield f"jobs that could be asked after: {known} before, {forgotten} fewer after the change"
        verdict = Verdict()
        until = next(row["at"] for row in self.mesh.rows if row["what"] == "settled")
        self.mesh.read_logs()
        rows = [row for row in self.mesh.rows if row["at"] <= until]
        check_leases(verdict, rows, self.mesh.window_s, SCHEDULERS)
        idle = 100 * verdict.idle_share
        yield f"leases of slots: {idle:.0f} % of slots and time unused from the begin of the change on"

    # --- the report ---------------------------------------------------------------------------------------

    def read_log(self, name: str) -> Iterator[dict[str, Any]]:
        """Yield the log events of a scheduler."""
        yield from map(json.loads, (self.folder / name / "log").read_bytes().splitlines())

    def read_answers(self) -> tuple[dict[str, tuple[float, str]], int]:
        """Read from the logs the time and kind of each job's first answer, and the number of adopted jobs."""
        found: dict[str, tuple[float, str]] = {}
        adopted = 0
        for name in self.fleet.schedulers:
            for row in self.read_log(name):
                adopted += row["event"] == "adopted"
                if row["event"] == "answer" and row["job"] not in found:
                    at = datetime.fromisoformat(row["timestamp"]).timestamp()
                    found[row["job"]] = (at, row["answer"])
        return found, adopted

    def build_report(self) -> Iterator[str]:
        """Yield a line for each phase."""
        answers, adopted = self.read_answers()
        for phase in PHASES:
            jobs = [job for job in self.jobs if job.phase == phase]
            not_taken = Counter(_get_refusal_kind(job) for job in jobs if not job.identifier)
            taken = [job for job in jobs if job.identifier]
            answer_counts = Counter(answers.get(job.identifier, (0.0, "never answered"))[1] for job in taken)
            spans = sorted(
                answers[job.identifier][0] - job.planned
                for job in taken
                if answers.get(job.identifier, (0.0, ""))[1] == "placed"
            )
            starts = self.starts.get(phase, Counter())
            cold = 100 * starts[False] / max(1, starts.total())
            yield (
                f"{phase}: {len(jobs)} submitted, not taken {sum(not_taken.values())} {dict(not_taken)}; "
                f"of those taken {dict(answer_counts)}; running after "
                f"{_get_quantile_ms(spans, 0.5):.0f} ms p50, {_get_quantile_ms(spans, 0.99):.0f} ms p99; "
                f"cold starts {cold:.1f} % of {starts.total()}"
            )
        yield f"running jobs taken over from nodes (not rerunnable any more): {adopted}"

    def close(self) -> None:
        """Stop the fleet."""
        self.mesh.close()
        self.loop.close()


def _has_ended(process: subprocess.Popen[bytes]) -> bool:
    return process.poll() is not None


def _get_refusal_kind(job: Job) -> str:
    if not job.answered:
        return "no end seen"
    return "stopping" if "stopping" in job.refusal else job.refusal


def _format_list(values: list[float]) -> str:
    return ", ".join(f"{value:.2f}" for value in values)


def _get_quantile_ms(ordered: list[float], share: float) -> float:
    """Return a quantile in milliseconds of sorted values in seconds."""
    return 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def main(seed: int, apply: bool) -> None:
    print(f"{os.cpu_count()} cores; {SCHEDULERS} schedulers, {NODES} nodes, {RATE:g} jobs/s, seed {seed}")
    with tempfile.TemporaryDirectory(prefix="ladderhub-restart-") as folder:
        run = RollingRestart(Path(folder), seed)
        try:
            for line in run.run(apply):
                print(line)
        finally:
            run.close()


if __name__ == "__main__":
    seeds = [int(word) for word in sys.argv[1:] if word != "--apply"]
    main(seeds[0] if seeds else 1, "--apply" in sys.argv)
