"""Services and updates over real sockets; the auditor of updates must also report faulty recordings."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import pytest

from ladderhub.lab import tap
from ladderhub.lab.auditor import audit
from ladderhub.lab.day import build_audit_rules
from ladderhub.lab.rollout_audit import CHECKS, ServiceLimits, audit_updates
from ladderhub.lab.tap import Record
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, RequestParser, Row

from .world import MS, World

LIMITS = {"down": "1", "surplus": "0", "healthy": "200ms", "failures_number": "3", "failures_window": "60s"}


def manage(world: World, command: int, name: str, attrs: list[Attr] | None = None) -> Reply:
    request = Request(n.MANAGER, name=name, attrs=attrs, command=command, object_type=n.OBJ_SERVICE)
    return world.ask(lambda client, reply: client.send(request, reply))


def declare(world: World, name: str, queue: str, count: int, script: str, **changes: str) -> Reply:
    attrs = [Attr("queue", queue), Attr("count", str(count)), Attr("script", script)]
    attrs += [Attr("Variable_List", "EMULATE_LIFE=600"), Attr("Resource_List", "1", "ncpus")]
    attrs += [Attr("update", value, key) for key, value in (LIMITS | changes).items()]
    return manage(world, n.CMD_CREATE, name, attrs)


def row(world: World, name: str) -> Row:
    reply = manage(world, n.CMD_LIST, name)
    assert reply.code == 0, reply.text
    return reply.rows[0]


def until_over(world: World, name: str) -> Row:
    world.until(lambda: row(world, name).get("stage") == "over", 40)
    return row(world, name)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path, 4, record=True, limit="8s", change=lambda s: s["queues"]["web"].pop("spread"))
    made.daemon()
    yield made
    made.close()


def read_audited_records(world: World) -> list[Record]:
    assert world.tap is not None
    world.tap.close()
    records = list(tap.read(world.tap.path))
    verdict = audit(records, build_audit_rules(world.settings))
    assert verdict.is_good(), verdict.lines()
    return records


def test_an_update_within_its_limits_and_doctored_ones_that_are_not(world: World) -> None:
    assert declare(world, "orders", "web", 6, "one", surplus="1").code == 0
    assert declare(world, "invoicing", "billing", 4, "one").code == 0
    for name in ("orders", "invoicing"):
        assert until_over(world, name).get("version") == "1"
    assert declare(world, "orders", "web", 6, "two", surplus="1").code == 0
    assert "an update is under way" in declare(world, "orders", "web", 6, "three", surplus="1").text
    assert declare(world, "invoicing", "billing", 4, "two").code == 0
    for name, count in (("orders", "6"), ("invoicing", "4")):
        shown = until_over(world, name)
        assert (shown.get("version"), shown.get("new"), shown.get("down")) == ("2", count, "0")
    records = read_audited_records(world)
    services = {
        "orders": ServiceLimits(6, 1, 1, 200 * MS),
        "invoicing": ServiceLimits(4, 1, 0, 200 * MS, unsafe=True),
    }
    verdict = audit_updates(records, services)
    assert verdict.is_good(), verdict.lines()
    assert all(verdict.checked[check] for check in CHECKS) and verdict.max_alive == {
        "orders": 7,
        "invoicing": 4,
    }
    # The auditor must report recordings that were changed: in one the first stops all come at the same time,
    # in the other the nodes' reports of ends are missing.
    stops = [
        (at, record, request) for at, record in enumerate(records)
        if record.channel.startswith("node:") and record.direction == ">"
        for request in requests_in(record.data) if request.type == n.DELETE_JOB
    ]  # fmt: skip
    early = list(records)
    for at, record, _ in stops[:4]:
        early[at] = replace(record, at_ns=stops[0][1].at_ns + at)
    early.sort(key=lambda record: record.at_ns)
    assert audit_updates(early, services).breaches["copies down"]
    no_ends = [
        record
        for record in records
        if not any(r.type == n.JOB_OBIT for r in requests_in(record.data, record))
    ]
    no_ends = [
        record for record in no_ends
        if not (record.channel.startswith("node:") and record.direction == "<"
                and record.connection in {stop[1].connection for stop in stops})
    ]  # fmt: skip
    faulty = audit_updates(no_ends, services)
    assert faulty.breaches["surplus"] and faulty.breaches["no copy twice"]


def requests_in(data: bytes, record: Record | None = None) -> list[Request]:
    if record is not None and not (record.channel.startswith("sched:") and record.direction == ">"):
        return []
    parser = RequestParser()
    parser.feed(data)
    found = []
    while (request := parser.next()) is not None:
        found.append(request)
    return found


def test_a_killed_schedulers_update_continues_after_its_restart(world: World) -> None:
    for version in ("one", "two"):
        assert declare(world, "invoicing", "billing", 8, version).code == 0
        if version == "one":
            until_over(world, "invoicing")
    world.until(lambda: int(row(world, "invoicing").get("new")) >= 3)
    world.daemons["alpha"].close()  # without a shutdown; copies that were not placed yet are lost
    old = world.daemons["alpha"]
    old.context.stopping = True
    world.run_for(300 * MS)
    daemon = world.daemon("alpha")
    world.until(lambda: daemon.services.all_nodes_reported)
    shown = until_over(world, "invoicing")
    assert (shown.get("version"), shown.get("new"), shown.get("alive")) == ("2", "8", "8")
    records = read_audited_records(world)
    services = {"invoicing": ServiceLimits(8, 1, 0, 200 * MS, unsafe=True)}
    verdict = audit_updates(records, services)
    assert verdict.is_good(), verdict.lines()


def test_wrong_requests_on_services_touch_nothing(world: World) -> None:
    assert declare(world, "orders", "web", 3, "one").code == 0
    until_over(world, "orders")
    cases = [
        (declare(world, "orders", "nowhere", 3, "two"), "queue: found 'nowhere'; one of"),
        (declare(world, "orders", "batch", 3, "two"), "queue: found 'batch'; web is meant"),
        (declare(world, "orders", "web", 2, "two"), "count: found 2; at least 3 is meant"),
        (declare(world, "orders", "web", 3, ""), "script: found nothing"),
        (declare(world, "orders", "web", 3, "two", down="0"), "update.down: found 0"),
        (declare(world, "orders", "web", 3, "two", down="many"), "update.down: found 'many'; a whole number"),
        (declare(world, "orders", "web", 3, "two", healthy="5"), "update.healthy: found '5'; a time with"),
        (declare(world, "orders", "web", 3, "two", colour="red"), "update.colour: unknown; down, surplus"),
        (declare(world, "invoicing", "billing", 3, "x", surplus="1"), "update.surplus: found 1; 0 is meant"),
        (declare(world, "a b", "web", 3, "x"), "service: found 'a b'"),
        (manage(world, n.CMD_LIST, "other"), "service: found 'other'; one that is declared is meant: orders"),
        (manage(world, n.CMD_SET, "orders", [Attr("action", "stop")]), "action: found 'stop'; one of pause"),
        (manage(world, n.CMD_SET, "orders", [Attr("action", "pause")]), "orders: no update is going"),
        (manage(world, n.CMD_DELETE, "other"), "service: found 'other'"),
    ]  # fmt: skip
    for reply, message in cases:
        assert reply.code == n.BAD_ATTRIBUTE_VALUE and message in reply.text, (
            message,
            reply.code,
            reply.text,
        )
    assert row(world, "orders").get("new") == "3" and row(world, "orders").get("version") == "1"
    planned = declare(world, "orders", "web", 3, "two", down="2")
    assert planned.code == 0
    until_over(world, "orders")
    assert manage(world, n.CMD_DELETE, "orders").code == 0
    world.until(lambda: not any(agent.jobs for agent in world.agents.values()))
    assert manage(world, n.CMD_LIST, "").rows == [] and not world.troubles
