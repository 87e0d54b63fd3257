"""The node agent's sockets: the batch protocol towards schedulers, the directory's lines towards the
directory.

A scheduler offers a job by Queue Job (answered after a look: taken in, or refused with a code and text), Job
Script and Commit (answered once the job runs, or at once, by `answers`).  Status Job with the extension
`fence:RUN` asks after one run and bars it where it is not known.  Ends go out as Job Obituary to the address
in the job's `server_address`, again and again until they are acknowledged.
"""

from __future__ import annotations

import random
import signal as signals
import socket
from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial

from ladderhub.directory.wire import Entry, Register, Room, State, encode
from ladderhub.loop import Listener, Loop, Stream, Timer, parse_address
from ladderhub.loop.stream import Address
from ladderhub.node.admission import Admission, Ask, Key, NodeSettings, Refusal
from ladderhub.node.runners import Runner, Work
from ladderhub.pbs import names as n
from ladderhub.pbs.attributes import variables_of
from ladderhub.pbs.batch import Attr, Reply, ReplyParser, Request, Row, encode_request, refusal
from ladderhub.pbs.connection import SUBMITTING, Exchange, ServerConnection
from ladderhub.pbs.dis import DisError
from ladderhub.pbs.resources import GIB, ResourceError, wanted
from ladderhub.usage.accounted import CountedStream, connect_counted
from ladderhub.usage.traffic import DIRECTORY, SCHEDULER, Traffic, TrafficCount

MS, S = 1_000_000, 1_000_000_000
UNCOMMITTED_NS = 10 * S
CONNECT_NS = 1 * S
RETRY_NS = (200 * MS, 5 * S)
DONE_KEPT = 5000
ROOM_NS = LOAD_NS = 500 * MS


class Held:
    """A job that this node took in."""

    __slots__ = (
        "ask",
        "attrs",
        "commit",
        "key",
        "pending",
        "reason",
        "server",
        "started_ns",
        "state",
        "work",
    )

    def __init__(self, key: Key, ask: Ask, work: Work, attrs: list[Attr], server: str) -> None:
        self.key, self.ask, self.work, self.attrs, self.server = key, ask, work, attrs, server
        self.state = "T"
        self.commit: Callable[[Reply], None] | None = None
        self.pending: Timer | None = None
        self.reason = ""
        self.started_ns = 0


