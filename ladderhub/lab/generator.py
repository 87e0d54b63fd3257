"""The load generator as a process of its own, so that its work does not delay the nodes that it measures.

`python -m ladderhub.lab.generator HOST PORT RATE SECONDS SEED OUT` submits in an open loop and writes, as
JSON, for each acknowledged job the planned moment and the moment of the acknowledgement (ns).
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

import msgspec

from ladderhub.lab.client import Submission, attributes
from ladderhub.loop import Loop
from ladderhub.loop.stream import Address
from ladderhub.pbs.batch import Attr

S = 1_000_000_000
SETTLE_NS = 5 * S
QUEUES = ("web", "batch", "billing", "mail")


class Sent(msgspec.Struct):
    """What was submitted: how many, and planned and acknowledged moments by job."""

    submitted: int
    jobs: dict[str, tuple[int, int]]


def submission(chance: random.Random, life_s: float, held: bool = False) -> tuple[str, list[Attr]]:
    """Queue and attributes of one job of the usual mix."""
    number = chance.randrange(60)
    queue = QUEUES[number % len(QUEUES)]
    cpus = chance.choice((0.25, 0.5, 1.0))
    attrs = attributes(f"job{number}", f"{queue}-{number}", cpus, cpus, life_s, "north")
    return queue, [*attrs, Attr("Hold_Types", "u")] if held else attrs


def generate(address: Address, rate: float, seconds: float, seed: int) -> Sent:
    loop, chance = Loop(), random.Random(seed)
    sent = Sent(0, {})
    start = loop.now_ns()
    end = start + round(seconds * S)
    ended = 0

    def one(planned: int) -> None:
        # The next moment follows from this planned one, however late this one came.
        if planned >= end:
            return
        following = planned + round(S / rate * chance.expovariate(1.0))
        loop.call_at(following, one, following)
        sent.submitted += 1
        queue, attrs = submission(chance, chance.uniform(1, 2))

        def done(job: str, _: str) -> None:
            nonlocal ended
            ended += 1
            if job:
                sent.jobs[job] = (planned, loop.now_ns())

        Submission(loop, address, queue, attrs, b"#!/bin/sh\nexec true\n", done)

    one(start)
    while loop.now_ns() < end or (ended < sent.submitted and loop.now_ns() < end + SETTLE_NS):
        loop.run_once(10_000_000)
    return sent


def main() -> None:
    host, port, rate, seconds, seed, out = sys.argv[1:]
    sent = generate((host, int(port)), float(rate), float(seconds), int(seed))
    Path(out).write_bytes(msgspec.json.encode(sent))


if __name__ == "__main__":
    main()
