"""`ladderhub policy` as a separate process against schedulers: its output and exit statuses."""

from __future__ import annotations

import copy
import json
import os
import subprocess
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.ports import free_port
from ladderhub.lab.process import build_module_command
from tests.world import World

POLICY = ("queues", "kinds", "nodes", "tenants", "default_queue", "keep_finished")


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Three voters with the first revision in effect."""
    made = World(tmp_path, nodes=1)
    addresses = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    for name, address in zip(("alpha", "beta", "gamma"), addresses, strict=True):
        made.settings |= {"schedulers": 3, "peers": {
            "listen": address, "seeds": addresses, "period": "300ms", "lease": "1200ms",
            "electors": addresses,
        }}  # fmt: skip
        made.daemon(name, wait=False)
    contexts = [daemon.context for daemon in made.daemons.values()]
    made.until(
        lambda: all(context.revision.number == 1 and not context.hold_reason for context in contexts), 30
    )
    yield made
    made.close()


def run_command(world: World, *arguments: str, server: str = "") -> tuple[int, str]:
    """Run one command while the loop runs; return its exit status and output."""
    statuses: list[int] = []
    out = world.folder / "out"
    environment = os.environ | {"PBS_SERVER": server or "{}:{}".format(*world.public), "LOGNAME": "ann"}
    argv = build_module_command("ladderhub", "policy", *arguments)
    with open(out, "wb") as file:
        world.loop.spawn(
            argv, statuses.append, stdin=subprocess.DEVNULL, stdout=file, stderr=file, env=environment
        )
    world.until(lambda: statuses, 60)
    return statuses[0], out.read_text()


def write_policy(world: World, value: dict[str, Any]) -> str:
    path = world.folder / "policy.jsonnet"
    path.write_text(json.dumps(value))
    return str(path)


def make_settings(world: World, aim: str) -> dict[str, Any]:
    own = {"server": "x", "listen": "127.0.0.1:1", "directory": "127.0.0.1:2", "spool": "x"}
    value = copy.deepcopy(world.settings) | own
    value["queues"]["web"]["aim"] = aim
    return value


def test_apply_prints_the_difference_and_the_outcome_and_returns_its_status(world: World) -> None:
    file = write_policy(world, make_settings(world, "700ms"))
    status, text = run_command(world, "apply", file, "--reason", "shorter")
    assert status == 0, text
    assert "made from revision 1:\n  queue web: aim 800ms -> 700ms\n" in text
    assert "in force as revision 2 (" in text and "by ann: shorter" in text
    assert "confirmed by: alpha, beta, gamma" in text
    status, text = run_command(world, "apply", file)
    assert status == 0 and "no difference" in text and "unchanged" in text
    part = {key: value for key, value in make_settings(world, "600ms").items() if key in POLICY}
    status, text = run_command(world, "apply", write_policy(world, part), "--parent", "1", "--author", "bob")
    assert status == 4 and "made from a revision that is not in force: revision 2" in text
    part["queues"]["web"]["kind"] = "none of them"
    status, text = run_command(world, "apply", write_policy(world, part))
    assert status == 2 and "refused by gamma" in text and "queues.web.kind" in text
    status, text = run_command(world, "apply", write_policy(world, part | {"nonsense": 1}))
    assert status == 1 and "nonsense" in text


def test_show_and_status_print_what_is_in_force(world: World) -> None:
    status, text = run_command(world, "show")
    lines = text.splitlines()
    assert status == 0 and lines[0].startswith("// revision 1 (")
    assert json.loads("\n".join(lines[2:]))["queues"]["web"]["aim"] == "800ms"
    status, text = run_command(world, "status")
    assert status == 0 and text.startswith("gamma: revision 1 (") and "its settings file: in force" in text
    assert "alpha" in text and "beta" in text
    status, text = run_command(world, "show", "9")
    assert status == 2 and "one of 1 to 1 is meant" in text


def test_without_a_majority_or_a_server_the_operator_is_told_so(world: World) -> None:
    for name in ("alpha", "beta"):
        world.daemons.pop(name).close()
    status, text = run_command(world, "apply", write_policy(world, make_settings(world, "700ms")))
    assert status == 5 and "no majority" in text and "last confirmed" in text
    status, text = run_command(world, "status", server=f"127.0.0.1:{free_port()}")
    assert status == 3 and "cannot connect" in text
