"""Hard cases of the running path, each caused over sockets."""

from __future__ import annotations

import contextlib
import os
import random
import resource
import socket
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import pytest

from ladderhub.interface import Action, Event, TaskAsked
from ladderhub.lab import tap
from ladderhub.lab.auditor import audit
from ladderhub.lab.client import BatchClient, attributes
from ladderhub.lab.day import audit_rules
from ladderhub.loop import Stream
from ladderhub.loop.http import HttpDoor
from ladderhub.loop.stream import connect
from ladderhub.node.outbox import Outbox
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import number, string

from .world import MS, S, World

Make = Callable[..., World]


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    worlds: list[World] = []

    def build(*args: object, **options: object) -> World:
        world = World(tmp_path, *args, **options)  # type: ignore[arg-type]
        worlds.append(world)
        return world

    yield build
    for world in worlds:
        world.close()


def judged(world: World) -> None:
    """The recording keeps all five rules."""
    assert world.tap is not None
    world.tap.close()
    verdict = audit(tap.read(world.tap.path), audit_rules(world.settings))
    assert verdict.good(), verdict.lines()
    assert verdict.checked["no effect twice"]


# --- cancels ------------------------------------------------------------------------------------------------


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


# --- nodes that misbehave -----------------------------------------------------------------------------------


def test_a_node_that_turns_one_tenant_away_wrongly_is_left_for_another(make: Make) -> None:
    world = make(3)
    world.daemon()
    for name in ("node-1", "node-2"):
        world.agents[name].full_for = frozenset({"north"})
    job = world.submit("billing", account="north")
    assert world.wait(job, "R").get("exec_host") == "node-3/0"
    world.agents["node-3"].full_for = frozenset({"north"})
    refused = world.wait_answer(world.submit("billing", account="north"), "refused")
    assert "no room for north" in refused.get("comment")
    assert world.wait(world.submit("billing", account="south"), "R")


@pytest.mark.parametrize("fault", ["lose", "cut"])
@pytest.mark.parametrize("queue", ["billing", "web", "mail"])
def test_an_accepted_job_whose_answer_is_lost_or_breaks_off_runs_once(
    make: Make, queue: str, fault: str
) -> None:
    world = make(2, record=True, limit="8s")
    world.daemon()
    for agent in world.agents.values():
        setattr(agent, fault, 1.0)
    job = world.submit(queue)
    world.until(lambda: world.live(job))
    for agent in world.agents.values():
        setattr(agent, fault, 0.0)
    world.wait_answer(job, "placed")
    world.until(lambda: len(world.live(job)) == 1)
    host = world.row(job).get("exec_host")
    assert world.live(job) == [host.partition("/")[0]]
    judged(world)


def test_a_node_that_stalls_with_open_connections_does_not_hold_an_unsafe_job_twice(make: Make) -> None:
    world = make(2, record=True, warm_ns=400 * MS, limit="10s")
    world.daemon()
    job = world.submit("billing")
    world.until(lambda: world.live(job))
    held = world.agents[world.live(job)[0]]
    held.stall(60 * S)
    world.run_for(3 * S)  # past the module's deadline: the job may run, so it waits and says why
    row = world.row(job)
    assert row.get("job_state") == "Q" and held.name in row.get("comment")
    assert world.live(job) == [held.name]
    held.wake()
    world.wait_answer(job, "placed")
    assert world.live(job) == [held.name]
    judged(world)


def test_an_unsafe_job_at_a_node_that_stays_silent_fails_in_time(make: Make) -> None:
    world = make(1, warm_ns=400 * MS, limit="3s")
    world.daemon()
    job = world.submit("billing")
    world.until(lambda: world.live(job))
    world.agents["node-1"].stall(60 * S)
    row = world.wait_answer(job, "failed")
    assert "may have run at node-1" in row.get("comment")
    # The run that nobody wants any more is stopped once its node is reached.
    world.agents["node-1"].wake()
    world.until(lambda: not world.live(job))
    assert world.row(job).get("placement") == "failed"


