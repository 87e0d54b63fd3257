"""Effects of single failures, and the estimated cost of a day's failures.  Not run in CI.

    python benchmarks/losses.py leases      # simulated: loss of a machine, a zone, a region, a link
    python benchmarks/losses.py directory   # measured: restart of a directory with connected nodes
    python benchmarks/losses.py restart     # emulated: the same with a real scheduler and running jobs
    python benchmarks/losses.py silent      # measured: a node that stops without closing its connections
    python benchmarks/losses.py day         # computed from the measured sizes of messages

`leases` runs the membership and lease decisions in simulated time.  Schedulers are distributed round-robin
over the zones; the first five vote on leases.  Printed are the share of leases that nobody could use, and for
how long a region had none.  `directory` kills a real directory with registered nodes by SIGKILL and reads its
first list after the restart.
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
from ladderhub.lab.client import Submission, build_job_attributes
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
TAIL_S = 20.0  # after the last sample, because a lease's use is known once it was renewed or has expired

# --- leases -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Loss:
    """A failure: `begin` causes it and, after `lasts_s`, `end` repairs it."""

    name: str
    lasts_s: float
    begin: Callable[[], None]
    end: Callable[[], None]
    regions: tuple[int, ...]  # regions whose leases are examined


class SimulatedFleet:
    """A simulated fleet of schedulers in zones and regions."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.zones, self.regions = round(args.zones), round(args.regions)
        self.fleet = Fleet(round(args.schedulers), args.seed, Faults(), voters=VOTERS)
        self.fleet.net.run(self.fleet.net.now + 20 * S)
        self.fleet.settle(60 * S)
        self.fleet.net.run(self.fleet.net.now + round(BEFORE_S * S))

    def get_zone(self, at: int) -> int:
        """Return the zone of a scheduler."""
        return at % self.zones

    def get_region(self, at: int) -> int:
        """Return the region of a scheduler."""
        return self.get_zone(at) * self.regions // self.zones

    def list_members(self, where: Callable[[int], bool]) -> list[int]:
        """Return the schedulers for which `where` is true."""
        return [at for at in range(self.fleet.count) if where(at)]

    def build_machine_loss(self, members: list[int], lasts_s: float, name: str) -> Loss:
        """Build a loss of machines that restart later."""
        left = sorted({self.get_region(at) for at in range(self.fleet.count) if at not in members})

        def begin() -> None:
            for at in members:
                self.fleet.kill(at)

        def end() -> None:
            for at in members:
                self.fleet.start(at)

        return Loss(name, lasts_s, begin, end, tuple(left))

    def build_link_loss(self, lasts_s: float) -> Loss:
        """Build a loss of all datagrams between regions."""
        regions = {get_address(at): self.get_region(at) for at in range(self.fleet.count)}

        def begin() -> None:
            self.fleet.net.faults = Faults(cut=lambda a, b: regions[a] != regions[b])

        def end() -> None:
            self.fleet.net.faults = Faults()

        return Loss("link between regions", lasts_s, begin, end, tuple(range(self.regions)))

    def run(self, loss: Loss) -> tuple[float, float]:
        """Simulate a loss; return its begin and end in the time of the recorded rows."""
        net = self.fleet.net
        begun = net.now
        loss.begin()
        net.run(begun + round(loss.lasts_s * S))
        ended = net.now
        loss.end()
        net.run(ended + round((BEFORE_S + TAIL_S) * S))
        return begun / S, ended / S


def list_losses(args: argparse.Namespace) -> list[Callable[[SimulatedFleet], Loss]]:
    """Return a function for each loss that builds it for a fleet."""
    return [
        lambda simulated: simulated.build_machine_loss(
            [simulated.fleet.count - 1], args.machine, "machine without a voter"
        ),
        lambda simulated: simulated.build_machine_loss([0], args.machine, "machine with a voter"),
        lambda simulated: simulated.build_machine_loss(
            simulated.list_members(lambda at: simulated.get_zone(at) == 0), args.zone, "zone, two voters"
        ),
        lambda simulated: simulated.build_machine_loss(
            simulated.list_members(lambda at: simulated.get_zone(at) == 2), args.zone, "zone, one voter"
        ),
        lambda simulated: simulated.build_machine_loss(
            simulated.list_members(lambda at: simulated.get_region(at) == 1),
            args.zone,
            "region of the fewer voters",
        ),
        lambda simulated: simulated.build_machine_loss(
            simulated.list_members(lambda at: simulated.get_region(at) == 0),
            args.zone,
            "region of the more voters",
        ),
        lambda simulated: simulated.build_link_loss(args.link),
    ]


