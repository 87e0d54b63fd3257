"""What single losses take away, and the sum of a day's failures.  Outside CI.

    python benchmarks/losses.py leases      # simulated: machine, zone, region, link between regions
    python benchmarks/losses.py directory   # measured: a directory that is started anew under its nodes
    python benchmarks/losses.py restart     # emulated: the same under a real scheduler whose jobs run
    python benchmarks/losses.py silent      # measured: a node that stops without closing its connections
    python benchmarks/losses.py day         # reckoned from measured bytes of the messages

`leases` plays the membership and lease decisions in simulated time.  Schedulers stand in zones in turn; the
first five vote on leases.  Told is the share of leases that nobody could use, and for how long a region had
none.  `directory` ends a real directory by SIGKILL under real registrations and reads what it lists first.
"""

from __future__ import annotations

import argparse
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from load_of_site import FAILED, NODES, REPLACED, RESTARTED, RUNNING, SCHEDULERS, Figure, add_figures

from ladderhub.directory.wire import Entry, MessageDecoder, Listed, Register, Room, Watch, encode
from ladderhub.lab.client import Submission, attributes
from ladderhub.lab.emulator.net import MS, Faults, S
from ladderhub.lab.emulator.membership import Fleet, get_address
from ladderhub.lab.fleet import Fleet as ProcessFleet
from ladderhub.lab.mesh.judge import find_lease_uses
from ladderhub.loop import Loop, Stream
from ladderhub.loop.stream import connect
from ladderhub.node.directory_link import RECONNECT_NS
from ladderhub.node.runners import EmulatedSettings

REGIONS = Figure("size.regions", "regions")
ZONES = Figure("size.zones", "zones over all regions")
VOTERS = 5
BEFORE_S, STEP_S = 60.0, 0.25
AFTER_RESTART_S = 8.0  # longer than a directory waits before its first full list
TAIL_S = 20.0  # after the last sample: a lease's use is known once it was renewed or ran out

# --- leases -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Loss:
    """What is done at the loss and, after `lasts_s`, at its end."""

    name: str
    lasts_s: float
    begin: Callable[[], None]
    end: Callable[[], None]
    regions: tuple[int, ...]  # whose leases are looked at


