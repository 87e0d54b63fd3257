"""`ladderhub demo`: starts a small fleet and shows how jobs are placed, cancelled and refused."""

from __future__ import annotations

import re
import signal
import tempfile
from pathlib import Path
from typing import Any

from ladderhub.lab.fleet import Fleet
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings

S = 1_000_000_000
EMULATED = EmulatedSettings(warm_ns=40_000_000, cold_times=6.0, life_ns=(2 * S, 3 * S))
LONG_LIFE = "#PBS -v EMULATE_LIFE=60\n"  # on a slow machine the job must still run when it is cancelled
_SCRIPT = "#!/bin/sh\n#PBS -N {name}\n#PBS -q {queue}\n#PBS -l ncpus={cpus},mem={mem}\n{body}\n"


def build_script(name: str, queue: str, cpus: str, mem: str, body: str) -> str:
    """Build a job script."""
    return _SCRIPT.format(name=name, queue=queue, cpus=cpus, mem=mem, body=body)


def _shorten_limits(settings: dict[str, Any]) -> None:
    """Shorten the time after which an unplaced job is refused, so that the demo ends soon."""
    settings["queues"]["mail"] |= {"limit": "5s", "deadline": "2s"}


def run_demo(keep: bool, schedulers: int) -> int:
    """Run the demo, or with `keep` a fleet until a signal comes; return the exit status, 0 on success."""
    loop = Loop()
    with tempfile.TemporaryDirectory(prefix="ladderhub-demo-") as folder:
        fleet = Fleet(
            loop, Path(folder), nodes=8, schedulers=schedulers, runner="real" if keep else "emulated",
            emulated=EMULATED, change=_shorten_limits,
        )  # fmt: skip
        try:
            fleet.start()
            return _serve_until_signal(loop, fleet) if keep else _run_steps(fleet)
        finally:
            fleet.close()


def _serve_until_signal(loop: Loop, fleet: Fleet) -> int:
    first = next(iter(fleet.schedulers.values()))
    print("PBS_SERVER={}:{}".format(*first.public), flush=True)
    print(f"{len(fleet.schedulers)} schedulers, {len(fleet.nodes)} nodes; export the line above, then try:")
    print("  echo 'echo hello; sleep 30' | qsub -N hello -q batch; qstat; qstat -f; pbsnodes -a", flush=True)
    loop.on_signal(signal.SIGINT, loop.stop)
    loop.on_signal(signal.SIGTERM, loop.stop)
    loop.run()
    return 0


def _run_steps(fleet: Fleet) -> int:
    name = next(iter(fleet.schedulers))
    print(f"{len(fleet.schedulers)} schedulers, 1 directory, {len(fleet.nodes)} nodes are up on 127.0.0.1\n")
    steps = [
        ("three services, one of them never to be started twice", [
            build_script("shop", "web", "1", "2gb", LONG_LIFE + "sleep 3"),
            build_script("nightly", "batch", "2", "2gb", "sleep 2"),
            build_script("invoices", "billing", "1", "2gb", "sleep 3"),
        ]),
    ]  # fmt: skip
    jobs: list[str] = []
    for title, scripts in steps:
        print(f"# submitted: {title}")
        for text in scripts:
            status, out = fleet.run_command(name, ["qsub", "-A", "north"], text)
            print(f"$ qsub   ->  {out.strip()}")
            if status:
                return 1
            jobs.append(out.strip())
    fleet.run_for(1 * S)
    print("\n# where they were placed")
    _, out = fleet.run_command(name, ["qstat", "-n"])
    print(out)
    print("# one is cancelled")
    status, out = fleet.run_command(name, ["qdel", "-v", jobs[0]])
    print(f"$ qdel {jobs[0]}   ->  {out.strip() or 'done'}\n")
    if status:
        return 1
    print("# no room: every node refuses the tenant «south», and says why")
    for agent in fleet.nodes.values():
        agent.full_for = frozenset({"south"})
    status, out = fleet.run_command(
        name, ["qsub", "-A", "south", "-W", "block=true"],
        build_script("depot", "mail", "1", "1gb", "sleep 1"),
    )  # fmt: skip
    print(f"$ qsub -W block=true   ->  exit status {status}\n{out.strip()}\n")
    refused = bool(re.search(r"refused: .*no room for south", out))
    print("# asked for more than any node has")
    status, out = fleet.run_command(name, ["qsub"], build_script("huge", "batch", "999", "1gb", "true"))
    print(f"$ qsub   ->  exit status {status}: {out.strip()}\n")
    fleet.run_for(3 * S)
    print("# what became of them")
    _, out = fleet.run_command(name, ["qstat", "-x"])
    print(out)
    _, table = fleet.run_command(name, ["qstat", "-x", "-f", "-F", "json"])
    import json

    rows = json.loads(table)["Jobs"]
    answers = [rows[job]["placement"] for job in jobs]
    succeeded = answers == ["placed"] * 3 and refused and status == 2
    print(
        "all as it should be"
        if succeeded
        else f"not as it should be: {answers}, refused with reason: {refused}"
    )
    return 0 if succeeded else 1
