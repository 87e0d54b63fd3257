"""Words of nodes about runs: questions and stops sent to them, ends and news that come from them."""

from __future__ import annotations

from collections import OrderedDict

from ladderhub import interface as api
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request
from ladderhub.server.offer import COMMITTED
from ladderhub.server.placing import Placing
from ladderhub.server.site import Site

QUERY_NS = 1_000_000_000
OBITS_KEPT = 10_000
_ENDS = {
    n.END_DONE: own.End.DONE, n.END_KILLED: own.End.KILLED, n.END_EVICTED: own.End.EVICTED,
    n.END_DISPLACED: own.End.DISPLACED, n.END_SENT_AWAY: own.End.SENT_AWAY,
}  # fmt: skip
_END_REASONS = {
    own.End.EVICTED: api.Reason.EVICTED, own.End.DISPLACED: api.Reason.DISPLACED,
    own.End.SENT_AWAY: api.Reason.SENT_AWAY,
}  # fmt: skip


class Words:
    """What is asked of nodes about runs, and what they tell."""

    def __init__(self, site: Site, placing: Placing) -> None:
        self._site, self._placing = site, placing
        self._unknown_ends: OrderedDict[tuple[str, int], None] = OrderedDict()

    def ended_before(self, job: str, run: int) -> bool:
        """Whether the end of this run was told while its job was not known."""
        return (job, run) in self._unknown_ends

    def ask(self, action: own.Query | own.Stop) -> None:
        """Send the word to the node; what it says comes to the owner's decisions."""
        record = self._site.jobs.by_number.get(action.job)
        out = self._site.runs.get(action.job, action.run)
        if record is None:
            return
        call = out.call if out is not None else None
        if isinstance(action, own.Stop) and call is not None and call.steps.state not in COMMITTED:
            call.call_off()  # nothing was committed, so this proves that nothing runs
            return
        user = f"scheduler@{self._site.name}"
        if isinstance(action, own.Query):
            request = Request(n.STATUS_JOB, user, record.id, extension=f"fence:{action.run}")
        else:
            version = [Attr("run_version", str(action.run))]
            request = Request(
                n.DELETE_JOB, user, record.id, version, command=n.CMD_DELETE, object_type=n.OBJ_JOB
            )
        self._site.links.ask(
            action.machine, request, QUERY_NS,
            lambda reply: self._said(action, reply),
        )  # fmt: skip

    def _said(self, action: own.Query | own.Stop, reply: Reply | None) -> None:
        if reply is None:
            self._site.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.SILENT))
        elif reply.code == n.UNKNOWN_JOB:
            out = self._site.runs.get(action.job, action.run)
            self._site.runs.forget(action.job, action.run)
            if out is not None:
                self._placing.tell_end(out, api.Outcome.LOST, api.Reason.UNKNOWN, concluded=True)
            self._site.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.NEVER))
        elif reply.code == n.BAD_STATE and isinstance(action, own.Stop):
            self.ask(own.Query(action.job, action.run, action.machine))
        elif reply.code:
            self._site.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.SILENT))
        elif isinstance(action, own.Stop):
            self._site.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.STOPPING))
        else:
            row = reply.rows[0] if reply.rows else None
            if row is not None and row.get("job_state") == "F":
                status = int_of(row.get("Exit_status"))
                self._run_ended(action.job, action.run, row.get("exit_reason"), status)
            elif row is not None:
                out = self._site.runs.get(action.job, action.run)
                if out is not None:
                    out.placed = True
                self._site.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.RUNS))

    def obituary(self, request: Request) -> None:
        """A node reports the end of a run; what is not known here is only remembered for a while."""
        record = self._site.jobs.by_id.get(request.job)
        run = int_of(request.get("run_version"))
        if record is None:
            self._unknown_ends[request.job, run] = None
            while len(self._unknown_ends) > OBITS_KEPT:
                self._unknown_ends.popitem(last=False)
            return
        report = api.LoadReport(
            float_of(request.get("load.cores_free")), float_of(request.get("load.memory_free"))
        )
        self._run_ended(record.number, run, request.get("exit_reason"), request.status, report)

    def _run_ended(
        self, number: int, run: int, word: str, status: int, report: api.LoadReport | None = None
    ) -> None:
        end = _ENDS.get(word, own.End.DONE)
        out = self._site.runs.get(number, run)
        if out is not None and out.call is not None:
            # Its answer is still on the way; the end tells all that the answer could.
            call, out.call = out.call, None
            self._site.runs.forget(number, run)
            call.drop()
        else:
            self._site.runs.forget(number, run)
        record = self._site.jobs.live.get(number)
        if record is not None and end is not own.End.DONE:
            record.start_ns = 0
        self._site.tell_owner(own.Ended(number, run, end, status))
        if out is not None and out.open:
            out.open = False
            outcome = api.Outcome.DONE if end in (own.End.DONE, own.End.KILLED) else api.Outcome.LOST
            reason = _END_REASONS.get(end, api.Reason.UNKNOWN)
            elapsed = self._site.loop.now_ns() - out.sent_ns
            self._site.tell_module(
                api.AttemptEnded(out.task, out.attempt, out.machine, outcome, reason, True, elapsed, report)
            )

    def update(self, request: Request) -> None:
        """A node's news of a run: it runs now, or what it uses."""
        record = self._site.jobs.by_id.get(request.job)
        out = self._site.runs.get(record.number, int_of(request.get("run_version"))) if record else None
        if out is None or not out.open or not out.placed:
            return
        for key, topic in (
            ("job_state", api.Topic.RUNNING), ("resources_used.ncpus", api.Topic.CORES_USED),
            ("resources_used.mem", api.Topic.MEMORY_USED), ("service_level", api.Topic.SERVICE_LEVEL),
            ("machine_memory", api.Topic.MACHINE_MEMORY),
        ):  # fmt: skip
            if request.get(key):
                level = 0.0 if topic is api.Topic.RUNNING else float_of(request.get(key)) or 0.0
                self._site.tell_module(api.TaskNote(out.task, out.attempt, out.machine, topic, level))


def int_of(text: str) -> int:
    """A whole number that a node sent; 0 where it is none."""
    try:
        return int(text)
    except ValueError:
        return 0


def float_of(text: str) -> float | None:
    """A figure that a node sent; None where it is none."""
    try:
        return float(text)
    except ValueError:
        return None
