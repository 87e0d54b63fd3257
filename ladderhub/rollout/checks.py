"""Validation of operators' requests against the rules and the updates in progress."""

from __future__ import annotations

from collections.abc import Mapping

from ladderhub.interface import Effect
from ladderhub.rollout import types as t
from ladderhub.rollout.service import Service

Services = Mapping[str, Service]


def find_error(event: t.Event, services: Services) -> str:
    """Why the event must be refused, naming the field; "" if it is valid."""
    if isinstance(event, t.Declared):
        return (
            _check_values(event)
            or _check_effect(event.rules.effect, event.limits)
            or _check_existing_service(event, services.get(event.rules.name))
        )
    if isinstance(event, t.Pause | t.Resume | t.Abort | t.Removed):
        service = services.get(event.service)
        if service is None:
            known = ", ".join(services) or "none"
            return f"service: found {event.service!r}; one that is declared is meant: {known}"
        return _check_stage(event, service)
    return ""


def _check_stage(event: t.Pause | t.Resume | t.Abort | t.Removed, service: Service) -> str:
    if isinstance(event, t.Pause) and service.stage is not t.Stage.GOING:
        return f"{event.service}: no update is going"
    if isinstance(event, t.Resume) and service.stage is not t.Stage.PAUSED:
        return f"{event.service}: no update is paused"
    if isinstance(event, t.Abort) and (service.stage is t.Stage.OVER or service.previous < 0):
        return f"{event.service}: no update is under way that could go back to a version before"
    return ""


def _check_values(event: t.Declared) -> str:
    rules, limits = event.rules, event.limits
    for name, value, minimum in (
        ("count", rules.count, 1),
        ("update.down", limits.down, 0),
        ("update.surplus", limits.surplus, 0),
        ("update.wave", limits.wave, 0),
        ("update.failures.number", limits.failures, 1),
        ("update.healthy", limits.healthy_ns, 0),
        ("update.spacing", limits.spacing_ns, 0),
    ):
        if value < minimum:
            return f"{name}: found {value}; at least {minimum} is meant"
    if not 0 < limits.failed_share <= 1:
        return f"update.failures.share: found {limits.failed_share:g}; above 0 and at most 1 is meant"
    return ""


def _check_effect(effect: Effect, limits: t.Limits) -> str:
    kind = effect.value
    if effect is Effect.UNSAFE and limits.surplus:
        return f"update.surplus: found {limits.surplus}; 0 is meant: copies of {kind} work never overlap"
    if effect is not Effect.SAFE and not limits.down:
        return f"update.down: found 0; at least 1 is meant: of {kind} work the old copy ends first"
    if not limits.down and not limits.surplus:
        return "update.down: found 0, with update.surplus 0; one of the two above 0 is meant"
    return ""


def _check_existing_service(event: t.Declared, service: Service | None) -> str:
    """Check the declaration against the service of that name, if there is one."""
    rules = event.rules
    if service is None:
        return ""
    if service.removed:
        return f"service: {rules.name} is being removed"
    if rules.count < service.rules.count:
        return f"count: found {rules.count}; at least {service.rules.count} is meant, as many as run"
    if (rules.effect, rules.dedupe_window_ns) != (service.rules.effect, service.rules.dedupe_window_ns):
        return "queue: a service stays with the class it was declared with"
    if service.stage is not t.Stage.OVER and event.if_busy is t.IfBusy.REFUSE:
        stage = service.stage.value
        return f"{rules.name}: an update is under way ({stage}); replace it, queue behind it, or abort it"
    if service.stage is not t.Stage.OVER and rules.count != service.rules.count:
        return f"count: found {rules.count}; it can't change while an update is under way"
    return ""
