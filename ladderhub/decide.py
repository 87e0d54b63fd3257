"""Every decision of a ladderhub scheduler.  Its types, events and actions stand in `interface.py`.

The path of a task: `_on_asked` takes it and sets the timer for its answer; `_place` looks for a machine with
`_pick`, which strikes out machines (`_may_send`, `_fits`) and takes the lowest estimated time to start
(`_line`, `_own_figure`); `_send` is the door for all offers; `_on_placed`, `_on_note` learn from the start;
`_on_ended` settles the attempt and, where the task is still owed an answer, places it again or gives up by
`_give_up`, the one door for refusals and failures.  A task that finds no machine waits in `_held`.
"""

from __future__ import annotations

import heapq
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
GUESS_COUNTS = 4  # a first guess counts as so many values: a scheduler that sees little must leave it soon
MEMORY_SHORT, MEMORY_LONG = 20, 60  # values that an average holds on to: of one thing, of a whole class
KEPT_MOST = 16  # kept programs remembered for each machine; deeper ones have nearly always gone
HOMES = 2  # machines over which all place a service, twice as many where they are also packed by fill
HOME_GUESSES = (0.8, 0.3)  # share of warm starts believed of a service's first homes, and of the next as many
HOMES_KEPT = 1024  # services whose homes are remembered until the list changes
NEAR_SHARE, NEAR_NS = 0.1, 30 * MS  # sums this close are equal: estimates are no better than this
REST_FIRST_NS, REST_ODD_NS = 600 * MS, 6 * S  # first rest after turning work away; where no reason came
ERRORS_ROW = 3  # errors in a row, each of another task, by which a machine and not the tasks shows as sick
REST_TIMES = 8  # and doubling up to so many first ones
VIEW_LAG_NS = 600 * MS  # usual age of a list's free figures or a load report when it comes
NOTE_FRESH_NS = 3 * S  # a note on pressure speaks for this long
FIRST_CORES, FIRST_MEMORY = 0.6, 0.8  # use against asked before any note came
MEMORY_CALM = 0.9  # machines slow down, then evict, as memory use nears the whole
POOR_FILL = 0.3  # fill added where tasks got no service at all, in proportion above that
EASY = 0.8  # projected use over the calm level up to which crowding costs nothing
FORGET_NS = 600 * S  # a machine gone for so long is forgotten
HOLD_STEP_NS = 20 * MS  # how often waiting tasks are looked at again
ANSWER_MARGIN_NS = 40 * MS  # the final answer leaves this long before the deadline
TIMEOUT_LEAST_NS = 1_500 * MS  # shortest time-out of a repeatable offer
TIMEOUT_TIMES = 2.0  # and as a multiple of the time a cold start would take: most cold starts must end in it
ACCEPT_LEAST_NS, ACCEPT_TIMES = 1 * S, 8.0  # the same where machines answer on acceptance, by its average
SEATS_MANY = 16  # from so many seats at a fresh machine on, half are more than a scheduler takes in a window
COLD_WINDOW_SLACK = 1.25  # offers spread on their way: the cold budget's window is taken this much longer

TELL_NS = 200 * MS  # how often peers are told what changed: fresher than any list
TELL_MOST = 0.006  # share of the result that telling may cost, at two lines a task: each receiver is paid for
SWEEP_TIMER, TELL_TIMER = 0, 1  # a task's own timer bears its number and two

MIX = 4_294_967_291  # a prime: products by it scatter well
TOLD, TOLD_PARTS = struct.Struct(">IHH"), 8  # a machine's number, cores and memory asked there, in eighths
NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT})


class _Mean:
    """A running average that leaves its first guess soon and lets old values fade."""

    __slots__ = ("count", "most", "value")

    def __init__(self, guess: float, most: int = MEMORY_SHORT) -> None:
        self.value, self.count, self.most = guess, GUESS_COUNTS, most

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, self.most)
        self.value += (value - self.value) / self.count


