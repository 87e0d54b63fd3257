"""The policy of a fleet as bytes: the same for equal policies, whoever writes them and in whatever order."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from ladderhub.server.settings.checks import SettingsError, wrong_shape
from ladderhub.server.settings.schema import Policy

_KINDS_OF_NAMES = {"queues": "queue", "tenants": "tenant", "kinds": "kind of node"}


def policy_body(policy: Policy) -> bytes:
    """The policy part of the settings: JSON with every field, names in alphabetical order."""
    fields = {field: getattr(policy, field) for field in Policy.__struct_fields__}
    return msgspec.json.encode(fields, order="sorted")


def read_policy(body: bytes, source: str) -> Policy:
    """The policy in a body; `SettingsError` names the field that can't be read."""
    try:
        return msgspec.json.decode(body, type=Policy)
    except msgspec.ValidationError as fault:
        raise wrong_shape(fault, source) from None
    except msgspec.DecodeError as fault:
        raise SettingsError(str(fault), where=source, expected="a policy as JSON") from None


def policy_difference(old: bytes, new: bytes) -> list[str]:
    """What differs between two bodies, a line for each queue, tenant, kind or setting that does."""
    before, after = (msgspec.json.decode(body) for body in (old, new))
    lines: list[str] = []
    for field in sorted(before.keys() | after.keys()):
        one, two = before.get(field), after.get(field)
        if field in _KINDS_OF_NAMES:
            lines += _of_names(_KINDS_OF_NAMES[field], one or {}, two or {})
        else:
            lines += _changes(field, one, two)
    return lines


def _of_names(kind: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{kind} {name}: removed"
        elif name not in before:
            yield f"{kind} {name}: added"
        else:
            changes = list(_changes("", before[name], after[name]))
            if changes:
                yield f"{kind} {name}: {', '.join(changes)}"


def _changes(path: str, before: Any, after: Any) -> Iterator[str]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _changes(f"{path}.{key}" if path else key, before.get(key), after.get(key))
    elif before != after:
        yield f"{path} {_word(before)} -> {_word(after)}"


def _word(value: Any) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode().strip('"')
