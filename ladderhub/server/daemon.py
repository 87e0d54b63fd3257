"""The daemon: builds, starts and stops its components.

Each component receives what it needs and does not know the daemon.  `docs/design.md`, "How a subsystem is
plugged in", describes how to add one.
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
SWEEP_INTERVAL_NS = 1 * S
SETTLED_CHECK_INTERVAL_NS = 50 * MS
CLOSE_DELAY_NS = 100 * MS  # for the last replies to be written


class Daemon:
    """One scheduler.  `start` opens its listeners; `shut_down` settles accepted jobs, then calls `on_end`."""

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
        KeptNames(context, self.services.get_queues, self.node_tracker.get_listed_kinds)
        self.client_listener = ClientListener(context)
        operator_requests = OperatorRequests(context, self.node_tracker, self.shut_down)
        operator_requests.register(n.OBJ_SERVICE, self.services.serve)
        for requests in (
            SubmissionRequests(context, intake), JobRequests(context, intake, run_control),
            StatusRequests(context, self.node_tracker), operator_requests,
        ):  # fmt: skip
            self.client_listener.register(requests.get_handlers())
        # In start order.  The client listener is first, since nodes are told its address.  Services are
        # loaded before nodes report what they run.
        self.components: list[Component] = [
            self.client_listener,
            self.services,
            self.node_tracker,
            owner_executor,
        ]
        if settings.peers is not None:
            self._add_peers(settings.peers, operator_requests)
        self.on_end: Callable[[], None] | None = None

    def _add_peers(self, settings: PeerSettings, operator_requests: OperatorRequests) -> None:
        """Add membership, and revisions if some peers are voters; imported only when needed."""
        from ladderhub.server.peers import PeerService

        peers = PeerService(self.context, settings)
        self.components.append(peers)
        if settings.voters:
            from ladderhub.server.policyrequests import PolicyRequests
            from ladderhub.server.revisions import RevisionService

            revisions = RevisionService(self.context, peers)
            self.components.append(revisions)
            operator_requests.register(n.OBJ_POLICY, PolicyRequests(self.context, revisions).serve)

    @property
    def stopping(self) -> bool:
        """Whether `shut_down` was called."""
        return self.context.stopping

    def start(self) -> None:
        """Start all components; raises OSError if an address can't be bound."""
        for component in self.components:
            component.start()
        self.loop.call_later(SWEEP_INTERVAL_NS, self._sweep)
        self.log.info("ready", server=self.context.name, address=self.context.advertise)

    def _sweep(self) -> None:
        self.jobs.remove_expired(self.loop.now_ns())
        self.loop.call_later(SWEEP_INTERVAL_NS, self._sweep)

    def count_unsettled(self) -> int:
        """Return how many accepted items of all components are not settled."""
        return sum(component.count_unsettled() for component in self.components)

    def shut_down(self) -> None:
        """Settle every accepted job and stop every unwanted run within `stop_within`, then end.

        A second call ends at once."""
        if self.context.stopping:
            self._stop_components(now=True)
            self._finish()
            return
        self.context.stopping = True
        self.log.info("stopping", owed=self.count_unsettled())
        self._stop_components(now=False)
        self._check_settled(self.loop.now_ns() + self.context.settings.stop_within_ns)

    def _stop_components(self, now: bool) -> None:
        for component in self.components:
            component.stop(now)

    def _check_settled(self, until_ns: int) -> None:
        # The next process would take over the runs of cancelled jobs as if they were wanted.
        unsettled = self.count_unsettled() or self.owner.count_unconfirmed_stops()
        if unsettled and self.loop.now_ns() < until_ns:
            self.loop.call_later(SETTLED_CHECK_INTERVAL_NS, self._check_settled, until_ns)
            return
        if self.count_unsettled():
            self._stop_components(now=True)
        self._finish()

    def _finish(self) -> None:
        if self.on_end is None:
            return
        done, self.on_end = self.on_end, None
        unconfirmed = self.owner.count_unconfirmed_stops()
        self.log.info("stopped", unsettled=self.count_unsettled(), unconfirmed_stops=unconfirmed)
        self.client_listener.close_clients()
        self.loop.call_later(CLOSE_DELAY_NS, self._close, done)

    def _close(self, done: Callable[[], None]) -> None:
        self.close()
        done()

    def close(self) -> None:
        """Close every socket at once, without further messages."""
        for component in self.components:
            component.close()
        self.context.links.close()
        self.context.lock.close()
