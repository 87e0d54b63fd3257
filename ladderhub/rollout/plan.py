"""Estimate of an update before it starts."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from ladderhub.interface import Effect
from ladderhub.rollout.types import SECOND_NS, Limits, ServiceRules


@dataclass(frozen=True, slots=True)
class Plan:
    """The estimate: up to `at_once` slots are in replacement at a time, in `waves` waves.

    `expected_ns` holds if starts take as long as recent ones and nothing fails.  `bound` names the limit that
    determines it."""

    at_once: int
    waves: int
    expected_ns: int
    bound: str


def plan_update(
    rules: ServiceRules, limits: Limits, max_replacing_slots: int, start_ns: int, end_ns: int
) -> Plan:
    """Estimate an update; `start_ns` and `end_ns`: mean durations of a start and an end, 0 if unknown."""
    surplus = limits.surplus if rules.effect is Effect.SAFE else 0
    slot_limits = {
        "update.down" + (" and update.surplus" if surplus else ""): limits.down + surplus,
        "the budget that all updates share": max_replacing_slots,
        "count": rules.count,
    }
    if limits.wave:
        slot_limits["update.wave"] = limits.wave
    bound = min(slot_limits, key=lambda name: slot_limits[name])
    at_once = slot_limits[bound]
    waves = ceil(rules.count / limits.wave) if limits.wave else 1
    wave_size = limits.wave or rules.count
    rounds = sum(ceil(min(wave_size, rules.count - wave * wave_size) / at_once) for wave in range(waves))
    round_ns = start_ns + end_ns + limits.healthy_ns
    if limits.healthy_ns > start_ns + end_ns and rounds * limits.healthy_ns > (waves - 1) * limits.spacing_ns:
        bound += f", each held for update.healthy ({limits.healthy_ns / SECOND_NS:g} s)"
    elif (waves - 1) * limits.spacing_ns > rounds * round_ns:
        bound = "update.spacing"
    return Plan(at_once, waves, rounds * round_ns + (waves - 1) * limits.spacing_ns, bound)
