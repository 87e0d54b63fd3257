"""The node agent: serves offers and other requests about jobs, and connects sockets, admission and runner.

A scheduler offers a job by Queue Job (answered after evaluation: admitted, or refused with a code and text),
Job Script and Commit (answered once the job runs, or at once if `answers` is `accepted`).  Status Job with
the extension `fence:RUN` asks about one run and fences it if it is not known.  The end of a job is sent as
Job Obituary to the address in its `server_address`, and repeated until it is acknowledged.
"""

from __future__ import annotations

import random
import signal as signals
import socket
from collections import OrderedDict
from functools import partial

from ladderhub.directory.wire import Entry, State
from ladderhub.loop import Listener, Loop
from ladderhub.loop.stream import Address
from ladderhub.node.admission import Admission, RunKey, NodeSettings, Refusal
from ladderhub.node.connection import AgentConnection, ReplyCallback
from ladderhub.node.directory_link import DirectoryLink
from ladderhub.node.jobs import (
    FENCE_PREFIX,
    EndedRun,
    NodeJob,
    JobState,
    parse_fenced_run,
    parse_job,
    parse_run,
)
from ladderhub.node.outbox import Outbox
from ladderhub.node.runners import Runner
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, refusal
from ladderhub.pbs.resources import ResourceError
from ladderhub.usage.traffic import DIRECTORY, SCHEDULER, Traffic

MS, S = 1_000_000, 1_000_000_000
COMMIT_TIMEOUT_NS = 10 * S  # an offer that is not committed by then is withdrawn
MAX_ENDED_RUNS = 5000  # kept to answer requests about them
LOAD_INTERVAL_NS = 500 * MS
ANSWERS_ACCEPTED = "accepted"  # Commit is answered at once, otherwise when the job runs


