"""Every decision of a ladderhub scheduler.  Its types, events and actions stand in `interface.py`.

The path of a task: `_on_asked` takes it and sets the timer for its answer; `_place` looks for a machine with
`_pick`, which strikes out machines (`_may_send`, `_fits`) and takes the lowest estimated time to start
(`_time_to_start`); `_send` is the one door for offers; `_on_placed` and `_on_note` learn from the start;
`_on_ended` settles the attempt and, where the task is still owed an answer, places it again or gives up by
`_give_up`, the one door for refusals and failures.  A task that finds no machine waits in `_held`.
"""

from __future__ import annotations

import random
import struct
import zlib
from collections import OrderedDict, deque
from collections.abc import Iterable

from ladderhub.interface import Abort, Action, AttemptEnded, Effect, Event, Fail, ListKind, LoadReport
from ladderhub.interface import MachineEntry, MachineList, Outcome, PeerMessage, Reason, Refuse, Scope, Send
from ladderhub.interface import SetTimer, Settings, Stage, TaskAsked, TaskNote, TaskOpen
from ladderhub.interface import TaskPlaced, TaskWithdrawn, Tell, TimerFired, Topic

MS = 1_000_000
S = 1_000 * MS
FIRST_WARM_NS = 250 * MS  # figures before anything was seen: a cold start is worth avoiding,
FIRST_COLD_NS = 2 * S  # yet not at the price of a long line
FIGURE_WEIGHT = 0.05  # weight of one start in a class's warm or cold figure: some 20 starts of memory
LINE_WEIGHT = 0.05  # weight of one start in the share of a line that is really waited
DEPTH_WEIGHT = 0.1  # weight of one start in the belief that programs so long unused are still kept
KEPT_MOST = 16  # kept programs remembered for each machine; deeper ones have nearly always gone
FLUSH_DOUBT = 0.3  # trust left in a machine's kept programs after one of them was missing
TRUST_BACK = 0.5  # how much of the missing trust a kept program that was found gives back
NEAR_SHARE, NEAR_NS = 0.1, 30 * MS  # sums this close are equal: estimates are no better than this
SLOW_WEIGHT = 0.2  # weight of one start in a machine's own pace
SLOW_MOST = 10.0  # no evidence makes a machine look slower than this
SLOW_HALF_NS = 8 * S  # a slow machine that gets nothing proves nothing: doubt halves in this time
REST_FIRST_NS, REST_MOST_NS = 600 * MS, 8 * S  # who turned work away is tried again at doubling spans
VIEW_LAG_NS = 600 * MS  # usual age of a list's free figures or a load report when it comes
OTHER_WEIGHT = 0.3  # weight of one view in what the other schedulers are thought to hold
NOTE_FRESH_NS = 3 * S  # a note on pressure speaks for this long
FIRST_CORES, FIRST_MEMORY = 0.6, 0.8  # use against asked before any note came
USE_WEIGHT = 0.15  # weight of one note in a service's use
CLASS_USE_WEIGHT = 0.02  # and in its class's
GROW_NS = 10 * S  # a task's memory still grows while it is younger
SERVICES_MOST = 5_000  # services remembered for their use
MEMORY_CALM = 0.9  # machines slow down, then evict, as memory use nears the whole
POOR_FILL = 0.3  # fill added where tasks got no service at all, in proportion above that
EASY = 0.8  # projected use over the calm level up to which crowding costs nothing
HOLD_STEP_NS = 20 * MS  # how often waiting tasks are looked at again
ANSWER_MARGIN_NS = 40 * MS  # the final answer leaves this long before the deadline
TIMEOUT_LEAST_NS = 1_500 * MS  # shortest time-out of a repeatable offer
TIMEOUT_TIMES = 2.0  # and as a multiple of the time a cold start would take: most cold starts must end in it
ACCEPT_LEAST_NS, ACCEPT_TIMES = 1 * S, 8.0  # the same where machines answer on acceptance, by its average
COLD_WINDOW_SLACK = 1.25  # offers spread on their way: the cold budget's window is taken this much longer

TELL_NS = 200 * MS  # how often peers are told what changed: cheap, and fresher than any list
SWEEP_TIMER, TELL_TIMER = 0, 1

TOLD = struct.Struct(">IHH")  # a machine's number, cores and memory asked for there, in TOLD_PARTS of a unit
TOLD_PARTS = 8
NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT})


