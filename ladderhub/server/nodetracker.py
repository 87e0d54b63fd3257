"""Nodes: lists from the directory, nodes set offline by operators, and adoption of runs found on nodes."""

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
from ladderhub.server.context import DaemonContext
from ladderhub.server.runcontrol import QUERY_TIMEOUT_NS, RunControl, parse_int
from ladderhub.usage.processor import Cause
from ladderhub.usage.traffic import DIRECTORY

S = 1_000_000_000
ADOPT_RETRY_NS = 1 * S
_STAGES = {"serving": api.Stage.SERVING, "draining": api.Stage.DRAINING, "gone": api.Stage.GONE}
_OFFER_ATTRIBUTES = (
    "job_state",
    "server",
    "server_address",
    "run_version",
    "ctime",
    "queue",
    "service",
    "substate",
)


class NodeTracker:
    """The daemon's component that follows the directory.  `node_list` holds the latest entries."""

    def __init__(self, context: DaemonContext, run_control: RunControl, intake: Intake) -> None:
        self._context, self._run_control, self._intake = context, run_control, intake
        traffic = context.traffic.of(DIRECTORY)
        self.node_list = NodeList(
            context.loop, context.settings.directory, context.name, context.folder, self._on_list, traffic
        )
        context.metrics.add_gauge("nodes", "Nodes listed", lambda: len(self.node_list.entries))
        self.offline: set[str] = set()
        self._reported_ns: dict[str, int] = {}  # node -> start time for which it reported its runs
        self._gone_nodes: set[str] = set()
        self._has_full_list = False  # a full list was received since the start of this process
        self._listed_ns: dict[str, int] = {}  # node -> start time in the latest list
        self._queried_ns: dict[str, int] = {}  # node -> start time for which its runs were queried
        self._cells: dict[str, int] = {}
        zone = context.settings.file.zone
        self._zones: dict[str, int] = {zone: 0} if zone else {}
        self._open_kinds = set(context.settings.kinds.current)
        context.on_settings_changed.append(self._on_kinds_changed)

    # --- component of the daemon ----------------------------------------------------------------------------

    def start(self) -> None:
        with self._context.processor.section(Cause.LISTS):
            self.node_list.start()

    def stop(self, now: bool) -> None:
        return

    def count_unsettled(self) -> int:
        return 0

    def close(self) -> None:
        self.node_list.close()

    def get_listed_kinds(self) -> set[str]:
        """Return the kinds of all listed nodes."""
        return {entry.kind for entry in self.node_list.entries.values()}

    def find_unreported_nodes(self) -> set[str] | None:
        """Return the nodes that have not reported their runs yet; None before the first full list."""
        if not self._has_full_list:
            return None
        return {
            name for name, entry in self.node_list.entries.items()
            if self._context.settings.kinds.is_known(entry.kind)
            and self._reported_ns.get(name) != entry.ready_ns
        }  # fmt: skip

    # --- lists ----------------------------------------------------------------------------------------------

    def _on_list(self, kind: api.ListKind, version: int, entries: list[Entry]) -> None:
        self._has_full_list = self._has_full_list or kind is api.ListKind.FULL
        known: list[api.MachineEntry] = []
        restarted: list[str] = []
        for entry in entries:
            if not self._context.settings.kinds.is_known(entry.kind):
                self._context.log.error("unknown kind of node", node=entry.name, kind=entry.kind)
                continue
            self._context.links.set_address(entry.name, parse_address(entry.address))
            if self._listed_ns.get(entry.name, entry.ready_ns) != entry.ready_ns:
                restarted.append(entry.name)  # also if the start is an earlier one: clocks may be set back
            self._listed_ns[entry.name] = entry.ready_ns
            known.append(self._build_machine_entry(entry))
        self._context.tell_module(api.MachineList(kind, version, tuple(known)))
        self._notify_node_changes(kind, entries, restarted)
        for name in restarted:
            self._context.tell_owner(own.MachineRestarted(name))
        gone = {entry.name for entry in entries if entry.stage == "gone"}
        if kind is api.ListKind.FULL:
            gone |= set(self._listed_ns) - {entry.name for entry in entries}
        for name in sorted(gone):
            self._context.tell_owner(own.MachineGone(name))
        for entry in entries:
            if entry.stage != "gone" and self._context.settings.kinds.is_known(entry.kind):
                self._query_node(entry.name)

    def _on_kinds_changed(self) -> None:
        """Apply changed kinds: nodes of a new kind become known, those of a removed one get no more jobs."""
        kinds = set(self._context.settings.kinds.current)
        changed = kinds ^ self._open_kinds
        self._open_kinds = kinds
        entries = [entry for entry in self.node_list.entries.values() if entry.kind in changed]
        if entries:
            self._on_list(api.ListKind.CHANGES, self.node_list.version, entries)

    def _notify_node_changes(self, kind: api.ListKind, entries: list[Entry], restarted: list[str]) -> None:
        listed = {entry.name for entry in entries if entry.stage != "gone"}
        gone = {entry.name for entry in entries if entry.stage == "gone"}
        if kind is api.ListKind.FULL:
            gone |= set(self._listed_ns) - listed
        newly_gone = gone - self._gone_nodes
        returned = listed & (self._gone_nodes | set(restarted))
        self._gone_nodes = (self._gone_nodes | gone) - listed
        for names, is_present in ((newly_gone | set(restarted), False), (returned, True)):
            for name in sorted(names):
                for callback in self._context.on_node_changed:
                    callback(name, is_present)

    def _build_machine_entry(self, entry: Entry) -> api.MachineEntry:
        stage = _STAGES[entry.stage]
        kinds = self._context.settings.kinds
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
        """Serve `pbsnodes -o` and `-r`: applied here at once; the node reports it to the directory."""
        (self.offline.add if offline else self.offline.discard)(name)
        entry = self.node_list.entries[name]
        changed = (self._build_machine_entry(entry),)
        self._context.tell_module(api.MachineList(api.ListKind.CHANGES, self.node_list.version, changed))
        state = [Attr("state", "offline" if offline else "free")]
        request = Request(
            n.MANAGER,
            f"scheduler@{self._context.name}",
            attrs=state,
            command=n.CMD_SET,
            object_type=n.OBJ_NODE,
            name=name,
        )
        server = self._context.name
        text = f"{name} did not answer; it gets nothing more from {server}, other schedulers are not told"
        self._context.links.send_request(
            name, request, QUERY_TIMEOUT_NS,
            lambda reply: done(reply if reply is not None else Reply(n.NODE_DOWN, n.R_TEXT, text=text)),
        )  # fmt: skip

    def _query_node(self, name: str) -> None:
        """Query the runs of a node, once in each of its lives, to adopt unknown runs of this scheduler."""
        if self._queried_ns.get(name) == self._listed_ns[name]:
            return
        self._queried_ns[name] = self._listed_ns[name]
        request = Request(n.STATUS_JOB, f"scheduler@{self._context.name}")
        self._context.links.send_request(
            name, request, QUERY_TIMEOUT_NS, lambda reply: self._adopt_runs(name, reply)
        )

    def _adopt_runs(self, name: str, reply: Reply | None) -> None:
        if reply is None:
            self._queried_ns.pop(name, None)
            if name in self.node_list.entries:
                self._context.loop.call_later(ADOPT_RETRY_NS, self._query_node, name)
            return
        self._reported_ns[name] = self._queried_ns.get(name, 0)
        for row in reply.rows:
            run = parse_int(row.get("run_version"))
            if row.get("server") != self._context.name or row.name in self._context.jobs.by_id:
                continue
            queues = self._context.settings.queues
            if self._run_control.has_reported_end(row.name, run) or not queues.is_known(row.get("queue")):
                continue
            queue = queues.index(row.get("queue"))
            record = self._context.jobs.add(row.name, queue, parse_int(row.get("ctime")) * S)
            self._intake.read_attributes(
                record, [attr for attr in row.attrs if attr.name not in _OFFER_ATTRIBUTES]
            )
            record.service, record.answer_ns = row.get("service") or record.name, self._context.loop.now_ns()
            record.run, record.run_machine, record.answer = run, name, own.Answer.PLACED.value
            record.adopted, record.rerunnable = True, False  # its script was lost with the earlier process
            record.start_ns = self._context.loop.now_ns()
            record.revision = self._context.revision.number
            self._context.log.info("adopted", job=record.id, node=name, run=run)
            self._context.tell_owner(own.Adopted(record.number, queue, run, name, record.rerunnable))
