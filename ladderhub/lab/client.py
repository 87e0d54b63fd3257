"""A batch client on the loop: many submissions, deletions and status calls at the same time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address, connect
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError

CONNECT_NS = 2_000_000_000
Told = Callable[[Reply | None], None]


class BatchClient:
    """One connection, made when it is needed.  `told` hears each reply, or None where it never came."""

    def __init__(self, loop: Loop, address: Address, user: str = "lab") -> None:
        self._loop, self._address, self._user = loop, address, user
        self._stream: Stream | None = None
        self._waiting: deque[tuple[Request, Told]] = deque()
        self._unsent: deque[Request] = deque()
        self._parser = ReplyParser()

    def send(self, request: Request, told: Told) -> None:
        request.user = request.user or self._user
        self._waiting.append((request, told))
        if self._stream is None:
            self._parser = ReplyParser()
            self._unsent.append(request)
            self._stream = connect(self._loop, self._address, self, CONNECT_NS, self._connected)
        elif self._stream.connected:
            self._stream.write(encode_request(request))
        else:
            self._unsent.append(request)

    def _connected(self, stream: Stream) -> None:
        while self._unsent:
            stream.write(encode_request(self._unsent.popleft()))

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while (reply := self._parser.next()) is not None:
                if not self._waiting:
                    raise DisError("a reply that nothing was asked for")
                self._waiting.popleft()[1](reply)
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream = None
        waiting, self._waiting = self._waiting, deque()
        self._unsent.clear()
        for _, told in waiting:
            told(None)

    def close(self) -> None:
        if self._stream is not None:
            self._stream.abort()

    def status(self, told: Told, job: str = "", extension: str = "x", names: tuple[str, ...] = ()) -> None:
        attrs = [Attr(name, "") for name in names]
        self.send(Request(n.STATUS_JOB, job=job, attrs=attrs, extension=extension), told)

    def delete(self, job: str, told: Told) -> None:
        self.send(Request(n.DELETE_JOB, job=job, command=n.CMD_DELETE, object_type=n.OBJ_JOB), told)


class Submission:
    """One job through Queue Job, Job Script and Commit over a connection of its own."""

    def __init__(
        self, loop: Loop, address: Address, queue: str, attrs: list[Attr], script: bytes,
        done: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        """`done` gets the identifier ("" where the job was not taken) and what the server said."""
        self._client, self._script, self._done = BatchClient(loop, address), script, done
        self._client.send(Request(n.QUEUE_JOB, attrs=attrs, destination=queue), self._queued)

    def _queued(self, reply: Reply | None) -> None:
        if reply is None or reply.code:
            self._end("", reply)
            return
        if self._script:
            self._client.send(Request(n.JOB_SCRIPT, job=reply.job, data=self._script), lambda _: None)
        self._client.send(Request(n.COMMIT, job=reply.job), self._committed)

    def _committed(self, reply: Reply | None) -> None:
        self._end("" if reply is None or reply.code else reply.job, reply)

    def _end(self, job: str, reply: Reply | None) -> None:
        self._client.close()
        self._done(job, "no answer" if reply is None else reply.text)


def build_job_attributes(
    name: str, service: str, cpus: float, mem_gb: float, life_s: float, account: str = ""
) -> list[Attr]:
    """The attributes of an emulated job."""
    attrs = [
        Attr("Job_Name", name), Attr("Resource_List", service, "service"),
        Attr("Resource_List", f"{cpus:g}", "ncpus"), Attr("Resource_List", f"{round(mem_gb * 1024)}mb",
        "mem"),
        Attr("Variable_List", f"EMULATE_LIFE={life_s:.3f}"),
    ]  # fmt: skip
    return attrs + ([Attr("Account_Name", account)] if account else [])
