"""Encoding of a fleet's policy: equal policies give equal bytes, whatever the order of their fields."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from ladderhub.server.settings.checks import SettingsError, make_validation_error
from ladderhub.server.settings.schema import Policy

_NOUNS = {"queues": "queue", "tenants": "tenant", "kinds": "kind of node"}


def encode_policy(policy: Policy) -> bytes:
    """Encode the policy part of the settings: JSON with every field, names in alphabetical order."""
    fields = {field: getattr(policy, field) for field in Policy.__struct_fields__}
    return msgspec.json.encode(fields, order="sorted")


def decode_policy(body: bytes, source: str) -> Policy:
    """Decode a policy; `SettingsError` names the field that can't be read."""
    try:
        return msgspec.json.decode(body, type=Policy)
    except msgspec.ValidationError as fault:
        raise make_validation_error(fault, source) from None
    except msgspec.DecodeError as fault:
        raise SettingsError(str(fault), where=source, expected="a policy as JSON") from None


def diff_policies(old: bytes, new: bytes) -> list[str]:
    """Describe how two encoded policies differ, in one line per queue, tenant, kind or setting that does."""
    before, after = (msgspec.json.decode(body) for body in (old, new))
    lines: list[str] = []
    for field in sorted(before.keys() | after.keys()):
        old_value, new_value = before.get(field), after.get(field)
        if field in _NOUNS:
            lines += _diff_names(_NOUNS[field], old_value or {}, new_value or {})
        else:
            lines += _diff_values(field, old_value, new_value)
    return lines


def _diff_names(kind: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{kind} {name}: removed"
        elif name not in before:
            yield f"{kind} {name}: added"
        else:
            changes = list(_diff_values("", before[name], after[name]))
            if changes:
                yield f"{kind} {name}: {', '.join(changes)}"


def _diff_values(path: str, before: Any, after: Any) -> Iterator[str]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _diff_values(f"{path}.{key}" if path else key, before.get(key), after.get(key))
    elif before != after:
        yield f"{path} {_format_value(before)} -> {_format_value(after)}"


def _format_value(value: Any) -> str:
    return "none" if value is None else msgspec.json.encode(value).decode().strip('"')
