"""State of one machine, one attempt and one task; running means and resource accounts."""

import zlib
from collections import OrderedDict, deque
from dataclasses import replace

from ladderhub.interface import MachineEntry, Outcome, Scope, Settings, TaskAsked

MS, S = 1_000_000, 1_000_000_000
INITIAL_WEIGHT = 4  # samples that an initial value counts as; low, since some schedulers see few starts
SHORT_MEAN_SAMPLES, LONG_MEAN_SAMPLES = 20, 60  # samples that a mean covers: of one thing, of a whole class
NOTE_VALID_NS = 3 * S  # for how long a note on pressure or a reading of use is taken as current
OBSERVATION_LAG_NS = 600 * MS  # usual age of a list's free amounts or of a load report on arrival
ANSWER_MARGIN_NS = 40 * MS  # an answer leaves this long before its deadline, a repeat before its window ends
NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT})
MAX_CACHED_SERVICES = 16  # per machine; less recently used programs are nearly always gone
INITIAL_BACKOFF_NS, UNEXPLAINED_BACKOFF_NS = 600 * MS, 6 * S  # the latter after refusals without a reason
MAX_BACKOFF_FACTOR = 8  # back-offs double up to this multiple of the first one


class Mean:
    """A running mean that leaves its initial value soon and gives old samples less and less weight."""

    __slots__ = ("count", "max_count", "value")

    def __init__(self, initial: float, max_count: int = SHORT_MEAN_SAMPLES) -> None:
        self.value, self.count, self.max_count = initial, INITIAL_WEIGHT, max_count

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, self.max_count)
        self.value += (value - self.value) / self.count


class Account:
    """Cores and memory on one machine.  This scheduler's own share is exact; the share of others is a delayed
    reading less the own share at the time of that reading."""

    def __init__(self) -> None:
        self.own, self.observed_others = [0.0, 0.0], [0.0, 0.0]
        self.total = [0.0, 0.0]  # read often, so it and `held_by_others` are recomputed on each change
        self.held_by_others = [0.0, 0.0]
        self.observed_ns = -1
        self.peers: dict[int, tuple[float, float]] = {}  # share that each other scheduler reported
        self.history: deque[tuple[int, float, float]] = deque(((-1, 0.0, 0.0),))  # own share during the lag

    def add(self, now: int, cores: float, memory: float, was_running: bool = False) -> None:
        """Change the own share.  A task that ran before this scheduler took it over was part of the readings,
        as a task of others."""
        for index, amount in enumerate((cores, memory)):
            self.own[index] += amount
            self.observed_others[index] -= amount if was_running and self.observed_ns >= 0 else 0.0
        if was_running:
            self.history.clear()
        self._trim_history(now - OBSERVATION_LAG_NS)
        self.history.append((now, self.own[0], self.own[1]))
        self.recompute()

    def _trim_history(self, since_ns: int) -> None:
        while len(self.history) > 1 and self.history[1][0] <= since_ns:
            self.history.popleft()

    def observe(self, now: int, cores: float, memory: float) -> None:
        self._trim_history(now - OBSERVATION_LAG_NS)
        _, own_cores, own_memory = self.history[0]
        self.observed_others = [cores - own_cores, memory - own_memory]
        self.observed_ns = now
        self.recompute()

    def recompute(self) -> None:
        uses_peers = self.observed_ns < 0 and self.peers
        for index, own in enumerate(self.own):
            others = (
                sum(share[index] for share in self.peers.values())
                if uses_peers
                else self.observed_others[index]
            )
            self.total[index] = own + others
            self.held_by_others[index] = max(0.0, self.total[index] - own)


