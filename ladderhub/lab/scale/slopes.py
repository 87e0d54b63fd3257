"""Lines through measured points, what they predict, and how far a prediction was off.  Arithmetic alone."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Line:
    """The least-squares line through some points; `residual` is the root of the mean squared distance."""

    per_unit: float
    intercept: float
    residual: float

    def at(self, x: float) -> float:
        return self.intercept + self.per_unit * x


class Slope(msgspec.Struct):
    """How one figure grows with one dimension while all others are held."""

    figure: str
    dimension: str
    per_unit: float
    intercept: float
    residual: float
    points: list[Point]
    straight: bool


class PredictionError(msgspec.Struct):
    """A predicted figure beside the measured one; `error`: their difference as a share of the latter."""

    figure: str
    predicted: float
    measured: float
    error: float | None


def fit(points: Sequence[Point]) -> Line:
    """The least-squares line; level where all points have the same x.  ValueError where there is no point."""
    if not points:
        raise ValueError("points: at least one is meant")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    shared = sum((x - mean_x) * (y - mean_y) for x, y in points)
    per_unit = shared / spread if spread else 0.0
    intercept = mean_y - per_unit * mean_x
    squares = sum((y - intercept - per_unit * x) ** 2 for x, y in points)
    return Line(per_unit, intercept, (squares / count) ** 0.5)


def is_straight(points: Sequence[Point], line: Line, residual_most: float, flat: float) -> bool:
    """Whether a line tells what the points do.

    A figure whose range is a small part of its size (`flat`) does not depend on the dimension; for others the
    residual may be `residual_most` of the range."""
    values = [y for _, y in points]
    reach = max(values) - min(values)
    if reach <= flat * max(abs(value) for value in values):
        return True
    return line.residual <= residual_most * reach


def slope(figure: str, dimension: str, points: Sequence[Point], residual_most: float, flat: float) -> Slope:
    """The line of one figure along one dimension."""
    line = fit(points)
    straight = is_straight(points, line, residual_most, flat)
    return Slope(figure, dimension, line.per_unit, line.intercept, line.residual, list(points), straight)


def predict(
    slopes: Sequence[Slope], base: Mapping[str, float], whole: Mapping[str, float]
) -> dict[str, float]:
    """Each figure at `whole`: its fitted value at `base`, and what each dimension adds on the way from there.

    No figure of a run can be below 0, so no prediction is."""
    by_figure: dict[str, list[Slope]] = {}
    for each in slopes:
        by_figure.setdefault(each.figure, []).append(each)
    predicted: dict[str, float] = {}
    for figure, lines in by_figure.items():
        at_base = sum(line.intercept + line.per_unit * base[line.dimension] for line in lines) / len(lines)
        added = sum(line.per_unit * (whole[line.dimension] - base[line.dimension]) for line in lines)
        predicted[figure] = max(0.0, at_base + added)
    return predicted


def compare(predicted: Mapping[str, float], measured: Mapping[str, float]) -> list[PredictionError]:
    """Every figure that was both predicted and measured."""
    errors = []
    for figure in sorted(set(predicted) & set(measured)):
        said, found = predicted[figure], measured[figure]
        error = (said - found) / abs(found) if found else (0.0 if said == found else None)
        errors.append(PredictionError(figure, said, found, error))
    return errors


def beyond(errors: Sequence[PredictionError], most: float) -> list[PredictionError]:
    """Those whose prediction was further off than allowed."""
    return [each for each in errors if each.error is None or abs(each.error) > most]
