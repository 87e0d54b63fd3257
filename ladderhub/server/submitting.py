"""Requests by which a job is submitted: Queue Job, Job Script, Ready to Commit, Commit."""

from __future__ import annotations

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import Draft, ServerConnection
from ladderhub.pbs.resources import ResourceError
from ladderhub.server.door import Answer, Serve
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.site import Site

_HELD = ("u", "o", "s")


class Submitting:
    """Serves submissions; a job is taken at its Commit and not before."""

    def __init__(self, site: Site, intake: Intake) -> None:
        self._site, self._intake = site, intake

    def serves(self) -> dict[int, Serve]:
        return {
            n.QUEUE_JOB: self.queue_job, n.JOB_SCRIPT: self.job_script, n.READY_TO_COMMIT: self.ready,
            n.COMMIT: self.commit,
        }  # fmt: skip

    def queue_job(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        site = self._site
        if site.stopping:
            answer(refusal(n.SERVER_BUSY, f"{site.name} is stopping; submit to another scheduler"))
            return
        if len(site.jobs.live) >= site.settings.file.most_jobs:
            answer(refusal(n.SERVER_BUSY, f"{site.name} holds {len(site.jobs.live)} jobs, as many as it may"))
            return
        name = request.destination.partition("@")[0] or site.settings.default_queue
        if name not in site.settings.queue_names:
            known = ", ".join(site.settings.queue_names)
            answer(refusal(n.UNKNOWN_QUEUE, f"Unknown queue {name}; known are {known}"))
            return
        refused = self._intake.unserved(request.attrs)
        if refused is not None:
            answer(refused)
            return
        probe = JobRecord(0, "", site.settings.queue_names.index(name))
        try:
            self._intake.describe(probe, request.attrs)
        except ResourceError as fault:
            answer(refusal(fault.code, str(fault)))
            return
        never = self._intake.check(probe)
        if never:
            answer(refusal(n.BAD_RESOURCE_VALUE, never))
            return
        job = f"{self._intake.numbers.take()}.{site.name}"
        connection.draft = Draft(job, request)
        answer(Reply(0, n.R_QUEUE, job=job))

    def job_script(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        draft = connection.draft
        assert draft is not None
        if len(draft.script) + len(request.data) > n.SCRIPT_MOST:
            # A Commit that is on its way behind it must not take half a script.
            connection.drop_draft()
            answer(refusal(n.BAD_SCRIPT, f"the script is longer than {n.SCRIPT_MOST} bytes"))
            return
        draft.script += request.data
        answer(Reply())

    def ready(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        answer(Reply(0, n.R_READY, job=request.job))

    def commit(self, connection: ServerConnection, request: Request, answer: Answer) -> None:
        site, draft = self._site, connection.draft
        if draft is None:
            record = self._site.jobs.find(request.job)
            answer(Reply(0, n.R_COMMIT, job=record.id) if record else refusal(n.UNKNOWN_JOB))
            return
        if site.stopping:
            answer(refusal(n.SERVER_BUSY, f"{site.name} is stopping; submit to another scheduler"))
            return
        name = draft.request.destination.partition("@")[0] or site.settings.default_queue
        now = site.loop.now_ns()
        record = site.jobs.add(draft.job, site.settings.queue_names.index(name), now)
        self._intake.describe(record, draft.request.attrs)
        record.owner = record.owner or draft.request.user
        record.script = bytes(draft.script)
        answer(Reply(0, n.R_COMMIT, job=record.id))
        self._intake.take(record, held=any(letter in draft.request.get("Hold_Types") for letter in _HELD))
