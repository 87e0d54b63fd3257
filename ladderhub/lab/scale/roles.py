"""Readings of processes before and after a span, as figures of their role."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ladderhub.lab.scale.measure import Reading, Traffic
from ladderhub.lab.scale.plan import Control
from ladderhub.lab.scale.report import ControlFigures, RoleFigures, role_figures

MB = 1_000_000.0


def figures_of_process(before: Reading, after: Reading, control: Control, share: int = 1) -> RoleFigures:
    """One process over the span between two readings, divided by the `share` members that it hosts."""
    seconds = (after.at_s - before.at_s) * share
    figures = RoleFigures(
        count=share,
        memory_mb=after.memory_bytes / MB / share,
        cores=(after.processor_s - before.processor_s) / seconds,
        descriptors=after.descriptors / share,
        hosted=share > 1,
        memory_growth_mb_per_s=(after.memory_bytes - before.memory_bytes) / MB / seconds,
        waited=(after.waited_s - before.waited_s) / (after.at_s - before.at_s),
    )
    if before.counted is None or after.counted is None:
        return figures
    figures.cores_by_cause = {
        cause: (spent - before.counted.processor_s.get(cause, 0.0)) / seconds
        for cause, spent in after.counted.processor_s.items()
    }
    figures.bytes_per_s = _rates(before.counted.bytes, after.counted.bytes, seconds)
    figures.messages_per_s = _rates(before.counted.messages, after.counted.messages, seconds)
    figures.work_per_s = {
        name: (done - before.counted.work.get(name, 0.0)) / seconds
        for name, done in after.counted.work.items()
    }
    figures.control = control_figures(figures, control)
    return figures


def _rates(before: dict[str, Traffic], after: dict[str, Traffic], seconds: float) -> dict[str, Traffic]:
    rates = {}
    for kind, total in after.items():
        earlier = before.get(kind, Traffic(0.0, 0.0))
        rates[kind] = Traffic(
            _rate(earlier.in_, total.in_, seconds), _rate(earlier.out, total.out, seconds)
        )  # fmt: skip
    return rates


def _rate(before: float | None, after: float | None, seconds: float) -> float | None:
    return None if after is None else (after - (before or 0.0)) / seconds


def control_figures(figures: RoleFigures, control: Control) -> ControlFigures:
    """The sums over what counts as control; None where a cause, or all bytes, were not counted."""
    told = ControlFigures()
    if set(control.causes) <= set(figures.cores_by_cause):
        told.cores = sum(figures.cores_by_cause[cause] for cause in control.causes)
    if figures.bytes_per_s:
        traffic = [each for kind, each in figures.bytes_per_s.items() if kind not in control.job_kinds]
        told.bytes_per_s = sum((each.in_ or 0.0) + (each.out or 0.0) for each in traffic)
    return told


def mean_of_role(members: Sequence[RoleFigures]) -> RoleFigures:
    """The mean over processes, weighed by how many members each hosts, and each figure's largest value."""
    most: dict[str, float] = {}
    for member in members:
        for name, value in role_figures(member):
            most[name] = max(value, most.get(name, value))
    weights = [member.count for member in members]
    return RoleFigures(
        count=sum(weights),
        memory_mb=_mean_of_known([member.memory_mb for member in members], weights),
        cores=_mean_of_known([member.cores for member in members], weights),
        descriptors=_mean([member.descriptors for member in members], weights),
        waited=_mean_of_known([member.waited for member in members], weights),
        memory_growth_mb_per_s=_mean_of_known([member.memory_growth_mb_per_s for member in members], weights),
        cores_by_cause={
            cause: _mean([member.cores_by_cause.get(cause, 0.0) for member in members], weights)
            for cause in _names([member.cores_by_cause for member in members])
        },
        bytes_per_s=_mean_traffic([member.bytes_per_s for member in members], weights),
        messages_per_s=_mean_traffic([member.messages_per_s for member in members], weights),
        work_per_s={
            name: _mean([member.work_per_s.get(name, 0.0) for member in members], weights)
            for name in _names([member.work_per_s for member in members])
        },
        control=ControlFigures(
            _mean_of_known([member.control.cores for member in members], weights),
            _mean_of_known([member.control.bytes_per_s for member in members], weights),
        ),
        most=most,
        hosted=any(member.hosted for member in members),
    )


def client_doors(schedulers: Sequence[RoleFigures], connections: Sequence[float], kind: str) -> RoleFigures:
    """The clients' end of each scheduler: a part of its process, so without memory and time of its own."""
    none = Traffic()
    return mean_of_role([
        RoleFigures(
            count=1, memory_mb=None, cores=None, descriptors=held,
            bytes_per_s={kind: scheduler.bytes_per_s.get(kind, none)},
            messages_per_s={kind: scheduler.messages_per_s.get(kind, none)},
        )
        for scheduler, held in zip(schedulers, connections, strict=True)
    ])  # fmt: skip


def _names(tables: Sequence[Mapping[str, object]]) -> list[str]:
    return sorted({name for table in tables for name in table})


def _mean(values: Sequence[float], weights: Sequence[int]) -> float:
    return sum(value * weight for value, weight in zip(values, weights, strict=True)) / sum(weights)


def _mean_of_known(values: Sequence[float | None], weights: Sequence[int]) -> float | None:
    """None where one of the processes did not count the figure: a mean of some would pass for one of all."""
    known = [value for value in values if value is not None]
    return _mean(known, weights) if len(known) == len(values) else None


def _mean_traffic(tables: Sequence[dict[str, Traffic]], weights: Sequence[int]) -> dict[str, Traffic]:
    none = Traffic()
    return {
        kind: Traffic(
            _mean_of_known([table.get(kind, none).in_ for table in tables], weights),
            _mean_of_known([table.get(kind, none).out for table in tables], weights),
        )
        for kind in _names(tables)
    }
