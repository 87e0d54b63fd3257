"""Budgets: each figure against the most that it may be.  What was not measured never counts as held."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ladderhub.lab.scale.plan import Budget


class BudgetVerdict(msgspec.Struct):
    """One budget; `measured` is None where the figure was not measured."""

    figure: str
    limit: float
    measured: float | None
    holds: bool


def judge(budgets: Sequence[Budget], figures: Mapping[str, float]) -> list[BudgetVerdict]:
    """Every budget of the plan against the figures of a run."""
    verdicts = []
    for budget in budgets:
        measured = figures.get(budget.figure)
        holds = measured is not None and measured <= budget.limit
        verdicts.append(BudgetVerdict(budget.figure, budget.limit, measured, holds))
    return verdicts


def last_line(verdicts: Sequence[BudgetVerdict]) -> str:
    """The verdict in one line, with each figure that does not hold."""
    over = [
        f"{each.figure} {each.measured:.4g} > {each.limit:g}"
        for each in verdicts
        if each.measured is not None and not each.holds
    ]
    missing = [each.figure for each in verdicts if each.measured is None]
    parts = []
    if over:
        parts.append("over budget: " + ", ".join(over))
    if missing:
        parts.append("not measured: " + ", ".join(missing))
    if not verdicts:
        return "no budgets were given, so none holds"
    return "; ".join(parts) or f"all {len(verdicts)} budgets hold"


def all_hold(verdicts: Sequence[BudgetVerdict]) -> bool:
    """Whether there are budgets, and each of them holds."""
    return bool(verdicts) and all(each.holds for each in verdicts)
