"""Conversion to the settings of the decision modules, which use the indexes of this process.

Queues, kinds and tenants removed from the settings keep their index and last values, since jobs accepted
earlier continue with them.
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
from ladderhub.server.settings.schema import Queue, Repeats, SettingsFile

T = TypeVar("T")
_SCOPES = {"none": "none", "node": "machine", "rack": "cell", "zone": "zone", "all": "all"}
_EFFECTS = {effect.value: effect.value for effect in api.Effect}
_ANSWERS = {"running": "running", "accepted": "accepted"}


@dataclass(frozen=True, slots=True)
class NameTables:
    """The tables of all names that have an index."""

    queues: NameTable
    kinds: NameTable
    tenants: NameTable


def arrange_by_index(table: NameTable, current: Mapping[str, T], previous: Sequence[T]) -> tuple[T, ...]:
    """Return the value of each name by index: the current one, or the last one of a removed name."""
    return tuple(
        current[name] if name in current else previous[index] for index, name in enumerate(table.all)
    )


def make_module_settings(
    file: SettingsFile, names: NameTables, previous: api.Settings | None, checker: Checker
) -> api.Settings:
    """Return the settings of the decision module."""
    kinds = {
        name: api.MachineKind(kind.cores, checker.parse_size_gib(f"kinds.{name}.memory", kind.memory))
        for name, kind in file.kinds.items()
    }
    classes = {
        name: _make_task_class(name, queue, file, names, checker) for name, queue in file.queues.items()
    }
    tenants = {
        name: api.Tenant(each.share, each.quota_per_s, each.quota_cores)
        for name, each in file.tenants.items()
    }
    nodes, cold, prices = file.nodes, file.nodes.cold, file.prices
    answers = checker.parse_choice("nodes.answers", _ANSWERS, nodes.answers)
    try:
        return api.Settings(
            classes=arrange_by_index(names.queues, classes, previous.classes if previous else ()),
            kinds=arrange_by_index(names.kinds, kinds, previous.kinds if previous else ()),
            tenants=arrange_by_index(names.tenants, tenants, previous.tenants if previous else ()),
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
            drain_grace_ns=checker.parse_duration_ns("nodes.drain_grace", nodes.drain_grace),
            cold_pace=cold.pace,
            cold_span_ns=checker.parse_duration_ns("nodes.cold.span", cold.span),
            cold_window_ns=checker.parse_duration_ns("nodes.cold.window", cold.window),
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
        raise checker.make_module_error(fault) from None


def _make_task_class(
    name: str, queue: Queue, file: SettingsFile, names: NameTables, checker: Checker
) -> api.TaskClass:
    path = f"queues.{name}"
    spread, repeats = queue.spread, queue.repeats or Repeats()
    if queue.kind and queue.kind not in file.kinds:
        raise checker.make_error(f"{path}.kind", queue.kind, "one of " + ", ".join(file.kinds))
    over = checker.parse_choice(f"{path}.spread.over", _SCOPES, spread.over) if spread else "none"
    return api.TaskClass(
        effect=api.Effect(checker.parse_choice(f"{path}.effect", _EFFECTS, queue.effect)),
        aim_ns=checker.parse_duration_ns(f"{path}.aim", queue.aim),
        deadline_ns=checker.parse_duration_ns(f"{path}.deadline", queue.deadline),
        dedupe_scope=api.Scope(checker.parse_choice(f"{path}.repeats.over", _SCOPES, repeats.over)),
        dedupe_window_ns=checker.parse_duration_ns(f"{path}.repeats.window", repeats.window),
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


def make_owner_settings(
    file: SettingsFile,
    names: NameTables,
    module: api.Settings,
    previous: OwnerSettings | None,
    checker: Checker,
) -> OwnerSettings:
    """Return the settings of the owner's decisions."""
    rules = {
        name: _make_queue_rules(name, queue, module.classes[names.queues.index(name)], checker)
        for name, queue in file.queues.items()
    }
    queues = arrange_by_index(names.queues, rules, previous.queues if previous else ())
    try:
        return OwnerSettings(queues, file.again.share, file.again.burst)
    except ValueError as fault:
        raise checker.make_module_error(fault) from None


def _make_queue_rules(name: str, queue: Queue, klass: api.TaskClass, checker: Checker) -> QueueRules:
    path = f"queues.{name}"
    return QueueRules(
        effect=klass.effect,
        limit_ns=checker.parse_duration_ns(f"{path}.limit", queue.limit),
        request_limit_ns=klass.deadline_ns,
        priority=queue.priority,
        max_requests=queue.asks,
        max_reruns=queue.reruns,
        min_backoff_ns=checker.parse_duration_ns(f"{path}.stay_first", queue.stay_first),
        max_backoff_ns=checker.parse_duration_ns(f"{path}.stay_most", queue.stay_most),
        query_delay_ns=checker.parse_duration_ns(f"{path}.settle", queue.settle),
    )


def make_rollout_settings(file: SettingsFile, checker: Checker) -> RolloutSettings:
    """Return the limits for all updates of services together."""
    given = file.rollouts
    back_first_ns = checker.parse_duration_ns("rollouts.back_first", given.back_first)
    back_most_ns = checker.parse_duration_ns("rollouts.back_most", given.back_most)
    try:
        return RolloutSettings(given.at_once, given.turn, back_first_ns, back_most_ns)
    except ValueError as fault:
        raise checker.make_module_error(fault, "rollouts.") from None
