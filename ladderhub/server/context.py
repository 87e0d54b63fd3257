"""Shared state of the components of one daemon, and the two calls that pass events to the decision modules.

A component receives a `DaemonContext` and the components that it calls.  The context does not know the
components: they register with its dispatcher, its metrics and its callback lists.
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
from ladderhub.dispatcher import ActionExecutor, EventDispatcher
from ladderhub.loop import Loop
from ladderhub.owner import Owner
from ladderhub.owner import types as own
from ladderhub.pbs.batch import Attr
from ladderhub.server.jobs import JobRecord, JobTable
from ladderhub.server.metrics import Metrics
from ladderhub.server.nodelinks import NodeLinks
from ladderhub.server.runs import RunTable
from ladderhub.server.settings import LoadedSettings, encode_policy
from ladderhub.server.spool import SpoolLock
from ladderhub.server.usagemetrics import UsageMetrics
from ladderhub.usage.accounted import processor_of
from ladderhub.usage.traffic import NODE, Traffic


@dataclass(frozen=True, slots=True)
class PolicyRevision:
    """Number and digest of a revision of the policy."""

    number: int
    digest: bytes


class Component(Protocol):
    """A component that the daemon starts and stops; `Daemon.components` lists them in start order."""

    def start(self) -> None:
        """Start; raises OSError on failure."""

    def stop(self, now: bool) -> None:
        """Accept no more work and settle what was accepted; `now`: no time is left to wait."""

    def count_unsettled(self) -> int:
        """Return how many accepted items are not settled."""

    def close(self) -> None:
        """Release all resources at once."""


class DaemonContext:
    """Shared state of one daemon.

    Callbacks: `on_finished` for each finished job; `on_placed` for each job that starts to run; `on_unplaced`
    for each job that lost its place and is placed again; `on_node_changed` for each node that is gone (False)
    or back (True), also if it restarted unnoticed; `on_finished_job_report` with the number of each finished
    job that a node reported on; `on_settings_changed` after settings took effect.  `before_event` is called
    before each event for the decisions on jobs, so that events it passes on are handled first."""

    def __init__(self, loop: Loop, settings: LoadedSettings, log: Any) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.name = settings.file.server
        self.revision = PolicyRevision(1, hashlib.sha256(encode_policy(settings.file)).digest())
        self.hold_reason = ""  # why accepted jobs are not yet requested; "" if they are
        self._changes: deque[tuple[LoadedSettings, PolicyRevision]] = deque()
        self._deferred_events: list[api.Event] = []
        self.before_event: Callable[[], None] | None = None
        self.folder = Path(settings.file.spool)
        self.lock = SpoolLock(self.folder)
        self.jobs = JobTable(settings.keep_finished_ns, self.name)
        self.runs = RunTable()
        self.metrics = Metrics()
        self.processor, self.traffic = processor_of(loop), Traffic()
        self.metrics.register(UsageMetrics(self.processor, self.traffic))
        self.links = NodeLinks(loop, settings.connect_ns, self.traffic.of(NODE))
        self.module = Scheduler(settings.module, settings.file.seed)
        self.owner = Owner(settings.owner, settings.file.seed)
        self.dispatcher = EventDispatcher(loop.now_ns, self._log_fault)
        self.stopping = False
        self.advertise = ""
        self.on_finished: list[Callable[[JobRecord], None]] = []
        self.on_placed: list[Callable[[JobRecord], None]] = []
        self.on_unplaced: list[Callable[[JobRecord], None]] = []
        self.on_node_changed: list[Callable[[str, bool], None]] = []
        self.on_finished_job_report: list[Callable[[int], None]] = []
        self.on_settings_changed: list[Callable[[], None]] = []
        self.status_sources: list[Callable[[], list[Attr]]] = []  # more rows of the server's status
        self._dispatch_to_module: Callable[[api.Event], None] = _fail_unregistered
        self._dispatch_to_owner: Callable[[own.Event], None] = _fail_unregistered

    def register_executors(self, module: ActionExecutor, owner: ActionExecutor) -> None:
        """Register the executors of the two modules' actions."""
        self._dispatch_to_module = self.dispatcher.register(self.module, module)
        self._dispatch_to_owner = self.dispatcher.register(self.owner, owner)

    def tell_module(self, event: api.Event) -> None:
        """Pass an event to the decision module; during a hold it is deferred until `resume`."""
        self._run_before_event()
        if self.hold_reason:
            self._deferred_events.append(event)
        else:
            self._dispatch_to_module(event)

    def tell_owner(self, event: own.Event) -> None:
        """Pass an event to the owner's decisions."""
        self._run_before_event()
        self._dispatch_to_owner(event)

    def _run_before_event(self) -> None:
        if self.before_event is not None:
            self.before_event()

    # --- change of settings ---------------------------------------------------------------------------------

    def get_newest_settings(self) -> LoadedSettings:
        """Return the settings of the latest change, in effect or not."""
        return self._changes[-1][0] if self._changes else self.settings

    def change_settings(self, loaded: LoadedSettings, number: int, digest: bytes) -> None:
        """Change to settings made from the previous ones by `LoadedSettings.with_policy`.

        Both modules change in one batch of the dispatcher, immediately if no event is being handled.  Earlier
        events are handled with the old settings and logged with their revision, later ones with the new."""
        self._changes.append((loaded, PolicyRevision(number, digest)))
        with self.dispatcher.batch():
            self._dispatch_to_module(api.SettingsChanged(loaded.module))
            self._dispatch_to_owner(own.SettingsChanged(loaded.owner))

    def apply_settings(self, event: api.SettingsChanged) -> None:
        """Put settings in effect for all components once the decision module has handled the change."""
        loaded, revision = self._changes.popleft()
        while loaded.module is not event.settings:
            loaded, revision = self._changes.popleft()
        self.settings, self.revision = loaded, revision
        self.links.connect_timeout_ns, self.jobs.retention_ns = loaded.connect_ns, loaded.keep_finished_ns
        self.log.info("policy", revision=revision.number, digest=revision.digest.hex())
        for callback in self.on_settings_changed:
            callback()

    def hold(self, reason: str) -> None:
        """Let accepted jobs wait from now on, with this reason.

        Until `resume` the decision module receives changes of settings only.  Other events could make it
        offer earlier tasks again under settings that may be outdated."""
        self.hold_reason = reason
        self._dispatch_to_owner(own.RequestsPaused(reason))

    def resume(self) -> None:
        """Pass the deferred events to the decision module, then request the waiting jobs."""
        self.hold_reason = ""
        deferred, self._deferred_events = self._deferred_events, []
        with self.dispatcher.batch():
            for event in deferred:
                self._dispatch_to_module(event)
            self._dispatch_to_owner(own.RequestsResumed())

    def _log_fault(self, event: Any, fault: Exception) -> None:
        self.metrics.troubles += 1
        self.log.error("decision", told=repr(event), exc_info=fault)


def _fail_unregistered(event: Any) -> None:
    raise RuntimeError("no action executor is registered yet")
