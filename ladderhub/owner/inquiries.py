"""Queries and stops sent to machines about runs, repeated with exponential back-off."""

from __future__ import annotations

from collections.abc import Iterator

from ladderhub.owner import types as t


def build_inquiry(
    now: int, settings: t.OwnerSettings, job: int, run_number: int, run: t.Run
) -> t.Query | t.Stop:
    """Return a stop if the run is unwanted, else a query for its status, and double the interval."""
    doubled_ns = 0 if run.last_message_ns < 0 else 2 * run.interval_ns
    run.interval_ns = min(settings.max_query_interval_ns, max(settings.min_query_interval_ns, doubled_ns))
    run.last_message_ns = now
    return (t.Stop if run.unwanted else t.Query)(job, run_number, run.machine)


def iter_due_inquiries(
    now: int, settings: t.OwnerSettings, job: t.Job, next_times_ns: list[int]
) -> Iterator[t.Query | t.Stop]:
    """Yield the messages that are due for the job's runs in doubt or unwanted.

    The times of the next messages are appended to `next_times_ns`."""
    for run_number, run in job.runs.items():
        if not (run.unwanted or run.in_doubt):
            continue
        next_ns = run.last_message_ns + run.interval_ns if run.last_message_ns >= 0 else now
        if run.in_doubt and not run.unwanted and run.last_message_ns < 0:
            # Wait `query_delay_ns` before the first query: most missing answers are late, not lost.
            next_ns = run.since_ns = now + job.rules.query_delay_ns if not run.interval_ns else run.since_ns
            run.interval_ns = run.interval_ns or settings.min_query_interval_ns
        if next_ns <= now:
            yield build_inquiry(now, settings, job.number, run_number, run)
            next_ns = now + run.interval_ns
        next_times_ns.append(next_ns)


class OrphanedRuns:
    """Runs of finished jobs that may still be alive.

    Each is told to stop until its machine confirms that it doesn't run, or until `orphan_timeout_ns`."""

    def __init__(self) -> None:
        self._runs: dict[tuple[int, int], t.Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def has_job(self, job: int) -> bool:
        """Return whether a run of this job may still be alive."""
        return any(job_number == job for job_number, _ in self._runs)

    def add(self, now: int, job: t.Job, settings: t.OwnerSettings) -> None:
        """Take over the runs of a finished job; all of them are unwanted from now on."""
        for run_number, run in job.runs.items():
            run.since_ns = now  # the time-out counts from here, however long the run has lasted
            run.stop_until_confirmed = job.stop_until_confirmed
            run.unwanted, run.interval_ns = True, run.interval_ns or settings.min_query_interval_ns
            self._runs[job.number, run_number] = run

    def on_machine_restart(self, now: int, machine: str) -> Iterator[t.SetTimer]:
        """After a restart of the machine, stop its runs at once instead of after the back-off."""
        for (job_number, _), run in self._runs.items():
            if run.machine == machine:
                run.last_message_ns, run.interval_ns = -1, 0
                yield t.SetTimer(job_number, now)

    def handle(self, now: int, settings: t.OwnerSettings, event: t.Event) -> list[t.Action]:
        """Process an event of a finished job and return the resulting actions."""
        match event:
            case t.TimerFired(job):
                return self._stop_due(now, settings, job)
            case t.Ended(job, run) | t.NeverRan(job, run) | t.MachineReplied(job, run, t.RunStatus.NEVER):
                self._runs.pop((job, run), None)
        return []

    def _stop_due(self, now: int, settings: t.OwnerSettings, job: int) -> list[t.Action]:
        actions: list[t.Action] = []
        next_times_ns = []
        for (job_number, run_number), run in list(self._runs.items()):
            if job_number != job:
                continue
            if now - run.since_ns > settings.orphan_timeout_ns and not run.stop_until_confirmed:
                del self._runs[job_number, run_number]
                continue
            if run.last_message_ns < 0 or now >= run.last_message_ns + run.interval_ns:
                actions.append(build_inquiry(now, settings, job_number, run_number, run))
            next_times_ns.append(run.last_message_ns + run.interval_ns)
        return [*actions, t.SetTimer(job, min(next_times_ns))] if next_times_ns else actions
