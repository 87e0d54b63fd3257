"""Prints the tables of docs/CAPACITY.md from scale runs: `python benchmarks/capacity_tables.py FILE ...`.

Each file is JSON that `ladderhub lab scale --json FILE` wrote; slopes and prediction are taken from the first
file that has them.  Figures that no file contains are printed as not measured.  Only the sums by kind and the
prediction errors are computed here.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec

from ladderhub.lab.scale.report import Report, RoleFigures, RunFigures, collect_figures

MISSING = "not measured"
ROLE_FIGURES = {
    role: [
        "memory_mb", "memory_growth_mb_per_s", "cores", "cores.jobs", "cores.lists", "cores.peers",
        "cores.configuration", "cores.log_metrics", "cores.other", "control.cores",
        "control.bytes_per_s", "descriptors",
    ]
    for role in ("scheduler", "elector")
} | {
    "directory": [
        "memory_mb", "cores", "descriptors", "messages_per_s.node.in", "bytes_per_s.node.in",
        "messages_per_s.scheduler.out", "bytes_per_s.scheduler.out", "work_per_s.rows_sent",
        "work_per_s.log_entries_walked",
    ],
    "node_agent": [
        "all.memory_mb", "all.cores", "all.descriptors", "all.messages_per_s.scheduler.in",
        "all.bytes_per_s.scheduler.in", "all.bytes_per_s.scheduler.out", "all.messages_per_s.directory.out",
        "all.bytes_per_s.directory.out",
    ],
    "client_door": [
        "descriptors", "messages_per_s.client.in", "bytes_per_s.client.in", "bytes_per_s.client.out",
    ],
    "starts": [
        "urgent.p50_ms", "urgent.p99_ms", "urgent.missed_share", "web.p99_ms", "web.missed_share",
        "batch.p99_ms", "batch.missed_share",
    ],
    "change_in_force_s": ["p50", "p99", "most", "missed_share"],
}  # fmt: skip
SLOPE_FIGURES = (
    "scheduler.memory_mb", "scheduler.control.bytes_per_s", "scheduler.control.cores", "scheduler.cores.jobs",
    "elector.control.bytes_per_s", "elector.control.cores", "directory.bytes_per_s.scheduler.out",
    "directory.work_per_s.log_entries_walked", "directory.cores", "node_agent.all.cores",
    "node_agent.all.memory_mb", "starts.urgent.p99_ms", "change_in_force_s.most",
)  # fmt: skip
GROUPS = {
    "lists": {"directory"},
    "membership": {"ping", "ack", "indirect_probe", "indirect_ack", "indirect_nack", "sync_digest",
                   "sync_entries", "name_conflict"},
    "leases": {"lease_request", "lease_grant", "lease_release"},
    "job path, clients": {"client"},
    "job path, nodes": {"node"},
}  # fmt: skip

GROUPED_ROLES = ("scheduler", "elector")  # roles whose messages are summed by `GROUPS`


def format_value(value: float | None) -> str:
    """Format a value with three significant digits, or as a whole number from 100 on."""
    if value is None:
        return MISSING
    if value == 0 or abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_table(headers: list[str], rows: Iterable[list[str]]) -> list[str]:
    """Format a Markdown table."""
    lines = ["| " + " | ".join(headers) + " |", "|" + " --- |" * len(headers)]
    return [*lines, *("| " + " | ".join(row) + " |" for row in rows)]


def get_group(kind: str) -> str:
    """Return the group of a kind of message; kinds outside `GROUPS` belong to revisions."""
    return next((name for name, kinds in GROUPS.items() if kind in kinds), "configuration")


def build_group_rows(role: RoleFigures) -> Iterable[list[str]]:
    """Yield the messages and bytes a second, in and out, of each group."""
    sums: dict[str, list[float]] = {}
    for column, counted in ((0, role.messages_per_s), (2, role.bytes_per_s)):
        for kind, traffic in counted.items():
            row = sums.setdefault(get_group(kind), [0.0] * 4)
            row[column] += traffic.in_ or 0.0
            row[column + 1] += traffic.out or 0.0
    for name, row in sorted(sums.items()):
        yield [name, *map(format_value, row)]


def list_full_runs(reports: Iterable[Report]) -> list[RunFigures]:
    """Return the runs at the full size."""
    return [run for report in reports for run in report.runs if run.name.startswith("full")]


def build_comparison_rows(
    role: str, predicted: Mapping[str, float], full: list[RunFigures], budgets: Mapping[str, float]
) -> Iterable[list[str]]:
    """Yield a role's figures: the prediction, each full run with the prediction's error, and the budget."""
    measured = [collect_figures(run) for run in full]
    for name in ROLE_FIGURES[role]:
        figure = f"{role}.{name}"
        prediction = predicted.get(figure)
        row = [f"`{name}`", format_value(prediction)]
        for each in measured:
            value = each.get(figure)
            error = f"{(prediction - value) / value:+.0%}" if prediction is not None and value else "-"
            row += [format_value(value), error]
        limit = budgets.get(f"{role}.most.{name}", budgets.get(figure))
        yield [*row, "" if limit is None else format_value(limit)]


def build_slope_rows(report: Report, dimensions: list[str]) -> Iterable[list[str]]:
    """Yield a row for each figure: by dimension the slope, the residual of a poor fit, and the points."""
    cells: dict[str, dict[str, str]] = {}
    for slope in report.slopes:
        values = ", ".join(format_value(y) for _, y in slope.points)
        residual = "" if slope.straight else f" **(residual {slope.residual:.2g})**"
        cells.setdefault(slope.figure, {})[slope.dimension] = f"{slope.per_unit:.2g}{residual}: {values}"
    for figure in SLOPE_FIGURES:
        if figure in cells:
            yield [f"`{figure}`", *(cells[figure].get(name, MISSING) for name in dimensions)]


def build_lines(reports: list[Report]) -> Iterable[str]:
    """Yield the lines of the document."""
    planned = next((report for report in reports if report.prediction.figures), reports[0])
    full = list_full_runs(reports)
    budgets = {budget.figure: budget.limit for report in reports for budget in report.budgets}
    for report in reports:
        yield f"commit {report.commit}, seed {report.seed}, {report.machine}"
    for run in full:
        size = run.dimensions
        yield f"{run.name}, {run.seconds:.0f} s: {size}, {run.running:.0f} found running"
        yield from (f"  {note}" for note in run.notes)
        waited = {name: role.waited for name, role in run.roles.items() if role.waited is not None}
        yield "  waited for a processor: " + ", ".join(
            f"{name} {share:.0%}" for name, share in waited.items()
        )
    yield f"prediction written {planned.prediction.written_at or MISSING}"
    headers = ["predicted"]
    for run in full:
        headers += [run.name, "error"]
    for role in ROLE_FIGURES:
        yield from ("", f"### {role}", "")
        yield from format_table(
            ["figure", *headers, "budget"],
            build_comparison_rows(role, planned.prediction.figures, full, budgets),
        )
        figures = full[0].roles.get(role) if full else None
        if role in GROUPED_ROLES and figures is not None and figures.messages_per_s:
            yield ""
            group_headers = ["kind", "messages a second in", "out", "bytes a second in", "out"]
            yield from format_table(group_headers, build_group_rows(figures))
    yield ""
    dimensions = list(dict.fromkeys(slope.dimension for slope in planned.slopes))
    points = {slope.dimension: ", ".join(f"{x:g}" for x, _ in slope.points) for slope in planned.slopes}
    headers = ["figure", *(f"{name}: {points[name]}" for name in dimensions)]
    yield from format_table(headers, build_slope_rows(planned, dimensions))
    for report in (each for each in reports if each.budgets):
        yield ""
        yield from format_table(["budget", "limit", "measured", "verdict"], build_budget_rows(report))


def build_budget_rows(report: Report) -> Iterable[list[str]]:
    """Yield a row for each budget with its verdict."""
    for budget in report.budgets:
        verdict = MISSING if budget.measured is None else "holds" if budget.holds else "passed"
        yield [f"`{budget.figure}`", format_value(budget.limit), format_value(budget.measured), verdict]


def main() -> None:
    reports = [msgspec.json.decode(Path(name).read_bytes(), type=Report) for name in sys.argv[1:]]
    print("\n".join(build_lines(reports)))


if __name__ == "__main__":
    main()
