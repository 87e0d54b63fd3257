"""Requests on one job: Delete, Hold, Release, Modify, Signal, Message, Locate."""

from __future__ import annotations

from collections.abc import Callable

from ladderhub.loop import Timer
from ladderhub.owner import types as own
from ladderhub.pbs import names as n
from ladderhub.pbs.attributes import CHANGEABLE_WHILE_RUNNING
from ladderhub.pbs.batch import Attr, Reply, Request, refusal
from ladderhub.pbs.connection import ServerConnection
from ladderhub.pbs.resources import ResourceError
from ladderhub.server.clientlistener import ReplyCallback, RequestHandler
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.context import DaemonContext
from ladderhub.server.runcontrol import RunControl

DELETE_REPLY_TIMEOUT_NS = 3_000_000_000
FORWARD_TIMEOUT_NS = 2_000_000_000
_READ_ONLY = frozenset((
    "job_state", "exec_host", "placement", "Exit_status", "run_count", "ctime", "substate", "server",
    "comment", "queue", "Job_Owner", "Hold_Types", "service", "policy_revision",
))  # fmt: skip
_HOLD_TYPES = ("u", "o", "s")


class JobRequests:
    """Serves clients' requests on one job, and nodes' reports on one run."""

    def __init__(self, context: DaemonContext, intake: Intake, run_control: RunControl) -> None:
        self._context, self._intake, self._run_control = context, intake, run_control
        self._delete_callbacks: dict[int, list[Callable[[], None]]] = {}
        context.on_finished.append(self._on_job_finished)

    def get_handlers(self) -> dict[int, RequestHandler]:
        return {
            n.DELETE_JOB: self.delete, n.HOLD_JOB: self.hold, n.RELEASE_JOB: self.release,
            n.MODIFY_JOB: self.modify, n.SIGNAL_JOB: self.forward, n.MESSAGE_JOB: self.forward,
            n.LOCATE_JOB: self.locate, n.JOB_OBIT: self.obituary,
        }  # fmt: skip

    def _on_job_finished(self, record: JobRecord) -> None:
        """Answer the Delete requests that wait for the job's end."""
        for callback in self._delete_callbacks.pop(record.number, []):
            callback()

    def _find_machine(self, record: JobRecord) -> str:
        """Return the node that runs the job, "" if none does."""
        return next(iter(self._context.runs.get_machines(record.number)), "")

    def find_live_job(self, request: Request) -> JobRecord | Reply:
        """Return the job that the request names, or a refusal if it is unknown or has finished."""
        record = self._context.jobs.find(request.job)
        if record is None:
            return refusal(n.UNKNOWN_JOB, f"Unknown Job Id {request.job}")
        if record.state == "F":
            return refusal(n.BAD_STATE, f"Job has finished {record.id}: {record.comment}")
        return record

    def delete(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Delete a job.  The answer waits for the job's end, but at most `DELETE_REPLY_TIMEOUT_NS`."""
        record = self.find_live_job(request)
        if isinstance(record, Reply):
            answer(record)
            return
        if request.extension:
            # In OpenPBS this is a delay before the kill, or `force`, which removes the job without the
            # confirmation of its node.
            answer(
                refusal(
                    n.INVALID_REQUEST, f"-W {request.extension}: not served; a job ends by its node's word"
                )
            )
            return
        found: JobRecord = record
        answered: list[bool] = []

        def answer_finished() -> None:
            if answered:
                return
            answered.append(True)
            timer.cancel()
            answer(Reply(0, n.R_TEXT, text=found.comment))

        def answer_pending() -> None:
            if not answered:
                answered.append(True)
                text = f"{found.id}: no word yet from {found.run_machine or 'its node'}; it will be deleted"
                answer(Reply(0, n.R_TEXT, text=text))

        timer: Timer = self._context.loop.call_later(DELETE_REPLY_TIMEOUT_NS, answer_pending)
        self._delete_callbacks.setdefault(record.number, []).append(answer_finished)
        self._context.tell_owner(own.Cancelled(record.number))

    def hold(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self.find_live_job(request)
        if isinstance(record, Reply):
            answer(record)
        elif record.state == "R":
            answer(refusal(n.BAD_STATE, f"{record.id} runs; only a job that waits can be held"))
        else:
            self._set_attribute(record, Attr("Hold_Types", request.get("Hold_Types") or "u"))
            self._context.tell_owner(own.Hold(record.number))
            answer(Reply())

    def release(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self.find_live_job(request)
        if isinstance(record, Reply):
            answer(record)
            return
        released_types = request.get("Hold_Types") or "u"
        held_types = record.values["Hold_Types"].value if "Hold_Types" in record.values else ""
        remaining = "".join(
            letter for letter in held_types if letter not in released_types and letter in _HOLD_TYPES
        )
        self._set_attribute(record, Attr("Hold_Types", remaining or "n"))
        if not remaining:
            self._context.tell_owner(own.Release(record.number))
        answer(Reply())

    def _set_attribute(self, record: JobRecord, attr: Attr) -> None:
        record.values[attr.key()] = Attr(attr.name, attr.value, attr.resource)

    def modify(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        if request.user.startswith(n.NODE_USER_PREFIX):
            self._run_control.handle_update(request)
            answer(Reply())
            return
        record = self.find_live_job(request)
        if isinstance(record, Reply):
            answer(record)
            return
        read_only = next((attr.name for attr in request.attrs if attr.name in _READ_ONLY), "")
        if read_only:
            answer(refusal(n.READ_ONLY, f"Read only attribute {read_only}"))
            return
        refused = self._intake.find_unsupported(request.attrs)
        if refused is not None:
            answer(refused)
            return
        needs_unplaced_job = any(attr.name not in CHANGEABLE_WHILE_RUNNING for attr in request.attrs)
        if needs_unplaced_job and (record.state not in "HQ" or record.substate not in (10, 20)):
            answer(refusal(n.MODIFY_RUNNING, f"{record.id} is being placed or runs"))
            return
        if record.adopted and request.get("Rerunable").lower() in ("y", "true"):
            text = f"its script went with an earlier life of {self._context.name}; it can't be run again"
            answer(refusal(n.BAD_ATTRIBUTE_VALUE, f"{record.id}: {text}"))
            return
        previous_values = dict(record.values)
        for attr in request.attrs:
            self._set_attribute(record, attr)
        try:
            self._intake.read_attributes(record, list(record.values.values()))
            unplaceable = self._intake.explain_unplaceable(record, is_accepted=True)
        except ResourceError as fault:
            unplaceable = str(fault)
        if unplaceable:
            self._intake.read_attributes(record, list(previous_values.values()))
            answer(refusal(n.BAD_RESOURCE_VALUE, unplaceable))
            return
        record.rerunnable = record.rerunnable and not record.adopted
        self._context.tell_owner(own.Altered(record.number, record.rerunnable))
        answer(Reply())

    def forward(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Forward Signal Job and Message Job to the node that runs the job."""
        record = self.find_live_job(request)
        if isinstance(record, Reply):
            answer(record)
            return
        if request.type == n.MESSAGE_JOB:
            record.messages.append(request.text)
        node = self._find_machine(record)
        if not node:
            if request.type == n.MESSAGE_JOB:
                answer(Reply())
            else:
                answer(refusal(n.BAD_STATE, f"{record.id} does not run"))
            return
        request.job = record.id
        self._context.links.send_request(
            node, request, FORWARD_TIMEOUT_NS,
            lambda reply: answer(reply or refusal(n.NODE_DOWN, f"{node} does not answer")),
        )  # fmt: skip

    def locate(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self._context.jobs.find(request.job)
        answer(Reply(0, n.R_LOCATE, job=self._context.name) if record else refusal(n.UNKNOWN_JOB))

    def obituary(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        self._run_control.handle_obituary(request)
        answer(Reply())
