"""Shared helpers: audits of recordings, and connections that send arbitrary bytes."""

from __future__ import annotations

from collections.abc import Callable


from ladderhub.lab import tap
from ladderhub.lab.auditor import audit
from ladderhub.lab.client import build_job_attributes
from ladderhub.lab.day import build_audit_rules
from ladderhub.loop import Stream
from ladderhub.loop.stream import connect
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Reply, ReplyParser, Request, encode_request

from tests.world import S, World

WorldFactory = Callable[..., World]


def assert_recording_passes(world: World) -> None:
    """Assert that the world's recording passes all five rules of the auditor."""
    assert world.tap is not None
    world.tap.close()
    verdict = audit(tap.read(world.tap.path), build_audit_rules(world.settings))
    assert verdict.is_good(), verdict.lines()
    assert verdict.checked["no effect twice"]


def send_raw(world: World, *requests: Request, read: bool = True) -> Stream:
    """Send requests over a new connection and return it; `read`: wait for the first data in reply."""
    received: list[bytes] = []

    class Sink:
        def on_data(self, stream: Stream, data: bytes) -> None:
            received.append(data)

        def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
            return

    stream = connect(world.loop, world.public, Sink(), S)
    world.until(lambda: stream.connected)
    stream.write(b"".join(map(encode_request, requests)))
    if read:
        world.until(lambda: received)
    return stream


def queue_job() -> Request:
    return Request(
        n.QUEUE_JOB, "tester", attrs=build_job_attributes("w", "s", 1, 1, 30), destination="billing"
    )


def exchange_raw(world: World, address: tuple[str, int], sent: bytes) -> list[Reply]:
    """Send bytes in one write and return all replies received until the other end closes."""
    replies: list[Reply] = []
    parser, closed = ReplyParser(), []

    class Reader:
        def on_data(self, stream: Stream, data: bytes) -> None:
            parser.feed(data)
            while (reply := parser.next()) is not None:
                replies.append(reply)

        def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
            closed.append(fault)

    connect(world.loop, address, Reader(), 2 * S, lambda stream: stream.write(sent))
    world.until(lambda: closed)
    return replies
