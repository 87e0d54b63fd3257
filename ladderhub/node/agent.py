"""The node agent: offers, starts, ends and questions about jobs, between its sockets, admission and runner.

A scheduler offers a job by Queue Job (answered after a look: taken in, or refused with a code and text), Job
Script and Commit (answered once the job runs, or at once, by `answers`).  Status Job with the extension
`fence:RUN` asks after one run and bars it where it is not known.  Ends go out as Job Obituary to the address
in the job's `server_address`, again and again until they are acknowledged.
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
from ladderhub.node.connection import AgentConnection, Answer
from ladderhub.node.directory_link import DirectoryLink
from ladderhub.node.jobs import FENCE, EndedRun, NodeJob, JobState, fenced_run, held_job, run_of
from ladderhub.node.outbox import Outbox
from ladderhub.node.runners import Runner
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, Request, Row, refusal
from ladderhub.pbs.resources import ResourceError
from ladderhub.usage.traffic import DIRECTORY, SCHEDULER, Traffic

MS, S = 1_000_000, 1_000_000_000
COMMIT_TIMEOUT_NS = 10 * S  # after which an offer that is not committed is withdrawn
MAX_ENDED_RUNS = 5000  # remembered, to answer questions about them
LOAD_INTERVAL_NS = 500 * MS
ANSWERS_ACCEPTED = "accepted"  # Commit is answered at once; else when the job runs


class Agent:
    """One node on one listener.  `evaluation_ns` is the range of the time that one look takes."""

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
        self.slow = 1.0  # factor on all times, for laboratories
        self._load_ns, self._load = 0, (0.0, 0.0)
        self.jobs: dict[RunKey, NodeJob] = {}
        self._ended_runs: OrderedDict[RunKey, EndedRun] = OrderedDict()
        self._random = random.Random(seed)
        self._admitting: dict[RunKey, Answer] = {}  # answers to offers that were not looked at yet
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
                self.entry,
                lambda: self.admission.get_free_resources(),
                self.traffic.of(DIRECTORY),
            )

    def entry(self) -> Entry:
        """The node's row in the directory."""
        cores, memory = self.admission.get_free_resources()
        stage = "draining" if self.admission.draining else "serving"
        kind, rack, zone = self.settings.kind, self.rack, self.zone
        return Entry(self.name, self.advertise, kind, rack, zone, self.ready_ns, stage, cores, memory)

    def _accept(self, sock: socket.socket) -> None:
        self.connections.add(self.make_connection(sock))

    def make_connection(self, sock: socket.socket) -> AgentConnection:
        """The serving end of one connection; stand-ins with faults put their own here."""
        return AgentConnection(self, sock)

    def close(self) -> None:
        """End without a word, as a machine that lost its power."""
        self.closed = True
        self.listener.close()
        self.runner.abandon()
        for held in self.jobs.values():
            if held.pending is not None:
                held.pending.cancel()
        for connection in list(self.connections):
            connection.stream.abort()
        for outbox in self.outboxes.values():
            outbox.close()
        if self._directory is not None:
            self._directory.close()

    # --- offers -----------------------------------------------------------------------------------------

    def queue_job(self, request: Request, answer: Answer) -> None:
        """Queue Job: put it in line; `answer` is called after the look."""
        try:
            held = held_job(request, self.name)
        except ResourceError as fault:
            answer(refusal(n.BAD_RESOURCE_VALUE, str(fault)))
            return
        if held.key in self.jobs:
            answer(refusal(n.JOB_EXISTS))
            return
        if held.key in self._ended_runs:
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the run has ended here"))
            return
        refused = self.inject_refusal(held) or self.admission.enqueue(self.loop.now_ns(), held.offer)
        if refused is not None:
            answer(_refused(refused))
            return
        self.jobs[held.key] = held
        self._admitting[held.key] = answer
        self._look()

    def inject_refusal(self, held: NodeJob) -> Refusal | None:
        """Nothing by itself; stand-ins with faults refuse here what they should not."""
        return None

    def set_script(self, key: RunKey, script: bytes) -> None:
        """The whole script of an offered job."""
        if key in self.jobs:
            self.jobs[key].work.script = script

    def connection_closed(self, connection: AgentConnection) -> None:
        self.connections.discard(connection)

    def _look(self) -> None:
        ask = self.admission.begin_evaluation()
        if ask is not None:
            span = self._random.randint(*self.evaluation_ns)
            self.loop.call_later(round(span * self.slow), self._look_over, ask.key, self.jobs.get(ask.key))

    def _look_over(self, key: RunKey, held: NodeJob | None) -> None:
        if self.closed:
            return
        refused = self.admission.finish_evaluation(self.loop.now_ns())
        if held is None or self.jobs.get(key) is not held:
            # Withdrawn while it was looked at; what stands under its key by now waits for a look of its own.
            if refused is None:
                self.admission.release_resources(key)
            self._look()
            return
        answer = self._admitting.pop(key)
        if refused is not None:
            del self.jobs[key]
            answer(_refused(refused))
        else:
            held.pending = self.loop.call_later(COMMIT_TIMEOUT_NS, self.withdraw, key)
            answer(Reply(0, n.R_QUEUE, job=key[0]))
        self._look()

    def withdraw(self, key: RunKey) -> None:
        """An offer that was not committed, and whose connection ended or time passed, leaves nothing."""
        held = self.jobs.get(key)
        if held is None or held.state is not JobState.OFFERED:
            return
        if held.pending is not None:
            held.pending.cancel()
        del self.jobs[key]
        self.admission.withdraw(key)
        answer = self._admitting.pop(key, None)
        if answer is not None:
            # Replies leave in order: a request that is never answered would silence its connection for good.
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer was withdrawn"))

    # --- starts, ends ---------------------------------------------------------------------------------------

    def committed(self, key: RunKey, answer: Answer) -> None:
        held = self.jobs.get(key)
        if held is None:
            answer(refusal(n.UNKNOWN_JOB))
            return
        if held.state is not JobState.OFFERED:
            answer(Reply(0, n.R_COMMIT, job=key[0]))
            return
        if self.admission.is_barred(self.loop.now_ns(), key):
            self.withdraw(key)
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer came too late"))
            return
        if held.pending is not None:
            held.pending.cancel()
        held.state = JobState.WAITING
        self.admission.commit(key)
        if self.answers == ANSWERS_ACCEPTED:
            answer(Reply(0, n.R_COMMIT, job=key[0]))
        else:
            held.commit = answer
        self._start()

    def _start(self) -> None:
        while (following := self.admission.begin_next_start()) is not None:
            ask, warm = following
            held = self.jobs[ask.key]
            held.state = JobState.STARTING
            pace = self.admission.pace(self.loop.now_ns())
            slowness = (1.0 if warm else self.cold_times) / pace * self.slow
            key = ask.key
            self.runner.start(
                held.work, slowness,
                partial(self._on_started, key), partial(self._on_ended, key),
            )  # fmt: skip

    def _on_started(self, key: RunKey) -> None:
        held = self.jobs.get(key)
        if held is None or self.closed:
            return
        held.state, held.started_ns = JobState.RUNNING, self.loop.now_ns()
        self.admission.mark_started(key)
        if held.commit is not None:
            held.commit(Reply(0, n.R_COMMIT, job=key[0]))
            held.commit = None
        else:
            self._tell_server(held, self._running_update(held))
        self._start()

    def _running_update(self, held: NodeJob) -> Request:
        attrs = [Attr("job_state", "R"), Attr("run_version", str(held.key[1])), Attr("exec_host", self.name)]
        return Request(
            n.MODIFY_JOB,
            f"{n.NODE_USER}{self.name}",
            held.key[0],
            attrs,
            command=n.CMD_SET,
            object_type=n.OBJ_JOB,
        )

    def _on_ended(self, key: RunKey, status: int, reason: str) -> None:
        held = self.jobs.pop(key, None)
        if held is None or self.closed:
            return
        self.admission.release_resources(key)
        if held.commit is not None:
            # It ended before it ran: the answer to its Commit is a refusal, and no obituary follows.
            self.admission.bar(self.loop.now_ns(), key)
            held.commit(refusal(n.NODE_REJECTED, f"NOT_HERE {reason}"))
            self._start()
            return
        self._ended_runs[key] = ended = EndedRun(status, reason)
        while len(self._ended_runs) > MAX_ENDED_RUNS:
            self._ended_runs.popitem(last=False)
        self._tell_server(held, self._obituary(key, ended))
        self._start()

    def _obituary(self, key: RunKey, ended: EndedRun) -> Request:
        cores, memory = self._recent_load()
        attrs = [
            Attr("run_version", str(key[1])), Attr("exit_reason", ended.reason), Attr("exec_host", self.name),
            Attr("load", f"{cores:g}", "cores_free"), Attr("load", f"{memory:g}", "memory_free"),
        ]  # fmt: skip
        return Request(n.JOB_OBIT, f"{n.NODE_USER}{self.name}", key[0], attrs, status=ended.status)

    def _recent_load(self) -> tuple[float, float]:
        """The node's figures as of some moments ago: they are taken at intervals, not for each answer."""
        now = self.loop.now_ns()
        if now - self._load_ns >= LOAD_INTERVAL_NS:
            self._load_ns, self._load = now, self.admission.get_free_resources()
        return self._load

    def _tell_server(self, held: NodeJob, request: Request) -> None:
        if not held.server:
            return
        if held.server not in self.outboxes:
            self.outboxes[held.server] = Outbox(self.loop, held.server, self.traffic.of(SCHEDULER))
        self.outboxes[held.server].send(request)

    # --- other requests -------------------------------------------------------------------------------------

    def answer_of(self, request: Request) -> Reply:
        """The reply to a request that is no step of an offer."""
        match request.type:
            case n.DELETE_JOB:
                return self.stop_job(request)
            case n.STATUS_JOB:
                return self.status_job(request)
            case n.STATUS_NODE:
                return self.status_node()
            case n.SIGNAL_JOB:
                return self.signal_job(request)
            case n.MESSAGE_JOB:
                return self.message(request)
            case n.MANAGER:
                return self.manage(request)
            case n.CONNECT:
                return Reply()
        return refusal(n.UNKNOWN_REQUEST, f"{n.REQUESTS[request.type]} is not served by nodes")

    def stop_job(self, request: Request) -> Reply:
        """Delete Job: end the run, or bar it where it is not known (the text says which)."""
        run = run_of(request)
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
        self.admission.bar(self.loop.now_ns(), (request.job, run))
        return refusal(n.UNKNOWN_JOB)

    def status_job(self, request: Request) -> Reply:
        """Status Job: the jobs here but for those that are only offered, or one run that is fenced."""
        if request.extension.startswith(FENCE):
            return self._fence((request.job, fenced_run(request.extension)))
        rows = [self._row(held) for key, held in self.jobs.items() if request.job in ("", key[0])]
        if request.job and not rows:
            return refusal(n.UNKNOWN_JOB)
        return Reply(0, n.R_STATUS, rows=[row for row in rows if row.get("job_state") != JobState.OFFERED])

    def _fence(self, key: RunKey) -> Reply:
        """What became of one run; where it is not known here it is barred from now on."""
        held = self.jobs.get(key)
        if held is not None and held.state is not JobState.OFFERED:
            return Reply(0, n.R_STATUS, rows=[self._row(held)])
        if key in self._ended_runs:
            return Reply(0, n.R_STATUS, rows=[self._ended_runs[key].row(key)])
        self.withdraw(key)
        self.admission.bar(self.loop.now_ns(), key)
        return refusal(n.UNKNOWN_JOB)

    def _row(self, held: NodeJob) -> Row:
        shown = JobState.WAITING if held.state is JobState.STARTING else held.state
        return Row(n.OBJ_JOB, held.key[0], [Attr("job_state", shown.value), *held.attrs])

    def status_node(self) -> Reply:
        cores, memory = self.admission.get_free_resources()
        state = "offline" if self.admission.draining else "free"
        attrs = [
            Attr("state", state), Attr("ncpus", f"{self.settings.cores:g}", "resources_available"),
            Attr("mem", f"{self.settings.memory:g}gb", "resources_available"),
            Attr("jobs", ", ".join(sorted(key[0] for key in self.jobs))),
        ]  # fmt: skip
        return Reply(0, n.R_STATUS, rows=[Row(n.OBJ_NODE, self.name, attrs)])

    def manage(self, request: Request) -> Reply:
        """Manager on this node: `state` offline begins a drain, free ends it."""
        if request.command != n.CMD_SET or request.object_type != n.OBJ_NODE:
            return refusal(n.INVALID_REQUEST, "only set node state is known here")
        state = request.get("state")
        if state not in ("offline", "free"):
            return refusal(n.BAD_ATTRIBUTE_VALUE, f"state={state}: offline or free is meant")
        self.drain(state == "offline")
        return Reply()

    def drain(self, draining: bool) -> None:
        self.admission.draining = draining
        if self._directory is not None:
            self._directory.send(State("draining" if draining else "serving"))

    def signal_job(self, request: Request) -> Reply:
        name = request.text.removeprefix("SIG")
        number = int(name) if name.isdigit() else getattr(signals, f"SIG{name}", None)
        if number is None:
            return refusal(n.BAD_ATTRIBUTE_VALUE, f"unknown signal {request.text}")
        if not self.runner.signal(request.job, int(number)):
            return refusal(n.UNKNOWN_JOB)
        return Reply()

    def message(self, request: Request) -> Reply:
        sent = self.runner.message(request.job, request.text, bool(request.file_kind & n.MSG_ERR))
        return Reply() if sent else refusal(n.UNKNOWN_JOB)

    def stop_all_jobs(self, reason: str = n.END_SENT_AWAY) -> None:
        """Stop all that runs, saying so."""
        for held in list(self.jobs.values()):
            self.runner.stop(held.key[0], reason)


def _refused(refused: Refusal) -> Reply:
    return refusal(n.NODE_REJECTED, f"{refused.code} {refused.text}")
