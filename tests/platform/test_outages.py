"""Random outages of machines: the seeds that CI runs, and the judge on manipulated runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.platform import outages
from tests.platform.outages import Asked, OutageMachine, OutageRun, Standing, run_seed
from tests.platform.outages_hand_overs import HandOverRun


@pytest.mark.parametrize("seed", [*range(1, 11), 223, 287, 429])
def test_nothing_stands_without_an_owner_after_random_outages(seed: int) -> None:
    # Guards against links that take silence, or an answer, for a word on the machine's process.
    faults, count = run_seed(seed)
    assert count > 30 and faults == []


@pytest.mark.parametrize("seed", [6, 9, 16, 19, 20, 24, 33, 110])
def test_tasks_that_are_handed_over_after_random_outages_stand_or_are_told_as_over(
    tmp_path: Path, seed: int
) -> None:
    # Guards against releases of earlier attempts that cut what is held, and ends that nobody is told of.
    hand_over_run = HandOverRun(tmp_path, seed)
    try:
        hand_over_run.run()
        assert hand_over_run.find_faults() == []
        assert len(hand_over_run.asked) > 30 and hand_over_run.counts["handed over"] > 0
    finally:
        hand_over_run.bed.close()


def find_standing(outage_run: OutageRun) -> tuple[OutageMachine, str, Standing]:
    return next(
        (machine, id, standing)
        for machine in outage_run.machines
        for id, standing in machine.standing.items()
    )


def find_asked(outage_run: OutageRun) -> tuple[str, Asked]:
    _, id, _ = find_standing(outage_run)
    return id, outage_run.asked[id]


def leave_unanswered(outage_run: OutageRun) -> str:
    id, asked = find_asked(outage_run)
    asked.stands = False
    return f"{id}: runs on {find_standing(outage_run)[0].name}, its owner was never answered so"


def tell_as_over(outage_run: OutageRun) -> str:
    id, asked = find_asked(outage_run)
    asked.is_over = True
    return f"{id}: runs on {find_standing(outage_run)[0].name}, its owner was told that it is over"


def end_by_owner(outage_run: OutageRun) -> str:
    id, asked = find_asked(outage_run)
    asked.ended_by_owner = True
    return f"{id}: runs on {find_standing(outage_run)[0].name}, its owner has ended it"


def lose_without_a_word(outage_run: OutageRun) -> str:
    machine, id, _ = find_standing(outage_run)
    del machine.standing[id]
    return f"{id}: does not run, its owner was not told"


def stand_twice(outage_run: OutageRun) -> str:
    machine, _, standing = find_standing(outage_run)
    outage_run.asked["copy"] = Asked("copy", standing.key, unsafe=True, stands=True)
    machine.standing["copy"] = Standing(standing.key, standing.conn)
    return f"{standing.key}: stands 2 times"


def owe_a_release(outage_run: OutageRun) -> str:
    machine, id, _ = find_standing(outage_run)
    link = outage_run.bed.service.links.get(machine.name)
    assert link is not None
    link.tasks.releases.add(id, outages.NORMAL)
    return f"{machine.name}: releases are still pending"


@pytest.mark.parametrize("make_run", [OutageRun, HandOverRun])
@pytest.mark.parametrize(
    "manipulate",
    [leave_unanswered, tell_as_over, end_by_owner, lose_without_a_word, stand_twice, owe_a_release],
)
def test_the_judge_finds_each_fault_in_a_manipulated_run(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    manipulate: Callable[[OutageRun], str],
    make_run: Callable[[Path, int], OutageRun],
) -> None:
    monkeypatch.setattr(outages, "STEPS", 20)
    outage_run = make_run(tmp_path, 1)
    try:
        outage_run.run()
        assert outage_run.find_faults() == []
        expected = manipulate(outage_run)
        assert expected in outage_run.find_faults()
    finally:
        outage_run.bed.close()
