"""Tasks between owners, the decision module and machines: carries out the module's actions and reports their
results to it.  Nothing is decided here.

An open task was requested and has no answer yet; a running task was answered.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from ladderhub import interface as api
from ladderhub.dispatcher import DeferredEvent, EventDispatcher
from ladderhub.decide import Scheduler
from ladderhub.decide.records import ANSWER_MARGIN_NS, NEVER_RAN
from ladderhub.loop import Loop
from ladderhub.platform.attempted_ids import AttemptedIds
from ladderhub.platform.conn import Loss, Offer, TaskEnd
from ladderhub.platform.links import Links
from ladderhub.platform.mapping import get_owner_cause, to_outcome, to_reason, to_topic
from ladderhub.platform.memory_budget import MemoryBudget
from ladderhub.platform.placing import Placer
from ladderhub.platform.report import Report
from ladderhub.platform.task import SetupRequest, Task
from ladderhub.platform.task_owner import TaskOwner
from ladderhub.signalling import Cause, Code, Kind, Message, State, Step

MS = 1_000_000
CAUSES_AFTER_ANSWER = (Cause.NORMAL, Cause.CANCELLED)  # a machine gives them for tasks that have run
POSTPONE_NS = 5 * MS  # until a set-up whose owner has sent more than was read is looked at again


class _TimedModule:
    """The decision module, with the time spent in it measured."""

    def __init__(self, module: Scheduler) -> None:
        self._module, self._spent_ns = module, 0

    def handle(self, now_ns: int, event: api.Event) -> Sequence[api.Action]:
        started_ns = time.perf_counter_ns()
        try:
            return self._module.handle(now_ns, event)
        finally:
            self._spent_ns += time.perf_counter_ns() - started_ns

    def take_ms(self) -> float:
        """Return the milliseconds spent in the module since the last call."""
        spent, self._spent_ns = self._spent_ns, 0
        return round(spent / MS, 1)


class Tasks:
    """Runs the decision module: executes its actions and receives the events of offers."""

    def __init__(
        self, loop: Loop, module: Scheduler, report: Report, memory: MemoryBudget[TaskOwner] | None = None
    ) -> None:
        """`memory`: what may be held for owners; without it there is no limit."""
        self._loop, self._report, self.module = loop, report, module
        self.memory: MemoryBudget[TaskOwner] = memory or MemoryBudget()
        self._timed_module = _TimedModule(module)
        self._dispatch = EventDispatcher(loop.now_ns, self._on_fault).register(self._timed_module, self)
        self._by_number: dict[int, Task] = {}
        self._by_id: dict[str, Task] = {}  # open and running
        self.placing = Placer(loop, ANSWER_MARGIN_NS, self._place_now)
        self._sending: Offer | None = None  # the one whose `Send` is being executed
        # By owner: they wait until what it has sent is read.
        self._postponed: dict[TaskOwner, list[Offer]] = {}
        self._attempted_ids = AttemptedIds()
        self._count = 0
        self.open_count = 0
        self._links: Links
        self.read_journal: Callable[[], None] = lambda: None  # reads pending events of the machine list
        self.notify_owner: Callable[[TaskOwner, Message], None] = lambda owner, message: owner.send(message)
        report.gauges["module_ms"] = self._timed_module.take_ms
        report.gauges["queued"] = self.placing.count_waiting
        report.gauges["held_mb"] = self.get_held_mb
        report.gauges["open"] = lambda: self.open_count
        report.gauges["standing"] = lambda: len(self._by_id) - self.open_count
        report.gauges["attempts_out"] = lambda: sum(1 for t in self._by_number.values() if t.offer)

    def set_links(self, links: Links) -> None:
        """Set the links to machines, which need this object to be created."""
        self._links = links

    def _on_fault(self, event: object, fault: Exception) -> None:
        self._report.trouble(f"decision on {type(event).__name__}", fault)
        self._on_event_done(event)

    # --- owners' messages ---------------------------------------------------------------------------------

    def find(self, id: str) -> Task | None:
        """The open or running task with this id."""
        return self._by_id.get(id)

    def has_room(self, owner: TaskOwner, request: SetupRequest) -> bool:
        """Whether there is memory for one more set-up of this owner."""
        return self.memory.may_hold(owner, request.estimate_bytes())

    def get_held_mb(self) -> float:
        """The memory that set-ups and unconfirmed releases take, as estimated, in megabytes."""
        return round(self.memory.total / 1e6, 1)

    def is_listed(self, machine: str) -> bool:
        """Whether the list names this machine."""
        return self._links.is_listed(machine)

    def may_have_run(self, id: str) -> bool:
        """Whether a set-up with this id, which must not be started twice, may have run before."""
        return self._attempted_ids.is_known(self._loop.now_ns(), id)

    def accept(self, owner: TaskOwner, request: SetupRequest, until_ns: int) -> Task:
        """Accept a set-up, which must be answered by `until_ns`.  The caller calls `place` once the owner's
        connection has recorded the task."""
        task = self._create_task(owner, request, until_ns)
        task.leg.step(Step.SETUP)
        self.open_count += 1
        task.deadline_timer = self._loop.call_at(task.until_ns, self._on_deadline, task)
        return task

    def place(self, task: Task) -> None:
        """Queue it to be placed, or refuse it if too many wait."""
        task.queued = self.placing.add(task)
        if not task.queued:
            self._report.count("refused.crowd")
            self._send_answer(task, Message(Kind.RELEASE, task.request.id, Cause.BUSY))

    def _place_now(self, task: Task) -> None:
        task.queued = False
        self._dispatch(DeferredEvent(lambda now: self._make_request_event(task, now)))

    def adopt(self, owner: TaskOwner, request: SetupRequest) -> Task:
        """Take over a task that already runs on a machine."""
        task = self._create_task(owner, request, self._loop.now_ns())  # no answer is waited for
        task.leg.step(Step.ADOPT)
        task.offer = offer = self._make_offer(task, request.machine, task.until_ns)
        self._dispatch(
            DeferredEvent(lambda now: api.TaskOpen(self._make_request_event(task, now), request.machine))
        )
        self._report.count("adopted")
        self._links.adopt(offer)
        return task

    def _create_task(self, owner: TaskOwner, request: SetupRequest, until_ns: int) -> Task:
        task = Task(self._count, request, owner, until_ns)
        self._count += 1
        self._by_number[task.number] = self._by_id[request.id] = task
        self.memory.add(owner, request.estimate_bytes())
        return task

    def _make_request_event(self, task: Task, now: int) -> api.TaskAsked:
        request = task.request
        return api.TaskAsked(
            task=task.number, key=request.key, klass=request.klass, service=request.service,
            cores=request.cores, memory=request.memory, budget_ns=max(0, task.until_ns - now),
            tenant=request.tenant,
        )  # fmt: skip

    def give_up(self, task: Task) -> None:
        """Cancel an open task, because its owner no longer waits for the answer."""
        if task.leg.state is not State.SET_UP:
            return
        self._report.count("owner.gave_up")
        task.withdrawing = True
        self._apply_owner_step(task, Step.RELEASE)
        self._withdraw(task)

    def _withdraw(self, task: Task) -> None:
        """Tell the module that no answer is needed any more, and cancel the attempt."""
        task.withdrawing = True
        self._dispatch(api.TaskWithdrawn(task.number))
        if task.offer is not None:
            self._cancel(task.offer)

    def end_running(self, task: Task, cause: int) -> None:
        """Release a running task at its machine because its owner ends it; the machine confirms that."""
        if task.leg.state is not State.ESTABLISHED or task.offer is None:
            return
        self._report.count("owner.ended")
        self._apply_owner_step(task, Step.RELEASE)
        self._links.release(task.offer, cause)

    def _apply_owner_step(self, task: Task, step: Step) -> None:
        """Apply the answer, or a step that ends the exchange, to the owner's side of the task."""
        if task.leg.state is State.SET_UP:
            self.open_count -= 1
            if task.deadline_timer is not None:
                task.deadline_timer.cancel()
        task.leg.step(step)
        if task.leg.state is State.OVER:
            if self._by_id.get(task.request.id) is task:
                del self._by_id[task.request.id]
            self._drop_if_done(task)

    def _drop_if_done(self, task: Task) -> None:
        # Until the module was told of the end, one of its earlier actions may still name the task.
        is_done = task.leg.state is State.OVER and task.offer is None and not task.withdrawing
        if is_done and self._by_number.pop(task.number, None) is not None:
            self.memory.remove(task.payer, task.request.estimate_bytes())

    def answer_all(self) -> None:
        """Have the module answer all open set-ups, as the process is about to end."""
        for task in [each for each in self._by_id.values() if each.leg.state is State.SET_UP]:
            if task.queued:
                task.until_ns = self._loop.now_ns()  # so that no attempt is started for it
                self._place_now(task)
            if task.leg.state is State.SET_UP:
                self._dispatch(api.AnswerDue(task.number))
                self._on_deadline(task)

    def _on_deadline(self, task: Task) -> None:
        """The deadline has passed.  A set-up that is still queued is refused by the module.  Otherwise the
        module missed the deadline, which only a defect in it can cause, and the set-up is failed here."""
        if task.is_waiting():
            self._place_now(task)
        if task.leg.state is State.SET_UP:
            self._report_unanswered(task)
            self._send_answer(task, Message(Kind.RELEASE, task.request.id, Cause.BROKEN))
            self._withdraw(task)

    def _report_unanswered(self, task: Task) -> None:
        """Log why the module may have missed the deadline: `over_ms` since the deadline, `due_ms` until the
        deadline that the module has, and the state of the attempt."""
        now, known, offer = self._loop.now_ns(), self.module.tasks.get(task.number), task.offer
        self._report.line(
            "unanswered", task=task.request.id, over_ms=(now - task.until_ns) // MS,
            due_ms=None if known is None else (known.deadline_ns - now) // MS, sent=task.attempt_count,
            placed=known is not None and known.placed, written=offer is not None and offer.written,
        )  # fmt: skip

    def _send_answer(self, task: Task, message: Message) -> None:
        owner = task.owner
        self._apply_owner_step(task, Step.ANSWER if message.kind is Kind.ANSWER else Step.RELEASE)
        owner.send(message)

    # --- the module's actions -----------------------------------------------------------------------------

    def execute(self, now: int, action: api.Action) -> None:
        """Execute one action of the decision module."""
        match action:
            case api.SetTimer(at, timer):
                self._loop.call_at(at, self._dispatch, api.TimerFired(timer))
            case api.Send(number, machine, timeout):
                self._send(now, self._by_number[number], machine, timeout)
            case api.Refuse(number, stay_away):
                fields: dict[str, str | int | float] = {"wait": stay_away // MS} if stay_away else {}
                self._reject(number, Cause.BUSY, fields, "refused")
            case api.Fail(number):
                self._reject(number, Cause.BROKEN, {}, "failed")
            case api.Abort(number, attempt):
                task = self._by_number.get(number)
                if task is not None and task.offer is not None and task.offer.attempt == attempt:
                    self._cancel(task.offer)
            case api.Move(number):
                self._move(number)
            case api.Log(text):
                self._report.line("module", text=text[:200])
            case _:
                self._report.line("not_carried_out", action=type(action).__name__)

    def on_handled(self, event: api.Event) -> None:
        self._on_event_done(event)

    def _on_event_done(self, event: object) -> None:
        """The module has handled this event, or raised an exception."""
        if isinstance(event, api.TaskWithdrawn) and event.task in self._by_number:
            task = self._by_number[event.task]
            task.withdrawing = False
            self._drop_if_done(task)

    def _reject(self, number: int, cause: int, fields: dict[str, str | int | float], what: str) -> None:
        task = self._by_number.get(number)
        if task is None or task.leg.state is not State.SET_UP:
            return
        self._report.count(f"answer.{what}.{task.request.klass_name}")
        self._send_answer(task, Message(Kind.RELEASE, task.request.id, cause, None, fields))

    def _move(self, number: int) -> None:
        task = self._by_number.get(number)
        if task is None or task.leg.state is not State.ESTABLISHED or task.offer is None:
            return
        self._report.count("moved")
        self._apply_owner_step(task, Step.MOVE)
        self.notify_owner(task.owner, Message(Kind.MOVE, task.request.id))
        self._links.release(task.offer, Cause.CANCELLED)

    def _make_offer(self, task: Task, machine: str, until_ns: int) -> Offer:
        request, attempt = task.request, task.attempt_count
        task.attempt_count += 1
        setup = Message(Kind.SETUP, request.id, None, request.description)
        setup.values = {Code.CLASS: request.klass_name, Code.KEY: request.key}
        repeatable = self.module.settings.classes[request.klass].effect is api.Effect.SAFE
        return Offer(task.number, attempt, machine, setup, self._loop.now_ns(), until_ns, repeatable)

    def _send(self, now: int, task: Task, machine: str, timeout: int | None) -> None:
        until = task.until_ns if timeout is None else min(task.until_ns, now + timeout)
        task.offer = self._sending = offer = self._make_offer(task, machine, until)
        self._report.count("attempts")
        if task.leg.state is State.SET_UP:
            self._links.send(offer)
        else:  # cancelled while the module decided
            self._end_attempt(offer, api.Outcome.NEVER_SENT)
        self._sending = None

    def confirm_send(self, offer: Offer) -> bool:
        task = self._find_task(offer)
        if task is None:
            return False
        if task.owner not in self._postponed:
            self._read_owner(task)
            if self._find_task(offer) is not task:
                return False
        if task.owner in self._postponed or task.owner.has_unread():
            # A cancellation or a close may lie there.  It is read in turn with what others have sent.
            self._postpone(task.owner, [offer])
            return False
        self.read_journal()
        if self._find_task(offer) is task and offer is not self._sending:
            # The module decided this a while ago, and may forbid the attempt by now.
            self._dispatch(api.AttemptLeaving(offer.number, offer.attempt))
        return self._find_task(offer) is task

    def _postpone(self, owner: TaskOwner, offers: list[Offer]) -> None:
        """Have these offers of one owner written a little later, if they are still wanted then."""
        if not self._postponed:
            self._loop.call_later(POSTPONE_NS, self._write_postponed)
        self._postponed.setdefault(owner, []).extend(offers)

    def _write_postponed(self) -> None:
        postponed, self._postponed = self._postponed, {}
        for owner, offers in postponed.items():
            wanted = [offer for offer in offers if self._find_task(offer) is not None]
            if wanted and owner.has_unread():
                self._postpone(owner, wanted)  # nothing is read from here: others come first
                continue
            for offer in wanted:
                self._links.write(offer)

    def _read_owner(self, task: Task) -> None:
        """Handle what the owner of an open task has sent: it may have cancelled or closed.

        There may be more than is read at once, and a close behind it counts all the same."""
        task.owner.read_pending()
        if task.leg.state is State.SET_UP and task.owner.has_left():
            self.give_up(task)

    def _cancel(self, offer: Offer) -> None:
        """Cancel an attempt at its machine."""
        self._links.give_up(offer)
        self._end_attempt(offer, api.Outcome.CANCELLED if offer.written else api.Outcome.NEVER_SENT)

    # --- machines' messages -------------------------------------------------------------------------------

    def _find_task(self, offer: Offer) -> Task | None:
        task = self._by_number.get(offer.number)
        return task if task is not None and task.offer is offer else None

    def on_answer(self, offer: Offer, description: str) -> None:
        task = self._find_task(offer)
        if task is not None:
            self._read_owner(task)
            if self._find_task(offer) is not task:
                return
        if task is None or task.leg.state is not State.SET_UP:
            # The owner was answered otherwise or cancelled in the meantime, so the task must not run.
            self._links.release(offer, Cause.NORMAL)
            return
        waited = self._loop.now_ns() - offer.sent_ns
        self._report.count(f"answer.placed.{task.request.klass_name}")
        self._dispatch(api.TaskPlaced(offer.number, offer.attempt, offer.machine, waited))
        self._send_answer(task, Message(Kind.ANSWER, task.request.id, None, description))

    def on_release(self, offer: Offer, cause: int | None, note: str | None) -> None:
        outcome = to_outcome(cause, offer.started)
        if offer.started:
            self._on_task_end(offer, cause, outcome)
        self._end_attempt(offer, outcome, to_reason(note), f"cause {cause} {note or ''}")

    def on_note(self, offer: Offer, note: str | None, figure: float) -> None:
        topic = to_topic(note)
        if topic is not None and self._find_task(offer) is not None:
            self._dispatch(api.TaskNote(offer.number, offer.attempt, offer.machine, topic, figure))

    def on_unreached(self, offer: Offer) -> None:
        self._end_attempt(offer, api.Outcome.UNREACHABLE)

    def on_unsent(self, offer: Offer) -> None:
        self._end_attempt(offer, api.Outcome.NEVER_SENT)

    def on_broken(self, offer: Offer, why: str) -> None:
        self._record_loss(offer)
        self._on_task_end(offer, Cause.BROKEN, api.Outcome.LOST)
        self._end_attempt(offer, api.Outcome.LOST, why=why)

    def on_overdue(self, offer: Offer) -> None:
        self._record_loss(offer)
        self._end_attempt(offer, api.Outcome.TIMED_OUT)

    def _record_loss(self, offer: Offer) -> None:
        """Record that its owner is told of the end of this attempt, and looks whether the task runs."""
        task = self._find_task(offer)
        if task is not None and offer.written and not offer.repeatable:
            offer.loss = Loss(task.owner, self._loop.now_ns())

    def on_end_after_loss(self, offer: Offer, end: TaskEnd) -> None:
        """Tell the end of a task whose attempt was given up before, while it may have run.

        Its owner waits for a while then.  If it has found the task running after that, it has handed it to
        another scheduler, which the machine need not tell of the end."""
        loss, settle_ns = offer.loss, self.module.settings.settle_ns
        if loss is None or not settle_ns or self.find(offer.id) is not None:
            return
        has_run = offer.started or end.cause in CAUSES_AFTER_ANSWER
        if has_run and self._loop.now_ns() >= loss.told_ns + settle_ns:
            offer.loss = None  # a machine may report an end twice
            self._report.line("task.cut", machine=offer.machine, task=offer.id)
            self.notify_owner(loss.owner, Message(Kind.RELEASE, offer.id, get_owner_cause(end.cause)))

    def _on_task_end(self, offer: Offer, cause: int | None, outcome: api.Outcome) -> None:
        """A running task has ended: notify its owner, unless the owner ended it or had it moved.

        A machine reports that it was cancelled also if a scheduler caused that which does not hold it any
        more, such as this one, by a release of an earlier attempt."""
        task = self._find_task(offer)
        if task is None or task.leg.state is not State.ESTABLISHED:
            return
        self._report.count(f"over.{outcome.name.lower()}")
        self._apply_owner_step(task, Step.RELEASE)
        if outcome is api.Outcome.CANCELLED:
            self._report.line("task.cut", machine=offer.machine, task=offer.id)
        self.notify_owner(task.owner, Message(Kind.RELEASE, task.request.id, get_owner_cause(cause)))

    def _end_attempt(
        self, offer: Offer, outcome: api.Outcome, reason: api.Reason = api.Reason.UNKNOWN, why: str = ""
    ) -> None:
        """Report the end of an attempt to the module, exactly once."""
        task = self._find_task(offer)
        if task is None:
            return
        self._report.count(f"attempt.{outcome.name.lower()}")
        self._report.count(f"at.{offer.machine}.{outcome.name.lower()}")
        if outcome not in (api.Outcome.DONE, api.Outcome.REFUSED, api.Outcome.CANCELLED):
            self._report.line(
                "attempt", machine=offer.machine, outcome=outcome.name.lower(), task=offer.id, why=why,
                after_ms=(self._loop.now_ns() - offer.sent_ns) // MS,
            )  # fmt: skip
        effect = self.module.settings.classes[task.request.klass].effect
        if effect is api.Effect.UNSAFE and outcome not in NEVER_RAN:
            self._attempted_ids.add(self._loop.now_ns(), offer.id)
        task.offer = None
        concluded = task.leg.state is not State.SET_UP
        waited = self._loop.now_ns() - offer.sent_ns
        self._drop_if_done(task)
        self._dispatch(
            api.AttemptEnded(offer.number, offer.attempt, offer.machine, outcome, reason, concluded, waited)
        )

    def report_machine_list(self, event: api.MachineList) -> None:
        """Tell the module of changes of the machine list."""
        self._dispatch(event)