def test_answers_that_come_twice_change_nothing(make: Make) -> None:
    # Guards against the repeated answer to one step being taken for the answer to the next, or, over a kept
    # connection, to another job's: a refusal would then prove what is not so.
    world = make(3, record=True, limit="10s")
    daemon = world.daemon()
    for agent in world.agents.values():
        agent.repeat = 0.4
    world.agents["node-1"].full_for = frozenset({"south"})
    jobs = [
        world.submit("billing", life_s=0.4, account=("north", "south")[at % 2], service=f"billing-{at}")
        for at in range(30)
    ]
    for job in jobs:
        assert world.wait(job, "F").get("placement") == "placed"
    assert daemon.owner.owes() == 0 and not world.troubles
    judged(world)


def test_news_of_an_attempt_long_settled_changes_nothing(make: Make) -> None:
    world = make(2)
    daemon = world.daemon()
    job = world.submit("billing")
    row = world.wait(job, "R")
    outbox = Outbox(world.loop, "{}:{}".format(*world.public))
    stale = [Attr("run_version", "99"), Attr("exit_reason", n.END_DONE)]
    outbox.send(Request(n.JOB_OBIT, "node@node-1", job, stale, status=3))
    outbox.send(Request(n.JOB_OBIT, "node@node-1", "77.nowhere", stale, status=3))
    world.until(lambda: not outbox.waiting())
    outbox.close()
    assert world.row(job).get("job_state") == "R" and len(daemon.jobs.live) == 1
    assert world.live(job) == [row.get("exec_host").partition("/")[0]]


def test_a_crashed_node_loses_its_jobs_and_each_is_placed_again_once(make: Make) -> None:
    world = make(3, record=True)
    world.daemon()
    jobs = [world.submit(queue, service=f"{queue}-{at}") for at, queue in enumerate(["web", "billing"] * 4)]
    for job in jobs:
        world.wait(job, "R")
    lost = [job for job in jobs if world.live(job) == ["node-1"]]
    world.crash("node-1")
    world.until(lambda: world.directory.entries["node-1"].stage == "gone")
    world.run_for(500 * MS)
    unsafe = [job for job in lost if world.row(job).get("queue") == "billing"]
    assert not any(world.live(job) for job in unsafe)  # nothing proves yet that they do not run
    agent = world.add_node("node-1")
    agent.ready_ns = agent.admission.ready_ns = world.loop.now_ns()
    for job in jobs:
        world.wait(job, "R")
        world.until(partial(lambda each: len(world.live(each)) == 1, job))
    judged(world)


# --- clients that misbehave ---------------------------------------------------------------------------------


def raw(world: World, *requests: Request, read: bool = True) -> Stream:
    """A client that writes and may go away without reading."""
    got: list[bytes] = []

    class Sink:
        def on_data(self, stream: Stream, data: bytes) -> None:
            got.append(data)

        def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
            return

    stream = connect(world.loop, world.public, Sink(), S)
    world.until(lambda: stream.connected)
    stream.write(b"".join(map(encode_request, requests)))
    if read:
        world.until(lambda: got)
    return stream


def queue_job() -> Request:
    return Request(n.QUEUE_JOB, "tester", attrs=attributes("w", "s", 1, 1, 30), destination="billing")


def test_a_client_that_dies_before_its_commit_leaves_no_job(make: Make) -> None:
    world = make(1)
    daemon = world.daemon()
    first = world.submit("billing")
    at = int(first.partition(".")[0]) + 1
    stream = raw(world, queue_job(), Request(n.JOB_SCRIPT, "tester", f"{at}.alpha", data=b"true\n"))
    stream.abort()
    world.run_for(100 * MS)
    assert set(daemon.jobs.by_id) == {first}


def test_a_client_that_dies_after_its_commit_leaves_one_job(make: Make) -> None:
    world = make(1)
    daemon = world.daemon()
    first = world.submit("billing")
    job = f"{int(first.partition('.')[0]) + 1}.alpha"
    stream = raw(world, queue_job(), Request(n.JOB_SCRIPT, "tester", job, data=b"true\n"), read=False)
    stream.write(encode_request(Request(n.COMMIT, "tester", job)))
    world.until(lambda: not stream._out)
    stream.abort()
    world.until(lambda: job in daemon.jobs.by_id)
    world.wait(job, "R")
    assert set(daemon.jobs.by_id) == {first, job}


