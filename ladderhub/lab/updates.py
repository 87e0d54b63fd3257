"""Runs service updates on real sockets, with faults, and audits the recording.

Three services, one of each class, are updated at the same time while nodes crash and restart cold, a rack is
lost, replies are lost, and the scheduler that runs the updates is killed.
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
from ladderhub.lab.day import build_audit_rules
from ladderhub.lab.fleet import MS, S, Fleet
from ladderhub.lab.rollout_audit import RolloutVerdict, ServiceLimits, audit_updates
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings

HEALTHY_S = 1.0
# service -> queue, share of all copies, most copies down, surplus copies
SERVICES = {
    "orders": ("web", 0.5, 10, 5),
    "reports": ("mail", 0.3, 6, 0),
    "invoicing": ("billing", 0.2, 4, 0),
}


class UpdateResult(msgspec.Struct):
    """The result of a run.  `ended` lists services whose update ended; `seconds` is wall-clock time."""

    copies: int
    rules: Verdict
    limits: RolloutVerdict
    ended: list[str]
    seconds: float
    bound_s: float  # shortest time that limits, starts and the health time allow

    def is_good(self) -> bool:
        """Report whether all updates ended and no rule or limit was broken."""
        return self.rules.is_good() and self.limits.is_good() and len(self.ended) == len(SERVICES)


def _relax_limits(settings: dict[str, Any]) -> None:
    """Change settings so that services of many copies fit.

    Without the spread rule and quotas a service finds room in each rack.  The longer limit bounds the answer
    to a job and not its run.
    """
    settings["queues"]["web"].pop("spread")
    for queue in settings["queues"].values():
        queue["limit"] = "30s"
    settings["tenants"] = {}


def run_updates(
    copies: int,
    seed: int,
    faults: bool,
    report: Callable[[str], None],
    keep: Path | None = None,
    nodes: int = 18,
) -> UpdateResult:
    """Declare the services, update all three and audit the recording; `faults` turns faults on."""
    rng = random.Random(seed)
    loop = Loop()
    with tempfile.TemporaryDirectory(prefix="ladderhub-updates-") as name:
        folder = keep or Path(name)
        folder.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(
            loop, folder, nodes=nodes, schedulers=1, seed=seed, record=folder / "recording.tap",
            change=_relax_limits,
            emulated=EmulatedSettings(warm_ns=60 * MS, cold_times=4.0, life_ns=(900 * S, 900 * S)), racks=6,
        )  # fmt: skip
        counts = {service: max(1, round(copies * share)) for service, (_, share, _, _) in SERVICES.items()}
        try:
            fleet.start()

            def run_rollout(*argv: str) -> tuple[int, str]:
                return fleet.run_command("sched0", ["ladderhub", "rollout", *argv])

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
                status, out = run_rollout("start", str(file))
                if status:
                    raise RuntimeError(out)

            def list_ended() -> list[str]:
                status, out = run_rollout("status")
                return [] if status else [line.split()[0] for line in out.splitlines() if "] over" in line]

            def wait_for_end(most_s: float) -> list[str]:
                until = time.monotonic() + most_s
                ended: list[str] = []
                while len(ended) < len(SERVICES) and time.monotonic() < until:
                    fleet.run_for(300 * MS)
                    ended = list_ended() if fleet.is_up("sched0") else []
                return ended

            for service in SERVICES:
                declare(service, "one\n")
            if len(wait_for_end(120)) < len(SERVICES):
                raise RuntimeError("the services did not start within 120 s: " + run_rollout("status")[1])
            report(f"{sum(counts.values())} copies of three services run; all are updated now")
            begun = time.monotonic()
            for service in SERVICES:
                declare(service, "two\n")
            if faults:
                _inject_faults(fleet, rng, report)
            ended = wait_for_end(240)
            seconds = time.monotonic() - begun
            _, status_text = run_rollout("status")
            for line in status_text.splitlines():
                report(line)
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
        rules = audit(tap.read(path), build_audit_rules(fleet.settings))
    # In each round an old copy ends, a new one starts, warm in the best case, and becomes healthy.
    round_s = 0.06 + HEALTHY_S
    rounds = [-(-counts[service] // (down + surplus)) for service, (_, _, down, surplus) in SERVICES.items()]
    return UpdateResult(sum(counts.values()), rules, limits, ended, seconds, max(rounds) * round_s)


def _inject_faults(fleet: Fleet, rng: random.Random, report: Callable[[str], None]) -> None:
    """Lose replies, crash a node, kill the scheduler and lose a rack; all of them restart."""
    for agent in fleet.nodes.values():
        agent.lose, agent.cut, agent.repeat = 0.03, 0.03, 0.05
    fleet.run_for(1500 * MS)
    name = rng.choice(sorted(fleet.nodes))
    report(f"{name} crashes and comes back cold")
    fleet.crash_node(name, 2 * S)
    fleet.run_for(1500 * MS)
    report("the scheduler is killed and comes back")
    fleet.kill_scheduler("sched0", 300 * MS)
    fleet.run_for(4 * S)
    racks = sorted({fleet.get_rack(node) for node in fleet.nodes})
    rack = rng.choice(racks)
    lost = [node for node in sorted(fleet.nodes) if fleet.get_rack(node) == rack]
    report(f"{rack} is lost with {', '.join(lost)}, and comes back cold")
    for node in lost:
        fleet.crash_node(node, 4 * S)
    fleet.run_for(2 * S)
