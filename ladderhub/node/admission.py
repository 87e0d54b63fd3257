"""What a node decides: which ask it looks at, whether there is room, which start goes next, what stays warm.

Pure: moments come as arguments, nothing here waits.  Cores are numbers, memory is GiB, times nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

RunKey = tuple[str, int]  # job identifier and run
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """One node.  `max_queued_offers` asks may wait to be looked at; `max_concurrent_starts` starts go side
    by side; `kept` programs stay warm after their last task; fresh, it starts at `cold_pace` of its pace for
    `cold_span_ns`."""

    cores: float
    memory: float
    kind: str = ""
    admit_cores: float = 1.0
    admit_memory: float = 1.0
    max_queued_offers: int = 50
    max_concurrent_starts: int = 4
    kept: int = 6
    cold_pace: float = 0.2
    cold_span_ns: int = 0
    bar_ns: int = 3600 * 1_000_000_000

    def __post_init__(self) -> None:
        if self.cores <= 0 or self.memory <= 0:
            raise ValueError("cores and memory: must be above 0")
        if self.admit_cores <= 0 or self.admit_memory <= 0:
            raise ValueError("admit_cores and admit_memory: must be above 0")
        if self.max_queued_offers < 1 or self.max_concurrent_starts < 1:
            raise ValueError("max_queued_offers and max_concurrent_starts: must be at least 1")
        if not 0 < self.cold_pace <= 1:
            raise ValueError("cold_pace: must be above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Offer:
    """A job that is offered: what it asks for, and the service whose program it needs."""

    key: RunKey
    service: str
    cores: float
    memory: float
    queue: str = ""
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """`code` is a key of `pbs.names.REFUSALS`; `text` is for people."""

    code: str
    text: str


class Admission:
    """The books of one node: room, the line of asks, start slots, warm programs, barred runs."""

    def __init__(self, settings: NodeSettings, ready_ns: int) -> None:
        self.settings, self.ready_ns = settings, ready_ns
        self.draining = False
        self.used = [0.0, 0.0]
        self._line: deque[Offer] = deque()
        self._looking: Offer | None = None
        self._taken: dict[RunKey, Offer] = {}  # admitted and not ended
        self._waiting: deque[RunKey] = deque()  # committed, waiting for a start slot
        self._starting: set[RunKey] = set()
        self._running: dict[str, int] = {}  # services with started tasks
        self._kept: OrderedDict[str, None] = OrderedDict()
        self._barred: OrderedDict[RunKey, int] = OrderedDict()

    # --- asks -----------------------------------------------------------------------------------------------

    def enqueue(self, now: int, ask: Offer) -> Refusal | None:
        """Put an ask in line; a refusal where it can't even wait."""
        if len(self._line) >= self.settings.max_queued_offers:
            return Refusal("LINE_FULL", f"{len(self._line)} asks wait already")
        self._line.append(ask)
        return None

    def begin_evaluation(self) -> Offer | None:
        """The ask to look at now, one at a time; None while one is being looked at or none waits."""
        if self._looking is not None or not self._line:
            return None
        self._looking = self._line.popleft()
        return self._looking

    def finish_evaluation(self, now: int) -> Refusal | None:
        """The look is over: the ask is taken in, with its room, or refused."""
        ask, self._looking = self._looking, None
        assert ask is not None
        refusal = self._judge(now, ask)
        if refusal is None:
            self._taken[ask.key] = ask
            self.used[0] += ask.cores
            self.used[1] += ask.memory
        return refusal

    def _judge(self, now: int, ask: Offer) -> Refusal | None:
        settings = self.settings
        if self.draining:
            return Refusal("NOT_HERE", "the node drains")
        if self.is_barred(now, ask.key):
            return Refusal("NOT_HERE", "the offer came too late")
        if any(key[0] == ask.key[0] for key in self._taken):
            return Refusal("NOT_HERE", "a copy of the job stands here")
        for at, name, limit, amount in (
            (0, "CORES", settings.cores * settings.admit_cores, ask.cores),
            (1, "MEMORY", settings.memory * settings.admit_memory, ask.memory),
        ):
            if self.used[at] + amount > limit + 1e-9:
                unit = "cores" if at == 0 else "GiB"
                free = max(0.0, limit - self.used[at])
                return Refusal(name, f"{amount:g} {unit} asked, {free:g} free")
        return None

    def withdraw(self, key: RunKey) -> bool:
        """An ask that was not committed is no longer wanted; True where its room was given back."""
        self._line = deque(ask for ask in self._line if ask.key != key)
        return self.release_resources(key)

    # --- starts ---------------------------------------------------------------------------------------------

    def commit(self, key: RunKey) -> bool:
        """The job may start; False where it was not taken in."""
        if key not in self._taken:
            return False
        self._waiting.append(key)
        return True

    def begin_next_start(self) -> tuple[Offer, bool] | None:
        """The job that may start now, and whether its program is warm."""
        if not self._waiting or len(self._starting) >= self.settings.max_concurrent_starts:
            return None
        key = self._waiting.popleft()
        ask = self._taken[key]
        self._starting.add(key)
        return ask, ask.service in self._running or ask.service in self._kept

    def mark_started(self, key: RunKey) -> None:
        self._starting.discard(key)
        service = self._taken[key].service
        self._kept.pop(service, None)
        self._running[service] = self._running.get(service, 0) + 1

    def release_resources(self, key: RunKey) -> bool:
        """The job is over or called off: its room is free; False where it is not known."""
        ask = self._taken.pop(key, None)
        if ask is None:
            return False
        self.used[0] -= ask.cores
        self.used[1] -= ask.memory
        was_running = key not in self._starting and key not in self._waiting
        self._starting.discard(key)
        if key in self._waiting:
            self._waiting.remove(key)
        if was_running and self._running.get(ask.service):
            self._running[ask.service] -= 1
            if not self._running[ask.service]:
                del self._running[ask.service]
                self._kept[ask.service] = None
                while len(self._kept) > self.settings.kept:
                    self._kept.popitem(last=False)
        return True

    def discard_warm_services(self) -> None:
        """The kept programs are lost."""
        self._kept.clear()

    # --- what is told ---------------------------------------------------------------------------------------

    def pace(self, now: int) -> float:
        """Share of the usual speed of starts: a fresh node is slow, and gains in a straight line."""
        age, span = now - self.ready_ns, self.settings.cold_span_ns
        if age >= span:
            return 1.0
        return self.settings.cold_pace + (1 - self.settings.cold_pace) * age / span

    def get_free_resources(self) -> tuple[float, float]:
        """Cores and memory that nobody has asked for; below 0 where more was taken in."""
        return self.settings.cores - self.used[0], self.settings.memory - self.used[1]

    # --- bars -----------------------------------------------------------------------------------------------

    def bar(self, now: int, key: RunKey) -> None:
        """This run must never start here: its scheduler counts on that.

        Danger: an offer that is still on its way when its scheduler has asked and was told «unknown»."""
        self._barred[key] = now
        while self._barred and now - next(iter(self._barred.values())) > self.settings.bar_ns:
            self._barred.popitem(last=False)

    def is_barred(self, now: int, key: RunKey) -> bool:
        return key in self._barred and now - self._barred[key] <= self.settings.bar_ns