@dataclass(frozen=True, slots=True)
class LeaseSample:
    """The leases in use at one time: the number of slots, and of leases in each region."""

    at_s: float
    slots: int
    of_region: dict[int, int]


def sample_leases(simulated: SimulatedFleet, begun_s: float, until_s: float) -> list[LeaseSample]:
    """Sample the leases in use every `STEP_S`."""
    spans = find_lease_uses(simulated.fleet.rows)
    found = []
    at = begun_s
    while at < until_s:
        now = [use for use in spans if use.begun <= at < use.ended]
        of_region = {region: 0 for region in range(simulated.regions)}
        for use in now:
            of_region[simulated.get_region(use.slot)] += 1
        found.append(LeaseSample(at, len({use.seat for use in now}), of_region))
        at += STEP_S
    return found


def get_unused_share(samples: list[LeaseSample], count: int) -> float:
    """Return the share of slots and time without a usable lease."""
    return 1 - sum(each.slots for each in samples) / (count * len(samples)) if samples else 0.0


def get_recovery_s(samples: list[LeaseSample], count: int) -> float:
    """Return the seconds from the first sample until all leases stay in use; 0 if they always were."""
    short = [each.at_s for each in samples if each.slots < count]
    return short[-1] + STEP_S - samples[0].at_s if short else 0.0


def simulate_leases(args: argparse.Namespace) -> None:
    """Simulate each loss and print the use of leases."""
    for make in list_losses(args):
        simulated = SimulatedFleet(args)
        loss = make(simulated)
        count = simulated.fleet.count
        begun, ended = simulated.run(loss)
        during = sample_leases(simulated, begun, ended)
        after = sample_leases(simulated, ended, ended + BEFORE_S)
        without = {
            region: sum(each.of_region[region] == 0 for each in during) * STEP_S for region in loss.regions
        }
        none = "; ".join(f"region {region} {span:.0f} s" for region, span in without.items() if span)
        print(
            f"{loss.name}, {loss.lasts_s:.0f} s, seed {args.seed}: leases unused "
            f"{get_unused_share(during, count):.1%} of its span, all in use again "
            f"{get_recovery_s(during, count):.1f} s after its begin and "
            f"{get_recovery_s(after, count):.1f} s after its end "
            f"({get_unused_share(after, count):.1%} of the minute); without any lease: {none or 'no region'}",
            flush=True,
        )


# --- directory --------------------------------------------------------------------------------------------


