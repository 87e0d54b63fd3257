"""`ladderhub lab scale` from its options to its exit status."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import all_hold, last_line
from ladderhub.lab.scale.children import raise_descriptor_limit
from ladderhub.lab.scale.plan import Overrides, Plan, load_plan, overridden
from ladderhub.lab.scale.report import Report, RunFigures, this_commit, this_machine, write_lasting
from ladderhub.lab.scale.slopes import beyond
from ladderhub.lab.scale.stages import (
    RunKeeper,
    fit_slopes,
    full_run,
    held_against,
    playing,
    read_prediction,
    slope_runs,
    verdicts,
    write_prediction,
)

SLOPES, PREDICT, FULL, ALL = "slopes", "predict", "full", "all"
STAGES = (SLOPES, PREDICT, FULL, ALL)
Say = Callable[[str], None]


class Options(msgspec.Struct, frozen=True):
    """What the command was given.  `folder` keeps logs and each run's figures."""

    folder: Path
    stage: str = ALL
    slopes: bool = True
    plan: Path | None = None
    json: Path | None = None
    predict: Path | None = None
    overrides: Overrides = Overrides()


def run_scale(options: Options, say: Say) -> bool:
    """Play what was asked for; whether every budget holds, or whether all was done where none is judged."""
    plan = overridden(load_plan(options.plan), options.overrides)
    raise_descriptor_limit()
    report = Report(plan.seed, this_commit(), this_machine(), _told(options, plan))
    try:
        return _run_stages(plan, options, report, say)
    finally:
        if options.json is not None:
            write_lasting(options.json, report)


def _told(options: Options, plan: Plan) -> dict[str, object]:
    given: dict[str, object] = msgspec.to_builtins(options, enc_hook=str)
    return given | {"plan": msgspec.to_builtins(plan)}


def _run_stages(plan: Plan, options: Options, report: Report, say: Say) -> bool:
    keeper = RunKeeper(plan, options.folder, playing(say))
    file = options.predict or options.folder / "prediction.json"
    if options.slopes and options.stage in (SLOPES, PREDICT, ALL):
        _take_slopes(plan, keeper, report, say)
    if options.slopes and options.stage in (PREDICT, ALL):
        report.prediction = write_prediction(plan, report.slopes, file)
        say(f"prediction of {len(report.prediction.figures)} figures written to {file}")
    if options.stage not in (FULL, ALL):
        say("budgets are judged at the whole size, by the stages `full` and `all`")
        return True
    if options.stage == FULL and file.exists():
        report.prediction = read_prediction(file)
    # Always played: the prediction has to be older than what is held against it.
    run = keeper.play(full_run(plan))
    report.runs.append(run)
    _tell_run(run, say)
    if report.prediction.figures:
        report.errors = held_against(report.prediction, run)
        for each in beyond(report.errors, plan.slopes.error_most):
            off = "measured 0" if each.error is None else f"{each.error:+.0%}"
            say(f"prediction off: {each.figure}: {each.predicted:.4g}, measured {each.measured:.4g} ({off})")
    report.budgets = verdicts(plan, run)
    say(last_line(report.budgets))
    return all_hold(report.budgets)


def _take_slopes(plan: Plan, keeper: RunKeeper, report: Report, say: Say) -> None:
    for run in slope_runs(plan):
        report.runs.append(keeper.take(run))
        _tell_run(report.runs[-1], say)
    report.slopes = fit_slopes(plan, report.runs)
    bent = [each for each in report.slopes if not each.straight]
    say(f"{len(report.slopes)} slopes, {len(bent)} of them not straight")


def _tell_run(run: RunFigures, say: Say) -> None:
    """The figures of a run that are looked at first."""
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
        say(line)
    for name, started in run.starts.items():
        told = f"{started.p50_ms} / {started.p99_ms} ms at p50 / p99"
        say(f"  {name}: {started.count} due, {told}, {started.missed_share:.2%} never ran")
    say(f"  {run.running:.0f} running at its middle; " + "; ".join(run.notes))
    change = run.change_in_force_s
    if change.count:
        say(f"  {change.count} changes in force after {change.p50} / {change.p99} s at p50 / p99")
    say(f"  {run.processes} processes, {run.memory_gib:.2f} GiB")
