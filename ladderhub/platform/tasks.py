"""Tasks between owners, the decision module and machines: carries out what the module says, and tells it what
came of that.  Nothing is chosen here.

An open task has been asked for and has no answer; a standing one has been answered and runs.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from ladderhub import interface as api
from ladderhub.dispatcher import DeferredEvent, EventDispatcher
from ladderhub.decide import Scheduler
from ladderhub.decide.records import ANSWER_MARGIN_NS
from ladderhub.loop import Loop
from ladderhub.platform.conn import Offer
from ladderhub.platform.links import Links
from ladderhub.platform.mapping import to_outcome, to_reason, to_topic
from ladderhub.platform.placing import Placing
from ladderhub.platform.report import Report
from ladderhub.platform.task import Asked, OwnerLine, Task
from ladderhub.signalling import Cause, Code, Kind, Message, State, Step

MS = 1_000_000


class _Timed:
    """The module, with the time spent in it."""

    def __init__(self, module: Scheduler) -> None:
        self._module, self._spent_ns = module, 0

    def handle(self, now_ns: int, event: api.Event) -> Sequence[api.Action]:
        begun = time.perf_counter_ns()
        try:
            return self._module.handle(now_ns, event)
        finally:
            self._spent_ns += time.perf_counter_ns() - begun

    def take_ms(self) -> float:
        """Milliseconds since the last call."""
        spent, self._spent_ns = self._spent_ns, 0
        return round(spent / MS, 1)


class Tasks:
    """Carrier of the decision module, and the one who hears of offers."""

    def __init__(self, loop: Loop, module: Scheduler, report: Report) -> None:
        self._loop, self._report, self.module = loop, report, module
        self._timed = _Timed(module)
        self._tell = EventDispatcher(loop.now_ns, self._fault).register(self._timed, self)
        self._by_number: dict[int, Task] = {}
        self._by_id: dict[str, Task] = {}  # open and standing
        self.placing = Placing(loop, ANSWER_MARGIN_NS, self._place_now)
        self._sending: Offer | None = None  # the one whose `Send` is being carried out
        self._count = 0
        self.open = 0
        self._links: Links
        self.look_at_list: Callable[[], None] = lambda: None  # read what is told of machines
        self.tell_over: Callable[[OwnerLine, Message], None] = lambda line, message: line.put(message)
        report.gauges["module_ms"] = self._timed.take_ms
        report.gauges["queued"] = self.placing.waiting
        report.gauges["open"] = lambda: self.open
        report.gauges["standing"] = lambda: len(self._by_id) - self.open
        report.gauges["attempts_out"] = lambda: sum(1 for t in self._by_number.values() if t.offer)

    def join(self, links: Links) -> None:
        self._links = links

    def _fault(self, event: object, fault: Exception) -> None:
        self._report.trouble(f"decision on {type(event).__name__}", fault)
        self._heard(event)

    # --- what owners say ----------------------------------------------------------------------------------

    def find(self, id: str) -> Task | None:
        return self._by_id.get(id)

    def take(self, line: OwnerLine, asked: Asked, until_ns: int) -> Task:
        """Take a set-up; its answer is owed from here on, until `until_ns`.  `place` is due once its line
        knows of it."""
        task = self._new(line, asked, until_ns)
        task.leg.step(Step.SETUP)
        self.open += 1
        task.backstop = self._loop.call_at(task.until_ns, self._no_answer, task)
        return task

    def place(self, task: Task) -> None:
        """Have it placed in its turn, or refused where too many wait."""
        task.queued = self.placing.add(task)
        if not task.queued:
            self._report.count("refused.crowd")
            self._answer(task, Message(Kind.RELEASE, task.asked.id, Cause.BUSY))

    def _place_now(self, task: Task) -> None:
        task.queued = False
        self._tell(DeferredEvent(lambda now: self._asked_event(task, now)))

    def adopt(self, line: OwnerLine, asked: Asked) -> Task:
        """A task that stands already and is now this scheduler's to look after."""
        task = self._new(line, asked, self._loop.now_ns())  # nobody waits for it
        task.leg.step(Step.ADOPT)
        task.offer = offer = self._offer(task, asked.machine, task.until_ns)
        self._tell(DeferredEvent(lambda now: api.TaskOpen(self._asked_event(task, now), asked.machine)))
        self._report.count("adopted")
        self._links.adopt(offer)
        return task

    def _new(self, line: OwnerLine, asked: Asked, until_ns: int) -> Task:
        task = Task(self._count, asked, line, until_ns)
        self._count += 1
        self._by_number[task.number] = self._by_id[asked.id] = task
        return task

    def _asked_event(self, task: Task, now: int) -> api.TaskAsked:
        asked = task.asked
        return api.TaskAsked(
            task=task.number, key=asked.key, klass=asked.klass, service=asked.service, cores=asked.cores,
            memory=asked.memory, budget_ns=max(0, task.until_ns - now), tenant=asked.tenant,
        )  # fmt: skip

    def give_up(self, task: Task) -> None:
        """The owner no longer waits for an answer."""
        if task.leg.state is not State.SET_UP:
            return
        self._report.count("owner.gave_up")
        task.withdrawing = True
        self._settle(task, Step.RELEASE)
        self._withdraw(task)

    def _withdraw(self, task: Task) -> None:
        """No answer is owed any more."""
        task.withdrawing = True
        self._tell(api.TaskWithdrawn(task.number))
        if task.offer is not None:
            self._cancel(task.offer)

    def end_standing(self, task: Task, cause: int) -> None:
        """Its owner ends a task that runs.  The machine is told; its word on the end still comes."""
        if task.leg.state is not State.ESTABLISHED or task.offer is None:
            return
        self._report.count("owner.ended")
        self._settle(task, Step.RELEASE)
        self._links.release(task.offer, cause)

    def _settle(self, task: Task, step: Step) -> None:
        """The owner's leg takes a step that ends it, or its answer."""
        if task.leg.state is State.SET_UP:
            self.open -= 1
            if task.backstop is not None:
                task.backstop.cancel()
        task.leg.step(step)
        if task.leg.state is State.OVER:
            if self._by_id.get(task.asked.id) is task:
                del self._by_id[task.asked.id]
            self._drop(task)

    def _drop(self, task: Task) -> None:
        # Danger: until the module has heard of the end, an action decided before may still name the task.
        if task.leg.state is State.OVER and task.offer is None and not task.withdrawing:
            self._by_number.pop(task.number, None)

    def answer_now(self) -> None:
        """The process is about to end: each set-up that waits gets its answer, by the module's word."""
        for task in [each for each in self._by_id.values() if each.leg.state is State.SET_UP]:
            if task.queued:
                task.until_ns = self._loop.now_ns()  # no attempt may begin for it
                self._place_now(task)
            if task.leg.state is State.SET_UP:
                self._tell(api.AnswerDue(task.number))
                self._no_answer(task)

    def _no_answer(self, task: Task) -> None:
        """The time is over: a set-up that never had its turn is refused by the module; else the module let
        the deadline pass, which only a fault of its own can bring about."""
        if task.waits():
            self._place_now(task)
        if task.leg.state is State.SET_UP:
            self._report_unanswered(task)
            self._answer(task, Message(Kind.RELEASE, task.asked.id, Cause.BROKEN))
            self._withdraw(task)

    def _report_unanswered(self, task: Task) -> None:
        """Log what tells why the module did not answer by itself: `over_ms` since the task's time was over,
        `due_ms` until the module holds it to be, the state of its attempt."""
        now, known, offer = self._loop.now_ns(), self.module.tasks.get(task.number), task.offer
        self._report.line(
            "unanswered", task=task.asked.id, over_ms=(now - task.until_ns) // MS,
            due_ms=None if known is None else (known.deadline_ns - now) // MS, sent=task.sent,
            placed=known is not None and known.placed, written=offer is not None and offer.written,
        )  # fmt: skip

    def _answer(self, task: Task, message: Message) -> None:
        line = task.line
        self._settle(task, Step.ANSWER if message.kind is Kind.ANSWER else Step.RELEASE)
        line.put(message)

    # --- what the module decides --------------------------------------------------------------------------

    def execute(self, now: int, action: api.Action) -> None:
        match action:
            case api.SetTimer(at, timer):
                self._loop.call_at(at, self._tell, api.TimerFired(timer))
            case api.Send(number, machine, timeout):
                self._send(now, self._by_number[number], machine, timeout)
            case api.Refuse(number, stay_away):
                fields: dict[str, str | int | float] = {"wait": stay_away // MS} if stay_away else {}
                self._final(number, Cause.BUSY, fields, "refused")
            case api.Fail(number):
                self._final(number, Cause.BROKEN, {}, "failed")
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
        self._heard(event)

    def _heard(self, event: object) -> None:
        """The module has heard this event, or failed over it."""
        if isinstance(event, api.TaskWithdrawn) and event.task in self._by_number:
            task = self._by_number[event.task]
            task.withdrawing = False
            self._drop(task)

    def _final(self, number: int, cause: int, fields: dict[str, str | int | float], what: str) -> None:
        task = self._by_number.get(number)
        if task is None or task.leg.state is not State.SET_UP:
            return
        self._report.count(f"answer.{what}.{task.asked.klass_name}")
        self._answer(task, Message(Kind.RELEASE, task.asked.id, cause, None, fields))

    def _move(self, number: int) -> None:
        task = self._by_number.get(number)
        if task is None or task.leg.state is not State.ESTABLISHED or task.offer is None:
            return
        self._report.count("moved")
        self._settle(task, Step.MOVE)
        self.tell_over(task.line, Message(Kind.MOVE, task.asked.id))
        self._links.release(task.offer, Cause.CANCELLED)

    def _offer(self, task: Task, machine: str, until_ns: int) -> Offer:
        asked, attempt = task.asked, task.sent
        task.sent += 1
        setup = Message(Kind.SETUP, asked.id, None, asked.description)
        setup.values = {Code.CLASS: asked.klass_name, Code.KEY: asked.key}
        repeatable = self.module.settings.classes[asked.klass].effect is api.Effect.SAFE
        return Offer(task.number, attempt, machine, setup, self._loop.now_ns(), until_ns, repeatable)

    def _send(self, now: int, task: Task, machine: str, timeout: int | None) -> None:
        until = task.until_ns if timeout is None else min(task.until_ns, now + timeout)
        task.offer = self._sending = offer = self._offer(task, machine, until)
        self._report.count("attempts")
        if task.leg.state is State.SET_UP:
            self._links.send(offer)
        else:  # given up while this was being decided
            self._ended(offer, api.Outcome.NEVER_SENT)
        self._sending = None

    def confirm_send(self, offer: Offer) -> bool:
        task = self._task_of(offer)
        if task is None:
            return False
        task.line.look()
        self.look_at_list()
        if self._task_of(offer) is task and offer is not self._sending:
            # Decided a while ago: whatever forbids an attempt may have come about since.
            self._tell(api.AttemptLeaving(offer.number, offer.attempt))
        return self._task_of(offer) is task

    def _cancel(self, offer: Offer) -> None:
        """Give an attempt up at its machine."""
        self._links.give_up(offer)
        self._ended(offer, api.Outcome.CANCELLED if offer.written else api.Outcome.NEVER_SENT)

    # --- what machines say --------------------------------------------------------------------------------

    def _task_of(self, offer: Offer) -> Task | None:
        task = self._by_number.get(offer.number)
        return task if task is not None and task.offer is offer else None

    def on_answer(self, offer: Offer, description: str) -> None:
        task = self._task_of(offer)
        if task is not None:
            task.line.look()  # nobody may be there for it any more
            if self._task_of(offer) is not task:
                return
        if task is None or task.leg.state is not State.SET_UP:
            # The owner has had another word meanwhile: what stands now must not.
            self._links.release(offer, Cause.NORMAL)
            return
        waited = self._loop.now_ns() - offer.sent_ns
        self._report.count(f"answer.placed.{task.asked.klass_name}")
        self._tell(api.TaskPlaced(offer.number, offer.attempt, offer.machine, waited))
        self._answer(task, Message(Kind.ANSWER, task.asked.id, None, description))

    def on_release(self, offer: Offer, cause: int | None, note: str | None) -> None:
        outcome = to_outcome(cause, offer.started)
        if offer.started:
            self._over(offer, cause if cause is not None else Cause.BROKEN, outcome)
        self._ended(offer, outcome, to_reason(note), f"cause {cause} {note or ''}")

    def on_note(self, offer: Offer, note: str | None, figure: float) -> None:
        topic = to_topic(note)
        if topic is not None and self._task_of(offer) is not None:
            self._tell(api.TaskNote(offer.number, offer.attempt, offer.machine, topic, figure))

    def on_unreached(self, offer: Offer) -> None:
        self._ended(offer, api.Outcome.UNREACHABLE)

    def on_unsent(self, offer: Offer) -> None:
        self._ended(offer, api.Outcome.NEVER_SENT)

    def on_broken(self, offer: Offer, why: str) -> None:
        self._over(offer, Cause.BROKEN, api.Outcome.LOST)
        self._ended(offer, api.Outcome.LOST, why=why)

    def on_overdue(self, offer: Offer) -> None:
        self._ended(offer, api.Outcome.TIMED_OUT)

    def _over(self, offer: Offer, cause: int, outcome: api.Outcome) -> None:
        """What stood is over: its owner is told, unless the owner ended it."""
        task = self._task_of(offer)
        if task is None or task.leg.state is not State.ESTABLISHED:
            return
        self._report.count(f"over.{outcome.name.lower()}")
        self._settle(task, Step.RELEASE)
        if outcome is not api.Outcome.CANCELLED:
            self.tell_over(task.line, Message(Kind.RELEASE, task.asked.id, cause))

    def _ended(
        self, offer: Offer, outcome: api.Outcome, reason: api.Reason = api.Reason.UNKNOWN, why: str = ""
    ) -> None:
        """The one end of an attempt, told to the module."""
        task = self._task_of(offer)
        if task is None:
            return
        self._report.count(f"attempt.{outcome.name.lower()}")
        self._report.count(f"at.{offer.machine}.{outcome.name.lower()}")
        if outcome not in (api.Outcome.DONE, api.Outcome.REFUSED, api.Outcome.CANCELLED):
            self._report.line(
                "attempt", machine=offer.machine, outcome=outcome.name.lower(), task=offer.id, why=why,
                after_ms=(self._loop.now_ns() - offer.sent_ns) // MS,
            )  # fmt: skip
        task.offer = None
        concluded = task.leg.state is not State.SET_UP
        waited = self._loop.now_ns() - offer.sent_ns
        self._drop(task)
        self._tell(
            api.AttemptEnded(offer.number, offer.attempt, offer.machine, outcome, reason, concluded, waited)
        )

    def tell_list(self, event: api.MachineList) -> None:
        self._tell(event)
