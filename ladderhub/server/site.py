"""What the rooms of one daemon share: means, state, and the two calls by which decisions are asked for.

A room is handed a `Site` and the neighbours it calls.  A site knows of no room: rooms join its board, its
metrics and its lists.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.loop import Loop
from ladderhub.owner import Owner
from ladderhub.owner import types as own
from ladderhub.pbs.batch import Attr
from ladderhub.dispatcher import ActionExecutor, EventDispatcher
from ladderhub.server.jobs import JobRecord, JobTable
from ladderhub.server.lasting import FolderLock
from ladderhub.server.metrics import Metrics
from ladderhub.server.nodelinks import NodeLinks
from ladderhub.server.runs import Runs
from ladderhub.server.settings import Loaded, policy_body
from ladderhub.server.usagemetrics import UsageMetrics
from ladderhub.usage.accounted import processor_of
from ladderhub.usage.traffic import NODE, Traffic


@dataclass(frozen=True, slots=True)
class PolicyRevision:
    """Which policy is in force."""

    number: int
    digest: bytes


class Part(Protocol):
    """What lives as long as the daemon; `Daemon.parts` holds them in the order of their start."""

    def start(self) -> None:
        """Begin; OSError where that can't be done."""

    def stop(self, now: bool) -> None:
        """Take on nothing more and settle what was taken; `now`: no more time is left."""

    def owes(self) -> int:
        """How much of what was taken is not settled."""

    def close(self) -> None:
        """All is over."""


class Site:
    """One daemon's shared state.

    `on_finished` hears of each job that is over, `on_placed` of each that runs, `on_unplaced` of each that
    lost its place and is placed again, `on_node` of each node that is gone (False) or back (True), also where
    it began anew without being missed, `on_news` of the number of each finished job that a node spoke of,
    `on_settings` of settings that have come into force.  `before_event` is called before decisions on jobs
    hear of anything: what it tells them is heard first."""

    def __init__(self, loop: Loop, settings: Loaded, log: Any) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.name = settings.file.server
        self.revision = PolicyRevision(1, hashlib.sha256(policy_body(settings.file)).digest())
        self.held = ""  # why jobs are taken and not yet asked for
        self._changes: deque[tuple[Loaded, PolicyRevision]] = deque()
        self._held_back: list[api.Event] = []
        self.before_event: Callable[[], None] | None = None
        self.folder = Path(settings.file.spool)
        self.lock = FolderLock(self.folder)
        self.jobs = JobTable(settings.keep_finished_ns, self.name)
        self.runs = Runs()
        self.metrics = Metrics()
        self.processor, self.traffic = processor_of(loop), Traffic()
        self.metrics.register(UsageMetrics(self.processor, self.traffic))
        self.links = NodeLinks(loop, settings.connect_ns, self.traffic.of(NODE))
        self.module = Scheduler(settings.module, settings.file.seed)
        self.owner = Owner(settings.owner, settings.file.seed)
        self.dispatcher = EventDispatcher(loop.now_ns, self._fault)
        self.stopping = False
        self.advertise = ""
        self.on_finished: list[Callable[[JobRecord], None]] = []
        self.on_placed: list[Callable[[JobRecord], None]] = []
        self.on_unplaced: list[Callable[[JobRecord], None]] = []
        self.on_node: list[Callable[[str, bool], None]] = []
        self.on_news: list[Callable[[int], None]] = []
        self.on_settings: list[Callable[[], None]] = []
        self.status_rows: list[Callable[[], list[Attr]]] = []  # of rooms that tell of themselves there
        self._module: Callable[[api.Event], None] = _nobody
        self._owner: Callable[[own.Event], None] = _nobody

    def join(self, module: ActionExecutor, owner: ActionExecutor) -> None:
        """These carry out what the two modules decide."""
        self._module = self.dispatcher.register(self.module, module)
        self._owner = self.dispatcher.register(self.owner, owner)

    def tell_module(self, event: api.Event) -> None:
        self._before_event()
        if self.held:
            self._held_back.append(event)
        else:
            self._module(event)

    def tell_owner(self, event: own.Event) -> None:
        self._before_event()
        self._owner(event)

    def _before_event(self) -> None:
        if self.before_event is not None:
            self.before_event()

    # --- settings that change -------------------------------------------------------------------------------

    def newest_settings(self) -> Loaded:
        """The last that were handed over, in force by now or not."""
        return self._changes[-1][0] if self._changes else self.settings

    def change_settings(self, loaded: Loaded, number: int, digest: bytes) -> None:
        """Go on by other settings, made by `Loaded.with_policy` of those before.

        All of it happens in one turn of the board, and at once where nothing is being decided: what was told
        before is decided by the old settings and bears their revision, all after it by the new ones."""
        self._changes.append((loaded, PolicyRevision(number, digest)))
        with self.dispatcher.batch():
            self._module(api.SettingsChanged(loaded.module))
            self._owner(own.SettingsChanged(loaded.owner))

    def settings_in_force(self, event: api.SettingsChanged) -> None:
        """The decision module has taken them: so do all rooms."""
        loaded, revision = self._changes.popleft()
        while loaded.module is not event.settings:
            loaded, revision = self._changes.popleft()
        self.settings, self.revision = loaded, revision
        self.links.connect_ns, self.jobs.keep_ns = loaded.connect_ns, loaded.keep_finished_ns
        self.log.info("policy", revision=revision.number, digest=revision.digest.hex())
        for told in self.on_settings:
            told()

    def hold(self, reason: str) -> None:
        """From now on jobs are taken and wait, with this reason.

        The decision module hears of nothing but changes of settings until `resume`, as if it stood still.

        Danger: a task that it had been asked for before is sent anew, by settings that may be old."""
        self.held = reason
        self._owner(own.RequestsPaused(reason))

    def resume(self) -> None:
        """The decision module hears of what came meanwhile, and jobs that were held back are asked for."""
        self.held = ""
        held_back, self._held_back = self._held_back, []
        with self.dispatcher.batch():
            for event in held_back:
                self._module(event)
            self._owner(own.RequestsResumed())

    def _fault(self, event: Any, fault: Exception) -> None:
        self.metrics.troubles += 1
        self.log.error("decision", told=repr(event), exc_info=fault)


def _nobody(event: Any) -> None:
    raise RuntimeError("no carrier has joined yet")
