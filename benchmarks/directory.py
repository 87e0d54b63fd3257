"""Work of the directory by size: `python benchmarks/directory.py [--nodes N] [--starts S] [--schedulers K]`.

Not run in CI.  Nodes report their free room as node agents do, at most every half second, while S jobs a
second start and as many end, spread evenly; the clock is simulated.  Printed for an eighth, a quarter, a half
and all of the nodes, at the same rate of starts: changes a second, log entries walked for a push to an
up-to-date scheduler and for a full list, and the processor time of both.
"""

from __future__ import annotations

import argparse
import random
import time
from typing import Any, cast

from ladderhub.directory.service import PUSH_INTERVAL_NS, Directory
from ladderhub.directory.wire import Entry, Register, Room, Watch
from ladderhub.loop import Loop, ManualClock
from ladderhub.usage.traffic import TrafficCount

S = 1_000_000_000
ROOM_REPORT_NS = S // 2
SHARES = (0.125, 0.25, 0.5, 1.0)
WARM_S, MEASURED_S = 40, 20
FULL_LISTS = 5


class SinkStream:
    """A stream that discards and counts all data."""

    def __init__(self) -> None:
        self.count = TrafficCount()
        self.size = 0

    def is_backed_up(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.size += len(data)

    def abort(self) -> None:
        return


class Peer:
    """The directory's connection to a node or a scheduler."""

    def __init__(self) -> None:
        self.node, self.stream = "", SinkStream()


class SimulatedSite:
    """A directory with simulated nodes, schedulers and clock."""

    def __init__(self, nodes: int, starts_per_s: float, schedulers: int) -> None:
        self.clock = ManualClock(S)
        self.loop = Loop(self.clock)
        self.directory = Directory(self.loop, ("127.0.0.1", 0))
        self.random = random.Random(1)
        self._events_per_s = 2 * starts_per_s  # each start has an end
        self._free = [1000.0] * nodes
        self._reported = [0.0] * nodes
        self.nodes = [Peer() for _ in range(nodes)]
        self.schedulers = [Peer() for _ in range(schedulers)]
        for at, peer in enumerate(self.nodes):
            entry = Entry(f"node-{at:05d}", f"127.0.0.1:{10000 + at}", "large", "rack-1", "zone-1", 1)
            self._deliver(peer, Register(entry))
            self.loop.call_later(self.random.randrange(ROOM_REPORT_NS), self._report_room, at)
        for peer in self.schedulers:
            self._deliver(peer, Watch("scheduler"))

    def _deliver(self, peer: Peer, message: Register | Room | Watch) -> None:
        self.directory.handle_message(cast(Any, peer), message)

    def _report_room(self, at: int) -> None:
        if self._free[at] != self._reported[at]:
            self._reported[at] = self._free[at]
            self._deliver(self.nodes[at], Room(self._free[at], 1.0))
        self.loop.call_later(ROOM_REPORT_NS, self._report_room, at)

    def run(self, seconds: float) -> None:
        """Simulate starts and ends of jobs for this long."""
        step_ns = PUSH_INTERVAL_NS // 20
        for _ in range(round(seconds * S / step_ns)):
            for _event in range(round(self._events_per_s * step_ns / S)):
                self._free[self.random.randrange(len(self._free))] += self.random.choice((-1.0, 1.0))
            self.clock.advance(step_ns)
            self.loop.run_once(0)

    def measure_full_list(self) -> tuple[int, float, int]:
        """Measure a first list: log entries walked, processor seconds and bytes."""
        walked, spent, peer = self.directory.log_entries_walked, time.thread_time(), Peer()
        self._deliver(peer, Watch("new"))
        self.directory.remove_peer(cast(Any, peer))
        spent = time.thread_time() - spent
        return self.directory.log_entries_walked - walked, spent, peer.stream.size


def measure(nodes: int, starts_per_s: float, schedulers: int) -> None:
    """Run one size and print its figures."""
    site = SimulatedSite(nodes, starts_per_s, schedulers)
    directory = site.directory
    site.run(WARM_S)
    walked, version, rounds = directory.log_entries_walked, directory.version, directory.rounds
    lists, rows = directory.lists, directory.rows_sent
    spent = time.thread_time()
    site.run(MEASURED_S)
    spent = time.thread_time() - spent
    walked = directory.log_entries_walked - walked
    pushes = (directory.rounds - rounds) * schedulers
    changes, lists, rows = directory.version - version, directory.lists - lists, directory.rows_sent - rows
    full = [site.measure_full_list() for _ in range(FULL_LISTS)]
    print(
        f"{nodes} nodes, {starts_per_s:g} starts/s, {schedulers} schedulers: "
        f"{changes / MEASURED_S:.0f} changes/s; "
        f"a push: {walked / pushes:.0f} "
        f"log entries walked, {rows / lists:.0f} rows; "
        f"a full list: {sum(each[0] for each in full) / FULL_LISTS:.0f} log entries walked, "
        f"{1000 * min(each[1] for each in full):.1f} ms, {full[0][2]} bytes; "
        f"all: {spent / MEASURED_S:.3f} of a core with the nodes' side",
        flush=True,
    )
    directory.close()
    site.loop.close()


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--nodes", type=int, default=1100)
    options.add_argument("--starts", type=float, default=350.0)
    options.add_argument("--schedulers", type=int, default=7)
    given = options.parse_args()
    for share in SHARES:
        measure(round(given.nodes * share), given.starts, given.schedulers)


if __name__ == "__main__":
    main()
