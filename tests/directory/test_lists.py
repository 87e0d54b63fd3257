"""What schedulers are told is each entry as it stood at the version of the list, whatever was told before."""

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
    """A scheduler: what it was told, and the list that follows from that."""

    def __init__(self, address: Address, since: int) -> None:
        self._sock = socket.create_connection(address)
        self._sock.sendall(encode(Watch("scheduler", since)))
        self._sock.setblocking(False)
        self._lines = MessageDecoder()
        self.told: list[Listed] = []
        self.listed: dict[str, Entry] = {}
        self.known_from = since  # the version whose list it began with

    def read(self) -> None:
        try:
            data = self._sock.recv(1 << 22)
        except BlockingIOError:
            return
        for message in self._lines.feed(data):
            assert isinstance(message, Listed)
            self.told.append(message)
            if message.kind == "full":
                self.listed = {}
            for entry in message.entries:
                if entry.stage == "gone":
                    self.listed.pop(entry.name, None)
                else:
                    self.listed[entry.name] = entry

    def close(self) -> None:
        self._sock.close()


class Bed:
    """A directory with nodes whose changes come by seed, and the whole history beside it."""

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
        self._turn()
        assert self.directory.version - version <= 1
        self.history[self.directory.version] = dict(self.directory.entries)

    def _turn(self) -> None:
        for _ in range(3):
            self.loop.turn(1_000_000)

    def step(self) -> None:
        self.clock.advance(STEP_NS)
        self._turn()

    def close(self) -> None:
        for _, sock in self.nodes:
            sock.close()
        self.directory.close()
        self.loop.close()


@pytest.fixture(params=range(4))
def bed(request: pytest.FixtureRequest) -> Iterator[Bed]:
    made = Bed(request.param, 6)
    yield made
    made.close()


def serving(entries: dict[str, Entry]) -> dict[str, Entry]:
    return {name: entry for name, entry in entries.items() if entry.stage != "gone"}


def test_each_list_gives_the_entries_as_they_stood_at_its_version(bed: Bed) -> None:
    watchers: list[Watcher] = []
    for round_ in range(160):
        for _ in range(bed.random.randrange(4)):
            bed.change()
        if round_ % 9 == 0:
            known = bed.random.choice([0, 0, *bed.history])
            watchers.append(Watcher(bed.directory.address, known))
            watchers[-1].listed = dict(serving(bed.history.get(known, {})))
        bed.step()
        for watcher in watchers:
            before = len(watcher.told)
            watcher.read()
            if len(watcher.told) > before:
                assert watcher.listed == serving(bed.history[watcher.told[-1].version])
    assert sum(len(watcher.told) for watcher in watchers) > 100
    kinds = {told.kind for watcher in watchers for told in watcher.told}
    assert kinds == {"full", "changes"}
    for watcher in watchers:
        watcher.close()


def test_a_node_that_last_changed_long_ago_is_in_a_full_list_also_while_it_changes_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a state before a change that is looked for among kept changes, and no longer there.
    monkeypatch.setattr(service, "MAX_CHANGES", 5)
    bed = Bed(1, 2)
    for name, sock in bed.nodes:
        sock.sendall(encode(Register(Entry(name, "127.0.0.1:1", "k", "r", "z", 1))))
        bed.step()
    for cores in range(10):
        bed.nodes[1][1].sendall(encode(Room(float(cores), 1.0)))
        bed.step()
    bed.clock.advance(2 * DELAY_NS)
    bed.nodes[0][1].sendall(encode(Room(7.0, 1.0)))  # too young to be told
    bed.step()
    watcher = Watcher(bed.directory.address, 0)
    bed.step()
    watcher.read()
    assert {entry.name: entry.free_cores for entry in watcher.told[0].entries} == {"n0": 0.0, "n1": 9.0}
    watcher.close()
    bed.close()


def test_the_work_of_a_list_does_not_grow_with_what_is_kept(bed: Bed) -> None:
    for _ in range(400):
        bed.change()
    bed.clock.advance(2 * DELAY_NS)
    bed.step()
    for _ in range(5):
        bed.change()
    walked = bed.directory.log_entries_walked
    watcher = Watcher(bed.directory.address, 0)
    bed.step()
    assert bed.directory.log_entries_walked - walked <= 20  # five changes, each for a list and for pushes
    watcher.close()