class Play:
    """A fleet of schedulers over zones and regions."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.zones, self.regions = round(args.zones), round(args.regions)
        self.fleet = Fleet(round(args.schedulers), args.seed, Faults(), voters=VOTERS)
        self.fleet.net.run(self.fleet.net.now + 20 * S)
        self.fleet.settle(60 * S)
        self.fleet.net.run(self.fleet.net.now + round(BEFORE_S * S))

    def zone(self, at: int) -> int:
        return at % self.zones

    def region(self, at: int) -> int:
        return self.zone(at) * self.regions // self.zones

    def members(self, where: Callable[[int], bool]) -> list[int]:
        return [at for at in range(self.fleet.count) if where(at)]

    def stop(self, members: list[int], lasts_s: float, name: str) -> Loss:
        """Machines that are gone, and come back."""
        left = sorted({self.region(at) for at in range(self.fleet.count) if at not in members})

        def begin() -> None:
            for at in members:
                self.fleet.kill(at)

        def end() -> None:
            for at in members:
                self.fleet.start(at)

        return Loss(name, lasts_s, begin, end, tuple(left))

    def cut(self, lasts_s: float) -> Loss:
        """No datagram goes between regions."""
        regions = {get_address(at): self.region(at) for at in range(self.fleet.count)}

        def begin() -> None:
            self.fleet.net.faults = Faults(cut=lambda a, b: regions[a] != regions[b])

        def end() -> None:
            self.fleet.net.faults = Faults()

        return Loss("link between regions", lasts_s, begin, end, tuple(range(self.regions)))

    def run(self, loss: Loss) -> tuple[float, float]:
        """Begin and end of the loss, as the rows have times."""
        net = self.fleet.net
        begun = net.now
        loss.begin()
        net.run(begun + round(loss.lasts_s * S))
        ended = net.now
        loss.end()
        net.run(ended + round((BEFORE_S + TAIL_S) * S))
        return begun / S, ended / S


def losses_of(args: argparse.Namespace) -> list[Callable[[Play], Loss]]:
    return [
        lambda play: play.stop([play.fleet.count - 1], args.machine, "machine without a voter"),
        lambda play: play.stop([0], args.machine, "machine with a voter"),
        lambda play: play.stop(play.members(lambda at: play.zone(at) == 0), args.zone, "zone, two voters"),
        lambda play: play.stop(play.members(lambda at: play.zone(at) == 2), args.zone, "zone, one voter"),
        lambda play: play.stop(
            play.members(lambda at: play.region(at) == 1), args.zone, "region of the fewer voters"
        ),
        lambda play: play.stop(
            play.members(lambda at: play.region(at) == 0), args.zone, "region of the more voters"
        ),
        lambda play: play.cut(args.link),
    ]


@dataclass(frozen=True, slots=True)
class Seen:
    """Samples of the leases in use: the moment, the slots in use, and those of each region."""

    at_s: float
    slots: int
    of_region: dict[int, int]


def samples(play: Play, begun_s: float, until_s: float) -> list[Seen]:
    spans = find_lease_uses(play.fleet.rows)
    found = []
    at = begun_s
    while at < until_s:
        now = [use for use in spans if use.begun <= at < use.ended]
        of_region = {region: 0 for region in range(play.regions)}
        for use in now:
            of_region[play.region(use.slot)] += 1
        found.append(Seen(at, len({use.seat for use in now}), of_region))
        at += STEP_S
    return found


def share_unused(seen: list[Seen], count: int) -> float:
    return 1 - sum(each.slots for each in seen) / (count * len(seen)) if seen else 0.0


def last_below(seen: list[Seen], count: int) -> float:
    """Until when, from the first sample on, not all leases were in use; 0 where they always were."""
    short = [each.at_s for each in seen if each.slots < count]
    return short[-1] + STEP_S - seen[0].at_s if short else 0.0


def leases(args: argparse.Namespace) -> None:
    for make in losses_of(args):
        play = Play(args)
        loss = make(play)
        count = play.fleet.count
        begun, ended = play.run(loss)
        during = samples(play, begun, ended)
        after = samples(play, ended, ended + BEFORE_S)
        without = {
            region: sum(each.of_region[region] == 0 for each in during) * STEP_S for region in loss.regions
        }
        none = "; ".join(f"region {region} {span:.0f} s" for region, span in without.items() if span)
        print(
            f"{loss.name}, {loss.lasts_s:.0f} s, seed {args.seed}: leases unused "
            f"{share_unused(during, count):.1%} of its span, all in use again "
            f"{last_below(during, count):.1f} s after its begin and {last_below(after, count):.1f} s after "
            f"its end ({share_unused(after, count):.1%} of the minute); without any lease: "
            f"{none or 'no region'}",
            flush=True,
        )


# --- directory --------------------------------------------------------------------------------------------


class Registration:
    """A node's connection to the directory, made anew as the node agent does it."""

    def __init__(self, loop: Loop, address: tuple[str, int], entry: Entry) -> None:
        self._loop, self._address, self._entry = loop, address, entry
        self._connect()

    def _connect(self) -> None:
        connect(self._loop, self._address, self, S, self._connected)

    def _connected(self, stream: Stream) -> None:
        stream.write(encode(Register(self._entry)))
        stream.write(encode(Room(self._entry.free_cores, self._entry.free_memory)))

    def on_data(self, stream: Stream, data: bytes) -> None:
        return

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._loop.call_later(RECONNECT_NS, self._connect)


