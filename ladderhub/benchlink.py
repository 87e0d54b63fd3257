"""Adapter between the simulator's protocol (JSON lines on standard input and output) and the decision module.

It only translates: each simulated instance has one `Scheduler`, which receives its events in order.  A
malformed line ends the program with one message on standard error; an exception in the module is reported as
`InternalError`.
"""

from __future__ import annotations

import json
import sys
from typing import IO, Any, NoReturn

from ladderhub import interface as api
from ladderhub.decide import Scheduler
from ladderhub.translate import (
    FieldError,
    Row,
    parse_choice,
    parse_code,
    read_field,
    read_flag,
    read_float,
    read_int,
    read_object,
    read_settings,
    read_str,
)

Tables = dict[int, tuple[api.MachineEntry, ...]]
_STAGES = {"SERVING": api.Stage.SERVING, "DRAINING": api.Stage.DRAINING, "DELETED": api.Stage.GONE}
_LIST_KINDS = {
    "diff": api.ListKind.CHANGES,
    "snapshot": api.ListKind.FULL,
    "disk": api.ListKind.RECALLED,
    "error": api.ListKind.FAILED,
}
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


def _read_entry(row: Row) -> api.MachineEntry:
    return api.MachineEntry(
        machine=read_str(row, "machine"),
        stage=parse_choice(_STAGES, "stage-state", row.get("stage-state")),
        kind=read_int(row, "model", 0),
        zone=read_int(row, "area", 0),
        cell=read_int(row, "pod", 0),
        ready_ns=read_int(row, "ready-at-ns", 0),
        free_cores=read_float(row, "free-cores", 0.0),
        free_memory=read_float(row, "open-memory", 0.0),
        weight=read_float(row, "size", 1.0),
    )


def _read_task(row: Row) -> api.TaskAsked:
    marks = read_int(row, "marks", 0)
    has_hint = bool(marks & _MARK_HINT) and row.get("time-to-run-ns") is not None
    return api.TaskAsked(
        task=read_int(row, "rid"),
        key=read_str(row, "unit-id"),
        klass=read_int(row, "category", 0),
        service=read_str(row, "group"),
        cores=read_float(row, "cores-asked"),
        memory=read_float(row, "mem-needed"),
        budget_ns=read_int(row, "budget-ns"),
        tenant=read_int(row, "project", 0),
        life_hint_ns=read_int(row, "time-to-run-ns") if has_hint else None,
        repeat=bool(marks & _MARK_REPEAT),
        came_again=bool(marks & _MARK_AGAIN),
    )


def _read_report(row: Row, fields: tuple[str, ...]) -> api.LoadReport | None:
    values = row.get("feedback")
    if values is None:
        return None
    if not isinstance(values, list) or len(values) != len(fields):
        raise FieldError("field 'feedback' does not match the report's fields")
    known: dict[str, Any] = {}
    for name, value in zip(fields, values, strict=True):
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise FieldError("field 'feedback' holds a value that is not a number")
        if name in _REPORT_FIELDS:
            scale = _NS_PER_MS if name == "latency_ms" else 1
            known[_REPORT_FIELDS[name]] = float(value) * scale
    return api.LoadReport(**known)


def _read_bytes(row: Row) -> bytes:
    try:
        return bytes.fromhex(read_str(row, "blob"))
    except ValueError:
        raise FieldError("field 'blob' is not hex") from None


def read_event(row: Row, fields: tuple[str, ...], tables: Tables) -> api.Event:
    """Convert an event row of an instance to an event of the module."""
    match row["what"]:
        case "RosterChange":
            kind = parse_choice(_LIST_KINDS, "how", row.get("how"))
            entries: tuple[api.MachineEntry, ...] = ()
            if kind is not api.ListKind.FAILED:
                number = read_int(row, "roster-id")
                if number not in tables:
                    raise FieldError(f"no Table has the number {number}")
                entries = tables[number]
            return api.MachineList(kind, read_int(row, "gen", 0), entries)
        case "Demand":
            return _read_task(row)
        case "Standing":
            return api.TaskOpen(_read_task(row), read_str(row, "machine"))
        case "Landed":
            return api.TaskPlaced(
                read_int(row, "rid"),
                read_int(row, "trial"),
                read_str(row, "machine"),
                read_int(row, "delay-seen-ns", 0),
            )
        case "Signal":
            topic = parse_code(api.Topic, "topic", read_int(row, "topic"))
            return api.TaskNote(
                read_int(row, "rid"),
                read_int(row, "trial"),
                read_str(row, "machine"),
                topic,
                read_float(row, "level", 0.0),
            )
        case "Answer":
            return api.AttemptEnded(
                task=read_int(row, "rid"),
                attempt=read_int(row, "trial"),
                machine=read_str(row, "machine"),
                outcome=parse_code(api.Outcome, "outcome", read_int(row, "outcome")),
                reason=parse_code(api.Reason, "detail", read_int(row, "detail", 0)),
                concluded=read_flag(row, "ended"),
                elapsed_ns=read_int(row, "delay-seen-ns", 0),
                report=_read_report(row, fields),
            )
        case "CancelledByClient":
            return api.TaskWithdrawn(read_int(row, "rid"))
        case "Alarm":
            return api.TimerFired(read_int(row, "cookie"))
        case "Probed":
            outcome = parse_code(api.Outcome, "outcome", read_int(row, "outcome"))
            return api.ProbeAnswered(
                read_str(row, "machine"),
                outcome,
                read_int(row, "delay-seen-ns", 0),
                _read_report(row, fields),
            )
        case "Message":
            return api.PeerMessage(read_int(row, "neighbour"), _read_bytes(row))
        case other:
            raise FieldError(f"unknown event {other!r}")


