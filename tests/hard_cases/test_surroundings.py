"""Failures in the scheduler's environment, faults of the decision module, and the clean stop."""

from __future__ import annotations

import contextlib
import os
import resource

import pytest

from ladderhub.interface import Action, Event, TaskAsked
from ladderhub.lab.client import BatchClient, build_job_attributes
from ladderhub.loop import Listener
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request

from tests.world import MS
from tests.hard_cases.bed import WorldFactory


def test_without_descriptors_no_job_is_lost_and_work_continues_afterwards(make_world: WorldFactory) -> None:
    # Guards against an offer whose connection can't be opened: its outcome was once never reported.
    world = make_world(2, limit="20s")
    daemon = world.daemon()
    first = world.submit("billing")
    world.wait(first, "R")
    client = BatchClient(world.loop, world.public, "tester")
    replies: list[Reply | None] = []
    client.status(replies.append)
    world.until(lambda: replies)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    draft = Request(
        n.QUEUE_JOB, "tester", attrs=build_job_attributes("w", "s", 1, 1, 30), destination="billing"
    )
    client.send(draft, replies.append)
    world.until(lambda: len(replies) == 2)
    reply = replies[1]
    assert reply is not None
    lowest = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
    spare = [os.dup(0) for _ in range(3)]
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(lowest, max(spare) + 1), hard))
        with contextlib.suppress(OSError):
            while True:
                spare.append(os.dup(0))
        client.send(Request(n.COMMIT, "tester", reply.job), replies.append)
        world.until(lambda: len(replies) == 3)
        world.run_for(300 * MS)
        assert daemon.jobs.by_id[reply.job].state == "Q" and not daemon.jobs.by_id[reply.job].answer
    finally:
        for fd in spare:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert world.wait(reply.job, "R").get("placement") == "placed"
    client.close()


def test_a_scheduler_without_a_directory_uses_its_saved_list(make_world: WorldFactory) -> None:
    world = make_world(2)
    daemon = world.daemon()
    world.until(lambda: (world.folder / "alpha" / "node-list.json").exists())
    daemon.close()
    world.directory.close()
    world.daemon(wait=False)
    assert world.wait(world.submit("billing"), "R")


def test_a_lost_directory_connection_is_recovered_with_the_missed_changes(make_world: WorldFactory) -> None:
    world = make_world(3)
    daemon = world.daemon()
    job = world.submit("web", service="one")
    name = world.wait(job, "R").get("exec_host").partition("/")[0]
    world.directory.disconnect_watchers()
    world.crash(name)
    world.until(lambda: name not in daemon.nodes.entries)
    world.until(lambda: len(world.live(job)) == 1)
    assert world.wait(job, "R").get("exec_host").partition("/")[0] != name


def test_a_fault_in_one_decision_leaves_the_others_and_its_job_is_answered(make_world: WorldFactory) -> None:
    world = make_world(2, limit="3s")
    daemon = world.daemon()
    handle = daemon.module.handle

    def faulty(now_ns: int, event: Event) -> list[Action]:
        if isinstance(event, TaskAsked):
            raise RuntimeError("a fault in the module")
        return handle(now_ns, event)

    daemon.module.handle = faulty  # type: ignore[method-assign]
    broken = world.submit("billing")
    daemon.module.handle = handle  # type: ignore[method-assign]
    assert world.wait(world.submit("billing"), "R")
    assert world.wait_answer(broken, "refused")
    assert daemon.metrics.troubles == 1


def test_stopping_answers_every_accepted_job(make_world: WorldFactory) -> None:
    world = make_world(1, warm_ns=200 * MS)
    daemon = world.daemon()
    runs = world.submit("billing")
    world.wait(runs, "R")
    held = world.submit("batch", extra=[Attr("Hold_Types", "u")])
    starting = world.submit("web")
    ended: list[bool] = []
    daemon.on_end = lambda: ended.append(True)
    world.until(lambda: daemon.jobs.by_id[starting].state != "R")
    daemon.shut_down()
    world.until(lambda: ended)
    answers = {job: daemon.jobs.by_id[job].answer for job in (runs, held, starting)}
    assert answers == {runs: "placed", held: "refused", starting: "placed"}
    assert world.live(runs) and world.live(starting)  # placed jobs keep running


@pytest.mark.parametrize("queue", ["billing", "web"])
def test_a_cancelled_job_whose_node_is_out_of_reach_is_stopped_before_the_scheduler_ends(
    make_world: WorldFactory, queue: str
) -> None:
    # Guards against cancelled jobs that run on: the next process would take them over as running.
    world = make_world(1)
    daemon = world.daemon()
    job = world.submit(queue)
    world.wait(job, "R")
    agent = world.agents["node-1"]
    address = agent.listener.address
    agent.listener.close()
    world.delete(job)
    live_at_end: list[list[str]] = []
    daemon.on_end = lambda: live_at_end.append(world.live(job))
    daemon.shut_down()
    world.run_for(500 * MS)
    agent.listener = Listener(world.loop, address, agent._accept)
    world.until(lambda: live_at_end)
    assert live_at_end == [[]]


def test_a_node_that_never_returns_delays_the_end_by_the_stated_time_only(make_world: WorldFactory) -> None:
    world = make_world(1)
    daemon = world.daemon()
    job = world.submit("billing")
    world.wait(job, "R")
    world.agents["node-1"].listener.close()
    world.delete(job)
    ended: list[bool] = []
    daemon.on_end = lambda: ended.append(True)
    began_ns = world.loop.now_ns()
    daemon.shut_down()
    world.until(lambda: ended)
    assert world.loop.now_ns() - began_ns >= daemon.context.settings.stop_within_ns
    assert world.live(job)


def test_altering_a_running_job_takes_effect_and_a_job_without_script_is_not_rerun(
    make_world: WorldFactory,
) -> None:
    # Guards against a change that is acknowledged and shown, but never passed to the owner module.
    world = make_world(2, limit="8s")
    daemon = world.daemon()
    jobs = [world.submit("web"), world.submit("web")]
    for job in jobs:
        world.wait(job, "R")

    def alter(job: str, value: str) -> Reply:
        request = Request(n.MODIFY_JOB, job=job, attrs=[Attr("Rerunable", value)], command=n.CMD_SET)
        request.object_type = n.OBJ_JOB
        return world.ask(lambda client, done: client.send(request, done))

    assert alter(jobs[0], "False").code == 0
    for name in list(world.agents):
        world.crash(name)
    row = world.wait(jobs[0], "F")
    assert row.get("Exit_status") == "-1" and row.get("placement") == "placed"
    world.wait(jobs[1], "Q")
    # An adopted job has lost its script, so it can't be made rerunnable.
    world.add_node("node-1")
    fresh = world.submit("billing")
    world.wait(fresh, "R")
    daemon.close()
    world.daemon(wait=False)
    world.until(lambda: fresh in world.daemons["alpha"].jobs.by_id)
    refused = alter(fresh, "True")
    assert refused.code == n.BAD_ATTRIBUTE_VALUE and "its script went" in refused.text
    assert not world.daemons["alpha"].jobs.by_id[fresh].rerunnable
