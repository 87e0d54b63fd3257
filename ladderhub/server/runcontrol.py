"""Queries and stops runs on nodes, and processes the ends and updates that nodes report."""

from __future__ import annotations

from collections import OrderedDict

from ladderhub import interface as api
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request
from ladderhub.server.offer import COMMITTED_STATES
from ladderhub.server.placing import PlacementExecutor
from ladderhub.server.context import DaemonContext

QUERY_TIMEOUT_NS = 1_000_000_000
MAX_ENDS_OF_UNKNOWN_JOBS = 10_000
_ENDS = {
    n.END_DONE: own.End.DONE, n.END_KILLED: own.End.KILLED, n.END_EVICTED: own.End.EVICTED,
    n.END_DISPLACED: own.End.DISPLACED, n.END_SENT_AWAY: own.End.SENT_AWAY,
}  # fmt: skip
_END_REASONS = {
    own.End.EVICTED: api.Reason.EVICTED, own.End.DISPLACED: api.Reason.DISPLACED,
    own.End.SENT_AWAY: api.Reason.SENT_AWAY,
}  # fmt: skip


class RunControl:
    """Sends queries and stops for runs, and passes what nodes report to the decision modules."""

    def __init__(self, context: DaemonContext, placement: PlacementExecutor) -> None:
        self._context, self._placement = context, placement
        self._ends_of_unknown_jobs: OrderedDict[tuple[str, int], None] = OrderedDict()

    def has_reported_end(self, job: str, run: int) -> bool:
        """Whether a node reported the end of this run while its job was unknown here."""
        return (job, run) in self._ends_of_unknown_jobs

    def send(self, action: own.Query | own.Stop) -> None:
        """Send the query or stop to the node; the reply is passed to the owner module."""
        record = self._context.jobs.by_number.get(action.job)
        run_record = self._context.runs.get(action.job, action.run)
        if record is None:
            return
        call = run_record.call if run_record is not None else None
        if isinstance(action, own.Stop) and call is not None and call.offer.state not in COMMITTED_STATES:
            call.cancel()  # Commit was not sent, so nothing runs
            return
        user = f"scheduler@{self._context.name}"
        if isinstance(action, own.Query):
            request = Request(n.STATUS_JOB, user, record.id, extension=f"fence:{action.run}")
        else:
            version = [Attr("run_version", str(action.run))]
            request = Request(
                n.DELETE_JOB, user, record.id, version, command=n.CMD_DELETE, object_type=n.OBJ_JOB
            )
        self._context.links.send_request(
            action.machine, request, QUERY_TIMEOUT_NS,
            lambda reply: self._on_reply(action, reply),
        )  # fmt: skip

    def _on_reply(self, action: own.Query | own.Stop, reply: Reply | None) -> None:
        if reply is None:
            self._context.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.SILENT))
        elif reply.code == n.UNKNOWN_JOB:
            run_record = self._context.runs.get(action.job, action.run)
            self._context.runs.remove(action.job, action.run)
            if run_record is not None:
                self._placement.report_outcome(
                    run_record, api.Outcome.LOST, api.Reason.UNKNOWN, concluded=True
                )
            self._context.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.NEVER))
        elif reply.code == n.BAD_STATE and isinstance(action, own.Stop):
            self.send(own.Query(action.job, action.run, action.machine))
        elif reply.code:
            self._context.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.SILENT))
        elif isinstance(action, own.Stop):
            self._context.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.STOPPING))
        else:
            row = reply.rows[0] if reply.rows else None
            if row is not None and row.get("job_state") == "F":
                status = parse_int(row.get("Exit_status"))
                self._run_ended(action.job, action.run, row.get("exit_reason"), status)
            elif row is not None:
                run_record = self._context.runs.get(action.job, action.run)
                if run_record is not None:
                    run_record.placed = True
                self._context.tell_owner(own.MachineReplied(action.job, action.run, own.RunStatus.RUNS))

    def handle_obituary(self, request: Request) -> None:
        """Process the end of a run, reported by its node.

        The end of an unknown job is only remembered, for the latest `MAX_ENDS_OF_UNKNOWN_JOBS` of them."""
        record = self._context.jobs.by_id.get(request.job)
        run = parse_int(request.get("run_version"))
        if record is None:
            self._ends_of_unknown_jobs[request.job, run] = None
            while len(self._ends_of_unknown_jobs) > MAX_ENDS_OF_UNKNOWN_JOBS:
                self._ends_of_unknown_jobs.popitem(last=False)
            return
        report = api.LoadReport(
            parse_float(request.get("load.cores_free")), parse_float(request.get("load.memory_free"))
        )
        self._run_ended(record.number, run, request.get("exit_reason"), request.status, report)

    def _run_ended(
        self, number: int, run: int, exit_reason: str, status: int, report: api.LoadReport | None = None
    ) -> None:
        end = _ENDS.get(exit_reason, own.End.DONE)
        run_record = self._context.runs.get(number, run)
        if run_record is not None and run_record.call is not None:
            # The reply to the offer has not arrived yet; the end of the run makes it redundant.
            call, run_record.call = run_record.call, None
            self._context.runs.remove(number, run)
            call.cancel_silently()
        else:
            self._context.runs.remove(number, run)
        record = self._context.jobs.live.get(number)
        if record is not None and end is not own.End.DONE:
            record.start_ns = 0
        self._context.tell_owner(own.Ended(number, run, end, status))
        if run_record is not None and run_record.outcome_pending:
            run_record.outcome_pending = False
            outcome = api.Outcome.DONE if end in (own.End.DONE, own.End.KILLED) else api.Outcome.LOST
            reason = _END_REASONS.get(end, api.Reason.UNKNOWN)
            elapsed_ns = self._context.loop.now_ns() - run_record.sent_ns
            self._context.tell_module(
                api.AttemptEnded(
                    run_record.task,
                    run_record.attempt,
                    run_record.machine,
                    outcome,
                    reason,
                    True,
                    elapsed_ns,
                    report,
                )
            )

    def handle_update(self, request: Request) -> None:
        """Process a node's update of a run: that it is running now, or the resources it uses."""
        record = self._context.jobs.by_id.get(request.job)
        run_record = (
            self._context.runs.get(record.number, parse_int(request.get("run_version"))) if record else None
        )
        if run_record is None or not run_record.outcome_pending or not run_record.placed:
            return
        for key, topic in (
            ("job_state", api.Topic.RUNNING), ("resources_used.ncpus", api.Topic.CORES_USED),
            ("resources_used.mem", api.Topic.MEMORY_USED), ("service_level", api.Topic.SERVICE_LEVEL),
            ("machine_memory", api.Topic.MACHINE_MEMORY),
        ):  # fmt: skip
            if request.get(key):
                level = 0.0 if topic is api.Topic.RUNNING else parse_float(request.get(key)) or 0.0
                self._context.tell_module(
                    api.TaskNote(run_record.task, run_record.attempt, run_record.machine, topic, level)
                )


def parse_int(text: str) -> int:
    """Parse an integer sent by a node; return 0 if it is invalid."""
    try:
        return int(text)
    except ValueError:
        return 0


def parse_float(text: str) -> float | None:
    """Parse a number sent by a node; return None if it is invalid."""
    try:
        return float(text)
    except ValueError:
        return None
