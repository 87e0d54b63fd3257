"""Simulates placement: the decision modules of several schedulers place jobs on many emulated nodes.

Schedulers run the production `decide.Scheduler` and nodes the production `node.admission`.  The network, the
directory's lists and the jobs are emulated.  With `charged`, the measured processor time of a scheduler's
decisions counts as simulated time, and events queue as on one core.  Without it, a seed always gives the same
run.
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
    """Sizes and times of one simulation.

    A refused job is asked for again after `retry_delay_ns` (first and longest delay, doubling), within
    `limit_ns` and within the scheduler's retry budget, as `serve` does by default.  A start takes `warm_ns`,
    or `cold_times` as long if the service's program is not warm on the node.  Evaluating an offer takes a
    time within the range `evaluation_ns`."""

    nodes: int
    schedulers: int
    classes: tuple[api.TaskClass, ...]
    tenants: tuple[api.Tenant, ...] = ()
    cores: float = 4.0
    memory: float = 16.0
    network_delay_ns: int = MS // 2
    evaluation_ns: tuple[int, int] = (6 * MS, 30 * MS)
    warm_ns: int = 60 * MS
    cold_times: float = 9.0
    list_every_ns: int = 200 * MS
    list_delay_ns: int = S
    limit_ns: int = 20 * S
    retry_delay_ns: tuple[int, int] = (500 * MS, 4 * S)
    retry_share: float = 0.5
    retry_burst: float = 200.0
    max_asks: int = 8
    nodes_per_rack: int = 20
    zones: int = 4
    charged: bool = False

    def build_module_settings(self, ordinal: int) -> api.Settings:
        """Builds the settings of one scheduler's decision module."""
        return api.Settings(
            classes=self.classes, kinds=(api.MachineKind(self.cores, self.memory),), tenants=self.tenants,
            schedulers=self.schedulers, ordinal=ordinal, max_attempts=3, first_at_running=True,
            list_shows_room=True, unreached_count=False,
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """Resources, lifetime and start budget of a task to place."""

    klass: int
    tenant: int
    service: str
    cores: float
    memory: float
    life_ns: int
    budget_ns: int


@dataclass(slots=True)
class JobRecord:
    """State of one job.

    `start_ns`: time from the first request to the start; -1 until it starts.  `refused`: it was refused for
    good and is not retried."""

    spec: TaskSpec
    asked_ns: int
    start_ns: int = -1
    refused: bool = False
    offers: int = 0
    asks: int = 0
    run: RunKey | None = None


class Node:
    """One emulated node: its `Admission` decides, evaluations, starts and runs take simulated time."""

    def __init__(self, site: Site, index: int) -> None:
        self.site, self.name, self.index = site, f"m{index:05}", index
        settings = site.settings
        self.admission = Admission(NodeSettings(settings.cores, settings.memory), site.net.now)
        self._answers: dict[RunKey, Callable[[api.Outcome, api.Reason], None]] = {}
        self._specs: dict[RunKey, TaskSpec] = {}

    def offer(self, key: RunKey, spec: TaskSpec, answer: Callable[[api.Outcome, api.Reason], None]) -> None:
        """Enqueues an offer for evaluation; `answer` is called once, when the attempt ends."""
        request = Offer(key, spec.service, spec.cores, spec.memory, tenant=str(spec.tenant))
        self._answers[key], self._specs[key] = answer, spec
        refusal = self.admission.enqueue(self.site.net.now, request)
        if refusal is not None:
            self._refuse(key, refusal.code)
            return
        self._begin_evaluation()

    def _refuse(self, key: RunKey, code: str) -> None:
        self._specs.pop(key)
        self._answers.pop(key)(api.Outcome.REFUSED, _REASONS[code])

    def _begin_evaluation(self) -> None:
        request = self.admission.begin_evaluation()
        if request is not None:
            net = self.site.net
            span = net.random.randint(*self.site.settings.evaluation_ns)
            net.call_at(net.now + span, self._finish_evaluation, request.key)

    def _finish_evaluation(self, key: RunKey) -> None:
        net = self.site.net
        refusal = self.admission.finish_evaluation(net.now)
        if refusal is not None:
            if key in self._specs:
                self._refuse(key, refusal.code)
        elif key not in self._specs:  # the scheduler stopped the attempt in the meantime
            self.admission.release_resources(key)
        else:
            net.call_at(net.now + 2 * self.site.settings.network_delay_ns, self._commit, key)
        self._begin_evaluation()

    def _commit(self, key: RunKey) -> None:
        if key in self._specs and self.admission.commit(key):
            self._begin_starts()

    def _begin_starts(self) -> None:
        net, settings = self.site.net, self.site.settings
        while (next_start := self.admission.begin_next_start()) is not None:
            request, warm = next_start
            span = settings.warm_ns * (1.0 if warm else settings.cold_times) * net.random.uniform(0.85, 1.15)
            net.call_at(net.now + round(span), self._finish_start, request.key)

    def _finish_start(self, key: RunKey) -> None:
        if key not in self._specs:
            return
        self.admission.mark_started(key)
        self.site.report_running(key)
        self.site.net.call_at(self.site.net.now + self._specs[key].life_ns, self._finish_run, key)
        self._begin_starts()

    def _finish_run(self, key: RunKey) -> None:
        if self._specs.pop(key, None) is None:
            return
        self.admission.release_resources(key)
        self._answers.pop(key)(api.Outcome.DONE, api.Reason.UNKNOWN)
        self._begin_starts()

    def stop_attempt(self, key: RunKey) -> None:
        """Ends an attempt that its scheduler gave up, without an answer."""
        if self._specs.pop(key, None) is not None:
            self._answers.pop(key)
            self.admission.withdraw(key)
            self._begin_starts()


@dataclass(slots=True)
class ProcessorTime:
    """Processor time of the decision module by kind of event."""

    count: Counter[str] = field(default_factory=Counter)
    ns: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    max_wait_ns: int = 0  # longest time an event was queued, if time is charged

    def get_total_ns(self) -> int:
        """Returns the processor time of all events."""
        return sum(self.ns.values())

    def get_mean_us(self, kind: str) -> float:
        """Returns the mean time per event of this kind in microseconds."""
        return self.ns[kind] / self.count[kind] / 1000 if self.count[kind] else 0.0


class SchedulerHost:
    """One scheduler: passes events to its decision module in order and executes the actions."""

    def __init__(self, site: Site, ordinal: int, seed: int) -> None:
        self.site, self.ordinal = site, ordinal
        self.module = Scheduler(site.settings.build_module_settings(ordinal), seed)
        self.spent = ProcessorTime()
        self._queue: deque[tuple[int, api.Event]] = deque()
        self._busy = False
        self.retry_budget = site.settings.retry_burst
        self._attempts: Counter[int] = Counter()
        self._open_attempts: dict[RunKey, tuple[Node, int]] = {}

    def receive(self, event: api.Event) -> None:
        """Handles an event now, or queues it if processor time is charged."""
        if not self.site.settings.charged:
            self._handle(event)
            return
        self._queue.append((self.site.net.now, event))
        if not self._busy:
            self._handle_next()

    def _handle_next(self) -> None:
        self._busy = bool(self._queue)
        if self._busy:
            received_ns, event = self._queue.popleft()
            self.spent.max_wait_ns = max(self.spent.max_wait_ns, self.site.net.now - received_ns)
            spent_ns = self._handle(event)
            self.site.net.call_at(self.site.net.now + spent_ns, self._handle_next)

    def _handle(self, event: api.Event) -> int:
        started_ns = time.thread_time_ns()
        actions = self.module.handle(self.site.net.now, event)
        spent_ns = time.thread_time_ns() - started_ns
        kind = type(event).__name__
        if isinstance(event, api.TimerFired):
            kind = "Sweep" if event.timer == 0 else "Deadline"
        self.spent.count[kind] += 1
        self.spent.ns[kind] += spent_ns
        delay = spent_ns if self.site.settings.charged else 0
        for action in actions:
            self._execute(action, delay)
        return spent_ns

    def _execute(self, action: api.Action, delay: int) -> None:
        net = self.site.net
        if isinstance(action, api.SetTimer):
            net.call_at(max(net.now, action.at_ns), self.receive, api.TimerFired(action.timer))
        elif isinstance(action, api.Send):
            self._send(action, delay)
        elif isinstance(action, api.Refuse | api.Fail):
            self._cancel_last_attempt(action.task)
            self._on_refused(self.site.tasks[action.task])

    def ask(self, record: JobRecord) -> None:
        """Asks the decision module to place a job."""
        settings, spec = self.site.settings, record.spec
        if not record.asks:
            self.retry_budget = min(settings.retry_burst, self.retry_budget + settings.retry_share)
        record.asks += 1
        task, remaining_ns = (
            self.site.assign_task(record, self),
            record.asked_ns + settings.limit_ns - self.site.net.now,
        )
        self.receive(
            api.TaskAsked(
                task=task, key=str(task), klass=spec.klass, service=spec.service, cores=spec.cores,
                memory=spec.memory, budget_ns=min(spec.budget_ns, remaining_ns), tenant=spec.tenant,
                came_again=record.asks > 1,
            )
        )  # fmt: skip

    def _on_refused(self, record: JobRecord) -> None:
        """Retries later, as `owner.decide` does: the last part of the budget is for the most urgent class."""
        settings, now = self.site.settings, self.site.net.now
        first_delay_ns, max_delay_ns = settings.retry_delay_ns
        urgent = settings.classes[record.spec.klass].priority >= self.site.top_priority
        retry_delay_ns = round(
            min(max_delay_ns, first_delay_ns << record.asks - 1) * self.site.net.random.uniform(0.75, 1.25)
        )
        if self.retry_budget >= (1.0 if urgent else 1.0 + PRIORITY_RESERVE * settings.retry_burst):
            self.retry_budget -= 1
        else:
            retry_delay_ns = max_delay_ns
        if record.asks >= settings.max_asks or now + retry_delay_ns >= record.asked_ns + settings.limit_ns:
            record.refused = True
            return
        self.site.net.call_at(now + retry_delay_ns, self.ask, record)

    def _send(self, send: api.Send, delay: int) -> None:
        site, attempt = self.site, self._attempts[send.task]
        self._attempts[send.task] += 1
        key = (str(send.task), attempt)
        record = site.tasks[send.task]
        record.offers += 1
        node = site.by_name[send.machine]
        self._open_attempts[key] = (node, attempt)

        def answer(outcome: api.Outcome, reason: api.Reason) -> None:
            site.net.call_at(
                site.net.now + site.settings.network_delay_ns, self._end_attempt, key, outcome, reason
            )

        arrival_ns = site.net.now + delay + site.settings.network_delay_ns
        site.net.call_at(arrival_ns, node.offer, key, record.spec, answer)
        if send.timeout_ns is not None:
            site.net.call_at(site.net.now + delay + send.timeout_ns, self._on_timeout, key)

    def _on_timeout(self, key: RunKey) -> None:
        if key in self._open_attempts and self.site.tasks[int(key[0])].start_ns < 0:
            self._open_attempts[key][0].stop_attempt(key)
            self._end_attempt(key, api.Outcome.TIMED_OUT, api.Reason.UNKNOWN)

    def _cancel_last_attempt(self, task: int) -> None:
        """Stops the last attempt of a task that was refused or failed, if it is still open."""
        self.stop_attempt((str(task), self._attempts[task] - 1))

    def stop_attempt(self, key: RunKey) -> None:
        """Stops an attempt, if it is still open."""
        if key in self._open_attempts:
            self._open_attempts[key][0].stop_attempt(key)
            self.site.net.call_at(
                self.site.net.now, self._end_attempt, key, api.Outcome.CANCELLED, api.Reason.UNKNOWN
            )

    def report_placed(self, key: RunKey) -> None:
        """Reports to the decision module that the task runs."""
        if key in self._open_attempts:
            node, attempt = self._open_attempts[key]
            self.receive(api.TaskPlaced(int(key[0]), attempt, node.name))

    def _end_attempt(self, key: RunKey, outcome: api.Outcome, reason: api.Reason) -> None:
        found = self._open_attempts.pop(key, None)
        if found is None:
            return
        node, attempt = found
        task, done = int(key[0]), outcome is api.Outcome.DONE
        report = api.LoadReport(*node.admission.get_free_resources()) if done else None
        if done:
            self._attempts.pop(task, None)
        self.receive(api.AttemptEnded(task, attempt, node.name, outcome, reason, done, 0, report))


class Site:
    """Nodes, schedulers and the directory's lists, in simulated time."""

    def __init__(self, settings: SiteSettings, seed: int) -> None:
        self.settings, self.net = settings, Net(seed)
        self.top_priority = max(klass.priority for klass in settings.classes)
        self.nodes = [Node(self, index) for index in range(settings.nodes)]
        self.by_name = {node.name: node for node in self.nodes}
        self.schedulers = [
            SchedulerHost(self, index, seed * 1000 + index) for index in range(settings.schedulers)
        ]
        self.records: list[JobRecord] = []
        self.tasks: dict[int, JobRecord] = {}
        self.rows_listed = 0
        self._owners: dict[int, SchedulerHost] = {}
        self._version = 1
        self._listed_resources: dict[str, tuple[float, float]] = {}
        entries = tuple(self._build_entry(node) for node in self.nodes)
        for scheduler in self.schedulers:
            scheduler.receive(api.MachineList(api.ListKind.FULL, 1, entries))
        self.net.call_at(self.net.now + settings.list_every_ns, self._publish_list)

    def _build_entry(self, node: Node) -> api.MachineEntry:
        settings, index = self.settings, node.index
        zone = index * settings.zones // settings.nodes
        cell = index // settings.nodes_per_rack
        cores, memory = node.admission.get_free_resources()
        return api.MachineEntry(node.name, api.Stage.SERVING, 0, zone, cell, 0, cores, memory)

    def _publish_list(self) -> None:
        """Sends nodes that changed to every scheduler, after the delay of the directory."""
        changed = []
        for node in self.nodes:
            free = node.admission.get_free_resources()
            if self._listed_resources.get(node.name) != free:
                self._listed_resources[node.name] = free
                changed.append(self._build_entry(node))
        if changed:
            self._version += 1
            self.rows_listed += len(changed)
            event = api.MachineList(api.ListKind.CHANGES, self._version, tuple(changed))
            for scheduler in self.schedulers:
                self.net.call_at(self.net.now + self.settings.list_delay_ns, scheduler.receive, event)
        self.net.call_at(self.net.now + self.settings.list_every_ns, self._publish_list)

    def ask(self, scheduler: SchedulerHost, spec: TaskSpec) -> JobRecord:
        """Submits a job to one scheduler."""
        record = JobRecord(spec, self.net.now)
        self.records.append(record)
        scheduler.ask(record)
        return record

    def assign_task(self, record: JobRecord, scheduler: SchedulerHost) -> int:
        """Assigns the next task number to a job of this scheduler."""
        task = len(self.tasks)
        self.tasks[task] = record
        self._owners[task] = scheduler
        return task

    def cancel(self, record: JobRecord) -> None:
        """Cancels a running job for its owner."""
        if record.run is not None:
            self._owners[int(record.run[0])].stop_attempt(record.run)

    def report_running(self, key: RunKey) -> None:
        """Records that a task has started on its node, and tells its scheduler."""
        task = int(key[0])
        record = self.tasks[task]
        if record.start_ns < 0:
            record.start_ns, record.run = self.net.now - record.asked_ns, key
        self.net.call_at(self.net.now + self.settings.network_delay_ns, self._owners[task].report_placed, key)

    def get_utilization(self) -> float:
        """Returns the share of all cores that admitted tasks use."""
        used = sum(node.admission.used[0] for node in self.nodes)
        return used / (self.settings.nodes * self.settings.cores)
