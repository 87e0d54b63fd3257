"""The daemon: its rooms put together, its start and its end.

Each room is handed what it needs and knows nothing of the daemon.  How a further subsystem joins them is told
in `docs/design.md`, "How a subsystem is plugged in".
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from ladderhub.loop import Loop
from ladderhub.pbs import names as n
from ladderhub.server.clientlistener import ClientListener
from ladderhub.server.context import Component, DaemonContext
from ladderhub.server.intake import Intake
from ladderhub.server.jobrequests import JobRequests
from ladderhub.server.kept_names import KeptNames, with_kept_names
from ladderhub.server.nodetracker import NodeTracker
from ladderhub.server.operatorrequests import OperatorRequests
from ladderhub.server.ownerexecutor import OwnerExecutor
from ladderhub.server.placing import PlacementExecutor
from ladderhub.server.runcontrol import RunControl
from ladderhub.server.services import Services
from ladderhub.server.settings import LoadedSettings, PeerSettings
from ladderhub.server.status import StatusRequests
from ladderhub.server.submitting import SubmissionRequests

MS, S = 1_000_000, 1_000_000_000
SWEEP_NS = 1 * S
SETTLED_LOOK_NS = 50 * MS
LEAVE_NS = 100 * MS


class Daemon:
    """One scheduler.  `start` opens the doors; `shut_down` settles what was taken and then calls `on_end`."""

    def __init__(self, loop: Loop, settings: LoadedSettings, log: Any = None) -> None:
        self.loop = loop
        self.log = log or structlog.get_logger()
        self.context = context = DaemonContext(
            loop, with_kept_names(settings, Path(settings.file.spool)), self.log
        )
        self.jobs, self.metrics, self.owner, self.module = (
            context.jobs,
            context.metrics,
            context.owner,
            context.module,
        )
        placement_executor = PlacementExecutor(context)
        run_control = RunControl(context, placement_executor)
        owner_executor = OwnerExecutor(context, placement_executor, run_control)
        context.register_executors(placement_executor, owner_executor)
        intake = Intake(context)
        self.node_tracker = NodeTracker(context, run_control, intake)
        self.nodes = self.node_tracker.node_list
        self.services = Services(context, intake, self.node_tracker)
        KeptNames(context, self.services.queues, self.node_tracker.get_listed_kinds)
        self.client_listener = ClientListener(context)
        operating = OperatorRequests(context, self.node_tracker, self.shut_down)
        operating.register(n.OBJ_SERVICE, self.services.serve)
        for room in (
            SubmissionRequests(context, intake), JobRequests(context, intake, run_control),
            StatusRequests(context, self.node_tracker), operating,
        ):  # fmt: skip
            self.client_listener.register(room.get_handlers())
        # In the order of their start; the door opens first, since nodes are told its address, and services
        # are known before nodes say what they run.
        self.components: list[Component] = [
            self.client_listener,
            self.services,
            self.node_tracker,
            owner_executor,
        ]
        if settings.peers is not None:
            self._add_peers(settings.peers, operating)
        self.on_end: Callable[[], None] | None = None

    def _add_peers(self, settings: PeerSettings, operating: OperatorRequests) -> None:
        """What is loaded only where there are peers, and only where some of them are voters."""
        from ladderhub.server.peers import PeerService

        peers = PeerService(self.context, settings)
        self.components.append(peers)
        if settings.voters:
            from ladderhub.server.policyrequests import PolicyRequests
            from ladderhub.server.revisions import RevisionService

            revisions = RevisionService(self.context, peers)
            self.components.append(revisions)
            operating.register(n.OBJ_POLICY, PolicyRequests(self.context, revisions).serve)

    @property
    def stopping(self) -> bool:
        return self.context.stopping

    def start(self) -> None:
        """Open the door and follow the directory; OSError where the address can't be had."""
        for part in self.components:
            part.start()
        self.loop.call_later(SWEEP_NS, self._sweep)
        self.log.info("ready", server=self.context.name, address=self.context.advertise)

    def _sweep(self) -> None:
        self.jobs.remove_expired(self.loop.now_ns())
        self.loop.call_later(SWEEP_NS, self._sweep)

    def count_unsettled(self) -> int:
        """How much of what was taken is not settled."""
        return sum(part.count_unsettled() for part in self.components)

    def shut_down(self) -> None:
        """Settle every job that was taken, within `stop_within`; then end.  A second call hastens."""
        if self.context.stopping:
            self._stop(now=True)
            self._end()
            return
        self.context.stopping = True
        self.log.info("stopping", owed=self.count_unsettled())
        self._stop(now=False)
        self._look_settled(self.loop.now_ns() + self.context.settings.stop_within_ns)

    def _stop(self, now: bool) -> None:
        for part in self.components:
            part.stop(now)

    def _look_settled(self, until_ns: int) -> None:
        if self.count_unsettled() and self.loop.now_ns() < until_ns:
            self.loop.call_later(SETTLED_LOOK_NS, self._look_settled, until_ns)
            return
        if self.count_unsettled():
            self._stop(now=True)
        self._end()

    def _end(self) -> None:
        if self.on_end is None:
            return
        done, self.on_end = self.on_end, None
        self.log.info("stopped", unsettled=self.count_unsettled())
        self.client_listener.leave()
        self.loop.call_later(LEAVE_NS, self._close, done)

    def _close(self, done: Callable[[], None]) -> None:
        self.close()
        done()

    def close(self) -> None:
        """Let go of every socket at once, without a word."""
        for part in self.components:
            part.close()
        self.context.links.close()
        self.context.lock.close()
