"""A stand-in update of two hundred copies on real sockets, with faults, judged from the recording.

Three services, one of each class, are updated at the same time while nodes crash and come back cold, a rack
is lost, answers are lost, and the scheduler that runs the updates is killed.
"""

from __future__ import annotations

import json
import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.lab import tap
from ladderhub.lab.auditor import Verdict, audit
from ladderhub.lab.day import audit_rules
from ladderhub.lab.fleet import MS, S, Fleet
from ladderhub.lab.rollout_audit import RolloutVerdict, ServiceLimits, audit_updates
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings

HEALTHY_S = 1.0
# service -> queue, share of all copies, most down, surplus
SERVICES = {
    "orders": ("web", 0.5, 10, 5),
    "reports": ("mail", 0.3, 6, 0),
    "invoicing": ("billing", 0.2, 4, 0),
}


class Update(msgspec.Struct):
    """What a run brought.  `ended`: services whose update came to its end; seconds are of the wall clock."""

    copies: int
    rules: Verdict
    limits: RolloutVerdict
    ended: list[str]
    seconds: float
    bound_s: float  # what limits, starts and health time allow at best

    def good(self) -> bool:
        return self.rules.is_good() and self.limits.is_good() and len(self.ended) == len(SERVICES)


def _roomy(settings: dict[str, Any]) -> None:
    """Services of many copies need room in each rack, and time: a limit is for the answer, not for a copy."""
    settings["queues"]["web"].pop("spread")
    for queue in settings["queues"].values():
        queue["limit"] = "30s"
    settings["tenants"] = {}


def run_updates(
    copies: int,
    seed: int,
    faults: bool,
    say: Callable[[str], None],
    keep: Path | None = None,
    nodes: int = 18,
) -> Update:
    """Declare the services, update all three, judge.  `faults`: with crashes, losses and a kill."""
    chance = random.Random(seed)
    loop = Loop()
    with tempfile.TemporaryDirectory(prefix="ladderhub-updates-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(
            loop, folder, nodes=nodes, schedulers=1, seed=seed, record=folder / "recording.tap",
            change=_roomy,
            emulated=EmulatedSettings(warm_ns=60 * MS, cold_times=4.0, life_ns=(900 * S, 900 * S)), racks=6,
        )  # fmt: skip
        counts = {service: max(1, round(copies * share)) for service, (_, share, _, _) in SERVICES.items()}
        try:
            fleet.start()

            def ask(*argv: str) -> tuple[int, str]:
                return fleet.command("sched0", ["ladderhub", "rollout", *argv])

            def declare(service: str, body: str) -> None:
                queue, _, down, surplus = SERVICES[service]
                update = {
                    "down": down,
                    "surplus": surplus,
                    "healthy": f"{HEALTHY_S:g}s",
                    "failures": {"number": 50},
                }
                file = folder / f"{service}.jsonnet"
                file.write_text(json.dumps({
                    "service": service, "queue": queue, "count": counts[service], "script": body,
                    "resources": {"ncpus": 1, "mem": "512mb"}, "variables": {"EMULATE_LIFE": "900"},
                    "update": update,
                }))  # fmt: skip
                status, out = ask("start", str(file))
                if status:
                    raise RuntimeError(out)

            def over() -> list[str]:
                status, out = ask("status")
                return [] if status else [line.split()[0] for line in out.splitlines() if "] over" in line]

            def wait(most_s: float) -> list[str]:
                until = time.monotonic() + most_s
                ended: list[str] = []
                while len(ended) < len(SERVICES) and time.monotonic() < until:
                    fleet.run_for(300 * MS)
                    ended = over() if fleet.is_up("sched0") else []
                return ended

            for service in SERVICES:
                declare(service, "one\n")
            if len(wait(120)) < len(SERVICES):
                raise RuntimeError("the services did not come up: " + ask("status")[1])
            say(f"{sum(counts.values())} copies of three services run; all are updated now")
            begun = time.monotonic()
            for service in SERVICES:
                declare(service, "two\n")
            if faults:
                _trouble(fleet, chance, say)
            ended = wait(240)
            seconds = time.monotonic() - begun
            _, last = ask("status")
            for line in last.splitlines():
                say(line)
        finally:
            fleet.close()
        assert fleet.tap is not None
        services = {
            service: ServiceLimits(
                counts[service], down, surplus, round(HEALTHY_S * S),
                fleet.settings["queues"][queue]["effect"] == "unsafe",
            )
            for service, (queue, _, down, surplus) in SERVICES.items()
        }  # fmt: skip
        path = fleet.tap.path
        limits = audit_updates(tap.read(path), services)
        rules = audit(tap.read(path), audit_rules(fleet.settings))
    # A round: the old copy ends, the new one starts, warm at best, and is healthy.
    a_round = 0.06 + HEALTHY_S
    rounds = [-(-counts[service] // (down + surplus)) for service, (_, _, down, surplus) in SERVICES.items()]
    return Update(sum(counts.values()), rules, limits, ended, seconds, max(rounds) * a_round)


def _trouble(fleet: Fleet, chance: random.Random, say: Callable[[str], None]) -> None:
    """A crash, lost answers, a rack that is lost, a scheduler that is killed; all come back."""
    for agent in fleet.nodes.values():
        agent.lose, agent.cut, agent.repeat = 0.03, 0.03, 0.05
    fleet.run_for(1500 * MS)
    name = chance.choice(sorted(fleet.nodes))
    say(f"{name} crashes and comes back cold")
    fleet.crash_node(name, 2 * S)
    fleet.run_for(1500 * MS)
    say("the scheduler is killed and comes back")
    fleet.kill_scheduler("sched0", 300 * MS)
    fleet.run_for(4 * S)
    racks = sorted({fleet.rack_of(node) for node in fleet.nodes})
    rack = chance.choice(racks)
    lost = [node for node in sorted(fleet.nodes) if fleet.rack_of(node) == rack]
    say(f"{rack} is lost with {', '.join(lost)}, and comes back cold")
    for node in lost:
        fleet.crash_node(node, 4 * S)
    fleet.run_for(2 * S)
