"""The report of a scale run: its types, and access to all figures by name."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Iterator
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import BudgetVerdict
from ladderhub.lab.scale.measure import Traffic
from ladderhub.lab.scale.plan import Size
from ladderhub.lab.scale.slopes import PredictionError, Slope

_GIB = 1 << 30


class Machine(msgspec.Struct):
    """The machine on which the run was executed."""

    cores: int
    memory_gib: float
    python: str


class ControlFigures(msgspec.Struct):
    """The cost of a role's control work as the plan defines it; None if it was not measured."""

    cores: float | None = None
    bytes_per_s: float | None = None


class RoleFigures(msgspec.Struct):
    """The mean over the members of one role, and in `most` each figure's largest value among them.

    A role that is a part of a process has no memory and no processor time of its own.  `hosted` members share
    processes, whose figures are divided by their number.  `waited` is the share of the time in which
    a process was ready to run and no processor was free; if it is large, times depend on the load of the
    machine."""

    count: int
    memory_mb: float | None
    cores: float | None
    descriptors: float
    cores_by_cause: dict[str, float] = {}
    bytes_per_s: dict[str, Traffic] = {}
    messages_per_s: dict[str, Traffic] = {}
    work_per_s: dict[str, float] = {}
    control: ControlFigures = msgspec.field(default_factory=ControlFigures)
    most: dict[str, float] = {}
    waited: float | None = None
    memory_growth_mb_per_s: float | None = None
    hosted: bool = False


class ClassFigures(msgspec.Struct):
    """Jobs of one class that were due in the measured span.  `missed_share` is the share that never ran."""

    count: int
    p50_ms: float | None
    p99_ms: float | None
    refused: int
    failed: int
    unsubmitted: int
    unanswered: int
    missed_share: float


class ChangeFigures(msgspec.Struct):
    """The time until configuration changes were active on all schedulers; None if there were no changes.

    `missed_share` is the share of requested changes that were not active everywhere when the run ended."""

    count: int = 0
    p50: float | None = None
    p99: float | None = None
    most: float | None = None
    missed_share: float | None = None


class RunFigures(msgspec.Struct):
    """The figures of one run.  `processes` and `memory_gib` are its peak usage."""

    name: str
    dimensions: Size
    seconds: float
    seed: int
    roles: dict[str, RoleFigures]
    starts: dict[str, ClassFigures]
    change_in_force_s: ChangeFigures
    running: float
    began_at: str = ""
    processes: int = 0
    memory_gib: float = 0.0
    notes: list[str] = []


class Prediction(msgspec.Struct):
    """The figures that the slopes predict at full size, written before the full-size run."""

    written_at: str = ""
    figures: dict[str, float] = {}


class Report(msgspec.Struct):
    """The whole report, as `--json` writes it."""

    seed: int
    commit: str
    machine: Machine
    options: dict[str, object]
    runs: list[RunFigures] = []
    slopes: list[Slope] = []
    prediction: Prediction = msgspec.field(default_factory=Prediction)
    errors: list[PredictionError] = []
    budgets: list[BudgetVerdict] = []


def describe_machine() -> Machine:
    """Return the machine and interpreter that this process runs on."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / _GIB
    return Machine(os.cpu_count() or 1, round(memory, 1), platform.python_version())


def get_commit() -> str:
    """Return the commit of the checkout that the program runs from; empty if it is not run from one."""
    argv = ["git", "-C", str(Path(__file__).parent), "describe", "--always", "--dirty"]
    try:
        completed = subprocess.run(argv, capture_output=True, text=True, check=False)
    except FileNotFoundError:
        return ""
    return completed.stdout.strip()


def iterate_role_figures(role: RoleFigures) -> Iterator[tuple[str, float]]:
    """Yield the figures of a role with their names within it."""
    if role.memory_mb is not None:
        yield "memory_mb", role.memory_mb
    if role.memory_growth_mb_per_s is not None:
        yield "memory_growth_mb_per_s", role.memory_growth_mb_per_s
    if role.cores is not None:
        yield "cores", role.cores
    yield "descriptors", role.descriptors
    for cause, cores in role.cores_by_cause.items():
        yield f"cores.{cause}", cores
    for name, table in (("bytes_per_s", role.bytes_per_s), ("messages_per_s", role.messages_per_s)):
        for kind, traffic in table.items():
            if traffic.in_ is not None:
                yield f"{name}.{kind}.in", traffic.in_
            if traffic.out is not None:
                yield f"{name}.{kind}.out", traffic.out
    for name, rate in role.work_per_s.items():
        yield f"work_per_s.{name}", rate
    if role.control.cores is not None:
        yield "control.cores", role.control.cores
    if role.control.bytes_per_s is not None:
        yield "control.bytes_per_s", role.control.bytes_per_s
    for name, value in role.most.items():
        yield f"most.{name}", value


def _iterate_host_totals(role: RoleFigures) -> Iterator[tuple[str, float]]:
    """Yield the sums over the members of a hosted role.

    The figures per member fall with the number of members, so they are not linear in any dimension."""
    for name, value in iterate_role_figures(role):
        if not name.startswith("most."):
            yield name, value * role.count


def collect_figures(run: RunFigures) -> dict[str, float]:
    """Return every measured figure of a run by its name, for example `scheduler.cores.lists`."""
    figures: dict[str, float] = {"running": run.running}
    for role, measured in run.roles.items():
        if measured.hosted:
            figures |= {f"{role}.all.{name}": value for name, value in _iterate_host_totals(measured)}
        else:
            figures |= {f"{role}.{name}": value for name, value in iterate_role_figures(measured)}
    for name, started in run.starts.items():
        values = {"p50_ms": started.p50_ms, "p99_ms": started.p99_ms, "missed_share": started.missed_share}
        figures |= {f"starts.{name}.{figure}": value for figure, value in values.items() if value is not None}
    change = run.change_in_force_s
    values = {"p50": change.p50, "p99": change.p99, "most": change.most, "missed_share": change.missed_share}
    figures |= {f"change_in_force_s.{name}": value for name, value in values.items() if value is not None}
    return figures


def write_durably(path: Path, value: object) -> None:
    """Write JSON atomically and sync it to disk."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_suffix(path.suffix + ".new")
    with open(temporary, "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(value)))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
