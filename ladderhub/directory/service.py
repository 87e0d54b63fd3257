"""The directory stand-in: keeps what nodes tell and pushes it to schedulers, a stated time late."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

import msgspec

from ladderhub.directory.stats import DirectoryStats
from ladderhub.directory.wire import (
    Entry,
    Lines,
    Listed,
    Message,
    Register,
    Room,
    State,
    Watch,
    DirectoryError,
    encode,
)
from ladderhub.loop import Listener, Loop, Stream
from ladderhub.loop.stream import Address
from ladderhub.usage.accounted import CountedStream
from ladderhub.usage.traffic import NODE, SCHEDULER, Traffic

PUSH_NS = 200_000_000
CHANGES_MOST = 10_000
VERSION_STEP_NS = 1_000  # a life begins at the version that a change each microsecond would have reached


@dataclass(frozen=True, slots=True)
class _Change:
    """One version: the entry that it gave, and the one that it replaced."""

    at_ns: int
    entry: Entry
    before: Entry | None


class Directory:
    """One listener for nodes and schedulers.

    A node whose connection ends stays listed as it was for `lapse_ns` and is then listed as gone.  For
    `settle_ns` from its start it tells no full list, since nodes may not have registered again yet: whoever
    kept the list of an earlier life would take those that it lacks for gone, and end what runs there."""

    def __init__(
        self, loop: Loop, address: Address, delay_ns: int = 1_000_000_000, lapse_ns: int = 1_000_000_000,
        settle_ns: int = 0,
    ) -> None:  # fmt: skip
        self.loop, self.delay_ns, self.lapse_ns = loop, delay_ns, lapse_ns
        self._settled_ns = loop.now_ns() + settle_ns
        self.entries: dict[str, Entry] = {}
        # Versions grow over all lives: one that an earlier life told must not pass for one of this life.
        self.version = self._first_version = loop.now_ns() // VERSION_STEP_NS
        self._owed_full: set[_Peer] = set()  # watchers that were told parts alone
        self._owners: dict[str, _Peer] = {}
        self._watchers: dict[_Peer, int] = {}  # the version that each was sent
        self._changes: dict[int, _Change] = {}  # the last ones, by version
        self._visible = self.version  # the newest version that is old enough to be told
        self.traffic = Traffic()
        self.rounds = self.lists = self.rows_sent = self.log_entries_walked = 0
        self.listener = Listener(loop, address, self._accept)
        self._timer = loop.call_later(PUSH_NS, self._push)

    @property
    def address(self) -> Address:
        return self.listener.address

    def _accept(self, sock: socket.socket) -> None:
        _Peer(self, sock)

    def close(self) -> None:
        self._timer.cancel()
        self.listener.close()
        for peer in [*self._owners.values(), *self._watchers]:
            peer.stream.abort()

    def cut_watchers(self) -> None:
        """Close every scheduler's connection: a fault that the lab asks for."""
        for peer in list(self._watchers):
            peer.stream.abort()

    def stats(self) -> DirectoryStats:
        """What it has spent; processor time is that of the whole process."""
        return DirectoryStats(
            processor_seconds=time.process_time(),
            traffic=self.traffic.to_rows(),
            rows=sum(entry.stage != "gone" for entry in self.entries.values()),
            changes=self.version - self._first_version,
            rounds=self.rounds,
            lists=self.lists,
            rows_sent=self.rows_sent,
            log_entries_walked=self.log_entries_walked,
        )

    # --- what peers tell ----------------------------------------------------------------------------------

    def take(self, peer: _Peer, message: Message) -> None:
        match message:
            case Register(entry):
                peer.node = entry.name
                self._owners[entry.name] = peer
                self._set(entry)
            case Room(cores, memory) if peer.node in self.entries:
                self._set(
                    msgspec.structs.replace(self.entries[peer.node], free_cores=cores, free_memory=memory)
                )
            case State(stage) if peer.node in self.entries and stage in ("serving", "draining", "gone"):
                self._set(msgspec.structs.replace(self.entries[peer.node], stage=stage))
            case Watch(_, since):
                peer.stream.count = self.traffic.of(SCHEDULER)
                self._watchers[peer] = -1 if since > self.version else since
                self._send(peer)
            case _:
                raise DirectoryError(f"{type(message).__name__} is out of place here")

    def lost(self, peer: _Peer) -> None:
        self._watchers.pop(peer, None)
        self._owed_full.discard(peer)
        if peer.node and self._owners.get(peer.node) is peer:
            del self._owners[peer.node]
            self.loop.call_later(self.lapse_ns, self._lapsed, peer.node)

    def _lapsed(self, node: str) -> None:
        if node not in self._owners and node in self.entries:
            self._set(msgspec.structs.replace(self.entries[node], stage="gone"))

    def _set(self, entry: Entry) -> None:
        before = self.entries.get(entry.name)
        if before == entry:
            return
        if len(self._changes) == CHANGES_MOST:
            del self._changes[self._oldest()]
        self.entries[entry.name] = entry
        self.version += 1
        self._changes[self.version] = _Change(self.loop.now_ns(), entry, before)

    # --- what schedulers are told ---------------------------------------------------------------------------

    def _visible_now(self) -> int:
        """The newest version that is old enough to be told, or the one before all changes that are kept."""
        newest_ns = self.loop.now_ns() - self.delay_ns
        self._visible = max(self._visible, self._oldest() - 1)
        while self._visible < self.version and self._change(self._visible + 1).at_ns <= newest_ns:
            self._visible += 1
        return self._visible

    def _oldest(self) -> int:
        """The first version whose change is kept."""
        return self.version - len(self._changes) + 1

    def _change(self, version: int) -> _Change:
        self.log_entries_walked += 1
        return self._changes[version]

    def _push(self) -> None:
        self.rounds += 1
        self._visible_now()  # a change is walked once here, also while nobody watches
        for peer in list(self._watchers):
            self._send(peer)
        self._timer = self.loop.call_later(PUSH_NS, self._push)

    def _send(self, peer: _Peer) -> None:
        if peer.stream.backed_up():
            return
        since, until = self._watchers[peer], self._visible_now()
        settled = self.loop.now_ns() >= self._settled_ns
        owed = settled and peer in self._owed_full
        if until <= since and since > 0 and not owed:
            return
        whole = owed or since <= 0 or since + 1 < self._oldest()
        rows = self._listed(until) if whole else self._changed(since, until)
        if not rows:
            return
        self._watchers[peer] = until
        if whole:
            (self._owed_full.discard if settled else self._owed_full.add)(peer)
        self._tell(peer, Listed("full" if whole and settled else "changes", until, rows))

    def _tell(self, peer: _Peer, listed: Listed) -> None:
        self.lists += 1
        self.rows_sent += len(listed.entries)
        peer.stream.count.messages_out += 1
        peer.stream.write(encode(listed))

    def _changed(self, since: int, until: int) -> list[Entry]:
        """What changed after one version and up to another, each entry as it was then."""
        changed: dict[str, Entry] = {}
        for version in range(until, since, -1):
            entry = self._change(version).entry
            changed.setdefault(entry.name, entry)
        return list(changed.values())

    def _listed(self, until: int) -> list[Entry]:
        """All entries that are not gone, as they were at a version."""
        listed = dict(self.entries)
        for version in range(self.version, until, -1):
            change = self._change(version)
            if change.before is None:
                del listed[change.entry.name]
            else:
                listed[change.entry.name] = change.before
        return [entry for entry in listed.values() if entry.stage != "gone"]


class _Peer:
    """One connection, of a node or a scheduler."""

    def __init__(self, directory: Directory, sock: socket.socket) -> None:
        self._directory, self._lines, self.node = directory, Lines(), ""
        # A scheduler is told from a node by its first message.
        self.stream = CountedStream(directory.loop, sock, self, directory.traffic.of(NODE))

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            for message in self._lines.feed(data):
                self._directory.take(self, message)
                self.stream.count.messages_in += 1
        except DirectoryError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._directory.lost(self)
