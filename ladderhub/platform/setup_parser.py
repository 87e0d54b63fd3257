"""Parses and checks an owner's set-up.

Only malformed set-ups are rejected here; all other decisions are the decision module's.
"""

from __future__ import annotations

import math

from ladderhub import interface as api
from ladderhub.platform.mapping import NameIndex
from ladderhub.platform.task import SetupRequest
from ladderhub.signalling import Kind, Message, SignalError

MS = 1_000_000


def parse_setup(message: Message, names: NameIndex, settings: api.Settings) -> SetupRequest:
    """Parse and check the fields of a set-up; SignalError names the one that is invalid."""
    fields, id = message.fields, message.id
    klass_name, tenant = str(fields.get("class", "")), str(fields.get("tenant", ""))
    if klass_name not in names.classes:
        raise SignalError(f"class: {klass_name[:40]!r} is unknown", id)
    if names.tenants and tenant not in names.tenants:
        raise SignalError(f"tenant: {tenant[:40]!r} is unknown", id)
    extras = _parse_extras(str(fields.get("extras", "")))
    klass = names.classes[klass_name]
    max_cores = max((kind.cores for kind in settings.kinds), default=math.inf) * settings.admit_cores
    max_memory = max((kind.memory for kind in settings.kinds), default=math.inf) * settings.admit_memory
    key, service = str(fields.get("key", "")), extras.get("service", "")
    if not key or len(key.encode()) > 255:
        raise SignalError("key: the name of the task is missing or too long", id)
    if not service:
        raise SignalError("extras: service: the service of the task is missing", id)
    if not message.description:
        raise SignalError("a set-up must have a description", id)
    machine = extras.get("at", "")
    # A task that already runs needs no time for placement; a new one has at most its class's deadline.
    max_left_ms = settings.classes[klass].deadline_ns / MS
    left = 0.0 if machine else _parse_number(fields.get("left"), "left", max_left_ms, id)
    return SetupRequest(
        id=id, klass=klass, klass_name=klass_name, tenant=names.tenants.get(tenant, 0), key=key,
        service=service,
        cores=_parse_number(extras.get("cores"), "extras: cores", max_cores, id),
        memory=_parse_number(extras.get("memory"), "extras: memory", max_memory, id),
        left_ns=round(left * MS), description=message.description, machine=machine,
    )  # fmt: skip


def is_handover(message: Message) -> bool:
    """Whether it hands over a task that already runs on a machine."""
    return message.kind is Kind.SETUP and "at" in _parse_extras(str(message.fields.get("extras", "")))


def _parse_extras(text: str) -> dict[str, str]:
    return {name: value for name, _, value in (part.partition(":") for part in text.split(";"))}


def _parse_number(value: str | int | float | None, where: str, maximum: float, id: str) -> float:
    try:
        number = float(value if value is not None else "")
    except (ValueError, OverflowError):
        raise SignalError(f"{where}: {str(value)[:40]!r} is not a number", id) from None
    if not 0 < number <= maximum:
        raise SignalError(f"{where}: {number} is out of range", id)
    return number
