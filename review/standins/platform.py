"""The platform: starts a scheduler with the line `run` of the deploy file and what that is told."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.standins.journal import Journal
from review.standins.machine import Machine
from review.standins.owner import Owner
from review.standins.record import Record, now

ROOT = Path(__file__).parents[2]
MS = 1_000_000
S = 1_000 * MS


class CouldNotRun(Exception):
    """The case could not run here."""


@dataclass(frozen=True)
class Site:
    """What a scheduler of one deployment is told of it; the figures are those of the operators' brief."""

    classes: tuple[tuple[str, str, float, float, float], ...]  # name, effect, aim s, deadline s, worth
    kinds: tuple[tuple[str, int, float], ...]  # name, cores, memory
    needs_kind: list[int]
    spread: list[str]
    tenant: str
    zone: str
    tries: int
    drain_grace_s: float
    cold: tuple[float, float, float, float]  # pace at first, warm after s, multiple, window s


SITES = {
    "midshires-hq": Site(
        classes=(
            ("orders", "read_like", 0.8, 8, 3.0),
            ("reports", "read_like", 0.8, 6, 2.0),
            ("invoicing", "non_idempotent", 0.8, 6, 3.0),
        ),
        kinds=(("node-small", 40, 62.0), ("node-large", 58, 95.0)),
        needs_kind=[-1, -1, 1], spread=["cell", "none", "none"], tenant="trent-valley",
        zone="lichfield-room", tries=3, drain_grace_s=0.5, cold=(0.17, 18, 2.0, 3),
    ),
    "lautoka-depot": Site(
        classes=(
            ("directory-web", "read_like", 0.8, 5, 3.0),
            ("notice-worker", "read_like", 1.0, 5, 3.0),
            ("ledger-run", "non_idempotent", 5.5, 10, 9.0),
        ),
        kinds=(("node-40", 40, 62.0), ("node-64", 60, 95.0)),
        needs_kind=[-1, -1, -1], spread=["none", "machine", "none"], tenant="",
        zone="depot-room", tries=4, drain_grace_s=2.0, cold=(0.23, 15, 4.0, 2),
    ),
}  # fmt: skip


def make_settings(site: Site) -> dict[str, Any]:
    """The settings object, in the form of the example on the page of the simulator's wire."""
    classes = [
        {
            "name": name, "effect": effect, "group": "all", "promise-ns": round(aim * S),
            "deadline-ns": round(deadline * S), "window-ns": 5 * S, "worth": worth, "late-value": 0.1,
            "stays": True,
        }
        for name, effect, aim, deadline, worth in site.classes
    ]  # fmt: skip
    pace, warm, multiple, window = site.cold
    return {
        "balancers": 1, "ordinal": 0, "family": "place", "discovery": "automatic", "my-zone": 0, "stage": 0,
        "callers": {"marks-retry": False}, "classes": classes, "models": [kind[0] for kind in site.kinds],
        "ceilings": {
            "cancelling": True, "conn-idle-ns": 30 * S, "cpu-us-per-s": 400_000, "dial-timeout-ns": 250 * MS,
            "max-retry-after-ns": 3 * S, "may-duplicate": False, "most-tries": site.tries, "peers": False,
            "probes": False, "retry-after": True,
        },
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.3},
        "load-report": {"fields": [], "how": "none"}, "over-share-worth": 0.1,
        "prices": {"moves": 0.05, "waste": 0.03, "handshake": 0.0},
        "realms": [{"name": site.tenant, "portion": 1.0, "quota-per-s": 14.0}] if site.tenant else [],
        "rules": {
            "answer-slack-ns": 8 * MS, "cold-from": pace, "cold-ns": round(warm * S),
            "drain-grace-ns": round(site.drain_grace_s * S), "fall-multiple": multiple,
            "fall-ns": round(window * S), "must-ask-in-ns": 10 * S,
        },
        "specifics": {
            "admit-cores": 2.5, "admit-memory": 1.5, "calm-level": [0.8, 1.0, 0.8], "class-most": [2, 2, 2],
            "class-priority": [1, 0, 2], "class-start-s": [10.0, 12.0, 12.0], "cold-sends": 124.0,
            "confirms": "running", "displaces": False, "eviction-as-moves": 2.0,
            "fades-over": [0.2, 1.0, 0.15], "mean-cores": 1.14, "needs-kind": site.needs_kind,
            "no-price": 0.03, "pressure-notes": True, "report-counts": "asked", "settle-ns": 3 * S,
            "size-cores": [kind[1] for kind in site.kinds], "size-memory": [kind[2] for kind in site.kinds],
            "spread-over": site.spread, "tenant-quota-cores": [298.0] if site.tenant else [],
            "use-notes": True, "usual-memory": 1.53, "view": True,
        },
        "tick-ns": 2 * MS, "tiers": ["hq-cluster"], "weights": "none", "worth-by": "work",
        "zones": [site.zone],
    }  # fmt: skip


