"""Admission control of a node: the queue of offers, resource checks, start slots, warm services, fenced runs.

Nothing here does I/O or reads the clock: the current time is an argument.  Memory is in GiB, times are in
nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

RunKey = tuple[str, int]  # job identifier and run
MS = 1_000_000


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Capacity and limits of one node.

    Admitted jobs may use up to `admit_cores` times the cores and `admit_memory` times the memory.
    `max_warm_services` is the number of services whose program stays warm after their last task has ended.  A
    fresh node starts tasks at the share `cold_pace` of the usual pace, which rises to 1 over `cold_span_ns`.
    A fenced run stays fenced for `fence_ttl_ns`."""

    cores: float
    memory: float
    kind: str = ""
    admit_cores: float = 1.0
    admit_memory: float = 1.0
    max_queued_offers: int = 50
    max_concurrent_starts: int = 4
    max_warm_services: int = 6
    cold_pace: float = 0.2
    cold_span_ns: int = 0
    fence_ttl_ns: int = 3600 * 1_000_000_000

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
    """A job that a scheduler offers: the resources it requests and the service whose program it runs."""

    key: RunKey
    service: str
    cores: float
    memory: float
    queue: str = ""
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an offer is refused: `code` is a key of `pbs.names.REFUSALS`, `text` is for people."""

    code: str
    text: str


class Admission:
    """The state of one node: used resources, queued offers, start slots, warm services and fenced runs."""

    def __init__(self, settings: NodeSettings, ready_ns: int) -> None:
        self.settings, self.ready_ns = settings, ready_ns
        self.draining = False
        self.used = [0.0, 0.0]  # cores and memory of the admitted jobs
        self._offer_queue: deque[Offer] = deque()
        self._evaluating: Offer | None = None
        self._admitted: dict[RunKey, Offer] = {}  # admitted and not ended yet
        self._awaiting_start: deque[RunKey] = deque()  # committed, waiting for a start slot
        self._starting: set[RunKey] = set()
        self._running_tasks: dict[str, int] = {}  # number of running tasks by service
        self._warm_services: OrderedDict[str, None] = OrderedDict()
        self._fenced: OrderedDict[RunKey, int] = OrderedDict()

    # --- offers ---------------------------------------------------------------------------------------------

    def enqueue(self, now: int, offer: Offer) -> Refusal | None:
        """Queue an offer for evaluation, or return a refusal if the queue is full."""
        if len(self._offer_queue) >= self.settings.max_queued_offers:
            return Refusal("LINE_FULL", f"{len(self._offer_queue)} asks wait already")
        self._offer_queue.append(offer)
        return None

    def begin_evaluation(self) -> Offer | None:
        """Take the next offer from the queue, or return None if one is being evaluated or none is queued."""
        if self._evaluating is not None or not self._offer_queue:
            return None
        self._evaluating = self._offer_queue.popleft()
        return self._evaluating

    def finish_evaluation(self, now: int) -> Refusal | None:
        """Admit the offer under evaluation and reserve its resources, or return the refusal."""
        offer, self._evaluating = self._evaluating, None
        assert offer is not None
        refusal = self._find_refusal(now, offer)
        if refusal is None:
            self._admitted[offer.key] = offer
            self.used[0] += offer.cores
            self.used[1] += offer.memory
        return refusal

    def _find_refusal(self, now: int, offer: Offer) -> Refusal | None:
        settings = self.settings
        if self.draining:
            return Refusal("NOT_HERE", "the node drains")
        if self.is_fenced(now, offer.key):
            return Refusal("NOT_HERE", "the offer came too late")
        if any(key[0] == offer.key[0] for key in self._admitted):
            return Refusal("NOT_HERE", "a copy of the job stands here")
        for index, code, limit, amount in (
            (0, "CORES", settings.cores * settings.admit_cores, offer.cores),
            (1, "MEMORY", settings.memory * settings.admit_memory, offer.memory),
        ):
            if self.used[index] + amount > limit + 1e-9:
                unit = "cores" if index == 0 else "GiB"
                free = max(0.0, limit - self.used[index])
                return Refusal(code, f"{amount:g} {unit} asked, {free:g} free")
        return None

    def withdraw(self, key: RunKey) -> bool:
        """Withdraw an uncommitted offer.  Return True if it was admitted, so that resources are released."""
        self._offer_queue = deque(offer for offer in self._offer_queue if offer.key != key)
        return self.release_resources(key)

    # --- starts ---------------------------------------------------------------------------------------------

    def commit(self, key: RunKey) -> bool:
        """Queue an admitted job for a start slot.  Return False if it was not admitted."""
        if key not in self._admitted:
            return False
        self._awaiting_start.append(key)
        return True

    def begin_next_start(self) -> tuple[Offer, bool] | None:
        """Take a start slot for the next waiting job.  Return the job and whether its program is warm."""
        if not self._awaiting_start or len(self._starting) >= self.settings.max_concurrent_starts:
            return None
        key = self._awaiting_start.popleft()
        offer = self._admitted[key]
        self._starting.add(key)
        return offer, offer.service in self._running_tasks or offer.service in self._warm_services

    def mark_started(self, key: RunKey) -> None:
        """Free the start slot of a job that runs now."""
        self._starting.discard(key)
        service = self._admitted[key].service
        self._warm_services.pop(service, None)
        self._running_tasks[service] = self._running_tasks.get(service, 0) + 1

    def release_resources(self, key: RunKey) -> bool:
        """Release the resources of a job that ended or was cancelled.  Return False if it is not known."""
        offer = self._admitted.pop(key, None)
        if offer is None:
            return False
        self.used[0] -= offer.cores
        self.used[1] -= offer.memory
        was_running = key not in self._starting and key not in self._awaiting_start
        self._starting.discard(key)
        if key in self._awaiting_start:
            self._awaiting_start.remove(key)
        if was_running and self._running_tasks.get(offer.service):
            self._running_tasks[offer.service] -= 1
            if not self._running_tasks[offer.service]:
                del self._running_tasks[offer.service]
                self._warm_services[offer.service] = None
                while len(self._warm_services) > self.settings.max_warm_services:
                    self._warm_services.popitem(last=False)
        return True

    def discard_warm_services(self) -> None:
        """Forget the programs that stayed warm after their last task."""
        self._warm_services.clear()

    # --- figures --------------------------------------------------------------------------------------------

    def compute_start_pace(self, now: int) -> float:
        """Return the node's share of the usual start pace.  It rises linearly while the node is fresh."""
        age, span = now - self.ready_ns, self.settings.cold_span_ns
        if age >= span:
            return 1.0
        return self.settings.cold_pace + (1 - self.settings.cold_pace) * age / span

    def get_free_resources(self) -> tuple[float, float]:
        """Return the cores and memory that are not reserved; negative if the node is overcommitted."""
        return self.settings.cores - self.used[0], self.settings.memory - self.used[1]

    # --- fences ---------------------------------------------------------------------------------------------

    def fence(self, now: int, key: RunKey) -> None:
        """Ensure that a run can no longer start here.

        A scheduler that was told that the run is unknown relies on this, although its offer may still be on
        the way."""
        self._fenced[key] = now
        while self._fenced and now - next(iter(self._fenced.values())) > self.settings.fence_ttl_ns:
            self._fenced.popitem(last=False)

    def is_fenced(self, now: int, key: RunKey) -> bool:
        """Tell whether this run must not start here."""
        return key in self._fenced and now - self._fenced[key] <= self.settings.fence_ttl_ns
