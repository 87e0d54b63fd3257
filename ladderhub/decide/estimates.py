"""Estimated times to start: queue delay, warm and cold starts, and how starts update these estimates."""

from collections import defaultdict

from ladderhub.decide.records import ANSWER_MARGIN_NS, MS, Attempt, Machine, Mean, S, Task
from ladderhub.decide.warmth import Warmth
from ladderhub.interface import Effect, Settings

INITIAL_WARM_NS = 250 * MS  # estimates before any start was seen: a cold start is worth avoiding,
INITIAL_COLD_NS = 2 * S  # but not at the price of a long queue
UNCROWDED_FILL = 0.8  # projected use over the calm level up to which crowding adds no delay
MIN_TIMEOUT_NS = 1_500 * MS  # shortest time-out of a repeatable offer
TIMEOUT_FACTOR = 2.0  # of the expected cold start: most cold starts must finish within the time-out
# The same where machines answer on acceptance; the factor applies to the mean time to acceptance.
MIN_ACCEPT_TIMEOUT_NS, ACCEPT_TIMEOUT_FACTOR = 1 * S, 8.0


class Estimates:
    """Mean start times by class, and the estimates computed from them."""

    def __init__(self, settings: Settings, warmth: Warmth) -> None:
        self.settings, self.warmth = settings, warmth
        self.warm_start: defaultdict[int, Mean] = defaultdict(lambda: Mean(INITIAL_WARM_NS))
        self.cold_start: defaultdict[int, Mean] = defaultdict(lambda: Mean(INITIAL_COLD_NS))
        self.accept_time = Mean(0.0)  # time to acceptance, where that is the first answer
        self.queue_delay_share = Mean(1.0)  # share of the queue delay really waited: starts run in parallel

    def estimate_crowding_delay(self, fill: float, task: Task) -> float:
        """Return the delay equivalent to crowding: a cold start at the calm level, 0 up to UNCROWDED_FILL."""
        return (
            self.cold_start[task.klass].value * (max(0.0, fill - UNCROWDED_FILL) / (1 - UNCROWDED_FILL)) ** 2
        )

    def estimate_queue_delay(self, now: int, machine: Machine) -> float:
        """Return the remaining time of the oldest open offer plus the expected start times of the others.

        A machine that hangs, slows down or is cut off keeps a queue that looks short.  An offer past its
        expected time therefore counts as the time it is overdue, the usual estimate for a wait of unknown
        length."""
        if not machine.start_queue:
            return 0.0
        oldest, *others = machine.start_queue.values()
        return abs(oldest.sent_ns + oldest.expected_start_ns - now) + sum(
            other.expected_start_ns for other in others
        )

    def estimate_start(self, now: int, task: Task, machine: Machine, tier: int | None) -> float:
        warm_share = self.warmth.estimate_warm_share(task.asked.service, machine, tier)
        mean = (
            warm_share * self.warm_start[task.klass].value
            + (1 - warm_share) * self.cold_start[task.klass].value
        )
        return mean * self.compute_slowdown(now, machine)

    def compute_slowdown(self, now: int, machine: Machine) -> float:
        """Return how many times longer starts take on a fresh machine, if its speed rises linearly."""
        age, span, pace = now - machine.ready_ns, self.settings.cold_span_ns, self.settings.cold_pace
        is_fresh = machine.ready_ns and age < span
        return 1 / (pace + (1 - pace) * max(0, age) / span) if is_fresh else 1.0

    def choose_timeout(self, now: int, task: Task, attempt: Attempt) -> int | None:
        """Return the time-out of an offer.  Unsafe tasks and last attempts get None, all the time there is:
        after a time-out they could only fail."""
        if task.accepted_class.effect is Effect.UNSAFE or task.used_attempts >= self.settings.max_attempts:
            return None
        if self.settings.first_at_running:
            expected = attempt.queue_delay_ns + self.cold_start[task.klass].value
            timeout_ns = max(MIN_TIMEOUT_NS, round(TIMEOUT_FACTOR * expected))
        else:
            timeout_ns = max(MIN_ACCEPT_TIMEOUT_NS, round(ACCEPT_TIMEOUT_FACTOR * self.accept_time.value))
        return timeout_ns if now + timeout_ns < task.deadline_ns - ANSWER_MARGIN_NS else None

    def record_start(self, now: int, task: Task, attempt: Attempt) -> None:
        """Take a task that runs now out of the machine's start queue, and update the means with its start."""
        if attempt.started_ns is not None:
            return
        attempt.started_ns = now
        attempt.machine.start_queue.pop(task.asked.task, None)
        if not attempt.is_current():
            return
        klass, slowdown = task.klass, self.compute_slowdown(now, attempt.machine)
        start_ns = max(0.0, now - attempt.sent_ns - self.queue_delay_share.value * attempt.queue_delay_ns)
        threshold = (self.warm_start[klass].value * self.cold_start[klass].value) ** 0.5
        may_be_warm = attempt.cache_depth is not None or attempt.tier is not None
        was_cold = not attempt.was_active and (start_ns / slowdown > threshold if may_be_warm else True)
        (self.cold_start if was_cold else self.warm_start)[klass].add(start_ns / slowdown)
        self.warmth.learn(attempt, not was_cold)
        expected = (self.cold_start if was_cold else self.warm_start)[klass].value
        if attempt.queue_delay_ns:
            self.queue_delay_share.add(
                min(1.0, max(0.0, (now - attempt.sent_ns - expected) / attempt.queue_delay_ns))
            )