class Machine:
    """What is known of one machine; a restart resets all but `is_unavailable` and `gone_since_ns`."""

    def __init__(self, entry: MachineEntry, listed: bool) -> None:
        self.id, self.kind, self.zone, self.cell = entry.machine, entry.kind, entry.zone, entry.cell
        self.is_unavailable = not listed
        self.gone_since_ns: int | None = None if listed else 0
        self.id_hash = zlib.crc32(self.id.encode()) | 1
        self.restart(entry.ready_ns)

    def restart(self, ready_ns: int) -> None:
        self.ready_ns = ready_ns
        self.start_queue: dict[int, Attempt] = {}  # offers sent and not yet running, oldest first
        self.active_services: dict[str, int] = {}  # number of this scheduler's tasks and offers, by service
        self.cached_services: OrderedDict[str, None] = OrderedDict()  # with no task left, least recent first
        self.requested, self.used = Account(), Account()
        self.backoffs: dict[tuple[int, int] | None, tuple[int, int]] = {}  # end, length of the next one
        self.consecutive_errors = 0  # tasks whose first error was here, since the last was placed
        self.pressure_notes = [(-NOTE_VALID_NS, 0.0), (-NOTE_VALID_NS, 0.0)]  # last poor service, memory use
        self.offer_times: deque[int] = deque()  # within the cold window
        self.cold_quota: tuple[tuple[int, ...] | None, int] = (None, 0)  # ordinals, offers per window

    def back_off(
        self, now: int, class_and_tenant: tuple[int, int] | None, first_ns: int = INITIAL_BACKOFF_NS
    ) -> None:
        """Send nothing of this class and tenant (None: nothing at all), for spans that double until a task is
        placed here."""
        until, span = self.backoffs.get(class_and_tenant, (0, first_ns))
        if until <= now:
            self.backoffs[class_and_tenant] = (now + span, min(MAX_BACKOFF_FACTOR * first_ns, 2 * span))

    def is_backing_off(self, now: int, class_and_tenant: tuple[int, int]) -> bool:
        return any(self.backoffs[each][0] > now for each in (None, class_and_tenant) if each in self.backoffs)

    def add_service(self, service: str) -> None:
        self.active_services[service] = self.active_services.get(service, 0) + 1
        self.cached_services.pop(service, None)

    def remove_service(self, service: str, started: bool) -> None:
        """Count one task or offer less; the program of the last task that ran stays cached for a while."""
        self.active_services[service] -= 1
        if not self.active_services[service]:
            del self.active_services[service]
            if started:
                self.cached_services[service] = None
                if len(self.cached_services) > MAX_CACHED_SERVICES:
                    self.cached_services.popitem(last=False)

    def get_cache_depth(self, service: str) -> int | None:
        return (
            list(reversed(self.cached_services)).index(service) if service in self.cached_services else None
        )


class Attempt:
    """One offer of a task to a machine, with the estimates at the time it was sent."""

    def __init__(self, number: int, machine: Machine, sent_ns: int) -> None:
        self.number, self.machine, self.sent_ns = number, machine, sent_ns
        self.ready_ns = machine.ready_ns
        self.expected_start_ns = self.queue_delay_ns = 0
        self.cache_depth: int | None = None  # programs cached there and used more recently; None: not cached
        self.was_active = False  # this scheduler had tasks or offers of the service there
        self.tier: int | None = None  # the machine's tier among those the service prefers
        self.started_ns: int | None = None
        self.use = [0.0, 0.0]

    def is_current(self) -> bool:
        """Tell whether the machine has not restarted since."""
        return self.ready_ns == self.machine.ready_ns


class Task:
    """One task from its request to the outcome of its last attempt; `accepted_class` is its class as it was
    when the task was accepted."""

    def __init__(self, asked: TaskAsked, settings: Settings, now: int) -> None:
        self.asked, self.klass, klass = asked, asked.klass, settings.classes[asked.klass]
        self.accepted_class = klass if asked.effect is None else replace(klass, effect=asked.effect)
        self.class_and_tenant = (asked.klass, asked.tenant)
        self.deadline_ns = now + asked.budget_ns
        self.sent_count = self.used_attempts = 0  # offers sent, and those that count against the limit
        self.attempt: Attempt | None = None
        self.placed = self.ended = False
        self.first_possible_run: tuple[Machine, int] | None = None  # first attempt that may have run
        self.excluded: set[str] = set()  # machines that get no further attempt


def get_domain(machine: Machine, scope: Scope) -> str | int:
    """Return the machine, cell or zone, by scope, that the machine belongs to."""
    if scope is Scope.MACHINE:
        return machine.id
    return machine.cell if scope is Scope.CELL else machine.zone if scope is Scope.ZONE else 0
