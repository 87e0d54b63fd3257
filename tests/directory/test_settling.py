"""A directory that starts anew: nodes that have not registered again yet are not told as gone."""

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


class Bed:
    """A directory on a clock that the test moves, and plain sockets to it."""

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
        """Let the clock pass, in steps below a push, and the loop do what is due."""
        for _ in range(max(1, span_ns // (100 * MS))):
            self.clock.advance(min(span_ns, 100 * MS))
            for _ in range(4):
                self.loop.turn(MS)

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
def bed() -> Iterator[Bed]:
    made = Bed()
    yield made
    made.close()


def names(listed: Listed) -> set[str]:
    return {entry.name for entry in listed.entries}


def test_no_full_list_is_told_before_nodes_had_time_to_register_again(bed: Bed) -> None:
    # Guards against the first full list of a directory that was started anew: it lacked nodes that registered
    # a moment later, schedulers took them for gone, and jobs that ran there were started elsewhere.
    bed.register("early")
    watcher = bed.connect(Watch("sched", since=7))
    bed.wait(2 * S)
    bed.register("late")
    bed.wait(2 * S)
    told = bed.lists(watcher)
    assert {listed.kind for listed in told} == {"changes"}
    assert set.union(*map(names, told)) == {"early", "late"}
    bed.wait(2 * S)
    (full,) = bed.lists(watcher)
    assert full.kind == "full" and names(full) == {"early", "late"}
    bed.register("later")
    bed.wait(2 * S)
    (change,) = bed.lists(watcher)
    assert change.kind == "changes" and names(change) == {"later"}


def test_a_version_of_an_earlier_life_is_not_taken_for_one_of_this_life(bed: Bed) -> None:
    # Guards against versions that began at one in each life: whoever knew a lower one was told what came
    # after it in the new life, and never what had registered before.
    bed.register("first")
    before = bed.directory.version
    bed.directory.close()
    bed.wait(S)
    bed.directory = bed.start()
    for name in ("first", "second", "third"):
        bed.register(name)
    bed.wait(SETTLE_NS + S)
    (full,) = bed.lists(bed.connect(Watch("sched", since=before)))
    assert full.kind == "full" and names(full) == {"first", "second", "third"}
