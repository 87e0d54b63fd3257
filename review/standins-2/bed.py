"""What the cases of this review share: the record, one scheduler, machines, a journal service and owners.

The scheduler is the line `run` of deploy/balancer.toml, started from the root.  All addresses are on
loopback, the clock is the real one, the configuration lies in a temporary folder.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import wire

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses.  Not 1, with which the interpreter ends where a test fails by itself: run.sh turns 10 into 1.
HELD, BROKEN, NOT_RUN = 0, 10, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS, S = 1_000_000, 1_000_000_000
SLACK_S = 0.05  # "each time limit being 50 ms longer"


children: list[subprocess.Popen[Any]] = []  # all processes that were started


class NotRun(Exception):
    """The case could not run."""


class Record:
    """record.txt: what was sent, answered and run, in order."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock, self._began = threading.Lock(), time.time()

    def __call__(self, text: str, at: float | None = None) -> None:
        with self._lock:
            self._file.write(f"{(at or time.time()) - self._began:9.3f}  {text}\n")
            self._file.flush()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: a class that may be repeated and two that may not."""
    row: dict[str, Any] = {
        "balancers": 1, "ordinal": 0, "discovery": "automatic", "family": "place", "tick-ns": 2 * MS,
        "zones": ["room"], "my-zone": 0, "models": ["small", "large"],
        "realms": [{"name": "north", "portion": 1.0}],
        "ceilings": {
            "cancelling": True, "conn-idle-ns": 30 * S, "dial-timeout-ns": 250 * MS, "most-tries": 3,
            "retry-after": True, "max-retry-after-ns": 3 * S,
        },
        "classes": [
            {"name": "orders", "effect": "read_like", "promise-ns": 800 * MS, "deadline-ns": 8 * S,
             "worth": 3.0},
            {"name": "billing", "effect": "non_idempotent", "promise-ns": 800 * MS, "deadline-ns": 6 * S,
             "worth": 3.0},
            {
                "name": "ledger", "effect": "non_idempotent", "promise-ns": 5500 * MS, "deadline-ns": 10 * S,
                "worth": 9.0,
            },
        ],
        "prices": {"moves": 0.05, "waste": 0.03},
        "rules": {
            "cold-from": 0.2, "cold-ns": 18 * S, "drain-grace-ns": 500 * MS, "fall-multiple": 2.0,
            "fall-ns": 3 * S,
        },
        "specifics": {
            "admit-cores": 2.5, "admit-memory": 1.5, "calm-level": [0.8, 0.8], "class-most": [2, 2],
            "class-priority": [1, 2], "class-start-s": [10.0, 12.0], "cold-sends": 100.0,
            "confirms": "running", "fades-over": [0.2, 0.2], "needs-kind": [-1, -1], "settle-ns": 3 * S,
            "size-cores": [36, 60],
            "size-memory": [64.0, 96.0], "spread-over": ["none", "none"], "view": True,
        },
    }  # fmt: skip
    for name, value in changes.items():
        row["specifics"][name.replace("_", "-")] = value
    return row


class Machines:
    """Machine stand-ins, a process for each `per_process` of them, and what they reported."""

    def __init__(self, record: Record, count: int, per_process: int = 1) -> None:
        self.record, self.addresses = record, {}
        self.reports: list[dict[str, Any]] = []
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.proxies: dict[str, str] = {}  # addresses to list in place of the machine's own
        self._lock = threading.Lock()
        for first in range(0, count, per_process):
            size = min(per_process, count - first)
            argv = [sys.executable, str(Path(__file__).with_name("machines.py")), str(size), str(first)]
            child = subprocess.Popen(argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
            children.append(child)
            for number in range(first, first + size):
                self.processes[f"m{number}"] = child
            threading.Thread(target=self._read, args=(child,), daemon=True).start()
        wait_for(lambda: len(self.addresses) == count, 20, "the machines")

    def _read(self, child: subprocess.Popen[str]) -> None:
        assert child.stdout is not None
        for text in child.stdout:
            row = json.loads(text)
            if row["event"] == "listens":
                self.addresses[row["machine"]] = row["address"]
                continue
            with self._lock:
                self.reports.append(row)
            told = " ".join(str(row[name]) for name in ("event", "task", "key", "klass") if name in row)
            self.record(f"{row['machine']}: {told}", row["at"])

    def find(self, event: str, **wanted: str) -> list[dict[str, Any]]:
        """The reports of this kind, in order."""
        with self._lock:
            rows = list(self.reports)
        return [
            row for row in rows if row["event"] == event and all(row.get(k) == v for k, v in wanted.items())
        ]

    def where(self, task: str) -> str:
        """The machine that reported that it runs this task."""
        return str(self.find("runs", task=task)[-1]["machine"])

    def runs(self, task: str) -> bool:
        """Whether the task runs somewhere, by the machines' own word."""
        over = len(self.find("ended", task=task)) + len(self.find("cut", task=task))
        return len(self.find("runs", task=task)) > over

    def stop(self, name: str) -> None:
        """End the process of a machine, and with it what runs there."""
        self.record(f"{name}: its process ends")
        self.processes[name].kill()

    def end(self, task: str) -> None:
        """Have a task come to its end."""
        name = self.where(task)
        stdin = self.processes[name].stdin
        assert stdin is not None
        stdin.write(f"end {name} {task}\n")
        stdin.flush()

    def row(self, name: str, status: str = "ready", since_ms: int = 0) -> dict[str, Any]:
        """The machine's entry in the list."""
        number = int(name[1:])
        kind, cores, memory = ("large", 150, 144) if number % 2 else ("small", 90, 96)
        return {
            "name": name, "address": self.proxies.get(name, self.addresses[name]), "zone": "room",
            "type": kind, "group": number % 4, "status": status, "weight": 1, "since_ms": since_ms,
            "left_over": [cores, memory],
        }  # fmt: skip


