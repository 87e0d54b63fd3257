"""A scripted day: a fleet under load, faults by a file, everything recorded, the rules judged at the end.

A scenario is a Jsonnet file of `Scenario`; times are seconds from the start of the load.
"""

from __future__ import annotations

import random
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ladderhub.lab import tap
from ladderhub.lab.auditor import AuditRules, QueueRules, Verdict, audit
from ladderhub.lab.client import BatchClient, Submission, attributes
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.flaky import FlakyAgent
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings
from ladderhub.pbs.batch import Reply
from ladderhub.server.settings import parse_duration_ns

MS, S = 1_000_000, 1_000_000_000
SCENARIOS = Path(__file__).with_name("scenarios")
POLL_NS = 400 * MS
_ATTRS = ("job_state", "placement", "placement_time_ns", "comment", "queue", "Exit_status")


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """One fault.  `share` of the nodes (or `nodes` by name), for `lasts` seconds, as strong as `by`."""

    at: float
    kind: str
    lasts: float = 2.0
    share: float = 0.0
    nodes: list[str] = []
    rack: str = ""
    scheduler: str = ""
    by: float = 1.0
    tenant: str = ""


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    about: str
    faults: list[Fault]
    seconds: float = 20.0
    rate: float = 20.0
    nodes: int = 12
    racks: int = 4
    schedulers: int = 2
    services: int = 12
    life: tuple[float, float] = (1.5, 5.0)
    cancels: float = 0.03
    settle: float = 25.0


def scenario(name: str) -> Scenario:
    """A scenario by the name of its file; ValueError where there is none or it can't be read."""
    import _jsonnet

    path = SCENARIOS / f"{name}.jsonnet"
    if not path.exists():
        known = ", ".join(sorted(each.stem for each in SCENARIOS.glob("*.jsonnet")))
        raise ValueError(f"no scenario {name!r}; there are {known}")
    try:
        value = msgspec.convert(msgspec.json.decode(_jsonnet.evaluate_file(str(path))), Scenario)
    except (RuntimeError, msgspec.ValidationError) as wrong:
        raise ValueError(f"{path.name}: {wrong}") from None
    for fault in value.faults:
        if not hasattr(Day, f"do_{fault.kind}"):
            raise ValueError(f"{path.name}: unknown kind of fault {fault.kind!r}")
    return value


def audit_rules(settings: dict[str, Any]) -> AuditRules:
    """The rules in the auditor's terms."""
    queues = {}
    for name, queue in settings["queues"].items():
        spread, repeats = queue.get("spread"), queue.get("repeats")
        queues[name] = QueueRules(
            queue["effect"], parse_duration_ns(queue["limit"], name),
            parse_duration_ns(repeats["window"], name) if repeats else 0, spread["most"] if spread else 0,
        )  # fmt: skip
    cold = settings["nodes"]["cold"]
    return AuditRules(
        queues, parse_duration_ns(settings["nodes"]["drain_grace"], "drain_grace"),
        parse_duration_ns(cold["span"], "span"),
        parse_duration_ns(cold["window"], "window"), cold["safe_offers"],
    )  # fmt: skip


class Outcome(msgspec.Struct):
    """What a day brought."""

    verdict: Verdict
    submitted: int
    acknowledged: int
    told: dict[str, str]
    seconds: float
    recording: str = ""


