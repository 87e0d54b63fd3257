"""Memory of the finished jobs that a scheduler keeps: `python benchmarks/kept_jobs.py [JOBS] [STEPS]`.

Not run in CI.  One real `ladderhub serve` uses emulated nodes.  In each step JOBS jobs are submitted, run
briefly and end; then the scheduler's resident memory is read.  The slope over the steps is the memory of a
finished job while `keep_finished` lasts.
"""

from __future__ import annotations

import sys

from ladderhub.lab.client import BatchClient
from ladderhub.lab.load import LoadTest, read_memory_kib
from ladderhub.pbs.batch import Reply

MS, S = 1_000_000, 1_000_000_000
NODES, AT_ONCE, LIFE_S = 24, 32, 0.2


def run_step(load_test: LoadTest, jobs: int) -> None:
    """Submit jobs, `AT_ONCE` at a time, and wait until all of them have ended."""
    accepted: list[str] = []
    for first in range(0, jobs, AT_ONCE):
        wanted = min(first + AT_ONCE, jobs)
        for _ in range(wanted - first):
            load_test.submit(LIFE_S, lambda job, text: accepted.append(job))
        if not load_test.fleet.run_until(lambda wanted=wanted: len(accepted) >= wanted, 30 * S):
            raise RuntimeError("submissions were not answered within 30 s")
    load_test.fleet.run_for(5 * S)


def count_known_jobs(load_test: LoadTest) -> int:
    """Count the jobs that the scheduler lists, finished ones too."""
    found: list[int] = []
    client = BatchClient(load_test.loop, load_test.scheduler.public)

    def on_reply(reply: Reply | None) -> None:
        found.append(len(reply.rows) if reply else -1)

    client.status(on_reply, names=("job_state",))
    load_test.fleet.run_until(lambda: bool(found), 30 * S)
    client.close()
    return found[0]


def main(jobs: int, steps: int) -> None:
    load_test = LoadTest(NODES)
    try:
        run_step(load_test, jobs)  # excludes memory that grows only once, at first use
        first_known, first_kib = count_known_jobs(load_test), read_memory_kib(load_test.get_pid())
        for _ in range(steps):
            run_step(load_test, jobs)
            known, kib = count_known_jobs(load_test), read_memory_kib(load_test.get_pid())
            each = (kib - first_kib) * 1024 / (known - first_known)
            print(
                f"{known} jobs known, {kib / 1024:.1f} MiB resident, {each:.0f} bytes a job since "
                f"{first_known}"
            )
    finally:
        load_test.close()


if __name__ == "__main__":
    words = [int(word) for word in sys.argv[1:]]
    main(words[0] if words else 2000, words[1] if len(words) > 1 else 3)
