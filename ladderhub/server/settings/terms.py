"""The settings in the terms of the decision modules, by the indexes of this process.

What vanished from the settings keeps its index and the last terms that it had: jobs that were taken go on by
them.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from ladderhub import interface as api
from ladderhub.owner.types import OwnerSettings, QueueRules
from ladderhub.rollout.types import RolloutSettings
from ladderhub.server.settings.checks import Checker
from ladderhub.server.settings.names import NameTable
from ladderhub.server.settings.schema import File, Queue, Repeats

T = TypeVar("T")
_SCOPES = {"none": "none", "node": "machine", "rack": "cell", "zone": "zone", "all": "all"}
_EFFECTS = {effect.value: effect.value for effect in api.Effect}
_ANSWERS = {"running": "running", "accepted": "accepted"}


@dataclass(frozen=True, slots=True)
class Names:
    """All names that have an index."""

    queues: NameTable
    kinds: NameTable
    tenants: NameTable


def by_index(table: NameTable, now: Mapping[str, T], known: Sequence[T]) -> tuple[T, ...]:
    """What belongs to each name: as it is now, or as it was last."""
    return tuple(now[name] if name in now else known[at] for at, name in enumerate(table.all))


def module_settings(file: File, names: Names, known: api.Settings | None, checker: Checker) -> api.Settings:
    """Of the decision module."""
    kinds = {
        name: api.MachineKind(kind.cores, checker.size(f"kinds.{name}.memory", kind.memory))
        for name, kind in file.kinds.items()
    }
    classes = {name: _task_class(name, queue, file, names, checker) for name, queue in file.queues.items()}
    tenants = {
        name: api.Tenant(each.share, each.quota_per_s, each.quota_cores)
        for name, each in file.tenants.items()
    }
    nodes, cold, prices = file.nodes, file.nodes.cold, file.prices
    answers = checker.choice("nodes.answers", _ANSWERS, nodes.answers)
    try:
        return api.Settings(
            classes=by_index(names.queues, classes, known.classes if known else ()),
            kinds=by_index(names.kinds, kinds, known.kinds if known else ()),
            tenants=by_index(names.tenants, tenants, known.tenants if known else ()),
            schedulers=file.schedulers,
            ordinal=file.ordinal,
            zone=0,
            max_attempts=nodes.most_attempts,
            admit_cores=nodes.admit_cores,
            admit_memory=nodes.admit_memory,
            first_at_running=answers == "running",
            machines_push_out=nodes.push_out,
            list_shows_room=nodes.list_shows_room,
            may_abort=True,
            drain_grace_ns=checker.span("nodes.drain_grace", nodes.drain_grace),
            cold_pace=cold.pace,
            cold_span_ns=checker.span("nodes.cold.span", cold.span),
            cold_window_ns=checker.span("nodes.cold.window", cold.window),
            cold_multiple=cold.multiple,
            cold_safe_offers=cold.safe_offers,
            price_move=prices.move,
            price_eviction_moves=prices.eviction_moves,
            price_machines_in_use=prices.nodes_in_use,
            price_waste=prices.waste,
            price_refused_offer=prices.refused_offer,
            price_cross_zone=prices.cross_zone,
        )
    except ValueError as fault:
        raise checker.refused(fault) from None


def _task_class(name: str, queue: Queue, file: File, names: Names, checker: Checker) -> api.TaskClass:
    path = f"queues.{name}"
    spread, repeats = queue.spread, queue.repeats or Repeats()
    if queue.kind and queue.kind not in file.kinds:
        raise checker.wrong(f"{path}.kind", queue.kind, "one of " + ", ".join(file.kinds))
    over = checker.choice(f"{path}.spread.over", _SCOPES, spread.over) if spread else "none"
    return api.TaskClass(
        effect=api.Effect(checker.choice(f"{path}.effect", _EFFECTS, queue.effect)),
        aim_ns=checker.span(f"{path}.aim", queue.aim),
        deadline_ns=checker.span(f"{path}.deadline", queue.deadline),
        dedupe_scope=api.Scope(checker.choice(f"{path}.repeats.over", _SCOPES, repeats.over)),
        dedupe_window_ns=checker.span(f"{path}.repeats.window", repeats.window),
        worth=queue.worth,
        late_worth=queue.late_worth,
        start_worth_s=queue.start_worth_s,
        kind=names.kinds.index(queue.kind) if queue.kind else -1,
        spread=api.Scope(over),
        spread_most=spread.most if spread else 1,
        priority=queue.priority,
        calm_level=queue.calm_level,
        fade=queue.fade,
    )


def owner_settings(
    file: File, names: Names, module: api.Settings, known: OwnerSettings | None, checker: Checker
) -> OwnerSettings:
    """Of the owner's decisions."""
    rules = {
        name: _queue_rules(name, queue, module.classes[names.queues.index(name)], checker)
        for name, queue in file.queues.items()
    }
    queues = by_index(names.queues, rules, known.queues if known else ())
    try:
        return OwnerSettings(queues, file.again.share, file.again.burst)
    except ValueError as fault:
        raise checker.refused(fault) from None


def _queue_rules(name: str, queue: Queue, klass: api.TaskClass, checker: Checker) -> QueueRules:
    path = f"queues.{name}"
    return QueueRules(
        effect=klass.effect,
        limit_ns=checker.span(f"{path}.limit", queue.limit),
        request_limit_ns=klass.deadline_ns,
        priority=queue.priority,
        max_requests=queue.asks,
        max_reruns=queue.reruns,
        min_backoff_ns=checker.span(f"{path}.stay_first", queue.stay_first),
        max_backoff_ns=checker.span(f"{path}.stay_most", queue.stay_most),
        query_delay_ns=checker.span(f"{path}.settle", queue.settle),
    )


def rollout_settings(file: File, checker: Checker) -> RolloutSettings:
    """Of all updates of services together."""
    given = file.rollouts
    back_first_ns = checker.span("rollouts.back_first", given.back_first)
    back_most_ns = checker.span("rollouts.back_most", given.back_most)
    try:
        return RolloutSettings(given.at_once, given.turn, back_first_ns, back_most_ns)
    except ValueError as fault:
        raise checker.refused(fault, "rollouts.") from None
