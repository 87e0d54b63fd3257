"""Failures, restarts and replacements of nodes during a run, drawn from its seed before it starts."""

from __future__ import annotations

import random

import msgspec

from ladderhub.lab.scale.plan import Plan


class ChurnEvent(msgspec.Struct, frozen=True):
    """A command to the process that hosts the node; `at_s` counts from the start of the measured span."""

    at_s: float
    node: str
    command: str


def draw_churn_events(
    plan: Plan, nodes: list[str], racks: dict[str, str], seconds: float, seed: int, lose_a_rack: bool
) -> list[ChurnEvent]:
    """Draw failures, replacements and restarts at the plan's accelerated rates.

    With `lose_a_rack` all nodes of one rack fail at once.  Each node has at most one event in a run,
    because a second one would often occur while it is down."""
    rng = random.Random(seed)
    churn = plan.churn
    remaining = list(nodes)
    rng.shuffle(remaining)
    events = []
    if lose_a_rack and remaining:
        rack = racks[remaining[-1]]
        lost = [node for node in remaining if racks[node] == rack]
        remaining = [node for node in remaining if racks[node] != rack]
        at_s = seconds * churn.rack_lost_at
        events += [ChurnEvent(at_s, node, f"crash {node} {churn.rack_back_s:g}") for node in lost]
    for kind, per_day in (
        ("crash", churn.failed_per_day), ("replace", churn.replaced_per_day),
        ("restart", churn.restarted_per_day),
    ):  # fmt: skip
        rate = plan.compute_churn_rate(per_day, len(nodes))
        at_s = rng.expovariate(rate) if rate else seconds
        while at_s < seconds and remaining:
            node = remaining.pop()
            replacement = f" {node}-new" if kind == "replace" else ""
            events.append(ChurnEvent(at_s, node, f"{kind} {node}{replacement} {churn.node_back_s:g}"))
            at_s += rng.expovariate(rate)
    return sorted(events, key=lambda event: (event.at_s, event.node))