def event(pos: int, rows: list[dict[str, Any]], full: bool = False) -> dict[str, Any]:
    return {"pos": pos, "hosts": {"index": pos, "snapshot": full, "endpoints": rows}}


class Journal:
    """The journal service: `delay_s` passes before it answers a `tail`; then events at once, and each second
    the number of the last one."""

    def __init__(self, record: Record, name: str, pos: int, delay_s: float = 0.0) -> None:
        self.record, self.name, self.first, self.delay_s = record, name, pos, delay_s
        self.events: list[dict[str, Any]] = []
        self.moved = False  # nothing more is told
        self._conns: list[socket.socket] = []
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(64)
        self.address = "{}:{}".format(*self._sock.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            order = conn.makefile("rb").readline().decode()
            self.record(f"{self.name}: heard {order.strip()!r}")
            told, next_line = int(order.split()[1]), 0.0
            time.sleep(self.delay_s)
            while not self.moved:
                for each in list(self.events):
                    if each["pos"] > told:
                        conn.sendall(json.dumps(each).encode() + b"\n")
                        told = each["pos"]
                        self.record(f"{self.name}: told event {told}")
                if time.time() >= next_line:
                    next_line = time.time() + 1
                    conn.sendall(b"%d\n" % told)
                time.sleep(0.02)
        except (OSError, IndexError, ValueError):
            self.record(f"{self.name}: the scheduler closed the connection")

    def move_away(self) -> None:
        """A new configuration names another address: accept and tell nothing more, close after 1.5 s."""
        self.moved = True
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        threading.Timer(1.5, lambda: [conn.close() for conn in self._conns]).start()


class Owner:
    """One connection of an owner.  It confirms each release that it hears."""

    def __init__(self, record: Record, address: tuple[str, int], name: str = "owner") -> None:
        self.record, self.name = record, name
        self.heard: list[tuple[float, dict[str, Any]]] = []
        self.closed = False
        self._lock = threading.Lock()
        self.sock = socket.create_connection(address, 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        try:
            for text in self.sock.makefile("rb"):
                row = json.loads(text)
                self.heard.append((time.time(), row))
                if row["type"] in ("answer", "release", "released", "move"):
                    more = f" cause {row['cause']}" if "cause" in row else f" {row.get('sdp', '')}"
                    self.record(f"{self.name}: heard {row['type']} {row['id']}{more}")
                if row["type"] == "release":
                    self.send(wire.line("released", row["id"]))
        except (OSError, ValueError):
            pass
        self.closed = True

    def send(self, data: bytes) -> None:
        with self._lock:
            try:
                self.sock.sendall(data)
            except OSError:
                self.closed = True

    def find(self, kind: str, task: str) -> list[tuple[float, dict[str, Any]]]:
        return [(at, row) for at, row in list(self.heard) if row["type"] == kind and row["id"] == task]

    def ping(self) -> None:
        self.send(wire.line("ping", "0" * 16, cause=0))

    def setup(
        self, klass: str, key: str, service: str, task: str = "", at: str = "", left_ms: int = 5000,
        cores: float = 0.5, memory: float = 0.5,
    ) -> str:  # fmt: skip
        """Ask for a task, or with `at` hand over one that a machine holds; the id."""
        task = task or os.urandom(8).hex()
        extras = f"cores:{cores};memory:{memory};service:{service}" + (f";at:{at}" if at else "")
        fields = {"class": klass, "left": str(left_ms), "tenant": "north", "key": key, "extras": extras}
        self.record(f"{self.name}: set-up {task} {klass} key {key}" + (f" at {at}" if at else ""))
        self.send(wire.line("setup", task, fields=fields, sdp=f"key {key}\r\n"))
        return task

    def release(self, task: str, cause: int) -> None:
        self.record(f"{self.name}: release {task} cause {cause}")
        self.send(wire.line("release", task, cause=cause))

    def close(self) -> None:
        self.sock.close()


def wait_for(check: Callable[[], object], limit_s: float, what: str) -> None:
    """Wait until the check holds; NotRun if it does not in time."""
    until = time.time() + limit_s
    while not check():
        if time.time() > until:
            raise NotRun(f"waited {limit_s} s in vain for {what}")
        time.sleep(0.01)


class Scheduler:
    """One scheduler, started by the line `run` of the deploy file."""

    def __init__(
        self, record: Record, machines: Machines, journal: str, sockets: int = 1024,
        given: dict[str, Any] | None = None,
    ) -> None:  # fmt: skip
        self.record, self.folder = record, tempfile.TemporaryDirectory()
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.address: tuple[str, int] = sock.getsockname()
        self.path = Path(self.folder.name) / "config.json"
        self.log_path = Path(self.folder.name) / "log"
        rows = [machines.row(name) for name in machines.addresses]
        self.config: dict[str, Any] = {
            "name": "n1", "listen": "{}:{}".format(*self.address), "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "journal": journal,
            "known": {"pos": 1, "entries": [event(1, rows, full=True)]}, "settings": given or settings(),
        }  # fmt: skip
        self.write_config()
        self.child = self.start()

    def write_config(self, **changes: Any) -> None:
        """Replace the configuration file, in one step."""
        self.config |= changes
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.rename(self.path)

    def start(self) -> subprocess.Popen[bytes]:
        """Start the program and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "PROXY_NAME": "n1", "PROXY_LISTEN": self.config["listen"], "PROXY_CONFIG": str(self.path),
            "TMPDIR": self.folder.name,
        }  # fmt: skip
        with self.log_path.open("ab") as log:
            begin = log.tell()
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        children.append(self.child)
        self.record("the scheduler is started")
        wait_for(lambda: b'"event":"ready"' in self.log_path.read_bytes()[begin:], 30, "the scheduler")
        return self.child

    def signal(self, number: signal.Signals) -> None:
        self.record(f"the scheduler is sent {number.name}")
        self.child.send_signal(number)

    def copy_log(self) -> None:
        """Put what the scheduler logged, less its lines of each second, at the end of the record."""
        for text in self.log_path.read_text(errors="replace").splitlines():
            if '"event":"second"' not in text and '"event":"machines"' not in text:
                self.record(f"log: {text[:300]}")


def front(record: Record, scheduler: Scheduler, name: str = "owner") -> Owner:
    """A connection of the front, after its first test has passed."""
    owner = Owner(record, scheduler.address, name)
    owner.ping()
    wait_for(
        lambda: [row for _, row in owner.heard if row["type"] == "pong" and row["cause"] == 1], 10, "a test"
    )
    return owner


def play(path: Path, case: Callable[[Record, list[Any]], tuple[int, str]]) -> None:
    """Play a case, write its record to `path`, end all processes, and end with its status.  `case` appends
    its machines and its scheduler to the list."""
    record, started = Record(path), []

    def stop(number: int, frame: object) -> None:
        raise NotRun(f"stopped by signal {number}")

    for each in (signal.SIGINT, signal.SIGTERM):
        signal.signal(each, stop)
    try:
        status, verdict = case(record, started)
    except Exception as fault:
        status, verdict = NOT_RUN, f"the case could not run: {fault!r}"
    for child in reversed(children):  # the scheduler first
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
            child.kill()
        child.wait()
    for each in started:
        if isinstance(each, Scheduler):
            each.copy_log()
            each.folder.cleanup()
    record(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(status)
