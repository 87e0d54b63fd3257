"""Conversion of the platform's settings to those of the decision module, and typed reading of JSON fields.

Used by the simulator adapter and by the platform's scheduler, which receive the same settings object.
Conversion only; uses the standard library only.  Must import `interface` and `errors` alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ladderhub import interface as api
from ladderhub.errors.base import BAD_VALUE, LadderhubError

Row = dict[str, Any]
_MISSING = object()
_EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
_SCOPES = {scope.value: scope for scope in api.Scope}
_NS_PER_MS = 1_000_000


class FieldError(LadderhubError):
    """A row received, or the settings, has a missing or invalid field."""

    status, code = 2, BAD_VALUE
    remedy = "look at the field that is named: the other side words it otherwise than published"


def read_field(row: Row, name: str, kinds: tuple[type, ...], default: Any = _MISSING) -> Any:
    """Return a field of one of the types; absent and null fields give the default, if there is one."""
    value = row.get(name)
    if value is None:
        if default is _MISSING:
            raise FieldError(f"missing field '{name}'")
        return default
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise FieldError(f"field '{name}' has the wrong type")
    return value


def read_int(row: Row, name: str, default: Any = _MISSING) -> int:
    return int(read_field(row, name, (int,), default))


def read_float(row: Row, name: str, default: Any = _MISSING) -> float:
    return float(read_field(row, name, (int, float), default))


def read_str(row: Row, name: str) -> str:
    return str(read_field(row, name, (str,)))


def read_flag(row: Row, name: str) -> bool:
    return bool(read_field(row, name, (bool,), False))


def read_object(row: Row, name: str) -> Row:
    part: Row = read_field(row, name, (dict,), {})
    return part


def parse_choice(table: dict[str, Any], name: str, key: Any) -> Any:
    if key not in table:
        raise FieldError(f"field '{name}' holds the unknown value {key!r}")
    return table[key]


def parse_code(code_type: Callable[[int], Any], name: str, value: int) -> Any:
    try:
        return code_type(value)
    except ValueError:
        raise FieldError(f"field '{name}' holds the unknown code {value}") from None


def _get_for_class(values: Any, index: int, default: Any) -> Any:
    """Return one entry of a per-class list; in a list shorter than the classes, the last entry applies on."""
    if not isinstance(values, list) or not values:
        return default
    return values[min(index, len(values) - 1)]


def _read_task_class(row: Row, index: int, extra: Row) -> api.TaskClass:
    return api.TaskClass(
        effect=parse_choice(_EFFECTS, "effect", row.get("effect")),
        aim_ns=read_int(row, "promise-ns"),
        deadline_ns=read_int(row, "deadline-ns"),
        dedupe_scope=parse_choice(_SCOPES, "group", row.get("group", "all")),
        dedupe_window_ns=read_int(row, "window-ns", 0),
        worth=read_float(row, "worth", 1.0),
        late_worth=read_float(row, "late-value", 0.0),
        start_worth_s=float(_get_for_class(extra.get("class-start-s"), index, 0.0)),
        kind=int(_get_for_class(extra.get("needs-kind"), index, -1)),
        spread=parse_choice(_SCOPES, "spread-over", _get_for_class(extra.get("spread-over"), index, "none")),
        spread_most=int(_get_for_class(extra.get("class-most"), index, 1)),
        priority=int(_get_for_class(extra.get("class-priority"), index, 0)),
        calm_level=float(_get_for_class(extra.get("calm-level"), index, 1.0)),
        fade=float(_get_for_class(extra.get("fades-over"), index, 0.0)),
    )


def _read_tenants(rows: Any, quotas: Any) -> tuple[api.Tenant, ...]:
    return tuple(
        api.Tenant(
            read_float(row, "portion", 1.0),
            read_float(row, "quota-per-s", 0.0),
            float(_get_for_class(quotas, at, 0.0)),
        )
        for at, row in enumerate(rows or ())
    )


def read_settings(row: Row) -> api.Settings:
    """Convert a settings object to the module's `Settings`; unknown keys are ignored."""
    extra, limits = read_object(row, "specifics"), read_object(row, "ceilings")
    rules, prices = read_object(row, "rules"), read_object(row, "prices")
    sizes = extra.get("size-cores") or []
    memories = extra.get("size-memory") or []
    classes = read_field(row, "classes", (list,))
    return api.Settings(
        classes=tuple(_read_task_class(item, at, extra) for at, item in enumerate(classes)),
        kinds=tuple(api.MachineKind(float(c), float(m)) for c, m in zip(sizes, memories, strict=True)),
        tenants=_read_tenants(row.get("realms"), extra.get("tenant-quota-cores")),
        schedulers=read_int(row, "balancers", 1),
        ordinal=read_int(row, "ordinal", 0),
        zone=read_int(row, "my-zone", 0),
        tick_ns=read_int(row, "tick-ns", _NS_PER_MS),
        max_attempts=read_int(limits, "most-tries", 1),
        admit_cores=read_float(extra, "admit-cores", 1.0),
        admit_memory=read_float(extra, "admit-memory", 1.0),
        first_at_running=extra.get("confirms") == "running",
        machines_push_out=read_flag(extra, "displaces"),
        list_shows_room=read_flag(extra, "view"),
        reports_count_use=extra.get("report-counts") == "used",
        may_abort=read_flag(limits, "cancelling"),
        may_probe=read_flag(limits, "probes"),
        may_message=read_flag(limits, "peers"),
        list_on_request=row.get("discovery") == "subscribe",
        list_ask_within_ns=read_int(rules, "must-ask-in-ns", 0),
        advises_retry=read_flag(limits, "retry-after"),
        max_retry_advice_ns=read_int(limits, "max-retry-after-ns", 0),
        over_share_worth=read_float(row, "over-share-worth", 1.0),
        drain_grace_ns=read_int(rules, "drain-grace-ns", 0),
        cold_pace=read_float(rules, "cold-from", 1.0),
        cold_span_ns=read_int(rules, "cold-ns", 0),
        cold_window_ns=read_int(rules, "fall-ns", 0),
        cold_multiple=read_float(rules, "fall-multiple", 1.0),
        cold_safe_offers=read_float(extra, "cold-sends", 0.0),
        settle_ns=read_int(extra, "settle-ns", 0),
        price_move=read_float(prices, "moves", 0.0),
        price_eviction_moves=read_float(extra, "eviction-as-moves", 1.0),
        price_machines_in_use=read_float(prices, "fleet", 0.0),
        price_waste=read_float(prices, "waste", 0.0),
        price_refused_offer=read_float(extra, "no-price", 0.0),
        price_cross_zone=read_float(prices, "cross-zone", 0.0),
        price_probe=read_float(prices, "probe", 0.0),
        price_message=read_float(prices, "peer", 0.0),
    )
