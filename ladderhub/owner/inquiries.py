"""Questions and stops sent to machines about runs, with pauses that grow."""

from __future__ import annotations

from collections.abc import Iterator

from ladderhub.owner import types as t


def inquire(now: int, settings: t.OwnerSettings, job: int, number: int, run: t.Run) -> t.Query | t.Stop:
    """Ask the machine what became of the run, or have it end the run where it is unwanted."""
    longer = 0 if run.asked_ns < 0 else 2 * run.span_ns
    run.span_ns = min(settings.max_query_interval_ns, max(settings.min_query_interval_ns, longer))
    run.asked_ns = now
    return (t.Stop if run.stop else t.Query)(job, number, run.machine)


def inquire_due(
    now: int, settings: t.OwnerSettings, job: t.Job, times: list[int]
) -> Iterator[t.Query | t.Stop]:
    """What is due for the job's runs that are in doubt or unwanted; `times` gets when the next are."""
    for number, run in job.runs.items():
        if not (run.stop or run.doubt):
            continue
        at = run.asked_ns + run.span_ns if run.asked_ns >= 0 else now
        if run.doubt and not run.stop and run.asked_ns < 0:
            # A moment for the answer to come by itself: most are late, not lost.
            at = run.since_ns = now + job.rules.query_delay_ns if not run.span_ns else run.since_ns
            run.span_ns = run.span_ns or settings.min_query_interval_ns
        if at <= now:
            yield inquire(now, settings, job.number, number, run)
            at = now + run.span_ns
        times.append(at)


class Strays:
    """Runs of jobs that are over: told to stop, for so long, until they are proven away."""

    def __init__(self) -> None:
        self._runs: dict[tuple[int, int], t.Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def has(self, job: int) -> bool:
        """Whether a run of this job may still be alive."""
        return any(number == job for number, _ in self._runs)

    def add(self, job: t.Job, settings: t.OwnerSettings) -> None:
        """The job is over; its runs are unwanted from now on."""
        for number, run in job.runs.items():
            run.lasting = job.lasting
            run.stop, run.span_ns = True, run.span_ns or settings.min_query_interval_ns
            self._runs[job.number, number] = run

    def machine_anew(self, now: int, machine: str) -> Iterator[t.SetTimer]:
        """It came up anew: it is told at once."""
        for (number, _), run in self._runs.items():
            if run.machine == machine:
                run.asked_ns, run.span_ns = -1, 0
                yield t.SetTimer(number, now)

    def handle(self, now: int, settings: t.OwnerSettings, event: t.Event) -> list[t.Action]:
        """Take an event of a job that is over."""
        match event:
            case t.TimerFired(job):
                return self._stop_due(now, settings, job)
            case t.Ended(job, run) | t.NeverRan(job, run) | t.MachineReplied(job, run, t.RunStatus.NEVER):
                self._runs.pop((job, run), None)
        return []

    def _stop_due(self, now: int, settings: t.OwnerSettings, job: int) -> list[t.Action]:
        actions: list[t.Action] = []
        times = []
        for (number, at), run in list(self._runs.items()):
            if number != job:
                continue
            if now - run.since_ns > settings.orphan_timeout_ns and not run.lasting:
                del self._runs[number, at]
                continue
            if run.asked_ns < 0 or now >= run.asked_ns + run.span_ns:
                actions.append(inquire(now, settings, number, at, run))
            times.append(run.asked_ns + run.span_ns)
        return [*actions, t.SetTimer(job, min(times))] if times else actions