class Agent:
    """One node on one listener.  `look_ns` is the range of the time that one look takes."""

    def __init__(
        self, loop: Loop, name: str, settings: NodeSettings, runner: Runner, *,
        address: Address = ("127.0.0.1", 0),
        directory: Address | None = None, advertise: str = "", rack: str = "rack-1", zone: str = "zone-1",
        look_ns: tuple[int, int] = (6 * MS, 30 * MS), cold_times: float = 9.0, answers: str = "running",
        seed: int = 1, traffic: Traffic | None = None,
    ) -> None:  # fmt: skip
        self.traffic = traffic or Traffic()
        self.loop, self.name, self.settings, self.runner = loop, name, settings, runner
        self.rack, self.zone, self.look_ns, self.cold_times, self.answers = (
            rack,
            zone,
            look_ns,
            cold_times,
            answers,
        )
        self.ready_ns = loop.now_ns()
        self.admission = Admission(settings, self.ready_ns)
        self.slow = 1.0
        self._load_ns, self._figures = 0, (0.0, 0.0)
        self.jobs: dict[Key, Held] = {}
        self._done: OrderedDict[Key, tuple[int, str]] = OrderedDict()
        self._random = random.Random(seed)
        self._looked: dict[Key, Callable[[Reply], None]] = {}
        self.doors: set[Door] = set()
        self.posts: dict[str, Post] = {}
        self.listener = Listener(loop, address, self._accept)
        self.advertise = advertise or "{}:{}".format(*self.listener.address)
        self.closed = False
        self._directory: _DirectoryLink | None = None
        if directory is not None:
            self._directory = _DirectoryLink(self, directory)

    def entry(self) -> Entry:
        cores, memory = self.admission.free()
        stage = "draining" if self.admission.draining else "serving"
        return Entry(
            self.name,
            self.advertise,
            self.settings.kind,
            self.rack,
            self.zone,
            self.ready_ns,
            stage,
            cores,
            memory,
        )

    def _accept(self, sock: socket.socket) -> None:
        self.doors.add(self.make_door(sock))

    def make_door(self, sock: socket.socket) -> Door:
        """The serving end of one connection; stand-ins with faults put their own here."""
        return Door(self, sock)

    def close(self) -> None:
        """End without a word, as a machine that lost its power."""
        self.closed = True
        self.listener.close()
        self.runner.abandon()
        for held in self.jobs.values():
            if held.pending is not None:
                held.pending.cancel()
        for door in list(self.doors):
            door.stream.abort()
        for post in self.posts.values():
            post.close()
        if self._directory is not None:
            self._directory.close()

    # --- asks -----------------------------------------------------------------------------------------------

    def offered(self, request: Request, answer: Callable[[Reply], None]) -> None:
        """Queue Job: put it in line; `answer` is called after the look."""
        key = (request.job, _run_of(request))
        held = self._read(key, request)
        if isinstance(held, Reply):
            answer(held)
            return
        self.jobs_offered(held, answer)

    def jobs_offered(self, held: Held, answer: Callable[[Reply], None]) -> None:
        refused = self.refuse_first(held) or self.admission.offer(self.loop.now_ns(), held.ask)
        if refused is not None:
            answer(_refused(refused))
            return
        self.jobs[held.key] = held
        self._looked[held.key] = answer
        self._look()

    def refuse_first(self, held: Held) -> Refusal | None:
        """Nothing by itself; stand-ins with faults refuse here what they should not."""
        return None

    def _read(self, key: Key, request: Request) -> Held | Reply:
        resources = {attr.resource: attr.value for attr in request.attrs if attr.name == "Resource_List"}
        try:
            found = wanted(resources)
        except ResourceError as fault:
            return refusal(n.BAD_RESOURCE_VALUE, str(fault))
        if key in self.jobs:
            return refusal(n.JOB_EXISTS)
        if key in self._done:
            return refusal(n.NODE_REJECTED, "NOT_HERE the run has ended here")
        get = request.get
        cores, memory = 1.0 if found.cores is None else found.cores, found.memory / GIB
        ask = Ask(key, get("service") or get("Job_Name"), cores, memory, get("queue"), get("Account_Name"))
        umask = get("umask")
        work = Work(
            request.job, key[1], get("Job_Name") or "STDIN", ask.queue, get("Job_Owner"), b"", cores, memory,
            found.walltime_s, variables_of(get("Variable_List")), get("Output_Path"), get("Error_Path"),
            get("Join_Path", "n"), get("Shell_Path_List"), get("Keep_Files", "n"),
            int(umask, 8) if umask and not set(umask) - set("01234567") else -1,
            self.name, found.mpiprocs, found.ompthreads,
        )  # fmt: skip
        return Held(key, ask, work, request.attrs, get("server_address"))

    def _look(self) -> None:
        ask = self.admission.next_look()
        if ask is not None:
            span = self._random.randint(*self.look_ns)
            self.loop.call_later(round(span * self.slow), self._look_over, ask.key, self.jobs.get(ask.key))

    def _look_over(self, key: Key, held: Held | None) -> None:
        if self.closed:
            return
        refused = self.admission.looked(self.loop.now_ns())
        if held is None or self.jobs.get(key) is not held:
            # Withdrawn while it was looked at; what stands under its key by now waits for a look of its own.
            if refused is None:
                self.admission.ended(key)
            self._look()
            return
        answer = self._looked.pop(key)
        if refused is not None:
            del self.jobs[key]
            answer(_refused(refused))
        else:
            held.pending = self.loop.call_later(UNCOMMITTED_NS, self.withdraw, key)
            answer(Reply(0, n.R_QUEUE, job=key[0]))
        self._look()

    def withdraw(self, key: Key) -> None:
        """An offer that was not committed, and whose connection ended or time passed, leaves nothing."""
        held = self.jobs.get(key)
        if held is None or held.state != "T":
            return
        if held.pending is not None:
            held.pending.cancel()
        del self.jobs[key]
        self.admission.withdraw(key)
        answer = self._looked.pop(key, None)
        if answer is not None:
            # Replies leave in order: a request that is never answered would silence its connection for good.
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer was withdrawn"))

    # --- starts, ends ---------------------------------------------------------------------------------------

    def committed(self, key: Key, answer: Callable[[Reply], None]) -> None:
        held = self.jobs.get(key)
        if held is None:
            answer(refusal(n.UNKNOWN_JOB))
            return
        if held.state != "T":
            answer(Reply(0, n.R_COMMIT, job=key[0]))
            return
        if self.admission.is_barred(self.loop.now_ns(), key):
            self.withdraw(key)
            answer(refusal(n.NODE_REJECTED, "NOT_HERE the offer came too late"))
            return
        if held.pending is not None:
            held.pending.cancel()
        held.state = "Q"
        self.admission.commit(key)
        if self.answers == "accepted":
            answer(Reply(0, n.R_COMMIT, job=key[0]))
        else:
            held.commit = answer
        self._start()

    def _start(self) -> None:
        while (following := self.admission.next_start()) is not None:
            ask, warm = following
            held = self.jobs[ask.key]
            held.state = "S"
            pace = self.admission.pace(self.loop.now_ns())
            slowness = (1.0 if warm else self.cold_times) / pace * self.slow
            key = ask.key
            self.runner.start(
                held.work, slowness,
                partial(self._started, key), partial(self._ended, key),
            )  # fmt: skip

    def _started(self, key: Key) -> None:
        held = self.jobs.get(key)
        if held is None or self.closed:
            return
        held.state, held.started_ns = "R", self.loop.now_ns()
        self.admission.started(key)
        if held.commit is not None:
            held.commit(Reply(0, n.R_COMMIT, job=key[0]))
            held.commit = None
        else:
            self._post(held, self._update(held))
        self._start()

    def _update(self, held: Held) -> Request:
        attrs = [Attr("job_state", "R"), Attr("run_version", str(held.key[1])), Attr("exec_host", self.name)]
        return Request(
            n.MODIFY_JOB,
            f"{n.NODE_USER}{self.name}",
            held.key[0],
            attrs,
            command=n.CMD_SET,
            object_type=n.OBJ_JOB,
        )

    def _ended(self, key: Key, status: int, reason: str) -> None:
        held = self.jobs.pop(key, None)
        if held is None or self.closed:
            return
        self.admission.ended(key)
        if held.commit is not None:
            # It ended before it ran: the answer to its Commit is a refusal, and no obituary follows.
            self.admission.bar(self.loop.now_ns(), key)
            held.commit(refusal(n.NODE_REJECTED, f"NOT_HERE {reason}"))
            self._start()
            return
        self._done[key] = (status, reason)
        while len(self._done) > DONE_KEPT:
            self._done.popitem(last=False)
        self._post(held, self.obituary(key, status, reason))
        self._start()

    def obituary(self, key: Key, status: int, reason: str) -> Request:
        cores, memory = self._load()
        attrs = [
            Attr("run_version", str(key[1])), Attr("exit_reason", reason), Attr("exec_host", self.name),
            Attr("load", f"{cores:g}", "cores_free"), Attr("load", f"{memory:g}", "memory_free"),
        ]  # fmt: skip
        return Request(n.JOB_OBIT, f"{n.NODE_USER}{self.name}", key[0], attrs, status=status)

    def _load(self) -> tuple[float, float]:
        """The node's figures as of some moments ago: they are taken at intervals, not for each answer."""
        now = self.loop.now_ns()
        if now - self._load_ns >= LOAD_NS:
            self._load_ns, self._figures = now, self.admission.free()
        return self._figures

    def _post(self, held: Held, request: Request) -> None:
        if not held.server:
            return
        if held.server not in self.posts:
            self.posts[held.server] = Post(self.loop, held.server, self.traffic.of(SCHEDULER))
        self.posts[held.server].send(request)

    # --- other requests -------------------------------------------------------------------------------------

    def stop_job(self, request: Request) -> Reply:
        """Delete Job: end the run, or bar it where it is not known (the text says which)."""
        run = _run_of(request)
        for key in [key for key in self.jobs if key[0] == request.job and run in (0, key[1])]:
            if self.jobs[key].state == "T":
                self.withdraw(key)
            elif self.runner.stop(key[0], n.END_KILLED):
                return Reply()
            else:  # committed and waiting for a start slot: it never ran
                self._ended(key, n.JOB_EXEC_RETRY, "called off before it started")
                return refusal(n.UNKNOWN_JOB)
        if (request.job, run) in self._done:
            return refusal(n.BAD_STATE, "the run has ended here")
        self.admission.bar(self.loop.now_ns(), (request.job, run))
        return refusal(n.UNKNOWN_JOB)

    def status_job(self, request: Request) -> Reply:
        if request.extension.startswith("fence:"):
            word = request.extension[6:]
            key = (request.job, int(word) if word.isascii() and word.isdigit() else 0)
            held = self.jobs.get(key)
            if held is not None and held.state != "T":
                return Reply(0, n.R_STATUS, rows=[self._row(held)])
            if key in self._done:
                status, reason = self._done[key]
                attrs = [
                    Attr("job_state", "F"),
                    Attr("Exit_status", str(status)),
                    Attr("exit_reason", reason),
                ]
                return Reply(0, n.R_STATUS, rows=[Row(n.OBJ_JOB, key[0], attrs)])
            self.withdraw(key)
            self.admission.bar(self.loop.now_ns(), key)
            return refusal(n.UNKNOWN_JOB)
        rows = [self._row(held) for key, held in self.jobs.items() if request.job in ("", key[0])]
        if request.job and not rows:
            return refusal(n.UNKNOWN_JOB)
        return Reply(0, n.R_STATUS, rows=[row for row in rows if row.get("job_state") != "T"])

    def _row(self, held: Held) -> Row:
        state = {"S": "Q"}.get(held.state, held.state)
        return Row(n.OBJ_JOB, held.key[0], [Attr("job_state", state), *held.attrs])

    def status_node(self) -> Reply:
        cores, memory = self.admission.free()
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

    def send_away(self, reason: str = n.END_SENT_AWAY) -> None:
        """Stop all that runs, saying so."""
        for held in list(self.jobs.values()):
            self.runner.stop(held.key[0], reason)