class Agent:
    """One node agent with its listener.

    `evaluation_ns` is the range of the time that the evaluation of one offer takes.  A start whose program is
    not warm takes `cold_times` as long."""

    def __init__(
        self, loop: Loop, name: str, settings: NodeSettings, runner: Runner, *,
        address: Address = ("127.0.0.1", 0),
        directory: Address | None = None, advertise: str = "", rack: str = "rack-1", zone: str = "zone-1",
        evaluation_ns: tuple[int, int] = (6 * MS, 30 * MS), cold_times: float = 9.0, answers: str = "running",
        seed: int = 1, traffic: Traffic | None = None,
    ) -> None:  # fmt: skip
        self.traffic = traffic or Traffic()
        self.loop, self.name, self.settings, self.runner = loop, name, settings, runner
        self.rack, self.zone = rack, zone
        self.evaluation_ns, self.cold_times, self.answers = evaluation_ns, cold_times, answers
        self.ready_ns = loop.now_ns()
        self.admission = Admission(settings, self.ready_ns)
        self.slowdown = 1.0  # factor on the times of evaluations and starts, for experiments
        self._load_ns, self._load = 0, (0.0, 0.0)
        self.jobs: dict[RunKey, NodeJob] = {}
        self._ended_runs: OrderedDict[RunKey, EndedRun] = OrderedDict()
        self._random = random.Random(seed)
        self._offer_answers: dict[RunKey, ReplyCallback] = {}  # callbacks of offers not evaluated yet
        self.connections: set[AgentConnection] = set()
        self.outboxes: dict[str, Outbox] = {}
        self.listener = Listener(loop, address, self._accept)
        self.advertise = advertise or "{}:{}".format(*self.listener.address)
        self.closed = False
        self._directory: DirectoryLink | None = None
        if directory is not None:
            self._directory = DirectoryLink(
                loop,
                directory,
                self.make_entry,
                lambda: self.admission.get_free_resources(),
                self.traffic.of(DIRECTORY),
            )

    def make_entry(self) -> Entry:
        """Return the current row of this node for the directory."""
        cores, memory = self.admission.get_free_resources()
        stage = "draining" if self.admission.draining else "serving"
        kind, rack, zone = self.settings.kind, self.rack, self.zone
        return Entry(self.name, self.advertise, kind, rack, zone, self.ready_ns, stage, cores, memory)

    def _accept(self, sock: socket.socket) -> None:
        self.connections.add(self.make_connection(sock))

    def make_connection(self, sock: socket.socket) -> AgentConnection:
        """Create the server side of a connection.  Fault-injecting subclasses override it."""
        return AgentConnection(self, sock)

    def close(self) -> None:
        """Stop at once and notify nobody, like a machine that lost power."""
        self.closed = True
        self.listener.close()
        self.runner.kill_all()
        for job in self.jobs.values():
            if job.commit_timer is not None:
                job.commit_timer.cancel()
        for connection in list(self.connections):
            connection.stream.abort()
        for outbox in self.outboxes.values():
            outbox.close()
        if self._directory is not None:
            self._directory.close()

    # --- offers -----------------------------------------------------------------------------------------

    def queue_job(self, request: Request, answer: ReplyCallback) -> None:
        """Handle Queue Job: queue the offer; `answer` is called after its evaluation."""
        try:
            job = parse_job(request, self.name)
        except ResourceError as fault:
            answer(refusal(n.BAD_RESOURCE_VALUE, str(fault)))
            return
        if job.key in self.jobs:
            answer(refusal(n.JOB_EXISTS))
            return
        if job.key in self._ended_runs:
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the run has ended here"))
            return
        refused = self.inject_refusal(job) or self.admission.enqueue(self.loop.now_ns(), job.offer)
        if refused is not None:
            answer(_make_refusal(refused))
            return
        self.jobs[job.key] = job
        self._offer_answers[job.key] = answer
        self._evaluate_next()

    def inject_refusal(self, job: NodeJob) -> Refusal | None:
        """Return None.  Fault-injecting subclasses return refusals of offers that should be accepted."""
        return None

    def set_script(self, key: RunKey, script: bytes) -> None:
        """Store the whole script of an offered job."""
        if key in self.jobs:
            self.jobs[key].spec.script = script

    def on_connection_closed(self, connection: AgentConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)

    def _evaluate_next(self) -> None:
        offer = self.admission.begin_evaluation()
        if offer is not None:
            span = self._random.randint(*self.evaluation_ns)
            self.loop.call_later(
                round(span * self.slowdown), self._finish_evaluation, offer.key, self.jobs.get(offer.key)
            )

    def _finish_evaluation(self, key: RunKey, job: NodeJob | None) -> None:
        if self.closed:
            return
        refused = self.admission.finish_evaluation(self.loop.now_ns())
        if job is None or self.jobs.get(key) is not job:
            # It was withdrawn during its evaluation; a newer offer with the same key is evaluated on its own.
            if refused is None:
                self.admission.release_resources(key)
            self._evaluate_next()
            return
        answer = self._offer_answers.pop(key)
        if refused is not None:
            del self.jobs[key]
            answer(_make_refusal(refused))
        else:
            job.commit_timer = self.loop.call_later(COMMIT_TIMEOUT_NS, self.withdraw, key)
            answer(Reply(0, n.R_QUEUE, job=key[0]))
        self._evaluate_next()

    def withdraw(self, key: RunKey) -> None:
        """Discard an offer that was not committed before its connection closed or its time ran out."""
        job = self.jobs.get(key)
        if job is None or job.state is not JobState.OFFERED:
            return
        if job.commit_timer is not None:
            job.commit_timer.cancel()
        del self.jobs[key]
        self.admission.withdraw(key)
        answer = self._offer_answers.pop(key, None)
        if answer is not None:
            # Replies are sent in order: a request that is never answered would block its connection forever.
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer was withdrawn"))

    # --- starts and ends ------------------------------------------------------------------------------------

    def commit_job(self, key: RunKey, answer: ReplyCallback) -> None:
        """Handle Commit: queue the offered job for a start slot."""
        job = self.jobs.get(key)
        if job is None:
            answer(refusal(n.UNKNOWN_JOB))
            return
        if job.state is not JobState.OFFERED:
            answer(Reply(0, n.R_COMMIT, job=key[0]))
            return
        if self.admission.is_fenced(self.loop.now_ns(), key):
            self.withdraw(key)
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer came too late"))
            return
        if job.commit_timer is not None:
            job.commit_timer.cancel()
        job.state = JobState.WAITING
        self.admission.commit(key)
        if self.answers == ANSWERS_ACCEPTED:
            answer(Reply(0, n.R_COMMIT, job=key[0]))
        else:
            job.answer_commit = answer
        self._start_waiting_jobs()

    def _start_waiting_jobs(self) -> None:
        while (next_start := self.admission.begin_next_start()) is not None:
            offer, warm = next_start
            job = self.jobs[offer.key]
            job.state = JobState.STARTING
            pace = self.admission.compute_start_pace(self.loop.now_ns())
            duration_factor = (1.0 if warm else self.cold_times) / pace * self.slowdown
            key = offer.key
            self.runner.start(
                job.spec, duration_factor,
                partial(self._on_started, key), partial(self._on_ended, key),
            )  # fmt: skip

    def _on_started(self, key: RunKey) -> None:
        job = self.jobs.get(key)
        if job is None or self.closed:
            return
        job.state, job.started_ns = JobState.RUNNING, self.loop.now_ns()
        self.admission.mark_started(key)
        if job.answer_commit is not None:
            job.answer_commit(Reply(0, n.R_COMMIT, job=key[0]))
            job.answer_commit = None
        else:
            self._notify_server(job, self._make_running_update(job))
        self._start_waiting_jobs()

    def _make_running_update(self, job: NodeJob) -> Request:
        attrs = [Attr("job_state", "R"), Attr("run_version", str(job.key[1])), Attr("exec_host", self.name)]
        return Request(
            n.MODIFY_JOB,
            f"{n.NODE_USER_PREFIX}{self.name}",
            job.key[0],
            attrs,
            command=n.CMD_SET,
            object_type=n.OBJ_JOB,
        )

    def _on_ended(self, key: RunKey, status: int, reason: str) -> None:
        job = self.jobs.pop(key, None)
        if job is None or self.closed:
            return
        self.admission.release_resources(key)
        if job.answer_commit is not None:
            # It ended before it ran: its Commit is answered with a refusal, and no obituary is sent.
            self.admission.fence(self.loop.now_ns(), key)
            job.answer_commit(refusal(n.NODE_REJECTED, f"NOT_HERE {reason}"))
            self._start_waiting_jobs()
            return
        self._ended_runs[key] = ended = EndedRun(status, reason)
        while len(self._ended_runs) > MAX_ENDED_RUNS:
            self._ended_runs.popitem(last=False)
        self._notify_server(job, self._make_obituary(key, ended))
        self._start_waiting_jobs()

    def _make_obituary(self, key: RunKey, ended: EndedRun) -> Request:
        cores, memory = self._get_recent_load()
        attrs = [
            Attr("run_version", str(key[1])), Attr("exit_reason", ended.reason), Attr("exec_host", self.name),
            Attr("load", f"{cores:g}", "cores_free"), Attr("load", f"{memory:g}", "memory_free"),
        ]  # fmt: skip
        return Request(n.JOB_OBIT, f"{n.NODE_USER_PREFIX}{self.name}", key[0], attrs, status=ended.status)

    def _get_recent_load(self) -> tuple[float, float]:
        """Return the free resources, computed at most once per LOAD_INTERVAL_NS."""
        now = self.loop.now_ns()
        if now - self._load_ns >= LOAD_INTERVAL_NS:
            self._load_ns, self._load = now, self.admission.get_free_resources()
        return self._load

    def _notify_server(self, job: NodeJob, request: Request) -> None:
        if not job.server_address:
            return
        if job.server_address not in self.outboxes:
            self.outboxes[job.server_address] = Outbox(
                self.loop, job.server_address, self.traffic.of(SCHEDULER)
            )
        self.outboxes[job.server_address].send(request)

    # --- other requests -------------------------------------------------------------------------------------

    def handle_request(self, request: Request) -> Reply:
        """Return the reply to a request that is not a step of an offer."""
        match request.type:
            case n.DELETE_JOB:
                return self.stop_job(request)
            case n.STATUS_JOB:
                return self.get_job_status(request)
            case n.STATUS_NODE:
                return self.get_node_status()
            case n.SIGNAL_JOB:
                return self.signal_job(request)
            case n.MESSAGE_JOB:
                return self.send_message(request)
            case n.MANAGER:
                return self.handle_manager_request(request)
            case n.CONNECT:
                return Reply()
        return refusal(n.UNKNOWN_REQUEST, f"{n.REQUESTS[request.type]} is not served by nodes")

    def stop_job(self, request: Request) -> Reply:
        """Handle Delete Job: end the run, or fence it if it is not known.  The error code tells which."""
        run = parse_run(request)
        for key in [key for key in self.jobs if key[0] == request.job and run in (0, key[1])]:
            if self.jobs[key].state is JobState.OFFERED:
                self.withdraw(key)
            elif self.runner.stop(key[0], n.END_KILLED):
                return Reply()
            else:  # committed and waiting for a start slot: it never ran
                self._on_ended(key, n.JOB_EXEC_RETRY, "called off before it started")
                return refusal(n.UNKNOWN_JOB)
        if (request.job, run) in self._ended_runs:
            return refusal(n.BAD_STATE, "the run has ended here")
        self.admission.fence(self.loop.now_ns(), (request.job, run))
        return refusal(n.UNKNOWN_JOB)

    def get_job_status(self, request: Request) -> Reply:
        """Handle Status Job: list the committed jobs, or report or fence one run if the extension says so."""
        if request.extension.startswith(FENCE_PREFIX):
            return self._fence_unknown_run((request.job, parse_fenced_run(request.extension)))
        rows = [self._make_job_row(job) for key, job in self.jobs.items() if request.job in ("", key[0])]
        if request.job and not rows:
            return refusal(n.UNKNOWN_JOB)
        return Reply(0, n.R_STATUS, rows=[row for row in rows if row.get("job_state") != JobState.OFFERED])

    def _fence_unknown_run(self, key: RunKey) -> Reply:
        """Return the status of one run.  If it is not known here, it is fenced from now on."""
        job = self.jobs.get(key)
        if job is not None and job.state is not JobState.OFFERED:
            return Reply(0, n.R_STATUS, rows=[self._make_job_row(job)])
        if key in self._ended_runs:
            return Reply(0, n.R_STATUS, rows=[self._ended_runs[key].to_row(key)])
        self.withdraw(key)
        self.admission.fence(self.loop.now_ns(), key)
        return refusal(n.UNKNOWN_JOB)

    def _make_job_row(self, job: NodeJob) -> Row:
        shown = JobState.WAITING if job.state is JobState.STARTING else job.state
        return Row(n.OBJ_JOB, job.key[0], [Attr("job_state", shown.value), *job.attrs])

    def get_node_status(self) -> Reply:
        """Handle Status Node: report state, capacity and jobs."""
        cores, memory = self.admission.get_free_resources()
        state = "offline" if self.admission.draining else "free"
        attrs = [
            Attr("state", state), Attr("ncpus", f"{self.settings.cores:g}", "resources_available"),
            Attr("mem", f"{self.settings.memory:g}gb", "resources_available"),
            Attr("jobs", ", ".join(sorted(key[0] for key in self.jobs))),
        ]  # fmt: skip
        return Reply(0, n.R_STATUS, rows=[Row(n.OBJ_NODE, self.name, attrs)])

    def handle_manager_request(self, request: Request) -> Reply:
        """Handle Manager on this node: `state` offline begins draining, free ends it."""
        if request.command != n.CMD_SET or request.object_type != n.OBJ_NODE:
            return refusal(n.INVALID_REQUEST, "only set node state is known here")
        state = request.get("state")
        if state not in ("offline", "free"):
            return refusal(n.BAD_ATTRIBUTE_VALUE, f"state={state}: offline or free is meant")
        self.drain(state == "offline")
        return Reply()

    def drain(self, draining: bool) -> None:
        """Begin or end draining, and tell the directory."""
        self.admission.draining = draining
        if self._directory is not None:
            self._directory.send(State("draining" if draining else "serving"))

    def signal_job(self, request: Request) -> Reply:
        """Handle Signal Job: send a signal given by name or number."""
        name = request.text.removeprefix("SIG")
        number = int(name) if name.isdigit() else getattr(signals, f"SIG{name}", None)
        if number is None:
            return refusal(n.BAD_ATTRIBUTE_VALUE, f"unknown signal {request.text}")
        if not self.runner.signal(request.job, int(number)):
            return refusal(n.UNKNOWN_JOB)
        return Reply()

    def send_message(self, request: Request) -> Reply:
        """Handle Message Job: write the text to the output or error file of the job."""
        sent = self.runner.write_message(request.job, request.text, bool(request.file_kind & n.MSG_ERR))
        return Reply() if sent else refusal(n.UNKNOWN_JOB)

    def stop_all_jobs(self, reason: str = n.END_SENT_AWAY) -> None:
        """Stop all running jobs; their ends are reported with this reason."""
        for job in list(self.jobs.values()):
            self.runner.stop(job.key[0], reason)


def _make_refusal(refused: Refusal) -> Reply:
    return refusal(n.NODE_REJECTED, f"{refused.code} {refused.text}")
