"""Signals, start and end of one scheduler, also as a process."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.ports import free_port, own_host
from ladderhub.signalling import Kind, Message, encode_line
from tests.platform.bed import NEVER_RAN_CAUSES
from tests.platform.bed import Owner, S
from tests.platform.bed import ignore_all, release, settings

ROOT = Path(__file__).parents[2]


def start_process(folder: Path, **changes: Any) -> tuple[subprocess.Popen[str], int]:
    port = free_port()
    file = {"journal": f"127.0.0.1:{free_port()}", "settings": settings(), "known": {"pos": 0, "entries": []}}
    (folder / "c.json").write_text(json.dumps(file))
    environment = os.environ | {
        "PROXY_NAME": "n0", "PROXY_LISTEN": f"127.0.0.1:{port}", "PROXY_CONFIG": str(folder / "c.json"),
    } | changes  # fmt: skip
    argv = [sys.executable, "-m", "ladderhub", "platform"]
    child = subprocess.Popen(argv, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)
    return child, port


def test_after_sigterm_set_ups_are_served_for_as_long_as_they_may_come_and_then_refused(beds: Any) -> None:
    bed = beds(ignore_all)
    owner, late = Owner(bed), bed.setup()
    first, second = bed.setup(left=3000), bed.setup(left=3000)
    owner.send(first)
    bed.run(lambda: bed.machine_messages)
    bed.service.stop()
    owner.send(Message(Kind.PING, "0" * 16, 0), second)
    bed.run(lambda: len(bed.machines[0].received(Kind.SETUP)) == 2)
    assert owner.received(Kind.PONG)[0].cause == 0
    bed.run(span_ns=S)
    owner.send(late)
    bed.run(lambda: owner.received(Kind.RELEASE))
    assert [(m.id, m.cause) for m in owner.received(Kind.RELEASE)] == [(late.id, 42)]
    assert not [row for row in bed.logged if row["event"] == "stopped"]
    for id in (first.id, second.id):
        bed.machines[0].conns[0].send(release(id, 34))
    bed.run(span_ns=3 * S)
    assert len(owner.received(Kind.RELEASE)) == 3 and owner.closed
    assert [row for row in bed.logged if row["event"] == "stopped"]


def test_a_process_serves_and_ends_on_sigterm_with_all_set_ups_answered(tmp_path: Path) -> None:
    child, port = start_process(tmp_path)
    assert child.stderr is not None
    assert json.loads(child.stderr.readline())["event"] == "ready"
    fields: dict[str, str | int | float] = {"class": "web", "left": "1500", "tenant": "north", "key": "k"}
    fields["extras"] = "cores:1;memory:1;service:s"
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(20)
        lines = sock.makefile("rb")
        sock.sendall(encode_line(Message(Kind.PING, "0" * 16, 0)))
        assert json.loads(lines.readline())["type"] == "pong"
        (tmp_path / "c.json").write_text("{half")
        child.send_signal(signal.SIGHUP)  # an invalid file changes nothing
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            child.send_signal(number)
        sock.sendall(encode_line(Message(Kind.SETUP, "a" * 16, None, "x", fields)))
        row = json.loads(lines.readline())
        assert (row["type"], row["id"], row["cause"] in NEVER_RAN_CAUSES) == ("release", "a" * 16, True)
        assert lines.readline() == b""
    assert child.wait(20) == 0
    child.stderr.close()


@pytest.mark.parametrize(
    ("changes", "status", "said"),
    [
        ({"PROXY_CONFIG": ""}, 2, "PROXY_CONFIG: not set; the path"),
        ({"PROXY_CONFIG": "/nowhere.json"}, 2, "/nowhere.json"),
        ({"PROXY_LISTEN": "here"}, 2, "found 'here'; HOST:PORT is meant"),
        ({"PROXY_LISTEN": "192.0.2.1:1"}, 1, "PROXY_LISTEN"),
    ],
)
def test_a_failed_start_is_explained_in_one_line(
    tmp_path: Path, changes: dict[str, str], status: int, said: str
) -> None:
    child, _ = start_process(tmp_path, **changes)
    _, text = child.communicate(timeout=20)
    assert child.returncode == status and said in text
    assert len(text.splitlines()) == 1


def test_a_start_waits_for_a_port_that_its_predecessor_still_holds(tmp_path: Path) -> None:
    # Guards against a restart that fails because the previous process has not quite ended.
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((own_host(), 0))  # an address and port that no other test uses
        holder.listen()
        child, _ = start_process(tmp_path, PROXY_LISTEN=":".join(map(str, holder.getsockname())))
        assert child.stderr is not None
        assert json.loads(child.stderr.readline())["event"] == "listen.taken"
    events = iter(json.loads(line)["event"] for line in child.stderr)
    assert "ready" in events
    child.send_signal(signal.SIGTERM)
    assert "stopped" in events and child.wait(20) == 0
    child.stderr.close()


def test_signals_until_the_last_moment_of_a_stop_end_no_process_by_a_signal(tmp_path: Path) -> None:
    # Guards against a stop that looks like a crash: the interpreter resets signal handlers when it exits.
    child, _ = start_process(tmp_path)
    assert child.stderr is not None
    while "ready" not in child.stderr.readline():
        pass
    child.send_signal(signal.SIGTERM)
    while "stopped" not in child.stderr.readline():
        pass
    while child.poll() is None:
        for number in (signal.SIGHUP, signal.SIGTERM):
            child.send_signal(number)
    assert child.returncode == 0


SLOW_IMPORT = """
import os, sys, time

class SlowFinder:
    def find_spec(self, name, path=None, target=None):
        if name == "msgspec":
            open(os.environ["IMPORTS"], "w").close()
            while not os.path.exists(os.environ["GOES_ON"]):
                time.sleep(0.001)

sys.meta_path.insert(0, SlowFinder())
"""


def test_signals_while_a_process_starts_are_kept_until_it_can_handle_them(tmp_path: Path) -> None:
    # Guards against a SIGHUP that ends a starting process, because it arrives while modules are imported.
    (tmp_path / "sitecustomize.py").write_text(SLOW_IMPORT)
    imports, goes_on = tmp_path / "imports", tmp_path / "goes_on"
    child, _ = start_process(tmp_path, PYTHONPATH=str(tmp_path), IMPORTS=str(imports), GOES_ON=str(goes_on))
    while not imports.exists():
        assert child.poll() is None
    child.send_signal(signal.SIGHUP)
    child.send_signal(signal.SIGTERM)
    goes_on.touch()
    _, log = child.communicate(timeout=60)
    assert child.returncode == 0 and '"stopped"' in log