def _run_of(request: Request) -> int:
    text = request.get("run_version", "0")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0


def _refused(refused: Refusal) -> Reply:
    return refusal(n.NODE_REJECTED, f"{refused.code} {refused.text}")


class Door:
    """The serving end of one connection to the agent; answers leave in the order of the requests.

    The steps of an offer wait until its Queue Job is answered: what they mean follows from that answer."""

    def __init__(self, agent: Agent, sock: socket.socket) -> None:
        self.agent, self._connection = agent, ServerConnection()
        self._open: Key | None = None
        self._script = bytearray()
        self._looking = self._serving = False  # a Queue Job is not answered yet; inside `_serve_next`
        self._behind: deque[Exchange] = deque()
        self._count = agent.traffic.of(SCHEDULER)
        self.stream = CountedStream(agent.loop, sock, self, self._count)

    def on_data(self, stream: Stream, data: bytes) -> None:
        for exchange in self._connection.receive(data):
            self._count.messages_in += 1
            self._behind.append(exchange)
        self._serve_next()
        if self._connection.trouble is not None:
            self._leave(self._connection.ready())
        elif sum(len(exchange.request.data) for exchange in self._behind) > 2 * n.SCRIPT_MOST:
            stream.abort(BufferError("too much was sent without waiting for an answer"))

    def _serve_next(self) -> None:
        if self._serving:
            return
        self._serving = True
        try:
            while self._behind and not self.stream.closed:
                if self._looking and self._behind[0].request.type in SUBMITTING:
                    return
                exchange = self._behind.popleft()
                if exchange.request.type == n.DISCONNECT:
                    self._leave(self._connection.disconnect(exchange))
                else:
                    self.serve(exchange.request, partial(self._answer, exchange))
        finally:
            self._serving = False

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self.agent.doors.discard(self)
        if self._open is not None:
            self.agent.withdraw(self._open)

    def _queued(self, answer: Callable[[Reply], None], reply: Reply) -> None:
        """Queue Job has its answer: the steps behind it have their turn."""
        self._looking = False
        if reply.code:
            self._open = None
        answer(reply)
        self._serve_next()

    def serve(self, request: Request, answer: Callable[[Reply], None]) -> None:
        agent, kind = self.agent, request.type
        if kind == n.QUEUE_JOB:
            if self._open is not None:
                agent.withdraw(self._open)
            self._open, self._script = (request.job, _run_of(request)), bytearray()
            self._looking = True
            agent.offered(request, partial(self._queued, answer))
        elif kind == n.JOB_SCRIPT:
            self._script += request.data
            good = self._open is not None and len(self._script) <= n.SCRIPT_MOST
            if not good and self._open is not None:
                agent.withdraw(self._open)  # a Commit behind it must not start half a script
                self._open = None
            answer(Reply() if good else refusal(n.BAD_SCRIPT))
        elif kind == n.COMMIT:
            key, self._open = self._open, None
            if key is None or key[0] != request.job:
                answer(refusal(n.UNKNOWN_JOB))
                return
            if key in agent.jobs:
                agent.jobs[key].work.script = bytes(self._script)
            agent.committed(key, answer)
        elif kind == n.DELETE_JOB:
            answer(agent.stop_job(request))
        elif kind == n.STATUS_JOB:
            answer(agent.status_job(request))
        elif kind == n.STATUS_NODE:
            answer(agent.status_node())
        elif kind == n.SIGNAL_JOB:
            answer(agent.signal_job(request))
        elif kind == n.MESSAGE_JOB:
            answer(agent.message(request))
        elif kind == n.MANAGER:
            answer(agent.manage(request))
        elif kind == n.CONNECT:
            answer(Reply())
        else:
            answer(refusal(n.UNKNOWN_REQUEST, f"{n.REQUESTS[kind]} is not served by nodes"))

    def _answer(self, exchange: Exchange, reply: Reply) -> None:
        self._leave(self._connection.answer(exchange, reply))

    def _leave(self, ready: list[Exchange]) -> None:
        for exchange in ready:
            if self.stream.closed:
                return
            assert isinstance(exchange.reply, bytes)  # nodes have no long replies
            if exchange.reply:
                self._count.messages_out += 1
                self.send(exchange.request, exchange.reply)
            if exchange.last:
                self.stream.close()

    def send(self, request: Request, data: bytes) -> None:
        """Write one reply; stand-ins with faults lose, cut or repeat it here."""
        self.stream.write(data)


