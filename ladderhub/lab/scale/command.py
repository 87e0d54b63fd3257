"""Implements the command `ladderhub lab scale`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import all_hold, format_summary
from ladderhub.lab.scale.children import raise_descriptor_limit
from ladderhub.lab.scale.plan import Overrides, Plan, apply_overrides, load_plan
from ladderhub.lab.scale.report import Report, RunFigures, describe_machine, get_commit, write_durably
from ladderhub.lab.scale.slopes import select_large_errors
from ladderhub.lab.scale.stages import (
    RunCache,
    check_run_budgets,
    compare_with_prediction,
    fit_slopes,
    make_executor,
    plan_full_run,
    plan_slope_runs,
    read_prediction,
    write_prediction,
)

SLOPES, PREDICT, FULL, ALL = "slopes", "predict", "full", "all"
STAGES = (SLOPES, PREDICT, FULL, ALL)
PrintLine = Callable[[str], None]


class Options(msgspec.Struct, frozen=True):
    """Options of the command.  `folder` stores the logs and the figures of each run."""

    folder: Path
    stage: str = ALL
    slopes: bool = True
    plan: Path | None = None
    json: Path | None = None
    predict: Path | None = None
    overrides: Overrides = Overrides()


def run_scale(options: Options, print_line: PrintLine) -> bool:
    """Execute the requested stages.

    Return whether every budget holds; a stage that checks no budgets returns True."""
    plan = apply_overrides(load_plan(options.plan), options.overrides)
    raise_descriptor_limit()
    report = Report(plan.seed, get_commit(), describe_machine(), _build_options(options, plan))
    try:
        return _run_stages(plan, options, report, print_line)
    finally:
        if options.json is not None:
            write_durably(options.json, report)


def _build_options(options: Options, plan: Plan) -> dict[str, object]:
    values: dict[str, object] = msgspec.to_builtins(options, enc_hook=str)
    return values | {"plan": msgspec.to_builtins(plan)}


def _run_stages(plan: Plan, options: Options, report: Report, print_line: PrintLine) -> bool:
    cache = RunCache(plan, options.folder, make_executor(print_line))
    file = options.predict or options.folder / "prediction.json"
    if options.slopes and options.stage in (SLOPES, PREDICT, ALL):
        _measure_slopes(plan, cache, report, print_line)
    if options.slopes and options.stage in (PREDICT, ALL):
        report.prediction = write_prediction(plan, report.slopes, file)
        print_line(f"prediction of {len(report.prediction.figures)} figures written to {file}")
    if options.stage not in (FULL, ALL):
        print_line("budgets are judged at the whole size, by the stages `full` and `all`")
        return True
    if options.stage == FULL and file.exists():
        report.prediction = read_prediction(file)
    # Never taken from the cache: the prediction has to be older than the run that it is compared with.
    run = cache.execute(plan_full_run(plan))
    report.runs.append(run)
    _print_run(run, print_line)
    if report.prediction.figures:
        report.errors = compare_with_prediction(report.prediction, run)
        for each in select_large_errors(report.errors, plan.slopes.error_most):
            error = "measured 0" if each.error is None else f"{each.error:+.0%}"
            print_line(
                f"prediction off: {each.figure}: {each.predicted:.4g}, measured {each.measured:.4g} ({error})"
            )
    report.budgets = check_run_budgets(plan, run)
    print_line(format_summary(report.budgets))
    return all_hold(report.budgets)


def _measure_slopes(plan: Plan, cache: RunCache, report: Report, print_line: PrintLine) -> None:
    for run in plan_slope_runs(plan):
        report.runs.append(cache.get_or_execute(run))
        _print_run(report.runs[-1], print_line)
    report.slopes = fit_slopes(plan, report.runs)
    curved = [each for each in report.slopes if not each.straight]
    print_line(f"{len(report.slopes)} slopes, {len(curved)} of them not straight")


def _print_run(run: RunFigures, print_line: PrintLine) -> None:
    """Print the main figures of a run."""
    for role, figures in run.roles.items():
        if figures.cores is None or figures.memory_mb is None:
            continue
        line = f"  {role} ({figures.count}): {figures.cores:.4f} cores, {figures.memory_mb:.1f} MB"
        if figures.waited is not None:
            line += f", waited for a processor {figures.waited:.0%} of the time"
        if figures.control.cores is not None:
            line += f", control {figures.control.cores:.4f} cores"
        if figures.control.bytes_per_s is not None:
            line += f" and {figures.control.bytes_per_s:.0f} bytes/s"
        print_line(line)
    for name, started in run.starts.items():
        percentiles = f"{started.p50_ms} / {started.p99_ms} ms at p50 / p99"
        print_line(f"  {name}: {started.count} due, {percentiles}, {started.missed_share:.2%} never ran")
    print_line(f"  {run.running:.0f} running at its middle; " + "; ".join(run.notes))
    change = run.change_in_force_s
    if change.count:
        print_line(f"  {change.count} changes in force after {change.p50} / {change.p99} s at p50 / p99")
    print_line(f"  {run.processes} processes, {run.memory_gib:.2f} GiB")