class Watcher:
    """A scheduler's end: the lists as they come, with their moments."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop, self._address = loop, address
        self.lists: list[tuple[int, Listed]] = []
        self.version = 0
        self._lines = MessageDecoder()
        self._connect()

    def _connect(self) -> None:
        self._lines = MessageDecoder()
        connect(self._loop, self._address, self, S, self._connected)

    def _connected(self, stream: Stream) -> None:
        stream.write(encode(Watch("watcher", self.version)))

    def on_data(self, stream: Stream, data: bytes) -> None:
        for message in self._lines.feed(data):
            assert isinstance(message, Listed)
            self.version = message.version
            self.lists.append((self._loop.now_ns(), message))

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        self._loop.call_later(RECONNECT_NS, self._connect)


def start_directory(port: int) -> subprocess.Popen[bytes]:
    argv = [sys.executable, "-m", "ladderhub", "directory", "--listen", f"127.0.0.1:{port}"]
    return subprocess.Popen(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def run_for(loop: Loop, seconds: float) -> None:
    until = loop.now_ns() + round(seconds * S)
    while loop.now_ns() < until:
        loop.run_once(50 * MS)


def row(at: int) -> Entry:
    return Entry(
        f"node-{at:04d}", f"10.1.{at // 250}.{at % 250}:15002", "small", f"rack-{at // 24}", "zone-1",
        1_700_000_000_000_000_000 + at, "serving", 2.5, 11.25,
    )  # fmt: skip


def directory(args: argparse.Namespace) -> None:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop, count = Loop(), round(args.nodes)
    child = start_directory(port)
    try:
        for at in range(count):
            Registration(loop, ("127.0.0.1", port), row(at))
        watcher = Watcher(loop, ("127.0.0.1", port))
        run_for(loop, 6)
        known = {entry.name for _, told in watcher.lists for entry in told.entries}
        print(f"{len(known)} of {count} nodes listed before")
        dice = random.Random(args.seed)
        for trial in range(args.trials):
            child.send_signal(signal.SIGKILL)
            child.wait()
            killed = loop.now_ns()
            watcher.lists.clear()
            run_for(loop, dice.uniform(0.1, 0.4))
            child = start_directory(port)
            run_for(loop, AFTER_RESTART_S)
            tell_restart(trial, count, killed, watcher.lists)
    finally:
        child.terminate()
        child.wait()


def tell_restart(trial: int, count: int, killed_ns: int, lists: list[tuple[int, Listed]]) -> None:
    full = next(((at, told) for at, told in lists if told.kind == "full"), None)
    if full is None:
        print(f"restart {trial}: no full list came")
        return
    at_ns, told = full
    known = {entry.name for entry in told.entries}
    missing, complete_ns = count - len(known), at_ns
    for later_ns, other in lists:
        if later_ns > at_ns:
            fresh = {entry.name for entry in other.entries if entry.stage == "serving"} - known
            known |= fresh
            complete_ns = later_ns if fresh else complete_ns
    print(
        f"restart {trial}: first list {(at_ns - killed_ns) / S:.2f} s after the kill, full, lacks {missing} "
        f"of {count} nodes, which a scheduler takes for gone; whole {(complete_ns - at_ns) / S:.2f} s later",
        flush=True,
    )


# --- a node that falls silent -------------------------------------------------------------------------------


def silent(args: argparse.Namespace) -> None:
    """SIGSTOP of a real node: nothing is closed, as where its machine loses its power or its network."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop, child = Loop(), start_directory(port)
    argv = [sys.executable, "-m", "ladderhub", "node", "--name", "n1", "--kind", "small", "--cores", "4"]
    argv += ["--memory", "8gb", "--directory", f"127.0.0.1:{port}"]
    node = subprocess.Popen(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        watcher = Watcher(loop, ("127.0.0.1", port))
        run_for(loop, 10)
        print(f"listed before: {[entry.stage for _, told in watcher.lists for entry in told.entries]}")
        watcher.lists.clear()
        node.send_signal(signal.SIGSTOP)
        run_for(loop, args.silence)
        stages = [entry.stage for _, told in watcher.lists for entry in told.entries]
        print(f"told within {args.silence:.0f} s of its silence: {stages or 'nothing'}")
        watcher.lists.clear()
        node.kill()
        run_for(loop, 4)
        stages = [entry.stage for _, told in watcher.lists for entry in told.entries]
        print(f"told within 4 s of its end, which closes its connections: {stages or 'nothing'}")
    finally:
        node.kill()
        node.wait()
        child.terminate()
        child.wait()


# --- a directory's restart under running jobs ---------------------------------------------------------------


def restart(args: argparse.Namespace) -> None:
    """Jobs that run on emulated nodes, one real scheduler, and a real directory that is killed."""
    with tempfile.TemporaryDirectory() as folder:
        for trial in range(args.trials):
            place = Path(folder) / str(trial)
            place.mkdir()
            jobs_started_again(args, place, trial)


def jobs_started_again(args: argparse.Namespace, folder: Path, trial: int) -> None:
    loop, count = Loop(), round(args.nodes)
    long_lives = EmulatedSettings(life_ns=(600 * S, 600 * S))
    fleet = ProcessFleet(loop, folder, nodes=count, schedulers=1, emulated=long_lives, seed=args.seed + trial)
    port = fleet.directory.address[1]
    fleet.directory.close()
    child = start_directory(port)
    try:
        run_for(loop, 1)
        fleet.start_nodes()
        run_for(loop, 4)
        fleet.start_schedulers()
        scheduler = fleet.schedulers["sched0"]
        fleet.run_until(lambda: fleet.is_up("sched0"), 15 * S)
        run_for(loop, 3)
        for at in range(round(args.running)):
            attrs = attributes(f"job-{at}", f"service-{at % 50}", 1, 0.5, 600)
            Submission(loop, scheduler.public, "batch", attrs, b"true\n", lambda job, text: None)
            run_for(loop, 0.01)
        run_for(loop, 5)
        running = [key for agent in fleet.nodes.values() for key in agent.jobs]
        child.send_signal(signal.SIGKILL)
        child.wait()
        run_for(loop, 0.3)
        child = start_directory(port)
        run_for(loop, 8)
        after = [key for agent in fleet.nodes.values() for key in agent.jobs]
        again = {job for job, run in after} - {job for job, run in after if (job, run) in running}
        print(
            f"restart {trial}: {count} nodes, {len(running)} jobs ran on safe queues, {len(again)} of them "
            f"were stopped and started elsewhere within 8 s",
            flush=True,
        )
    finally:
        child.terminate()
        child.wait()
        fleet.close()


# --- the day ----------------------------------------------------------------------------------------------


def day(args: argparse.Namespace) -> None:
    """Bytes of the directory's messages, and the sum over a day's failures and restarts."""
    entry = row(1)
    register, room = len(encode(Register(entry))), len(encode(Room(2.5, 11.25)))
    one, two = (
        len(encode(Listed("changes", 10**7, [entry]))),
        len(encode(Listed("changes", 10**7, [entry] * 2))),
    )
    a_row, head = two - one, 2 * one - two
    full = head + a_row * round(args.nodes)
    print(
        f"register {register}, room {room}, a row of a list {a_row}, head of a list {head}, full list {full} "
        "bytes"
    )
    tasks = args.running / args.nodes
    schedulers = round(args.schedulers)
    replaced = args.replaced + args.restarted
    for name, count, rows in (("failed", args.failed, 1), ("replaced or restarted", replaced, 3)):
        lists = rows * a_row * schedulers
        print(
            f"{name}: {count:g} a day, {rows} rows each to {schedulers} schedulers = {lists} bytes, "
            f"{tasks:.1f} tasks each; a day {count * lists / 1e3:.0f} kB of lists, {count * tasks:.0f} tasks "
            "started again if none was drained"
        )
    print(f"all: {(args.failed + replaced) * tasks / 86400:.4f} starts a second on average")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["leases", "directory", "restart", "silent", "day"])
    add_figures(parser, {
        "nodes": NODES, "running": RUNNING, "schedulers": SCHEDULERS, "regions": REGIONS, "zones": ZONES,
        "failed": FAILED, "replaced": REPLACED, "restarted": RESTARTED,
    })  # fmt: skip
    parser.add_argument("--machine", type=float, default=300.0, help="seconds that a machine is gone")
    parser.add_argument("--zone", type=float, default=600.0, help="seconds that a zone or region is gone")
    parser.add_argument("--link", type=float, default=3600.0, help="seconds that regions lose each other")
    parser.add_argument("--silence", type=float, default=60.0, help="seconds that a node is silent")
    parser.add_argument("--trials", type=int, default=10, help="restarts of the directory")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    plays = {"leases": leases, "directory": directory, "restart": restart, "silent": silent, "day": day}
    plays[args.what](args)


if __name__ == "__main__":
    main()
