"""What an update would come to, reckoned before anything is touched."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from ladderhub.interface import Effect
from ladderhub.rollout.types import SECOND_NS, Limits, ServiceRules


@dataclass(frozen=True, slots=True)
class Plan:
    """`at_once` slots are in replacement together, in `waves`; `expected_ns` where starts take what they took
    lately and nothing fails; `bound` names what sets the pace."""

    at_once: int
    waves: int
    expected_ns: int
    bound: str


def plan_update(
    rules: ServiceRules, limits: Limits, max_replacing_slots: int, start_ns: int, end_ns: int
) -> Plan:
    """`start_ns` and `end_ns`: how long a start and an end take on average, 0 where it is not known yet."""
    surplus = limits.surplus if rules.effect is Effect.SAFE else 0
    widths = {
        "update.down" + (" and update.surplus" if surplus else ""): limits.down + surplus,
        "the budget that all updates share": max_replacing_slots,
        "count": rules.count,
    }
    if limits.wave:
        widths["update.wave"] = limits.wave
    bound = min(widths, key=lambda name: widths[name])
    at_once = widths[bound]
    waves = ceil(rules.count / limits.wave) if limits.wave else 1
    a_wave = limits.wave or rules.count
    rounds = sum(ceil(min(a_wave, rules.count - at * a_wave) / at_once) for at in range(waves))
    span = start_ns + end_ns + limits.healthy_ns
    if limits.healthy_ns > start_ns + end_ns and rounds * limits.healthy_ns > (waves - 1) * limits.spacing_ns:
        bound += f", each held for update.healthy ({limits.healthy_ns / SECOND_NS:g} s)"
    elif (waves - 1) * limits.spacing_ns > rounds * span:
        bound = "update.spacing"
    return Plan(at_once, waves, rounds * span + (waves - 1) * limits.spacing_ns, bound)