class _Account:
    """Cores and memory on one machine: this scheduler's share exactly, the rest from late readings.

    The rest is the smoothed gap between a reading and the own share at the time it speaks of."""

    def __init__(self) -> None:
        self.own = [0.0, 0.0]
        self.other = [0.0, 0.0]
        self.seen = False
        self.peers: dict[int, tuple[float, float]] = {}  # what each other scheduler told that it holds
        self.history: deque[tuple[int, float, float]] = deque()

    def add(self, now: int, cores: float, memory: float) -> None:
        self.own[0] += cores
        self.own[1] += memory
        self.history.append((now, self.own[0], self.own[1]))

    def add_running(self, cores: float, memory: float) -> None:
        """A task that ran before it was told of: earlier readings held it, then as somebody else's."""
        for at, amount in enumerate((cores, memory)):
            self.own[at] += amount
            if self.seen:
                self.other[at] -= amount
        self.history = deque((when, c + cores, m + memory) for when, c, m in self.history)
        if not self.history:
            self.history.append((0, cores, memory))

    def observe(self, now: int, totals: tuple[float, float]) -> None:
        then = now - VIEW_LAG_NS
        while len(self.history) > 1 and self.history[1][0] <= then:
            self.history.popleft()
        old = self.history[0][1:] if self.history and self.history[0][0] <= then else (0.0, 0.0)
        weight = OTHER_WEIGHT if self.seen else 1.0
        for at in (0, 1):
            self.other[at] += weight * (totals[at] - old[at] - self.other[at])
        self.seen = True

    def total(self, at: int, schedulers: int) -> float:
        if self.seen:
            return self.own[at] + self.other[at]
        if self.peers:
            return self.own[at] + sum(held[at] for held in self.peers.values())
        return self.own[at] * schedulers


class _Machine:
    """What is known of one machine; all but `shut` and `placed` starts anew when it restarts."""

    def __init__(self, entry: MachineEntry, listed: bool, classes: int) -> None:
        self.classes = classes
        self.id, self.kind, self.zone, self.cell = entry.machine, entry.kind, entry.zone, entry.cell
        self.shut = not listed
        self.placed: dict[str, int] = {}  # attempts and open tasks without an outcome, by service
        self.restart(entry.ready_ns)

    def restart(self, ready_ns: int) -> None:
        self.ready_ns = ready_ns
        self.line: dict[int, _Attempt] = {}  # offers sent and not yet running, oldest first
        self.line_sum = 0  # their estimates
        self.held: dict[str, int] = {}  # services with tasks or offers of ours here
        self.kept: OrderedDict[str, None] = OrderedDict()  # services whose last task ended, oldest first
        self.trust = 1.0
        self.asked, self.used = _Account(), _Account()
        self.told: tuple[float, float] | None = None
        self.slow, self.slow_ns = 1.0, 0
        self.rests = [0] * self.classes  # by class, until when nothing is offered
        self.spans = [REST_FIRST_NS] * self.classes
        self.memory_note: tuple[int, float] = (-NOTE_FRESH_NS, 0.0)
        self.poor_note: tuple[int, float] = (-NOTE_FRESH_NS, 0.0)
        self.sends: deque[int] = deque()

    def slow_at(self, now: int) -> float:
        return 1 + (self.slow - 1) * float(0.5 ** ((now - self.slow_ns) / SLOW_HALF_NS))

    def rest(self, now: int, classes: Iterable[int]) -> None:
        """Nothing of these classes for a while, twice as long each time until one is placed here."""
        for klass in classes:
            if self.rests[klass] <= now:
                self.rests[klass] = now + self.spans[klass]
                self.spans[klass] = min(REST_MOST_NS, 2 * self.spans[klass])

    def leave_line(self, task: int) -> None:
        attempt = self.line.pop(task, None)
        if attempt is not None:
            self.line_sum -= attempt.own_ns


class _Attempt:
    """One offer: where, when, and what it was expected to take."""

    def __init__(self, number: int, machine: _Machine, sent_ns: int) -> None:
        self.number, self.machine, self.sent_ns = number, machine, sent_ns
        self.ready_ns = machine.ready_ns
        self.own_ns = self.line_ns = 0
        self.depth: int | None = None  # how many kept programs were used more lately; None if not from there
        self.cold = False
        self.started: int | None = None
        self.use = [0.0, 0.0]


