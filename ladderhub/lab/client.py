"""An asynchronous batch client for many concurrent submissions, deletions and status requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import Address, connect
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Attr, Reply, ReplyParser, Request, encode_request
from ladderhub.pbs.dis import DisError

CONNECT_NS = 2_000_000_000
ReplyCallback = Callable[[Reply | None], None]


class BatchClient:
    """A client with one connection, which it opens on demand.

    Callbacks receive the reply, or None if the connection closed before it arrived.
    """

    def __init__(self, loop: Loop, address: Address, user: str = "lab") -> None:
        self._loop, self._address, self._user = loop, address, user
        self._stream: Stream | None = None
        self._pending: deque[tuple[Request, ReplyCallback]] = deque()
        self._unsent: deque[Request] = deque()
        self._parser = ReplyParser()

    def send(self, request: Request, on_reply: ReplyCallback) -> None:
        """Send a request, after connecting if necessary; requests are answered in order."""
        request.user = request.user or self._user
        self._pending.append((request, on_reply))
        if self._stream is None:
            self._parser = ReplyParser()
            self._unsent.append(request)
            self._stream = connect(self._loop, self._address, self, CONNECT_NS, self._on_connected)
        elif self._stream.connected:
            self._stream.write(encode_request(request))
        else:
            self._unsent.append(request)

    def _on_connected(self, stream: Stream) -> None:
        while self._unsent:
            stream.write(encode_request(self._unsent.popleft()))

    def on_data(self, stream: Stream, data: bytes) -> None:
        self._parser.feed(data)
        try:
            while (reply := self._parser.next()) is not None:
                if not self._pending:
                    raise DisError("received a reply without a request")
                self._pending.popleft()[1](reply)
        except DisError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._stream = None
        pending, self._pending = self._pending, deque()
        self._unsent.clear()
        for _, on_reply in pending:
            on_reply(None)

    def close(self) -> None:
        """Close the connection; open requests get None."""
        if self._stream is not None:
            self._stream.abort()

    def status(
        self, on_reply: ReplyCallback, job: str = "", extension: str = "x", names: tuple[str, ...] = ()
    ) -> None:
        """Request the status of a job, or of all jobs, with the attributes `names` or all."""
        attrs = [Attr(name, "") for name in names]
        self.send(Request(n.STATUS_JOB, job=job, attrs=attrs, extension=extension), on_reply)

    def delete(self, job: str, on_reply: ReplyCallback) -> None:
        """Request the deletion of a job."""
        self.send(Request(n.DELETE_JOB, job=job, command=n.CMD_DELETE, object_type=n.OBJ_JOB), on_reply)


class Submission:
    """Submits a job by Queue Job, Job Script and Commit over its own connection."""

    def __init__(
        self, loop: Loop, address: Address, queue: str, attrs: list[Attr], script: bytes,
        on_done: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        """Start the submission.

        `on_done` receives the job's identifier, "" if the job was not accepted, and the text of the reply.
        """
        self._client, self._script, self._on_done = BatchClient(loop, address), script, on_done
        self._client.send(Request(n.QUEUE_JOB, attrs=attrs, destination=queue), self._on_queued)

    def _on_queued(self, reply: Reply | None) -> None:
        if reply is None or reply.code:
            self._finish("", reply)
            return
        if self._script:
            self._client.send(Request(n.JOB_SCRIPT, job=reply.job, data=self._script), lambda _: None)
        self._client.send(Request(n.COMMIT, job=reply.job), self._on_committed)

    def _on_committed(self, reply: Reply | None) -> None:
        self._finish("" if reply is None or reply.code else reply.job, reply)

    def _finish(self, job: str, reply: Reply | None) -> None:
        self._client.close()
        self._on_done(job, "no answer" if reply is None else reply.text)


def build_job_attributes(
    name: str, service: str, cpus: float, mem_gb: float, life_s: float, account: str = ""
) -> list[Attr]:
    """Build the attributes of an emulated job."""
    attrs = [
        Attr("Job_Name", name), Attr("Resource_List", service, "service"),
        Attr("Resource_List", f"{cpus:g}", "ncpus"), Attr("Resource_List", f"{round(mem_gb * 1024)}mb",
        "mem"),
        Attr("Variable_List", f"EMULATE_LIFE={life_s:.3f}"),
    ]  # fmt: skip
    return attrs + ([Attr("Account_Name", account)] if account else [])