def test_a_commit_that_is_repeated_leaves_one_job(make: Make) -> None:
    world = make(1)
    daemon = world.daemon()
    first = world.submit("billing")
    job = f"{int(first.partition('.')[0]) + 1}.alpha"
    commit = Request(n.COMMIT, "tester", job)
    raw(world, queue_job(), commit, commit)
    world.until(lambda: job in daemon.jobs.by_id)
    again = world.ask(lambda client, told: client.send(commit, told))
    assert (again.code, again.job) == (0, job)
    world.wait(job, "R")
    assert set(daemon.jobs.by_id) == {first, job} and len(world.live(job)) == 1


# --- bytes that are no protocol -----------------------------------------------------------------------------


def garbage(chance: random.Random) -> bytes:
    """Noise, or a good request with some bytes changed, cut or doubled."""
    if chance.random() < 0.3:
        return chance.randbytes(chance.randrange(1, 200))
    data = bytearray(encode_request(queue_job()) + encode_request(Request(n.COMMIT, "x", "1.alpha")))
    for _ in range(chance.randrange(1, 6)):
        data[chance.randrange(len(data))] = chance.randrange(256)
    return bytes(data[: chance.randrange(1, len(data))]) * chance.choice((1, 1, 3))


def test_garbage_by_the_thousand_on_every_port_kills_nothing(make: Make) -> None:
    # Guards against a parser that throws, waits for ever, or holds what is announced.
    world = make(1)
    daemon = world.daemon()
    http = HttpDoor(world.loop, ("127.0.0.1", 0), {"/metrics": daemon.metrics.page})
    chance = random.Random(11)
    ports = (
        world.public, world.agents["node-1"].listener.address, world.directory.address, http.listener.address
    )  # fmt: skip
    for at in range(4000):
        with socket.create_connection(ports[at % 4]) as sock:
            sock.sendall(garbage(chance))
        if at % 20 == 0:
            world.run_for(1 * MS)
    world.run_for(200 * MS)
    assert not world.troubles, world.troubles[0]
    assert world.wait(world.submit("billing"), "R")
    world.until(lambda: not daemon.door.clients)
    http.close()


@pytest.mark.parametrize("port", ["scheduler", "node"])
def test_a_gigabyte_that_is_announced_is_refused_at_its_header(make: Make, port: str) -> None:
    world = make(1)
    world.daemon()
    target = world.public if port == "scheduler" else world.agents["node-1"].listener.address
    head = number(2) + number(2) + number(n.JOB_SCRIPT) + string("x") + number(0) + number(0)
    with socket.create_connection(target) as sock:
        sock.settimeout(10)
        sock.sendall(head + number(1 << 30))
        world.run_for(200 * MS)
        answer = sock.recv(4096)
        assert b"Protocol error" in answer and b"at most" in answer
        assert sock.recv(4096) == b""


# --- the scheduler's own surroundings ---------------------------------------------------------------------


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
    world.directory.cut_watchers()
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


# --- the scheduler's own end --------------------------------------------------------------------------------


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
    daemon.shut()
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


def raw_talk(world: World, address: tuple[str, int], sent: bytes) -> list[Reply]:
    """All replies that come to one write, until the other end closes."""
    replies: list[Reply] = []
    parser, over = ReplyParser(), []

    class Reader:
        def on_data(self, stream: Stream, data: bytes) -> None:
            parser.feed(data)
            while (reply := parser.next()) is not None:
                replies.append(reply)

        def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
            over.append(fault)

    connect(world.loop, address, Reader(), 2 * S, lambda stream: stream.write(sent))
    world.until(lambda: over)
    return replies