class _Account:
    """Cores and memory on one machine: this scheduler's share exactly, the rest from late readings.

    The rest is the gap between the last reading and the own share at the time it speaks of."""

    def __init__(self) -> None:
        self.own = [0.0, 0.0]
        self.other = [0.0, 0.0]
        self.total = [0.0, 0.0]  # kept in step with the rest, as is what others have: both are read often
        self.beside = [0.0, 0.0]
        self.seen_ns = -1
        self.peers: dict[int, tuple[float, float]] = {}  # what each other scheduler told that it holds
        self.history: deque[tuple[int, float, float]] = deque(((-1, 0.0, 0.0),))  # own share since the lag

    def add(self, now: int, cores: float, memory: float, ran: bool = False) -> None:
        """Change the own share; a task that ran before it was told of was in readings, as another's."""
        for at, amount in enumerate((cores, memory)):
            self.own[at] += amount
            self.other[at] -= amount if ran and self.seen_ns >= 0 else 0.0
        if ran:
            self.history.clear()
        self._forget(now - VIEW_LAG_NS)
        self.history.append((now, self.own[0], self.own[1]))
        self.reckon()

    def _forget(self, then: int) -> None:
        while len(self.history) > 1 and self.history[1][0] <= then:
            self.history.popleft()

    def observe(self, now: int, cores: float, memory: float) -> None:
        self._forget(now - VIEW_LAG_NS)
        _, own_cores, own_memory = self.history[0]
        self.other = [cores - own_cores, memory - own_memory]
        self.seen_ns = now
        self.reckon()

    def reckon(self) -> None:
        told = self.seen_ns < 0 and self.peers
        for at, own in enumerate(self.own):
            others = sum(held[at] for held in self.peers.values()) if told else self.other[at]
            self.total[at] = own + others
            self.beside[at] = max(0.0, self.total[at] - own)


class _Machine:
    """What is known of one machine; all but `shut` and `gone_ns` starts anew when it restarts."""

    def __init__(self, entry: MachineEntry, listed: bool) -> None:
        self.id, self.kind, self.zone, self.cell = entry.machine, entry.kind, entry.zone, entry.cell
        self.shut = not listed
        self.gone_ns: int | None = None if listed else 0  # since when it is gone
        self.number = zlib.crc32(self.id.encode()) | 1
        self.restart(entry.ready_ns)

    def restart(self, ready_ns: int) -> None:
        self.ready_ns = ready_ns
        self.line: dict[int, _Attempt] = {}  # offers sent and not yet running, oldest first
        self.held: dict[str, int] = {}  # services with tasks or offers of ours here
        self.kept: OrderedDict[str, None] = OrderedDict()  # services whose last task ended, oldest first
        self.asked, self.used = _Account(), _Account()
        self.rests: dict[tuple[int, int] | None, tuple[int, int]] = {}  # until when, next span
        self.errors = 0  # tasks in a row that first erred here, with none placed between
        self.notes = [(-NOTE_FRESH_NS, 0.0), (-NOTE_FRESH_NS, 0.0)]  # last of poor service, of short memory
        self.sends: deque[int] = deque()

    def rest(self, now: int, what: tuple[int, int] | None, first_ns: int = REST_FIRST_NS) -> None:
        """Nothing of this class and tenant, or at all, for spans that double until one is placed here."""
        until, span = self.rests.get(what, (0, first_ns))
        if until <= now:
            self.rests[what] = (now + span, min(REST_TIMES * first_ns, 2 * span))

    def rests_from(self, now: int, what: tuple[int, int]) -> bool:
        return any(self.rests[each][0] > now for each in (None, what) if each in self.rests)

    def depth_of(self, service: str) -> int | None:
        return list(reversed(self.kept)).index(service) if service in self.kept else None


class _Attempt:
    """One offer: where, when, and what it was expected to take."""

    def __init__(self, number: int, machine: _Machine, sent_ns: int) -> None:
        self.number, self.machine, self.sent_ns = number, machine, sent_ns
        self.ready_ns = machine.ready_ns
        self.own_ns = self.line_ns = 0
        self.depth: int | None = None  # how many kept programs were used more lately; None if not kept
        self.held = False  # the service had tasks or offers of ours there
        self.level: int | None = None  # how early the machine comes among the service's homes
        self.started: int | None = None
        self.use = [0.0, 0.0]
        self.place: str | int = ""  # where it counts for its service's spread


