"""The stages of the scale run: slopes, the prediction from them, and the whole size held against it.

Each run's figures are kept in the folder as they come, so that a stage that was cut short goes on where it
stopped.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from ladderhub.lab.scale.budgets import BudgetVerdict, judge
from ladderhub.lab.scale.plan import DIMENSIONS, Plan, ScaleError, at_shares, slope_sizes
from ladderhub.lab.scale.report import Prediction, RunFigures, collect_figures, write_lasting
from ladderhub.lab.scale.run import RunPlan, play
from ladderhub.lab.scale.slopes import Point, PredictionError, Slope, compare, predict, slope

Play = Callable[[Plan, RunPlan, Path], RunFigures]


class KeptRun(msgspec.Struct):
    """One run as it is kept: what was played by which plan, and its figures."""

    plan: Plan
    run: RunPlan
    figures: RunFigures


class RunKeeper:
    """Plays runs, and keeps each one's figures in a file; one that is kept already is not played again."""

    def __init__(self, plan: Plan, folder: Path, playing: Play) -> None:
        self._plan, self._folder, self._play = plan, folder, playing

    def path(self, run: RunPlan) -> Path:
        return self._folder / "runs" / f"{run.name}.json"

    def kept(self, run: RunPlan) -> RunFigures | None:
        """The figures of an earlier play of the same run by the same plan."""
        try:
            found: KeptRun = msgspec.json.decode(self.path(run).read_bytes(), type=KeptRun)
        except (FileNotFoundError, msgspec.MsgspecError):
            return None
        return found.figures if (found.plan, found.run) == (self._plan, run) else None

    def take(self, run: RunPlan) -> RunFigures:
        """The run's figures, played now or before."""
        figures = self.kept(run)
        return self.play(run) if figures is None else figures

    def play(self, run: RunPlan) -> RunFigures:
        """Play a run now, and keep its figures."""
        figures = self._play(self._plan, run, self._folder / run.name)
        write_lasting(self.path(run), KeptRun(self._plan, run, figures))
        return figures


def slope_runs(plan: Plan) -> list[RunPlan]:
    """The runs that slopes are taken from, each size once: the held size first."""
    runs: dict[object, RunPlan] = {}
    held = at_shares(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    runs[held] = RunPlan("held", held, plan.playing.measure_s, plan.seed, lose_a_rack=False)
    for dimension, points in slope_sizes(plan).items():
        for share, size in points:
            if size not in runs:
                name = f"{dimension}-{share:.3f}"
                runs[size] = RunPlan(name, size, plan.playing.measure_s, plan.seed, lose_a_rack=False)
    return list(runs.values())


def full_run(plan: Plan) -> RunPlan:
    """The run at the whole size, with a rack lost in it."""
    name = f"full-seed-{plan.seed}"
    return RunPlan(name, plan.played(), plan.playing.full_measure_s, plan.seed, lose_a_rack=True)


def fit_slopes(plan: Plan, runs: Sequence[RunFigures]) -> list[Slope]:
    """The line of every figure that each of a dimension's runs has, along every dimension."""
    figures = {run.dimensions: collect_figures(run) for run in runs}
    slopes = []
    for dimension, points in slope_sizes(plan).items():
        measured = [(size.value(dimension), figures[size]) for _, size in points if size in figures]
        if len(measured) < len(points):
            raise ScaleError(f"{len(measured)} of {len(points)} runs are there", where=dimension)
        shared = set.intersection(*(set(each) for _, each in measured))
        for name in sorted(shared):
            line: list[Point] = [(at, each[name]) for at, each in measured]
            slopes.append(slope(name, dimension, line, plan.slopes.residual_most, plan.slopes.flat))
    return slopes


def write_prediction(plan: Plan, slopes: Sequence[Slope], file: Path) -> Prediction:
    """Predict the whole size and put it on disk, before anybody plays that size."""
    base = at_shares(plan, dict.fromkeys(DIMENSIONS, plan.slopes.held_at))
    whole = plan.played()
    figures = predict(slopes, _values(base), _values(whole))
    prediction = Prediction(datetime.now(UTC).isoformat(timespec="seconds"), figures)
    write_lasting(file, prediction)
    return prediction


def _values(size: object) -> dict[str, float]:
    return {dimension: float(getattr(size, dimension)) for dimension in DIMENSIONS}


def read_prediction(file: Path) -> Prediction:
    """The prediction that an earlier stage wrote; `ScaleError` where there is none."""
    try:
        return msgspec.json.decode(file.read_bytes(), type=Prediction)
    except (FileNotFoundError, msgspec.MsgspecError) as fault:
        raise ScaleError(str(fault), where=str(file), expected="what the stage `predict` writes") from None


def held_against(prediction: Prediction, run: RunFigures) -> list[PredictionError]:
    """The whole size as it was played beside what was predicted."""
    return compare(prediction.figures, collect_figures(run))


def verdicts(plan: Plan, run: RunFigures) -> list[BudgetVerdict]:
    """The plan's budgets against one run."""
    return judge(plan.budgets, collect_figures(run))


def playing(say: Callable[[str], None]) -> Play:
    """How runs are played for real, with a word on each."""

    def one(plan: Plan, run: RunPlan, folder: Path) -> RunFigures:
        return play(plan, run, folder, say)

    return one
