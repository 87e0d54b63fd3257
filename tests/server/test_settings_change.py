"""Change of the policy of a running daemon, over sockets: jobs, services and their terms are kept."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
import structlog
from structlog.testing import LogCapture

from ladderhub.dispatcher import EventDispatcher
from ladderhub.interface import Effect
from ladderhub.lab import tap
from ladderhub.lab.auditor import audit
from ladderhub.lab.client import Submission, build_job_attributes
from ladderhub.lab.day import build_audit_rules
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request, Row
from ladderhub.server.settings import encode_policy
from tests.test_services import declare
from tests.world import S, World

Edit = Callable[[dict[str, Any]], object]
Make = Callable[..., World]
ALL_CORES = 64.0  # that a node admits


@pytest.fixture
def make(tmp_path: Path) -> Iterator[Make]:
    worlds: list[World] = []

    def build(*args: Any, **options: Any) -> World:
        worlds.append(World(tmp_path, *args, **options))
        worlds[-1].daemon()
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()
        assert not world.troubles


def change_policy(world: World, edit: Edit, number: int = 2) -> None:
    context = world.daemons["alpha"].context
    value = json.loads(encode_policy(context.settings.file))
    edit(value)
    loaded = context.settings.with_policy(json.dumps(value).encode(), f"revision {number}")
    context.change_settings(loaded, number, bytes([number]))
    assert context.revision.number == number and context.settings is loaded


def get_refusal(world: World, queue: str, account: str = "north", cpus: float = 1.0) -> str:
    """Submit a job that is refused; return the reason."""
    results: list[tuple[str, str]] = []
    attrs = build_job_attributes("work", queue, cpus, 1.0, 30, account)
    Submission(world.loop, world.public, queue, attrs, b"true\n", lambda job, why: results.append((job, why)))
    world.until(lambda: results)
    assert not results[0][0]
    return results[0][1]


def get_queue_rows(world: World) -> dict[str, Row]:
    request = Request(n.STATUS_QUEUE)
    return {row.name: row for row in world.ask(lambda client, on_reply: client.send(request, on_reply)).rows}


def test_a_queue_that_is_removed_refuses_new_jobs_and_finishes_what_it_has(make: Make) -> None:
    world = make(1, limit="60s")
    running = world.submit("billing", cpus=ALL_CORES)
    world.wait(running, "R")
    waiting = world.submit("billing", cpus=ALL_CORES)
    change_policy(world, lambda value: value["queues"].pop("billing"))
    text = get_refusal(world, "billing")
    assert "takes no new jobs" in text and "revision 2" in text and "web" in text
    assert [world.row(job).get("queue") for job in (running, waiting)] == ["billing", "billing"]
    assert world.row(running).get("job_state") == "R"
    assert get_queue_rows(world)["billing"].get("enabled") == "False"
    world.delete(running)
    assert world.wait(waiting, "R").get("policy_revision") == "2"
    world.delete(waiting)
    assert "billing" not in get_queue_rows(world)
    change_policy(world, lambda value: value["queues"].update(billing=world.settings["queues"]["billing"]), 3)
    assert world.submit("billing")


def test_a_queue_and_a_team_that_are_added_are_usable_at_once(make: Make) -> None:
    world = make(1)

    def edit(value: dict[str, Any]) -> None:
        value["queues"]["express"] = value["queues"]["web"] | {"priority": 9}
        value["tenants"]["west"] = {"share": 0.2}

    assert "Unknown queue express" in get_refusal(world, "express")
    before = world.submit("web")
    assert world.wait(before, "R").get("policy_revision") == "1"
    change_policy(world, edit)
    job = world.submit("express", account="west")
    row = world.wait(job, "R")
    assert (row.get("queue"), row.get("policy_revision")) == ("express", "2")
    assert world.row(before).get("policy_revision") == "1"


def test_a_job_that_waits_keeps_its_limit_and_a_new_one_has_the_new(make: Make) -> None:
    world = make(1, limit="3s")
    running = world.submit("web", cpus=ALL_CORES, life_s=60)
    world.wait(running, "R")
    old = world.submit("web", cpus=ALL_CORES)
    change_policy(world, lambda value: value["queues"]["web"].update(limit="10m"))
    new = world.submit("web", cpus=ALL_CORES)
    world.wait_answer(old, "refused")
    assert world.row(new).get("job_state") == "Q"
    world.delete(running)
    world.wait(new, "R")


def test_log_rows_of_decisions_name_the_revision_they_were_made_by(make: Make) -> None:
    world = make(1)
    capture = LogCapture()
    world.daemons["alpha"].context.log = structlog.wrap_logger(structlog.ReturnLogger(), processors=[capture])
    world.wait(world.submit("web", cpus=ALL_CORES, life_s=60), "R")
    # More than the node itself admits.
    change_policy(world, lambda value: value["nodes"].update(admit_cores=4.0))
    world.wait_answer(world.submit("web", cpus=ALL_CORES), "refused")
    seen: dict[str, set[int]] = {}
    for row in capture.entries:
        seen.setdefault(row["event"], set()).add(row.get("revision", 0))
    assert seen["taken"] == seen["offer"] == seen["answer"] == {1, 2}
    assert seen["turned away"] == seen["policy"] == {2}


def test_quotas_change_and_a_team_that_is_removed_finishes_what_it_has(make: Make) -> None:
    world = make(1, limit="60s")
    running = world.submit("web", cpus=ALL_CORES, account="south")
    world.wait(running, "R")
    waiting = world.submit("web", cpus=ALL_CORES, account="south")

    def edit(value: dict[str, Any]) -> None:
        del value["tenants"]["south"]
        value["tenants"]["north"] = {"share": 0.9, "quota_per_s": 3.0, "quota_cores": 40.0}

    change_policy(world, edit)
    tenants = world.daemons["alpha"].module.settings.tenants
    assert (tenants[0].share, tenants[0].quota_per_s, tenants[0].quota_cores) == (0.9, 3.0, 40.0)
    assert "account south takes no new jobs" in get_refusal(world, "web", account="south")
    assert "unknown account east" in get_refusal(world, "web", account="east")
    world.delete(running)
    world.wait(waiting, "R")


def test_a_job_taken_as_unsafe_stays_so_when_its_queue_becomes_safe(make: Make) -> None:
    world = make(2)
    first = world.submit("billing")
    node = world.wait(first, "R").get("exec_host").partition("/")[0]
    change_policy(world, lambda value: value["queues"]["billing"].update(effect="safe"))
    second = world.submit("billing", service="billing-1")
    assert world.wait(second, "R").get("exec_host").startswith(node)  # the service is warm there
    world.crash(node)
    # The second job was accepted as safe and is placed again.  Whether the first one still runs is unknown.
    world.until(lambda: world.row(second).get("exec_host").partition("/")[0] not in ("", node), 40)
    context = world.daemons["alpha"].context
    state, why = context.owner.get_state(context.jobs.by_id[first].number)
    assert (state, world.row(first).get("run_count")) == ("running", "1") and "is not known" in why


def test_jobs_that_are_held_back_wait_with_the_reason_until_it_is_over(make: Make) -> None:
    world = make(1, limit="60s")
    context = world.daemons["alpha"].context
    context.hold("catches up with the fleet's configuration")
    job, cancelled = world.submit("web"), world.submit("web")
    row = world.row(job)
    assert (row.get("job_state"), row.get("run_count")) == ("Q", "0")
    assert row.get("comment") == "catches up with the fleet's configuration"
    assert "before it ran" in world.delete(cancelled).text
    change_policy(world, lambda value: value["nodes"].update(most_attempts=4))
    context.resume()
    assert world.wait(job, "R").get("comment") != "catches up with the fleet's configuration"


def test_nodes_of_a_kind_that_is_removed_get_nothing_more_and_come_back_with_it(make: Make) -> None:
    world = make(1, limit="60s")
    running = world.submit("web")
    world.wait(running, "R")

    def edit(value: dict[str, Any]) -> None:
        del value["kinds"]["large"], value["queues"]["billing"]

    change_policy(world, edit)
    assert "no kind of node here holds 64 cores" in get_refusal(world, "web", cpus=ALL_CORES)
    waiting = world.submit("web")
    world.run_for(S // 2)
    assert (world.row(waiting).get("run_count"), world.row(running).get("job_state")) == ("0", "R")
    change_policy(world, lambda value: value["kinds"].update(large=world.settings["kinds"]["large"]), 3)
    world.wait(waiting, "R")


def test_a_service_keeps_the_class_it_was_declared_with(make: Make) -> None:
    world = make(2, limit="60s")
    assert not declare(world, "ledger", "billing", 2, "one").code
    services = world.daemons["alpha"].services
    world.until(lambda: len(services.rollouts.services["ledger"].healthy) == 2)
    change_policy(world, lambda value: value["queues"]["billing"].update(effect="safe"))
    assert not declare(world, "ledger", "billing", 2, "two").code
    world.until(lambda: services.rollouts.services["ledger"].stage.value == "over", 40)
    assert services.rollouts.services["ledger"].rules.effect is Effect.UNSAFE
    change_policy(world, lambda value: value["queues"].pop("billing"), 3)
    assert "billing" in declare(world, "ledger", "billing", 2, "three").text
    assert len(services.rollouts.services["ledger"].healthy) == 2


@pytest.mark.parametrize("removed", [True, False])
def test_a_restart_adopts_what_runs_in_a_queue_that_its_file_lacks(make: Make, removed: bool) -> None:
    world = make(2, limit="60s")
    change_policy(world, lambda value: value["queues"].update(late=value["queues"]["web"]))
    job = world.submit("late", service="alone")
    assert not declare(world, "shop", "late", 2, "one").code
    world.wait(job, "R")
    world.until(lambda: len(world.daemons["alpha"].services.rollouts.services["shop"].healthy) == 2)
    change_policy(world, lambda value: value["queues"]["late"].update(effect="unsafe"), 3)
    if removed:
        change_policy(world, lambda value: value["queues"].pop("late"), 4)
    world.daemons.pop("alpha").close()
    daemon = world.daemon()
    world.until(lambda: len(daemon.services.rollouts.services["shop"].healthy) == 2)
    assert daemon.services.rollouts.services["shop"].rules.effect is Effect.SAFE  # as it was declared
    world.until(lambda: job in daemon.jobs.by_id)
    row = world.row(job)
    assert (row.get("job_state"), row.get("queue"), row.get("policy_revision")) == ("R", "late", "1")
    assert "takes no new jobs" in get_refusal(world, "late")  # until the current policy arrives
    change_policy(world, lambda value: value["queues"].update(late=value["queues"]["web"]), 5)
    assert world.submit("late") and world.row(job).get("job_state") == "R"


@pytest.mark.parametrize("seed", [1, 2])
def test_a_day_of_changes_keeps_the_five_rules(make: Make, seed: int) -> None:
    world = make(4, limit="20s", record=True)
    rng = random.Random(seed)
    jobs: list[str] = []

    def edit(value: dict[str, Any]) -> None:
        for queue in value["queues"].values():
            queue["priority"] = rng.randrange(3)
            queue["stay_first"] = rng.choice(("100ms", "300ms"))
            queue["asks"] = rng.choice((8, 40))
        value["nodes"]["cold"] |= {
            "safe_offers": rng.choice((8, 24)),
            "window": rng.choice(("2s", "3s")),
        }
        value["nodes"]["most_attempts"] = rng.choice((2, 3))
        value["tenants"] = {
            "north": {"share": rng.random()},
            f"team-{rng.randrange(9)}": {"share": 0.1},
        }
        value["queues"].pop("batch", None)
        if rng.random() < 0.5:
            value["queues"]["batch"] = world.settings["queues"]["batch"]

    for number in range(2, 14):
        for _ in range(3):
            jobs.append(world.submit(rng.choice(("web", "mail", "billing")), life_s=rng.uniform(0.2, 2)))
        change_policy(world, edit, number)
        if number == 6:
            world.crash("node-1")
    world.until(lambda: not world.daemons["alpha"].owner.count_unanswered(), 40)
    world.run_for(S)
    answers = [world.row(job).get("placement") for job in jobs]
    assert answers.count("placed") > len(jobs) // 2
    assert world.tap is not None
    world.tap.close()
    verdict = audit(tap.read(world.tap.path), build_audit_rules(world.settings))
    assert verdict.is_good(), verdict.lines()


def test_events_of_one_batch_are_handled_before_events_that_they_cause() -> None:
    executed: list[str] = []

    class EchoModule:
        def handle(self, now_ns: int, event: str) -> list[str]:
            return [event]

        def execute(self, now_ns: int, action: str) -> None:
            executed.append(action)
            if action == "change":
                with dispatcher.batch():
                    tell_first("module")
                    tell_second("owner")
            elif action == "module":
                tell_first("what the module caused")

        def on_handled(self, event: str) -> None:
            return

    dispatcher = EventDispatcher(lambda: 0, lambda event, fault: None)
    tell_first, tell_second = (
        dispatcher.register(EchoModule(), EchoModule()), dispatcher.register(EchoModule(), EchoModule()),
    )  # fmt: skip
    tell_first("change")
    with dispatcher.batch():
        tell_second("a")
        tell_first("b")
        assert executed[-1] != "b"
    assert executed == ["change", "module", "owner", "what the module caused", "a", "b"]
