"""The directory server: keeps the rows that nodes report and pushes lists to schedulers after a delay."""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass

import msgspec

from ladderhub.directory.stats import DirectoryStats
from ladderhub.directory.wire import (
    Entry,
    MessageDecoder,
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

PUSH_INTERVAL_NS = 200_000_000
MAX_CHANGES = 10_000
# The first version of a life is its start in microseconds since the epoch.  It exceeds every version of an
# earlier life as long as changes are less frequent than one per microsecond.
VERSION_STEP_NS = 1_000


@dataclass(frozen=True, slots=True)
class _Change:
    """One version: the time of the change, the new entry and the one that it replaced."""

    at_ns: int
    entry: Entry
    before: Entry | None


class Directory:
    """The directory server with one listener for nodes and schedulers.

    Schedulers receive a change `delay_ns` after it happened.  A node whose connection ends stays listed
    unchanged for `gone_delay_ns` and is then listed as gone.  For `settle_ns` from its start the directory
    sends no full list, because nodes may not have registered again: a scheduler with the list of an earlier
    life would treat the missing nodes as gone, and the jobs that run there as ended."""

    def __init__(
        self, loop: Loop, address: Address, delay_ns: int = 1_000_000_000, gone_delay_ns: int = 1_000_000_000,
        settle_ns: int = 0,
    ) -> None:  # fmt: skip
        self.loop, self.delay_ns, self.gone_delay_ns = loop, delay_ns, gone_delay_ns
        self._settled_ns = loop.now_ns() + settle_ns
        self.entries: dict[str, Entry] = {}
        # Versions grow over all lives, so that one of an earlier life is not taken for one of this life.
        self.version = self._first_version = loop.now_ns() // VERSION_STEP_NS
        self._full_list_pending: set[_Peer] = set()  # to be sent a full list once `settle_ns` is over
        self._node_peers: dict[str, _Peer] = {}
        self._watchers: dict[_Peer, int] = {}  # the version that each has
        self._changes: dict[int, _Change] = {}  # the last MAX_CHANGES changes by version
        self._visible_version = self.version  # the newest version that is at least `delay_ns` old
        self.traffic = Traffic()
        self.rounds = self.lists = self.rows_sent = self.log_entries_walked = 0
        self.listener = Listener(loop, address, self._accept)
        self._timer = loop.call_later(PUSH_INTERVAL_NS, self._push_lists)

    @property
    def address(self) -> Address:
        """The address of the listener."""
        return self.listener.address

    def _accept(self, sock: socket.socket) -> None:
        _Peer(self, sock)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._timer.cancel()
        self.listener.close()
        for peer in [*self._node_peers.values(), *self._watchers]:
            peer.stream.abort()

    def disconnect_watchers(self) -> None:
        """Close the connections of all schedulers, for fault injection."""
        for peer in list(self._watchers):
            peer.stream.abort()

    def stats(self) -> DirectoryStats:
        """Return the statistics so far.  The processor time is that of the whole process."""
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

    # --- messages of peers --------------------------------------------------------------------------------

    def handle_message(self, peer: _Peer, message: Message) -> None:
        """Apply one message of a node or a scheduler."""
        match message:
            case Register(entry):
                peer.node = entry.name
                self._node_peers[entry.name] = peer
                self._update_entry(entry)
            case Room(cores, memory) if peer.node in self.entries:
                self._update_entry(
                    msgspec.structs.replace(self.entries[peer.node], free_cores=cores, free_memory=memory)
                )
            case State(stage) if peer.node in self.entries and stage in ("serving", "draining", "gone"):
                self._update_entry(msgspec.structs.replace(self.entries[peer.node], stage=stage))
            case Watch(_, since):
                peer.stream.count = self.traffic.of(SCHEDULER)
                self._watchers[peer] = -1 if since > self.version else since
                self._send_update(peer)
            case _:
                raise DirectoryError(f"unexpected message: {type(message).__name__}")

    def remove_peer(self, peer: _Peer) -> None:
        """Forget a connection that has ended; its node is listed as gone after a delay."""
        self._watchers.pop(peer, None)
        self._full_list_pending.discard(peer)
        if peer.node and self._node_peers.get(peer.node) is peer:
            del self._node_peers[peer.node]
            self.loop.call_later(self.gone_delay_ns, self._mark_gone, peer.node)

    def _mark_gone(self, node: str) -> None:
        if node not in self._node_peers and node in self.entries:
            self._update_entry(msgspec.structs.replace(self.entries[node], stage="gone"))

    def _update_entry(self, entry: Entry) -> None:
        before = self.entries.get(entry.name)
        if before == entry:
            return
        if len(self._changes) == MAX_CHANGES:
            del self._changes[self._get_oldest_version()]
        self.entries[entry.name] = entry
        self.version += 1
        self._changes[self.version] = _Change(self.loop.now_ns(), entry, before)

    # --- lists for schedulers -------------------------------------------------------------------------------

    def _advance_visible_version(self) -> int:
        """Return the newest version that is `delay_ns` old, or the one before the oldest kept change."""
        newest_ns = self.loop.now_ns() - self.delay_ns
        self._visible_version = max(self._visible_version, self._get_oldest_version() - 1)
        while (
            self._visible_version < self.version
            and self._read_change(self._visible_version + 1).at_ns <= newest_ns
        ):
            self._visible_version += 1
        return self._visible_version

    def _get_oldest_version(self) -> int:
        """Return the first version whose change is kept."""
        return self.version - len(self._changes) + 1

    def _read_change(self, version: int) -> _Change:
        self.log_entries_walked += 1
        return self._changes[version]

    def _push_lists(self) -> None:
        self.rounds += 1
        self._advance_visible_version()  # reads each change once, also without watchers
        for peer in list(self._watchers):
            self._send_update(peer)
        self._timer = self.loop.call_later(PUSH_INTERVAL_NS, self._push_lists)

    def _send_update(self, peer: _Peer) -> None:
        if peer.stream.is_backed_up():
            return
        since, until = self._watchers[peer], self._advance_visible_version()
        settled = self.loop.now_ns() >= self._settled_ns
        full_list_due = settled and peer in self._full_list_pending
        if until <= since and since > 0 and not full_list_due:
            return
        send_all = full_list_due or since <= 0 or since + 1 < self._get_oldest_version()
        rows = self._collect_all(until) if send_all else self._collect_changes(since, until)
        if not rows:
            return
        self._watchers[peer] = until
        if send_all:
            (self._full_list_pending.discard if settled else self._full_list_pending.add)(peer)
        self._send_list(peer, Listed("full" if send_all and settled else "changes", until, rows))

    def _send_list(self, peer: _Peer, listed: Listed) -> None:
        self.lists += 1
        self.rows_sent += len(listed.entries)
        peer.stream.count.messages_out += 1
        peer.stream.write(encode(listed))

    def _collect_changes(self, since: int, until: int) -> list[Entry]:
        """Return the entries that changed after `since` and up to `until`, as they were at `until`."""
        changed: dict[str, Entry] = {}
        for version in range(until, since, -1):
            entry = self._read_change(version).entry
            changed.setdefault(entry.name, entry)
        return list(changed.values())

    def _collect_all(self, until: int) -> list[Entry]:
        """Return all entries that are not gone, as they were at version `until`."""
        listed = dict(self.entries)
        for version in range(self.version, until, -1):
            change = self._read_change(version)
            if change.before is None:
                del listed[change.entry.name]
            else:
                listed[change.entry.name] = change.before
        return [entry for entry in listed.values() if entry.stage != "gone"]


class _Peer:
    """One connection of a node or a scheduler."""

    def __init__(self, directory: Directory, sock: socket.socket) -> None:
        self._directory, self._decoder, self.node = directory, MessageDecoder(), ""
        # Traffic counts as that of a node until a Watch message shows that the peer is a scheduler.
        self.stream = CountedStream(directory.loop, sock, self, directory.traffic.of(NODE))

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            for message in self._decoder.feed(data):
                self._directory.handle_message(self, message)
                self.stream.count.messages_in += 1
        except DirectoryError as fault:
            stream.abort(fault)

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._directory.remove_peer(self)
