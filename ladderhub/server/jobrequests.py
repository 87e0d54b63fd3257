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
from ladderhub.server.context import DaemonContext
from ladderhub.server.intake import Intake
from ladderhub.server.jobs import JobRecord
from ladderhub.server.words import Words

DELETE_WAIT_NS = 3_000_000_000
FORWARD_NS = 2_000_000_000
_READ_ONLY = frozenset((
    "job_state", "exec_host", "placement", "Exit_status", "run_count", "ctime", "substate", "server",
    "comment", "queue", "Job_Owner", "Hold_Types", "service", "policy_revision",
))  # fmt: skip
_HELD = ("u", "o", "s")


class JobRequests:
    """Serves what people ask of one job, and what nodes tell of one run."""

    def __init__(self, context: DaemonContext, intake: Intake, words: Words) -> None:
        self._context, self._intake, self._words = context, intake, words
        self._deletes: dict[int, list[Callable[[], None]]] = {}
        context.on_finished.append(self._finished)

    def get_handlers(self) -> dict[int, RequestHandler]:
        return {
            n.DELETE_JOB: self.delete, n.HOLD_JOB: self.hold, n.RELEASE_JOB: self.release,
            n.MODIFY_JOB: self.modify, n.SIGNAL_JOB: self.forward, n.MESSAGE_JOB: self.forward,
            n.LOCATE_JOB: self.locate, n.JOB_OBIT: self.obituary,
        }  # fmt: skip

    def _finished(self, record: JobRecord) -> None:
        """A job is over: those who wait to hear so are told."""
        for call in self._deletes.pop(record.number, []):
            call()

    def _machine_of(self, record: JobRecord) -> str:
        """The node where the job runs, "" where it does not."""
        return next(iter(self._context.runs.placed_at(record.number)), "")

    def live(self, request: Request) -> JobRecord | Reply:
        record = self._context.jobs.find(request.job)
        if record is None:
            return refusal(n.UNKNOWN_JOB, f"Unknown Job Id {request.job}")
        if record.state == "F":
            return refusal(n.BAD_STATE, f"Job has finished {record.id}: {record.comment}")
        return record

    def delete(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Answered once it is known what became of the job, or after a while with what is known by then."""
        record = self.live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        if request.extension:
            # OpenPBS: a delay before the kill, or `force`, which forgets the job without its node's word.
            answer(
                refusal(
                    n.INVALID_REQUEST, f"-W {request.extension}: not served; a job ends by its node's word"
                )
            )
            return
        found: JobRecord = record
        answered: list[bool] = []

        def over() -> None:
            if answered:
                return
            answered.append(True)
            timer.cancel()
            answer(Reply(0, n.R_TEXT, text=found.comment))

        def late() -> None:
            if not answered:
                answered.append(True)
                text = f"{found.id}: no word yet from {found.run_machine or 'its node'}; it will be deleted"
                answer(Reply(0, n.R_TEXT, text=text))

        timer: Timer = self._context.loop.call_later(DELETE_WAIT_NS, late)
        self._deletes.setdefault(record.number, []).append(over)
        self._context.tell_owner(own.Cancelled(record.number))

    def hold(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self.live(request)
        if isinstance(record, Reply):
            answer(record)
        elif record.state == "R":
            answer(refusal(n.BAD_STATE, f"{record.id} runs; only a job that waits can be held"))
        else:
            self._set(record, Attr("Hold_Types", request.get("Hold_Types") or "u"))
            self._context.tell_owner(own.Hold(record.number))
            answer(Reply())

    def release(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self.live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        kinds = request.get("Hold_Types") or "u"
        held = record.values["Hold_Types"].value if "Hold_Types" in record.values else ""
        left = "".join(letter for letter in held if letter not in kinds and letter in _HELD)
        self._set(record, Attr("Hold_Types", left or "n"))
        if not left:
            self._context.tell_owner(own.Release(record.number))
        answer(Reply())

    def _set(self, record: JobRecord, attr: Attr) -> None:
        record.values[attr.key()] = Attr(attr.name, attr.value, attr.resource)

    def modify(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        if request.user.startswith(n.NODE_USER_PREFIX):
            self._words.update(request)
            answer(Reply())
            return
        record = self.live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        wrong = next((attr.name for attr in request.attrs if attr.name in _READ_ONLY), "")
        if wrong:
            answer(refusal(n.READ_ONLY, f"Read only attribute {wrong}"))
            return
        refused = self._intake.unserved(request.attrs)
        if refused is not None:
            answer(refused)
            return
        fixed = any(attr.name not in CHANGEABLE_WHILE_RUNNING for attr in request.attrs)
        if fixed and (record.state not in "HQ" or record.substate not in (10, 20)):
            answer(refusal(n.MODIFY_RUNNING, f"{record.id} is being placed or runs"))
            return
        if record.adopted and request.get("Rerunable").lower() in ("y", "true"):
            text = f"its script went with an earlier life of {self._context.name}; it can't be run again"
            answer(refusal(n.BAD_ATTRIBUTE_VALUE, f"{record.id}: {text}"))
            return
        before = dict(record.values)
        for attr in request.attrs:
            self._set(record, attr)
        try:
            self._intake.describe(record, list(record.values.values()))
            never = self._intake.check(record, taken=True)
        except ResourceError as fault:
            never = str(fault)
        if never:
            self._intake.describe(record, list(before.values()))
            answer(refusal(n.BAD_RESOURCE_VALUE, never))
            return
        record.rerunnable = record.rerunnable and not record.adopted
        self._context.tell_owner(own.Altered(record.number, record.rerunnable))
        answer(Reply())

    def forward(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        """Signal Job and Message Job: the node that runs the job does it."""
        record = self.live(request)
        if isinstance(record, Reply):
            answer(record)
            return
        if request.type == n.MESSAGE_JOB:
            record.messages.append(request.text)
        node = self._machine_of(record)
        if not node:
            if request.type == n.MESSAGE_JOB:
                answer(Reply())
            else:
                answer(refusal(n.BAD_STATE, f"{record.id} does not run"))
            return
        request.job = record.id
        self._context.links.ask(
            node, request, FORWARD_NS,
            lambda reply: answer(reply or refusal(n.NODE_DOWN, f"{node} does not answer")),
        )  # fmt: skip

    def locate(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        record = self._context.jobs.find(request.job)
        answer(Reply(0, n.R_LOCATE, job=self._context.name) if record else refusal(n.UNKNOWN_JOB))

    def obituary(self, connection: ServerConnection, request: Request, answer: ReplyCallback) -> None:
        self._words.obituary(request)
        answer(Reply())
