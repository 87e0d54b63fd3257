"""Adapter between the bench's wire (JSON lines on standard input and output) and the decision module.

Translation only: one `Scheduler` per instance, each fed its own events in order.  A malformed line ends the
program with one message on standard error; an exception in the module is told as `InternalError`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import IO, Any, NoReturn

from ladderhub import interface as api
from ladderhub.decide import Scheduler

Row = dict[str, Any]
Tables = dict[int, tuple[api.MachineEntry, ...]]
_MISSING = object()
_STAGES = {"SERVING": api.Stage.SERVING, "DRAINING": api.Stage.DRAINING, "DELETED": api.Stage.GONE}
_LISTS = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.FULL,
    "disk": api.ListKind.RECALLED,
    "error": api.ListKind.FAILED,
}
_EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
_SCOPES = {scope.value: scope for scope in api.Scope}
_REPORT_FIELDS = {
    "x0": "cores_free",
    "x1": "memory_free",
    "util": "busy",
    "queue": "waiting",
    "inflight": "tasks",
    "latency_ms": "start_ns",
    "qps": "starts_per_s",
    "eps": "errors_per_s",
}
_MARK_HINT, _MARK_REPEAT, _MARK_AGAIN = 1, 2, 16
_NS_PER_MS = 1_000_000


class WireError(Exception):
    """The input is not the wire."""


def _get(row: Row, name: str, kinds: tuple[type, ...], default: Any = _MISSING) -> Any:
    value = row.get(name)
    if value is None:
        if default is _MISSING:
            raise WireError(f"missing field '{name}'")
        return default
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise WireError(f"field '{name}' has the wrong type")
    return value


def _int(row: Row, name: str, default: Any = _MISSING) -> int:
    return int(_get(row, name, (int,), default))


def _num(row: Row, name: str, default: Any = _MISSING) -> float:
    return float(_get(row, name, (int, float), default))


def _str(row: Row, name: str) -> str:
    return str(_get(row, name, (str,)))


def _flag(row: Row, name: str) -> bool:
    return bool(_get(row, name, (bool,), False))


def _part(row: Row, name: str) -> Row:
    part: Row = _get(row, name, (dict,), {})
    return part


def _choice(table: dict[str, Any], name: str, word: Any) -> Any:
    if word not in table:
        raise WireError(f"field '{name}' holds the unknown value {word!r}")
    return table[word]


def _code(kind: Callable[[int], Any], name: str, value: int) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"field '{name}' holds the unknown code {value}") from None


def _at(values: Any, index: int, default: Any) -> Any:
    """Per-class lists of the settings; a list may be shorter than the classes: its last entry serves on."""
    if not isinstance(values, list) or not values:
        return default
    return values[min(index, len(values) - 1)]


def _task_class(row: Row, index: int, extra: Row) -> api.TaskClass:
    return api.TaskClass(
        effect=_choice(_EFFECTS, "effect", row.get("effect")),
        aim_ns=_int(row, "promise-ns"),
        deadline_ns=_int(row, "deadline-ns"),
        dedupe_scope=_choice(_SCOPES, "group", row.get("group", "all")),
        dedupe_window_ns=_int(row, "window-ns", 0),
        worth=_num(row, "worth", 1.0),
        late_worth=_num(row, "late-value", 0.0),
        start_worth_s=float(_at(extra.get("class-start-s"), index, 0.0)),
        kind=int(_at(extra.get("needs-kind"), index, -1)),
        spread=_choice(_SCOPES, "spread-over", _at(extra.get("spread-over"), index, "none")),
        spread_most=int(_at(extra.get("class-most"), index, 1)),
        priority=int(_at(extra.get("class-priority"), index, 0)),
        calm_level=float(_at(extra.get("calm-level"), index, 1.0)),
        fade=float(_at(extra.get("fades-over"), index, 0.0)),
    )


def _tenants(rows: Any, quotas: Any) -> tuple[api.Tenant, ...]:
    return tuple(
        api.Tenant(_num(row, "portion", 1.0), _num(row, "quota-per-s", 0.0), float(_at(quotas, at, 0.0)))
        for at, row in enumerate(rows or ())
    )


def read_settings(row: Row) -> api.Settings:
    """The settings of the wire in the module's terms; keys that are not known here are left out."""
    extra, limits = _part(row, "specifics"), _part(row, "ceilings")
    rules, prices = _part(row, "rules"), _part(row, "prices")
    sizes = extra.get("size-cores") or []
    memories = extra.get("size-memory") or []
    classes = _get(row, "classes", (list,))
    return api.Settings(
        classes=tuple(_task_class(item, at, extra) for at, item in enumerate(classes)),
        kinds=tuple(api.MachineKind(float(c), float(m)) for c, m in zip(sizes, memories, strict=True)),
        tenants=_tenants(row.get("realms"), extra.get("tenant-quota-cores")),
        schedulers=_int(row, "balancers", 1),
        ordinal=_int(row, "ordinal", 0),
        zone=_int(row, "my-zone", 0),
        tick_ns=_int(row, "tick-ns", _NS_PER_MS),
        max_attempts=_int(limits, "most-tries", 1),
        admit_cores=_num(extra, "admit-cores", 1.0),
        admit_memory=_num(extra, "admit-memory", 1.0),
        first_at_running=extra.get("confirms") == "running",
        machines_push_out=_flag(extra, "displaces"),
        list_shows_room=_flag(extra, "view"),
        reports_count_use=extra.get("report-counts") == "used",
        may_abort=_flag(limits, "cancelling"),
        may_probe=_flag(limits, "probes"),
        may_message=_flag(limits, "peers"),
        list_on_request=row.get("discovery") == "subscribe",
        list_ask_within_ns=_int(rules, "must-ask-in-ns", 0),
        advises_retry=_flag(limits, "retry-after"),
        max_retry_advice_ns=_int(limits, "max-retry-after-ns", 0),
        over_share_worth=_num(row, "over-share-worth", 1.0),
        drain_grace_ns=_int(rules, "drain-grace-ns", 0),
        cold_pace=_num(rules, "cold-from", 1.0),
        cold_span_ns=_int(rules, "cold-ns", 0),
        cold_window_ns=_int(rules, "fall-ns", 0),
        cold_multiple=_num(rules, "fall-multiple", 1.0),
        cold_safe_offers=_num(extra, "cold-sends", 0.0),
        settle_ns=_int(extra, "settle-ns", 0),
        price_move=_num(prices, "moves", 0.0),
        price_eviction_moves=_num(extra, "eviction-as-moves", 1.0),
        price_machines_in_use=_num(prices, "fleet", 0.0),
        price_waste=_num(prices, "waste", 0.0),
        price_refused_offer=_num(extra, "no-price", 0.0),
        price_cross_zone=_num(prices, "cross-zone", 0.0),
        price_probe=_num(prices, "probe", 0.0),
        price_message=_num(prices, "peer", 0.0),
    )