def write_action(action: api.Action) -> Row:
    """Convert an action of the module to a row, without the name of the instance."""
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


class SimulatorAdapter:
    """The simulated instances of one process, and the machine lists that their events refer to."""

    def __init__(self) -> None:
        self._instances: dict[str, tuple[Scheduler, tuple[str, ...]]] = {}
        self._tables: Tables = {}

    def handle_row(self, now_ns: int, row: Row) -> list[Row]:
        """Process one event row and return the rows of the resulting actions."""
        what = row.get("what")
        if what == "Table":
            entries = read_field(row, "entries", (list,))
            self._tables[read_int(row, "roster-id")] = tuple(_read_entry(entry) for entry in entries)
            return []
        name = read_str(row, "scheduler")
        if what == "Born":
            return self._create_instance(name, row)
        if name not in self._instances:
            raise FieldError(f"{what} for instance {name!r}, which is not running")
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
            return [_make_internal_error(name, fault)]
        return [{"scheduler": name} | write_action(action) for action in actions]

    def _create_instance(self, name: str, row: Row) -> list[Row]:
        raw = read_field(row, "settings", (dict,))
        fields = tuple(str(field) for field in read_object(raw, "load-report").get("fields", ()))
        seed = read_int(row, "seed")
        try:
            settings = read_settings(raw)
            scheduler = Scheduler(settings, seed)
        except (FieldError, TypeError, AttributeError) as fault:
            raise FieldError(str(fault), where="settings") from None
        except ValueError as fault:
            return [_make_internal_error(name, fault)]
        self._instances[name] = (scheduler, fields)
        return []


def _check_indices(asked: api.TaskAsked, settings: api.Settings) -> None:
    """Reject an unknown class or tenant; without any tenants, tenant 0 stands for none."""
    if not 0 <= asked.klass < len(settings.classes):
        raise FieldError(f"field 'category' holds {asked.klass}, which is not in the list of classes")
    if not 0 <= asked.tenant < max(1, len(settings.tenants)):
        raise FieldError(f"field 'project' holds {asked.tenant}, which is not in the list of tenants")


def _make_internal_error(name: str, fault: Exception) -> Row:
    return {
        "scheduler": name,
        "what": "InternalError",
        "reason-text": f"{type(fault).__name__}: {fault}",
    }


def _parse_row(line: bytes) -> Row:
    try:
        row = json.loads(line)
    except ValueError as fault:
        raise FieldError(f"not JSON ({fault})") from None
    if not isinstance(row, dict) or not isinstance(row.get("what"), str):
        raise FieldError("not an object with a 'what'")
    return row


def serve(source: IO[bytes], sink: IO[bytes]) -> None:
    """Process batches until the input ends."""
    adapter = SimulatorAdapter()
    now_ns: int | None = None
    replies: list[Row] = []
    number = 0
    for number, line in enumerate(source, 1):
        try:
            row = _parse_row(line)
            what = row["what"]
            if what == "Round":
                if now_ns is not None:
                    raise FieldError("a Round inside a batch")
                now_ns = read_int(row, "wall-ns")
            elif now_ns is None:
                raise FieldError(f"{what} outside a batch")
            elif what == "EofBatch":
                text = "".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in replies)
                sink.write(text.encode() + b'{"what":"Finished"}\n')
                sink.flush()
                replies, now_ns = [], None
            else:
                replies.extend(adapter.handle_row(now_ns, row))
        except FieldError as fault:
            raise FieldError(str(fault), where=f"line {number}") from None
    if now_ns is not None:
        raise FieldError(f"line {number}: the input ends inside a batch")


def main() -> NoReturn:
    """Serve standard input; exit with status 2 and one message if it violates the protocol."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except FieldError as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.exit(1)
    sys.exit(0)


if __name__ == "__main__":
    main()