class _Task:
    """One task from its asking to the outcome of its last attempt."""

    def __init__(self, asked: TaskAsked, now: int) -> None:
        self.asked, self.klass = asked, asked.klass
        self.deadline_ns = now + asked.budget_ns
        self.sent = 0
        self.attempt: _Attempt | None = None
        self.placed = self.ended = False
        self.maybe_ran: tuple[_Machine, int] | None = None  # first attempt that may have run
        self.struck: set[str] = set()


class Scheduler:
    """Decides for one scheduler.  Feed it events in order; carry out its actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._random = random.Random(seed)
        self._machines: dict[str, _Machine] = {}
        self._tasks: dict[int, _Task] = {}
        self._held: dict[int, _Task] = {}
        self._sweep_set = self._tell_set = False
        self._timers: dict[int, int] = {}
        self._next_timer = TELL_TIMER + 1
        self._warm = [float(FIRST_WARM_NS)] * len(settings.classes)
        self._cold = [float(FIRST_COLD_NS)] * len(settings.classes)
        self._accept = 0.0  # average time to acceptance, where that is the first answer
        self._line_share = 1.0  # how much of a line is really waited: starts run side by side
        self._depth = [1.0 - at / KEPT_MOST for at in range(KEPT_MOST)]
        self._class_use = [[FIRST_CORES, FIRST_MEMORY] for _ in settings.classes]
        self._service_use: OrderedDict[str, list[float]] = OrderedDict()
        self._out: list[Action] = []

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event at its time and give the actions it calls for."""
        self._out = []
        match event:
            case TaskAsked():
                self._on_asked(now_ns, event)
            case AttemptEnded():
                self._on_ended(now_ns, event)
            case TaskNote():
                self._on_note(now_ns, event)
            case TaskPlaced():
                self._on_placed(now_ns, event)
            case MachineList():
                self._on_list(now_ns, event)
            case TimerFired():
                self._on_timer(now_ns, event.timer)
            case TaskOpen():
                self._on_open(now_ns, event)
            case TaskWithdrawn():
                self._end(event.task)
            case PeerMessage():
                self._on_message(event)
            case _:
                pass  # probes are not used
        self._need_tell(now_ns)
        return self._out

    # --- the machine list -------------------------------------------------------------------------------

    def _on_list(self, now: int, event: MachineList) -> None:
        if event.kind is ListKind.FAILED:
            return
        for entry in event.entries:
            machine = self._machines.get(entry.machine)
            if machine is None:
                machine = self._machines[entry.machine] = _Machine(entry, True, len(self.settings.classes))
            elif entry.ready_ns > machine.ready_ns:
                machine.restart(entry.ready_ns)
            machine.kind, machine.zone, machine.cell = entry.kind, entry.zone, entry.cell
            machine.shut = entry.stage is not Stage.SERVING
            if self.settings.list_shows_room and not machine.shut:
                size = self.settings.kinds[machine.kind]
                free = (size.cores - entry.free_cores, size.memory - entry.free_memory)
                machine.asked.observe(now, free)
        if event.kind is not ListKind.CHANGES:
            listed = {entry.machine for entry in event.entries}
            for machine in self._machines.values():
                if machine.id not in listed:
                    machine.shut = True

    # --- asking, placing, holding -----------------------------------------------------------------------

    def _on_asked(self, now: int, asked: TaskAsked) -> None:
        if asked.task in self._tasks:
            return
        task = self._tasks[asked.task] = _Task(asked, now)
        self._set_timer(max(now, task.deadline_ns - ANSWER_MARGIN_NS), asked.task)
        self._place(now, task)

    def _on_open(self, now: int, event: TaskOpen) -> None:
        machine = self._machines.get(event.machine)
        if machine is None:
            entry = MachineEntry(event.machine, Stage.GONE)
            machine = self._machines[event.machine] = _Machine(entry, False, len(self.settings.classes))
        task = self._tasks[event.asked.task] = _Task(event.asked, now)
        task.sent, task.placed = 1, True
        task.attempt = attempt = _Attempt(0, machine, now)
        attempt.started = now
        self._charge(now, task, attempt, running=True)

    def _place(self, now: int, task: _Task) -> None:
        """Send the task, or hold it, or give up where no further attempt can be allowed."""
        late = now >= task.deadline_ns - ANSWER_MARGIN_NS
        if late or task.sent >= self.settings.max_attempts or not self._may_repeat(now, task):
            self._give_up(task)
        else:
            machine = self._pick(now, task)
            if machine is not None:
                self._held.pop(task.asked.task, None)
                self._send(now, task, machine)
            else:
                self._held[task.asked.task] = task
                self._need_sweep(now)

    def _need_sweep(self, now: int) -> None:
        if self._held and not self._sweep_set:
            self._sweep_set = True
            self._out.append(SetTimer(now + HOLD_STEP_NS, SWEEP_TIMER))

    def _sweep(self, now: int) -> None:
        """Look again at the tasks that wait: the highest class first, the oldest first within it."""
        classes, vain = self.settings.classes, set()
        for task in sorted(self._held.values(), key=lambda held: -classes[held.klass].priority):
            like = (task.klass, task.asked.service, task.asked.cores, task.asked.memory, bool(task.struck))
            if like not in vain:
                self._place(now, task)
                if task.asked.task in self._held:
                    vain.add(like)
        self._need_sweep(now)

    def _on_timer(self, now: int, timer: int) -> None:
        if timer == SWEEP_TIMER:
            self._sweep_set = False
            self._sweep(now)
            return
        if timer == TELL_TIMER:
            self._tell_set = False
            self._tell()
            return
        task = self._tasks.get(self._timers.pop(timer, -1))
        if task is not None and not task.placed and not task.ended:
            self._give_up(task)

    def _set_timer(self, at_ns: int, task: int) -> None:
        self._timers[self._next_timer] = task
        self._out.append(SetTimer(at_ns, self._next_timer))
        self._next_timer += 1

    # --- the pick ---------------------------------------------------------------------------------------

    def _pick(self, now: int, task: _Task) -> _Machine | None:
        """The design's rule: of the machines not struck out, the lowest estimated time to start."""
        fills = [
            (self._fill(now, task, machine), machine)
            for machine in self._machines.values()
            if machine.id not in task.struck
            and machine.rests[task.klass] <= now
            and self._may_send(now, task, machine)
            and self._fits(task, machine)
        ]
        if not fills:
            return None
        sums = [
            (self._time_to_start(now, task, machine) + self._crowding(fill, task), fill, machine)
            for fill, machine in fills
        ]
        best = min(total for total, _, _ in sums)
        band = best * (1 + NEAR_SHARE) + NEAR_NS
        near = [(fill, machine) for total, fill, machine in sums if total <= band]
        if self.settings.price_cross_zone > 0:
            near = [pair for pair in near if pair[1].zone == self.settings.zone] or near
        pack = self.settings.price_machines_in_use > 0
        self._random.shuffle(near)
        return (max if pack else min)(near, key=lambda pair: pair[0])[1]

    def _fits(self, task: _Task, machine: _Machine) -> bool:
        """Room by what is asked, which is what machines refuse by."""
        if not self.settings.kinds:
            return True
        settings = self.settings
        size = settings.kinds[machine.kind]
        cores = machine.asked.total(0, settings.schedulers) + task.asked.cores
        memory = machine.asked.total(1, settings.schedulers) + task.asked.memory
        return cores <= size.cores * settings.admit_cores and memory <= size.memory * settings.admit_memory

    def _fill(self, now: int, task: _Task, machine: _Machine) -> float:
        """Use of the tighter of cores and memory, the task included, over what serves in full."""
        if not self.settings.kinds:
            return 0.0
        size = self.settings.kinds[machine.kind]
        cores_ratio, memory_ratio = self._use_of(task.asked)
        cores = self._used(machine, 0) + cores_ratio * task.asked.cores
        memory = self._used(machine, 1)
        if now - machine.memory_note[0] < NOTE_FRESH_NS:
            memory = max(memory, machine.memory_note[1] * size.memory)
        memory += memory_ratio * task.asked.memory
        calm = self.settings.classes[task.klass].calm_level
        fill = max(cores / size.cores / calm, memory / size.memory / MEMORY_CALM)
        if now - machine.poor_note[0] < NOTE_FRESH_NS:
            fill += machine.poor_note[1] * POOR_FILL
        return fill

    def _used(self, machine: _Machine, at: int) -> float:
        if machine.used.seen:
            return machine.used.total(at, self.settings.schedulers)
        mean = sum(use[at] for use in self._class_use) / len(self._class_use)
        others = machine.asked.total(at, self.settings.schedulers) - machine.asked.own[at]
        return machine.used.own[at] + max(0.0, others) * mean

    def _crowding(self, fill: float, task: _Task) -> float:
        """What crowding is worth avoiding, as time to start: a cold start's length where use reaches the calm
        level, since from there every task on the machine is served worse; nothing while use is easy."""
        return self._cold[task.klass] * (max(0.0, fill - EASY) / (1 - EASY)) ** 2

    def _time_to_start(self, now: int, task: _Task, machine: _Machine) -> float:
        return self._line_share * self._line(now, machine) + self._own_figure(now, task, machine)

    def _line(self, now: int, machine: _Machine) -> float:
        """Remainder of the oldest open offer and the estimates of the others.

        Danger: a machine that stands still, slows or is cut off keeps a line that looks short.  So an offer
        past its estimate counts what it is overdue, the usual guess for a wait of unknown length."""
        if not machine.line:
            return 0.0
        oldest = next(iter(machine.line.values()))
        return abs(oldest.sent_ns + oldest.own_ns - now) + machine.line_sum - oldest.own_ns

    def _own_figure(self, now: int, task: _Task, machine: _Machine) -> float:
        warm = self._warmth(task.asked.service, machine)
        figure = warm * self._warm[task.klass] + (1 - warm) * self._cold[task.klass]
        return figure * self._slowness(now, machine)

    def _warmth(self, service: str, machine: _Machine) -> float:
        """1 where the service is held or offered, 0 where unknown; kept programs by their depth."""
        if service in machine.held:
            return 1.0
        if service in machine.kept:
            return machine.trust * self._depth[_depth(service, machine)]
        return 0.0

    def _slowness(self, now: int, machine: _Machine) -> float:
        """How many times longer starts take here: its own record, fading, and the pace of a fresh start."""
        slow = machine.slow_at(now)
        age, span, pace = now - machine.ready_ns, self.settings.cold_span_ns, self.settings.cold_pace
        if machine.ready_ns and age < span:
            slow /= pace + (1 - pace) * max(0, age) / span
        return slow

    # --- the doors: every offer and every final answer --------------------------------------------------

    def _may_send(self, now: int, task: _Task, machine: _Machine) -> bool:
        """The rules of the service, for one task and one machine."""
        return (
            not machine.shut
            and not task.ended
            and task.attempt is None
            and task.sent < self.settings.max_attempts
            and now < task.deadline_ns
            and self.settings.classes[task.klass].kind in (-1, machine.kind)
            and self._may_repeat(now, task, machine)
            and self._spread_ok(task, machine)
            and self._cold_ok(now, machine)
        )

    def _may_repeat(self, now: int, task: _Task, machine: _Machine | None = None) -> bool:
        """Effects: a task that may have run goes again only as its class allows."""
        klass = self.settings.classes[task.klass]
        if task.maybe_ran is None or klass.effect is Effect.SAFE:
            return True
        if klass.effect is Effect.UNSAFE:
            return False
        first, since = task.maybe_ran
        return now < since + klass.dedupe_window_ns and (
            machine is None or _place_of(machine, klass.dedupe_scope) == _place_of(first, klass.dedupe_scope)
        )

    def _spread_ok(self, task: _Task, machine: _Machine) -> bool:
        """Spread: attempts and open tasks of the service in one place, each until its outcome."""
        klass = self.settings.classes[task.klass]
        if klass.spread is Scope.NONE:
            return True
        place, service = _place_of(machine, klass.spread), task.asked.service
        others = (other for other in self._machines.values() if _place_of(other, klass.spread) == place)
        return sum(other.placed.get(service, 0) for other in others) < klass.spread_most

    def _cold_ok(self, now: int, machine: _Machine) -> bool:
        """Cold budget: a fresh machine always bears so many offers a window, shared by the schedulers."""
        age = now - machine.ready_ns
        if not machine.ready_ns or age > self.settings.cold_span_ns + self.settings.cold_window_ns:
            return True
        window = self.settings.cold_window_ns * COLD_WINDOW_SLACK
        while machine.sends and machine.sends[0] < now - window:
            machine.sends.popleft()
        share = max(1, int(self.settings.cold_safe_offers / self.settings.schedulers))
        return len(machine.sends) < share

    def _send(self, now: int, task: _Task, machine: _Machine) -> None:
        if not self._may_send(now, task, machine):
            return
        task.attempt = attempt = _Attempt(task.sent, machine, now)
        attempt.line_ns = round(self._line(now, machine))
        attempt.own_ns = round(self._own_figure(now, task, machine))
        service = task.asked.service
        attempt.cold = service not in machine.held and service not in machine.kept
        if service not in machine.held and service in machine.kept:
            attempt.depth = _depth(service, machine)
        task.sent += 1
        machine.sends.append(now)
        machine.line[task.asked.task] = attempt
        machine.line_sum += attempt.own_ns
        self._charge(now, task, attempt)
        self._out.append(Send(task.asked.task, machine.id, self._timeout(now, task, attempt)))

    def _timeout(self, now: int, task: _Task, attempt: _Attempt) -> int | None:
        """Unsafe tasks and last attempts are given all the time there is: giving up leaves only failure."""
        unsafe = self.settings.classes[task.klass].effect is Effect.UNSAFE
        if unsafe or task.sent >= self.settings.max_attempts:
            return None
        if self.settings.first_at_running:
            span = max(TIMEOUT_LEAST_NS, round(TIMEOUT_TIMES * (attempt.line_ns + self._cold[task.klass])))
        else:
            span = max(ACCEPT_LEAST_NS, round(ACCEPT_TIMES * self._accept))
        return span if now + span < task.deadline_ns - ANSWER_MARGIN_NS else None

    def _give_up(self, task: _Task) -> None:
        """The one final answer of a task that was not placed: refused where that is true, else failed."""
        if task.ended or task.placed:
            return
        klass = self.settings.classes[task.klass]
        effect, scope = klass.effect, klass.dedupe_scope
        clean = task.attempt is None and task.maybe_ran is None
        may_refuse = clean or effect is Effect.SAFE or (effect is Effect.KEYED and scope is Scope.ALL)
        self._out.append(Refuse(task.asked.task) if may_refuse else Fail(task.asked.task))
        if task.attempt is not None and self.settings.may_abort and effect is not Effect.UNSAFE:
            self._out.append(Abort(task.asked.task, task.attempt.number))
        self._end(task.asked.task)

    def _end(self, number: int) -> None:
        """No more is owed; the task is forgotten once no attempt is out."""
        task = self._tasks.get(number)
        if task is not None:
            task.ended = True
            self._held.pop(number, None)
            if task.attempt is None:
                del self._tasks[number]

    # --- what comes back --------------------------------------------------------------------------------

    def _attempt_of(self, number: int, attempt: int) -> tuple[_Task, _Attempt] | None:
        task = self._tasks.get(number)
        if task is None or task.attempt is None or task.attempt.number != attempt:
            return None
        return task, task.attempt

    def _on_placed(self, now: int, event: TaskPlaced) -> None:
        found = self._attempt_of(event.task, event.attempt)
        if found:
            task, attempt = found
            task.placed = True
            attempt.machine.spans[task.klass] = REST_FIRST_NS
            self._accept += FIGURE_WEIGHT * (now - attempt.sent_ns - self._accept)
            if self.settings.first_at_running:
                self._started(now, task, attempt)

    def _on_note(self, now: int, event: TaskNote) -> None:
        found = self._attempt_of(event.task, event.attempt)
        if not found:
            return
        task, attempt = found
        if event.topic is Topic.RUNNING:
            self._started(now, task, attempt)
        elif event.topic is Topic.SERVICE_LEVEL:
            attempt.machine.poor_note = (now, max(0.0, 1 - event.level))
        elif event.topic is Topic.MACHINE_MEMORY:
            attempt.machine.memory_note = (now, event.level)
        else:
            self._learn_use(now, task, attempt, event)

    def _started(self, now: int, task: _Task, attempt: _Attempt) -> None:
        """The task runs: its estimate leaves the sum, and the start is learned from."""
        if attempt.started is not None:
            return
        attempt.started = now
        machine = attempt.machine
        machine.leave_line(task.asked.task)
        if attempt.ready_ns != machine.ready_ns:
            return
        line = self._line_share * attempt.line_ns
        was_cold = self._learn_figure(now, task, attempt, max(0.0, now - attempt.sent_ns - line))
        expected = (self._cold if was_cold else self._warm)[task.klass]
        if attempt.line_ns:
            waited = min(1.0, max(0.0, (now - attempt.sent_ns - expected) / attempt.line_ns))
            self._line_share += LINE_WEIGHT * (waited - self._line_share)
        self._learn_pace(now, machine, (now - attempt.sent_ns) / max(expected + line, 1.0))

    def _learn_figure(self, now: int, task: _Task, attempt: _Attempt, own: float) -> bool:
        """Average the start into its class's figures; say whether it was a cold one."""
        machine, klass = attempt.machine, task.klass
        pace = self._slowness(now, machine)
        line = (self._warm[klass] * self._cold[klass]) ** 0.5
        was_cold = attempt.cold or (attempt.depth is not None and own / pace > line)
        figures = self._cold if was_cold else self._warm
        figures[klass] += FIGURE_WEIGHT * (own / pace - figures[klass])
        if attempt.depth is not None:
            belief = self._depth[attempt.depth]
            self._depth[attempt.depth] = belief + DEPTH_WEIGHT * ((not was_cold) - belief)
            # Danger: flushed machines still read warm.  One kept program found missing casts doubt on all.
            gain = TRUST_BACK * (1 - machine.trust)
            machine.trust = machine.trust * FLUSH_DOUBT if was_cold else machine.trust + gain
        return was_cold

    def _learn_pace(self, now: int, machine: _Machine, ratio: float) -> None:
        slow = machine.slow_at(now)
        machine.slow = min(SLOW_MOST, max(0.5, slow + SLOW_WEIGHT * (min(ratio, SLOW_MOST) - slow)))
        machine.slow_ns = now

    def _on_ended(self, now: int, event: AttemptEnded) -> None:
        if event.report is not None and event.machine in self._machines:
            self._read_report(now, self._machines[event.machine], event.report)
        found = self._attempt_of(event.task, event.attempt)
        if not found:
            return
        task, attempt = found
        self._learn_end(now, task, attempt, event)
        self._release(now, task, attempt)
        if event.outcome not in NEVER_RAN and task.maybe_ran is None:
            task.maybe_ran = (attempt.machine, attempt.sent_ns)
        task.attempt = None
        if event.concluded or task.ended or task.placed:
            self._end(event.task)
        else:
            self._place(now, task)

    def _learn_end(self, now: int, task: _Task, attempt: _Attempt, event: AttemptEnded) -> None:
        machine, every = attempt.machine, range(attempt.machine.classes)
        never_started = attempt.started is None and not task.placed
        if event.outcome in NEVER_RAN or (never_started and event.outcome is Outcome.TIMED_OUT):
            task.struck.add(machine.id)
        # Danger: a machine drains seconds before any list tells.  Sending tasks away, or taking none where a
        # standing copy can't be the reason, shows it.  Harm: a machine that only erred rests for a spell.
        leaving = event.reason is Reason.NOT_HERE and task.maybe_ran is None
        if leaving or event.reason is Reason.SENT_AWAY or event.outcome is Outcome.UNREACHABLE:
            machine.rest(now, every)
        elif event.outcome is Outcome.REFUSED:
            # Danger: a machine that turns a class away, for whatever reason or none, keeps an empty line and
            # draws all of it.  Harm: one that was full for a moment rests a little longer than needed.
            machine.rest(now, (task.klass,))
        elif event.reason is Reason.EVICTED:
            machine.memory_note = (now, 1.0)
        elif event.outcome is Outcome.LOST:
            machine.rest(now, every)
        elif never_started and event.outcome is Outcome.TIMED_OUT:
            # Danger: a machine that is cut off answers nothing, and a list of processes still shows it.
            expected = attempt.own_ns + attempt.line_ns + 1
            self._learn_pace(now, machine, max(2.0, (now - attempt.sent_ns) / expected))
            if not self.settings.first_at_running:
                machine.rest(now, every)

    # --- what the schedulers tell each other, where they may ---------------------------------------------

    def _need_tell(self, now: int) -> None:
        if self.settings.may_message and self.settings.schedulers > 1 and not self._tell_set:
            self._tell_set = True
            self._out.append(SetTimer(now + TELL_NS, TELL_TIMER))

    def _tell(self) -> None:
        """Tell all peers the own account of the machines where it changed since it was last told."""
        parts: list[bytes] = []
        for machine in self._machines.values():
            held = (machine.asked.own[0], machine.asked.own[1])
            if held != machine.told and len(parts) < self.settings.message_bytes // TOLD.size:
                machine.told = held
                figures = (min(0xFFFF, max(0, round(amount * TOLD_PARTS))) for amount in held)
                parts.append(TOLD.pack(zlib.crc32(machine.id.encode()), *figures))
        if parts:
            self._out.append(Tell(b"".join(parts)))

    def _on_message(self, event: PeerMessage) -> None:
        if len(event.data) % TOLD.size:
            return
        numbers = {zlib.crc32(machine.id.encode()): machine for machine in self._machines.values()}
        for number, cores, memory in TOLD.iter_unpack(event.data):
            if number in numbers:
                numbers[number].asked.peers[event.peer] = (cores / TOLD_PARTS, memory / TOLD_PARTS)

    # --- accounts ---------------------------------------------------------------------------------------

    def _use_of(self, asked: TaskAsked) -> list[float]:
        return self._service_use.get(asked.service) or self._class_use[asked.klass]

    def _charge(self, now: int, task: _Task, attempt: _Attempt, running: bool = False) -> None:
        machine, asked = attempt.machine, task.asked
        machine.placed[asked.service] = machine.placed.get(asked.service, 0) + 1
        machine.held[asked.service] = machine.held.get(asked.service, 0) + 1
        machine.kept.pop(asked.service, None)
        use = self._use_of(asked)
        attempt.use = [use[0] * asked.cores, use[1] * asked.memory]
        if running:
            machine.asked.add_running(asked.cores, asked.memory)
            machine.used.add_running(attempt.use[0], attempt.use[1])
        else:
            machine.asked.add(now, asked.cores, asked.memory)
            machine.used.add(now, attempt.use[0], attempt.use[1])

    def _release(self, now: int, task: _Task, attempt: _Attempt) -> None:
        machine, asked = attempt.machine, task.asked
        machine.leave_line(asked.task)
        machine.placed[asked.service] -= 1
        if not machine.placed[asked.service]:
            del machine.placed[asked.service]
        if attempt.ready_ns != machine.ready_ns:
            return
        machine.asked.add(now, -asked.cores, -asked.memory)
        machine.used.add(now, -attempt.use[0], -attempt.use[1])
        machine.held[asked.service] -= 1
        if not machine.held[asked.service]:
            del machine.held[asked.service]
            if attempt.started is not None:
                machine.kept[asked.service] = None
                if len(machine.kept) > KEPT_MOST:
                    machine.kept.popitem(last=False)

    def _learn_use(self, now: int, task: _Task, attempt: _Attempt, note: TaskNote) -> None:
        asked, at = task.asked, 0 if note.topic is Topic.CORES_USED else 1
        ratio = note.level / max(asked.cores if at == 0 else asked.memory, 1e-9)
        young = attempt.started is None or now - attempt.started < GROW_NS
        if asked.service not in self._service_use:
            self._service_use[asked.service] = list(self._class_use[asked.klass])
            if len(self._service_use) > SERVICES_MOST:
                self._service_use.popitem(last=False)
        use = self._service_use[asked.service]
        if at == 0 or not young or ratio > use[1]:
            use[at] += USE_WEIGHT * (ratio - use[at])
            mean = self._class_use[asked.klass]
            mean[at] += CLASS_USE_WEIGHT * (ratio - mean[at])
        level = note.level
        if at == 1 and young:
            level = max(level, use[1] * asked.memory)
        change = [0.0, 0.0]
        change[at] = level - attempt.use[at]
        attempt.use[at] = level
        if attempt.ready_ns == attempt.machine.ready_ns:
            attempt.machine.used.add(now, change[0], change[1])

    def _read_report(self, now: int, machine: _Machine, report: LoadReport) -> None:
        if report.cores_free is None or report.memory_free is None or not self.settings.kinds:
            return
        size = self.settings.kinds[machine.kind]
        totals = (size.cores - report.cores_free, size.memory - report.memory_free)
        if self.settings.reports_count_use:
            machine.used.observe(now, totals)
        else:
            machine.asked.observe(now, totals)


def _depth(service: str, machine: _Machine) -> int:
    return list(reversed(machine.kept)).index(service)


def _place_of(machine: _Machine, scope: Scope) -> str | int:
    if scope is Scope.MACHINE:
        return machine.id
    if scope is Scope.CELL:
        return machine.cell
    if scope is Scope.ZONE:
        return machine.zone
    return 0
