"""The simulator adapter: a hand-written exchange, run as the deploy file says, and malformed input."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from ladderhub.benchlink import SimulatorAdapter
from ladderhub.decide import Scheduler

ROOT = Path(__file__).parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
MS = 1_000_000

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "ceilings": {"most-tries": 3, "cancelling": True, "new-key": 1},
    "classes": [{"name": "web", "effect": "read_like", "promise-ns": 800 * MS, "deadline-ns": 5000 * MS}],
    "load-report": {"fields": ["x0", "x1", "util"], "how": "answers"},
    "specifics": {
        "admit-cores": 2.0,
        "admit-memory": 1.5,
        "confirms": "running",
        "size-cores": [16],
        "size-memory": [32.0],
        "report-counts": "used",
    },
    "rules": {"cold-from": 0.2, "cold-ns": 10, "fall-ns": 10, "fall-multiple": 2.0},
    "tick-ns": 1000,
}
ENTRY = {"machine": "10.0.0.1:7000", "stage-state": "SERVING", "model": 0, "area": 0, "pod": 0}
BORN = {"what": "Born", "scheduler": "scheduler_0", "seed": 7, "settings": SETTINGS}
TABLE = {"what": "Table", "roster-id": 3, "entries": [ENTRY]}
ROSTER = {"what": "RosterChange", "scheduler": "scheduler_0", "how": "disk", "gen": 1, "roster-id": 3}
DEMAND = {
    "what": "Demand",
    "scheduler": "scheduler_0",
    "rid": 11,
    "category": 0,
    "unit-id": "task-1",
    "budget-ns": 5000 * MS,
    "group": "svc",
    "cores-asked": 1,
    "mem-needed": 1.5,
    "brand-new": True,
}


def make_batch(now_ns: int, *events: dict[str, Any]) -> str:
    rows = [{"what": "Round", "wall-ns": now_ns}, *events, {"what": "EofBatch"}]
    return "".join(json.dumps(row) + "\n" for row in rows)


def run_adapter(text: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "ladderhub.benchlink"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | environment,
        timeout=60,
        check=False,
    )


def parse_replies(text: str) -> list[list[dict[str, Any]]]:
    done: list[list[dict[str, Any]]] = [[]]
    for line in text.splitlines():
        row = json.loads(line)
        if row["what"] == "Finished":
            done.append([])
        else:
            done[-1].append(row)
    return done[:-1]


EXCHANGE = (
    make_batch(5)
    + make_batch(1000 * MS, BORN, TABLE, ROSTER)
    + make_batch(1002 * MS, DEMAND)
    + make_batch(
        1010 * MS,
        {"what": "Answer", "scheduler": "scheduler_0", "rid": 11, "outcome": 2, "detail": 3, "trial": 0}
        | {"machine": "10.0.0.1:7000", "feedback": [12.5, 20, 0.4]},
    )
    + make_batch(6000 * MS, {"what": "Alarm", "scheduler": "scheduler_0", "cookie": 13})
    + make_batch(6001 * MS, {"what": "CrashNow", "scheduler": "scheduler_0"}, BORN, ROSTER)
)


def check_exchange(output: str) -> None:
    empty, born, asked, refused, alarm, again = parse_replies(output)
    assert empty == born == again == []
    bind = {"scheduler": "scheduler_0", "what": "Bind", "rid": 11, "machine": "10.0.0.1:7000"}
    assert bind.items() <= asked[-1].items()
    assert [row["what"] for row in refused] == ["Schedule"]
    assert alarm == [{"scheduler": "scheduler_0", "what": "OverloadReply", "rid": 11}]


def test_a_short_exchange() -> None:
    done = run_adapter(EXCHANGE)
    assert (done.returncode, done.stderr) == (0, "")
    check_exchange(done.stdout)


def test_the_deploy_file_builds_and_runs_on_a_read_only_copy(tmp_path: Path) -> None:
    copy = tmp_path / "checkout"
    shutil.copytree(ROOT / "ladderhub", copy / "ladderhub", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "requirements.txt", copy)
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=copy, check=True, timeout=600)
    before = sorted(path for path in copy.rglob("*") if ".venv" not in path.parts)
    for path in before:
        path.chmod(path.stat().st_mode & ~0o222)
    environment = os.environ | {"PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["sim"]],
        input=EXCHANGE,
        capture_output=True,
        text=True,
        cwd=copy,
        env=environment,
        timeout=60,
        check=True,
    )
    check_exchange(done.stdout)
    assert sorted(path for path in copy.rglob("*") if ".venv" not in path.parts) == before
    assert all((ROOT / path).is_file() for path in DEPLOY["policy"])


def test_hash_seeds_do_not_matter() -> None:
    assert len({run_adapter(EXCHANGE, PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "77")}) == 1


START = make_batch(1, BORN, TABLE, ROSTER)
BROKEN = {
    "not JSON": ("{what\n", "line 1: not JSON"),
    "not an object": ("[1]\n", "line 1: not an object"),
    "no round": (json.dumps(DEMAND) + "\n", "line 1: Demand outside a batch"),
    "no such class": (START + make_batch(2, DEMAND | {"category": 9}), "'category' holds 9"),
    "no such tenant": (START + make_batch(2, DEMAND | {"project": 9}), "'project' holds 9"),
    "two rounds": ('{"what":"Round","wall-ns":1}\n' * 2, "line 2: a Round inside a batch"),
    "unknown event": (
        START + make_batch(2, {"what": "Surprise", "scheduler": "scheduler_0"}),
        "line 7: unknown event 'Surprise'",
    ),
    "missing field": (
        START + make_batch(2, {key: value for key, value in DEMAND.items() if key != "group"}),
        "line 7: missing field 'group'",
    ),
    "wrong type": (START + make_batch(2, DEMAND | {"cores-asked": "two"}), "line 7: field 'cores-asked'"),
    "a flag for a number": (START + make_batch(2, DEMAND | {"rid": True}), "line 7: field 'rid'"),
    "unborn": (make_batch(2, DEMAND), "line 2: Demand for instance 'scheduler_0', which is not running"),
    "dead": (
        START + make_batch(2, {"what": "CrashNow", "scheduler": "scheduler_0"}, DEMAND),
        "line 8: Demand for instance 'scheduler_0', which is not running",
    ),
    "no such table": (START + make_batch(2, ROSTER | {"roster-id": 9}), "line 7: no Table has the number 9"),
    "unknown code": (
        START
        + make_batch(
            2, {"what": "Probed", "scheduler": "scheduler_0", "machine": "10.0.0.1:7000", "outcome": 99}
        ),
        "line 7: field 'outcome' holds the unknown code 99",
    ),
    "cut short": (START + json.dumps({"what": "Round", "wall-ns": 9}) + "\n", "ends inside a batch"),
}


@pytest.mark.parametrize("name", BROKEN)
def test_malformed_input_ends_the_adapter_with_one_message(name: str) -> None:
    text, message = BROKEN[name]
    done = run_adapter(text)
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert message in done.stderr
    for line in done.stdout.splitlines():
        assert "what" in json.loads(line)


def test_invalid_settings_are_reported_as_an_internal_error() -> None:
    done = run_adapter(make_batch(1, BORN | {"settings": SETTINGS | {"classes": []}}))
    assert done.returncode == 0
    assert parse_replies(done.stdout)[0] == [
        {
            "scheduler": "scheduler_0",
            "what": "InternalError",
            "reason-text": "ValueError: classes: at least one is needed",
        }
    ]


def test_an_exception_in_the_module_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> None:
        raise IndexError("list index out of range")

    adapter = SimulatorAdapter()
    adapter.handle_row(1, BORN)
    monkeypatch.setattr(Scheduler, "handle", fail)
    rows = adapter.handle_row(2, {"what": "CancelledByClient", "scheduler": "scheduler_0", "rid": 1})
    assert rows == [
        {
            "scheduler": "scheduler_0",
            "what": "InternalError",
            "reason-text": "IndexError: list index out of range",
        }
    ]


def test_a_reused_table_number_applies_to_later_events() -> None:
    other = {"what": "Table", "roster-id": 3, "entries": [ENTRY | {"machine": "10.0.0.2:7000"}]}
    text = make_batch(1, BORN, TABLE, ROSTER, other, ROSTER | {"how": "snapshot"}) + make_batch(2, DEMAND)
    binds = [row for row in parse_replies(run_adapter(text).stdout)[1] if row["what"] == "Bind"]
    assert [row["machine"] for row in binds] == ["10.0.0.2:7000"]
