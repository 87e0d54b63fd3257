"""Lists sent to schedulers contain each entry as it was at the version of the list."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator

import pytest

from ladderhub.directory import service
from ladderhub.directory.service import Directory
from ladderhub.directory.wire import Entry, MessageDecoder, Listed, Register, Room, State, Watch, encode
from ladderhub.loop import Loop, ManualClock
from ladderhub.loop.stream import Address

S = 1_000_000_000
DELAY_NS = S
STEP_NS = 50_000_000


class Watcher:
    """A scheduler: the lists that it received and the entries that result from them."""

    def __init__(self, address: Address, since: int) -> None:
        self._sock = socket.create_connection(address)
        self._sock.sendall(encode(Watch("scheduler", since)))
        self._sock.setblocking(False)
        self._decoder = MessageDecoder()
        self.received: list[Listed] = []
        self.listed: dict[str, Entry] = {}
        self.since = since  # the version whose list it had at its start

    def read(self) -> None:
        try:
            data = self._sock.recv(1 << 22)
        except BlockingIOError:
            return
        for message in self._decoder.feed(data):
            assert isinstance(message, Listed)
            self.received.append(message)
            if message.kind == "full":
                self.listed = {}
            for entry in message.entries:
                if entry.stage == "gone":
                    self.listed.pop(entry.name, None)
                else:
                    self.listed[entry.name] = entry

    def close(self) -> None:
        self._sock.close()


class DirectoryHarness:
    """A directory with nodes that change at random by a seed, and a copy of the entries of every version."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.clock = ManualClock(S)
        self.loop = Loop(self.clock)
        self.directory = Directory(self.loop, ("127.0.0.1", 0), DELAY_NS)
        self.random = random.Random(seed)
        self.nodes = [(f"n{at}", socket.create_connection(self.directory.address)) for at in range(nodes)]
        self.history: dict[int, dict[str, Entry]] = {self.directory.version: {}}

    def change(self) -> None:
        name, sock = self.random.choice(self.nodes)
        if name not in self.directory.entries:
            entry = Entry(name, "127.0.0.1:1", "k", "r", "z", 1)
            sock.sendall(encode(Register(entry)))
        elif self.random.random() < 0.2:
            sock.sendall(encode(State(self.random.choice(("serving", "draining", "gone")))))
        else:
            sock.sendall(encode(Room(float(self.random.randrange(3)), 1.0)))
        version = self.directory.version
        self._run_loop()
        assert self.directory.version - version <= 1
        self.history[self.directory.version] = dict(self.directory.entries)

    def _run_loop(self) -> None:
        for _ in range(3):
            self.loop.run_once(1_000_000)

    def step(self) -> None:
        self.clock.advance(STEP_NS)
        self._run_loop()

    def close(self) -> None:
        for _, sock in self.nodes:
            sock.close()
        self.directory.close()
        self.loop.close()


@pytest.fixture(params=range(4))
def harness(request: pytest.FixtureRequest) -> Iterator[DirectoryHarness]:
    created = DirectoryHarness(request.param, 6)
    yield created
    created.close()


def serving(entries: dict[str, Entry]) -> dict[str, Entry]:
    return {name: entry for name, entry in entries.items() if entry.stage != "gone"}


def test_each_list_gives_the_entries_as_they_stood_at_its_version(harness: DirectoryHarness) -> None:
    watchers: list[Watcher] = []
    for round_number in range(160):
        for _ in range(harness.random.randrange(4)):
            harness.change()
        if round_number % 9 == 0:
            since = harness.random.choice([0, 0, *harness.history])
            watchers.append(Watcher(harness.directory.address, since))
            watchers[-1].listed = dict(serving(harness.history.get(since, {})))
        harness.step()
        for watcher in watchers:
            before = len(watcher.received)
            watcher.read()
            if len(watcher.received) > before:
                assert watcher.listed == serving(harness.history[watcher.received[-1].version])
    assert sum(len(watcher.received) for watcher in watchers) > 100
    kinds = {listed.kind for watcher in watchers for listed in watcher.received}
    assert kinds == {"full", "changes"}
    for watcher in watchers:
        watcher.close()


def test_a_node_that_last_changed_long_ago_is_in_a_full_list_also_while_it_changes_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against lists that look up the previous entry of a node among the kept changes: the change that
    # made it may have been dropped.
    monkeypatch.setattr(service, "MAX_CHANGES", 5)
    harness = DirectoryHarness(1, 2)
    for name, sock in harness.nodes:
        sock.sendall(encode(Register(Entry(name, "127.0.0.1:1", "k", "r", "z", 1))))
        harness.step()
    for cores in range(10):
        harness.nodes[1][1].sendall(encode(Room(float(cores), 1.0)))
        harness.step()
    harness.clock.advance(2 * DELAY_NS)
    harness.nodes[0][1].sendall(encode(Room(7.0, 1.0)))  # too recent to be sent
    harness.step()
    watcher = Watcher(harness.directory.address, 0)
    harness.step()
    watcher.read()
    assert {entry.name: entry.free_cores for entry in watcher.received[0].entries} == {"n0": 0.0, "n1": 9.0}
    watcher.close()
    harness.close()


def test_the_work_of_a_list_does_not_grow_with_what_is_kept(harness: DirectoryHarness) -> None:
    for _ in range(400):
        harness.change()
    harness.clock.advance(2 * DELAY_NS)
    harness.step()
    for _ in range(5):
        harness.change()
    walked = harness.directory.log_entries_walked
    watcher = Watcher(harness.directory.address, 0)
    harness.step()
    # Each of the five changes is read for the list and for pushes.
    assert harness.directory.log_entries_walked - walked <= 20
    watcher.close()
