"""Placement in simulated time: the decision modules of several schedulers over many emulated nodes.

Each scheduler is the real `decide.Scheduler`, each node the real `node.admission`; the network, the
directory's lists and the work are emulated.  A scheduler may be charged the processor time of its decisions
(`charged`): events then wait for their turn as at one core.  Without that a play is the same for a seed.
"""

from __future__ import annotations

import time
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.lab.emulator.net import MS, Net, S
from ladderhub.node.admission import Admission, Offer, RunKey, NodeSettings
from ladderhub.owner.retries import PRIORITY_RESERVE

_REASONS = {
    "CORES": api.Reason.CORES, "MEMORY": api.Reason.MEMORY, "LINE_FULL": api.Reason.LINE_FULL,
    "NOT_HERE": api.Reason.NOT_HERE,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Sizes and times of one play.

    A job that is turned away is asked for again after `stay_ns`, doubling, within `limit_ns` and within a
    scheduler's budget for that, as `serve` does by default.  Starts take `warm_ns`, or `cold_times` as long
    where the service's program is not warm on the node; a look at an offer takes a time within `look_ns`."""

    nodes: int
    schedulers: int
    classes: tuple[api.TaskClass, ...]
    tenants: tuple[api.Tenant, ...] = ()
    cores: float = 4.0
    memory: float = 16.0
    hop_ns: int = MS // 2
    look_ns: tuple[int, int] = (6 * MS, 30 * MS)
    warm_ns: int = 60 * MS
    cold_times: float = 9.0
    list_every_ns: int = 200 * MS
    list_delay_ns: int = S
    limit_ns: int = 20 * S
    stay_ns: tuple[int, int] = (500 * MS, 4 * S)
    again_share: float = 0.5
    again_burst: float = 200.0
    asks_most: int = 8
    nodes_in_rack: int = 20
    zones: int = 4
    charged: bool = False

    def module(self, ordinal: int) -> api.Settings:
        """What one scheduler's module is told."""
        return api.Settings(
            classes=self.classes, kinds=(api.MachineKind(self.cores, self.memory),), tenants=self.tenants,
            schedulers=self.schedulers, ordinal=ordinal, max_attempts=3, first_at_running=True,
            list_shows_room=True, unreached_count=False,
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task that is to be placed."""

    klass: int
    tenant: int
    service: str
    cores: float
    memory: float
    life_ns: int
    budget_ns: int


@dataclass(slots=True)
class JobRecord:
    """What became of one job.  `start_ns` counts from the first asking; -1 while it has not started.
    `refused`: it was turned away for good."""

    spec: TaskSpec
    asked_ns: int
    start_ns: int = -1
    refused: bool = False
    offers: int = 0
    asks: int = 0
    run: RunKey | None = None


class Node:
    """One emulated node: looks, starts and ends in simulated time, decided by its `Admission`."""

    def __init__(self, site: Site, at: int) -> None:
        self.site, self.name, self.at = site, f"m{at:05}", at
        settings = site.settings
        self.admission = Admission(NodeSettings(settings.cores, settings.memory), site.net.now)
        self._answers: dict[RunKey, Callable[[api.Outcome, api.Reason], None]] = {}
        self._works: dict[RunKey, TaskSpec] = {}

    def offer(self, key: RunKey, work: TaskSpec, answer: Callable[[api.Outcome, api.Reason], None]) -> None:
        """Look at an offer; `answer` is called once, with how the attempt ended."""
        ask = Offer(key, work.service, work.cores, work.memory, tenant=str(work.tenant))
        self._answers[key], self._works[key] = answer, work
        refusal = self.admission.enqueue(self.site.net.now, ask)
        if refusal is not None:
            self._refuse(key, refusal.code)
            return
        self._look()

    def _refuse(self, key: RunKey, code: str) -> None:
        self._works.pop(key)
        self._answers.pop(key)(api.Outcome.REFUSED, _REASONS[code])

    def _look(self) -> None:
        ask = self.admission.begin_evaluation()
        if ask is not None:
            net = self.site.net
            span = net.random.randint(*self.site.settings.look_ns)
            net.call_at(net.now + span, self._looked, ask.key)

    def _looked(self, key: RunKey) -> None:
        net = self.site.net
        refusal = self.admission.finish_evaluation(net.now)
        if refusal is not None:
            if key in self._works:
                self._refuse(key, refusal.code)
        elif key not in self._works:  # called off meanwhile
            self.admission.release_resources(key)
        else:
            net.call_at(net.now + 2 * self.site.settings.hop_ns, self._commit, key)
        self._look()

    def _commit(self, key: RunKey) -> None:
        if key in self._works and self.admission.commit(key):
            self._start()

    def _start(self) -> None:
        net, settings = self.site.net, self.site.settings
        while (following := self.admission.begin_next_start()) is not None:
            ask, warm = following
            span = settings.warm_ns * (1.0 if warm else settings.cold_times) * net.random.uniform(0.85, 1.15)
            net.call_at(net.now + round(span), self._started, ask.key)

    def _started(self, key: RunKey) -> None:
        if key not in self._works:
            return
        self.admission.mark_started(key)
        self.site.running(key)
        self.site.net.call_at(self.site.net.now + self._works[key].life_ns, self._ended, key)
        self._start()

    def _ended(self, key: RunKey) -> None:
        if self._works.pop(key, None) is None:
            return
        self.admission.release_resources(key)
        self._answers.pop(key)(api.Outcome.DONE, api.Reason.UNKNOWN)
        self._start()

    def stop(self, key: RunKey) -> None:
        """What its scheduler gave up: it ends without a word."""
        if self._works.pop(key, None) is not None:
            self._answers.pop(key)
            self.admission.withdraw(key)
            self._start()


@dataclass(slots=True)
class Spent:
    """Processor time of the module by kind of event."""

    count: Counter[str] = field(default_factory=Counter)
    ns: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    max_wait_ns: int = 0  # of an event for its turn, where time is charged

    def get_total_ns(self) -> int:
        return sum(self.ns.values())

    def mean_us(self, kind: str) -> float:
        return self.ns[kind] / self.count[kind] / 1000 if self.count[kind] else 0.0


class Place:
    """One scheduler: feeds its module in order and carries out what it says."""

    def __init__(self, site: Site, ordinal: int, seed: int) -> None:
        self.site, self.ordinal = site, ordinal
        self.module = Scheduler(site.settings.module(ordinal), seed)
        self.spent = Spent()
        self._queue: deque[tuple[int, api.Event]] = deque()
        self._busy = False
        self.again_left = site.settings.again_burst
        self._attempts: Counter[int] = Counter()
        self._where: dict[RunKey, tuple[Node, int]] = {}

    def take(self, event: api.Event) -> None:
        """Handle an event now, or in its turn where processor time is charged."""
        if not self.site.settings.charged:
            self._handle(event)
            return
        self._queue.append((self.site.net.now, event))
        if not self._busy:
            self._next()

    def _next(self) -> None:
        self._busy = bool(self._queue)
        if self._busy:
            came_ns, event = self._queue.popleft()
            self.spent.max_wait_ns = max(self.spent.max_wait_ns, self.site.net.now - came_ns)
            spent_ns = self._handle(event)
            self.site.net.call_at(self.site.net.now + spent_ns, self._next)

    def _handle(self, event: api.Event) -> int:
        began = time.thread_time_ns()
        actions = self.module.handle(self.site.net.now, event)
        spent_ns = time.thread_time_ns() - began
        kind = type(event).__name__
        if isinstance(event, api.TimerFired):
            kind = "Sweep" if event.timer == 0 else "Deadline"
        self.spent.count[kind] += 1
        self.spent.ns[kind] += spent_ns
        delay = spent_ns if self.site.settings.charged else 0
        for action in actions:
            self._carry(action, delay)
        return spent_ns

    def _carry(self, action: api.Action, delay: int) -> None:
        net = self.site.net
        if isinstance(action, api.SetTimer):
            net.call_at(max(net.now, action.at_ns), self.take, api.TimerFired(action.timer))
        elif isinstance(action, api.Send):
            self._send(action, delay)
        elif isinstance(action, api.Refuse | api.Fail):
            self._call_off(action.task)
            self._turned_away(self.site.tasks[action.task])

    def ask(self, record: JobRecord) -> None:
        """Hand one ask of a job to the module."""
        settings, work = self.site.settings, record.spec
        if not record.asks:
            self.again_left = min(settings.again_burst, self.again_left + settings.again_share)
        record.asks += 1
        task, left_ns = (
            self.site.number(record, self),
            record.asked_ns + settings.limit_ns - self.site.net.now,
        )
        self.take(
            api.TaskAsked(
                task=task, key=str(task), klass=work.klass, service=work.service, cores=work.cores,
                memory=work.memory, budget_ns=min(work.budget_ns, left_ns), tenant=work.tenant,
                came_again=record.asks > 1,
            )
        )  # fmt: skip

    def _turned_away(self, record: JobRecord) -> None:
        """Ask again later, as `owner.decide` does: the common budget's last part is for the most urgent."""
        settings, now = self.site.settings, self.site.net.now
        first, most = settings.stay_ns
        urgent = settings.classes[record.spec.klass].priority >= self.site.top_priority
        stay = round(min(most, first << record.asks - 1) * self.site.net.random.uniform(0.75, 1.25))
        if self.again_left >= (1.0 if urgent else 1.0 + PRIORITY_RESERVE * settings.again_burst):
            self.again_left -= 1
        else:
            stay = most
        if record.asks >= settings.asks_most or now + stay >= record.asked_ns + settings.limit_ns:
            record.refused = True
            return
        self.site.net.call_at(now + stay, self.ask, record)

    def _send(self, send: api.Send, delay: int) -> None:
        site, attempt = self.site, self._attempts[send.task]
        self._attempts[send.task] += 1
        key = (str(send.task), attempt)
        record = site.tasks[send.task]
        record.offers += 1
        node = site.by_name[send.machine]
        self._where[key] = (node, attempt)

        def answer(outcome: api.Outcome, reason: api.Reason) -> None:
            site.net.call_at(site.net.now + site.settings.hop_ns, self._over, key, outcome, reason)

        arrives = site.net.now + delay + site.settings.hop_ns
        site.net.call_at(arrives, node.offer, key, record.spec, answer)
        if send.timeout_ns is not None:
            site.net.call_at(site.net.now + delay + send.timeout_ns, self._late, key)

    def _late(self, key: RunKey) -> None:
        if key in self._where and self.site.tasks[int(key[0])].start_ns < 0:
            self._where[key][0].stop(key)
            self._over(key, api.Outcome.TIMED_OUT, api.Reason.UNKNOWN)

    def _call_off(self, task: int) -> None:
        """The task was answered for: what is still out is told to stop."""
        self.stop((str(task), self._attempts[task] - 1))

    def stop(self, key: RunKey) -> None:
        """End an attempt, if it is still out."""
        if key in self._where:
            self._where[key][0].stop(key)
            self.site.net.call_at(
                self.site.net.now, self._over, key, api.Outcome.CANCELLED, api.Reason.UNKNOWN
            )

    def placed(self, key: RunKey) -> None:
        """The task runs, and this scheduler has heard it."""
        if key in self._where:
            node, attempt = self._where[key]
            self.take(api.TaskPlaced(int(key[0]), attempt, node.name))

    def _over(self, key: RunKey, outcome: api.Outcome, reason: api.Reason) -> None:
        found = self._where.pop(key, None)
        if found is None:
            return
        node, attempt = found
        task, done = int(key[0]), outcome is api.Outcome.DONE
        report = api.LoadReport(*node.admission.get_free_resources()) if done else None
        if done:
            self._attempts.pop(task, None)
        self.take(api.AttemptEnded(task, attempt, node.name, outcome, reason, done, 0, report))


class Site:
    """Nodes, schedulers and the lists between them, all in simulated time."""

    def __init__(self, settings: SiteSettings, seed: int) -> None:
        self.settings, self.net = settings, Net(seed)
        self.top_priority = max(klass.priority for klass in settings.classes)
        self.nodes = [Node(self, at) for at in range(settings.nodes)]
        self.by_name = {node.name: node for node in self.nodes}
        self.schedulers = [Place(self, at, seed * 1000 + at) for at in range(settings.schedulers)]
        self.records: list[JobRecord] = []
        self.tasks: dict[int, JobRecord] = {}
        self.rows_listed = 0
        self._owners: dict[int, Place] = {}
        self._version = 1
        self._told: dict[str, tuple[float, float]] = {}
        entries = tuple(self._row(node) for node in self.nodes)
        for place in self.schedulers:
            place.take(api.MachineList(api.ListKind.FULL, 1, entries))
        self.net.call_at(self.net.now + settings.list_every_ns, self._list)

    def _row(self, node: Node) -> api.MachineEntry:
        settings, at = self.settings, node.at
        zone = at * settings.zones // settings.nodes
        cell = at // settings.nodes_in_rack
        cores, memory = node.admission.get_free_resources()
        return api.MachineEntry(node.name, api.Stage.SERVING, 0, zone, cell, 0, cores, memory)

    def _list(self) -> None:
        """What changed goes to every scheduler, as late as the directory is."""
        changed = []
        for node in self.nodes:
            free = node.admission.get_free_resources()
            if self._told.get(node.name) != free:
                self._told[node.name] = free
                changed.append(self._row(node))
        if changed:
            self._version += 1
            self.rows_listed += len(changed)
            event = api.MachineList(api.ListKind.CHANGES, self._version, tuple(changed))
            for place in self.schedulers:
                self.net.call_at(self.net.now + self.settings.list_delay_ns, place.take, event)
        self.net.call_at(self.net.now + self.settings.list_every_ns, self._list)

    def ask(self, place: Place, work: TaskSpec) -> JobRecord:
        """A job comes to one scheduler."""
        record = JobRecord(work, self.net.now)
        self.records.append(record)
        place.ask(record)
        return record

    def number(self, record: JobRecord, place: Place) -> int:
        """The next number of a task of the modules."""
        task = len(self.tasks)
        self.tasks[task] = record
        self._owners[task] = place
        return task

    def cancel(self, record: JobRecord) -> None:
        """The owner ends a job that runs."""
        if record.run is not None:
            self._owners[int(record.run[0])].stop(record.run)

    def running(self, key: RunKey) -> None:
        """A task has begun on its node."""
        task = int(key[0])
        record = self.tasks[task]
        if record.start_ns < 0:
            record.start_ns, record.run = self.net.now - record.asked_ns, key
        self.net.call_at(self.net.now + self.settings.hop_ns, self._owners[task].placed, key)

    def get_utilization(self) -> float:
        """Share of all cores that tasks have been admitted for."""
        used = sum(node.admission.used[0] for node in self.nodes)
        return used / (self.settings.nodes * self.settings.cores)
