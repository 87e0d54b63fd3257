"""Reads from a recording: jobs, attempts, answers, and what schedulers were told about nodes."""

from __future__ import annotations

from collections import defaultdict, deque

from ladderhub.directory.wire import Entry, MessageDecoder, Listed
from ladderhub.lab.auditor.model import GONE, NEVER_NS, Answer, Attempt, ObservedJob, NodeNotice
from ladderhub.lab.tap import Record
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, ReplyParser, Request, RequestParser
from ladderhub.pbs.dis import DisError

FENCE_PREFIX = "fence:"
ENDED_STATE = "F"
_OFFER_STEPS = (n.QUEUE_JOB, n.JOB_SCRIPT, n.COMMIT)


class RecordingReader:
    """The data of a recording; complete once `read_record` has been called with every record in order."""

    def __init__(self) -> None:
        self.jobs: dict[str, ObservedJob] = {}
        self.attempts: list[Attempt] = []
        self.notices: dict[tuple[str, str], list[NodeNotice]] = defaultdict(list)  # by scheduler, node
        self.racks: dict[str, str] = {}  # node -> rack
        self.killed: dict[str, list[int]] = defaultdict(list)  # scheduler -> times at which it was killed
        self.parse_errors: list[str] = []
        self.last_ns = 0
        self._entries: dict[str, dict[str, Entry]] = defaultdict(dict)  # scheduler -> its list
        # The following are by connection.
        self._offers: dict[int, Attempt] = {}  # the offer in progress
        self._drafts: dict[int, Request] = {}  # a client's last Queue Job
        self._request_parsers: dict[int, RequestParser] = {}
        self._reply_parsers: dict[int, ReplyParser] = {}
        self._unanswered: dict[int, deque[Request]] = defaultdict(deque)
        self._list_decoders: dict[int, MessageDecoder] = {}

    def read_record(self, record: Record) -> None:
        """Process the next record; bytes that can't be parsed are added to `parse_errors`."""
        self.last_ns = record.at_ns
        kind, _, name = record.channel.partition(":")
        if kind == "note":
            self._on_note(record)
        elif record.direction == "X":
            self._on_closed(record)
        elif kind == "list":
            if record.direction == "<":
                self._on_list(record, name)
        elif record.direction in "<>":
            try:
                self._on_batch_bytes(record, kind, name)
            except DisError as fault:
                self.parse_errors.append(f"{record.channel} connection {record.connection}: {fault}")

    def _on_note(self, record: Record) -> None:
        event, _, scheduler = record.data.decode().partition(" ")
        if event == "killed":
            self.killed[scheduler].append(record.at_ns)

    def _on_closed(self, record: Record) -> None:
        attempt = self._offers.pop(record.connection, None)
        if attempt is not None:
            attempt.closed_ns = record.at_ns
            if attempt.committed_ns < 0:
                attempt.mark_over(record.at_ns)
        for table in (
            self._request_parsers,
            self._reply_parsers,
            self._unanswered,
            self._list_decoders,
            self._drafts,
        ):
            table.pop(record.connection, None)

    # --- the batch protocol -------------------------------------------------------------------------------

    def _on_batch_bytes(self, record: Record, kind: str, name: str) -> None:
        connection = record.connection
        unanswered = self._unanswered[connection]
        if record.direction == ">":
            requests = self._request_parsers.setdefault(connection, RequestParser())
            requests.feed(record.data)
            while (request := requests.next()) is not None:
                unanswered.append(request)
                if kind == "node":
                    self._on_node_request(record, name, request)
                else:
                    self._on_scheduler_request(record, request)
            return
        replies = self._reply_parsers.setdefault(connection, ReplyParser())
        replies.feed(record.data)
        while (reply := replies.next()) is not None:
            if not unanswered:  # a reply without a request has no effect
                continue
            request = unanswered.popleft()
            if kind == "sched":
                self._on_scheduler_reply(record, name, request, reply)
            else:
                self._on_node_reply(record, name, request, reply)

    def find_attempts(self, job: str, run: str) -> list[Attempt]:
        """Return the attempts of one run of a job; of all its runs if `run` is empty."""
        observed = self.jobs.get(job)
        attempts = observed.attempts if observed else [each for each in self.attempts if each.job == job]
        return [attempt for attempt in attempts if run in ("", attempt.run)]

    # --- requests to nodes --------------------------------------------------------------------------------

    def _on_node_request(self, record: Record, node: str, request: Request) -> None:
        if request.type == n.QUEUE_JOB:
            self._on_offer(record, node, request)
        elif request.type == n.COMMIT and record.connection in self._offers:
            self._offers[record.connection].committed_ns = record.at_ns
        elif request.type == n.DELETE_JOB:
            for attempt in self.find_attempts(request.job, request.get("run_version")):
                if attempt.node == node and attempt.stop_ns < 0:
                    attempt.stop_ns = record.at_ns

    def _on_offer(self, record: Record, node: str, request: Request) -> None:
        attempt = Attempt(
            job=request.job,
            run=request.get("run_version"),
            scheduler=request.user.partition("@")[2],
            node=node,
            connection=record.connection,
            service=request.get("service"),
            queue=request.get("queue"),
            offered_ns=record.at_ns,
            slot=request.get("service_slot"),
            version=request.get("service_version"),
        )
        self.attempts.append(attempt)
        self._offers[record.connection] = attempt
        if request.job in self.jobs:
            self.jobs[request.job].attempts.append(attempt)

    def _on_node_reply(self, record: Record, node: str, request: Request, reply: Reply) -> None:
        at_ns, attempt = record.at_ns, self._offers.get(record.connection)
        if request.type in _OFFER_STEPS and attempt is not None:
            if reply.code:
                attempt.mark_over(at_ns)
            elif request.type == n.COMMIT:
                attempt.accepted_ns = attempt.known_ns = at_ns
            if reply.code or request.type == n.COMMIT:
                del self._offers[record.connection]
            return
        if request.type == n.STATUS_JOB:
            self._on_runs_reported(at_ns, node, reply)
        self._on_end_reported(at_ns, node, request, reply)

    def _on_runs_reported(self, at_ns: int, node: str, reply: Reply) -> None:
        """Process a node's report of the runs that it has."""
        for row in reply.rows:
            if row.get("job_state") == ENDED_STATE:
                continue
            for attempt in self.find_attempts(row.name, row.get("run_version")):
                if attempt.node == node and attempt.known_ns < 0:
                    attempt.known_ns = at_ns

    def _on_end_reported(self, at_ns: int, node: str, request: Request, reply: Reply) -> None:
        """Process a node's reply to a query or stop of a run, if it says that the run is not there."""
        fenced = request.type == n.STATUS_JOB and request.extension.startswith(FENCE_PREFIX)
        if not fenced and request.type != n.DELETE_JOB:
            return
        run = request.extension.removeprefix(FENCE_PREFIX) if fenced else request.get("run_version")
        ended = reply.code == n.UNKNOWN_JOB or (reply.rows and reply.rows[0].get("job_state") == ENDED_STATE)
        if not ended:
            return
        for attempt in self.find_attempts(request.job, run):
            # The reply proves this for its own node only: the run may be alive on another one.
            if attempt.node == node:
                attempt.mark_over(at_ns)

    # --- requests to schedulers ---------------------------------------------------------------------------

    def _on_scheduler_request(self, record: Record, request: Request) -> None:
        if request.type == n.JOB_OBIT:
            for attempt in self.find_attempts(request.job, request.get("run_version")):
                attempt.mark_over(record.at_ns)
        elif request.type == n.QUEUE_JOB:
            self._drafts[record.connection] = request

    def _on_scheduler_reply(self, record: Record, scheduler: str, request: Request, reply: Reply) -> None:
        at_ns, observed = record.at_ns, self.jobs.get(request.job)
        if request.type == n.COMMIT and not reply.code and reply.job not in self.jobs:
            self._on_job_accepted(record, scheduler, reply.job)
        elif request.type == n.DELETE_JOB and not reply.code and observed is not None:
            observed.deleted_ns = at_ns
        elif request.type == n.RELEASE_JOB and not reply.code and observed is not None:
            observed.released_ns = at_ns
        elif request.type == n.STATUS_JOB:
            self._on_status_reply(at_ns, reply)

    def _on_job_accepted(self, record: Record, scheduler: str, job: str) -> None:
        draft = self._drafts.get(record.connection)
        queue = draft.destination.partition("@")[0] if draft else ""
        self.jobs[job] = ObservedJob(job, scheduler, queue, record.at_ns)
        if draft is not None and draft.get("Hold_Types") not in ("", "n"):
            self.jobs[job].released_ns = NEVER_NS

    def _on_status_reply(self, at_ns: int, reply: Reply) -> None:
        for row in reply.rows:
            observed, outcome = self.jobs.get(row.name), row.get("placement")
            if (
                observed is not None
                and outcome
                and (not observed.answers or observed.answers[-1].outcome != outcome)
            ):
                observed.answers.append(Answer(at_ns, outcome))

    # --- the directory ------------------------------------------------------------------------------------

    def _on_list(self, record: Record, scheduler: str) -> None:
        for message in self._list_decoders.setdefault(record.connection, MessageDecoder()).feed(record.data):
            if not isinstance(message, Listed):
                continue
            known = self._entries[scheduler]
            if message.kind == "full":
                for name in set(known) - {entry.name for entry in message.entries}:
                    notice = NodeNotice(record.at_ns, GONE, known[name].ready_ns)
                    self.notices[scheduler, name].append(notice)
                known.clear()
            for entry in message.entries:
                known[entry.name] = entry
                self.racks[entry.name] = entry.rack
                notice = NodeNotice(record.at_ns, entry.stage, entry.ready_ns)
                self.notices[scheduler, entry.name].append(notice)
