"""Times to start: lines of machines, own figures warm and cold, and what starts teach of both."""

from collections import defaultdict

from ladderhub.decide.records import ANSWER_MARGIN_NS, MS, Attempt, Machine, Mean, S, Task
from ladderhub.decide.warmth import Warmth
from ladderhub.interface import Effect, Settings

FIRST_WARM_NS = 250 * MS  # figures before anything was seen: a cold start is worth avoiding,
FIRST_COLD_NS = 2 * S  # yet not at the price of a long line
EASY = 0.8  # projected use over the calm level up to which crowding costs nothing
TIMEOUT_LEAST_NS = 1_500 * MS  # shortest time-out of a repeatable offer
TIMEOUT_TIMES = 2.0  # and as a multiple of the time a cold start would take: most cold starts must end in it
ACCEPT_LEAST_NS, ACCEPT_TIMES = 1 * S, 8.0  # the same where machines answer on acceptance, by its average


class Estimates:
    """Averages by class, and the sums that are made of them."""

    def __init__(self, settings: Settings, warmth: Warmth) -> None:
        self.settings, self.warmth = settings, warmth
        self.warm: defaultdict[int, Mean] = defaultdict(lambda: Mean(FIRST_WARM_NS))
        self.cold: defaultdict[int, Mean] = defaultdict(lambda: Mean(FIRST_COLD_NS))
        self.accept = Mean(0.0)  # time to acceptance, where that is the first answer
        self.line_share = Mean(1.0)  # how much of a line is really waited: starts run side by side

    def crowding(self, fill: float, task: Task) -> float:
        """What crowding is worth avoiding: a cold start where use is at the calm level; if easy, nothing."""
        return self.cold[task.klass].value * (max(0.0, fill - EASY) / (1 - EASY)) ** 2

    def line(self, now: int, machine: Machine) -> float:
        """Remainder of the oldest open offer and the estimates of the others.

        Danger: a machine that stands still, slows or is cut off keeps a line that looks short.  So an offer
        past its estimate counts what it is overdue, the usual guess for a wait of unknown length."""
        if not machine.start_queue:
            return 0.0
        oldest, *others = machine.start_queue.values()
        return abs(oldest.sent_ns + oldest.own_ns - now) + sum(other.own_ns for other in others)

    def own_figure(self, now: int, task: Task, machine: Machine, level: int | None) -> float:
        warm = self.warmth.share(task.asked.service, machine, level)
        figure = warm * self.warm[task.klass].value + (1 - warm) * self.cold[task.klass].value
        return figure * self.slowness(now, machine)

    def slowness(self, now: int, machine: Machine) -> float:
        """How many times longer starts take on a fresh machine, if its pace grows in a straight line."""
        age, span, pace = now - machine.ready_ns, self.settings.cold_span_ns, self.settings.cold_pace
        fresh = machine.ready_ns and age < span
        return 1 / (pace + (1 - pace) * max(0, age) / span) if fresh else 1.0

    def timeout(self, now: int, task: Task, attempt: Attempt) -> int | None:
        """Unsafe tasks and last attempts are given all the time there is: giving up leaves only failure."""
        if task.promise.effect is Effect.UNSAFE or task.spent >= self.settings.max_attempts:
            return None
        if self.settings.first_at_running:
            own = attempt.line_ns + self.cold[task.klass].value
            span = max(TIMEOUT_LEAST_NS, round(TIMEOUT_TIMES * own))
        else:
            span = max(ACCEPT_LEAST_NS, round(ACCEPT_TIMES * self.accept.value))
        return span if now + span < task.deadline_ns - ANSWER_MARGIN_NS else None

    def started(self, now: int, task: Task, attempt: Attempt) -> None:
        """The task runs: its estimate leaves the sum, and the start is learned from."""
        if attempt.started is not None:
            return
        attempt.started = now
        attempt.machine.start_queue.pop(task.asked.task, None)
        if not attempt.is_current():
            return
        klass, pace = task.klass, self.slowness(now, attempt.machine)
        own = max(0.0, now - attempt.sent_ns - self.line_share.value * attempt.line_ns)
        border = (self.warm[klass].value * self.cold[klass].value) ** 0.5
        unknown = attempt.depth is not None or attempt.level is not None
        was_cold = not attempt.held and (own / pace > border if unknown else True)
        (self.cold if was_cold else self.warm)[klass].add(own / pace)
        self.warmth.learn(attempt, not was_cold)
        expected = (self.cold if was_cold else self.warm)[klass].value
        if attempt.line_ns:
            self.line_share.add(min(1.0, max(0.0, (now - attempt.sent_ns - expected) / attempt.line_ns)))
