"""Runs a scenario: a fleet under load with scripted faults, recorded and audited at the end.

A scenario is a Jsonnet file that decodes to `Scenario`; times are seconds from the start of the load.
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
from ladderhub.lab.client import BatchClient, Submission, build_job_attributes
from ladderhub.lab.fleet import Fleet
from ladderhub.lab.flaky import FlakyAgent
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings
from ladderhub.pbs.batch import Reply
from ladderhub.server.settings import parse_duration_ns

MS, S = 1_000_000, 1_000_000_000
SCENARIOS = Path(__file__).with_name("scenarios")
POLL_NS = 400 * MS
_STATUS_ATTRIBUTES = ("job_state", "placement", "placement_time_ns", "comment", "queue", "Exit_status")


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault that begins `at` seconds into the load and takes effect for `lasts` seconds.

    It affects the nodes in `nodes` or `rack`, or else a random `share` of all nodes.  `by` is its strength;
    the meaning depends on the kind of fault.
    """

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
    """A scenario file: the size of the fleet, the load and the faults.

    `seconds` is the length of the load, `rate` its jobs a second, `life` the range of a job's seconds,
    `cancels` the share of jobs that are cancelled, and `settle` the longest wait in seconds for the last
    answers.
    """

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


def load_scenario(name: str) -> Scenario:
    """Load a scenario by the name of its file; raise ValueError if it does not exist or is invalid."""
    import _jsonnet

    path = SCENARIOS / f"{name}.jsonnet"
    if not path.exists():
        known = ", ".join(sorted(each.stem for each in SCENARIOS.glob("*.jsonnet")))
        raise ValueError(f"no scenario {name!r}; there are {known}")
    try:
        value = msgspec.convert(msgspec.json.decode(_jsonnet.evaluate_file(str(path))), Scenario)
    except (RuntimeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path.name}: {error}") from None
    for fault in value.faults:
        if not hasattr(Day, f"do_{fault.kind}"):
            raise ValueError(f"{path.name}: unknown kind of fault {fault.kind!r}")
    return value


def build_audit_rules(settings: dict[str, Any]) -> AuditRules:
    """Convert scheduler settings to the rules of the auditor."""
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
    """The result of a scenario.  `told` maps each job to the placement answer that qstat showed."""

    verdict: Verdict
    submitted: int
    acknowledged: int
    told: dict[str, str]
    seconds: float
    recording: str = ""


