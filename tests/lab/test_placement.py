"""The emulated site: each job ends once, nodes never exceed their cores, and a seed repeats a run."""

from __future__ import annotations

import random

import pytest

from ladderhub import interface as api
from ladderhub.lab.emulator.net import MS, S
from ladderhub.lab.emulator.placement import Site, SiteSettings, TaskSpec

CLASS = api.TaskClass(api.Effect.SAFE, 800 * MS, 6 * S)


def simulate(seed: int, jobs: int, charged: bool = False) -> Site:
    """Ten nodes of four cores, two schedulers, and one-core jobs that arrive over 2 s and run for 10 s."""
    site = Site(SiteSettings(nodes=10, schedulers=2, classes=(CLASS,), charged=charged), seed)
    rng = random.Random(seed)
    for _ in range(jobs):
        spec = TaskSpec(0, 0, f"s{rng.randrange(5)}", 1.0, 1.0, 10 * S, 6 * S)
        site.net.call_at(site.net.now + rng.randrange(2 * S), site.ask, rng.choice(site.schedulers), spec)
    for _ in range(40):
        site.net.run(site.net.now + S)
        for node in site.nodes:
            assert 0 <= node.admission.used[0] <= 4
    return site


@pytest.mark.parametrize("charged", [False, True])
def test_all_start_where_there_is_room(charged: bool) -> None:
    site = simulate(1, 30, charged)
    assert all(record.start_ns > 0 and not record.refused for record in site.records)
    assert site.get_utilization() == 0


def test_what_has_no_room_is_told_within_its_limit() -> None:
    site = simulate(2, 200)
    started = [record for record in site.records if record.start_ns >= 0]
    assert 40 <= len(started) < 200
    assert all(record.refused == (record.start_ns < 0) for record in site.records)
    assert all(record.start_ns < site.settings.limit_ns for record in started)


def test_a_seed_gives_the_same_play() -> None:
    starts = [[record.start_ns for record in simulate(seed, 60).records] for seed in (3, 3, 4)]
    assert starts[0] == starts[1] != starts[2]
