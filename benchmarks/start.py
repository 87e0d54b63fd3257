"""Cost of a start on the users' platform by size of the fleet: `python benchmarks/start.py [MACHINES ...]`.

Not run in CI.  Starts the process with a configuration of MACHINES machines, ends it by SIGTERM after its
first second, and prints the total processor time and the resident memory that it reports.

`python benchmarks/start.py --together N [MACHINES]` starts N processes at once on one processor, without a
journal, and prints the time from the first start until each answers its first ping.
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
REPEATS = 5


def build_configuration(machines: int, listen: str, journal: str) -> dict[str, object]:
    """Build the configuration of a process with this many machines."""
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


def measure_start(machines: int, folder: Path) -> tuple[float, float]:
    """Return the processor time in ms from start to end, and the resident memory in MB."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    listen, journal = ("{}:{}".format(*each.getsockname()) for each in sockets)
    sockets[0].close()
    path = folder / "config.json"
    path.write_text(json.dumps(build_configuration(machines, listen, journal)))
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
    sockets[1].close()
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return 1000 * (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime), resident


def measure_concurrent_starts(count: int, machines: int, folder: Path) -> list[float]:
    """Return the sorted seconds from the first start until each process answers a ping."""
    os.sched_setaffinity(0, {min(os.sched_getaffinity(0))})
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count + 1)]
    journal, *addresses = [each.getsockname() for each in sockets]
    for each in sockets:
        each.close()
    children, begun = [], time.monotonic()
    for at, address in enumerate(addresses):
        path, listen = folder / f"{at}.json", "{}:{}".format(*address)
        path.write_text(json.dumps(build_configuration(machines, listen, "{}:{}".format(*journal))))
        environment = os.environ | {"PROXY_CONFIG": str(path), "PROXY_LISTEN": listen, "PROXY_NAME": f"n{at}"}
        argv = [sys.executable, "-m", "ladderhub", "platform"]
        children.append(subprocess.Popen(argv, cwd=ROOT, stderr=subprocess.DEVNULL, env=environment))
    ready_s: list[float] = []
    waiting = list(addresses)
    while waiting and time.monotonic() - begun < 60:
        for address in list(waiting):
            try:
                with socket.create_connection(address, timeout=5) as sock:
                    sock.sendall(b'{"type":"ping","id":"0000000000000000","cause":0}\n')
                    if b'"pong"' in sock.recv(200):
                        ready_s.append(time.monotonic() - begun)
                        waiting.remove(address)
            except OSError:
                time.sleep(0.005)
    for child in children:
        child.terminate()
        child.wait()
    return ready_s


def main(sizes: list[int]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for machines in sizes or [100, 400, 1024]:
            results = [measure_start(machines, Path(folder)) for _ in range(REPEATS)]
            median_ms = sorted(spent for spent, _ in results)[REPEATS // 2]
            memory = max(resident for _, resident in results)
            print(
                f"{machines} machines: {median_ms:.0f} ms of processor time (median of {REPEATS}), "
                f"{memory} MB"
            )


if __name__ == "__main__":
    if sys.argv[1:2] == ["--together"]:
        count, machines = int(sys.argv[2]), int(sys.argv[3]) if len(sys.argv) > 3 else 400
        with tempfile.TemporaryDirectory() as found:
            times = measure_concurrent_starts(count, machines, Path(found))
        print(f"{len(times)} of {count} ready, s: median {times[len(times) // 2]:.2f}, most {times[-1]:.2f}")
    else:
        main([int(word) for word in sys.argv[1:]])
