"""The scheduler: handles events, follows each task, and sends all offers and final answers."""

from collections.abc import Callable
from typing import Any

from ladderhub import interface as api
from ladderhub.decide.accounts import PEER_UPDATE_INTERVAL_NS, Ledger, PeerUpdates
from ladderhub.decide.ends import record_end
from ladderhub.decide.estimates import Estimates
from ladderhub.decide.fleet import Fleet
from ladderhub.decide.picking import MachinePicker
from ladderhub.decide.records import ANSWER_MARGIN_NS, MS, NEVER_RAN, Attempt, Machine, Task
from ladderhub.decide.rules import Rules
from ladderhub.decide.waiting import WaitQueue
from ladderhub.decide.warmth import Warmth

SWEEP_INTERVAL_NS = 20 * MS  # between two sweeps over the waiting tasks
SWEEP_TIMER, PEER_UPDATE_TIMER = 0, 1  # the timer of a task has the task's number plus two


class Scheduler:
    """Makes the decisions of one scheduler.  Pass it events in order; carry out its actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.tasks: dict[int, Task] = {}
        self.warmth = Warmth(settings)
        self.fleet = Fleet(settings)
        self.ledger, self.rules, self.peer_updates = Ledger(settings), Rules(settings), PeerUpdates(settings)
        self.estimates = Estimates(settings, self.warmth)
        self.wait_queue = WaitQueue(settings, self.fleet, self.rules)
        self.waiting_tasks = self.wait_queue.tasks
        self.picker = MachinePicker(settings, seed, self.fleet, self.ledger, self.rules, self.estimates)
        self._sweep_timer_set = self._update_timer_set = False
        self._actions: list[api.Action] = []
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            api.TaskAsked: self._on_asked, api.AttemptEnded: self._on_ended, api.TaskNote: self._on_progress,
            api.TaskPlaced: self._on_progress, api.MachineList: self._on_list, api.TimerFired: self._on_timer,
            api.TaskOpen: self._on_open, api.TaskWithdrawn: lambda _, event: self._end(event.task),
            api.SeatShare: lambda _, event: self.rules.set_ordinals(event),
            api.ProbeAnswered: lambda _, event: None,
            api.AttemptLeaving: self._on_leaving, api.SettingsChanged: self._on_settings,
            api.AnswerDue: lambda _, event: self._give_up(self.tasks[event.task]),
            api.PeerMessage: lambda _, event: self.peer_updates.apply_update(
                event, self.fleet.machines.values()
            ),
        }  # fmt: skip

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions it calls for.  Probes are not used: each has a price."""
        self._actions = []
        if self.rules.started_ns < 0:
            self.rules.started_ns = now_ns
        self._handlers[type(event)](now_ns, event)
        if self.waiting_tasks and not self._sweep_timer_set:
            self._sweep_timer_set = True
            self._actions.append(api.SetTimer(now_ns + SWEEP_INTERVAL_NS, SWEEP_TIMER))
        if self.peer_updates.changed_machines and self.peer_updates.is_enabled and not self._update_timer_set:
            self._update_timer_set = True
            self._actions.append(api.SetTimer(now_ns + PEER_UPDATE_INTERVAL_NS, PEER_UPDATE_TIMER))
        return self._actions

    def _on_list(self, now: int, event: api.MachineList) -> None:
        for name in self.fleet.apply_list(now, event):
            self.peer_updates.changed_machines.pop(name, None)

    def _on_settings(self, now: int, event: api.SettingsChanged) -> None:
        """Apply new settings.  All state is kept, except caches that follow from the settings alone."""
        self.rules.change_settings(now, event.settings)
        parts: tuple[Any, ...] = (self, self.fleet, self.ledger, self.estimates, self.picker, self.wait_queue)
        for part in parts:
            part.settings = event.settings
        self.fleet.clear_caches()

    def _on_asked(self, now: int, asked: api.TaskAsked) -> None:
        if asked.task in self.tasks:
            return
        task = self.tasks[asked.task] = Task(asked, self.settings, now)
        self._actions.append(api.SetTimer(max(now, task.deadline_ns - ANSWER_MARGIN_NS), asked.task + 2))
        self._place(now, task)

    def _on_open(self, now: int, event: api.TaskOpen) -> None:
        task = self.tasks[event.asked.task] = Task(event.asked, self.settings, now)
        task.sent_count, task.placed = 1, True
        task.attempt = attempt = Attempt(0, self.fleet.get_or_add(event.machine), now)
        attempt.started_ns = now
        self._charge(now, task, attempt, running=True)

    def _place(self, now: int, task: Task) -> None:
        """Send the task, or let it wait, or give up where the rules allow no further attempt."""
        if not self.rules.may_attempt(now, task):
            self._give_up(task)
        elif (machine := self.picker.pick(now, task)) is not None:
            self.waiting_tasks.pop(task.asked.task, None)
            self._send(now, task, machine)
        else:
            self.waiting_tasks[task.asked.task] = task

    def _on_timer(self, now: int, event: api.TimerFired) -> None:
        task = self.tasks.get(event.timer - 2)
        if event.timer == SWEEP_TIMER:
            self._sweep_timer_set = False
            self.wait_queue.sweep(now, self._place)
        elif event.timer == PEER_UPDATE_TIMER:
            self._update_timer_set = False
            self._actions += self.peer_updates.make_updates()
        elif task is not None and now >= task.deadline_ns - ANSWER_MARGIN_NS:
            self._give_up(task)

    def _send(self, now: int, task: Task, machine: Machine) -> None:
        if not (self.rules.may_attempt(now, task) and self.rules.may_send(now, task, machine)):
            return
        task.attempt = attempt = Attempt(task.sent_count, machine, now)
        attempt.queue_delay_ns = round(self.estimates.estimate_queue_delay(now, machine))
        attempt.was_active = task.asked.service in machine.active_services
        if not attempt.was_active:
            attempt.cache_depth = machine.get_cache_depth(task.asked.service)
            attempt.tier = self.fleet.get_preferred(task).get(machine.id)
        attempt.expected_start_ns = round(self.estimates.estimate_start(now, task, machine, attempt.tier))
        task.sent_count, task.used_attempts = task.sent_count + 1, task.used_attempts + 1
        if machine.ready_ns:
            machine.offer_times.append(now)
        machine.start_queue[task.asked.task] = attempt
        self._charge(now, task, attempt)
        self._actions.append(
            api.Send(task.asked.task, machine.id, self.estimates.choose_timeout(now, task, attempt))
        )

    def _give_up(self, task: Task) -> None:
        """Give the one final answer of a task that was not placed: refused if that is true, else failed."""
        if task.ended or task.placed:
            return
        self._actions.append((api.Refuse if self.rules.may_refuse(task) else api.Fail)(task.asked.task))
        may_abort = self.settings.may_abort and task.accepted_class.effect is not api.Effect.UNSAFE
        if task.attempt is not None and may_abort:
            self._actions.append(api.Abort(task.asked.task, task.attempt.number))
        self._end(task.asked.task)

    def _end(self, number: int) -> None:
        """Mark the task as ended: no answer is due.  It is dropped once no attempt is open."""
        task = self.tasks.get(number)
        if task is not None:
            task.ended = True
            self.waiting_tasks.pop(number, None)
            if task.attempt is None:
                del self.tasks[number]

    def _find_attempt(self, event: Any) -> tuple[Task, Attempt] | None:
        """Return the task and attempt that the event is about, while that attempt is open."""
        task = self.tasks.get(event.task)
        attempt = task.attempt if task is not None else None
        return (task, attempt) if task and attempt and attempt.number == event.attempt else None

    def _on_leaving(self, now: int, event: api.AttemptLeaving) -> None:
        found = self._find_attempt(event)
        if found is not None and not self.rules.may_still_send(now, *found):
            self._actions.append(api.Abort(event.task, event.attempt))

    def _on_progress(self, now: int, event: api.TaskPlaced | api.TaskNote) -> None:
        if (found := self._find_attempt(event)) is None:
            return
        task, attempt = found
        if isinstance(event, api.TaskPlaced):
            task.placed = True
            attempt.machine.backoffs, attempt.machine.consecutive_errors = {}, 0
            self.estimates.accept_time.add(now - attempt.sent_ns)
            if self.settings.first_at_running:
                self.estimates.record_start(now, task, attempt)
        elif event.topic is api.Topic.RUNNING:
            self.estimates.record_start(now, task, attempt)
        elif event.topic is api.Topic.SERVICE_LEVEL:
            attempt.machine.pressure_notes[0] = (now, max(0.0, 1 - event.level))
        elif event.topic is api.Topic.MACHINE_MEMORY:
            attempt.machine.pressure_notes[1] = (now, event.level)
        else:
            self.ledger.learn_use(now, task, attempt, event)

    def _on_ended(self, now: int, event: api.AttemptEnded) -> None:
        machines = self.fleet.machines
        if event.report is not None and event.machine in machines:
            self.ledger.read_report(now, machines[event.machine], event.report)
        if (found := self._find_attempt(event)) is None:
            return
        task, attempt = found
        record_end(self.settings, now, task, attempt, event)
        self._release(now, task, attempt)
        if event.outcome not in NEVER_RAN and task.first_possible_run is None:
            task.first_possible_run = (attempt.machine, attempt.sent_ns)
        task.attempt = None
        if event.concluded or task.ended or task.placed:
            self._end(event.task)
        else:
            self._place(now, task)

    def _charge(self, now: int, task: Task, attempt: Attempt, running: bool = False) -> None:
        self.rules.adjust_spread(task, attempt.machine, +1)
        self.peer_updates.changed_machines[attempt.machine.id] = attempt.machine
        self.ledger.charge(now, task, attempt, running)

    def _release(self, now: int, task: Task, attempt: Attempt) -> None:
        attempt.machine.start_queue.pop(task.asked.task, None)
        self.rules.adjust_spread(task, attempt.machine, -1)
        if attempt.is_current():
            self.peer_updates.changed_machines[attempt.machine.id] = attempt.machine
            self.ledger.release(now, task, attempt)