class _Task:
    """One task from its asking to the outcome of its last attempt."""

    def __init__(self, asked: TaskAsked, now: int) -> None:
        self.asked, self.klass = asked, asked.klass
        self.what = (asked.klass, asked.tenant)
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
        self._changed: dict[str, _Machine] = {}  # machines whose account the peers have not been told
        lines_cost = 2 * TOLD.size / 256 * settings.price_message * (settings.schedulers - 1)
        self._may_tell = settings.may_message and settings.schedulers > 1 and lines_cost <= TELL_MOST
        self._warm = [_Mean(FIRST_WARM_NS) for _ in settings.classes]
        self._cold = [_Mean(FIRST_COLD_NS) for _ in settings.classes]
        self._accept = _Mean(0.0)  # time to acceptance, where that is the first answer
        self._line_share = _Mean(1.0)  # how much of a line is really waited: starts run side by side
        # What one scheduler alone has not placed is warm nowhere.
        self._homes = [_Mean(guess * (1 - 1 / settings.schedulers) ** 2) for guess in HOME_GUESSES]
        self._depth = [_Mean(1.0 - at / KEPT_MOST) for at in range(KEPT_MOST)]
        self._class_use = [_use_means(MEMORY_LONG) for _ in settings.classes]
        self._use_share = _use_means(MEMORY_LONG)  # the same over all tasks, for what others hold
        self._cold_window = round(settings.cold_window_ns * COLD_WINDOW_SLACK)
        self._fresh_ns = settings.cold_span_ns + self._cold_window  # for so long a machine counts as fresh
        self._born_ns = -1
        self._spread: dict[str, dict[str | int, int]] = {}  # attempts and open tasks, by service and place
        # What follows from the list alone, until it changes: serving machines by kind, homes by service.
        self._takers: dict[int, list[_Machine]] = {}
        self._homes_kept: dict[tuple[str, int], dict[str, int]] = {}
        self._out: list[Action] = []

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event and give the actions it calls for.  Probes, each paid for, are not used."""
        self._out = []
        if self._born_ns < 0:
            self._born_ns = now_ns
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
            case PeerMessage():
                self._on_message(event)
            case TaskWithdrawn():
                self._end(event.task)
        if self._held and not self._sweep_set:
            self._sweep_set = True
            self._out.append(SetTimer(now_ns + HOLD_STEP_NS, SWEEP_TIMER))
        if self._changed and self._may_tell and not self._tell_set:
            self._tell_set = True
            self._out.append(SetTimer(now_ns + TELL_NS, TELL_TIMER))
        return self._out

    # --- the machine list -------------------------------------------------------------------------------

    def _on_list(self, now: int, event: MachineList) -> None:
        if event.kind is ListKind.FAILED:
            return
        known = len(self._machines)
        for entry in event.entries:
            machine = self._machines.get(entry.machine)
            if machine is None:
                machine = self._machines[entry.machine] = _Machine(entry, True)
            elif entry.ready_ns > machine.ready_ns:
                machine.restart(entry.ready_ns)
            moved = (machine.zone, machine.cell) != (entry.zone, entry.cell)
            was = (machine.kind, machine.zone, machine.shut)
            machine.kind, machine.zone, machine.cell = entry.kind, entry.zone, entry.cell
            if moved:
                self._recount_spread()
            machine.shut = entry.stage is not Stage.SERVING
            machine.gone_ns = now if entry.stage is Stage.GONE else None
            if was != (machine.kind, machine.zone, machine.shut) or len(self._machines) > known:
                self._forget_list()
            if self.settings.list_shows_room and not machine.shut:
                size = self.settings.kinds[machine.kind]
                machine.asked.observe(now, size.cores - entry.free_cores, size.memory - entry.free_memory)
        if event.kind is not ListKind.CHANGES:
            listed = {entry.machine for entry in event.entries}
            for machine in self._machines.values():
                if machine.id not in listed and machine.gone_ns is None:
                    machine.shut, machine.gone_ns = True, now
                    self._forget_list()
        # Machines long gone are forgotten; not at once: tasks there may yet be handed over and must count.
        for machine in [other for other in self._machines.values() if other.gone_ns is not None]:
            if now - (machine.gone_ns or 0) > FORGET_NS and not machine.held:
                del self._machines[machine.id]
                self._changed.pop(machine.id, None)

    # --- asking, placing, holding -----------------------------------------------------------------------

    def _on_asked(self, now: int, asked: TaskAsked) -> None:
        if asked.task in self._tasks:
            return
        task = self._tasks[asked.task] = _Task(asked, now)
        self._out.append(SetTimer(max(now, task.deadline_ns - ANSWER_MARGIN_NS), asked.task + 2))
        self._place(now, task)

    def _on_open(self, now: int, event: TaskOpen) -> None:
        unlisted = _Machine(MachineEntry(event.machine, Stage.GONE), False)
        machine = self._machines.setdefault(event.machine, unlisted)
        task = self._tasks[event.asked.task] = _Task(event.asked, now)
        task.sent, task.placed = 1, True
        task.attempt = attempt = _Attempt(0, machine, now)
        attempt.started = now
        self._charge(now, task, attempt, running=True)

    def _place(self, now: int, task: _Task) -> None:
        """Send the task, or hold it, or give up where no further attempt can be allowed."""
        if not self._may_go(now, task):
            self._give_up(task)
        else:
            machine = self._pick(now, task)
            if machine is not None:
                self._held.pop(task.asked.task, None)
                self._send(now, task, machine)
            else:
                self._held[task.asked.task] = task

    def _sweep(self, now: int) -> None:
        """Look again at the tasks that wait: the highest class first, the oldest first within it."""
        classes, vain = self.settings.classes, set()
        # Where one found no machine though none was closed to it in particular, none that asks as much will.
        nowhere: dict[tuple[int, int], list[tuple[float, float]]] = {}
        for task in sorted(self._held.values(), key=lambda held: -classes[held.klass].priority):
            cores, memory, found = task.asked.cores, task.asked.memory, nowhere.setdefault(task.what, [])
            like = (task.what, task.asked.service, cores, memory, bool(task.struck))
            if like in vain or any(cores >= least[0] and memory >= least[1] for least in found):
                continue
            self._place(now, task)
            if task.asked.task in self._held:
                vain.add(like)
                if not task.struck and task.maybe_ran is None and not self._full_places(task):
                    found.append((cores, memory))

    def _on_timer(self, now: int, timer: int) -> None:
        if timer == TELL_TIMER:
            self._tell_set = False
            if self._changed:
                self._tell()
            return
        if timer == SWEEP_TIMER:
            self._sweep_set = False
            self._sweep(now)
            return
        task = self._tasks.get(timer - 2)
        if task is not None and now >= task.deadline_ns - ANSWER_MARGIN_NS:
            self._give_up(task)

    # --- the pick ---------------------------------------------------------------------------------------

    def _pick(self, now: int, task: _Task) -> _Machine | None:
        """The design's rule: of the machines not struck out, the lowest estimated time to start."""
        settings, service = self.settings, task.asked.service
        homes, serving = self._homes_of(task), self._serving(settings.classes[task.klass].kind)
        known = {
            machine.id: machine
            for machine in serving
            if service in machine.held or service in machine.kept or machine.id in homes
        }
        near: list[tuple[float, float, _Machine]] = []
        band = self._weigh(now, task, known.values(), float("inf"), near)
        # Elsewhere a start takes a cold one's time at least: no need to look where a better one is known.
        if self._cold[task.klass].value <= band:
            band = self._weigh(now, task, (each for each in serving if each.id not in known), band, near)
        near = [each for each in near if each[0] <= band]
        if settings.price_cross_zone > 0:
            near = [each for each in near if each[2].zone == settings.zone] or near
        if not near:
            return None
        fill = (max if settings.price_machines_in_use > 0 else min)(each[1] for each in near)
        return self._random.choice([each[2] for each in near if each[1] == fill])

    def _weigh(
        self, now: int, task: _Task, machines: Iterable[_Machine], band: float,
        near: list[tuple[float, float, _Machine]],
    ) -> float:  # fmt: skip
        """Add sum, fill and machine to `near` where the rules allow it and the sum is within the band above
        the lowest so far; give the band.  Done for each machine at each look, so each line is dear."""
        klass, asked, use = self.settings.classes[task.klass], task.asked, self._class_use[task.klass]
        homes, full, service = self._homes_of(task), self._full_places(task), asked.service
        need = (use[0].value * asked.cores, use[1].value * asked.memory)
        for machine in machines:
            if machine.id in task.struck or (machine.rests and machine.rests_from(now, task.what)):
                continue
            # The rules as `_may_send` has them, and room.
            if full and _place_of(machine, klass.spread) in full:
                continue
            fresh = machine.ready_ns and now <= machine.ready_ns + self._fresh_ns
            if (fresh and not self._cold_ok(now, machine)) or not self._fits(task, machine):
                continue
            if task.maybe_ran is not None and not self._may_repeat(now, task, machine):
                continue
            fill = self._fill(now, need, klass.calm_level, machine) if self.settings.kinds else 0.0
            total = self._line_share.value * self._line(now, machine) if machine.line else 0.0
            if fill > EASY:
                total += self._crowding(fill, task)
            if fresh or service in machine.held or service in machine.kept or machine.id in homes:
                total += self._own_figure(now, task, machine, homes.get(machine.id))
            else:
                total += self._cold[task.klass].value
            if total <= band:
                near.append((total, fill, machine))
                band = min(band, total * (1 + NEAR_SHARE) + NEAR_NS)
        return band

    def _serving(self, kind: int) -> list[_Machine]:
        """Machines that the list has serving, of one kind or (-1) of all."""
        if kind not in self._takers:
            machines = self._machines.values()
            self._takers[kind] = [each for each in machines if not each.shut and kind in (-1, each.kind)]
        return self._takers[kind]

    def _forget_list(self) -> None:
        self._takers.clear()
        self._homes_kept.clear()

    def _homes_of(self, task: _Task) -> dict[str, int]:
        """Homes of the task's service: machines by an order that every scheduler reckons alike.

        Danger: warmth that others made can't be seen, and schedulers that each see little start every program
        cold, everywhere.  By one order they warm the same few machines, in each zone where crossing
        is priced.  Harm: the order knows nothing of load, which is left to the price of crowding."""
        if self.settings.schedulers == 1:
            return {}
        kind, priced = self.settings.classes[task.klass].kind, self.settings.price_cross_zone > 0
        found = self._homes_kept.get((task.asked.service, kind))
        if found is not None:
            return found
        machines = self._serving(kind)
        number = zlib.crc32(task.asked.service.encode()) + 1
        packed = self.settings.price_machines_in_use > 0 and self.settings.list_shows_room
        zones = {machine.zone for machine in machines} if priced else {0}
        each = -(-HOMES * (1 + packed) // (len(zones) or 1))
        levels: dict[str, int] = {}
        for zone in sorted(zones):
            there = [other for other in machines if zone == other.zone or not priced]
            order = ((other.number * number % MIX, other.id) for other in there)
            for at, (_, name) in enumerate(heapq.nsmallest(each * len(HOME_GUESSES), order)):
                levels[name] = at // each
        if len(self._homes_kept) >= HOMES_KEPT:
            self._homes_kept.clear()
        self._homes_kept[task.asked.service, kind] = levels
        return levels

    def _fits(self, task: _Task, machine: _Machine) -> bool:
        """Room by what is asked, which is what machines refuse by."""
        if not self.settings.kinds:
            return True
        settings = self.settings
        size = settings.kinds[machine.kind]
        cores, memory = machine.asked.total[0] + task.asked.cores, machine.asked.total[1] + task.asked.memory
        return cores <= size.cores * settings.admit_cores and memory <= size.memory * settings.admit_memory

    def _fill(self, now: int, need: tuple[float, float], calm: float, machine: _Machine) -> float:
        """Use of the tighter of cores and memory, a task's need included, over what serves in full."""
        size, own, beside = self.settings.kinds[machine.kind], machine.used.own, machine.asked.beside
        if now - machine.used.seen_ns < NOTE_FRESH_NS and machine.used.seen_ns >= 0:
            cores, memory = machine.used.total
        else:  # no fresh reading: what others have there by the usual use of what was asked
            cores = own[0] + beside[0] * self._use_share[0].value
            memory = own[1] + beside[1] * self._use_share[1].value
        (poor_ns, poor), (short_ns, short) = machine.notes
        if now - short_ns < NOTE_FRESH_NS:
            memory = max(memory, short * size.memory)
        fill = max((cores + need[0]) / size.cores / calm, (memory + need[1]) / size.memory / MEMORY_CALM)
        return fill + poor * POOR_FILL if now - poor_ns < NOTE_FRESH_NS else fill

    def _crowding(self, fill: float, task: _Task) -> float:
        """What crowding is worth avoiding, as time to start: a cold start's length where use reaches the calm
        level, since from there every task on the machine is served worse; nothing while use is easy."""
        return self._cold[task.klass].value * (max(0.0, fill - EASY) / (1 - EASY)) ** 2

    def _line(self, now: int, machine: _Machine) -> float:
        """Remainder of the oldest open offer and the estimates of the others.

        Danger: a machine that stands still, slows or is cut off keeps a line that looks short.  So an offer
        past its estimate counts what it is overdue, the usual guess for a wait of unknown length."""
        if not machine.line:
            return 0.0
        oldest, *others = machine.line.values()
        return abs(oldest.sent_ns + oldest.own_ns - now) + sum(other.own_ns for other in others)

    def _own_figure(self, now: int, task: _Task, machine: _Machine, level: int | None) -> float:
        warm = self._warmth(task.asked.service, machine, level)
        figure = warm * self._warm[task.klass].value + (1 - warm) * self._cold[task.klass].value
        return figure * self._slowness(now, machine)

    def _warmth(self, service: str, machine: _Machine, level: int | None) -> float:
        """1 where the service is held or offered; kept and unseen programs by what was found."""
        if service in machine.held:
            return 1.0
        unseen = 0.0 if level is None else self._homes[level].value
        depth = machine.depth_of(service)
        return unseen if depth is None else max(unseen, self._depth[depth].value)

    def _slowness(self, now: int, machine: _Machine) -> float:
        """How many times longer starts take on a fresh machine, if its pace grows in a straight line."""
        age, span, pace = now - machine.ready_ns, self.settings.cold_span_ns, self.settings.cold_pace
        fresh = machine.ready_ns and age < span
        return 1 / (pace + (1 - pace) * max(0, age) / span) if fresh else 1.0

    # --- the doors: every offer and every final answer --------------------------------------------------

    def _may_go(self, now: int, task: _Task) -> bool:
        """May the task have a further attempt at all?"""
        return (
            not task.ended
            and task.attempt is None
            and task.sent < self.settings.max_attempts
            and now < task.deadline_ns - ANSWER_MARGIN_NS
            and self._may_repeat(now, task)
        )

    def _may_send(self, now: int, task: _Task, machine: _Machine) -> bool:
        """The rules of the service for one machine, where the task may go at all."""
        return (
            not machine.shut
            and self.settings.classes[task.klass].kind in (-1, machine.kind)
            and (task.maybe_ran is None or self._may_repeat(now, task, machine))
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
        return _place_of(machine, self.settings.classes[task.klass].spread) not in self._full_places(task)

    def _full_places(self, task: _Task) -> frozenset[str | int]:
        """Where the task's service may not go."""
        klass, places = self.settings.classes[task.klass], self._spread.get(task.asked.service, {})
        if klass.spread is Scope.NONE:
            return frozenset()
        return frozenset(place for place, count in places.items() if count >= klass.spread_most)

    def _count_spread(self, task: _Task, attempt: _Attempt) -> None:
        attempt.place = place = _place_of(attempt.machine, self.settings.classes[task.klass].spread)
        places = self._spread.setdefault(task.asked.service, {})
        places[place] = places.get(place, 0) + 1

    def _recount_spread(self) -> None:
        """A machine stands elsewhere than was thought: open tasks may name it before any list does."""
        self._spread.clear()
        for task in self._tasks.values():
            if task.attempt is not None:
                self._count_spread(task, task.attempt)

    def _cold_ok(self, now: int, machine: _Machine) -> bool:
        """Cold budget: a fresh machine always bears so many offers a window; these are dealt out as seats.

        Danger: more schedulers than seats.  Who has one follows from ordinal, machine and ready time, so all
        reckon alike and together never pass the number.  A scheduler younger than the machine forgot what it
        sent: where seats are many, half are left to a successor, which takes no others until a window has
        passed; where they are few it lets the window pass.  Harm: in a fresh fleet tasks wait."""
        if not machine.ready_ns or now - machine.ready_ns > self._fresh_ns:
            machine.sends.clear()
            return True
        while machine.sends and machine.sends[0] < now - self._cold_window:
            machine.sends.popleft()
        count, safe = self.settings.schedulers, int(self.settings.cold_safe_offers)
        seat = (self.settings.ordinal + zlib.crc32(f"{machine.id} {machine.ready_ns}".encode())) % count
        seats = safe // count + (seat < safe % count)
        young = machine.ready_ns < self._born_ns and now < self._born_ns + self._cold_window
        spare = seats // 2 if seats >= SEATS_MANY else 0
        return len(machine.sends) < (spare if young else seats - spare)

    def _send(self, now: int, task: _Task, machine: _Machine) -> None:
        if not (self._may_go(now, task) and self._may_send(now, task, machine)):
            return
        task.attempt = attempt = _Attempt(task.sent, machine, now)
        attempt.line_ns = round(self._line(now, machine))
        service = task.asked.service
        attempt.held = service in machine.held
        if not attempt.held:
            attempt.depth = machine.depth_of(service)
            attempt.level = self._homes_of(task).get(machine.id)
        attempt.own_ns = round(self._own_figure(now, task, machine, attempt.level))
        task.sent += 1
        if machine.ready_ns:
            machine.sends.append(now)
        machine.line[task.asked.task] = attempt
        self._charge(now, task, attempt)
        self._out.append(Send(task.asked.task, machine.id, self._timeout(now, task, attempt)))

    def _timeout(self, now: int, task: _Task, attempt: _Attempt) -> int | None:
        """Unsafe tasks and last attempts are given all the time there is: giving up leaves only failure."""
        unsafe = self.settings.classes[task.klass].effect is Effect.UNSAFE
        if unsafe or task.sent >= self.settings.max_attempts:
            return None
        if self.settings.first_at_running:
            cold = self._cold[task.klass].value
            span = max(TIMEOUT_LEAST_NS, round(TIMEOUT_TIMES * (attempt.line_ns + cold)))
        else:
            span = max(ACCEPT_LEAST_NS, round(ACCEPT_TIMES * self._accept.value))
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
            attempt.machine.rests, attempt.machine.errors = {}, 0
            self._accept.add(now - attempt.sent_ns)
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
            attempt.machine.notes[0] = (now, max(0.0, 1 - event.level))
        elif event.topic is Topic.MACHINE_MEMORY:
            attempt.machine.notes[1] = (now, event.level)
        else:
            self._learn_use(now, task, attempt, event)

    def _started(self, now: int, task: _Task, attempt: _Attempt) -> None:
        """The task runs: its estimate leaves the sum, and the start is learned from."""
        if attempt.started is not None:
            return
        attempt.started = now
        machine = attempt.machine
        machine.line.pop(task.asked.task, None)
        if attempt.ready_ns != machine.ready_ns:
            return
        line = self._line_share.value * attempt.line_ns
        was_cold = self._learn_figure(now, task, attempt, max(0.0, now - attempt.sent_ns - line))
        expected = (self._cold if was_cold else self._warm)[task.klass].value
        if attempt.line_ns:
            waited = min(1.0, max(0.0, (now - attempt.sent_ns - expected) / attempt.line_ns))
            self._line_share.add(waited)

    def _learn_figure(self, now: int, task: _Task, attempt: _Attempt, own: float) -> bool:
        """Average the start into its class's figures; say whether it was a cold one."""
        machine, klass = attempt.machine, task.klass
        pace = self._slowness(now, machine)
        line = (self._warm[klass].value * self._cold[klass].value) ** 0.5
        unknown = attempt.depth is not None or attempt.level is not None
        was_cold = not attempt.held and (own / pace > line if unknown else True)
        (self._cold if was_cold else self._warm)[klass].add(own / pace)
        if attempt.depth is not None:
            self._depth[attempt.depth].add(not was_cold)
        elif attempt.level is not None:
            self._homes[attempt.level].add(not was_cold)
        return was_cold

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
        machine = attempt.machine
        never_started = attempt.started is None and not task.placed
        erred = never_started and event.outcome is Outcome.ERROR
        if event.outcome in NEVER_RAN or erred or (never_started and event.outcome is Outcome.TIMED_OUT):
            task.struck.add(machine.id)
        unplaced = event.outcome is Outcome.TIMED_OUT and not task.placed
        silent = unplaced and not self.settings.first_at_running  # else a long start looks the same
        lost = event.outcome is Outcome.LOST
        leaving = event.reason is Reason.NOT_HERE and task.maybe_ran is None
        if event.reason is Reason.EVICTED:
            machine.notes[1] = (now, 1.0)
        elif leaving or silent or event.outcome is Outcome.UNREACHABLE or (lost and task.placed):
            # Danger: a machine drains, dies or is cut off seconds before any list tells, and has the shortest
            # line.  Sending tasks away, silence, or taking none where a standing copy can't be the reason,
            # shows it.  Harm: a machine that only erred, or whose answers alone are lost, rests for a spell.
            machine.rest(now, None)
        elif event.outcome is Outcome.REFUSED:
            # Danger: a machine that turns a class away, for whatever reason or none, keeps an empty line and
            # draws all of it.  Lack of room is told and passes; what comes with no reason lasts, and at many
            # schedulers each asking again soon is a flood.  Harm: room that came back is found a little late.
            machine.rest(now, task.what, REST_FIRST_NS if event.reason else REST_ODD_NS)
        elif erred and task.maybe_ran is None:
            # Danger: a sick machine errs at once, so its line is the shortest and it draws everything.  One
            # task that errs wherever it goes speaks against no machine, hence several, each at its first
            # attempt.  Harm: several broken tasks in a row rest a good machine for a spell.
            machine.errors += 1
            if machine.errors >= ERRORS_ROW:
                machine.rest(now, None)

    # --- what few schedulers tell each other ------------------------------------------------------------

    def _tell(self) -> None:
        """Tell all peers the own account of machines where it changed; the rest waits its turn."""
        parts: list[bytes] = []
        for machine in list(self._changed.values())[: self.settings.message_bytes // TOLD.size]:
            del self._changed[machine.id]
            figures = (min(0xFFFF, max(0, round(held * TOLD_PARTS))) for held in machine.asked.own)
            parts.append(TOLD.pack(machine.number, *figures))
        self._out.append(Tell(b"".join(parts)))

    def _on_message(self, event: PeerMessage) -> None:
        if len(event.data) % TOLD.size or not 0 <= event.peer < self.settings.schedulers:
            return
        told = {number: (c / TOLD_PARTS, m / TOLD_PARTS) for number, c, m in TOLD.iter_unpack(event.data)}
        for machine in self._machines.values():
            if machine.number in told:
                machine.asked.peers[event.peer] = told[machine.number]
                machine.asked.reckon()

    # --- accounts ---------------------------------------------------------------------------------------

    def _charge(self, now: int, task: _Task, attempt: _Attempt, running: bool = False) -> None:
        machine, asked = attempt.machine, task.asked
        self._count_spread(task, attempt)
        self._changed[machine.id] = machine
        machine.held[asked.service] = machine.held.get(asked.service, 0) + 1
        machine.kept.pop(asked.service, None)
        use = self._class_use[asked.klass]
        attempt.use = [use[0].value * asked.cores, use[1].value * asked.memory]
        machine.asked.add(now, asked.cores, asked.memory, running)
        machine.used.add(now, attempt.use[0], attempt.use[1], running)

    def _release(self, now: int, task: _Task, attempt: _Attempt) -> None:
        machine, asked = attempt.machine, task.asked
        machine.line.pop(asked.task, None)
        places = self._spread[asked.service]
        places[attempt.place] -= 1
        if not places[attempt.place]:
            del places[attempt.place]
            if not places:
                del self._spread[asked.service]
        if attempt.ready_ns != machine.ready_ns:
            return
        self._changed[machine.id] = machine
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
        self._class_use[asked.klass][at].add(ratio)
        if not self.settings.reports_count_use:
            self._use_share[at].add(ratio)
        change = [0.0, 0.0]
        change[at] = note.level - attempt.use[at]
        attempt.use[at] = note.level
        if attempt.ready_ns == attempt.machine.ready_ns:
            attempt.machine.used.add(now, change[0], change[1])

    def _read_report(self, now: int, machine: _Machine, report: LoadReport) -> None:
        if report.cores_free is None or report.memory_free is None or not self.settings.kinds:
            return
        size = self.settings.kinds[machine.kind]
        cores, memory = size.cores - report.cores_free, size.memory - report.memory_free
        if not self.settings.reports_count_use:
            machine.asked.observe(now, cores, memory)
            return
        machine.used.observe(now, cores, memory)
        for at, used in enumerate((cores, memory)):
            if machine.asked.total[at] > 0:
                ratio = min(2.0, used / machine.asked.total[at])
                self._use_share[at].add(ratio)


def _use_means(most: int) -> tuple[_Mean, _Mean]:
    return _Mean(FIRST_CORES, most), _Mean(FIRST_MEMORY, most)


def _place_of(machine: _Machine, scope: Scope) -> str | int:
    if scope is Scope.MACHINE:
        return machine.id
    if scope is Scope.CELL:
        return machine.cell
    if scope is Scope.ZONE:
        return machine.zone
    return 0