class Post:
    """Obituaries and updates to one scheduler: in order, each until it is acknowledged."""

    def __init__(self, loop: Loop, address: str, count: TrafficCount | None = None) -> None:
        self._loop, self._address = loop, parse_address(address)
        self._count = count or TrafficCount()
        self._queue: list[Request] = []
        self._stream: Stream | None = None
        self._parser = ReplyParser()
        self._span = RETRY_NS[0]
        self._out = 0
        self._closed = False

    def send(self, request: Request) -> None:
        self._queue.append(request)
        if self._stream is None:
            self._connect()
        elif self._stream.connected:
            self._pump()

    def waiting(self) -> int:
        return len(self._queue)

    def _connect(self) -> None:
        if self._closed or self._stream is not None or not self._queue:
            return
        self._parser, self._out = ReplyParser(), 0
        self._stream = connect_counted(
            self._loop, self._address, self, CONNECT_NS, lambda _: self._pump(), self._count
        )

    def _pump(self) -> None:
        while self._out < len(self._queue) and self._stream is not None:
            self._stream.write(encode_request(self._queue[self._out]))
            self._count.messages_out += 1
            self._out += 1

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while self._parser.next() is not None:
                self._count.messages_in += 1
                if not self._out:
                    raise DisError("an answer that nothing was asked for")
                # Any answer will do: a scheduler that does not know the run has nothing to learn.
                del self._queue[0]
                self._out -= 1
                self._span = RETRY_NS[0]
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream = None
        if not self._closed and self._queue:
            self._loop.call_later(self._span, self._connect)
            self._span = min(RETRY_NS[1], 2 * self._span)

    def close(self) -> None:
        self._closed = True
        if self._stream is not None:
            self._stream.abort()


