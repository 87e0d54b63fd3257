"""Translates the platform's messages and lists into the decision module's types.  Decides nothing."""

from __future__ import annotations

from ladderhub import interface as api
from ladderhub.signalling import Cause, HostRow
from ladderhub.translate import Row, parse_choice, read_field, read_str

MS = 1_000_000
_STAGES = {"ready": api.Stage.SERVING, "draining": api.Stage.DRAINING, "gone": api.Stage.GONE}
_NOTES: dict[str, api.Topic | api.Reason] = {
    "runs": api.Topic.RUNNING,
    "cores": api.Topic.CORES_USED,
    "memory": api.Topic.MEMORY_USED,
    "served": api.Topic.SERVICE_LEVEL,
    "pressure": api.Topic.MACHINE_MEMORY,
    "no_cores": api.Reason.CORES,
    "no_memory": api.Reason.MEMORY,
    "queue_full": api.Reason.LINE_FULL,
    "not_here": api.Reason.NOT_HERE,
    "evicted": api.Reason.EVICTED,
    "pushed_out": api.Reason.DISPLACED,
    "sent_away": api.Reason.SENT_AWAY,
}
_OUTCOMES_BEFORE_ANSWER: dict[int, api.Outcome] = {
    Cause.NO_ROOM: api.Outcome.REFUSED,
    Cause.ERROR: api.Outcome.ERROR,
    Cause.MOOT: api.Outcome.NEVER_SENT,
}
_OUTCOMES_AFTER_ANSWER: dict[int, api.Outcome] = {
    Cause.NORMAL: api.Outcome.DONE,
    Cause.CANCELLED: api.Outcome.CANCELLED,
}


def to_outcome(cause: int | None, started: bool) -> api.Outcome:
    """The outcome that a machine's release with this cause stands for, before or after the task started.  A
    missing or unknown cause means LOST, which does not tell whether the task ran."""
    return (
        api.Outcome.LOST
        if cause is None
        else (_OUTCOMES_AFTER_ANSWER if started else _OUTCOMES_BEFORE_ANSWER).get(cause, api.Outcome.LOST)
    )


def get_owner_cause(cause: int | None) -> int:
    """The cause that tells an owner how its task ended, by the one that the machine gave.

    An owner that hears of a cancelled task did not ask for that: for it the task was cut off."""
    return Cause.BROKEN if cause is None or cause == Cause.CANCELLED else cause


def to_reason(note: str | None) -> api.Reason:
    found = _NOTES.get(note or "")
    return found if isinstance(found, api.Reason) else api.Reason.UNKNOWN


def to_topic(note: str | None) -> api.Topic | None:
    found = _NOTES.get(note or "")
    return found if isinstance(found, api.Topic) else None


class NameIndex:
    """Indices of classes, tenants, machine kinds and zones, by their names in the settings."""

    def __init__(self, settings: Row) -> None:
        self.classes = {
            read_str(row, "name"): at for at, row in enumerate(read_field(settings, "classes", (list,)))
        }
        self.tenants = {read_str(row, "name"): at for at, row in enumerate(settings.get("realms") or ())}
        self.kinds = {str(name): at for at, name in enumerate(settings.get("models") or ())}
        self.zones = {str(name): at for at, name in enumerate(settings.get("zones") or ())}

    def to_machine_entry(self, row: HostRow) -> api.MachineEntry:
        """Translate one row of the journal; FieldError if it uses a name unknown to the settings."""
        return api.MachineEntry(
            machine=row.name,
            stage=parse_choice(_STAGES, "status", row.status),
            kind=parse_choice(self.kinds, "type", row.type),
            zone=parse_choice(self.zones, "zone", row.zone),
            cell=row.group,
            ready_ns=row.since_ms * MS,
            free_cores=row.left_over[0],
            free_memory=row.left_over[1],
            weight=row.weight,
        )