class Registration:
    """A node's connection to the directory, which reconnects as the node agent does."""

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
    """A scheduler's connection to the directory; it records the received lists with their times."""

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
    """Start a directory process."""
    argv = [sys.executable, "-m", "ladderhub", "directory", "--listen", f"127.0.0.1:{port}"]
    return subprocess.Popen(argv, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def run_for(loop: Loop, seconds: float) -> None:
    """Run the loop for this long."""
    until = loop.now_ns() + round(seconds * S)
    while loop.now_ns() < until:
        loop.run_once(50 * MS)


def build_entry(at: int) -> Entry:
    """Build the directory entry of a node."""
    return Entry(
        f"node-{at:04d}", f"10.1.{at // 250}.{at % 250}:15002", "small", f"rack-{at // 24}", "zone-1",
        1_700_000_000_000_000_000 + at, "serving", 2.5, 11.25,
    )  # fmt: skip


def measure_directory_restart(args: argparse.Namespace) -> None:
    """Kill and restart a directory repeatedly and print what its first list lacks."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop, count = Loop(), round(args.nodes)
    child = start_directory(port)
    try:
        for at in range(count):
            Registration(loop, ("127.0.0.1", port), build_entry(at))
        watcher = Watcher(loop, ("127.0.0.1", port))
        run_for(loop, 6)
        known = {entry.name for _, listed in watcher.lists for entry in listed.entries}
        print(f"{len(known)} of {count} nodes listed before")
        rng = random.Random(args.seed)
        for trial in range(args.trials):
            child.send_signal(signal.SIGKILL)
            child.wait()
            killed_ns = loop.now_ns()
            watcher.lists.clear()
            run_for(loop, rng.uniform(0.1, 0.4))
            child = start_directory(port)
            run_for(loop, AFTER_RESTART_S)
            print_restart(trial, count, killed_ns, watcher.lists)
    finally:
        child.terminate()
        child.wait()


def print_restart(trial: int, count: int, killed_ns: int, lists: list[tuple[int, Listed]]) -> None:
    """Print the first list after a restart and when all nodes were listed."""
    full = next(((at, listed) for at, listed in lists if listed.kind == "full"), None)
    if full is None:
        print(f"restart {trial}: no full list came")
        return
    at_ns, listed = full
    known = {entry.name for entry in listed.entries}
    missing, complete_ns = count - len(known), at_ns
    for later_ns, other in lists:
        if later_ns > at_ns:
            added = {entry.name for entry in other.entries if entry.stage == "serving"} - known
            known |= added
            complete_ns = later_ns if added else complete_ns
    print(
        f"restart {trial}: first list {(at_ns - killed_ns) / S:.2f} s after the kill, full, lacks {missing} "
        f"of {count} nodes, which a scheduler takes for gone; whole {(complete_ns - at_ns) / S:.2f} s later",
        flush=True,
    )


# --- an unresponsive node -----------------------------------------------------------------------------------


def measure_silent_node(args: argparse.Namespace) -> None:
    """Stop a real node by SIGSTOP: its connections stay open, as after a loss of power or network."""
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
        print(f"listed before: {[entry.stage for _, listed in watcher.lists for entry in listed.entries]}")
        watcher.lists.clear()
        node.send_signal(signal.SIGSTOP)
        run_for(loop, args.silence)
        stages = [entry.stage for _, listed in watcher.lists for entry in listed.entries]
        print(f"told within {args.silence:.0f} s of its silence: {stages or 'nothing'}")
        watcher.lists.clear()
        node.kill()
        run_for(loop, 4)
        stages = [entry.stage for _, listed in watcher.lists for entry in listed.entries]
        print(f"told within 4 s of its end, which closes its connections: {stages or 'nothing'}")
    finally:
        node.kill()
        node.wait()
        child.terminate()
        child.wait()


# --- a directory's restart with running jobs ----------------------------------------------------------------


def measure_job_restarts(args: argparse.Namespace) -> None:
    """Kill a real directory repeatedly while a real scheduler runs jobs on emulated nodes."""
    with tempfile.TemporaryDirectory() as folder:
        for trial in range(args.trials):
            place = Path(folder) / str(trial)
            place.mkdir()
            print_restarted_jobs(args, place, trial)


def print_restarted_jobs(args: argparse.Namespace, folder: Path, trial: int) -> None:
    """Kill and restart the directory once; print how many running jobs were started elsewhere."""
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
            attrs = build_job_attributes(f"job-{at}", f"service-{at % 50}", 1, 0.5, 600)
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
        restarted = {job for job, run in after} - {job for job, run in after if (job, run) in running}
        print(
            f"restart {trial}: {count} nodes, {len(running)} jobs ran on safe queues, "
            f"{len(restarted)} of them were stopped and started elsewhere within 8 s",
            flush=True,
        )
    finally:
        child.terminate()
        child.wait()
        fleet.close()


# --- the day ----------------------------------------------------------------------------------------------


def estimate_day(args: argparse.Namespace) -> None:
    """Print the sizes of the directory's messages, and the cost of a day's failures and restarts."""
    entry = build_entry(1)
    register, room = len(encode(Register(entry))), len(encode(Room(2.5, 11.25)))
    one, two = (
        len(encode(Listed("changes", 10**7, [entry]))),
        len(encode(Listed("changes", 10**7, [entry] * 2))),
    )
    row_bytes, header_bytes = two - one, 2 * one - two
    full = header_bytes + row_bytes * round(args.nodes)
    print(
        f"register {register}, room {room}, a row of a list {row_bytes}, head of a list {header_bytes}, "
        f"full list {full} bytes"
    )
    tasks = args.running / args.nodes
    schedulers = round(args.schedulers)
    replaced = args.replaced + args.restarted
    for name, count, rows in (("failed", args.failed, 1), ("replaced or restarted", replaced, 3)):
        lists = rows * row_bytes * schedulers
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
    functions = {
        "leases": simulate_leases, "directory": measure_directory_restart, "restart": measure_job_restarts,
        "silent": measure_silent_node, "day": estimate_day,
    }  # fmt: skip
    functions[args.what](args)


if __name__ == "__main__":
    main()
