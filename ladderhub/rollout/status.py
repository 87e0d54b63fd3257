"""Why an update has to wait, as text for operators."""

from __future__ import annotations

from collections.abc import Iterator

from ladderhub.rollout import types as t
from ladderhub.rollout.service import Service, SlotKind
from ladderhub.rollout.start_limiter import StartLimiter
from ladderhub.rollout.types import CopyState

MAX_SLOTS_NAMED = 5


def iter_wait_reasons(
    now: int, service: Service, limiter: StartLimiter, shared_budget_spent: bool
) -> Iterator[str]:
    """All reasons that apply now."""
    if service.awaits_node_reports:
        yield "nodes have not all said what they run"
    if service.stage is t.Stage.PAUSED:
        yield f"paused: {service.pause_reason}"
    yield from _iter_terminating_reasons(service)
    yield from _iter_starting_reasons(service)
    unreachable = {copy.node for copy in _iter_copies(service) if copy.state is CopyState.UNREACHABLE}
    if unreachable:
        yield f"{', '.join(sorted(unreachable))}: gone, and nobody can say whether copies run there"
    backing_off = service.by_kind[SlotKind.BACKING_OFF]
    if backing_off:
        yield f"{len(backing_off)} slots rest after their copy ended or was refused"
    if service.stage is t.Stage.GOING and service.replaceable:
        yield from _iter_limit_reasons(now, service, limiter, shared_budget_spent)


def _iter_copies(service: Service) -> Iterator[t.Copy]:
    return (copy for slot in service.slots for copy in slot.copies)


def _iter_copies_of_kind(service: Service, kind: SlotKind) -> Iterator[t.Copy]:
    return (copy for index in service.by_kind[kind] for copy in service.slots[index].copies)


def _iter_terminating_reasons(service: Service) -> Iterator[str]:
    """Nodes that have not reported the end of an old copy."""
    silent: dict[str, list[int]] = {}
    for copy in _iter_copies_of_kind(service, SlotKind.TERMINATING):
        silent.setdefault(copy.node or "its node", []).append(copy.slot)
    for node, slots in sorted(silent.items()):
        more = ", ..." if len(slots) > MAX_SLOTS_NAMED else ""
        named = ", ".join(map(str, slots[:MAX_SLOTS_NAMED])) + more
        yield f"{node} has not said that the old copy of slot {named} ended"


def _iter_starting_reasons(service: Service) -> Iterator[str]:
    states = [copy.state for copy in _iter_copies_of_kind(service, SlotKind.STARTING)]
    if CopyState.RUNNING in states:
        yield f"{states.count(CopyState.RUNNING)} new copies run and are not healthy yet"
    if CopyState.PENDING in states:
        yield f"{states.count(CopyState.PENDING)} new copies are being placed"


def _iter_limit_reasons(
    now: int, service: Service, limiter: StartLimiter, shared_budget_spent: bool
) -> Iterator[str]:
    """Limits that keep another old copy from being replaced."""
    if service.limits.wave and not service.wave_left:
        remaining_ns = service.next_wave_ns - now
        yield (
            f"the next wave begins in {remaining_ns / t.SECOND_NS:.1f} s"
            if remaining_ns > 0
            else "this wave is not done"
        )
    if not service.limits_allow_replacement():
        yield (
            f"{service.count_unhealthy()} copies are down and {service.alive} alive: "
            "the limits allow no more"
        )
    if len(service.replacing) >= service.compute_max_replacing():
        yield f"{len(service.replacing)} copies are tried, until more of the new version are healthy"
    if shared_budget_spent:
        yield "the budget that all updates share is spent"
    if not limiter.may_start(len(service.by_kind[SlotKind.TERMINATING])):
        yield f"{limiter.pending} starts are under way: the fleet takes no more at a time"
