"""The nodes: lists as the directory tells them, nodes taken off by hand, and what nodes already run."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub import interface as api
from ladderhub.directory.wire import Entry
from ladderhub.loop import parse_address
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request
from ladderhub.server.intake import Intake
from ladderhub.server.nodelist import NodeList
from ladderhub.server.site import Site
from ladderhub.server.words import QUERY_NS, Words, int_of
from ladderhub.usage.processor import Cause
from ladderhub.usage.traffic import DIRECTORY

S = 1_000_000_000
ADOPT_RETRY_NS = 1 * S
_STAGES = {"serving": api.Stage.SERVING, "draining": api.Stage.DRAINING, "gone": api.Stage.GONE}
_OF_THE_OFFER = (
    "job_state",
    "server",
    "server_address",
    "run_version",
    "ctime",
    "queue",
    "service",
    "substate",
)


class Members:
    """The part of the daemon that follows the directory.  `list` has the entries as last told."""

    def __init__(self, site: Site, words: Words, intake: Intake) -> None:
        self._site, self._words, self._intake = site, words, intake
        count = site.traffic.of(DIRECTORY)
        self.list = NodeList(site.loop, site.settings.directory, site.name, site.folder, self._on_list, count)
        site.metrics.gauge("nodes", "Nodes listed", lambda: len(self.list.entries))
        self.offline: set[str] = set()
        self._heard: dict[str, int] = {}  # node -> start time at which it said what it runs
        self._gone: set[str] = set()
        self._whole = False  # a full list came in this life
        self._ready: dict[str, int] = {}  # node -> start time as last listed
        self._asked: dict[str, int] = {}  # node -> start time at which it was asked what it runs
        self._cells: dict[str, int] = {}
        zone = site.settings.file.zone
        self._zones: dict[str, int] = {zone: 0} if zone else {}
        self._open_kinds = set(site.settings.kinds.current)
        site.on_settings.append(self._kinds_changed)

    # --- as a part ------------------------------------------------------------------------------------------

    def start(self) -> None:
        with self._site.processor.section(Cause.LISTS):
            self.list.start()

    def stop(self, now: bool) -> None:
        return

    def owes(self) -> int:
        return 0

    def close(self) -> None:
        self.list.close()

    def kinds(self) -> set[str]:
        """Kinds of the nodes that are listed."""
        return {entry.kind for entry in self.list.entries.values()}

    def unheard(self) -> set[str] | None:
        """Nodes that have not said yet what they run; None before the directory has told all nodes."""
        if not self._whole:
            return None
        return {
            name for name, entry in self.list.entries.items()
            if self._site.settings.kinds.is_known(entry.kind) and self._heard.get(name) != entry.ready_ns
        }  # fmt: skip

    # --- lists ----------------------------------------------------------------------------------------------

    def _on_list(self, kind: api.ListKind, version: int, entries: list[Entry]) -> None:
        self._whole = self._whole or kind is api.ListKind.FULL
        known: list[api.MachineEntry] = []
        anew: list[str] = []
        for entry in entries:
            if not self._site.settings.kinds.is_known(entry.kind):
                self._site.log.error("unknown kind of node", node=entry.name, kind=entry.kind)
                continue
            self._site.links.place(entry.name, parse_address(entry.address))
            if 0 < self._ready.get(entry.name, 0) < entry.ready_ns:
                anew.append(entry.name)
            self._ready[entry.name] = entry.ready_ns
            known.append(self._machine(entry))
        self._site.tell_module(api.MachineList(kind, version, tuple(known)))
        self._tell_nodes(kind, entries, anew)
        for name in anew:
            self._site.tell_owner(own.MachineRestarted(name))
        gone = {entry.name for entry in entries if entry.stage == "gone"}
        if kind is api.ListKind.FULL:
            gone |= set(self._ready) - {entry.name for entry in entries}
        for name in sorted(gone):
            self._site.tell_owner(own.MachineGone(name))
        for entry in entries:
            if entry.stage != "gone" and self._site.settings.kinds.is_known(entry.kind):
                self._ask_node(entry.name)

    def _kinds_changed(self) -> None:
        """Nodes of a kind that is new are known from now on; those of one that is gone get nothing more."""
        kinds = set(self._site.settings.kinds.current)
        changed = kinds ^ self._open_kinds
        self._open_kinds = kinds
        entries = [entry for entry in self.list.entries.values() if entry.kind in changed]
        if entries:
            self._on_list(api.ListKind.CHANGES, self.list.version, entries)

    def _tell_nodes(self, kind: api.ListKind, entries: list[Entry], anew: list[str]) -> None:
        listed = {entry.name for entry in entries if entry.stage != "gone"}
        gone = {entry.name for entry in entries if entry.stage == "gone"}
        if kind is api.ListKind.FULL:
            gone |= set(self._ready) - listed
        fresh = gone - self._gone
        back = listed & (self._gone | set(anew))
        self._gone = (self._gone | gone) - listed
        for names, here in ((fresh | set(anew), False), (back, True)):
            for name in sorted(names):
                for told in self._site.on_node:
                    told(name, here)

    def _machine(self, entry: Entry) -> api.MachineEntry:
        stage = _STAGES[entry.stage]
        kinds = self._site.settings.kinds
        if stage is api.Stage.SERVING and (entry.name in self.offline or not kinds.is_open(entry.kind)):
            stage = api.Stage.DRAINING
        return api.MachineEntry(
            machine=entry.name,
            stage=stage,
            kind=kinds.index(entry.kind),
            zone=self._zones.setdefault(entry.zone, len(self._zones)),
            cell=self._cells.setdefault(f"{entry.zone}/{entry.rack}", len(self._cells)),
            ready_ns=entry.ready_ns,
            free_cores=entry.free_cores,
            free_memory=entry.free_memory,
        )

    def set_offline(self, name: str, offline: bool, done: Callable[[Reply], None]) -> None:
        """`pbsnodes -o` and `-r`: this scheduler heeds it at once, the node tells the directory."""
        (self.offline.add if offline else self.offline.discard)(name)
        entry = self.list.entries[name]
        changed = (self._machine(entry),)
        self._site.tell_module(api.MachineList(api.ListKind.CHANGES, self.list.version, changed))
        state = [Attr("state", "offline" if offline else "free")]
        request = Request(
            n.MANAGER,
            f"scheduler@{self._site.name}",
            attrs=state,
            command=n.CMD_SET,
            object_type=n.OBJ_NODE,
            name=name,
        )
        mine = self._site.name
        text = f"{name} did not answer; it gets nothing more from {mine}, other schedulers are not told"
        self._site.links.ask(
            name, request, QUERY_NS,
            lambda reply: done(reply if reply is not None else Reply(n.NODE_DOWN, n.R_TEXT, text=text)),
        )  # fmt: skip

    def _ask_node(self, name: str) -> None:
        """Once in each life of a node: what does it run of ours that we do not know?"""
        if self._asked.get(name) == self._ready[name]:
            return
        self._asked[name] = self._ready[name]
        request = Request(n.STATUS_JOB, f"scheduler@{self._site.name}")
        self._site.links.ask(name, request, QUERY_NS, lambda reply: self._adopt(name, reply))

    def _adopt(self, name: str, reply: Reply | None) -> None:
        if reply is None:
            self._asked.pop(name, None)
            if name in self.list.entries:
                self._site.loop.call_later(ADOPT_RETRY_NS, self._ask_node, name)
            return
        self._heard[name] = self._asked.get(name, 0)
        for row in reply.rows:
            run = int_of(row.get("run_version"))
            if row.get("server") != self._site.name or row.name in self._site.jobs.by_id:
                continue
            queues = self._site.settings.queues
            if self._words.ended_before(row.name, run) or not queues.is_known(row.get("queue")):
                continue
            queue = queues.index(row.get("queue"))
            record = self._site.jobs.add(row.name, queue, int_of(row.get("ctime")) * S)
            self._intake.describe(record, [attr for attr in row.attrs if attr.name not in _OF_THE_OFFER])
            record.service, record.answer_ns = row.get("service") or record.name, self._site.loop.now_ns()
            record.run, record.run_machine, record.answer = run, name, own.Answer.PLACED.value
            record.adopted, record.rerunnable = True, False  # its script went with the earlier life
            record.start_ns = self._site.loop.now_ns()
            record.revision = self._site.revision.number
            self._site.log.info("adopted", job=record.id, node=name, run=run)
            self._site.tell_owner(own.Adopted(record.number, queue, run, name, record.rerunnable))
