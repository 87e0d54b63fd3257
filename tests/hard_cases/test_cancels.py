"""Cancels that race with offers, their replies and stalled nodes."""

from __future__ import annotations

import random


from ladderhub.lab.client import BatchClient

from tests.world import MS, S
from tests.hard_cases.bed import WorldFactory, assert_recording_passes


def test_cancel_before_any_offer_says_that_nothing_ran(make_world: WorldFactory) -> None:
    world = make_world(0)
    world.daemon(wait=False)
    job = world.submit("billing")
    assert "before it ran" in world.delete(job).text
    row = world.row(job)
    assert (row.get("job_state"), row.get("placement"), row.get("Exit_status")) == ("F", "refused", "265")


def test_cancel_during_the_start_leaves_no_run(make_world: WorldFactory) -> None:
    # Guards against a cancel that ends the job at the scheduler while its node still starts it.
    world = make_world(2, record=True, warm_ns=3 * S)
    world.daemon()
    job = world.submit("billing")
    world.until(lambda: world.live(job))
    assert "before it ran" in world.delete(job).text
    assert world.wait(job, "F").get("placement") == "refused"
    assert not world.live(job)
    assert_recording_passes(world)


def test_cancel_when_the_answer_was_lost_tells_that_it_was_placed(make_world: WorldFactory) -> None:
    world = make_world(1, record=True)
    world.daemon()
    world.agents["node-1"].lose = 1.0
    job = world.submit("billing")
    world.until(lambda: world.agents["node-1"].jobs and world.live(job))
    world.until(lambda: any(held.state == "R" for held in world.agents["node-1"].jobs.values()))
    assert world.delete(job).text == "cancelled"
    row = world.wait(job, "F")
    assert (row.get("placement"), row.get("Exit_status")) == ("placed", "265")
    assert not world.live(job)
    assert_recording_passes(world)


def test_cancels_that_race_with_the_answer_never_leave_a_run(make_world: WorldFactory) -> None:
    # The random delays cover the whole duration of an offer, so some cancels race with its acceptance.
    world = make_world(3, record=True, warm_ns=30 * MS)
    world.daemon()
    rng = random.Random(5)
    jobs: list[str] = []
    replies: list[object] = []
    client = BatchClient(world.loop, world.public, "tester")
    for at in range(60):
        job = world.submit("billing", service=f"billing-{at % 5}")
        jobs.append(job)
        delay_ns = round(rng.uniform(0, 90) * MS)
        world.loop.call_later(delay_ns, client.delete, job, replies.append)
    world.until(lambda: len(replies) == len(jobs))
    for job in jobs:
        row = world.wait(job, "F")
        assert row.get("placement") in ("placed", "refused") and row.get("Exit_status") == "265"
        assert not world.live(job)
    answers = {world.row(job).get("placement") for job in jobs}
    assert answers == {"placed", "refused"}, "the delays must cause both outcomes of the race"
    assert_recording_passes(world)


def test_cancel_at_a_silent_node_is_reported_as_pending_and_reaches_it_later(
    make_world: WorldFactory,
) -> None:
    world = make_world(1, limit="3s")
    world.daemon()
    job = world.submit("billing")
    world.wait(job, "R")
    world.agents["node-1"].stall(60 * S)
    assert "no word yet from node-1" in world.delete(job).text
    world.agents["node-1"].resume()
    assert world.wait(job, "F").get("Exit_status") == "265"
    assert not world.live(job)
