"""Requests by which a job is submitted: Queue Job, Job Script, Ready to Commit, Commit."""

from __future__ import annotations

from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, Request, refusal
from ladderhub.pbs.connection import Draft, ServerConnection
from ladderhub.pbs.resources import ResourceError
from ladderhub.server.clientlistener import ReplyCallback, RequestHandler
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.context import DaemonContext

_HOLD_TYPES = ("u", "o", "s")


class SubmissionRequests:
    """Serves submissions; a job is accepted only at its Commit."""

    def __init__(self, context: DaemonContext, intake: Intake) -> None:
        self._context, self._intake = context, intake

    def get_handlers(self) -> dict[int, RequestHandler]:
        return {
            n.QUEUE_JOB: self.queue_job, n.JOB_SCRIPT: self.job_script,
            n.READY_TO_COMMIT: self.ready_to_commit, n.COMMIT: self.commit,
        }  # fmt: skip

    def queue_job(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        context = self._context
        if context.stopping:
            answer(refusal(n.SERVER_BUSY, f"{context.name} is stopping; submit to another scheduler"))
            return
        if len(context.jobs.live) >= context.settings.file.most_jobs:
            answer(
                refusal(
                    n.SERVER_BUSY, f"{context.name} holds {len(context.jobs.live)} jobs, as many as it may"
                )
            )
            return
        name = request.destination.partition("@")[0] or context.settings.default_queue
        closed = self._check_queue_open(name)
        if closed is not None:
            answer(closed)
            return
        refused = self._intake.find_unsupported(request.attrs)
        if refused is not None:
            answer(refused)
            return
        refused = self._check_placeable(name, request)
        if refused is not None:
            answer(refused)
            return
        job = f"{self._intake.numbers.allocate()}.{context.name}"
        request.destination = name  # the answered queue stays, even if the default changes before Commit
        connection.draft = Draft(job, request)
        answer(Reply(0, n.R_QUEUE, job=job))

    def _check_placeable(self, name: str, request: Request) -> Reply | None:
        """Return the refusal of a job that can never be placed, None for any other."""
        probe = JobRecord(0, "", self._context.settings.queues.index(name))
        try:
            self._intake.read_attributes(probe, request.attrs)
        except ResourceError as fault:
            return refusal(fault.code, str(fault))
        unplaceable = self._intake.explain_unplaceable(probe)
        return refusal(n.BAD_RESOURCE_VALUE, unplaceable) if unplaceable else None

    def _check_queue_open(self, name: str) -> Reply | None:
        """Return the refusal of a queue that is unknown or accepts no jobs, None for any other."""
        queues = self._context.settings.queues
        if queues.is_open(name):
            return None
        known = ", ".join(queues.current)
        if queues.is_known(name):
            text = f"Queue {name} {self._intake.describe_removal()}; known are {known}"
            return refusal(n.QUEUE_NOT_ENABLED, text)
        return refusal(n.UNKNOWN_QUEUE, f"Unknown queue {name}; known are {known}")

    def job_script(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        draft = connection.draft
        assert draft is not None
        if len(draft.script) + len(request.data) > n.MAX_SCRIPT_BYTES:
            # A Commit that is already on its way must not submit half a script.
            connection.drop_draft()
            answer(refusal(n.BAD_SCRIPT, f"the script is longer than {n.MAX_SCRIPT_BYTES} bytes"))
            return
        draft.script += request.data
        answer(Reply())

    def ready_to_commit(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        answer(Reply(0, n.R_READY, job=request.job))

    def commit(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        context, draft = self._context, connection.draft
        if draft is None:
            record = self._context.jobs.find(request.job)
            answer(Reply(0, n.R_COMMIT, job=record.id) if record else refusal(n.UNKNOWN_JOB))
            return
        if context.stopping:
            answer(refusal(n.SERVER_BUSY, f"{context.name} is stopping; submit to another scheduler"))
            return
        # The settings may have changed since Queue Job was answered.
        name = draft.request.destination
        refused = self._check_queue_open(name) or self._check_placeable(name, draft.request)
        if refused is not None:
            connection.drop_draft()
            answer(refused)
            return
        record = context.jobs.add(draft.job, context.settings.queues.index(name), context.loop.now_ns())
        self._intake.read_attributes(record, draft.request.attrs)
        record.owner = record.owner or draft.request.user
        record.script = bytes(draft.script)
        answer(Reply(0, n.R_COMMIT, job=record.id))
        self._intake.accept(
            record, held=any(letter in draft.request.get("Hold_Types") for letter in _HOLD_TYPES)
        )
