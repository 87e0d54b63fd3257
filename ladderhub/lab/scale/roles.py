"""Computes the figures of each role from readings of its processes before and after a span."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ladderhub.lab.scale.measure import Reading, Traffic
from ladderhub.lab.scale.plan import Control
from ladderhub.lab.scale.report import ControlFigures, RoleFigures, iterate_role_figures

MB = 1_000_000.0


def compute_process_figures(before: Reading, after: Reading, control: Control, share: int = 1) -> RoleFigures:
    """Compute the figures of one process between two readings, per member of the `share` that it hosts."""
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
        cause: (total - before.counted.processor_s.get(cause, 0.0)) / seconds
        for cause, total in after.counted.processor_s.items()
    }
    figures.bytes_per_s = _compute_rates(before.counted.bytes, after.counted.bytes, seconds)
    figures.messages_per_s = _compute_rates(before.counted.messages, after.counted.messages, seconds)
    figures.work_per_s = {
        name: (total - before.counted.work.get(name, 0.0)) / seconds
        for name, total in after.counted.work.items()
    }
    figures.control = compute_control_figures(figures, control)
    return figures


def _compute_rates(
    before: dict[str, Traffic], after: dict[str, Traffic], seconds: float
) -> dict[str, Traffic]:
    rates = {}
    for kind, total in after.items():
        earlier = before.get(kind, Traffic(0.0, 0.0))
        rates[kind] = Traffic(
            _compute_rate(earlier.in_, total.in_, seconds), _compute_rate(earlier.out, total.out, seconds)
        )  # fmt: skip
    return rates


def _compute_rate(before: float | None, after: float | None, seconds: float) -> float | None:
    return None if after is None else (after - (before or 0.0)) / seconds


def compute_control_figures(figures: RoleFigures, control: Control) -> ControlFigures:
    """Sum processor time and bytes of control work; None if a cause, or any traffic, was not counted."""
    control_sums = ControlFigures()
    if set(control.causes) <= set(figures.cores_by_cause):
        control_sums.cores = sum(figures.cores_by_cause[cause] for cause in control.causes)
    if figures.bytes_per_s:
        traffic = [each for kind, each in figures.bytes_per_s.items() if kind not in control.job_kinds]
        control_sums.bytes_per_s = sum((each.in_ or 0.0) + (each.out or 0.0) for each in traffic)
    return control_sums


def compute_role_mean(members: Sequence[RoleFigures]) -> RoleFigures:
    """Return the mean over processes, weighted by the members that each hosts, and each figure's maximum."""
    most: dict[str, float] = {}
    for member in members:
        for name, value in iterate_role_figures(member):
            most[name] = max(value, most.get(name, value))
    weights = [member.count for member in members]
    return RoleFigures(
        count=sum(weights),
        memory_mb=_compute_complete_mean([member.memory_mb for member in members], weights),
        cores=_compute_complete_mean([member.cores for member in members], weights),
        descriptors=_compute_mean([member.descriptors for member in members], weights),
        waited=_compute_complete_mean([member.waited for member in members], weights),
        memory_growth_mb_per_s=_compute_complete_mean(
            [member.memory_growth_mb_per_s for member in members], weights
        ),
        cores_by_cause={
            cause: _compute_mean([member.cores_by_cause.get(cause, 0.0) for member in members], weights)
            for cause in _list_names([member.cores_by_cause for member in members])
        },
        bytes_per_s=_compute_mean_traffic([member.bytes_per_s for member in members], weights),
        messages_per_s=_compute_mean_traffic([member.messages_per_s for member in members], weights),
        work_per_s={
            name: _compute_mean([member.work_per_s.get(name, 0.0) for member in members], weights)
            for name in _list_names([member.work_per_s for member in members])
        },
        control=ControlFigures(
            _compute_complete_mean([member.control.cores for member in members], weights),
            _compute_complete_mean([member.control.bytes_per_s for member in members], weights),
        ),
        most=most,
        hosted=any(member.hosted for member in members),
    )


def compute_client_door_figures(
    schedulers: Sequence[RoleFigures], connections: Sequence[float], kind: str
) -> RoleFigures:
    """Return the figures of the schedulers' client connections.

    They are a part of the scheduler process, so they have no memory and processor time of their own."""
    no_traffic = Traffic()
    return compute_role_mean([
        RoleFigures(
            count=1, memory_mb=None, cores=None, descriptors=open_connections,
            bytes_per_s={kind: scheduler.bytes_per_s.get(kind, no_traffic)},
            messages_per_s={kind: scheduler.messages_per_s.get(kind, no_traffic)},
        )
        for scheduler, open_connections in zip(schedulers, connections, strict=True)
    ])  # fmt: skip


def _list_names(tables: Sequence[Mapping[str, object]]) -> list[str]:
    return sorted({name for table in tables for name in table})


def _compute_mean(values: Sequence[float], weights: Sequence[int]) -> float:
    return sum(value * weight for value, weight in zip(values, weights, strict=True)) / sum(weights)


def _compute_complete_mean(values: Sequence[float | None], weights: Sequence[int]) -> float | None:
    """Return None if one of the processes did not count the figure.

    A mean over some of them would look like a mean over all."""
    known = [value for value in values if value is not None]
    return _compute_mean(known, weights) if len(known) == len(values) else None


def _compute_mean_traffic(tables: Sequence[dict[str, Traffic]], weights: Sequence[int]) -> dict[str, Traffic]:
    no_traffic = Traffic()
    return {
        kind: Traffic(
            _compute_complete_mean([table.get(kind, no_traffic).in_ for table in tables], weights),
            _compute_complete_mean([table.get(kind, no_traffic).out for table in tables], weights),
        )
        for kind in _list_names(tables)
    }
