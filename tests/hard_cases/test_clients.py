"""Clients that misbehave, and bytes that violate the protocol."""

from __future__ import annotations

import random
import socket

import pytest

from ladderhub.loop.http import HttpServer
from ladderhub.pbs import names as n
from ladderhub.pbs.batch import Request, encode_request
from ladderhub.pbs.dis import encode_number, encode_string

from tests.world import MS
from tests.hard_cases.bed import WorldFactory, queue_job, send_raw


def test_a_client_that_dies_before_its_commit_leaves_no_job(make_world: WorldFactory) -> None:
    world = make_world(1)
    daemon = world.daemon()
    first = world.submit("billing")
    at = int(first.partition(".")[0]) + 1
    stream = send_raw(world, queue_job(), Request(n.JOB_SCRIPT, "tester", f"{at}.alpha", data=b"true\n"))
    stream.abort()
    world.run_for(100 * MS)
    assert set(daemon.jobs.by_id) == {first}


def test_a_client_that_dies_after_its_commit_leaves_one_job(make_world: WorldFactory) -> None:
    world = make_world(1)
    daemon = world.daemon()
    first = world.submit("billing")
    job = f"{int(first.partition('.')[0]) + 1}.alpha"
    stream = send_raw(world, queue_job(), Request(n.JOB_SCRIPT, "tester", job, data=b"true\n"), read=False)
    stream.write(encode_request(Request(n.COMMIT, "tester", job)))
    world.until(lambda: not stream._out)
    stream.abort()
    world.until(lambda: job in daemon.jobs.by_id)
    world.wait(job, "R")
    assert set(daemon.jobs.by_id) == {first, job}


def test_a_commit_that_is_repeated_leaves_one_job(make_world: WorldFactory) -> None:
    world = make_world(1)
    daemon = world.daemon()
    first = world.submit("billing")
    job = f"{int(first.partition('.')[0]) + 1}.alpha"
    commit = Request(n.COMMIT, "tester", job)
    send_raw(world, queue_job(), commit, commit)
    world.until(lambda: job in daemon.jobs.by_id)
    again = world.ask(lambda client, done: client.send(commit, done))
    assert (again.code, again.job) == (0, job)
    world.wait(job, "R")
    assert set(daemon.jobs.by_id) == {first, job} and len(world.live(job)) == 1


def garbage(rng: random.Random) -> bytes:
    """Return random bytes, or valid requests with some bytes changed, truncated or repeated."""
    if rng.random() < 0.3:
        return rng.randbytes(rng.randrange(1, 200))
    data = bytearray(encode_request(queue_job()) + encode_request(Request(n.COMMIT, "x", "1.alpha")))
    for _ in range(rng.randrange(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.randrange(1, len(data))]) * rng.choice((1, 1, 3))


def test_thousands_of_invalid_messages_on_every_port_break_nothing(make_world: WorldFactory) -> None:
    # Guards against a parser that raises, waits forever, or buffers as much as a header announces.
    world = make_world(1)
    daemon = world.daemon()
    http = HttpServer(world.loop, ("127.0.0.1", 0), {"/metrics": daemon.metrics.render_page})
    rng = random.Random(11)
    ports = (
        world.public, world.agents["node-1"].listener.address, world.directory.address, http.listener.address
    )  # fmt: skip
    for at in range(4000):
        with socket.create_connection(ports[at % 4]) as sock:
            sock.sendall(garbage(rng))
        if at % 20 == 0:
            world.run_for(1 * MS)
    world.run_for(200 * MS)
    assert not world.troubles, world.troubles[0]
    assert world.wait(world.submit("billing"), "R")
    world.until(lambda: not daemon.client_listener.clients)
    http.close()


@pytest.mark.parametrize("port", ["scheduler", "node"])
def test_an_announced_gigabyte_is_refused_at_its_header(make_world: WorldFactory, port: str) -> None:
    world = make_world(1)
    world.daemon()
    target = world.public if port == "scheduler" else world.agents["node-1"].listener.address
    head = (
        encode_number(2)
        + encode_number(2)
        + encode_number(n.JOB_SCRIPT)
        + encode_string("x")
        + encode_number(0)
        + encode_number(0)
    )
    with socket.create_connection(target) as sock:
        sock.settimeout(10)
        sock.sendall(head + encode_number(1 << 30))
        world.run_for(200 * MS)
        answer = sock.recv(4096)
        assert b"Protocol error" in answer and b"at most" in answer
        assert sock.recv(4096) == b""
