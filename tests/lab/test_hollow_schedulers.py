"""Hollow schedulers: a real one hears from them what it would hear from real ones, and they end in order."""

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
from ladderhub.lab.process import module
from ladderhub.lab.scale.hollow_schedulers import HollowPlan, HollowResult, HollowScheduler, Identity
from ladderhub.loop import Loop, ManualClock
from ladderhub.peers.wire import Frame, cluster_tag, decode
from ladderhub.server.daemon import Daemon
from ladderhub.server.settings import check
from ladderhub.usage.traffic import Traffic, TrafficRow

S = 1_000_000_000
STEP_NS = 50_000_000
TURNS_PER_STEP = 4  # a probe, its answer, and what follows from that
FIRST_LIFE = 1 << 61  # above any clock, so that lives and with them the rings are the same in each run
VOTERS, REAL = 3, 4
SETTLE_S, MEASURED_S = 40, 60
REGULAR = ("ping", "ack", "lease_request", "lease_grant", "ask_head", "head_is")
CONNECTIONS = ("client", "node", "directory")
QUIET = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


class Bed:
    """Four real schedulers, and as many more as asked for, real or hollow, on datagram sockets of loopback in
    one process whose clock is moved by hand."""

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


def heard(bed: Bed, at: int) -> dict[str, TrafficRow]:
    """What one of the real schedulers exchanges with its peers while the fleet is settled."""
    traffic = bed.daemons[at].context.traffic
    return {kind: row for kind, row in traffic.to_rows().items() if kind not in CONNECTIONS}


def amounts(rows: dict[str, TrafficRow], kinds: set[str]) -> dict[str, int]:
    """The sums over these kinds."""
    known = [rows[kind] for kind in kinds if kind in rows]
    return {
        "bytes_in": sum(row["bytes_in"] for row in known),
        "bytes_out": sum(row["bytes_out"] for row in known),
        "messages_in": sum(row["messages_in"] for row in known),
        "messages_out": sum(row["messages_out"] for row in known),
    }


def passed(before: dict[str, TrafficRow], after: dict[str, TrafficRow], kinds: set[str]) -> dict[str, int]:
    """The sums over these kinds of what was exchanged between two readings."""
    old = amounts(before, kinds)
    return {name: amount - old[name] for name, amount in amounts(after, kinds).items()}


@pytest.mark.parametrize("count", [7, 16])
def test_a_real_scheduler_hears_from_hollow_peers_what_it_hears_from_real_ones(
    tmp_path: Path, count: int
) -> None:
    told: dict[bool, list[tuple[dict[str, TrafficRow], dict[str, TrafficRow]]]] = {}
    for hollow in (False, True):
        bed = Bed(tmp_path / str(hollow), count, hollow)
        bed.run(SETTLE_S)
        watched = (0, REAL - 1)  # a voter, and one that is none
        before = [heard(bed, at) for at in watched]
        bed.run(MEASURED_S)
        told[hollow] = [(old, heard(bed, at)) for old, at in zip(before, watched, strict=True)]
        for daemon in bed.daemons:
            assert f"ladderhub_members {REAL + count}.0" in daemon.metrics.render_page()[2].decode()
        bed.close()
    for real, hollow_ones in zip(told[False], told[True], strict=True):
        every = set(real[1]) | set(hollow_ones[1])
        for kinds in (every, *({kind} for kind in REGULAR)):
            beside_real, beside_hollow = passed(*real, kinds), passed(*hollow_ones, kinds)
            for name, expected in beside_real.items():
                most_off = max(0.01 * expected, 1 if "messages" in name else 100)
                assert abs(beside_hollow[name] - expected) <= most_off, (
                    sorted(kinds), name, expected, beside_hollow[name],
                )  # fmt: skip


def test_a_process_of_hollow_schedulers_leaves_what_it_counted(tmp_path: Path) -> None:
    file, out = tmp_path / "plan.json", tmp_path / "out.json"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as seed:
        seed.bind(("127.0.0.1", 0))
        seed.settimeout(20)
        address = "{}:{}".format(*seed.getsockname())
        file.write_bytes(msgspec.json.encode(HollowPlan("test", [address], [address], 5, "1s", "8s", 5, 1)))
        process = subprocess.Popen(
            module("ladderhub.lab.scale.hollow_schedulers", str(file), str(out)), stderr=subprocess.PIPE
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
