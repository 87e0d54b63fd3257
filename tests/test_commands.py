"""The commands as separate processes against real daemons, also after a daemon was killed."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from ladderhub.lab.fleet import MS, S, Fleet
from ladderhub.lab.process import build_module_command
from ladderhub.loop import Loop
from ladderhub.node.runners import EmulatedSettings

LONG_JOBS = EmulatedSettings(warm_ns=20 * MS, cold_times=2.0, life_ns=(60 * S, 60 * S))


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(Loop(), tmp_path, nodes=3, schedulers=1, emulated=LONG_JOBS, list_delay_ns=0)
    try:
        made.start()
        yield made
    finally:
        made.close()


@pytest.fixture
def real(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(Loop(), tmp_path, nodes=2, schedulers=1, runner="real", list_delay_ns=0)
    try:
        made.start()
        yield made
    finally:
        made.close()


def run(fleet: Fleet, *argv: str, script: str = "") -> str:
    status, out = fleet.run_command("sched0", list(argv), script)
    assert status == 0, out
    return out.strip()


def read_job(fleet: Fleet, job: str) -> dict[str, Any]:
    rows = json.loads(run(fleet, "qstat", "-x", "-f", "-F", "json", job))["Jobs"]
    found: dict[str, Any] = rows[job]
    return found


def wait_for_state(fleet: Fleet, job: str, letter: str) -> dict[str, Any]:
    for _ in range(100):
        row = read_job(fleet, job)
        if row["job_state"] == letter:
            return row
        fleet.run_for(50 * MS)
    raise AssertionError(f"{job} is not {letter}: {row}")


def test_the_commands_from_submit_to_end(fleet: Fleet) -> None:
    job = run(
        fleet, "qsub", "-N", "mine", "-q", "billing", "-A", "north", script="#PBS -N other\n#PBS -l mem=2gb\n"
    )
    assert re.fullmatch(r"\d+\.sched0", job)
    row = wait_for_state(fleet, job, "R")
    assert (row["Job_Name"], row["queue"], row["placement"]) == ("mine", "billing", "placed")
    assert "mine" in run(fleet, "qstat") and job in run(fleet, "qstat", "-f")
    assert run(fleet, "qselect", "-q", "billing", "-s", "R", "-l", "mem.ge.2gb") == job
    assert run(fleet, "qselect", "-l", "mem.gt.2gb") == ""
    assert "billing" in run(fleet, "qstat", "-Q") and "Active" in run(fleet, "qstat", "-B")
    run(fleet, "qmsg", "hello", job)
    held = run(fleet, "qsub", "-h", "-q", "batch", script="true\n")
    assert read_job(fleet, held)["job_state"] == "H"
    run(fleet, "qalter", "-l", "ncpus=2", "-N", "new", held)
    run(fleet, "qrls", held)
    assert wait_for_state(fleet, held, "R")["Job_Name"] == "new"
    run(fleet, "qsig", "-s", "TERM", held)
    assert wait_for_state(fleet, held, "F")["Exit_status"] == 271
    run(fleet, "qdel", job)
    assert wait_for_state(fleet, job, "F")["comment"] == "cancelled"
    assert run(fleet, "qstat") == ""
    run(fleet, "pbsnodes", "-o", "node-01")
    assert "node-01" in run(fleet, "pbsnodes", "-l")
    assert "state = offline" in run(fleet, "pbsnodes", "node-01")
    run(fleet, "pbsnodes", "-r", "node-01")
    assert fleet.run_until(lambda: run(fleet, "pbsnodes", "-l") == "", 10 * S)


def test_wrong_input_gives_one_message_and_a_status(fleet: Fleet) -> None:
    cases = [
        (["qsub", "-q", "nowhere"], "true\n", 2, "Unknown queue nowhere; known are batch"),
        (["qsub", "-l", "mem=much"], "true\n", 1, "mem=much: not a size"),
        (["qsub"], "#PBS -l ncpus=none\n", 1, "ncpus=none: not a number of cores"),
        (["qsub"], "#PBS --what\n", 1, "option --what not recognized"),
        (["qsub", "-l", "ncpus=9999"], "true\n", 2, "no kind of node here holds 9999 cores"),
        (["qsub", "-A", "nobody"], "true\n", 2, "unknown account nobody; known are north, south"),
        (["qsub"], "", 1, "the script is empty"), (["qdel", "x"], "", 1,
        "illegally formed job identifier: x"),
        (["qdel", "424242"], "", 2, "Unknown Job Id 424242"), (["qstat", "9.sched0"], "", 2,
        "Unknown Job Id"),
        (["qrls", "-h", "z", "1"], "", 1, "letters of u, o, s or n are meant"),
        (["pbsnodes", "-o", "node-99"], "", 2, "Unknown node node-99"),
    ]  # fmt: skip
    for argv, script, status, words in cases:
        got, out = fleet.run_command("sched0", argv, script)
        assert got == status and words in out and "Traceback" not in out, (argv, got, out)


def test_unsupported_options_are_refused_by_name_or_warned_about(fleet: Fleet) -> None:
    # Guards against a job that starts too early or without a resource because its attribute was ignored.
    refused = [
        (["-W", "depend=afterok:1"], 2, "depend=afterok:1: a job does not wait for another here yet"),
        (["-a", "203001010000"], 2, "Execution_Time: a start at a later time is not served here yet"),
        (["-a", "203013010000"], 1, "illegal -a value: 203013010000: no such moment"),
        (["-a", "tomorrow"], 1, "[[[[CC]YY]MM]DD]hhmm[.SS] is meant"),
        (["-c", "zz"], 1, "n, u, s, c, w"), (["-c", "s"], 2, "Checkpoint=s: jobs are not checkpointed here"),
        (["-k", "q"], 1, "illegal -k value: q"), (["-m", "q"], 1, "illegal -m value: q"),
        (["-l", "place=excl"], 1, "excl is not served here"), (["-l", "cput=9"], 1, "cput: can't be kept"),
        (["-l", "select=2:ncpus=1"], 1, "one chunk on one node is meant"),
        (["-J", "0-9"], 1, "option -J not recognized"),
        (["-W", "stagein=a@b:c"], 2, "stagein=a@b:c: files are"),
        (["-W", "colour=red"], 2, "colour=red: unknown here"), (["-W", "umask=9"], 2, "octal digits"),
        (["-u", "somebody"], 1, "illegal -u value: somebody"),
        (["-o", "elsewhere:/tmp/x"], 1, "a path without a host is meant"),
        (["-S", "/bin/sh@node-01"], 2, "one path is meant"),
        (["-v", "NOT_SET_ANYWHERE"], 1, "NOT_SET_ANYWHERE is not set in the environment here"),
    ]  # fmt: skip
    for argv, status, words in refused:
        got, out = fleet.run_command("sched0", ["qsub", *argv], "true\n")
        assert got == status and words in out and "Traceback" not in out, (argv, got, out)
    assert run(fleet, "qselect", "-x") == ""
    taken = [
        ["-a", "200001010000"], ["-l", "select=1:ncpus=1:mpiprocs=1", "-l", "place=scatter:shared"],
        ["-c", "n"], ["-k", "n"], ["-m", "n", "-M", "me@here"], ["-p", "0"], ["-P", "winter"],
    ]  # fmt: skip
    for argv in taken:
        assert re.fullmatch(r"\d+\.sched0", run(fleet, "qsub", *argv, script="true\n")), argv
    printed = run(fleet, "qsub", "-m", "abe", "-M", "me@here", "-p", "5", script="true\n").splitlines()
    assert re.fullmatch(r"\d+\.sched0", printed[0]) and printed[1:] == [
        "qsub: warning: Mail_Points=abe: no mail is sent here",
        "qsub: warning: Priority=5: it is kept and shown; the order among jobs follows from the priority of "
        "their queue",
    ]
    job = printed[0]
    wait_for_state(fleet, job, "R")
    for argv, words in (
        (["qalter", "-o", "/tmp/x", job], "is being placed or runs"),
        (["qalter", "-W", "depend=afterok:1", job], "a job does not wait"),
        (["qalter", "-W", "Hold_Types=u", job], "Read only attribute Hold_Types"),
        (["qdel", "-W", "force", job], "-W force: not served"),
    ):
        got, out = fleet.run_command("sched0", argv)
        assert got == 2 and words in out, (argv, got, out)
    run(fleet, "qalter", "-p", "0", "-r", "n", job)
    assert read_job(fleet, job)["Rerunable"] == "False"


def test_status_as_json_has_the_published_types(real: Fleet) -> None:
    # Client libraries compare `Exit_status` with numbers: 0 is success, 265 cancelled, all others failed.
    script = (
        "#!/bin/sh\n#PBS -l select=1:ncpus=2:mpiprocs=3:ompthreads=4:mem=64mb\n#PBS -l walltime=00:00:30\n"
    )
    script += 'echo $OMP_NUM_THREADS $(cat "$PBS_NODEFILE") $(umask)\nexit $1$CODE\n'
    for code in (0, 7):
        status, out = real.run_command(
            "sched0",
            ["qsub", "-W", "block=true,umask=027", "-v", f"CODE={code},WORDS='a,b=c'", "-N", "n1"],
            script,
        )
        job = out.strip()
        row = read_job(real, job)
        assert status == code and (row["job_state"], row["Exit_status"]) == ("F", code)
        assert row["Resource_List"] == {
            "select": "1:ncpus=2:mpiprocs=3:ompthreads=4:mem=64mb", "walltime": "00:00:30",
        }  # fmt: skip
        assert row["Variable_List"]["CODE"] == str(code) and row["Variable_List"]["WORDS"] == "a,b=c"
        assert row["run_count"] == 1 and isinstance(row["placement_time_ns"], int)
        words = (real.folder / f"n1.o{job.split('.')[0]}").read_text().split()
        assert words[0] == "4" and len(words[1:-1]) == 3 and set(words[1:-1]) <= set(real.nodes)
        assert words[-1] == "0027"
    job = run(real, "qsub", "-l", "ncpus=1", script="sleep 60\n")
    assert wait_for_state(real, job, "R")["Resource_List"] == {"ncpus": 1}
    run(real, "qdel", job)
    assert wait_for_state(real, job, "F")["Exit_status"] == 265
    held = run(real, "qsub", "-h", script="true\n")
    run(real, "qdel", held)
    assert wait_for_state(real, held, "F")["Exit_status"] == 265


def test_a_blocking_submission_returns_the_exit_status_of_its_job(real: Fleet) -> None:
    status, out = real.run_command(
        "sched0", ["qsub", "-W", "block=true", "-j", "oe"], "echo out; echo err >&2; exit 7\n"
    )
    assert status == 7
    number = out.split(".")[0]
    assert (real.folder / f"STDIN.o{number}").read_text() == "out\nerr\n"
    script = "#!/bin/sh\n#PBS -l walltime=1\nsleep 60\n"
    status, out = real.run_command("sched0", ["qsub", "-W", "block=true"], script)
    assert status == 128 + 15
    big = "#!/bin/sh\n" + "# x\n" * 250_000 + 'echo "$PBS_JOBNAME $PBS_QUEUE $WORD"'  # 1 MB, no last newline
    status, out = real.run_command(
        "sched0", ["qsub", "-W", "block=true", "-N", "big", "-v", "WORD=a b,X=1"], big
    )
    assert status == 0
    assert (real.folder / f"big.o{out.split('.')[0]}").read_text() == "big web a b\n"


def test_a_cancelled_job_leaves_no_process_behind(real: Fleet) -> None:
    # Guards against a surviving child that started its own session: a signal to the job's session misses it.
    script = "setsid sh -c 'echo $$ > left; sleep 300' &\necho $$ > main\nsleep 300\n"
    job = run(real, "qsub", script=script)
    left, main = real.folder / "left", real.folder / "main"
    assert real.run_until(lambda: left.exists() and left.read_text().strip() != "", 10 * S)
    run(real, "qdel", job)
    wait_for_state(real, job, "F")
    pids = [int(path.read_text()) for path in (left, main)]

    def alive(pid: int) -> bool:
        try:
            return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
        except OSError:
            return False

    assert real.run_until(lambda: not any(map(alive, pids)), 10 * S)


def test_a_restarted_scheduler_adopts_running_jobs_and_runs_none_twice(fleet: Fleet) -> None:
    jobs = [
        run(fleet, "qsub", "-q", queue, script="sleep 60\n")
        for queue in ("billing", "web", "billing", "mail")
    ]
    for job in jobs:
        wait_for_state(fleet, job, "R")
    fleet.kill_scheduler("sched0", 100 * MS)
    process = fleet.schedulers["sched0"].process
    assert process is not None and fleet.run_until(lambda: process.poll() is not None, 5 * S)
    assert fleet.run_until(lambda: fleet.schedulers["sched0"].process is not process, 5 * S)
    assert fleet.run_until(lambda: fleet.is_up("sched0"), 15 * S)
    # The scheduler is up before its nodes have reported their jobs; it logs `adopted` for each job.
    log = fleet.schedulers["sched0"].file.with_name("log")
    assert fleet.run_until(lambda: log.read_text().count('"event":"adopted"') == len(jobs), 15 * S)
    for job in jobs:
        assert wait_for_state(fleet, job, "R")["placement"] == "placed"
    fresh = run(fleet, "qsub", "-q", "billing", script="sleep 60\n")
    assert fresh not in jobs
    copies = [key[0] for agent in fleet.nodes.values() for key in agent.jobs]
    assert sorted(copies) == sorted(set(copies)) and set(jobs) <= set(copies)
    for job in jobs:
        run(fleet, "qdel", job)
        wait_for_state(fleet, job, "F")
    assert fleet.run_until(lambda: not any(k[0] in jobs for a in fleet.nodes.values() for k in a.jobs), 5 * S)


def test_a_service_is_planned_started_watched_and_updated(fleet: Fleet) -> None:
    file = fleet.folder / "orders.jsonnet"
    update: dict[str, Any] = {"down": 1, "surplus": 1, "healthy": "200ms", "failures": {"number": 3}}
    good: dict[str, Any] = {
        "service": "orders",
        "queue": "batch",
        "count": 4,
        "script": "true\n",
        "update": update,
    }

    def rollout(action: str, value: dict[str, Any] | str) -> tuple[int, str]:
        if isinstance(value, dict):
            file.write_text(json.dumps(value))
        argument = str(file) if isinstance(value, dict) else value
        return fleet.run_command("sched0", ["ladderhub", "rollout", action, argument])

    status, out = rollout("plan", good)
    assert status == 0 and "4 copies of safe work, for the first time" in out, out
    assert "bound by update.down and update.surplus" in out and run(fleet, "qselect") == ""
    status, out = rollout("start", good)
    assert status == 0 and "going  v1" in out, out
    status, out = fleet.run_command("sched0", ["ladderhub", "rollout", "status", "orders", "--watch"])
    assert status == 0 and "over   v1: 4 new, 0 old, 0 down, 4 alive of 4" in out, out
    assert len(run(fleet, "qselect", "-s", "R").splitlines()) == 4
    status, out = fleet.run_command("sched0", ["ladderhub", "rollout", "start", str(file), "--watch"])
    assert status == 0 and "over   v2: 4 new, 0 old, 0 down, 4 alive of 4" in out, out
    cases: list[tuple[dict[str, Any], int, str]] = [
        (good | {"count": 2}, 2, "count: found 2; at least 4 is meant, as many as run"),
        (good | {"update": update | {"down": 0, "surplus": 0}}, 2, "update.down: found 0"),
        (good | {"update": update | {"healthy": 5}}, 2, "update.healthy: found '5'; a time with its unit"),
        (good | {"colour": 1}, 1, "colour: unknown; service, queue, count"),
        (good | {"resources": 3}, 1, "resources: found 3; an object is meant"),
        ({"queue": "web"}, 1, "service: a name is meant"),
    ]
    for value, wanted, words in cases:
        status, out = rollout("start", value)
        assert status == wanted and words in out and "Traceback" not in out, (words, status, out)
    status, out = rollout("abort", "orders")
    assert status == 2 and "no update is under way" in out
    # A second daemon on the same spool folder is refused; the message names the process that holds it.
    scheduler = fleet.schedulers["sched0"]
    done = subprocess.run(
        build_module_command("ladderhub", "serve", str(scheduler.file)), capture_output=True, text=True
    )
    assert scheduler.process is not None
    assert done.returncode == 1 and f"held by the running process {scheduler.process.pid}" in done.stderr


def test_commands_start_without_heavy_imports() -> None:
    # Guards against imports of heavy modules: scripts start `qsub` by the thousand, and each start pays them.
    code = "import sys, ladderhub.commands.qsub; print(*sys.modules)"
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    heavy = {
        "asyncio",
        "click",
        "dataclasses",
        "inspect",
        "json",
        "msgspec",
        "structlog",
        "typing",
        "subprocess",
    }
    assert not heavy & set(out)


def test_the_demo_and_the_check_of_settings(tmp_path: Path) -> None:
    path = tmp_path / "bad.jsonnet"
    good = {
        "server": "a", "listen": "127.0.0.1:0", "directory": "127.0.0.1:1", "spool": str(tmp_path),
        "kinds": {"k": {"cores": 4, "memory": "8gb"}},
        "queues": {"q": {"effect": "safe", "aim": "1s", "deadline": "5s", "limit": "20s"}},
    }  # fmt: skip

    def check(value: object) -> tuple[int, str]:
        path.write_text(json.dumps(value) if not isinstance(value, str) else value)
        argv = [sys.executable, "-m", "ladderhub", "check", str(path)]
        done = subprocess.run(argv, capture_output=True, text=True, env=os.environ)
        return done.returncode, done.stdout + done.stderr

    assert check(good)[0] == 0
    queue = good["queues"]["q"]  # type: ignore[index]
    cases: list[tuple[object, str]] = [
        (good | {"queues": {"q": queue, "p": queue}}, "default_queue: found ''; one of p, q is meant"),
        (good | {"listen": "here"}, "listen: found 'here'; HOST:PORT is meant"),
        (good | {"queues": {"q": queue | {"aim": "500"}}}, "queues.q.aim: found '500'; a time with its unit"),
        (
            good | {"queues": {"q": queue | {"effect": "odd"}}},
            "queues.q.effect: found 'odd'; one of safe, keyed",
        ),
        (good | {"queues": {"q": queue | {"kind": "z"}}}, "queues.q.kind: found 'z'; one of k is meant"),
        (good | {"queues": {}}, "queues: found {}; at least one queue"),
        (good | {"kinds": {"k": {"cores": "four", "memory": "8gb"}}}, "Expected `float`, got `str`"),
        (good | {"colour": 1}, "unknown field `colour`"),
        ("{ server: 'a', ", "bad.jsonnet"),
        (
            good | {"queues": {"q": queue | {"limit": "10ms"}}},
            "queues.q.limit: found '10ms'; a time above 120ms",
        ),
    ]
    for value, words in cases:
        status, out = check(value)
        assert status == 2 and words in out and "Traceback" not in out, (words, out)
    # The current folder contains another `ladderhub` package.  Every process must run the installed one.
    (tmp_path / "ladderhub").mkdir()
    (tmp_path / "ladderhub" / "__init__.py").write_text("raise SystemExit('the folder here was run')\n")
    argv = build_module_command("ladderhub", "demo")
    done = subprocess.run(argv, capture_output=True, text=True, timeout=60, cwd=tmp_path)
    assert done.returncode == 0 and "all as it should be" in done.stdout, done.stdout + done.stderr