class Day:
    """Runs one scenario against a fleet of its own."""

    def __init__(self, plan: Scenario, seed: int = 1, folder: Path | None = None) -> None:
        self.plan, self.random = plan, random.Random(seed)
        self.loop = Loop(trouble=self._record_trouble)
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
        self.jobs: dict[str, str] = {}  # acknowledged job -> name of its scheduler
        self.answers: dict[str, str] = {}
        self.rate, self.life = plan.rate, plan.life
        self.hot = 0.0
        self.pollers: dict[str, BatchClient] = {}
        self._load_end_ns = 0

    def _record_trouble(self, where: str, fault: BaseException) -> None:
        self.troubles.append(f"{where}: {type(fault).__name__}: {fault}")

    # --- load and answers ---------------------------------------------------------------------------------

    def run(self, report: Callable[[str], None] = lambda text: None) -> Outcome:
        """Run the scenario to its end and audit the recording; `report` receives progress lines."""
        start = self.loop.now_ns()
        try:
            self.fleet.start()
            begin = self.loop.now_ns()
            self._load_end_ns = begin + round(self.plan.seconds * S)
            for fault in self.plan.faults:
                self.loop.call_at(begin + round(fault.at * S), self._apply_fault, fault, report)
            for name, scheduler in self.fleet.schedulers.items():
                self.pollers[name] = BatchClient(self.loop, scheduler.public, "poller")
                self._poll(name)
            self._submit()
            self.fleet.run_for(round(self.plan.seconds * S))
            report(f"load over: {self.submitted} submitted, {len(self.jobs)} acknowledged; settling")
            self.fleet.run_until(self._has_all_answers, round(self.plan.settle * S))
            self.fleet.run_for(3 * POLL_NS)
        finally:
            self.fleet.close()
        verdict = audit(tap.read(self.recording), build_audit_rules(self.fleet.settings))
        seconds = (self.loop.now_ns() - start) / S
        return Outcome(verdict, self.submitted, len(self.jobs), self.answers, seconds, str(self.recording))

    def _has_all_answers(self) -> bool:
        return all(job in self.answers for job in self.jobs)

    def _submit(self) -> None:
        now = self.loop.now_ns()
        if now >= self._load_end_ns:
            return
        self.loop.call_later(round(S / self.rate * self.random.expovariate(1.0)), self._submit)
        self.submit_one()

    def submit_one(self, service: int | None = None) -> None:
        """Submit a random job to a random scheduler, for `service` if it is given."""
        number = self.random.randrange(self.plan.services) if service is None else service
        if service is None and self.random.random() < self.hot:
            number = 0
        queue = list(self.fleet.settings["queues"])[number % len(self.fleet.settings["queues"])]
        cpus, mem = self.random.choice(((0.5, 0.5), (1.0, 1.0), (2.0, 2.0)))
        life = self.random.uniform(*self.life)
        attrs = build_job_attributes(
            f"job{self.submitted}", f"{queue}-{number}", cpus, mem, life,
            self.random.choice(list(self.fleet.settings["tenants"])),
        )  # fmt: skip
        name = self.random.choice(list(self.fleet.schedulers))
        self.submitted += 1

        def on_done(job: str, _: str) -> None:
            if job:
                self.jobs[job] = name
                if self.random.random() < self.plan.cancels:
                    wait = round(self.random.uniform(0, 0.4) * S)
                    self.loop.call_later(wait, self._cancel, name, job)

        Submission(self.loop, self.fleet.schedulers[name].public, queue, attrs, b"#!/bin/sh\ntrue\n", on_done)

    def _cancel(self, name: str, job: str) -> None:
        client = BatchClient(self.loop, self.fleet.schedulers[name].public, "canceller")
        client.delete(job, lambda _: client.close())

    def _poll(self, name: str) -> None:
        def on_reply(reply: Reply | None) -> None:
            for row in reply.rows if reply is not None else ():
                if row.get("placement"):
                    self.answers[row.name] = row.get("placement")
            self.loop.call_later(POLL_NS, self._poll, name)

        self.pollers[name].status(on_reply, names=_STATUS_ATTRIBUTES)

    # --- faults -------------------------------------------------------------------------------------------

    def _apply_fault(self, fault: Fault, report: Callable[[str], None]) -> None:
        report(f"{fault.at:6.1f} s  {fault.kind}")
        getattr(self, f"do_{fault.kind}")(fault)

    def _choose_nodes(self, fault: Fault) -> list[str]:
        names = [name for name in self.fleet.get_node_names() if name in self.fleet.nodes]
        if fault.nodes:
            return [name for name in fault.nodes if name in names]
        if fault.rack:
            return [name for name in names if self.fleet.get_rack(name) == fault.rack]
        count = max(1, round(fault.share * len(names))) if fault.share else len(names)
        return self.random.sample(names, min(count, len(names)))

    def _choose_agents(self, fault: Fault) -> list[FlakyAgent]:
        return [self.fleet.nodes[name] for name in self._choose_nodes(fault)]

    def _set_temporarily(self, fault: Fault, field: str, value: Any, after: Any) -> None:
        for agent in self._choose_agents(fault):
            setattr(agent, field, value)
            self.loop.call_later(round(fault.lasts * S), setattr, agent, field, after)

    def _choose_scheduler(self, fault: Fault) -> str:
        return fault.scheduler or self.random.choice(list(self.fleet.schedulers))

    def do_crash(self, fault: Fault) -> None:
        """Crash nodes with all their jobs; they restart cold after `lasts` seconds."""
        for name in self._choose_nodes(fault):
            self.fleet.crash_node(name, round(fault.lasts * S))

    do_zone_loss = do_rack_restart = do_crash

    def do_deploy(self, fault: Fault) -> None:
        """Drain nodes one after another, `by` seconds apart, stop their jobs and restart the nodes cold."""
        for at, name in enumerate(self._choose_nodes(fault)):
            self.loop.call_later(round(at * fault.by * S), self._drain, name, fault.lasts)

    def _drain(self, name: str, lasts: float) -> None:
        if name in self.fleet.nodes:
            self.fleet.nodes[name].drain(True)
            self.loop.call_later(round(lasts * S), self._stop_jobs_and_restart, name, self.fleet.nodes[name])

    def _stop_jobs_and_restart(self, name: str, agent: FlakyAgent) -> None:
        if self.fleet.nodes.get(name) is agent:
            agent.stop_all_jobs()
            self.loop.call_later(300 * MS, self._restart_node, name, agent)

    def _restart_node(self, name: str, agent: FlakyAgent) -> None:
        if self.fleet.nodes.get(name) is agent:
            self.fleet.crash_node(name, 500 * MS)

    def do_stall(self, fault: Fault) -> None:
        """Make nodes unresponsive while their connections stay open."""
        for agent in self._choose_agents(fault):
            agent.stall(round(fault.lasts * S))

    def do_slow(self, fault: Fault) -> None:
        """Slow nodes down by the factor `by`."""
        self._set_temporarily(fault, "slowdown", fault.by, 1.0)

    do_neighbour = do_slow

    def do_ageing(self, fault: Fault) -> None:
        """Slow nodes down in five steps, to `by` times their usual duration."""
        agents = self._choose_agents(fault)
        for step in range(1, 6):
            for agent in agents:
                factor = 1 + (fault.by - 1) * step / 5
                self.loop.call_later(round(fault.lasts * S * step / 5), setattr, agent, "slowdown", factor)

    def do_flush(self, fault: Fault) -> None:
        """Make nodes forget which services are warm."""
        for agent in self._choose_agents(fault):
            agent.admission.discard_warm_services()

    def do_answer_lost(self, fault: Fault) -> None:
        """Make nodes drop replies to Commit with probability `by`."""
        self._set_temporarily(fault, "lose", fault.by, 0.0)

    def do_answer_cut(self, fault: Fault) -> None:
        """Make nodes send half of a reply to Commit and close, with probability `by`."""
        self._set_temporarily(fault, "cut", fault.by, 0.0)

    def do_answer_twice(self, fault: Fault) -> None:
        """Make nodes send replies twice with probability `by`."""
        self._set_temporarily(fault, "repeat", fault.by, 0.0)

    def do_throttle(self, fault: Fault) -> None:
        """Make nodes refuse the jobs of one tenant."""
        tenant = fault.tenant or next(iter(self.fleet.settings["tenants"]))
        self._set_temporarily(fault, "full_for", frozenset({tenant}), frozenset())

    def do_balancer_crash(self, fault: Fault) -> None:
        """Kill a scheduler and restart it after `lasts` seconds."""
        name = self._choose_scheduler(fault)
        if self.fleet.tap is not None:
            self.fleet.tap.write(0, "note:", ">", f"killed {name}".encode())
        self.fleet.kill_scheduler(name, round(fault.lasts * S))

    def do_pauses(self, fault: Fault) -> None:
        """Pause a scheduler process, as a long garbage collection or a suspended machine would."""
        process = self.fleet.schedulers[self._choose_scheduler(fault)].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            self.loop.call_later(round(fault.lasts * S), process.send_signal, signal.SIGCONT)

    def do_reconnect(self, fault: Fault) -> None:
        """Abort every connection between schedulers and the nodes and directory."""
        assert self.fleet.tap is not None
        for channel in ("node:", "list:"):
            self.fleet.tap.abort_connections(channel)

    def do_burst(self, fault: Fault) -> None:
        """Multiply the rate of submissions by `by`."""
        self.rate *= fault.by
        self.loop.call_later(round(fault.lasts * S), setattr, self, "rate", self.plan.rate)

    def do_heavy_tail(self, fault: Fault) -> None:
        """Raise the longest life of new jobs by the factor `by`."""
        self.life = (self.plan.life[0], self.plan.life[1] * fault.by)
        self.loop.call_later(round(fault.lasts * S), setattr, self, "life", self.plan.life)

    def do_hot_key(self, fault: Fault) -> None:
        """Send a large share of new jobs to a single service."""
        self.hot = fault.share or 0.7
        self.loop.call_later(round(fault.lasts * S), setattr, self, "hot", 0.0)

    def do_mass_restart(self, fault: Fault) -> None:
        """Cancel a share of the placed jobs and submit as many new ones at once."""
        live = [job for job, answer in self.answers.items() if answer == "placed"]
        for job in self.random.sample(live, round(len(live) * (fault.share or 0.5))):
            self._cancel(self.jobs.get(job, next(iter(self.fleet.schedulers))), job)
            self.submit_one(self.random.randrange(self.plan.services))

    def do_grow(self, fault: Fault) -> None:
        """Start all nodes that are off; they are cold."""
        for name in self.fleet.get_node_names():
            if name not in self.fleet.nodes:
                self.fleet.start_node(name, fresh=True)

    def do_off(self, fault: Fault) -> None:
        """Stop nodes until a `grow` fault starts them again."""
        for name in self._choose_nodes(fault):
            self.fleet.crash_node(name, None)
