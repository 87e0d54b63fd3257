"""The scheduler's own surroundings fail, and its own end."""

from __future__ import annotations

import contextlib
import os
import resource


from ladderhub.interface import Action, Event, TaskAsked
from ladderhub.lab.client import BatchClient, attributes
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request

from tests.world import MS
from tests.hard_cases.bed import Make


def test_without_descriptors_nothing_is_lost_and_work_goes_on_after(make: Make) -> None:
    # Guards against an offer whose connection can't even be begun: its end was never told.
    world = make(2, limit="20s")
    daemon = world.daemon()
    first = world.submit("billing")
    world.wait(first, "R")
    client = BatchClient(world.loop, world.public, "tester")
    told: list[Reply | None] = []
    client.status(told.append)
    world.until(lambda: told)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    draft = Request(n.QUEUE_JOB, "tester", attrs=attributes("w", "s", 1, 1, 30), destination="billing")
    client.send(draft, told.append)
    world.until(lambda: len(told) == 2)
    reply = told[1]
    assert reply is not None
    lowest = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
    spare = [os.dup(0) for _ in range(3)]
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(lowest, max(spare) + 1), hard))
        with contextlib.suppress(OSError):
            while True:
                spare.append(os.dup(0))
        client.send(Request(n.COMMIT, "tester", reply.job), told.append)
        world.until(lambda: len(told) == 3)
        world.run_for(300 * MS)
        assert daemon.jobs.by_id[reply.job].state == "Q" and not daemon.jobs.by_id[reply.job].answer
    finally:
        for fd in spare:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert world.wait(reply.job, "R").get("placement") == "placed"
    client.close()


def test_a_scheduler_that_finds_no_directory_goes_by_the_list_it_kept(make: Make) -> None:
    world = make(2)
    daemon = world.daemon()
    world.until(lambda: (world.folder / "alpha" / "node-list.json").exists())
    daemon.close()
    world.directory.close()
    world.daemon(wait=False)
    assert world.wait(world.submit("billing"), "R")


def test_a_cut_from_the_directory_is_made_good_with_what_was_missed(make: Make) -> None:
    world = make(3)
    daemon = world.daemon()
    job = world.submit("web", service="one")
    name = world.wait(job, "R").get("exec_host").partition("/")[0]
    world.directory.disconnect_watchers()
    world.crash(name)
    world.until(lambda: name not in daemon.nodes.entries)
    world.until(lambda: len(world.live(job)) == 1)
    assert world.wait(job, "R").get("exec_host").partition("/")[0] != name


def test_a_fault_in_one_decision_leaves_the_others_and_its_job_is_answered(make: Make) -> None:
    world = make(2, limit="3s")
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


def test_stopping_settles_every_job_that_was_taken(make: Make) -> None:
    world = make(1, warm_ns=200 * MS)
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
    assert world.live(runs) and world.live(starting)  # what was placed runs on


def test_a_job_altered_while_it_runs_is_heard_and_a_lost_script_is_not_run_again(make: Make) -> None:
    # Guards against a change that is acknowledged and shown, and that no decision ever hears of.
    world = make(2, limit="8s")
    daemon = world.daemon()
    jobs = [world.submit("web"), world.submit("web")]
    for job in jobs:
        world.wait(job, "R")

    def alter(job: str, value: str) -> Reply:
        request = Request(n.MODIFY_JOB, job=job, attrs=[Attr("Rerunable", value)], command=n.CMD_SET)
        request.object_type = n.OBJ_JOB
        return world.ask(lambda client, told: client.send(request, told))

    assert alter(jobs[0], "False").code == 0
    for name in list(world.agents):
        world.crash(name)
    row = world.wait(jobs[0], "F")
    assert row.get("Exit_status") == "-1" and row.get("placement") == "placed"
    world.wait(jobs[1], "Q")
    # One that was adopted has no script any more: nothing makes it run again.
    world.add_node("node-1")
    fresh = world.submit("billing")
    world.wait(fresh, "R")
    daemon.close()
    world.daemon(wait=False)
    world.until(lambda: fresh in world.daemons["alpha"].jobs.by_id)
    refused = alter(fresh, "True")
    assert refused.code == n.BAD_ATTRIBUTE_VALUE and "its script went" in refused.text
    assert not world.daemons["alpha"].jobs.by_id[fresh].rerunnable
