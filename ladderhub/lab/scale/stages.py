"""Stages of the scale run: slopes, the prediction from them, and its comparison with a full-size run.

Each run's figures are written to the folder as soon as the run ends, so that an interrupted stage resumes
where it stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import BudgetVerdict, check_budgets
from ladderhub.lab.scale.plan import DIMENSIONS, Plan, ScaleError, compute_slope_sizes, scale_size
from ladderhub.lab.scale.report import Prediction, RunFigures, collect_figures, write_durably
from ladderhub.lab.scale.run import RunPlan, execute_run
from ladderhub.lab.scale.slopes import Point, PredictionError, Slope, compare_figures, fit_slope, predict

ExecuteRun = Callable[[Plan, RunPlan, Path], RunFigures]


class CachedRun(msgspec.Struct):
    """A stored run: its plan, its description and its figures."""

    plan: Plan
    run: RunPlan
    figures: RunFigures


class RunCache:
    """Executes runs and stores the figures of each in a file, so that a stored run is not repeated."""

    def __init__(self, plan: Plan, folder: Path, execute: ExecuteRun) -> None:
        self._plan, self._folder, self._execute = plan, folder, execute

    def get_path(self, run: RunPlan) -> Path:
        """Return the path of the file that stores a run."""
        return self._folder / "runs" / f"{run.name}.json"

    def load(self, run: RunPlan) -> RunFigures | None:
        """Return the stored figures of the same run with the same plan, or None."""
        try:
            cached: CachedRun = msgspec.json.decode(self.get_path(run).read_bytes(), type=CachedRun)
        except (FileNotFoundError, msgspec.MsgspecError):
            return None
        return cached.figures if (cached.plan, cached.run) == (self._plan, run) else None

    def get_or_execute(self, run: RunPlan) -> RunFigures:
        """Return the stored figures of a run; execute it if there are none."""
        figures = self.load(run)
        return self.execute(run) if figures is None else figures

    def execute(self, run: RunPlan) -> RunFigures:
        """Execute a run and store its figures, even if figures of it are stored already."""
        figures = self._execute(self._plan, run, self._folder / run.name)
        write_durably(self.get_path(run), CachedRun(self._plan, run, figures))
        return figures


def plan_slope_runs(plan: Plan) -> list[RunPlan]:
    """Return the runs from which slopes are computed, each size once, the held size first."""
    runs: dict[object, RunPlan] = {}
    held = scale_size(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    runs[held] = RunPlan("held", held, plan.playing.measure_s, plan.seed, lose_a_rack=False)
    for dimension, points in compute_slope_sizes(plan).items():
        for share, size in points:
            if size not in runs:
                name = f"{dimension}-{share:.3f}"
                runs[size] = RunPlan(name, size, plan.playing.measure_s, plan.seed, lose_a_rack=False)
    return list(runs.values())


def plan_full_run(plan: Plan) -> RunPlan:
    """Return the run at full size, during which a rack fails."""
    name = f"full-seed-{plan.seed}"
    return RunPlan(
        name, plan.compute_accelerated_size(), plan.playing.full_measure_s, plan.seed, lose_a_rack=True
    )


def fit_slopes(plan: Plan, runs: Sequence[RunFigures]) -> list[Slope]:
    """Fit a line along each dimension for every figure that all runs of that dimension have."""
    figures = {run.dimensions: collect_figures(run) for run in runs}
    slopes = []
    for dimension, points in compute_slope_sizes(plan).items():
        measured = [(size.get_value(dimension), figures[size]) for _, size in points if size in figures]
        if len(measured) < len(points):
            raise ScaleError(f"figures exist for {len(measured)} of {len(points)} runs", where=dimension)
        common = set.intersection(*(set(values) for _, values in measured))
        for name in sorted(common):
            line: list[Point] = [(x, values[name]) for x, values in measured]
            slopes.append(fit_slope(name, dimension, line, plan.slopes.residual_most, plan.slopes.flat))
    return slopes


def write_prediction(plan: Plan, slopes: Sequence[Slope], file: Path) -> Prediction:
    """Predict the figures at full size and write them to disk, before a run of that size."""
    base = scale_size(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    full_size = plan.compute_accelerated_size()
    figures = predict(slopes, _get_dimension_values(base), _get_dimension_values(full_size))
    prediction = Prediction(datetime.now(UTC).isoformat(timespec="seconds"), figures)
    write_durably(file, prediction)
    return prediction


def _get_dimension_values(size: object) -> dict[str, float]:
    return {dimension: float(getattr(size, dimension)) for dimension in DIMENSIONS}


def read_prediction(file: Path) -> Prediction:
    """Read the prediction of an earlier stage.  Raises `ScaleError` if there is none."""
    try:
        return msgspec.json.decode(file.read_bytes(), type=Prediction)
    except (FileNotFoundError, msgspec.MsgspecError) as error:
        raise ScaleError(
            str(error), where=str(file), expected="a file written by the stage `predict`"
        ) from None


def compare_with_prediction(prediction: Prediction, run: RunFigures) -> list[PredictionError]:
    """Compare the figures of a full-size run with the prediction."""
    return compare_figures(prediction.figures, collect_figures(run))


def check_run_budgets(plan: Plan, run: RunFigures) -> list[BudgetVerdict]:
    """Check the figures of a run against the budgets of the plan."""
    return check_budgets(plan.budgets, collect_figures(run))


def make_executor(print_line: Callable[[str], None]) -> ExecuteRun:
    """Return a function that executes runs with real processes and prints their progress."""

    def execute(plan: Plan, run: RunPlan, folder: Path) -> RunFigures:
        return execute_run(plan, run, folder, print_line)

    return execute
