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
from ladderhub.server.door import ClientDoor
from ladderhub.server.intake import Intake
from ladderhub.server.jobrequests import JobRequests
from ladderhub.server.kept_names import KeptNames, with_kept_names
from ladderhub.server.nodetracker import NodeTracker
from ladderhub.server.operating import Operating
from ladderhub.server.ownerexecutor import OwnerExecutor
from ladderhub.server.placing import PlacementExecutor
from ladderhub.server.runcontrol import RunControl
from ladderhub.server.services import Services
from ladderhub.server.settings import Loaded, PeerSettings
from ladderhub.server.site import Part, Site
from ladderhub.server.status import StatusRequests
from ladderhub.server.submitting import SubmissionRequests

MS, S = 1_000_000, 1_000_000_000
SWEEP_NS = 1 * S
SETTLED_LOOK_NS = 50 * MS
LEAVE_NS = 100 * MS


class Daemon:
    """One scheduler.  `start` opens the doors; `shut` settles what was taken and then calls `on_end`."""

    def __init__(self, loop: Loop, settings: Loaded, log: Any = None) -> None:
        self.loop = loop
        self.log = log or structlog.get_logger()
        self.site = site = Site(loop, with_kept_names(settings, Path(settings.file.spool)), self.log)
        self.jobs, self.metrics, self.owner, self.module = site.jobs, site.metrics, site.owner, site.module
        placement_executor = PlacementExecutor(site)
        run_control = RunControl(site, placement_executor)
        owner_executor = OwnerExecutor(site, placement_executor, run_control)
        site.join(placement_executor, owner_executor)
        intake = Intake(site)
        self.node_tracker = NodeTracker(site, run_control, intake)
        self.nodes = self.node_tracker.node_list
        self.services = Services(site, intake, self.node_tracker)
        KeptNames(site, self.services.queues, self.node_tracker.get_listed_kinds)
        self.door = ClientDoor(site)
        operating = Operating(site, self.node_tracker, self.shut)
        operating.join(n.OBJ_SERVICE, self.services.serve)
        for room in (
            SubmissionRequests(site, intake), JobRequests(site, intake, run_control),
            StatusRequests(site, self.node_tracker), operating,
        ):  # fmt: skip
            self.door.join(room.serves())
        # In the order of their start; the door opens first, since nodes are told its address, and services
        # are known before nodes say what they run.
        self.parts: list[Part] = [self.door, self.services, self.node_tracker, owner_executor]
        if settings.peers is not None:
            self._add_peers(settings.peers, operating)
        self.on_end: Callable[[], None] | None = None

    def _add_peers(self, settings: PeerSettings, operating: Operating) -> None:
        """What is loaded only where there are peers, and only where some of them are voters."""
        from ladderhub.server.peers import PeerService

        peers = PeerService(self.site, settings)
        self.parts.append(peers)
        if settings.voters:
            from ladderhub.server.policyrequests import PolicyRequests
            from ladderhub.server.revisions import RevisionService

            revisions = RevisionService(self.site, peers)
            self.parts.append(revisions)
            operating.join(n.OBJ_POLICY, PolicyRequests(self.site, revisions).serve)

    @property
    def stopping(self) -> bool:
        return self.site.stopping

    def start(self) -> None:
        """Open the door and follow the directory; OSError where the address can't be had."""
        for part in self.parts:
            part.start()
        self.loop.call_later(SWEEP_NS, self._sweep)
        self.log.info("ready", server=self.site.name, address=self.site.advertise)

    def _sweep(self) -> None:
        self.jobs.remove_expired(self.loop.now_ns())
        self.loop.call_later(SWEEP_NS, self._sweep)

    def owes(self) -> int:
        """How much of what was taken is not settled."""
        return sum(part.owes() for part in self.parts)

    def shut(self) -> None:
        """Settle every job that was taken, within `stop_within`; then end.  A second call hastens."""
        if self.site.stopping:
            self._stop(now=True)
            self._end()
            return
        self.site.stopping = True
        self.log.info("stopping", owed=self.owes())
        self._stop(now=False)
        self._look_settled(self.loop.now_ns() + self.site.settings.stop_within_ns)

    def _stop(self, now: bool) -> None:
        for part in self.parts:
            part.stop(now)

    def _look_settled(self, until_ns: int) -> None:
        if self.owes() and self.loop.now_ns() < until_ns:
            self.loop.call_later(SETTLED_LOOK_NS, self._look_settled, until_ns)
            return
        if self.owes():
            self._stop(now=True)
        self._end()

    def _end(self) -> None:
        if self.on_end is None:
            return
        done, self.on_end = self.on_end, None
        self.log.info("stopped", unsettled=self.owes())
        self.door.leave()
        self.loop.call_later(LEAVE_NS, self._close, done)

    def _close(self, done: Callable[[], None]) -> None:
        self.close()
        done()

    def close(self) -> None:
        """Let go of every socket at once, without a word."""
        for part in self.parts:
            part.close()
        self.site.links.close()
        self.site.lock.close()
