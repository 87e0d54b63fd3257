"""Reads a recording: jobs, attempts, answers, and what schedulers were told of nodes.  Judges nothing."""

from __future__ import annotations

from collections import defaultdict, deque

from ladderhub.directory.wire import Entry, MessageDecoder, Listed
from ladderhub.lab.auditor.model import GONE, NEVER_NS, Answer, Attempt, JobSeen, NodeNotice
from ladderhub.lab.tap import Record
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, ReplyParser, Request, RequestParser
from ladderhub.pbs.dis import DisError

FENCE = "fence:"
ENDED_STATE = "F"
_OFFER_STEPS = (n.QUEUE_JOB, n.JOB_SCRIPT, n.COMMIT)


class RecordingReader:
    """Feed `take` every record in order; then all that it holds may be looked at."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobSeen] = {}
        self.attempts: list[Attempt] = []
        self.notices: dict[tuple[str, str], list[NodeNotice]] = defaultdict(list)  # by scheduler and node
        self.racks: dict[str, str] = {}  # by node
        self.killed: dict[str, list[int]] = defaultdict(list)  # when, by scheduler
        self.parse_errors: list[str] = []
        self.last_ns = 0
        self._entries: dict[str, dict[str, Entry]] = defaultdict(dict)  # the list, as each scheduler has it
        # By connection:
        self._offers: dict[int, Attempt] = {}  # the offer that is under way
        self._drafts: dict[int, Request] = {}  # Queue Job of a client
        self._requests: dict[int, RequestParser] = {}
        self._replies: dict[int, ReplyParser] = {}
        self._unanswered: dict[int, deque[Request]] = defaultdict(deque)
        self._lines: dict[int, MessageDecoder] = {}

    def take(self, record: Record) -> None:
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
        word, _, scheduler = record.data.decode().partition(" ")
        if word == "killed":
            self.killed[scheduler].append(record.at_ns)

    def _on_closed(self, record: Record) -> None:
        attempt = self._offers.pop(record.connection, None)
        if attempt is not None:
            attempt.closed_ns = record.at_ns
            if attempt.committed_ns < 0:
                attempt.proven_over(record.at_ns)
        for table in (self._requests, self._replies, self._unanswered, self._lines, self._drafts):
            table.pop(record.connection, None)

    # --- the batch protocol -------------------------------------------------------------------------------

    def _on_batch_bytes(self, record: Record, kind: str, name: str) -> None:
        connection = record.connection
        unanswered = self._unanswered[connection]
        if record.direction == ">":
            requests = self._requests.setdefault(connection, RequestParser())
            requests.feed(record.data)
            while (request := requests.next()) is not None:
                unanswered.append(request)
                if kind == "node":
                    self._on_node_request(record, name, request)
                else:
                    self._on_scheduler_request(record, request)
            return
        replies = self._replies.setdefault(connection, ReplyParser())
        replies.feed(record.data)
        while (reply := replies.next()) is not None:
            if not unanswered:  # an answer that nothing was asked for changes nothing
                continue
            request = unanswered.popleft()
            if kind == "sched":
                self._on_scheduler_reply(record, name, request, reply)
            else:
                self._on_node_reply(record, name, request, reply)

    def attempts_of(self, job: str, run: str) -> list[Attempt]:
        """All attempts of a job, or those of one run."""
        seen = self.jobs.get(job)
        attempts = seen.attempts if seen else [each for each in self.attempts if each.job == job]
        return [attempt for attempt in attempts if run in ("", attempt.run)]

    # --- towards nodes ------------------------------------------------------------------------------------

    def _on_node_request(self, record: Record, node: str, request: Request) -> None:
        if request.type == n.QUEUE_JOB:
            self._on_offer(record, node, request)
        elif request.type == n.COMMIT and record.connection in self._offers:
            self._offers[record.connection].committed_ns = record.at_ns
        elif request.type == n.DELETE_JOB:
            for attempt in self.attempts_of(request.job, request.get("run_version")):
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
                attempt.proven_over(at_ns)
            elif request.type == n.COMMIT:
                attempt.accepted_ns = attempt.known_ns = at_ns
            if reply.code or request.type == n.COMMIT:
                del self._offers[record.connection]
            return
        if request.type == n.STATUS_JOB:
            self._on_runs_told(at_ns, node, reply)
        self._on_end_told(at_ns, node, request, reply)

    def _on_runs_told(self, at_ns: int, node: str, reply: Reply) -> None:
        """A node says what it runs."""
        for row in reply.rows:
            if row.get("job_state") == ENDED_STATE:
                continue
            for attempt in self.attempts_of(row.name, row.get("run_version")):
                if attempt.node == node and attempt.known_ns < 0:
                    attempt.known_ns = at_ns

    def _on_end_told(self, at_ns: int, node: str, request: Request, reply: Reply) -> None:
        """A node says of a run, on being asked or told to end it, that it does not run there."""
        fenced = request.type == n.STATUS_JOB and request.extension.startswith(FENCE)
        if not fenced and request.type != n.DELETE_JOB:
            return
        run = request.extension.removeprefix(FENCE) if fenced else request.get("run_version")
        ended = reply.code == n.UNKNOWN_JOB or (reply.rows and reply.rows[0].get("job_state") == ENDED_STATE)
        if not ended:
            return
        for attempt in self.attempts_of(request.job, run):
            # A node speaks for itself alone: what it does not know may run elsewhere.
            if attempt.node == node:
                attempt.proven_over(at_ns)

    # --- towards schedulers -------------------------------------------------------------------------------

    def _on_scheduler_request(self, record: Record, request: Request) -> None:
        if request.type == n.JOB_OBIT:
            for attempt in self.attempts_of(request.job, request.get("run_version")):
                attempt.proven_over(record.at_ns)
        elif request.type == n.QUEUE_JOB:
            self._drafts[record.connection] = request

    def _on_scheduler_reply(self, record: Record, scheduler: str, request: Request, reply: Reply) -> None:
        at_ns, seen = record.at_ns, self.jobs.get(request.job)
        if request.type == n.COMMIT and not reply.code and reply.job not in self.jobs:
            self._on_job_taken(record, scheduler, reply.job)
        elif request.type == n.DELETE_JOB and not reply.code and seen is not None:
            seen.deleted_ns = at_ns
        elif request.type == n.RELEASE_JOB and not reply.code and seen is not None:
            seen.released_ns = at_ns
        elif request.type == n.STATUS_JOB:
            self._on_status_told(at_ns, reply)

    def _on_job_taken(self, record: Record, scheduler: str, job: str) -> None:
        draft = self._drafts.get(record.connection)
        queue = draft.destination.partition("@")[0] if draft else ""
        self.jobs[job] = JobSeen(job, scheduler, queue, record.at_ns)
        if draft is not None and draft.get("Hold_Types") not in ("", "n"):
            self.jobs[job].released_ns = NEVER_NS

    def _on_status_told(self, at_ns: int, reply: Reply) -> None:
        for row in reply.rows:
            seen, word = self.jobs.get(row.name), row.get("placement")
            if seen is not None and word and (not seen.answers or seen.answers[-1].word != word):
                seen.answers.append(Answer(at_ns, word))

    # --- the directory ------------------------------------------------------------------------------------

    def _on_list(self, record: Record, scheduler: str) -> None:
        for message in self._lines.setdefault(record.connection, MessageDecoder()).feed(record.data):
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
