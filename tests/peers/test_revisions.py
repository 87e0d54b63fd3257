"""Revisions in the daemon, on one loop: operators' requests, stored records, and held decisions."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ladderhub import interface as api
from ladderhub.lab.client import BatchClient
from ladderhub.lab.fleet import SETTINGS
from ladderhub.lab.ports import free_port
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row
from ladderhub.peers.revisions import RevisionExecutor
from ladderhub.revision import Answer, Notice, Notify, Record, Resume, Revision, Send, Store
from ladderhub.revision.messages import AskHead, Header
from ladderhub.revision.types import Outcome, Unchanged
from ladderhub.server.daemon import Daemon
from ladderhub.server.revisions import RevisionFileError, RevisionService
from ladderhub.server.settings import check, encode_policy
from tests.world import World


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path, nodes=1)
    yield made
    made.close()


def start(world: World, names: list[str]) -> dict[str, RevisionService]:
    """Start schedulers with these names, all voters, and wait until the first revision is active on each."""
    addresses = [f"127.0.0.1:{free_port()}" for _ in names]
    for name, address in zip(names, addresses, strict=True):
        world.settings["peers"] = {
            "listen": address, "seeds": addresses, "period": "300ms", "lease": "1200ms", "cluster": "test",
            "electors": addresses,
        }  # fmt: skip
        world.settings["schedulers"] = len(names)
        world.daemon(name, wait=False)
    services = {name: service_of(world.daemons[name]) for name in names}
    world.until(
        lambda: all(number(each) == 1 and not each._context.hold_reason for each in services.values()), 30
    )
    return services


def service_of(daemon: Daemon) -> RevisionService:
    return next(each for each in daemon.components if isinstance(each, RevisionService))


def number(service: RevisionService) -> int:
    return service._context.revision.number


def policy(world: World, aim: str) -> bytes:
    """Return the policy of the settings file with another `aim`."""
    value = copy.deepcopy(world.settings)
    value["queues"]["web"]["aim"] = aim
    own = {"server": "x", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": "x"}
    return encode_policy(check(value | own, "test").file)


def manage(world: World, command: int, name: str = "", **attrs: str) -> Reply:
    listed = [Attr(key, value) for key, value in attrs.items()]
    request = Request(n.MANAGER, "ann", name=name, attrs=listed, command=command, object_type=n.OBJ_POLICY)
    return world.ask(lambda client, on_reply: client.send(request, on_reply))


def apply(world: World, body: bytes, **attrs: str) -> Row:
    return manage(world, n.CMD_CREATE, body=body.decode(), **attrs).rows[0]


def test_a_change_comes_into_force_on_all_and_operators_are_told_each_outcome(world: World) -> None:
    services = start(world, ["alpha", "beta", "gamma"])
    body = policy(world, "700ms")
    row = apply(world, body, reason="shorter", parent="1")
    assert (row.get("outcome"), row.get("number"), row.get("author")) == ("applied", "2", "ann")
    assert row.get("confirmed") == "alpha, beta, gamma" and row.get("silent") == ""
    world.until(lambda: all(number(each) == 2 for each in services.values()))
    for daemon in world.daemons.values():
        assert daemon.module.settings.classes[0].aim_ns in (700_000_000, 800_000_000)
        queues = daemon.context.settings.queues
        assert daemon.module.settings.classes[queues.index("web")].aim_ns == 700_000_000
    assert apply(world, body).get("outcome") == "unchanged"
    assert apply(world, policy(world, "600ms"), parent="1").get("outcome") == "stale parent"
    wrong = msgspec.json.decode(body)
    wrong["queues"]["web"]["kind"] = "none of them"
    refused = apply(world, msgspec.json.encode(wrong))
    assert refused.get("outcome") == "refused" and "queues.web.kind" in refused.get("fault")
    assert apply(world, body, reason="r" * 300).get("outcome") == "invalid"
    assert all(number(each) == 2 for each in services.values())


def test_status_and_show_tell_what_is_in_force_and_what_others_know(world: World) -> None:
    services = start(world, ["alpha", "beta", "gamma"])
    world.until(lambda: set(services["gamma"].get_heads()) == {"alpha", "beta"})
    asked, *others = manage(world, n.CMD_LIST).rows
    assert (asked.name, asked.get("number"), asked.get("revision_state")) == ("gamma", "1", "in force")
    assert asked.get("settings_file") == "in force" and float(asked.get("revision_age")) < 30
    assert {row.name for row in others} == {"alpha", "beta"}
    assert all(row.get("head") in ("0", "1") for row in others)
    shown = manage(world, n.CMD_LIST, "current").rows[0]
    assert shown.get("body").encode() == encode_policy(world.daemons["alpha"].context.settings.file)
    unknown = manage(world, n.CMD_LIST, "7")
    assert unknown.code == n.BAD_ATTRIBUTE_VALUE and "one of 1 to 1 is meant" in unknown.text
    assert manage(world, n.CMD_DELETE, "1").code == n.BAD_ATTRIBUTE_VALUE
    server = world.ask(lambda client, on_reply: client.send(Request(n.STATUS_SERVER), on_reply)).rows[0]
    assert server.get("revision").startswith("1 ") and server.get("revision_state") == "in force"
    page = world.daemons["gamma"].metrics.render_page()[2].decode()
    assert "ladderhub_revision_active 1.0" in page and "ladderhub_revision_age_seconds" in page


def test_without_a_majority_nothing_changes_and_the_operator_is_told_so(world: World) -> None:
    services = start(world, ["alpha", "beta", "gamma"])
    for name in ("alpha", "beta"):
        world.daemons.pop(name).close()
    row = apply(world, policy(world, "700ms"))
    assert (row.get("outcome"), row.get("voters")) == ("no majority", "3")
    assert number(services["gamma"]) == 1


def test_the_active_revision_survives_a_restart_and_a_different_file_is_only_reported(world: World) -> None:
    start(world, ["alpha"])
    assert apply(world, policy(world, "700ms")).get("outcome") == "applied"
    world.daemons.pop("alpha").close()
    world.settings["queues"]["web"]["aim"] = "900ms"
    service = service_of(world.daemon("alpha", wait=False))
    world.until(lambda: number(service) == 2)
    queues = service._context.settings.file.queues
    assert queues["web"].aim == "700ms"
    assert manage(world, n.CMD_LIST).rows[0].get("settings_file") == "differs"


def test_a_corrupt_record_stops_the_start_with_its_path(world: World) -> None:
    start(world, ["alpha"])
    world.daemons.pop("alpha").close()
    path = world.folder / "alpha" / "revisions"
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(RevisionFileError, match="alpha/revisions: its checksum does not match"):
        world.daemon("alpha", wait=False)


def test_while_a_scheduler_catches_up_its_decisions_are_held(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against sending tasks again after a pause by settings that were replaced during it.
    start(world, ["alpha"])
    daemon = world.daemons["alpha"]
    world.until(lambda: len(daemon.nodes.entries) == 1)
    daemon.context.hold("held by this test")
    handled: list[api.Event] = []
    handle = daemon.module.handle

    def record_and_handle(now_ns: int, event: api.Event) -> list[api.Action]:
        handled.append(event)
        return handle(now_ns, event)

    monkeypatch.setattr(daemon.module, "handle", record_and_handle)
    job = world.submit("web")
    daemon.context.tell_module(api.TimerFired(0))
    world.run_for(200_000_000)
    assert not handled and "held by this test" in world.row(job).get("comment")
    daemon.context.resume()
    assert isinstance(handled[0], api.TimerFired)
    world.until(lambda: world.row(job).get("placement") == "placed")


def test_a_pause_of_the_process_is_handled_before_events_of_its_jobs(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    (service,) = start(world, ["alpha"]).values()
    hold_reasons: list[str] = []
    monkeypatch.setattr(service, "hold", hold_reasons.append)
    monkeypatch.setattr(service.revisions, "_last_event_ns", world.loop.now_ns() - 9_000_000_000)
    service._context.tell_owner(own.TimerFired(1))
    assert hold_reasons and "stood still" in hold_reasons[0]


def test_without_voters_operators_are_told_that_the_file_is_the_policy(world: World) -> None:
    world.daemon("alpha")
    reply = manage(world, n.CMD_LIST)
    assert reply.code == n.INVALID_REQUEST and "its file is its policy" in reply.text


class Host:
    """Records the calls in order; storing fails while `full` is set."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.full = False

    def store(self, record: Record) -> None:
        if self.full:
            raise OSError("no space left")
        self.done.append("store")

    def check_body(self, body: bytes) -> str | None:
        return None

    def activate(self, revision: Revision) -> None:
        self.done.append("activate")

    def answer(self, request: int, outcome: Outcome) -> None:
        self.done.append(f"answer {request}")

    def hold(self, reason: str) -> None:
        self.done.append("hold")

    def resume(self) -> None:
        self.done.append("resume")

    def notify(self, notice: Notice, text: str) -> None:
        self.done.append("notify")


