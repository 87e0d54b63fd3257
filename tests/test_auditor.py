"""Guards against an auditor that overlooks breaches: for each rule, a recording altered to break it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import pytest

from ladderhub.directory.wire import MessageDecoder, Listed, encode
from ladderhub.lab import tap
from ladderhub.lab.auditor import RULES, AuditRules, Verdict, audit
from ladderhub.lab.day import build_audit_rules
from ladderhub.lab.tap import Record
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, ReplyParser, Request, RequestParser, encode_reply, encode_request

from .world import MS, S, World

pytestmark = pytest.mark.xdist_group("auditor")  # one recording for all tests of this file

Recording = tuple[list[Record], AuditRules]


@pytest.fixture(scope="module")
def recording(tmp_path_factory: pytest.TempPathFactory) -> Recording:
    """Return a recording that keeps all rules: jobs of three queues, one ended, one deleted."""
    world = World(tmp_path_factory.mktemp("good"), 3, record=True)
    try:
        world.daemon()
        jobs = [world.submit(queue, service=f"{queue}-1") for queue in ("web", "billing", "batch") * 3]
        for job in jobs:
            world.wait(job, "R")
        world.delete(jobs[0])
        world.run_for(800 * MS)
        world.submit("billing", life_s=0.1)
        world.run_for(6 * S)  # past the queues' limit, so that a missing answer would be a breach
        for job in jobs:
            world.row(job)
        rules = build_audit_rules(world.settings)
    finally:
        world.close()
    assert world.tap is not None
    return list(tap.read(world.tap.path)), rules


def judge(records: Iterable[Record], rules: AuditRules) -> Verdict:
    return audit(sorted(records, key=lambda record: record.at_ns), rules)


def find_broken_rules(verdict: Verdict) -> set[str]:
    return {rule for rule in RULES if verdict.breaches[rule]}


def test_the_unaltered_recording_keeps_all_rules(recording: Recording) -> None:
    verdict = judge(*recording)
    assert verdict.is_good() and not verdict.parse_errors, verdict.lines()
    assert verdict.accepted == 10 and verdict.answers == {"placed": 10}
    assert all(verdict.checked[rule] for rule in RULES[:3]) and verdict.checked[RULES[4]]


def find_requests(records: list[Record], kind: int) -> list[tuple[Record, Request]]:
    """Return the requests of one type to nodes with their records; each record holds one request."""
    found = []
    for record in records:
        if record.channel.startswith("node:") and record.direction == ">":
            parser = RequestParser()
            parser.feed(record.data)
            while (request := parser.next()) is not None:
                if request.type == kind:
                    found.append((record, request))
    return found


def find_second_offer(records: list[Record], queue: str) -> tuple[Record, Request]:
    """Return the second offer of a queue: the first job of one is deleted, the last of another ends."""
    return [pair for pair in find_requests(records, n.QUEUE_JOB) if pair[1].get("queue") == queue][1]


def repeat_offer(records: list[Record], request: Request, node: str, at: int) -> list[Record]:
    """Add the same offer once more, to another node, which accepts it."""
    user, job = request.user, request.job
    messages = [
        (">", encode_request(request)), ("<", encode_reply_ok(n.R_QUEUE, job)),
        (">", encode_request(Request(n.COMMIT, user, job))), ("<", encode_reply_ok(n.R_COMMIT, job)),
    ]  # fmt: skip
    added = [
        Record(at + step * MS, 900_000, f"node:{node}", direction, data)
        for step, (direction, data) in enumerate(messages)
    ]
    return [*records, *added]


def encode_reply_ok(choice: int, job: str) -> bytes:
    from ladderhub.pbs.batch import Reply

    return encode_reply(Reply(0, choice, job=job))


def test_rule_1_a_job_whose_answer_is_removed_from_the_recording(recording: Recording) -> None:
    records, rules = recording
    sent, request = find_second_offer(records, "billing")
    job = request.job
    kept = [r for r in records if r.connection != sent.connection]
    altered = [
        replace(r, data=remove_placement(r.data, job))
        if r.channel.startswith("sched:") and r.direction == "<" else r
        for r in kept
    ]  # fmt: skip
    verdict = judge(altered, rules)
    assert find_broken_rules(verdict) == {RULES[0]} and job in verdict.breaches[RULES[0]][0]


def remove_placement(data: bytes, job: str) -> bytes:
    """Return the replies without the placement of one job."""
    parser, out = ReplyParser(), b""
    parser.feed(data)
    while (reply := parser.next()) is not None:
        for row in reply.rows:
            if row.name == job:
                row.attrs = [attr for attr in row.attrs if not attr.name.startswith("placement")]
        out += encode_reply(reply)
    return out


def test_rule_1_an_offer_after_the_job_was_refused(recording: Recording) -> None:
    records, rules = recording
    altered = []
    job = find_second_offer(records, "batch")[1].job
    for record in records:
        data = record.data
        if record.channel.startswith("sched:") and record.direction == "<" and job.encode() in data:
            parser, data = ReplyParser(), b""
            parser.feed(record.data)
            while (reply := parser.next()) is not None:
                for row in reply.rows:
                    if row.name == job:
                        row.attrs = [
                            Attr("placement", "refused") if attr.name == "placement" else attr
                            for attr in row.attrs
                        ]
                data += encode_reply(reply)
        altered.append(replace(record, data=data))
    request = find_second_offer(records, "batch")[1]
    late = repeat_offer(altered, request, "node-1", records[-1].at_ns + S)
    assert RULES[0] in find_broken_rules(judge(late, rules))


@pytest.mark.parametrize("queue", ["billing", "web", "batch"])
def test_rule_2_a_second_copy_while_the_first_runs(recording: Recording, queue: str) -> None:
    records, rules = recording
    sent, request = find_second_offer(records, queue)
    other = next(f"node-{at}" for at in (1, 2, 3) if sent.channel != f"node:node-{at}")
    request.attrs = [Attr("run_version", "2") if a.name == "run_version" else a for a in request.attrs]
    verdict = judge(repeat_offer(records, request, other, sent.at_ns + 200 * MS), rules)
    assert RULES[1] in find_broken_rules(verdict)


def test_rule_3_an_offer_long_after_the_scheduler_learned_of_the_drain(recording: Recording) -> None:
    records, rules = recording
    sent, _ = find_requests(records, n.QUEUE_JOB)[-1]
    node = sent.channel.partition(":")[2]
    altered: list[Record] = []
    for record in records:
        if record.channel.startswith("list:") and record.direction == "<":
            data = b""
            for message in MessageDecoder().feed(record.data):
                assert isinstance(message, Listed)
                entries = [
                    type(entry)(
                        **{f: getattr(entry, f) for f in entry.__struct_fields__} | {"stage": "draining"}
                    )
                    if entry.name == node
                    else entry
                    for entry in message.entries
                ]
                data += encode(Listed(message.kind, message.version, entries))
            record = replace(record, data=data)
        altered.append(record)
    # The first list already says that the node drains; the offer is sent when it was recorded.
    first = next(r for r in altered if r.channel.startswith("list:") and r.direction == "<")
    assert sent.at_ns - first.at_ns > rules.drain_grace_ns
    assert find_broken_rules(judge(altered, rules)) == {RULES[2]}


def test_rule_4_more_offers_than_a_cold_node_can_take(recording: Recording) -> None:
    records, rules = recording
    _, request = find_second_offer(records, "batch")
    first = next(r for r in records if r.channel.startswith("list:") and r.direction == "<")
    parsed = MessageDecoder().feed(first.data)
    assert isinstance(parsed[0], Listed)
    entry = parsed[0].entries[0]
    ready = records[-1].at_ns
    fresh = type(entry)(**{f: getattr(entry, f) for f in entry.__struct_fields__} | {"ready_ns": ready})
    list_record = replace(first, at_ns=ready + MS, data=encode(Listed("changes", 99, [fresh])))
    many = [
        Record(
            ready + 10 * MS + at * MS, 800_000 + at, f"node:{entry.name}", ">",
            encode_request(Request(n.QUEUE_JOB, request.user, f"{5000 + at}.alpha", request.attrs)),
        )
        for at in range(rules.cold_safe + 1)
    ]  # fmt: skip
    assert find_broken_rules(judge([*records, list_record, *many[:-1]], rules)) == set()
    assert find_broken_rules(judge([*records, list_record, *many], rules)) == {RULES[3]}


def test_rule_5_more_of_a_service_in_one_rack_than_its_queue_allows(recording: Recording) -> None:
    records, rules = recording
    sent, request = find_second_offer(records, "web")
    most = rules.queues["web"].spread_most
    extra = [
        Record(
            sent.at_ns + at * MS, 700_000 + at, sent.channel, ">",
            encode_request(Request(n.QUEUE_JOB, request.user, f"{6000 + at}.alpha", request.attrs)),
        )
        for at in range(most)
    ]  # fmt: skip
    assert find_broken_rules(judge([*records, *extra], rules)) == {RULES[4]}


def test_a_truncated_recording_is_reported(recording: Recording, tmp_path: Path) -> None:
    path = tmp_path / "cut.tap"
    path.write_bytes(b"\0" * 5)
    with pytest.raises(ValueError, match="ends inside a record"):
        list(tap.read(path))