class Platform:
    """A small deployment around one scheduler: machines, a journal service and owners."""

    def __init__(
        self, folder: Path, machines: int = 5, sockets: int = 512, site: str = "midshires-hq"
    ) -> None:
        """The machines stand in racks of their own; every second one is large."""
        self.site = SITES[site]
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.journal = Journal(self.record)
        self.machines = [
            Machine(self.record, f"s-{at:08x}", f"127.0.{1 + at // 200}.{at % 200 + 1}", at, self.site.zone)
            for at in range(machines)
        ]
        for at, machine in enumerate(self.machines):
            machine.kind = self.site.kinds[1 - at % 2][0]
        self.owners: list[Owner] = []
        self.sockets = sockets
        self.children: list[subprocess.Popen[bytes]] = []
        self.address = ("127.0.0.1", _free_port())

    async def start(self) -> None:
        """Start the journal service and the scheduler, and wait until it passes a test."""
        await self.journal.start("127.0.0.2")
        self.journal.add([machine.row() for machine in self.machines], snapshot=True)
        self.write_config()
        self.start_scheduler()
        await self.wait_until_ready()

    def write_config(self) -> None:
        config = {
            "name": "n0", "listen": "{}:{}".format(*self.address), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "journal": self.journal.address,
            "known": {"pos": len(self.journal.events), "entries": self.journal.events},
            "settings": make_settings(self.site),
        }  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps(config))

    def start_scheduler(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / f"tmp-{len(self.children)}"
        scratch.mkdir()
        environment = os.environ | {
            "PROXY_NAME": "n0", "PROXY_LISTEN": "{}:{}".format(*self.address),
            "PROXY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(scratch),
        }  # fmt: skip
        with (self.folder / f"log-{len(self.children)}").open("wb") as log:
            child = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log,
            )  # fmt: skip
        self.children.append(child)
        self.record.line("platform", "starts the scheduler")

    async def wait_until_ready(self) -> None:
        for _ in range(300):
            if self.children[-1].poll() is not None:
                raise CouldNotRun(f"the scheduler ended: {self.read_log()[-600:]}")
            probe = Owner(self.record, "front", "")
            try:
                await probe.connect(self.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            probe.ping()
            for _ in range(20):
                await asyncio.sleep(0.05)
                if probe.pongs or probe.ended:
                    break
            probe.close()
            if probe.pongs[:1] == [1]:
                self.record.line("platform", "the scheduler has passed a test")
                return
        raise CouldNotRun("the scheduler passed no test within 30 s")

    async def owner(self, name: str) -> Owner:
        owner = Owner(self.record, name, self.site.tenant)
        self.owners.append(owner)
        await owner.connect(self.address)
        return owner

    def machine_of(self, task: str) -> Machine | None:
        """The machine where this task runs."""
        return next((machine for machine in self.machines if task in machine.standing), None)

    def signal(self, number: int) -> None:
        self.record.line("platform", f"{signal.Signals(number).name} to the scheduler")
        self.children[-1].send_signal(number)

    def is_running(self) -> bool:
        return self.children[-1].poll() is None

    def read_log(self) -> str:
        return "".join(path.read_text(errors="replace") for path in sorted(self.folder.glob("log-*")))

    def close(self) -> None:
        """End all that was started.  The log goes into the record, less the lines of each second."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        for each in [*self.owners, *self.machines, self.journal]:
            each.close()
        for line in self.read_log().splitlines():
            if '"second"' not in line and '"machines"' not in line[:60]:
                self.record.line("log", line)
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def unanswered(owners: list[Owner]) -> list[str]:
    """The set-ups without exactly one answer in time: `left`, 50 ms of slack and the page's half second."""
    wrong = []
    for asked in (each for owner in owners for each in owner.asked.values()):
        late = not asked.answers or asked.answers[0][0] > asked.until + 0.55
        if len(asked.answers) > 1 or (late and now() > asked.until + 0.55):
            wrong.append(f"{asked.task}: {asked.answers}")
    return wrong
