"""Tables of docs/CAPACITY.md from the JSON of scale runs: `python benchmarks/capacity_tables.py FILE ...`.

Each file is what `ladderhub lab scale --json FILE` wrote.  Figures that a file does not have are shown as not
measured; nothing is computed here but shares, and the error of each prediction.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import BudgetVerdict
from ladderhub.lab.scale.report import Report, RoleFigures, RunFigures, figures_of

MISSING = "not measured"
KEPT_FIGURES = (
    "scheduler.memory_mb", "scheduler.cores", "scheduler.control.cores", "scheduler.control.bytes_per_s",
    "scheduler.cores.job", "scheduler.cores.lists", "scheduler.cores.peers",
    "scheduler.cores.configuration", "scheduler.cores.metrics", "scheduler.bytes_per_s.lists.in",
    "scheduler.bytes_per_s.peers.in", "scheduler.bytes_per_s.peers.out", "scheduler.messages_per_s.lists.in",
    "scheduler.messages_per_s.peers.in", "scheduler.messages_per_s.peers.out", "scheduler.descriptors",
    "elector.memory_mb", "elector.cores", "elector.control.cores", "elector.control.bytes_per_s",
    "directory.memory_mb", "directory.cores", "directory.descriptors", "node_agent.memory_mb",
    "node_agent.cores", "node_agent.descriptors", "starts.urgent.p50_ms", "starts.urgent.p99_ms",
    "starts.web.p99_ms", "starts.batch.p99_ms", "change_in_force_s.p50", "change_in_force_s.most",
)  # fmt: skip


def shown(value: float | None) -> str:
    """Three figures; small shares of a core in full."""
    if value is None:
        return MISSING
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(heads: list[str], rows: Iterable[list[str]]) -> list[str]:
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    return [*lines, *("| " + " | ".join(row) + " |" for row in rows)]


def role_rows(roles: dict[str, RoleFigures]) -> Iterable[list[str]]:
    for name, role in roles.items():
        yield [
            f"{name} ({role.count})", f"{shown(role.memory_mb)}; {shown(role.most.get('memory_mb'))}",
            f"{shown(role.cores)}; {shown(role.most.get('cores'))}", shown(role.descriptors),
            f"{shown(role.control.cores)}; {shown(role.most.get('control.cores'))}",
            f"{shown(role.control.bytes_per_s)}; {shown(role.most.get('control.bytes_per_s'))}",
        ]  # fmt: skip


def kind_rows(role: RoleFigures) -> Iterable[list[str]]:
    for kind in sorted({*role.bytes_per_s, *role.messages_per_s}):
        counted, sent = role.messages_per_s.get(kind), role.bytes_per_s.get(kind)
        yield [
            kind, shown(counted.in_ if counted else None), shown(counted.out if counted else None),
            shown(sent.in_ if sent else None), shown(sent.out if sent else None),
        ]  # fmt: skip


def run_lines(run: RunFigures) -> Iterable[str]:
    size = run.dimensions
    yield (
        f"**{run.name}**, seed {run.seed}, {run.seconds:.0f} s: {size.nodes} nodes, "
        f"{size.starts_per_s:g} starts a second, {size.running} running wanted and {run.running:.0f} found, "
        f"{size.teams} teams, {size.schedulers} schedulers, {size.changes_per_h:g} changes an hour."
    )
    yield ""
    heads = ["role (how many)", "MB: mean; most", "cores: mean; most", "descriptors"]
    heads += ["control, cores: mean; most", "control, bytes a second: mean; most"]
    yield from table(heads, role_rows(run.roles))
    for name, role in run.roles.items():
        if role.cores_by_cause:
            yield ""
            rows = ([cause, shown(cores)] for cause, cores in sorted(role.cores_by_cause.items()))
            yield from table([f"{name}: cause", "cores"], rows)
        if role.bytes_per_s or role.messages_per_s:
            yield ""
            heads = [f"{name}: kind", "messages a second in", "out", "bytes a second in", "out"]
            yield from table(heads, kind_rows(role))
    yield ""
    yield from table(
        ["class", "jobs", "start p50, ms", "p99, ms", "refused", "failed", "never ran"],
        (
            [name, str(each.count), shown(each.p50_ms), shown(each.p99_ms), str(each.refused),
             str(each.failed), f"{each.missed_share:.2%}"]
            for name, each in run.starts.items()
        ),
    )  # fmt: skip
    change = run.change_in_force_s
    yield ""
    yield (
        f"Changes of configuration: {change.count}; in force after p50 {shown(change.p50)}, p99 "
        f"{shown(change.p99)}, most {shown(change.most)} s."
    )
    yield from (f"Note: {note}." for note in run.notes)
    yield ""


def slope_rows(report: Report) -> Iterable[list[str]]:
    for slope in report.slopes:
        if slope.figure in KEPT_FIGURES:
            points = ", ".join(f"{x:g}: {shown(y)}" for x, y in slope.points)
            straight = "yes" if slope.straight else "NO"
            yield [
                slope.figure, slope.dimension, f"{slope.per_unit:.3g}", f"{slope.intercept:.3g}",
                f"{slope.residual:.2g}", straight, points,
            ]  # fmt: skip


def prediction_rows(report: Report) -> Iterable[list[str]]:
    full = next((run for run in reversed(report.runs) if run.name.startswith("full")), None)
    measured = figures_of(full) if full is not None else {}
    for figure in KEPT_FIGURES:
        if figure in report.prediction.figures or figure in measured:
            said, found = report.prediction.figures.get(figure), measured.get(figure)
            error = f"{(said - found) / found:+.0%}" if said is not None and found else "-"
            yield [figure, shown(said), shown(found), error]


def verdict_of(budget: BudgetVerdict) -> str:
    if budget.measured is None:
        return MISSING
    return "holds" if budget.holds else "passed"


def lines_of(path: Path) -> Iterable[str]:
    report = msgspec.json.decode(path.read_bytes(), type=Report)
    yield f"### {path.name}: commit {report.commit}, seed {report.seed}, {report.machine}"
    yield ""
    for run in report.runs:
        yield from run_lines(run)
    heads = ["figure", "dimension", "a unit", "at none", "residual", "straight", "points"]
    yield from table(heads, slope_rows(report))
    yield ""
    yield f"Prediction written {report.prediction.written_at}:"
    yield ""
    yield from table(["figure", "predicted", "measured", "error"], prediction_rows(report))
    yield ""
    yield from table(
        ["budget", "limit", "measured", "verdict"],
        ([each.figure, shown(each.limit), shown(each.measured), verdict_of(each)] for each in report.budgets),
    )
    yield ""


def main() -> None:
    for name in sys.argv[1:]:
        print("\n".join(lines_of(Path(name))))


if __name__ == "__main__":
    main()