@pytest.mark.parametrize("look_ms", [0, 200])
def test_every_request_gets_its_answer_whatever_comes_behind_it(make: Make, look_ms: int) -> None:
    # Guards against a request that is dropped between being read and being answered: replies leave in order,
    # so its connection would be dumb for good.  All comes in one write, while the node still looks (200 ms)
    # or has just looked; the last half of the script is too much, and its Commit must not start the first.
    world = make(1)
    agent = world.agents["node-1"]
    agent.look_ns = (look_ms * MS, look_ms * MS)
    attrs = [*attributes("w", "s", 1, 1, 30), Attr("run_version", "1")]
    offer = Request(n.QUEUE_JOB, job="1.alpha", attrs=attrs)
    half = Request(n.JOB_SCRIPT, job="1.alpha", data=b"x" * (n.SCRIPT_MOST // 2 + 1))
    commit, bye = Request(n.COMMIT, job="1.alpha"), Request(n.DISCONNECT)

    def codes(*requests: Request, behind: bytes = b"") -> list[int]:
        sent = b"".join(map(encode_request, requests)) + behind
        return [reply.code for reply in raw_talk(world, agent.listener.address, sent)]

    assert codes(offer, half, half, commit, bye) == [0, 0, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    assert not agent.jobs and agent.admission.used == [0.0, 0.0]
    status = Request(n.STATUS_NODE)
    # The second offer takes the place of the first; bytes that are no protocol are told of last.
    assert codes(status, offer, offer, status, commit, behind=b"garbage") == [0] * 5 + [n.PROTOCOL_ERROR]
    assert [held.state for held in agent.jobs.values()] == ["R"]
    third = Request(n.QUEUE_JOB, job="3.alpha", attrs=attrs)
    assert codes(offer, third, status, behind=b"garbage") == [n.JOB_EXISTS, 0, 0, n.PROTOCOL_ERROR]
    assert len(agent.jobs) == 1
    refused = Request(n.QUEUE_JOB, job="2.alpha", attrs=[*attrs, Attr("Resource_List", "no", "mem")])
    assert codes(refused, half, commit, bye) == [n.BAD_RESOURCE_VALUE, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    # Thousands that are refused at once must not pile up on each other.
    assert codes(*[refused] * 3000, bye) == [n.BAD_RESOURCE_VALUE] * 3000


def test_a_withdrawn_offer_is_answered_and_its_second_coming_is_looked_at(make: Make) -> None:
    world = make(1)
    agent = world.agents["node-1"]
    agent.look_ns = (300 * MS, 300 * MS)
    attrs = [*attributes("w", "s", 1, 1, 30), Attr("run_version", "1")]
    first, second = (BatchClient(world.loop, agent.listener.address, "scheduler@alpha") for _ in "ab")
    replies: list[Reply | None] = []
    first.send(Request(n.QUEUE_JOB, job="1.alpha", attrs=attrs), replies.append)
    world.until(lambda: agent.jobs)
    agent.withdraw(("1.alpha", 1))
    again: list[Reply | None] = []
    second.send(Request(n.QUEUE_JOB, job="1.alpha", attrs=attrs), again.append)
    second.send(Request(n.COMMIT, job="1.alpha"), again.append)
    world.until(lambda: replies and len(again) == 2)
    assert replies[0] is not None and replies[0].code == n.NODE_REJECTED
    assert [reply.code for reply in again if reply is not None] == [0, 0]
    assert agent.admission.used == [1.0, 1.0]
    first.close()
    second.close()


def test_replies_of_the_scheduler_keep_their_order_before_a_farewell(make: Make) -> None:
    # A cancel whose word is still awaited, and behind it bytes that are no protocol, or Disconnect.
    world = make(1, warm_ns=S)
    daemon = world.daemon()
    for behind, codes in ((b"garbage", [0, n.PROTOCOL_ERROR]), (encode_request(Request(n.DISCONNECT)), [0])):
        job = world.submit("billing")
        world.until(lambda job=job: world.live(job))  # type: ignore[misc]
        cancel = Request(n.DELETE_JOB, job=job, command=n.CMD_DELETE, object_type=n.OBJ_JOB)
        replies = raw_talk(world, world.public, encode_request(cancel) + behind)
        assert [reply.code for reply in replies] == codes and "before it ran" in replies[0].text
    # Half a script that was refused is not taken by the Commit that was on its way behind it.
    half = Request(n.JOB_SCRIPT, job="3.alpha", data=b"x" * (n.SCRIPT_MOST // 2 + 1))
    requests = [Request(n.QUEUE_JOB, attrs=attributes("w", "s", 1, 1, 30), destination="web"), half, half]
    requests += [Request(n.COMMIT, job="3.alpha"), Request(n.DISCONNECT)]
    replies = raw_talk(world, world.public, b"".join(map(encode_request, requests)))
    assert [reply.code for reply in replies] == [0, 0, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    assert replies[0].job == "3.alpha" and "3.alpha" not in daemon.jobs.by_id