def _entry(row: Row) -> api.MachineEntry:
    return api.MachineEntry(
        machine=_str(row, "machine"),
        stage=_choice(_STAGES, "stage-state", row.get("stage-state")),
        kind=_int(row, "model", 0),
        zone=_int(row, "area", 0),
        cell=_int(row, "pod", 0),
        ready_ns=_int(row, "ready-at-ns", 0),
        free_cores=_num(row, "free-cores", 0.0),
        free_memory=_num(row, "open-memory", 0.0),
        weight=_num(row, "size", 1.0),
    )


def _asked(row: Row) -> api.TaskAsked:
    marks = _int(row, "marks", 0)
    hinted = bool(marks & _MARK_HINT) and row.get("time-to-run-ns") is not None
    return api.TaskAsked(
        task=_int(row, "rid"),
        key=_str(row, "unit-id"),
        klass=_int(row, "category", 0),
        service=_str(row, "group"),
        cores=_num(row, "cores-asked"),
        memory=_num(row, "mem-needed"),
        budget_ns=_int(row, "budget-ns"),
        tenant=_int(row, "project", 0),
        life_hint_ns=_int(row, "time-to-run-ns") if hinted else None,
        repeat=bool(marks & _MARK_REPEAT),
        came_again=bool(marks & _MARK_AGAIN),
    )


