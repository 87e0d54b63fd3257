"""What is known of one machine, one offer and one task; running averages."""

import zlib
from collections import OrderedDict, deque
from dataclasses import replace

from ladderhub.interface import MachineEntry, Outcome, Scope, Settings, TaskAsked

MS, S = 1_000_000, 1_000_000_000
GUESS_COUNTS = 4  # a first guess counts as so many values: a scheduler that sees little must leave it soon
MEMORY_SHORT, MEMORY_LONG = 20, 60  # values that an average holds on to: of one thing, of a whole class
NOTE_FRESH_NS = 3 * S  # a note on pressure speaks for this long
VIEW_LAG_NS = 600 * MS  # usual age of a list's free figures or a load report when it comes
ANSWER_MARGIN_NS = 40 * MS  # an answer leaves this long before its deadline, a repeat before its window's end
NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHABLE, Outcome.NEVER_SENT})
KEPT_MOST = 16  # kept programs remembered for each machine; deeper ones have nearly always gone
REST_FIRST_NS, REST_ODD_NS = 600 * MS, 6 * S  # first rest after turning work away; where no reason came
REST_TIMES = 8  # and doubling up to so many first ones


class Mean:
    """A running average that leaves its first guess soon and lets old values fade."""

    __slots__ = ("count", "most", "value")

    def __init__(self, guess: float, most: int = MEMORY_SHORT) -> None:
        self.value, self.count, self.most = guess, GUESS_COUNTS, most

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, self.most)
        self.value += (value - self.value) / self.count


class Account:
    """Cores and memory on one machine: the own share exactly, the rest from late readings, less the own share
    at the time they speak of."""

    def __init__(self) -> None:
        self.own, self.other = [0.0, 0.0], [0.0, 0.0]
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


class Machine:
    """What is known of one machine; all but `shut` and `gone_ns` starts anew when it restarts."""

    def __init__(self, entry: MachineEntry, listed: bool) -> None:
        self.id, self.kind, self.zone, self.cell = entry.machine, entry.kind, entry.zone, entry.cell
        self.is_unavailable = not listed
        self.gone_ns: int | None = None if listed else 0  # since when it is gone
        self.number = zlib.crc32(self.id.encode()) | 1
        self.restart(entry.ready_ns)

    def restart(self, ready_ns: int) -> None:
        self.ready_ns = ready_ns
        self.start_queue: dict[int, Attempt] = {}  # offers sent and not yet running, oldest first
        self.active_services: dict[str, int] = {}  # services with tasks or offers of ours here
        self.kept: OrderedDict[str, None] = OrderedDict()  # services whose last task ended, oldest first
        self.requested, self.used = Account(), Account()
        self.rests: dict[tuple[int, int] | None, tuple[int, int]] = {}  # until when, next span
        self.errors = 0  # tasks in a row that first erred here, with none placed between
        self.notes = [(-NOTE_FRESH_NS, 0.0), (-NOTE_FRESH_NS, 0.0)]  # last of poor service, of short memory
        self.sends: deque[int] = deque()
        self.seats: tuple[tuple[int, ...] | None, int] = (None, 0)  # our share, by ordinals

    def rest(self, now: int, what: tuple[int, int] | None, first_ns: int = REST_FIRST_NS) -> None:
        """Nothing of this class and tenant, or at all, for spans that double until one is placed here."""
        until, span = self.rests.get(what, (0, first_ns))
        if until <= now:
            self.rests[what] = (now + span, min(REST_TIMES * first_ns, 2 * span))

    def rests_from(self, now: int, what: tuple[int, int]) -> bool:
        return any(self.rests[each][0] > now for each in (None, what) if each in self.rests)

    def hold(self, service: str) -> None:
        self.active_services[service] = self.active_services.get(service, 0) + 1
        self.kept.pop(service, None)

    def let_go(self, service: str, started: bool) -> None:
        """One task or offer fewer; the program of the last that ran is kept for a while."""
        self.active_services[service] -= 1
        if not self.active_services[service]:
            del self.active_services[service]
            if started:
                self.kept[service] = None
                if len(self.kept) > KEPT_MOST:
                    self.kept.popitem(last=False)

    def depth_of(self, service: str) -> int | None:
        return list(reversed(self.kept)).index(service) if service in self.kept else None


class Attempt:
    """One offer: where, when, and what it was expected to take."""

    def __init__(self, number: int, machine: Machine, sent_ns: int) -> None:
        self.number, self.machine, self.sent_ns = number, machine, sent_ns
        self.ready_ns = machine.ready_ns
        self.own_ns = self.line_ns = 0
        self.depth: int | None = None  # how many kept programs were used more lately; None if not kept
        self.held = False  # the service had tasks or offers of ours there
        self.level: int | None = None  # how early the machine comes among the service's homes
        self.started: int | None = None
        self.use = [0.0, 0.0]

    def is_current(self) -> bool:
        """The machine has not restarted since."""
        return self.ready_ns == self.machine.ready_ns


class Task:
    """One task from its asking to the outcome of its last attempt; `promise` is its class as it was taken."""

    def __init__(self, asked: TaskAsked, settings: Settings, now: int) -> None:
        self.asked, self.klass, klass = asked, asked.klass, settings.classes[asked.klass]
        self.promise = klass if asked.effect is None else replace(klass, effect=asked.effect)
        self.what = (asked.klass, asked.tenant)
        self.deadline_ns = now + asked.budget_ns
        self.sent = self.spent = 0  # offers, and those of them that count against the most
        self.attempt: Attempt | None = None
        self.placed = self.ended = False
        self.maybe_ran: tuple[Machine, int] | None = None  # first attempt that may have run
        self.struck: set[str] = set()


def place_of(machine: Machine, scope: Scope) -> str | int:
    if scope is Scope.MACHINE:
        return machine.id
    return machine.cell if scope is Scope.CELL else machine.zone if scope is Scope.ZONE else 0
