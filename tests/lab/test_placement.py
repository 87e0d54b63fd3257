"""The emulated site: jobs get one end each, nodes stay within their room, and a seed gives the same play."""

from __future__ import annotations

import random

import pytest

from ladderhub import interface as api
from ladderhub.lab.emulator.net import MS, S
from ladderhub.lab.emulator.placement import Site, SiteSettings, TaskSpec

CLASS = api.TaskClass(api.Effect.SAFE, 800 * MS, 6 * S)


def play(seed: int, jobs: int, charged: bool = False) -> Site:
    """Ten nodes of four cores, two schedulers, jobs of one core over two seconds that live for ten."""
    site = Site(SiteSettings(nodes=10, schedulers=2, classes=(CLASS,), charged=charged), seed)
    dice = random.Random(seed)
    for _ in range(jobs):
        work = TaskSpec(0, 0, f"s{dice.randrange(5)}", 1.0, 1.0, 10 * S, 6 * S)
        site.net.call_at(site.net.now + dice.randrange(2 * S), site.ask, dice.choice(site.schedulers), work)
    for _ in range(40):
        site.net.run(site.net.now + S)
        for node in site.nodes:
            assert 0 <= node.admission.used[0] <= 4
    return site


@pytest.mark.parametrize("charged", [False, True])
def test_all_start_where_there_is_room(charged: bool) -> None:
    site = play(1, 30, charged)
    assert all(record.start_ns > 0 and not record.refused for record in site.records)
    assert site.get_utilization() == 0


def test_what_has_no_room_is_told_within_its_limit() -> None:
    site = play(2, 200)
    started = [record for record in site.records if record.start_ns >= 0]
    assert 40 <= len(started) < 200
    assert all(record.refused == (record.start_ns < 0) for record in site.records)
    assert all(record.start_ns < site.settings.limit_ns for record in started)


def test_a_seed_gives_the_same_play() -> None:
    starts = [[record.start_ns for record in play(seed, 60).records] for seed in (3, 3, 4)]
    assert starts[0] == starts[1] != starts[2]
