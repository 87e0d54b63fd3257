"""A restarted directory does not list nodes as gone that have not registered again yet."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from ladderhub.directory.service import Directory
from ladderhub.directory.wire import Entry, MessageDecoder, Listed, Register, Watch, encode
from ladderhub.loop import Loop, ManualClock

MS = 1_000_000
S = 1_000 * MS
START_NS = 1_700_000_000 * S
SETTLE_NS = 5 * S


class DirectoryHarness:
    """A directory with a manual clock, and plain sockets connected to it."""

    def __init__(self) -> None:
        self.clock = ManualClock(START_NS)
        self.loop = Loop(self.clock)
        self.sockets: list[socket.socket] = []
        self.directory = self.start()

    def start(self) -> Directory:
        return Directory(self.loop, ("127.0.0.1", 0), delay_ns=S, settle_ns=SETTLE_NS)

    def connect(self, message: Register | Watch) -> socket.socket:
        sock = socket.create_connection(self.directory.address)
        sock.setblocking(False)
        sock.sendall(encode(message))
        self.sockets.append(sock)
        self.wait(0)
        return sock

    def register(self, name: str) -> socket.socket:
        return self.connect(Register(Entry(name, "127.0.0.1:1", "small", "rack-1", "zone-1", START_NS)))

    def wait(self, span_ns: int) -> None:
        """Advance the clock, in steps shorter than a push interval, and run the loop after each."""
        for _ in range(max(1, span_ns // (100 * MS))):
            self.clock.advance(min(span_ns, 100 * MS))
            for _ in range(4):
                self.loop.run_once(MS)

    def lists(self, sock: socket.socket) -> list[Listed]:
        data = b""
        while True:
            try:
                data += sock.recv(1 << 16)
            except BlockingIOError:
                return [message for message in MessageDecoder().feed(data) if isinstance(message, Listed)]

    def close(self) -> None:
        for sock in self.sockets:
            sock.close()
        self.directory.close()
        self.loop.close()


@pytest.fixture
def harness() -> Iterator[DirectoryHarness]:
    created = DirectoryHarness()
    yield created
    created.close()


def names(listed: Listed) -> set[str]:
    return {entry.name for entry in listed.entries}


def test_no_full_list_is_sent_before_nodes_had_time_to_register_again(harness: DirectoryHarness) -> None:
    # Guards against a full list that a restarted directory sends too early: nodes that register later are
    # missing, schedulers treat them as gone, and jobs that run there are started elsewhere.
    harness.register("early")
    watcher = harness.connect(Watch("sched", since=7))
    harness.wait(2 * S)
    harness.register("late")
    harness.wait(2 * S)
    received = harness.lists(watcher)
    assert {listed.kind for listed in received} == {"changes"}
    assert set.union(*map(names, received)) == {"early", "late"}
    harness.wait(2 * S)
    (full,) = harness.lists(watcher)
    assert full.kind == "full" and names(full) == {"early", "late"}
    harness.register("later")
    harness.wait(2 * S)
    (change,) = harness.lists(watcher)
    assert change.kind == "changes" and names(change) == {"later"}


def test_a_version_of_an_earlier_life_is_not_taken_for_one_of_this_life(harness: DirectoryHarness) -> None:
    # Guards against versions that begin at one in each life: a scheduler with a lower version of the previous
    # life receives only later changes, and never the nodes that registered before them.
    harness.register("first")
    before = harness.directory.version
    harness.directory.close()
    harness.wait(S)
    harness.directory = harness.start()
    for name in ("first", "second", "third"):
        harness.register(name)
    harness.wait(SETTLE_NS + S)
    (full,) = harness.lists(harness.connect(Watch("sched", since=before)))
    assert full.kind == "full" and names(full) == {"first", "second", "third"}