def _report(row: Row, fields: tuple[str, ...]) -> api.LoadReport | None:
    values = row.get("feedback")
    if values is None:
        return None
    if not isinstance(values, list) or len(values) != len(fields):
        raise WireError("field 'feedback' does not match the report's fields")
    known: dict[str, Any] = {}
    for name, value in zip(fields, values, strict=True):
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise WireError("field 'feedback' holds a value that is no number")
        if name in _REPORT_FIELDS:
            scale = _NS_PER_MS if name == "latency_ms" else 1
            known[_REPORT_FIELDS[name]] = float(value) * scale
    return api.LoadReport(**known)


def _read_bytes(row: Row) -> bytes:
    try:
        return bytes.fromhex(_str(row, "blob"))
    except ValueError:
        raise WireError("field 'blob' is not hex") from None


def read_event(row: Row, fields: tuple[str, ...], tables: Tables) -> api.Event:
    """One event of an instance in the module's terms."""
    match row["what"]:
        case "RosterChange":
            kind = _choice(_LISTS, "how", row.get("how"))
            entries: tuple[api.MachineEntry, ...] = ()
            if kind is not api.ListKind.FAILED:
                number = _int(row, "roster-id")
                if number not in tables:
                    raise WireError(f"no Table has the number {number}")
                entries = tables[number]
            return api.MachineList(kind, _int(row, "gen", 0), entries)
        case "Demand":
            return _asked(row)
        case "Standing":
            return api.TaskOpen(_asked(row), _str(row, "machine"))
        case "Landed":
            return api.TaskPlaced(
                _int(row, "rid"), _int(row, "trial"), _str(row, "machine"), _int(row, "delay-seen-ns", 0)
            )
        case "Signal":
            topic = _code(api.Topic, "topic", _int(row, "topic"))
            return api.TaskNote(
                _int(row, "rid"), _int(row, "trial"), _str(row, "machine"), topic, _num(row, "level", 0.0)
            )
        case "Answer":
            return api.AttemptEnded(
                task=_int(row, "rid"),
                attempt=_int(row, "trial"),
                machine=_str(row, "machine"),
                outcome=_code(api.Outcome, "outcome", _int(row, "outcome")),
                reason=_code(api.Reason, "detail", _int(row, "detail", 0)),
                concluded=_flag(row, "ended"),
                elapsed_ns=_int(row, "delay-seen-ns", 0),
                report=_report(row, fields),
            )
        case "CancelledByClient":
            return api.TaskWithdrawn(_int(row, "rid"))
        case "Alarm":
            return api.TimerFired(_int(row, "cookie"))
        case "Probed":
            outcome = _code(api.Outcome, "outcome", _int(row, "outcome"))
            return api.ProbeAnswered(
                _str(row, "machine"), outcome, _int(row, "delay-seen-ns", 0), _report(row, fields)
            )
        case "Message":
            return api.PeerMessage(_int(row, "neighbour"), _read_bytes(row))
        case other:
            raise WireError(f"unknown event {other!r}")


def write_action(action: api.Action) -> Row:
    """One action of the module as the wire words it, without its instance."""
    match action:
        case api.Send(task, machine, timeout):
            row: Row = {"what": "Bind", "rid": task, "machine": machine}
            return row if timeout is None else row | {"try-for-ns": timeout}
        case api.Abort(task, attempt):
            return {"what": "AbortAttempt", "rid": task, "trial": attempt}
        case api.Refuse(task, stay_away):
            row = {"what": "OverloadReply", "rid": task}
            return row | {"cool-down-ns": stay_away} if stay_away else row
        case api.Fail(task):
            return {"what": "RespondError", "rid": task}
        case api.Move(task):
            return {"what": "Shift", "rid": task}
        case api.SetTimer(at, timer):
            return {"what": "Schedule", "alarm-time-ns": at, "cookie": timer}
        case api.Probe(machine):
            return {"what": "Check", "machine": machine}
        case api.CloseIdle(machine):
            return {"what": "Close", "machine": machine}
        case api.Tell(data, peer):
            return {"what": "Tell", "dst": "*" if peer is None else peer, "blob": data.hex()}
        case api.Follow(enable):
            return {"what": "Track", "enable": enable}
        case api.Fetch():
            return {"what": "Pull"}
        case api.Log(text):
            return {"what": "Remark", "reason-text": text}