class _DirectoryLink:
    """Keeps the node registered; a lost connection is made anew."""

    def __init__(self, agent: Agent, address: Address) -> None:
        self._agent, self._address = agent, address
        self._count = agent.traffic.of(DIRECTORY)
        self._stream: Stream | None = None
        self._timer: Timer | None = None
        self._told: tuple[float, float] | None = None
        self._closed = False
        self._connect()

    def _connect(self) -> None:
        if not self._closed:
            self._stream = connect_counted(
                self._agent.loop, self._address, self, CONNECT_NS, self._connected, self._count
            )

    def _connected(self, stream: Stream) -> None:
        self._count.messages_out += 1
        stream.write(encode(Register(self._agent.entry())))
        self._tell()

    def _tell(self) -> None:
        free = self._agent.admission.free()
        if free != self._told:
            self._told = free
            self.send(Room(*free))
        self._timer = self._agent.loop.call_later(ROOM_NS, self._tell)

    def send(self, message: Room | State) -> None:
        if self._stream is not None and self._stream.connected:
            self._count.messages_out += 1
            self._stream.write(encode(message))

    def on_data(self, stream: Stream, data: bytes) -> None:
        return

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream, self._told = None, None
        if self._timer is not None:
            self._timer.cancel()
        if not self._closed:
            self._agent.loop.call_later(RETRY_NS[0], self._connect)

    def close(self) -> None:
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._stream is not None:
            self._stream.abort()
