"""Tasks passed to the decision module, and runs that may be alive on nodes.  Holds state only."""

from __future__ import annotations

from ladderhub.server.jobs import JobRecord
from ladderhub.server.nodelinks import OfferCall


class RunRecord:
    """A run that was offered to a node, and the task and attempt of the decision module it belongs to.

    `outcome_pending`: the decision module does not know the attempt's outcome yet.  `placed`: the node
    accepted the run."""

    __slots__ = ("attempt", "call", "machine", "outcome_pending", "placed", "revision", "sent_ns", "task")

    def __init__(self, task: int, attempt: int, machine: str, sent_ns: int) -> None:
        self.task, self.attempt, self.machine, self.sent_ns = task, attempt, machine, sent_ns
        self.call: OfferCall | None = None
        self.outcome_pending, self.placed = True, False
        self.revision = 0  # of the policy under which it was sent


class TaskRecord:
    """A task of the decision module: one placement request of a job."""

    __slots__ = ("attempts_sent", "deadline_ns", "record", "request_id")

    def __init__(self, record: JobRecord, request_id: int, deadline_ns: int) -> None:
        self.record, self.request_id, self.deadline_ns, self.attempts_sent = (
            record,
            request_id,
            deadline_ns,
            0,
        )


class RunTable:
    """All tasks by task number, and all runs by job number and run number."""

    def __init__(self) -> None:
        self.tasks: dict[int, TaskRecord] = {}
        self._next_task = 1
        self._runs: dict[int, dict[int, RunRecord]] = {}

    def add_task(self, record: JobRecord, request_id: int, deadline_ns: int) -> int:
        task = self._next_task
        self._next_task += 1
        self.tasks[task] = TaskRecord(record, request_id, deadline_ns)
        record.task = task
        return task

    def add(self, job_number: int, run: int, run_record: RunRecord) -> None:
        self._runs.setdefault(job_number, {})[run] = run_record

    def get(self, job_number: int, run: int) -> RunRecord | None:
        return self._runs.get(job_number, {}).get(run)

    def get_task_runs(self, task: int) -> list[RunRecord]:
        task_record = self.tasks.get(task)
        runs = self._runs.get(task_record.record.number, {}) if task_record is not None else {}
        return [run_record for run_record in runs.values() if run_record.task == task]

    def remove(self, job_number: int, run: int) -> None:
        runs = self._runs.get(job_number, {})
        runs.pop(run, None)
        if not runs:
            self._runs.pop(job_number, None)

    def get_machines(self, job_number: int) -> list[str]:
        """Return the nodes that accepted a run of the job, in the order of the offers."""
        return [
            run_record.machine for run_record in self._runs.get(job_number, {}).values() if run_record.placed
        ]
