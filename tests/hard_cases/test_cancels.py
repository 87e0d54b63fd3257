"""Cancels that cross what else goes on."""

from __future__ import annotations

import random


from ladderhub.lab.client import BatchClient

from tests.world import MS, S
from tests.hard_cases.bed import Make, judged


def test_cancel_before_any_offer_says_that_nothing_ran(make: Make) -> None:
    world = make(0)
    world.daemon(wait=False)
    job = world.submit("billing")
    assert "before it ran" in world.delete(job).text
    row = world.row(job)
    assert (row.get("job_state"), row.get("placement"), row.get("Exit_status")) == ("F", "refused", "265")


def test_cancel_while_the_start_goes_on_leaves_nothing(make: Make) -> None:
    # Guards against a cancel that ends the job here while its start goes on there.
    world = make(2, record=True, warm_ns=3 * S)
    world.daemon()
    job = world.submit("billing")
    world.until(lambda: world.live(job))
    assert "before it ran" in world.delete(job).text
    assert world.wait(job, "F").get("placement") == "refused"
    assert not world.live(job)
    judged(world)


def test_cancel_when_the_answer_was_lost_tells_that_it_was_placed(make: Make) -> None:
    world = make(1, record=True)
    world.daemon()
    world.agents["node-1"].lose = 1.0
    job = world.submit("billing")
    world.until(lambda: world.agents["node-1"].jobs and world.live(job))
    world.until(lambda: any(held.state == "R" for held in world.agents["node-1"].jobs.values()))
    assert world.delete(job).text == "cancelled"
    row = world.wait(job, "F")
    assert (row.get("placement"), row.get("Exit_status")) == ("placed", "265")
    assert not world.live(job)
    judged(world)


def test_cancels_that_cross_the_answer_never_leave_two_attempts(make: Make) -> None:
    # Offsets sweep the whole life of an offer, so that some cancels cross its acceptance.
    world = make(3, record=True, warm_ns=30 * MS)
    world.daemon()
    chance = random.Random(5)
    jobs: list[str] = []
    replies: list[object] = []
    client = BatchClient(world.loop, world.public, "tester")
    for at in range(60):
        job = world.submit("billing", service=f"billing-{at % 5}")
        jobs.append(job)
        span = round(chance.uniform(0, 90) * MS)
        world.loop.call_later(span, client.delete, job, replies.append)
    world.until(lambda: len(replies) == len(jobs))
    for job in jobs:
        row = world.wait(job, "F")
        assert row.get("placement") in ("placed", "refused") and row.get("Exit_status") == "265"
        assert not world.live(job)
    answers = {world.row(job).get("placement") for job in jobs}
    assert answers == {"placed", "refused"}, "the sweep must meet both sides of the crossing"
    judged(world)


def test_cancel_of_a_silent_node_is_told_as_such_and_reaches_it_later(make: Make) -> None:
    world = make(1, limit="3s")
    world.daemon()
    job = world.submit("billing")
    world.wait(job, "R")
    world.agents["node-1"].stall(60 * S)
    assert "no word yet from node-1" in world.delete(job).text
    world.agents["node-1"].wake()
    assert world.wait(job, "F").get("Exit_status") == "265"
    assert not world.live(job)