def test_actions_after_a_record_that_could_not_be_stored_wait_and_messages_are_lost(world: World) -> None:
    (service,) = start(world, ["alpha"]).values()
    peers, host = service._peers.transport, Host()
    sent: list[Any] = []
    peers.send = lambda address, message: sent.append(message)  # type: ignore[method-assign]
    executor = RevisionExecutor(peers, service.revisions, host)
    header = Header(1, bytes(16), "ann", 0, "", bytes(16))
    host.full = True
    for action in (
        Store(Record()), Send("127.0.0.1:9", AskHead(1, "127.0.0.1:9")),
        Answer(1, Unchanged(header, b"")), Resume(),
        Store(Record()), Notify(Notice.VOTING, ""),
    ):  # fmt: skip
        executor.execute(0, action)
    assert not host.done and not sent
    host.full = False
    world.until(lambda: host.done == ["store", "answer 1", "resume", "notify"])
    executor.execute(0, Send("127.0.0.1:9", AskHead(2, "127.0.0.1:9")))
    assert [message.nonce for message in sent] == [2]
    executor.close()


def test_a_client_that_disconnects_does_not_block_the_answer(world: World) -> None:
    service = start(world, ["alpha", "beta", "gamma"])["gamma"]
    client = BatchClient(world.loop, world.public, "tester")
    body = Attr("body", policy(world, "700ms").decode())
    request = Request(n.MANAGER, "ann", attrs=[body], command=n.CMD_CREATE, object_type=n.OBJ_POLICY)
    client.send(request, lambda reply: None)
    world.until(lambda: service._pending_requests)
    client.close()
    world.until(lambda: number(service) == 2 and not service._pending_requests)
    assert not world.troubles and SETTINGS["queues"]["web"]["aim"] == "800ms"
