"""The scheduler: its events, the path of a task, and the doors for offers and final answers."""

from collections.abc import Callable
from typing import Any

from ladderhub import interface as api
from ladderhub.decide.accounts import TELL_NS, Ledger, Telling
from ladderhub.decide.ends import learn_end
from ladderhub.decide.estimates import Estimates
from ladderhub.decide.fleet import Fleet
from ladderhub.decide.picking import Picking
from ladderhub.decide.records import ANSWER_MARGIN_NS, MS, NEVER_RAN, Attempt, Machine, Task
from ladderhub.decide.rules import Rules
from ladderhub.decide.waiting import Waiting
from ladderhub.decide.warmth import Warmth

HOLD_STEP_NS = 20 * MS  # how often waiting tasks are looked at again
SWEEP_TIMER, TELL_TIMER = 0, 1  # a task's own timer bears its number and two


class Scheduler:
    """Decides for one scheduler.  Feed it events in order; carry out its actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.tasks: dict[int, Task] = {}
        self.warmth = Warmth(settings)
        self.fleet = Fleet(settings)
        self.ledger, self.rules, self.telling = Ledger(settings), Rules(settings), Telling(settings)
        self.estimates = Estimates(settings, self.warmth)
        self.waiting = Waiting(settings, self.fleet, self.rules)
        self.waiting_tasks = self.waiting.held
        self.picker = Picking(settings, seed, self.fleet, self.ledger, self.rules, self.estimates)
        self._sweep_set = self._tell_set = False
        self._out: list[api.Action] = []
        self._hear: dict[type, Callable[[int, Any], None]] = {
            api.TaskAsked: self._on_asked, api.AttemptEnded: self._on_ended, api.TaskNote: self._on_news,
            api.TaskPlaced: self._on_news, api.MachineList: self._on_list, api.TimerFired: self._on_timer,
            api.TaskOpen: self._on_open, api.TaskWithdrawn: lambda _, event: self._end(event.task),
            api.SeatShare: lambda _, event: self.rules.share(event), api.ProbeAnswered: lambda _, event: None,
            api.AttemptLeaving: self._on_leaving, api.SettingsChanged: self._on_settings,
            api.AnswerDue: lambda _, event: self._give_up(self.tasks[event.task]),
            api.PeerMessage: lambda _, event: self.telling.hear(event, self.fleet.machines.values()),
        }  # fmt: skip

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """Take one event and give the actions it calls for.  Probes, each paid for, are not used."""
        self._out = []
        if self.rules.born_ns < 0:
            self.rules.born_ns = now_ns
        self._hear[type(event)](now_ns, event)
        if self.waiting_tasks and not self._sweep_set:
            self._sweep_set = True
            self._out.append(api.SetTimer(now_ns + HOLD_STEP_NS, SWEEP_TIMER))
        if self.telling.changed and self.telling.allowed and not self._tell_set:
            self._tell_set = True
            self._out.append(api.SetTimer(now_ns + TELL_NS, TELL_TIMER))
        return self._out

    def _on_list(self, now: int, event: api.MachineList) -> None:
        for name in self.fleet.follow(now, event):
            self.telling.changed.pop(name, None)

    def _on_settings(self, now: int, event: api.SettingsChanged) -> None:
        """Go on by other settings.  Nothing is forgotten but what follows from settings alone."""
        self.rules.change(now, event.settings)
        parts: tuple[Any, ...] = (self, self.fleet, self.ledger, self.estimates, self.picker, self.waiting)
        for part in parts:
            part.settings = event.settings
        self.fleet.forget_derived()

    def _on_asked(self, now: int, asked: api.TaskAsked) -> None:
        if asked.task in self.tasks:
            return
        task = self.tasks[asked.task] = Task(asked, self.settings, now)
        self._out.append(api.SetTimer(max(now, task.deadline_ns - ANSWER_MARGIN_NS), asked.task + 2))
        self._place(now, task)

    def _on_open(self, now: int, event: api.TaskOpen) -> None:
        task = self.tasks[event.asked.task] = Task(event.asked, self.settings, now)
        task.sent, task.placed = 1, True
        task.attempt = attempt = Attempt(0, self.fleet.unlisted(event.machine), now)
        attempt.started = now
        self._charge(now, task, attempt, running=True)

    def _place(self, now: int, task: Task) -> None:
        """Send the task, or hold it, or give up where no further attempt can be allowed."""
        if not self.rules.may_go(now, task):
            self._give_up(task)
        elif (machine := self.picker.pick(now, task)) is not None:
            self.waiting_tasks.pop(task.asked.task, None)
            self._send(now, task, machine)
        else:
            self.waiting_tasks[task.asked.task] = task

    def _on_timer(self, now: int, event: api.TimerFired) -> None:
        task = self.tasks.get(event.timer - 2)
        if event.timer == SWEEP_TIMER:
            self._sweep_set = False
            self.waiting.sweep(now, self._place)
        elif event.timer == TELL_TIMER:
            self._tell_set = False
            self._out += self.telling.tell()
        elif task is not None and now >= task.deadline_ns - ANSWER_MARGIN_NS:
            self._give_up(task)

    def _send(self, now: int, task: Task, machine: Machine) -> None:
        if not (self.rules.may_go(now, task) and self.rules.may_send(now, task, machine)):
            return
        task.attempt = attempt = Attempt(task.sent, machine, now)
        attempt.line_ns = round(self.estimates.line(now, machine))
        attempt.held = task.asked.service in machine.active_services
        if not attempt.held:
            attempt.depth = machine.depth_of(task.asked.service)
            attempt.level = self.fleet.homes_of(task).get(machine.id)
        attempt.own_ns = round(self.estimates.own_figure(now, task, machine, attempt.level))
        task.sent, task.spent = task.sent + 1, task.spent + 1
        if machine.ready_ns:
            machine.sends.append(now)
        machine.start_queue[task.asked.task] = attempt
        self._charge(now, task, attempt)
        self._out.append(api.Send(task.asked.task, machine.id, self.estimates.timeout(now, task, attempt)))

    def _give_up(self, task: Task) -> None:
        """The one final answer of a task that was not placed: refused where that is true, else failed."""
        if task.ended or task.placed:
            return
        self._out.append((api.Refuse if self.rules.may_refuse(task) else api.Fail)(task.asked.task))
        may_abort = self.settings.may_abort and task.promise.effect is not api.Effect.UNSAFE
        if task.attempt is not None and may_abort:
            self._out.append(api.Abort(task.asked.task, task.attempt.number))
        self._end(task.asked.task)

    def _end(self, number: int) -> None:
        """No more is owed; the task is forgotten once no attempt is out."""
        task = self.tasks.get(number)
        if task is not None:
            task.ended = True
            self.waiting_tasks.pop(number, None)
            if task.attempt is None:
                del self.tasks[number]

    def _told(self, event: Any) -> tuple[Task, Attempt] | None:
        """The task and the attempt that the event tells of, while that attempt is out."""
        task = self.tasks.get(event.task)
        attempt = task.attempt if task is not None else None
        return (task, attempt) if task and attempt and attempt.number == event.attempt else None

    def _on_leaving(self, now: int, event: api.AttemptLeaving) -> None:
        told = self._told(event)
        if told is not None and not self.rules.may_leave(now, *told):
            self._out.append(api.Abort(event.task, event.attempt))

    def _on_news(self, now: int, event: api.TaskPlaced | api.TaskNote) -> None:
        if (told := self._told(event)) is None:
            return
        task, attempt = told
        if isinstance(event, api.TaskPlaced):
            task.placed = True
            attempt.machine.rests, attempt.machine.errors = {}, 0
            self.estimates.accept.add(now - attempt.sent_ns)
            if self.settings.first_at_running:
                self.estimates.started(now, task, attempt)
        elif event.topic is api.Topic.RUNNING:
            self.estimates.started(now, task, attempt)
        elif event.topic is api.Topic.SERVICE_LEVEL:
            attempt.machine.notes[0] = (now, max(0.0, 1 - event.level))
        elif event.topic is api.Topic.MACHINE_MEMORY:
            attempt.machine.notes[1] = (now, event.level)
        else:
            self.ledger.learn_use(now, task, attempt, event)

    def _on_ended(self, now: int, event: api.AttemptEnded) -> None:
        machines = self.fleet.machines
        if event.report is not None and event.machine in machines:
            self.ledger.read_report(now, machines[event.machine], event.report)
        if (told := self._told(event)) is None:
            return
        task, attempt = told
        learn_end(self.settings, now, task, attempt, event)
        self._release(now, task, attempt)
        if event.outcome not in NEVER_RAN and task.maybe_ran is None:
            task.maybe_ran = (attempt.machine, attempt.sent_ns)
        task.attempt = None
        if event.concluded or task.ended or task.placed:
            self._end(event.task)
        else:
            self._place(now, task)

    def _charge(self, now: int, task: Task, attempt: Attempt, running: bool = False) -> None:
        self.rules.count(task, attempt.machine, +1)
        self.telling.changed[attempt.machine.id] = attempt.machine
        self.ledger.charge(now, task, attempt, running)

    def _release(self, now: int, task: Task, attempt: Attempt) -> None:
        attempt.machine.start_queue.pop(task.asked.task, None)
        self.rules.count(task, attempt.machine, -1)
        if attempt.is_current():
            self.telling.changed[attempt.machine.id] = attempt.machine
            self.ledger.release(now, task, attempt)