class Day:
    """Runs one scenario."""

    def __init__(self, plan: Scenario, seed: int = 1, folder: Path | None = None) -> None:
        self.plan, self.random = plan, random.Random(seed)
        self.loop = Loop(trouble=self._trouble)
        self._temporary = tempfile.TemporaryDirectory(prefix="ladderhub-day-") if folder is None else None
        self.folder = folder or Path(self._temporary.name if self._temporary else ".")
        self.folder.mkdir(parents=True, exist_ok=True)
        self.recording = self.folder / "recording.tap"
        self.fleet = Fleet(
            self.loop, self.folder, nodes=plan.nodes, schedulers=plan.schedulers, racks=plan.racks, seed=seed,
            record=self.recording,
            emulated=EmulatedSettings(warm_ns=40 * MS, cold_times=8.0, life_ns=(1 * S, 4 * S)),
        )  # fmt: skip
        self.troubles: list[str] = []
        self.submitted = 0
        self.jobs: dict[str, str] = {}  # acknowledged -> scheduler
        self.told: dict[str, str] = {}
        self.rate, self.life = plan.rate, plan.life
        self.hot = 0.0
        self.pollers: dict[str, BatchClient] = {}
        self._until = 0

    def _trouble(self, where: str, fault: BaseException) -> None:
        self.troubles.append(f"{where}: {type(fault).__name__}: {fault}")

    # --- the day ------------------------------------------------------------------------------------------

    def run(self, say: Callable[[str], None] = lambda text: None) -> Outcome:
        start = self.loop.now_ns()
        try:
            self.fleet.start()
            begin = self.loop.now_ns()
            self._until = begin + round(self.plan.seconds * S)
            for fault in self.plan.faults:
                self.loop.call_at(begin + round(fault.at * S), self._fault, fault, say)
            for name, scheduler in self.fleet.schedulers.items():
                self.pollers[name] = BatchClient(self.loop, scheduler.public, "poller")
                self._poll(name)
            self._submit()
            self.fleet.run_for(round(self.plan.seconds * S))
            say(f"load over: {self.submitted} submitted, {len(self.jobs)} acknowledged; settling")
            self.fleet.run_until(self._settled, round(self.plan.settle * S))
            self.fleet.run_for(3 * POLL_NS)
        finally:
            self.fleet.close()
        verdict = audit(tap.read(self.recording), audit_rules(self.fleet.settings))
        seconds = (self.loop.now_ns() - start) / S
        return Outcome(verdict, self.submitted, len(self.jobs), self.told, seconds, str(self.recording))

    def _settled(self) -> bool:
        return all(job in self.told for job in self.jobs)

    def _submit(self) -> None:
        now = self.loop.now_ns()
        if now >= self._until:
            return
        self.loop.call_later(round(S / self.rate * self.random.expovariate(1.0)), self._submit)
        self.submit_one()

    def submit_one(self, service: int | None = None) -> None:
        """One job of the usual mix, to any scheduler."""
        number = self.random.randrange(self.plan.services) if service is None else service
        if service is None and self.random.random() < self.hot:
            number = 0
        queue = list(self.fleet.settings["queues"])[number % len(self.fleet.settings["queues"])]
        cpus, mem = self.random.choice(((0.5, 0.5), (1.0, 1.0), (2.0, 2.0)))
        life = self.random.uniform(*self.life)
        attrs = attributes(
            f"job{self.submitted}", f"{queue}-{number}", cpus, mem, life,
            self.random.choice(list(self.fleet.settings["tenants"])),
        )  # fmt: skip
        name = self.random.choice(list(self.fleet.schedulers))
        self.submitted += 1

        def done(job: str, _: str) -> None:
            if job:
                self.jobs[job] = name
                if self.random.random() < self.plan.cancels:
                    wait = round(self.random.uniform(0, 0.4) * S)
                    self.loop.call_later(wait, self._cancel, name, job)

        Submission(self.loop, self.fleet.schedulers[name].public, queue, attrs, b"#!/bin/sh\ntrue\n", done)

    def _cancel(self, name: str, job: str) -> None:
        client = BatchClient(self.loop, self.fleet.schedulers[name].public, "canceller")
        client.delete(job, lambda _: client.close())

    def _poll(self, name: str) -> None:
        def told(reply: Reply | None) -> None:
            for row in reply.rows if reply is not None else ():
                if row.get("placement"):
                    self.told[row.name] = row.get("placement")
            self.loop.call_later(POLL_NS, self._poll, name)

        self.pollers[name].status(told, names=_ATTRS)

    # --- faults -------------------------------------------------------------------------------------------

    def _fault(self, fault: Fault, say: Callable[[str], None]) -> None:
        say(f"{fault.at:6.1f} s  {fault.kind}")
        getattr(self, f"do_{fault.kind}")(fault)

    def _chosen(self, fault: Fault) -> list[str]:
        names = [name for name in self.fleet.names() if name in self.fleet.nodes]
        if fault.nodes:
            return [name for name in fault.nodes if name in names]
        if fault.rack:
            return [name for name in names if self.fleet.rack_of(name) == fault.rack]
        count = max(1, round(fault.share * len(names))) if fault.share else len(names)
        return self.random.sample(names, min(count, len(names)))

    def _agents(self, fault: Fault) -> list[FlakyAgent]:
        return [self.fleet.nodes[name] for name in self._chosen(fault)]

    def _for_a_while(self, fault: Fault, field: str, value: Any, after: Any) -> None:
        for agent in self._agents(fault):
            setattr(agent, field, value)
            self.loop.call_later(round(fault.lasts * S), setattr, agent, field, after)

    def _scheduler(self, fault: Fault) -> str:
        return fault.scheduler or self.random.choice(list(self.fleet.schedulers))

    def do_crash(self, fault: Fault) -> None:
        """Nodes die with all they run and come back cold."""
        for name in self._chosen(fault):
            self.fleet.crash_node(name, round(fault.lasts * S))

    do_zone_loss = do_rack_restart = do_crash

    def do_deploy(self, fault: Fault) -> None:
        """Nodes drain one after another, are stopped, and are replaced by cold ones."""
        for at, name in enumerate(self._chosen(fault)):
            self.loop.call_later(round(at * fault.by * S), self._drain, name, fault.lasts)

    def _drain(self, name: str, lasts: float) -> None:
        if name in self.fleet.nodes:
            self.fleet.nodes[name].drain(True)
            self.loop.call_later(round(lasts * S), self._replace, name, self.fleet.nodes[name])

    def _replace(self, name: str, agent: FlakyAgent) -> None:
        if self.fleet.nodes.get(name) is agent:
            agent.stop_all_jobs()
            self.loop.call_later(300 * MS, self._swap, name, agent)

    def _swap(self, name: str, agent: FlakyAgent) -> None:
        if self.fleet.nodes.get(name) is agent:
            self.fleet.crash_node(name, 500 * MS)

    def do_stall(self, fault: Fault) -> None:
        for agent in self._agents(fault):
            agent.stall(round(fault.lasts * S))

    def do_slow(self, fault: Fault) -> None:
        self._for_a_while(fault, "slow", fault.by, 1.0)

    do_neighbour = do_slow

    def do_ageing(self, fault: Fault) -> None:
        """Nodes get slower step by step."""
        agents = self._agents(fault)
        for step in range(1, 6):
            for agent in agents:
                factor = 1 + (fault.by - 1) * step / 5
                self.loop.call_later(round(fault.lasts * S * step / 5), setattr, agent, "slow", factor)

    def do_flush(self, fault: Fault) -> None:
        for agent in self._agents(fault):
            agent.admission.discard_warm_services()

    def do_answer_lost(self, fault: Fault) -> None:
        self._for_a_while(fault, "lose", fault.by, 0.0)

    def do_answer_cut(self, fault: Fault) -> None:
        self._for_a_while(fault, "cut", fault.by, 0.0)

    def do_answer_twice(self, fault: Fault) -> None:
        self._for_a_while(fault, "repeat", fault.by, 0.0)

    def do_throttle(self, fault: Fault) -> None:
        tenant = fault.tenant or next(iter(self.fleet.settings["tenants"]))
        self._for_a_while(fault, "full_for", frozenset({tenant}), frozenset())

    def do_balancer_crash(self, fault: Fault) -> None:
        name = self._scheduler(fault)
        if self.fleet.tap is not None:
            self.fleet.tap.write(0, "note:", ">", f"killed {name}".encode())
        self.fleet.kill_scheduler(name, round(fault.lasts * S))

    def do_pauses(self, fault: Fault) -> None:
        """A scheduler stands still for a while, as in a long garbage collection or a stopped machine."""
        process = self.fleet.schedulers[self._scheduler(fault)].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.loop.call_later(round(fault.lasts * S), process.send_signal, signal.SIGCONT)

    def do_reconnect(self, fault: Fault) -> None:
        """Every connection to the nodes and the directory is cut."""
        assert self.fleet.tap is not None
        for channel in ("node:", "list:"):
            self.fleet.tap.abort_connections(channel)

    def do_burst(self, fault: Fault) -> None:
        self.rate *= fault.by
        self.loop.call_later(round(fault.lasts * S), setattr, self, "rate", self.plan.rate)

    def do_heavy_tail(self, fault: Fault) -> None:
        """Some work lives much longer."""
        self.life = (self.plan.life[0], self.plan.life[1] * fault.by)
        self.loop.call_later(round(fault.lasts * S), setattr, self, "life", self.plan.life)

    def do_hot_key(self, fault: Fault) -> None:
        """One service draws most of the work."""
        self.hot = fault.share or 0.7
        self.loop.call_later(round(fault.lasts * S), setattr, self, "hot", 0.0)

    def do_mass_restart(self, fault: Fault) -> None:
        """Owners restart their services: every job of some is cancelled and submitted anew at once."""
        live = [job for job, answer in self.told.items() if answer == "placed"]
        for job in self.random.sample(live, round(len(live) * (fault.share or 0.5))):
            self._cancel(self.jobs.get(job, next(iter(self.fleet.schedulers))), job)
            self.submit_one(self.random.randrange(self.plan.services))

    def do_grow(self, fault: Fault) -> None:
        """Nodes that were off are switched on, cold."""
        for name in self.fleet.names():
            if name not in self.fleet.nodes:
                self.fleet.start_node(name, fresh=True)

    def do_off(self, fault: Fault) -> None:
        """Nodes are switched off, until `grow`."""
        for name in self._chosen(fault):
            self.fleet.crash_node(name, None)
