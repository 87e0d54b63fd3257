"""Memory of the finished jobs that a scheduler keeps: `python benchmarks/kept_jobs.py [JOBS] [STEPS]`.

Outside CI.  One real `ladderhub serve` over emulated nodes.  In each step that many jobs are submitted, run
for a moment and end; then the scheduler's resident memory is read.  The slope over the steps is what a
finished job weighs while `keep_finished` lasts.
"""

from __future__ import annotations

import sys

from ladderhub.lab.client import BatchClient
from ladderhub.lab.load import LoadTest, read_memory_kib
from ladderhub.pbs.batch import Reply

MS, S = 1_000_000, 1_000_000_000
NODES, AT_ONCE, LIFE_S = 24, 32, 0.2


def play_step(load_test: LoadTest, jobs: int) -> None:
    """Submit some jobs, a few at a time, and wait until they are all over."""
    taken: list[str] = []
    for first in range(0, jobs, AT_ONCE):
        wanted = min(first + AT_ONCE, jobs)
        for _ in range(wanted - first):
            load_test.submit(LIFE_S, lambda job, text: taken.append(job))
        if not load_test.fleet.run_until(lambda wanted=wanted: len(taken) >= wanted, 30 * S):
            raise RuntimeError("submissions were not answered")
    load_test.fleet.run_for(5 * S)


def jobs_known(load_test: LoadTest) -> int:
    """How many jobs the scheduler still tells of, finished ones too."""
    found: list[int] = []
    client = BatchClient(load_test.loop, load_test.scheduler.public)

    def told(reply: Reply | None) -> None:
        found.append(len(reply.rows) if reply else -1)

    client.status(told, names=("job_state",))
    load_test.fleet.run_until(lambda: bool(found), 30 * S)
    client.close()
    return found[0]


def main(jobs: int, steps: int) -> None:
    load_test = LoadTest(NODES)
    try:
        play_step(load_test, jobs)  # what grows once, at first use, is not counted
        first_known, first_kib = jobs_known(load_test), read_memory_kib(load_test.get_pid())
        for _ in range(steps):
            play_step(load_test, jobs)
            known, kib = jobs_known(load_test), read_memory_kib(load_test.get_pid())
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
