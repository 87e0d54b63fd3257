"""The load generator, in its own process so that its work does not delay the nodes that it measures.

`python -m ladderhub.lab.generator HOST PORT RATE SECONDS SEED OUT` submits in an open loop and writes, as
JSON, for each acknowledged job its planned time and the time of the acknowledgement (ns).
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

import msgspec

from ladderhub.lab.client import Submission, build_job_attributes
from ladderhub.loop import Loop
from ladderhub.loop.stream import Address
from ladderhub.pbs.batch import Attr

S = 1_000_000_000
SETTLE_NS = 5 * S
QUEUES = ("web", "batch", "billing", "mail")


class Sent(msgspec.Struct):
    """The number of submitted jobs, and for each acknowledged job its planned and acknowledged time."""

    submitted: int
    jobs: dict[str, tuple[int, int]]


def build_submission(rng: random.Random, life_s: float, held: bool = False) -> tuple[str, list[Attr]]:
    """Draw a random job; return its queue and attributes."""
    number = rng.randrange(60)
    queue = QUEUES[number % len(QUEUES)]
    cpus = rng.choice((0.25, 0.5, 1.0))
    attrs = build_job_attributes(f"job{number}", f"{queue}-{number}", cpus, cpus, life_s, "north")
    return queue, [*attrs, Attr("Hold_Types", "u")] if held else attrs


def generate(address: Address, rate: float, seconds: float, seed: int) -> Sent:
    """Submit jobs at `rate` a second in an open loop and wait for the last answers."""
    loop, rng = Loop(), random.Random(seed)
    sent = Sent(0, {})
    start = loop.now_ns()
    end = start + round(seconds * S)
    ended = 0

    def submit_one(planned: int) -> None:
        # The next time follows from the planned one, so that a late call does not lower the rate.
        if planned >= end:
            return
        following = planned + round(S / rate * rng.expovariate(1.0))
        loop.call_at(following, submit_one, following)
        sent.submitted += 1
        queue, attrs = build_submission(rng, rng.uniform(1, 2))

        def on_done(job: str, _: str) -> None:
            nonlocal ended
            ended += 1
            if job:
                sent.jobs[job] = (planned, loop.now_ns())

        Submission(loop, address, queue, attrs, b"#!/bin/sh\nexec true\n", on_done)

    submit_one(start)
    while loop.now_ns() < end or (ended < sent.submitted and loop.now_ns() < end + SETTLE_NS):
        loop.run_once(10_000_000)
    return sent


def main() -> None:
    host, port, rate, seconds, seed, out = sys.argv[1:]
    sent = generate((host, int(port)), float(rate), float(seconds), int(seed))
    Path(out).write_bytes(msgspec.json.encode(sent))


if __name__ == "__main__":
    main()
