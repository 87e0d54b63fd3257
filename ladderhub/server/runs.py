"""What is out: tasks that the module was given, and runs that may be alive on nodes.  State only."""

from __future__ import annotations

from ladderhub.server.jobs import JobRecord
from ladderhub.server.nodelinks import OfferCall


class OutRun:
    """A run that is out: the module's task and attempt it stands for, until the module was told its end."""

    __slots__ = ("attempt", "call", "machine", "open", "placed", "revision", "sent_ns", "task")

    def __init__(self, task: int, attempt: int, machine: str, sent_ns: int) -> None:
        self.task, self.attempt, self.machine, self.sent_ns = task, attempt, machine, sent_ns
        self.call: OfferCall | None = None
        self.open, self.placed = True, False
        self.revision = 0  # of the policy by which it was sent


class TaskOut:
    """A task that the module was given: one ask of a job."""

    __slots__ = ("ask", "record", "sent", "until_ns")

    def __init__(self, record: JobRecord, ask: int, until_ns: int) -> None:
        self.record, self.ask, self.until_ns, self.sent = record, ask, until_ns, 0


class RunTable:
    """All tasks by the module's number, all runs by job number and run."""

    def __init__(self) -> None:
        self.tasks: dict[int, TaskOut] = {}
        self._next_task = 1
        self._runs: dict[int, dict[int, OutRun]] = {}

    def new_task(self, record: JobRecord, ask: int, until_ns: int) -> int:
        task = self._next_task
        self._next_task += 1
        self.tasks[task] = TaskOut(record, ask, until_ns)
        record.task = task
        return task

    def add(self, number: int, run: int, out: OutRun) -> None:
        self._runs.setdefault(number, {})[run] = out

    def get(self, number: int, run: int) -> OutRun | None:
        return self._runs.get(number, {}).get(run)

    def of_task(self, task: int) -> list[OutRun]:
        asked = self.tasks.get(task)
        runs = self._runs.get(asked.record.number, {}) if asked is not None else {}
        return [out for out in runs.values() if out.task == task]

    def forget(self, number: int, run: int) -> None:
        runs = self._runs.get(number, {})
        runs.pop(run, None)
        if not runs:
            self._runs.pop(number, None)

    def placed_at(self, number: int) -> list[str]:
        """The nodes that hold a run of the job, in the order in which they were asked."""
        return [out.machine for out in self._runs.get(number, {}).values() if out.placed]
