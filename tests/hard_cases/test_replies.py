"""Every request gets its reply, in order, whatever follows it on the connection."""

from __future__ import annotations


import pytest

from ladderhub.lab.client import BatchClient, build_job_attributes
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, encode_request

from tests.world import MS, S
from tests.hard_cases.bed import WorldFactory, exchange_raw


@pytest.mark.parametrize("look_ms", [0, 200])
def test_every_request_gets_its_answer_whatever_comes_behind_it(
    make_world: WorldFactory, look_ms: int
) -> None:
    # Guards against a request that is dropped between being read and being answered: replies are sent in
    # order, so its connection would never reply again.  All requests arrive in one write, during the node's
    # check of the offer (200 ms) or right after it.  The second half makes the script too long, and the
    # Commit behind it must not start the job with the first half.
    world = make_world(1)
    agent = world.agents["node-1"]
    agent.evaluation_ns = (look_ms * MS, look_ms * MS)
    attrs = [*build_job_attributes("w", "s", 1, 1, 30), Attr("run_version", "1")]
    offer = Request(n.QUEUE_JOB, job="1.alpha", attrs=attrs)
    half = Request(n.JOB_SCRIPT, job="1.alpha", data=b"x" * (n.MAX_SCRIPT_BYTES // 2 + 1))
    commit, bye = Request(n.COMMIT, job="1.alpha"), Request(n.DISCONNECT)

    def codes(*requests: Request, behind: bytes = b"") -> list[int]:
        sent = b"".join(map(encode_request, requests)) + behind
        return [reply.code for reply in exchange_raw(world, agent.listener.address, sent)]

    assert codes(offer, half, half, commit, bye) == [0, 0, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    assert not agent.jobs and agent.admission.used == [0.0, 0.0]
    status = Request(n.STATUS_NODE)
    # The second offer replaces the first; the protocol error is reported last.
    assert codes(status, offer, offer, status, commit, behind=b"garbage") == [0] * 5 + [n.PROTOCOL_ERROR]
    assert [held.state for held in agent.jobs.values()] == ["R"]
    third = Request(n.QUEUE_JOB, job="3.alpha", attrs=attrs)
    assert codes(offer, third, status, behind=b"garbage") == [n.JOB_EXISTS, 0, 0, n.PROTOCOL_ERROR]
    assert len(agent.jobs) == 1
    refused = Request(n.QUEUE_JOB, job="2.alpha", attrs=[*attrs, Attr("Resource_List", "no", "mem")])
    assert codes(refused, half, commit, bye) == [n.BAD_RESOURCE_VALUE, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    # Refusals that are sent immediately must not nest calls: 3000 of them would exceed the recursion limit.
    assert codes(*[refused] * 3000, bye) == [n.BAD_RESOURCE_VALUE] * 3000


def test_a_withdrawn_offer_is_answered_and_its_repetition_is_processed(make_world: WorldFactory) -> None:
    world = make_world(1)
    agent = world.agents["node-1"]
    agent.evaluation_ns = (300 * MS, 300 * MS)
    attrs = [*build_job_attributes("w", "s", 1, 1, 30), Attr("run_version", "1")]
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


def test_replies_of_the_scheduler_keep_their_order_before_the_connection_ends(
    make_world: WorldFactory,
) -> None:
    # A cancel without a reply yet, followed by invalid bytes or by Disconnect.
    world = make_world(1, warm_ns=S)
    daemon = world.daemon()
    for behind, codes in ((b"garbage", [0, n.PROTOCOL_ERROR]), (encode_request(Request(n.DISCONNECT)), [0])):
        job = world.submit("billing")
        world.until(lambda job=job: world.live(job))  # type: ignore[misc]
        cancel = Request(n.DELETE_JOB, job=job, command=n.CMD_DELETE, object_type=n.OBJ_JOB)
        replies = exchange_raw(world, world.public, encode_request(cancel) + behind)
        assert [reply.code for reply in replies] == codes and "before it ran" in replies[0].text
    # The Commit that follows a refused half of a script must not submit the job.
    half = Request(n.JOB_SCRIPT, job="3.alpha", data=b"x" * (n.MAX_SCRIPT_BYTES // 2 + 1))
    requests = [
        Request(n.QUEUE_JOB, attrs=build_job_attributes("w", "s", 1, 1, 30), destination="web"),
        half,
        half,
    ]
    requests += [Request(n.COMMIT, job="3.alpha"), Request(n.DISCONNECT)]
    replies = exchange_raw(world, world.public, b"".join(map(encode_request, requests)))
    assert [reply.code for reply in replies] == [0, 0, n.BAD_SCRIPT, n.UNKNOWN_JOB]
    assert replies[0].job == "3.alpha" and "3.alpha" not in daemon.jobs.by_id
