"""What the rooms of one daemon share: means, state, and the two calls by which decisions are asked for.

A room is handed a `Site` and the neighbours it calls.  A site knows of no room: rooms join its board, its
metrics and its lists.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.loop import Loop
from ladderhub.owner import Owner
from ladderhub.owner import types as own
from ladderhub.pbs.batch import Attr
from ladderhub.board import Board, Carrier
from ladderhub.server.jobs import JobRecord, JobTable
from ladderhub.server.lasting import FolderLock
from ladderhub.server.metrics import Metrics
from ladderhub.server.nodelinks import NodeLinks
from ladderhub.server.runs import Runs
from ladderhub.server.settings import Loaded
from ladderhub.server.usagemetrics import UsageMetrics
from ladderhub.usage.accounted import processor_of
from ladderhub.usage.traffic import NODE, Traffic


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
    it began anew without being missed, `on_news` of the number of each finished job that a node spoke of."""

    def __init__(self, loop: Loop, settings: Loaded, log: Any) -> None:
        self.loop, self.settings, self.log = loop, settings, log
        self.name = settings.file.server
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
        self.board = Board(loop.now_ns, self._fault)
        self.stopping = False
        self.advertise = ""
        self.on_finished: list[Callable[[JobRecord], None]] = []
        self.on_placed: list[Callable[[JobRecord], None]] = []
        self.on_unplaced: list[Callable[[JobRecord], None]] = []
        self.on_node: list[Callable[[str, bool], None]] = []
        self.on_news: list[Callable[[int], None]] = []
        self.status_rows: list[Callable[[], list[Attr]]] = []  # of rooms that tell of themselves there
        self._module: Callable[[api.Event], None] = _nobody
        self._owner: Callable[[own.Event], None] = _nobody

    def join(self, module: Carrier, owner: Carrier) -> None:
        """These carry out what the two modules decide."""
        self._module = self.board.add(self.module, module)
        self._owner = self.board.add(self.owner, owner)

    def tell_module(self, event: api.Event) -> None:
        self._module(event)

    def tell_owner(self, event: own.Event) -> None:
        self._owner(event)

    def _fault(self, event: Any, fault: Exception) -> None:
        self.metrics.troubles += 1
        self.log.error("decision", event=repr(event), exc_info=fault)


def _nobody(event: Any) -> None:
    raise RuntimeError("no carrier has joined yet")