class Link:
    """The instances of one process and the lists they are told by."""

    def __init__(self) -> None:
        self._instances: dict[str, tuple[Scheduler, tuple[str, ...]]] = {}
        self._tables: Tables = {}

    def event(self, now_ns: int, row: Row) -> list[Row]:
        """Take one event line and give the actions it brings."""
        what = row.get("what")
        if what == "Table":
            entries = _get(row, "entries", (list,))
            self._tables[_int(row, "roster-id")] = tuple(_entry(entry) for entry in entries)
            return []
        name = _str(row, "scheduler")
        if what == "Born":
            return self._born(name, row)
        if name not in self._instances:
            raise WireError(f"{what} for instance {name!r}, which is not born")
        if what == "CrashNow":
            del self._instances[name]
            return []
        scheduler, fields = self._instances[name]
        event = read_event(row, fields, self._tables)
        if isinstance(event, api.TaskAsked | api.TaskOpen):
            _check_indices(event.asked if isinstance(event, api.TaskOpen) else event, scheduler.settings)
        try:
            actions = scheduler.handle(now_ns, event)
        except Exception as fault:
            return [_internal_error(name, fault)]
        return [{"scheduler": name} | write_action(action) for action in actions]

    def _born(self, name: str, row: Row) -> list[Row]:
        raw = _get(row, "settings", (dict,))
        fields = tuple(str(field) for field in _part(raw, "load-report").get("fields", ()))
        seed = _int(row, "seed")
        try:
            settings = read_settings(raw)
            scheduler = Scheduler(settings, seed)
        except (WireError, TypeError, AttributeError) as fault:
            raise WireError(f"settings: {fault}") from None
        except ValueError as fault:
            return [_internal_error(name, fault)]
        self._instances[name] = (scheduler, fields)
        return []


def _check_indices(asked: api.TaskAsked, settings: api.Settings) -> None:
    """Tenant 0 also stands for none, where there are no tenants."""
    if not 0 <= asked.klass < len(settings.classes):
        raise WireError(f"field 'category' holds {asked.klass}, which is not in the list of classes")
    if not 0 <= asked.tenant < max(1, len(settings.tenants)):
        raise WireError(f"field 'project' holds {asked.tenant}, which is not in the list of tenants")


def _internal_error(name: str, fault: Exception) -> Row:
    return {
        "scheduler": name,
        "what": "InternalError",
        "reason-text": f"{type(fault).__name__}: {fault}",
    }


def _parse(line: bytes) -> Row:
    try:
        row = json.loads(line)
    except ValueError as fault:
        raise WireError(f"not JSON ({fault})") from None
    if not isinstance(row, dict) or not isinstance(row.get("what"), str):
        raise WireError("not an object with a 'what'")
    return row


def serve(source: IO[bytes], sink: IO[bytes]) -> None:
    """Answer batches until the input ends."""
    link = Link()
    now_ns: int | None = None
    replies: list[Row] = []
    number = 0
    for number, line in enumerate(source, 1):
        try:
            row = _parse(line)
            what = row["what"]
            if what == "Round":
                if now_ns is not None:
                    raise WireError("a Round inside a batch")
                now_ns = _int(row, "wall-ns")
            elif now_ns is None:
                raise WireError(f"{what} outside a batch")
            elif what == "EofBatch":
                text = "".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in replies)
                sink.write(text.encode() + b'{"what":"Finished"}\n')
                sink.flush()
                replies, now_ns = [], None
            else:
                replies.extend(link.event(now_ns, row))
        except WireError as fault:
            raise WireError(f"line {number}: {fault}") from None
    if now_ns is not None:
        raise WireError(f"line {number}: the input ends inside a batch")


def main() -> NoReturn:
    """Serve standard input; exit 2 with one message where it is not the wire."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.exit(1)
    sys.exit(0)


if __name__ == "__main__":
    main()
