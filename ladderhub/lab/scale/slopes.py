"""Fits lines to measured points, predicts figures from them, and computes the errors of predictions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line; `residual` is the root of the mean squared distance from the points."""

    per_unit: float
    intercept: float
    residual: float

    def evaluate(self, x: float) -> float:
        """Return the y value of the line at `x`."""
        return self.intercept + self.per_unit * x


class Slope(msgspec.Struct):
    """The growth of one figure with one dimension while all others are held."""

    figure: str
    dimension: str
    per_unit: float
    intercept: float
    residual: float
    points: list[Point]
    straight: bool


class PredictionError(msgspec.Struct):
    """A predicted and a measured figure; `error` is their difference relative to the measured one."""

    figure: str
    predicted: float
    measured: float
    error: float | None


def fit_line(points: Sequence[Point]) -> Line:
    """Return the least-squares line; its slope is 0 if all points have the same x.

    Raises ValueError if there are no points."""
    if not points:
        raise ValueError("no points to fit a line to")
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    covariance_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
    per_unit = covariance_sum / variance_sum if variance_sum else 0.0
    intercept = mean_y - per_unit * mean_x
    squares = sum((y - intercept - per_unit * x) ** 2 for x, y in points)
    return Line(per_unit, intercept, (squares / count) ** 0.5)


def is_straight(points: Sequence[Point], line: Line, residual_most: float, flat: float) -> bool:
    """Return whether the points lie on the line within the given tolerances.

    A figure whose range is at most `flat` times its largest absolute value does not depend on the dimension.
    For others the residual may be at most `residual_most` times the range."""
    values = [y for _, y in points]
    value_range = max(values) - min(values)
    if value_range <= flat * max(abs(value) for value in values):
        return True
    return line.residual <= residual_most * value_range


def fit_slope(
    figure: str, dimension: str, points: Sequence[Point], residual_most: float, flat: float
) -> Slope:
    """Fit the line of one figure along one dimension."""
    line = fit_line(points)
    straight = is_straight(points, line, residual_most, flat)
    return Slope(figure, dimension, line.per_unit, line.intercept, line.residual, list(points), straight)


def predict(
    slopes: Sequence[Slope], base: Mapping[str, float], full_size: Mapping[str, float]
) -> dict[str, float]:
    """Predict each figure at `full_size`: its fitted value at `base` plus the growth along each dimension.

    Figures of a run are never negative, so a negative prediction becomes 0."""
    by_figure: dict[str, list[Slope]] = {}
    for each in slopes:
        by_figure.setdefault(each.figure, []).append(each)
    predicted: dict[str, float] = {}
    for figure, lines in by_figure.items():
        at_base = sum(line.intercept + line.per_unit * base[line.dimension] for line in lines) / len(lines)
        added = sum(line.per_unit * (full_size[line.dimension] - base[line.dimension]) for line in lines)
        predicted[figure] = max(0.0, at_base + added)
    return predicted


def compare_figures(predicted: Mapping[str, float], measured: Mapping[str, float]) -> list[PredictionError]:
    """Return the error of every figure that was both predicted and measured."""
    errors = []
    for figure in sorted(set(predicted) & set(measured)):
        expected, actual = predicted[figure], measured[figure]
        error = (expected - actual) / abs(actual) if actual else (0.0 if expected == actual else None)
        errors.append(PredictionError(figure, expected, actual, error))
    return errors


def select_large_errors(errors: Sequence[PredictionError], limit: float) -> list[PredictionError]:
    """Return the errors above the limit; an undefined error counts as above it."""
    return [each for each in errors if each.error is None or abs(each.error) > limit]
