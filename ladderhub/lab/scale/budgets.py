"""Checks figures against their budgets.  A budget whose figure was not measured does not hold."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from ladderhub.lab.scale.plan import Budget


class BudgetVerdict(msgspec.Struct):
    """The result for one budget; `measured` is None if the figure was not measured."""

    figure: str
    limit: float
    measured: float | None
    holds: bool


def check_budgets(budgets: Sequence[Budget], figures: Mapping[str, float]) -> list[BudgetVerdict]:
    """Check every budget against the figures of a run."""
    verdicts = []
    for budget in budgets:
        measured = figures.get(budget.figure)
        holds = measured is not None and measured <= budget.limit
        verdicts.append(BudgetVerdict(budget.figure, budget.limit, measured, holds))
    return verdicts


def format_summary(verdicts: Sequence[BudgetVerdict]) -> str:
    """Return one line that names each figure whose budget does not hold."""
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
    """Return whether there is at least one budget and all of them hold."""
    return bool(verdicts) and all(each.holds for each in verdicts)
