"""Cost of a start on the users' platform by size of the fleet: `python benchmarks/start.py [MACHINES ...]`.

Outside CI.  Starts the process with a configuration of so many machines, ends it by SIGTERM after its first
second, and prints the processor time of the whole life and the resident memory that it reports.

`python benchmarks/start.py --together N [MACHINES]` starts N on one processor at once, the journal down, and
prints the time from the first start until each passes its first test.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
TRIES = 5


def configuration(machines: int, listen: str, journal: str) -> dict[str, object]:
    rows = [
        {
            "name": f"s-{at:08x}", "address": f"127.1.{at // 250}.{at % 250 + 1}:2905", "zone": "room",
            "type": "small", "group": at // 6, "status": "ready", "weight": 1, "since_ms": 0,
            "left_over": [16, 32],
        }
        for at in range(machines)
    ]  # fmt: skip
    return {
        "name": "n0", "listen": listen, "seed": "0a", "limits": {"sockets": 1024}, "journal": journal,
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"snapshot": True, "endpoints": rows}}]},
        "settings": {
            "balancers": 16, "ceilings": {"most-tries": 3}, "models": ["small"], "zones": ["room"],
            "classes": [
                {"name": "web", "effect": "read_like", "promise-ns": 10**9, "deadline-ns": 5 * 10**9}
            ],
            "realms": [{"name": "north", "portion": 1.0}],
            "rules": {"drain-grace-ns": 10**9, "cold-from": 0.2, "cold-ns": 10**10, "fall-ns": 10**9},
            "specifics": {
                "admit-cores": 2.0, "admit-memory": 1.5, "confirms": "running", "size-cores": [16],
                "size-memory": [32.0], "view": True, "cold-sends": 40.0,
            },
            "tick-ns": 10**6,
        },
    }  # fmt: skip


def start(machines: int, folder: Path) -> tuple[float, float]:
    """Processor time in ms from exec to the end, and resident memory in MB."""
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    listen, journal = ("{}:{}".format(*each.getsockname()) for each in free)
    free[0].close()
    path = folder / "config.json"
    path.write_text(json.dumps(configuration(machines, listen, journal)))
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    child = subprocess.Popen(
        [sys.executable, "-m", "ladderhub", "platform"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env=os.environ | {"PROXY_CONFIG": str(path), "PROXY_LISTEN": listen, "PROXY_NAME": "n0"},
    )  # fmt: skip
    assert child.stderr is not None
    resident = 0.0
    for line in child.stderr:
        row = json.loads(line)
        if row["event"] == "second":
            resident = row["rss_mb"]
            child.send_signal(signal.SIGTERM)
    child.wait()
    free[1].close()
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return 1000 * (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime), resident


def together(count: int, machines: int, folder: Path) -> list[float]:
    """Seconds from the first start until each has passed a test, in order."""
    os.sched_setaffinity(0, {min(os.sched_getaffinity(0))})
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(count + 1)]
    journal, *addresses = [each.getsockname() for each in free]
    for each in free:
        each.close()
    children, begun = [], time.monotonic()
    for at, address in enumerate(addresses):
        path, listen = folder / f"{at}.json", "{}:{}".format(*address)
        path.write_text(json.dumps(configuration(machines, listen, "{}:{}".format(*journal))))
        environment = os.environ | {"PROXY_CONFIG": str(path), "PROXY_LISTEN": listen, "PROXY_NAME": f"n{at}"}
        argv = [sys.executable, "-m", "ladderhub", "platform"]
        children.append(subprocess.Popen(argv, cwd=ROOT, stderr=subprocess.DEVNULL, env=environment))
    passed: list[float] = []
    waiting = list(addresses)
    while waiting and time.monotonic() - begun < 60:
        for address in list(waiting):
            try:
                with socket.create_connection(address, timeout=5) as sock:
                    sock.sendall(b'{"type":"ping","id":"0000000000000000","cause":0}\n')
                    if b'"pong"' in sock.recv(200):
                        passed.append(time.monotonic() - begun)
                        waiting.remove(address)
            except OSError:
                time.sleep(0.005)
    for child in children:
        child.terminate()
        child.wait()
    return passed


def main(sizes: list[int]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for machines in sizes or [100, 400, 1024]:
            took = [start(machines, Path(folder)) for _ in range(TRIES)]
            middle = sorted(spent for spent, _ in took)[TRIES // 2]
            memory = max(resident for _, resident in took)
            print(f"{machines} machines: {middle:.0f} ms of processor time (median of {TRIES}), {memory} MB")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--together"]:
        count, machines = int(sys.argv[2]), int(sys.argv[3]) if len(sys.argv) > 3 else 400
        with tempfile.TemporaryDirectory() as found:
            times = together(count, machines, Path(found))
        print(f"{len(times)} of {count} ready, s: median {times[len(times) // 2]:.2f}, most {times[-1]:.2f}")
    else:
        main([int(word) for word in sys.argv[1:]])
