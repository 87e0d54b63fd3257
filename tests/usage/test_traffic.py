"""Counting bytes and messages: by kind, by message type, over streams, in a daemon, a directory and nodes."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from ladderhub.directory.stats import DirectoryStats
from ladderhub.directory.wire import Entry, Register, Watch, encode
from ladderhub.lab.ports import free_port
from ladderhub.lab.process import build_module_command
from ladderhub.loop import Listener, Loop, Stream
from ladderhub.usage.accounted import CountedStream, connect_counted
from ladderhub.usage.traffic import Traffic, TrafficCount, kind_of
from tests.usage import until
from tests.world import World

S = 1_000_000_000


class LeaseRequest: ...


class Ping: ...


class Discard:
    """Ignores all data."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        return

    def on_closed(self, stream: Stream, fault: BaseException | None) -> None:
        return


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path, nodes=2)
    yield made
    made.close()


def test_message_types_are_kinds_by_the_names_of_their_classes() -> None:
    assert kind_of(Ping) == "ping" and kind_of(LeaseRequest) == "lease_request"
    traffic = Traffic()
    traffic.of_message(Ping()).messages_in += 2
    assert traffic.of_message(Ping()) is traffic.of("ping")
    row = {"bytes_in": 0, "bytes_out": 0, "messages_in": 2, "messages_out": 0}
    assert traffic.to_rows() == {"ping": row}


def test_streams_count_each_byte_once_in_each_direction() -> None:
    loop = Loop()
    near, far = TrafficCount(), TrafficCount()
    accepted: list[CountedStream] = []

    class Echo(Discard):
        def on_data(self, stream: Stream, data: bytes) -> None:
            stream.write(data)

    def accept(sock: socket.socket) -> None:
        accepted.append(CountedStream(loop, sock, Echo(), far))

    listener = Listener(loop, ("127.0.0.1", 0), accept)
    size = 3_000_000  # many reads and writes
    stream = connect_counted(loop, listener.address, Discard(), S, lambda s: s.write(b"x" * size), near)
    until(loop, lambda: near.bytes_in >= size)
    assert (near.bytes_out, far.bytes_in, far.bytes_out, near.bytes_in) == (size,) * 4
    stream.abort()
    stream.write(b"late")
    assert near.bytes_out == size
    accepted[0].abort()
    listener.close()
    loop.close()


def test_a_daemon_and_its_nodes_count_the_same_bytes_and_messages(world: World) -> None:
    daemon = world.daemon()
    for at in range(5):
        world.submit(service=f"service-{at}")
    world.until(lambda: sum(record.state == "R" for record in daemon.jobs.by_id.values()) == 5)
    world.until(lambda: not daemon.context.links.connections)
    ours = daemon.context.traffic
    agents = list(world.agents.values())

    def of_nodes(name: str, kind: str = "scheduler") -> int:
        return sum(getattr(agent.traffic.of(kind), name) for agent in agents)

    node, directory = ours.of("node"), world.directory.traffic

    def settled() -> bool:
        """Return whether each end has read all that the other sent."""
        pairs = (
            (node.messages_out, of_nodes("messages_in")),
            (node.bytes_out, of_nodes("bytes_in")),
            (of_nodes("messages_out"), node.messages_in),
            (of_nodes("bytes_out"), node.bytes_in),
            (directory.of("scheduler").bytes_out, ours.of("directory").bytes_in),
            (directory.of("scheduler").messages_out, ours.of("directory").messages_in),
            (of_nodes("bytes_out", "directory"), directory.of("node").bytes_in),
            (of_nodes("messages_out", "directory"), directory.of("node").messages_in),
        )
        return all(sent == read > 0 for sent, read in pairs)

    world.until(settled)
    # Each of the five offers is Queue Job, Job Script and Commit; each node was asked once for its runs.
    assert node.messages_out == 5 * 3 + len(agents)
    assert ours.of("client").messages_in >= 5 * 3
    assert directory.of("scheduler").messages_in == ours.of("directory").messages_out == 1
    page = daemon.metrics.render_page()[2].decode()
    assert f'ladderhub_messages_total{{direction="out",kind="node"}} {float(node.messages_out)}' in page
    assert f'ladderhub_bytes_total{{direction="out",kind="node"}} {float(node.bytes_out)}' in page


def test_the_metrics_page_gives_processor_time_by_cause(world: World) -> None:
    daemon = world.daemon()
    page = daemon.metrics.render_page()[2].decode()
    rows = [line for line in page.splitlines() if line.startswith("ladderhub_processor_seconds_total{")]
    causes = {row.partition('cause="')[2].partition('"')[0] for row in rows}
    assert causes == {"jobs", "lists", "peers", "configuration", "log_metrics", "other"}


def test_the_directory_writes_its_statistics_when_it_is_ended(tmp_path: Path) -> None:
    port, path = free_port(), tmp_path / "stats.json"
    argv = build_module_command(
        "ladderhub", "directory", "--listen", f"127.0.0.1:{port}", "--delay", "0", "--stats", str(path)
    )
    process = subprocess.Popen(argv, stderr=subprocess.PIPE)
    assert process.stderr is not None
    assert b"ready" in process.stderr.readline()
    entry = Entry("n1", "127.0.0.1:1", "large", "r1", "z1", 1)
    registered, watched = encode(Register(entry)), encode(Watch("s1"))
    with (
        socket.create_connection(("127.0.0.1", port)) as node,
        socket.create_connection(("127.0.0.1", port)) as scheduler,
    ):
        node.sendall(registered)
        scheduler.sendall(watched)
        heard = scheduler.makefile("rb").readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    process.stderr.close()
    stats: DirectoryStats = msgspec.json.decode(path.read_bytes(), type=DirectoryStats)
    assert stats.traffic["node"]["bytes_in"] == len(registered)
    assert stats.traffic["node"]["messages_in"] == 1
    assert stats.traffic["scheduler"]["bytes_in"] == len(watched)
    assert stats.traffic["scheduler"]["bytes_out"] == len(heard)
    assert (stats.rows, stats.changes, stats.lists, stats.rows_sent) == (1, 1, 1, 1)
    assert stats.log_entries_walked > 0 and stats.processor_seconds > 0


def test_a_node_host_writes_its_statistics_beside_its_times(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as directory:
        plan = {
            "directory": directory.getsockname(), "admit_cores": 1.0, "admit_memory": 1.0, "warm_ns": 1,
            "cold_times": 1.0,
            "nodes": [{"name": "n1", "kind": "k", "cores": 1, "memory": 1, "rack": "r", "seed": 1}],
        }  # fmt: skip
        path, out = tmp_path / "plan.json", tmp_path / "out.json"
        path.write_text(json.dumps(plan))
        process = subprocess.Popen(build_module_command("ladderhub.lab.nodehost", str(path), str(out)))
        sock, _ = directory.accept()
        lines = sock.makefile("rb")
        first = lines.readline()
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        rest = lines.read()
        lines.close()
        sock.close()
    stats = json.loads((tmp_path / "out.json.stats").read_text())
    assert stats["nodes"] == 1 and stats["starts"] == 0
    assert stats["traffic"]["directory"]["bytes_out"] == len(first) + len(rest)
    assert stats["traffic"]["directory"]["messages_out"] == 1 + rest.count(b"\n")
