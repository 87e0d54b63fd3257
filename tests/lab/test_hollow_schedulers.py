"""Hollow schedulers exchange the same traffic with a real scheduler as real ones do, and exit cleanly."""

from __future__ import annotations

import json
import logging
import signal
import socket
import subprocess
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog

from ladderhub.lab.fleet import SETTINGS
from ladderhub.lab.ports import free_port
from ladderhub.lab.process import build_module_command
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult, HollowScheduler, Identity
from ladderhub.loop import Loop, ManualClock
from ladderhub.peers.wire import Frame, cluster_tag, decode
from ladderhub.server.daemon import Daemon
from ladderhub.server.settings import check
from ladderhub.usage.traffic import Traffic, TrafficRow

S = 1_000_000_000
STEP_NS = 50_000_000
TURNS_PER_STEP = 4  # enough for a probe, its answer, and the reactions to it
FIRST_LIFE = 1 << 61  # above any clock value, so that lives and the rings made from them are reproducible
VOTERS, REAL = 3, 4
SETTLE_S, MEASURED_S = 40, 60
REGULAR = ("ping", "ack", "lease_request", "lease_grant", "ask_head", "head_is")
CONNECTIONS = ("client", "node", "directory")
QUIET = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


class SchedulerFleet:
    """Four real schedulers and `count` more, real or hollow, in one process with a manual clock.

    They use datagram sockets on loopback."""

    def __init__(self, folder: Path, count: int, hollow: bool) -> None:
        self.clock = ManualClock(S)
        self.troubles: list[BaseException] = []
        self.loop = Loop(self.clock, trouble=lambda where, fault: self.troubles.append(fault))
        self._folder = folder
        self._addresses = [("127.0.0.1", free_port()) for _ in range(REAL + count)]
        self.daemons: list[Daemon] = []
        self.hollow: list[HollowScheduler] = []
        for at in range(REAL + count):
            if hollow and at >= REAL:
                self._add_hollow(at)
            else:
                self._add_real(at)

    def _texts(self) -> list[str]:
        return ["{}:{}".format(*address) for address in self._addresses]

    def _add_real(self, at: int) -> None:
        name = f"peer{at:04d}"
        folder = self._folder / name
        folder.mkdir(parents=True)
        (folder / "peers.json").write_text(json.dumps({"life": FIRST_LIFE + at - 1, "peers": []}))
        addresses = self._texts()
        value: dict[str, Any] = SETTINGS | {
            "server": name, "listen": "127.0.0.1:0", "directory": "127.0.0.1:1", "spool": str(folder),
            "seed": at, "schedulers": len(addresses), "ordinal": at,
            "peers": {
                "listen": addresses[at], "seeds": addresses[:VOTERS], "cluster": "test", "period": "1s",
                "lease": "8s", "electors": addresses[:VOTERS],
            },
        }  # fmt: skip
        daemon = Daemon(self.loop, check(value, "test"), QUIET)
        daemon.start()
        self.daemons.append(daemon)

    def _add_hollow(self, at: int) -> None:
        voters = self._texts()[:VOTERS]
        plan = HollowPlan("test", voters, voters, 1, "1s", "8s", len(self._addresses), 1)
        identity = Identity(f"peer{at:04d}", FIRST_LIFE + at, self._addresses[at], at)
        member = HollowScheduler(self.loop, plan, identity, Traffic())
        member.start()
        self.hollow.append(member)

    def run(self, seconds: int) -> None:
        for _ in range(seconds * S // STEP_NS):
            self.clock.advance(STEP_NS)
            for _turn in range(TURNS_PER_STEP):
                self.loop.run_once(0)

    def close(self) -> None:
        for member in self.hollow:
            member.leave()
        for daemon in self.daemons:
            daemon.close()
        self.loop.close()
        assert not self.troubles and not any(member.troubles for member in self.hollow)
        assert not any(daemon.metrics.troubles for daemon in self.daemons)


def read_traffic(fleet: SchedulerFleet, at: int) -> dict[str, TrafficRow]:
    """Return the traffic of one of the real schedulers with its peers, by kind."""
    traffic = fleet.daemons[at].context.traffic
    return {kind: row for kind, row in traffic.to_rows().items() if kind not in CONNECTIONS}


def sum_traffic(rows: dict[str, TrafficRow], kinds: set[str]) -> dict[str, int]:
    """Return the sums over the given kinds."""
    known = [rows[kind] for kind in kinds if kind in rows]
    return {
        "bytes_in": sum(row["bytes_in"] for row in known),
        "bytes_out": sum(row["bytes_out"] for row in known),
        "messages_in": sum(row["messages_in"] for row in known),
        "messages_out": sum(row["messages_out"] for row in known),
    }


def subtract_traffic(
    before: dict[str, TrafficRow], after: dict[str, TrafficRow], kinds: set[str]
) -> dict[str, int]:
    """Return the sums over the given kinds of the traffic between two readings."""
    old = sum_traffic(before, kinds)
    return {name: amount - old[name] for name, amount in sum_traffic(after, kinds).items()}


@pytest.mark.parametrize("count", [7, 16])
def test_traffic_of_a_real_scheduler_is_the_same_with_hollow_and_real_peers(
    tmp_path: Path, count: int
) -> None:
    readings: dict[bool, list[tuple[dict[str, TrafficRow], dict[str, TrafficRow]]]] = {}
    for hollow in (False, True):
        fleet = SchedulerFleet(tmp_path / str(hollow), count, hollow)
        fleet.run(SETTLE_S)
        watched = (0, REAL - 1)  # a voter and a scheduler that is not a voter
        before = [read_traffic(fleet, at) for at in watched]
        fleet.run(MEASURED_S)
        readings[hollow] = [(old, read_traffic(fleet, at)) for old, at in zip(before, watched, strict=True)]
        for daemon in fleet.daemons:
            assert f"ladderhub_members {REAL + count}.0" in daemon.metrics.render_page()[2].decode()
        fleet.close()
    for real, hollow_ones in zip(readings[False], readings[True], strict=True):
        all_kinds = set(real[1]) | set(hollow_ones[1])
        for kinds in (all_kinds, *({kind} for kind in REGULAR)):
            with_real, with_hollow = subtract_traffic(*real, kinds), subtract_traffic(*hollow_ones, kinds)
            for name, expected in with_real.items():
                tolerance = max(0.01 * expected, 1 if "messages" in name else 100)
                assert abs(with_hollow[name] - expected) <= tolerance, (
                    sorted(kinds), name, expected, with_hollow[name],
                )  # fmt: skip


def test_process_of_hollow_schedulers_writes_its_counters(tmp_path: Path) -> None:
    file, out = tmp_path / "plan.json", tmp_path / "out.json"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as seed:
        seed.bind(("127.0.0.1", 0))
        seed.settimeout(20)
        address = "{}:{}".format(*seed.getsockname())
        file.write_bytes(msgspec.json.encode(HollowPlan("test", [address], [address], 5, "1s", "8s", 5, 1)))
        process = subprocess.Popen(
            build_module_command("ladderhub.lab.scale.hollow_schedulers", str(file), str(out)),
            stderr=subprocess.PIPE,
        )
        names: set[str] = set()
        while len(names) < 5:
            frame = decode(seed.recv(2000), cluster_tag("test"))
            assert isinstance(frame, Frame)
            names.add(frame.name)
        process.send_signal(signal.SIGTERM)
        assert process.communicate(timeout=20)[1] == b"" and process.returncode == 0
    assert names == {f"hollow{at:04d}" for at in range(5)}
    result: HollowResult = msgspec.json.decode(out.read_bytes(), type=HollowResult)
    assert (result.count, result.troubles, result.members_seen.most) == (5, 0, 1)
    pings = result.counted.messages["ping"].out
    assert pings is not None and pings >= 5
    assert result.member_mean.messages["ping"].out == pings / 5
